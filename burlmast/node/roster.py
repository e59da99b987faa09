"""What is known of the list, and when to ask for it again. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from burlmast import api
from burlmast.api import Scope, Standing
from burlmast.node.names import Entry

MS = 1_000_000
TOLD_BY = 1500 * MS  # what has happened counts as told so much later, as the platform states it
PERIOD = TOLD_BY // 6  # so that some answers may be lost on the way to that
PATIENCE = TOLD_BY // 6  # how long an answer is waited for before the question is asked again
LATE = 4_000 * MS  # how long a late answer is still taken
# Questions without an answer before a fresh socket asks: at first, and at most.
FRESH_AFTER, FRESH_AFTER_MOST = 4, 16


class Roster:
    """The list as it stands here, by the number of its last event."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], began: int) -> None:
        """`began`: when this gateway started."""
        self.began = began
        self._zones = {name: place for place, name in enumerate(zones)}
        self._kinds = {name: place for place, name in enumerate(kinds)}
        self.serial = 0
        self.entries: dict[str, Entry] = {}

    def start(self, serial: int, events: list[list[Entry]]) -> None:
        """The list of the start: a whole one, and what has changed since."""
        for event in events:
            self.entries.update((entry.name, entry) for entry in event)
        self.entries = {name: one for name, one in self.entries.items() if one.standing is not Standing.GONE}
        self.serial = serial

    def answered(self, serial: int, entries: list[Entry], at: int) -> list[Entry] | None:
        """What has changed by a whole list heard `at`; None where it is older than what is known.

        A host at another address than before is another process: it has begun at the latest by then."""
        if serial < self.serial:
            return None
        now = {entry.name: entry for entry in entries}
        changed = [self._moved(entry, at) for name, entry in now.items() if self.entries.get(name) != entry]
        changed += [
            one._replace(standing=Standing.GONE) for name, one in self.entries.items() if name not in now
        ]
        self.serial, self.entries = serial, now
        return changed

    def _moved(self, entry: Entry, at: int) -> Entry:
        known = self.entries.get(entry.name)
        if known is None or known.address == entry.address or entry.started > known.started:
            return entry
        return entry._replace(started=at)

    def settled(self, now: int) -> bool:
        """Whether a list heard now holds all that happened before the own start, by the platform's word."""
        # An answer may have been asked for by so much earlier.
        return now - self.began >= TOLD_BY + PATIENCE

    def rows(self, entries: Sequence[Entry]) -> tuple[api.HostRow, ...]:
        """Entries as the decisions hear them."""
        return tuple(
            api.HostRow(
                one.number,
                self._zones.get(one.zone, len(self._zones)),
                self._kinds.get(one.kind, 0),
                one.cell,
                one.standing,
                one.weight,
                one.started,
            )
            for one in entries
        )

    def whole(self) -> tuple[Scope, tuple[api.HostRow, ...]]:
        """The list of the start, as it may be out of date by now."""
        return Scope.CACHED, self.rows(list(self.entries.values()))


# State of the question and what happens: the next state, and what is done.
ASKING: dict[tuple[str, str], tuple[str, str]] = {
    ("resting", "due"): ("asked", "ask"),
    ("asked", "answered"): ("resting", "rest"),
    ("asked", "unsound"): ("unsure", "rest"),
    ("asked", "due"): ("unsure", "ask again"),
    ("unsure", "answered"): ("resting", "rest"),
    ("unsure", "due"): ("unsure", "ask again"),
    ("resting", "moved"): ("unsure", "ask afresh"),
    ("asked", "moved"): ("unsure", "ask afresh"),
    ("unsure", "moved"): ("unsure", "ask afresh"),
}


class Asking:
    """When the name server is asked, and under which number."""

    def __init__(self, seed: int) -> None:
        self._seed, self._draws = seed, 0
        self.state, self.due, self.number = "resting", 0, 0
        self._asked_at: dict[int, int] = {}  # the questions whose answers are taken, oldest first
        self._unanswered, self._fresh_after = 0, FRESH_AFTER

    def asked_at(self, number: int) -> int | None:
        """When this question was asked; None where its answer is not taken (any more)."""
        return self._asked_at.get(number)

    def waiting(self, now: int) -> int:
        """How many questions may still be answered."""
        return sum(1 for asked_at in self._asked_at.values() if now - asked_at <= LATE)

    def take(self, now: int, happening: str) -> str:
        """What to do: ask, ask afresh (over a new socket) or nothing; `due` says when time comes in again."""
        if happening == "due" and now < self.due:
            return ""
        self.state, effect = ASKING.get((self.state, happening), (self.state, ""))
        if happening == "answered":
            self._unanswered = 0
        if happening == "moved":
            self._asked_at.clear()
        if effect == "rest":
            self.due = now + PERIOD
        elif effect:
            self._draw_number(now)
            self.due = now + PATIENCE
        return self._again() if effect == "ask again" else effect

    def _again(self) -> str:
        """An answer may be slow: the socket that waits for it is given up late, and later each time."""
        self._unanswered += 1
        if self._unanswered < self._fresh_after:
            return "ask"
        self._unanswered = 0
        self._fresh_after = min(2 * self._fresh_after, FRESH_AFTER_MOST)
        return "ask afresh"

    def _draw_number(self, now: int) -> None:
        self._draws += 1
        self.number = zlib.crc32(f"{self._seed}:{self._draws}".encode()) & 0xFFFF
        self._asked_at.pop(self.number, None)
        self._asked_at[self.number] = now
        while now - next(iter(self._asked_at.values())) > LATE:
            del self._asked_at[next(iter(self._asked_at))]
