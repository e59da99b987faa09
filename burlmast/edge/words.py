"""What the programs say to each other in JSON: rows of the list, set-ups, lines of a stream. Free of I/O."""

from __future__ import annotations

import msgspec

from burlmast import api


class Ask(msgspec.Struct, forbid_unknown_fields=True):
    """A viewer's request; `lasts` in seconds, `top` the highest rung that it can use."""

    title: str
    plan: str
    viewer: str
    top: int = 255
    lasts: float = 0.0
    returned: bool = False
    resume: str = ""  # a playback that this gateway kept, to go on with


class SetUpWords(msgspec.Struct, omit_defaults=True):
    """One setup try, as a host is asked; `rate` kB a second."""

    playback: str
    attempt: int
    gateway: int
    title: str
    plan: int
    rung: int
    rate: float
    lasts: float
    by: tuple[str, int, int, int] | None = None  # life, page, act and epoch of a gateway of a fleet


class StreamLine(msgspec.Struct, omit_defaults=True):
    """One line of a stream."""

    flowing: bool = False
    share: float | None = None
    streams: float | None = None
    link: float | None = None
    uplink: float | None = None
    ended: str | None = None


class RowWords(msgspec.Struct):
    """One line of the list; `started` in whole nanoseconds of the wall clock, 0 where it is not known."""

    host: int
    address: str
    zone: int
    kind: int
    cell: int
    standing: str
    weight: float
    started: int


class ListLine(msgspec.Struct):
    """News of the list, or, with no scope, a sign that the list is alive."""

    scope: str = ""
    rows: list[msgspec.Raw] = []


STREAM_LINE: msgspec.json.Decoder[StreamLine] = msgspec.json.Decoder(StreamLine)
LIST_LINE: msgspec.json.Decoder[ListLine] = msgspec.json.Decoder(ListLine)
ROW: msgspec.json.Decoder[RowWords] = msgspec.json.Decoder(RowWords)
ASK: msgspec.json.Decoder[Ask] = msgspec.json.Decoder(Ask)


class NotARow(Exception):
    """A row that cannot be used."""


def read_row(raw: bytes | msgspec.Raw) -> tuple[api.HostRow, str]:
    """A row and its host's address. Raises NotARow."""
    try:
        row = ROW.decode(raw)
        standing = api.Standing(row.standing)
    except (msgspec.MsgspecError, ValueError, RecursionError) as why:
        raise NotARow(str(why)) from None
    name, _, port = row.address.rpartition(":")
    if min(row.host, row.zone, row.kind, row.cell, row.started) < 0 or not 0 <= row.weight < float("inf"):
        raise NotARow("figures must not be negative")
    if not name or not port.isdecimal() or not 0 < int(port) < 65536:
        raise NotARow(f"not an address: {row.address}")
    return api.HostRow(row.host, row.zone, row.kind, row.cell, standing, row.weight, row.started), row.address
