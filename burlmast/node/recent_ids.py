"""Ids under which something may have run lately, each of which is used once (PROTOCOL, "the id is new").

Free of I/O."""

from __future__ import annotations

SECOND = 1_000_000_000  # nanoseconds
KEPT_FOR = 30 * SECOND  # longer than a client that has left would still come again for its answer
MOST = 8_192  # ids; the oldest go first


class RecentIds:
    """Ids whose session is over, by when it ended."""

    def __init__(self) -> None:
        self._ended_at: dict[str, int] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._ended_at)

    def add(self, name: str, now: int) -> None:
        """The session of this id is over, and a host may have begun with it."""
        self._ended_at.pop(name, None)
        self._ended_at[name] = now
        while len(self._ended_at) > MOST or self._oldest() < now - KEPT_FOR:
            del self._ended_at[next(iter(self._ended_at))]

    def used(self, name: str, now: int) -> bool:
        """Whether a host may have begun with a session of this id lately."""
        ended_at = self._ended_at.get(name)
        return ended_at is not None and now - ended_at <= KEPT_FOR

    def _oldest(self) -> int:
        return next(iter(self._ended_at.values()))
