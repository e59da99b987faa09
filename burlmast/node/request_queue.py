"""Requests that wait for their decision, a turn for each connection in rotation. Free of I/O.

A decision costs far more than reading its request. One connection may ask faster than decisions are made:
its requests then wait here and are refused when they have waited too long, while those of the other
connections are decided in between. Times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Generic, TypeVar

MS = 1_000_000
TURN = 2 * MS  # spent on decisions before the event loop looks at its sockets and timers again
WAIT_MOST = 500 * MS  # for a decision, and at most half of the time that the viewer waits for its answer
REQUESTS_MOST = 256  # of one connection, so many wait
BYTES_MOST = 2 << 20  # of descriptions and titles, of all connections
CONNECTION_BYTES_MOST = BYTES_MOST // 4

Connection = TypeVar("Connection", bound=Hashable)
Content = TypeVar("Content")


@dataclass(slots=True, eq=False)
class QueuedRequest(Generic[Connection, Content]):
    """A request of sound form that nothing has been decided on."""

    name: str  # its id
    connection: Connection
    content: Content
    size: int  # bytes
    queued_at: int
    refuse_at: int
    waits: bool = True


class RequestQueue(Generic[Connection, Content]):
    """All requests that wait, first come first served within a connection, connections in turn."""

    def __init__(self) -> None:
        self._waiting: dict[str, QueuedRequest[Connection, Content]] = {}
        # What waits by connection, the one whose turn it is first; none is empty.
        self._lanes: dict[Connection, dict[str, QueuedRequest[Connection, Content]]] = {}
        self._sizes: dict[Connection, int] = {}
        self._size = 0
        self._expiries: list[tuple[int, int, QueuedRequest[Connection, Content]]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting(self, connection: Connection) -> int:
        """How many requests of this connection wait."""
        return len(self._lanes.get(connection, ()))

    def add(
        self, name: str, connection: Connection, content: Content, size: int, now: int, patience: int
    ) -> bool:
        """Let a request wait, of a viewer that waits so long for its answer; False where there is no room."""
        of_connection = self._sizes.get(connection, 0) + size
        if (
            self.waiting(connection) >= REQUESTS_MOST
            or of_connection > CONNECTION_BYTES_MOST
            or self._size + size > BYTES_MOST
        ):
            return False
        request = QueuedRequest(name, connection, content, size, now, now + min(WAIT_MOST, patience // 2))
        self._lanes.setdefault(connection, {})[name] = request
        self._sizes[connection] = of_connection
        self._size += size
        self._waiting[name] = request
        self._count += 1
        heappush(self._expiries, (request.refuse_at, self._count, request))
        return True

    def take(self) -> QueuedRequest[Connection, Content] | None:
        """The next request: of the connection whose turn it is, which then goes behind the others."""
        if not self._lanes:
            return None
        connection, lane = next(iter(self._lanes.items()))
        request = next(iter(lane.values()))
        self._settle(request)
        if lane:
            self._lanes[connection] = self._lanes.pop(connection)
        return request

    def find(self, name: str) -> QueuedRequest[Connection, Content] | None:
        """The request that waits under this id."""
        return self._waiting.get(name)

    def cancel(self, name: str) -> QueuedRequest[Connection, Content] | None:
        """Take this request out, if it waits."""
        request = self._waiting.get(name)
        if request is not None:
            self._settle(request)
        return request

    def drop(self, connection: Connection) -> list[QueuedRequest[Connection, Content]]:
        """Take out all that waits of this connection."""
        dropped = list(self._lanes.get(connection, {}).values())
        for request in dropped:
            self._settle(request)
        return dropped

    def expired(self, now: int) -> list[QueuedRequest[Connection, Content]]:
        """Take out all that has waited too long."""
        late = []
        while self._expiries and (self._expiries[0][0] <= now or not self._expiries[0][2].waits):
            request = heappop(self._expiries)[2]
            if request.waits:
                self._settle(request)
                late.append(request)
        return late

    def _settle(self, request: QueuedRequest[Connection, Content]) -> None:
        request.waits = False
        del self._waiting[request.name]
        lane = self._lanes[request.connection]
        del lane[request.name]
        self._size -= request.size
        self._sizes[request.connection] -= request.size
        if not lane:
            del self._lanes[request.connection], self._sizes[request.connection]
