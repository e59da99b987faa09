"""One clock for the decisions: whole nanoseconds, on the scale of the list's start times, never going back.

Free of I/O: both clocks of the machine are handed in.
"""

from __future__ import annotations


class Clock:
    """The wall clock as it was at start, carried on by the monotonic one.

    All gateways take cold turns by this scale (docs/design.md, mechanism 3), so a stepped wall clock
    must not move it while the gateway runs.
    """

    def __init__(self, wall: int, monotonic: int) -> None:
        self._offset = wall - monotonic
        self._latest = wall
        self._starts: dict[tuple[int, int], int] = {}

    def now(self, monotonic: int) -> int:
        """The moment that belongs to a reading of the monotonic clock."""
        self._latest = max(self._latest, monotonic + self._offset)
        return self._latest

    def step(self, wall: int, monotonic: int) -> int:
        """By how much the wall clock has been stepped since the start; positive is forward."""
        return wall - monotonic - self._offset

    def start_of(self, host: int, started: int, wall: int, monotonic: int) -> int:
        """A start time from the list, on this scale and never in the future.

        A row keeps the reading that it first got, so that a step of our wall clock never looks like a
        restart of every host.
        """
        key = host, started
        found = self._starts.get(key)
        if found is None:
            now = self.now(monotonic)
            # Danger: where clocks disagree, the older reading would make a cold host look warm (rule 4).
            found = min(now, max(started, started - self.step(wall, monotonic)))
            self._starts = {one: at for one, at in self._starts.items() if one[0] != host}
            self._starts[key] = found
        return found
