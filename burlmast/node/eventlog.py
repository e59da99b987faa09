"""Structured records of what ends, is refused, is retried or is closed: a line each, found by a session's id.

A line reads `TIME GATEWAY event session=… connection=… host=… reason=…`. What is unusual is always recorded;
the ordinary course of a session is recorded for one session in so many, chosen by its id. The log counts as
the process's memory: lines come out of a budget, and those that found none are counted in the next line.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

SECOND = 1_000_000_000  # nanoseconds
SAMPLED_ONE_IN = 64  # sessions
BURST = 200  # lines at once
RESERVED = 100  # of these, for what is unusual
REFILL = SECOND  # nanoseconds a line


def sampled(session: str) -> bool:
    """Whether the ordinary course of this session is recorded."""
    return zlib.crc32(session.encode()) % SAMPLED_ONE_IN == 0


class EventLog:
    """Writes records while its budget lasts."""

    def __init__(self, now: Callable[[], int], write: Callable[[str], None]) -> None:
        """`now` in nanoseconds; `write` takes a line without its end."""
        self._now, self._write = now, write
        self._lines = float(BURST)
        self._filled = now()
        self.dropped = 0  # records since the last line that found no budget

    def record(self, event: str, **fields: object) -> None:
        """Record what is unusual."""
        self._spend(event, fields, 0)

    def _spend(self, event: str, fields: dict[str, object], reserve: int) -> None:
        now = self._now()
        self._lines = min(float(BURST), self._lines + (now - self._filled) / REFILL)
        self._filled = now
        if self._lines < 1 + reserve:
            self.dropped += 1
            return
        self._lines -= 1
        if self.dropped:
            fields["dropped"] = self.dropped
            self.dropped = 0
        self._write(" ".join((event, *(f"{name}={value}" for name, value in fields.items()))))

    def trace(self, event: str, session: str, **fields: object) -> None:
        """Record an ordinary step of a session, if the session is sampled."""
        if sampled(session):
            self._spend(event, {"session": session, **fields}, RESERVED)


def session_name(session: int) -> str:
    """A session's id as viewers write it."""
    return f"{session:016x}"
