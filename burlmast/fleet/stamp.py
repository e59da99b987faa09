"""Versions with names: what a gateway acts on, said the same everywhere. Free of I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from burlmast.api import HostRow

SHORT = 12  # characters of a digest that people are shown


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """All that an act rested on."""

    build: str  # digest of the program's own files
    settings: str  # digest of the settings as read
    hosts: str  # digest of the list as heard
    programme: int  # version of the programme of notices, 0 for none
    order: int  # number of the fleet's order that it follows, 0 for its own file
    epoch: int  # number of the last order whose versions must not mix, 0 for none


def digest(value: object) -> str:
    """A value's name. Two files of the same meaning agree: what is named is what was read, defaults
    included, with keys in one order."""
    return hashlib.sha256(canonical(value)).hexdigest()


def canonical(value: object) -> bytes:
    """The one form that is named, kept and sent."""
    return msgspec.json.encode(value, order="sorted")


def digest_of_parts(parts: Iterable[tuple[str, bytes]]) -> str:
    """A build's name: its files' names and contents, whatever the order in which they are found."""
    whole = hashlib.sha256()
    for name, data in sorted(parts):
        whole.update(f"{name}:{len(data)}:".encode())
        whole.update(data)
    return whole.hexdigest()


class ListName:
    """The name of a list as heard; it costs the rows that change, not the list."""

    def __init__(self) -> None:
        self._rows: dict[int, int] = {}
        self._sum = 0

    def heard(self, complete: bool, rows: Iterable[HostRow]) -> None:
        """News of the list; a complete one names all there are."""
        if complete:
            self._rows, self._sum = {}, 0
        for row in rows:
            told = f"{row.host}:{row.zone}:{row.kind}:{row.cell}:{row.standing.value}:{row.weight}"
            name = int.from_bytes(hashlib.sha256(told.encode()).digest()[:8], "big")
            self._sum = (self._sum - self._rows.get(row.host, 0) + name) % 2**64
            self._rows[row.host] = name

    @property
    def name(self) -> str:
        """Equal for lists that say the same, in whatever order it was heard."""
        return f"{self._sum:016x}" if self._rows else ""
