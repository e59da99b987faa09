"""Which recordings of notices this gateway has, and from which holder the others are to come. Free of I/O.

A recording is a notice's version on one rung. The gateway fetches it whole from one holder at a time, most
room first, each holder within a round of tries; what it has it serves itself, so that no host that drains or
dies can take a notice away from a playback under way. What nobody gives is asked for again after a while.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from burlmast.stitch.programme import Notice, Programme


class Holder(NamedTuple):
    """A host that may hold recordings, as this gateway knows it now."""

    host: int
    cell: int
    ready: bool  # the list says that new work may go there


class Recording:
    """One notice's version on one rung."""

    def __init__(self, notice: Notice, rung: int) -> None:
        self.notice, self.rung = notice, rung
        self.state = "wanted"
        self.tried: list[int] = []  # holders asked in this round
        self.asking = 0  # the holder asked now
        self.due = 0  # when another round may begin
        self.pieces: tuple[bytes, ...] = ()

    @property
    def name(self) -> tuple[str, int]:
        """What tells it from the others."""
        return self.notice.recording, self.rung


class Fetch(NamedTuple):
    """Ask this host for a recording now."""

    recording: Recording
    host: int


class Larder:
    """All recordings that the programme asks for."""

    def __init__(
        self,
        cells: int,
        tries: int,
        again: int,
        at_once: int,
        linger: int,
        holders: Callable[[], Iterable[Holder]],
        room: Callable[[int], float],
        fetch: Callable[[Fetch], object],
    ) -> None:
        """`holders` tells all hosts as they are known now, `room` that of one host; `tries` of them are asked
        in a round, and another begins `again` nanoseconds after one that found none; `at_once` recordings
        are asked for at a time. What is replaced can be read for `linger` more: playlists still name it."""
        self._cells, self._tries, self._again, self._linger = max(1, cells), tries, again, linger
        self._at_once = at_once
        self._holders, self._room, self._fetch = holders, room, fetch
        self._old: dict[tuple[str, int], tuple[Recording, int]] = {}  # and until when
        self._all: dict[tuple[str, int], Recording] = {}
        self._sound: dict[tuple[str, int], Recording] = {}  # by notice and rung, the latest that is had whole
        self.counts: dict[str, int] = {}

    def stock(self, programme: Programme, now: int) -> None:
        """A programme comes into force. Of notices that are still in it, the last sound version is kept
        until the new one is there; the others go."""
        named = {notice.name for notice in programme.notices}
        wanted = {
            (notice.recording, rung): Recording(notice, rung)
            for notice in programme.notices
            for rung in notice.rungs
        }
        self._all = {name: self._all.get(name, fresh) for name, fresh in wanted.items()}
        for key in [key for key in self._sound if key[0] not in named]:
            self._lay_by(self._sound.pop(key), now)
        self.look(now)

    def look(self, now: int) -> None:
        """Begin what can begin."""
        self._old = {name: old for name, old in self._old.items() if old[1] > now}
        free = self._at_once - sum(one.state == "asking" for one in self._all.values())
        # What must be heard is asked for first, and what was never asked for before what nobody had.
        due = [one for one in self._all.values() if one.state in ("wanted", "missing") and one.due <= now]
        due.sort(key=lambda one: (not one.notice.must, one.state != "wanted", one.name))
        for one in due[: max(0, free)]:
            self._step(one, "look", now)

    def came(self, fetch: Fetch, now: int, pieces: Sequence[bytes]) -> None:
        """The holder gave it whole."""
        if fetch.recording.state in ("asking", "missing"):
            fetch.recording.pieces = tuple(pieces)
            self._step(fetch.recording, "came", now)
            self.look(now)

    def failed(self, fetch: Fetch, now: int) -> None:
        """The holder did not give it, or not whole."""
        if fetch.host == fetch.recording.asking:  # else another is asked already
            self._step(fetch.recording, "failed", now)
            self.look(now)

    def left(self, now: int, hosts: Iterable[int]) -> None:
        """These hosts drain or are gone: nothing more is asked of them, and what is being asked of them is
        asked elsewhere."""
        gone = set(hosts)
        for one in list(self._all.values()):
            if one.state == "asking" and one.asking in gone:
                self._step(one, "failed", now)

    def best(self, notice: Notice, rung: int) -> Recording | None:
        """What to play of this notice at this rung: the stated version, else the last sound one; the rung in
        force or the nearest lower one; for a notice that must be heard the lowest above, where there is no
        lower one. None where nothing of it is there."""
        lower = sorted((own for own in notice.rungs if own <= rung), reverse=True)
        higher = sorted(own for own in notice.rungs if own > rung) if notice.must else []
        for own in (*lower, *higher):
            found = self._all.get((notice.recording, own))
            if found is not None and found.state == "there":
                return found
        for own in (*lower, *higher):
            sound = self._sound.get((notice.name, own))
            if sound is not None:
                return sound
        return None

    def lacking(self, notices: Iterable[Notice], wall: float) -> Notice | None:
        """The first of a request's notices that must be heard and cannot be had: the request is rejected
        before it plays."""
        for notice in notices:
            if notice.must and notice.in_season(wall) and self.best(notice, max(notice.rungs)) is None:
                return notice
        return None

    def find(self, recording: str, rung: int) -> Recording | None:
        """A recording by its name, for those who read its pieces."""
        found = self._all.get((recording, rung))
        if found is not None and found.state == "there":
            return found
        sound = self._sound.get((recording.rpartition("@")[0], rung))
        if sound is not None and sound.notice.recording == recording:
            return sound
        old = self._old.get((recording, rung))
        return old[0] if old is not None else None

    def _step(self, one: Recording, happening: str, now: int) -> None:
        row = TABLE.get((one.state, happening))
        if row is None:
            return
        one.state, effect = row
        if effect is not None:
            effect(self, one, now)

    def _ask(self, one: Recording, now: int) -> None:
        first, copies = one.notice.home, one.notice.copies
        cells = {(first + place) % self._cells for place in range(copies)}
        able = [h for h in self._holders() if h.ready and h.cell in cells and h.host not in one.tried]
        if not able or len(one.tried) >= self._tries:
            one.state, one.tried, one.due = "missing", [], now + self._again
            self._count("missing")
            return
        chosen = max(able, key=lambda holder: (self._room(holder.host), -holder.host))
        one.tried.append(chosen.host)
        one.asking = chosen.host
        self._count("asked")
        self._fetch(Fetch(one, chosen.host))

    def _keep(self, one: Recording, now: int) -> None:
        one.tried = []
        if self._all.get(one.name) is one:  # or the programme has changed meanwhile
            before = self._sound.get((one.notice.name, one.rung))
            if before is not None:
                self._lay_by(before, now)
            self._sound[one.notice.name, one.rung] = one
        self._count("came")

    def _lay_by(self, one: Recording, now: int) -> None:
        self._old[one.name] = one, now + self._linger

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


Effect = Callable[[Larder, Recording, int], None]
# State and what happens give the next state and what is done about it; what has no row changes nothing.
TABLE: dict[tuple[str, str], tuple[str, Effect | None]] = {
    ("wanted", "look"): ("asking", Larder._ask),
    ("missing", "look"): ("asking", Larder._ask),
    ("asking", "failed"): ("asking", Larder._ask),
    ("asking", "came"): ("there", Larder._keep),
    ("missing", "came"): ("there", Larder._keep),  # late, but whole
}
