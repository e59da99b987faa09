"""What is known of the list. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence

from burlmast import api
from burlmast.api import Scope, Standing
from burlmast.node.host_numbers import HostNumbers
from burlmast.node.names import Entry
from burlmast.node.query_schedule import QUERY_INTERVAL, TOLD_BY


class Roster:
    """The list as it stands here, by the number of its last event."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], began: int) -> None:
        """`began`: when this gateway started."""
        self.began = began
        self.numbers = HostNumbers()
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
        return now - self.began >= TOLD_BY + QUERY_INTERVAL

    def rows(self, entries: Sequence[Entry]) -> tuple[api.HostRow, ...]:
        """Entries as the decisions hear them."""
        return tuple(
            api.HostRow(
                self.numbers.of(one.name),
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
