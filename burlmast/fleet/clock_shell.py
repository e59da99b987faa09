"""The fleet's clocks, with the faults that trials put into them."""

from __future__ import annotations

import time


class Clocks:
    """A steady clock that goes on while the machine sleeps, for leases, and the wall clock, for people."""

    def __init__(self, ahead_s: float = 0.0, speed: float = 1.0, wall_speed: float = 1.0) -> None:
        """All are for trials: a wall clock that is wrong, clocks that run at another speed, a wall clock that
        does (under 0: runs back)."""
        self._ahead, self._speed, self._wall_speed = int(ahead_s * 1e9), speed, wall_speed
        self._zero, self._began = self._raw(), time.time_ns()

    @staticmethod
    def _raw() -> int:
        # Danger: the plain monotonic clock stands while a machine sleeps, and a lease would outlive itself.
        return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))

    def steady(self) -> int:
        """Nanoseconds that never go back."""
        raw = self._raw()
        return raw if self._speed == 1.0 else self._zero + int((raw - self._zero) * self._speed)

    def wall(self) -> int:
        """Nanoseconds of the wall clock."""
        wall = time.time_ns()
        if self._wall_speed != 1.0:
            wall = self._began + int((wall - self._began) * self._wall_speed)
        return wall + self._ahead
