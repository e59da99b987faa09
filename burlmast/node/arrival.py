"""When what is read from a connection may have come. Free of I/O.

A request's time counts from its last byte (PROTOCOL, "Figures"), and a process that was stopped, or found no
time, reads it late. What a reading tells is only that it came after the socket was last known to be empty and
before now; the earliest of these times is safe for a deadline. Times in nanoseconds on one clock.
"""

from __future__ import annotations

MS = 1_000_000
TICK = 250 * MS  # between two looks at the clock, by a process that finds time
READ_AFTER_GAP = 250 * MS  # within which all sockets have been looked at once


class LoopGaps:
    """The last gap in which this process read nothing, as ticks that should be regular show it."""

    def __init__(self, now: int) -> None:
        self._last_tick = self.since = now
        self.until = 0  # when the last gap ended; 0: there was none

    def tick(self, now: int) -> None:
        """The process has time: note whether it has had none for long."""
        if now - self._last_tick >= 2 * TICK:
            self.since, self.until = self._last_tick, now
        self._last_tick = now

    def just_ended(self, now: int) -> bool:
        """Whether sockets may hold what came in a gap."""
        self.tick(now)
        return now - self.until < READ_AFTER_GAP

    def waiting_since(self, now: int) -> int:
        """Since when what is handled now may have waited: `now`, or the begin of a gap that just ended."""
        return self.since if self.just_ended(now) else now


class Arrival:
    """The earliest time at which what was read last on one connection may have come."""

    __slots__ = ("_emptied_at", "_read_at", "earliest")

    def __init__(self) -> None:
        self._emptied_at = 0  # when the socket was last read empty; 0: never
        self.earliest = self._read_at = 0

    def read(self, now: int, gaps: LoopGaps, emptied: bool) -> None:
        """Something has been read; `emptied`: nothing is left in the socket."""
        after_gap = gaps.just_ended(now) and self._emptied_at < gaps.until
        self.earliest = max(self._emptied_at, gaps.since) if after_gap else now
        self._read_at = now
        if emptied:
            self._emptied_at = now

    @property
    def uncertain(self) -> bool:
        """Whether what was read may have come long before."""
        return self.earliest < self._read_at

    def came_at(self, at: int) -> None:
        """The socket tells when its last bytes came, and they were all that was read."""
        self.earliest = max(self.earliest, at)

    def waited(self, now: int) -> int:
        """How long it may have waited at most."""
        return max(0, now - self.earliest)
