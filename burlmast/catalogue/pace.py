"""How much of something is given in a time, to all together. Free of I/O."""

from __future__ import annotations

SECOND = 1_000_000_000


class Pace:
    """A bucket that fills evenly up to what a second brings. Times are nanoseconds of one steady clock."""

    def __init__(self, now: int, a_second: float) -> None:
        self._most = max(1.0, a_second)
        self._rate, self._at, self._left = a_second, now, self._most
        self._given: tuple[int, int, int] = (now // SECOND, 0, 0)  # the second, in it, in the one before

    def take(self, now: int) -> bool:
        """Whether one more may be given now; it counts as given."""
        self._left = min(self._most, self._left + max(0, now - self._at) * self._rate / SECOND)
        self._at = max(self._at, now)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        self._roll(now)
        second, given, before = self._given
        self._given = second, given + 1, before
        return True

    def given(self, now: int) -> int:
        """How many in the last whole second."""
        self._roll(now)
        return self._given[2]

    def _roll(self, now: int) -> None:
        second, given, _ = self._given
        this = now // SECOND
        if this != second:
            self._given = this, 0, given if this == second + 1 else 0
