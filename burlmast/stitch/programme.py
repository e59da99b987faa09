"""The programme of notices: what is stated, whether it is sound, and which version is in force. Free of I/O.

A change is checked whole, stored, and only then in force: the register's table says in which order. Versions
order everything; no clock does.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from math import isfinite
from typing import Any, NamedTuple

import msgspec

NAME_LIMIT = 64
MOST_NOTICES = 1000
PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")


class Sheet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of a programme; a key that is not known is an error."""


class Notice(Sheet, frozen=True):
    """A notice: what it is, where it is heard, and by whom. Times of media are milliseconds."""

    name: str
    version: int  # of its recording
    lasts_ms: float
    rungs: tuple[int, ...]  # in which it exists
    home: int  # the first cell that holds it, and how many cells in a row do
    copies: int
    must: bool = False  # it may not be left out
    before: bool = False  # heard before the playback
    offsets_ms: tuple[float, ...] = ()  # heard within it, so far from its start
    every_ms: float = 0.0  # heard each time that so much has played
    titles: tuple[str, ...] = ()  # of these alone; of all if empty
    plans: tuple[str, ...] = ()
    begins: float = 0.0  # seconds of the wall clock between which it is heard; 0 is open
    ends: float = 0.0

    @property
    def recording(self) -> str:
        """The name under which hosts hold it."""
        return f"{self.name}@{self.version}"

    def is_for(self, title: str, plan: str) -> bool:
        """Whether viewers of this title in this plan hear it."""
        return (not self.titles or title in self.titles) and (not self.plans or plan in self.plans)

    def in_season(self, wall: float) -> bool:
        """Whether it is heard at this second of the wall clock."""
        return wall >= self.begins and (not self.ends or wall < self.ends)


class Programme(Sheet, frozen=True):
    """All notices of a version; version 0 is the empty one that every gateway begins with."""

    version: int = 0
    notices: tuple[Notice, ...] = ()


class Known(NamedTuple):
    """What a programme may name."""

    titles: Sequence[str] | None  # None where no gateway knows them all
    plans: Sequence[str]
    rungs: int
    cells: int


def faults(one: Programme, known: Known) -> Iterator[tuple[str, str]]:
    """Keys and what is wrong with them."""
    if one.version < 0:
        yield "version", "must not be negative"
    if len(one.notices) > MOST_NOTICES:
        yield "notices", f"at most {MOST_NOTICES}"
    seen: set[str] = set()
    for place, notice in enumerate(one.notices):
        key = f"notices[{place}]"
        if notice.name in seen:
            yield f"{key}.name", f"stands twice: {notice.name}"
        seen.add(notice.name)
        for name, what in _notice_faults(notice, known):
            yield f"{key}.{name}", what


def _notice_faults(one: Notice, known: Known) -> Iterator[tuple[str, str]]:
    if not 0 < len(one.name) <= NAME_LIMIT or not set(one.name) <= PLAIN:
        yield "name", f"must be 1 to {NAME_LIMIT} letters, digits, '-', '_' or '.'"
    if one.version < 1:
        yield "version", "must be 1 or more"
    figures = (one.lasts_ms, one.every_ms, one.begins, one.ends, *one.offsets_ms)
    if not all(isfinite(figure) and figure >= 0 for figure in figures):
        yield "lasts_ms, offsets_ms, every_ms, begins, ends", "must be finite and not negative"
        return
    if not 10 <= one.lasts_ms <= 600_000:
        yield "lasts_ms", "must be 10 ms to 10 minutes"
    if not (one.before or one.offsets_ms or one.every_ms):
        yield "before", "one of before, offsets_ms and every_ms must say where it is heard"
    if one.every_ms and one.every_ms < 1000:
        yield "every_ms", "must be a second or more"
    if len(set(one.offsets_ms)) < len(one.offsets_ms):
        yield "offsets_ms", "names one twice"
    if one.ends and one.ends <= one.begins:
        yield "ends", "must come after begins"
    if not one.rungs or min(one.rungs) < 0 or max(one.rungs) >= known.rungs or _twice(one.rungs):
        yield "rungs", f"must be different rungs, 0 to {known.rungs - 1}"
    if not 0 <= one.home < known.cells:
        yield "home", f"must be a cell, 0 to {known.cells - 1}"
    if not 1 <= one.copies <= known.cells:
        yield "copies", f"must be 1 to {known.cells}"
    for name, named, there in (("titles", one.titles, known.titles), ("plans", one.plans, known.plans)):
        for each in named:
            if there is not None and each not in there:
                yield name, f"there is no {each}"


def _twice(values: Sequence[int]) -> bool:
    return len(set(values)) < len(values)


class Refused(NamedTuple):
    """A change that is not taken, the status that says so, and what is in force."""

    status: int
    why: str
    in_force: Programme


class Register:
    """Which programme is in force, and how another becomes it.

    `store` is called with a sound programme and must end in one call of `stored` or of `failed`; `answer` is
    called once for each `put`, with nothing where the change is in force.
    """

    def __init__(
        self, known: Known, store: Callable[[Programme], object], acts: Callable[[Programme], object]
    ) -> None:
        """`acts` is told each programme as it comes into force."""
        self.known, self._store, self._acts = known, store, acts
        self.state = "settled"
        self.in_force = Programme()
        self._coming = Programme()
        self._answer: Callable[[Refused | None], object] = lambda refused: None

    def restore(self, programme: Programme) -> None:
        """What was in force when this gateway last ran; stored programmes have been checked."""
        self.in_force = programme
        self._acts(programme)

    def put(self, raw: bytes, answer: Callable[[Refused | None], object]) -> None:
        """Somebody states a programme."""
        try:
            found: Programme = msgspec.json.decode(raw, type=Programme)
        except (msgspec.MsgspecError, RecursionError) as why:
            answer(Refused(400, str(why), self.in_force))
            return
        for key, what in faults(found, self.known):
            answer(Refused(400, f"{key}: {what}", self.in_force))
            return
        fits = found.version == self.in_force.version + 1
        self._step("next" if fits else "stale", found, answer)

    def stored(self) -> None:
        """The programme that was to be stored is on the disk."""
        self._step("stored")

    def failed(self, why: str) -> None:
        """It could not be stored; what was in force stays."""
        self._step("failed", why)

    def _step(self, happening: str, *words: Any) -> None:
        self.state, effect = TABLE[self.state, happening]
        effect(self, *words)

    def _begin(self, found: Programme, answer: Callable[[Refused | None], object]) -> None:
        self._coming, self._answer = found, answer
        self._store(found)

    def _stale(self, found: Programme, answer: Callable[[Refused | None], object]) -> None:
        told = f"version must be {self.in_force.version + 1}, not {found.version}"
        answer(Refused(409, told, self.in_force))

    def _busy(self, found: Programme, answer: Callable[[Refused | None], object]) -> None:
        answer(Refused(409, "another change is being stored; read what is in force again", self.in_force))

    def _take(self) -> None:
        self.in_force = self._coming
        self._acts(self.in_force)
        self._answer(None)

    def _keep(self, why: str) -> None:
        self._answer(Refused(507, f"the change could not be stored: {why}", self.in_force))


TABLE: dict[tuple[str, str], tuple[str, Callable[..., None]]] = {
    ("settled", "next"): ("storing", Register._begin),
    ("settled", "stale"): ("settled", Register._stale),
    ("storing", "next"): ("storing", Register._busy),
    ("storing", "stale"): ("storing", Register._busy),
    ("storing", "stored"): ("settled", Register._take),
    ("storing", "failed"): ("settled", Register._keep),
}
