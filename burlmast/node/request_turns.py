"""Shares the time for decisions out among viewers' connections, a turn of the event loop at a time."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Any, Generic, TypeVar

from burlmast.node.request_queue import TURN, QueuedRequest, RequestQueue

Connection = TypeVar("Connection", bound=Hashable)
Content = TypeVar("Content")


class RequestTurns(Generic[Connection, Content]):
    """Decides on a request as it comes while this turn has time left, and on what waits in later turns."""

    def __init__(
        self,
        now: Callable[[], int],
        call_soon: Callable[[Callable[[], None]], Any],
        decide: Callable[[QueuedRequest[Connection, Content]], None],
        refuse: Callable[[QueuedRequest[Connection, Content], str], None],
    ) -> None:
        """`call_soon` calls once sockets and timers have been looked at; `refuse` takes a reason as well."""
        self._now, self._call_soon, self._decide, self._refuse = now, call_soon, decide, refuse
        self.queue: RequestQueue[Connection, Content] = RequestQueue()
        self._turn_ends: int | None = None  # nanoseconds; None: nothing has been decided in this turn

    def arrive(self, name: str, connection: Connection, content: Content, size: int, patience: int) -> None:
        """A request that its viewer waits for so long: it is decided on now, later, or refused at once."""
        now = self._now()
        request = QueuedRequest(name, connection, content, size, now, now)
        if not self.queue.waiting(connection) and self._time_left(now):
            self._decide(request)
        elif not self.queue.add(name, connection, content, size, now, patience):
            self._refuse(request, "queue_full")

    def _time_left(self, now: int) -> bool:
        if self._turn_ends is None:
            self._turn_ends = now + TURN
            self._call_soon(self._next_turn)
        return now < self._turn_ends

    def _next_turn(self) -> None:
        self._turn_ends = None
        if len(self.queue):
            self._time_left(self._now())  # there is a next turn, whatever comes of this one
        for expired in self.queue.expired(self._now()):
            self._refuse(expired, "waited_too_long")
        while len(self.queue) and self._time_left(self._now()):
            request = self.queue.take()
            if request is not None:
                self._decide(request)
