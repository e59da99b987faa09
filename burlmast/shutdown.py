"""Decides how long a gateway that has received SIGTERM may take for a request. Free of I/O.

The process may be killed once the longest deadline of its classes, 3 s at most, and 0.7 s more have passed
since SIGTERM (the platform's protocol, "Figures"), while clients go on sending on open connections. A request
that has no answer by then is lost: each is answered before the earliest kill, and at once where too little
time is left.
"""

from __future__ import annotations

from collections.abc import Iterable

MS = 1_000_000
LONGEST_DEADLINE = 3_000 * MS  # a longer one of a class counts as this
GRACE = 700 * MS
MARGIN = 300 * MS  # before the earliest kill: all that is held is answered then, by a busy process
SHORTEST = 50 * MS  # in less time no host is likely to answer


class Shutdown:
    """The time left to a gateway. Times in nanoseconds on one clock."""

    def __init__(self, deadlines: Iterable[int]) -> None:
        """`deadlines` are those of the request classes."""
        self._longest = min(max(deadlines, default=0), LONGEST_DEADLINE)
        self.answers_by: int | None = None  # when the last answer has to be out; None: no end is in sight

    def begin(self, sent_since: int) -> int:
        """SIGTERM has come, perhaps again; when the last answer has to be out.

        `sent_since` is the earliest time at which it may have been sent: a process that was stopped handles
        it late, and the platform counts from when it sent it."""
        if self.answers_by is None:
            self.answers_by = sent_since + self._longest + GRACE - MARGIN
        return self.answers_by

    def time_allowed(self, now: int, wanted: int) -> int:
        """How much of the time that a new request leaves may be used; 0: refuse it at once."""
        if self.answers_by is None:
            return wanted
        left = min(wanted, self.answers_by - now)
        return left if left >= min(wanted, SHORTEST) else 0
