"""Virtual time: what happens next, in one order that depends on nothing but the seed."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Engine:
    """A heap of calls; at one instant they run in the order in which they were set."""

    def __init__(self, start: int) -> None:
        self.now = start
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, due: int, call: Callable[..., None], *words: Any) -> None:
        """Call at a time in nanoseconds, or now if that has passed."""
        self._count += 1
        heappush(self._calls, (max(due, self.now), self._count, call, words))

    def after(self, wait: int, call: Callable[..., None], *words: Any) -> None:
        """Call after so many nanoseconds."""
        self.at(self.now + wait, call, *words)

    def run(self, until: int) -> int:
        """Run what is due up to then; how many calls that were."""
        done = 0
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, words = heappop(self._calls)
            call(*words)
            done += 1
        self.now = max(self.now, until)
        return done
