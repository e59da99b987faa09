"""The budget of further set-up attempts of one gateway. Free of I/O.

In any window of the stated length, the attempts beyond each playback's first are at most a stated number and
a stated share of the playbacks that were taken in it (WIRE, rule 6). An attempt is booked when it is decided;
its booking moves to the time of its write, and is taken back where nothing is written. Times in nanoseconds.
"""

from __future__ import annotations

from collections import deque

from burlmast import api


def remove_one(times: deque[int], at: int) -> None:
    """Remove one entry of this time, if there is one."""
    if at in times:
        times.remove(at)


class AttemptBudget:
    """What was taken and what was booked within the window."""

    def __init__(self, rules: api.HouseRules, beat: int) -> None:
        """`beat` is the safety margin at the edge of the window, which is the counter's."""
        self._rules, self._beat = rules, beat
        self._requests: deque[int] = deque()
        self._booked: deque[int] = deque()

    @property
    def limited(self) -> bool:
        """Whether a budget is stated."""
        return self._rules.further_free is not None

    def take_request(self, now: int) -> None:
        """A playback has been taken."""
        if self.limited:
            self._forget(now)
            self._requests.append(now)

    def left(self, now: int, booked: int | None = None) -> float:
        """How many further attempts there is room for; `booked` is when the asking one was, if it was."""
        if self._rules.further_free is None:
            return float("inf")
        self._forget(now)
        spent = len(self._booked) - (booked is not None and booked in self._booked)
        return self._rules.further_free + self._rules.further_ratio * len(self._requests) - spent

    def book(self, now: int) -> None:
        """A further attempt is decided."""
        if self.limited:
            self._booked.append(now)

    def move(self, booked: int, now: int) -> None:
        """What was booked at a time is written now."""
        if self.limited:
            remove_one(self._booked, booked)
            self._booked.append(now)

    def take_back(self, booked: int) -> None:
        """What was booked at a time is not written."""
        remove_one(self._booked, booked)

    def _forget(self, now: int) -> None:
        span, beat = self._rules.further_span, self._beat
        while self._requests and now - self._requests[0] >= span - beat:
            self._requests.popleft()
        while self._booked and now - self._booked[0] > span + beat:
            self._booked.popleft()
