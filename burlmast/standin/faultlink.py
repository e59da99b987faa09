"""A TCP relay whose every connection can fail by itself; a fault is put on one connection or on all.

Unlike `relay.Link`, whose state holds for all its connections alike, one connection here can pass nothing for
good while others beside it stay busy, and can end on one side before it does on the other.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, cast


class Direction(Enum):
    """Which way bytes go."""

    UP = "up"  # from who dialled
    DOWN = "down"  # to who dialled


class Rule(NamedTuple):
    """What happens to bytes that come."""

    delay: float = 0.0  # seconds
    holds: bool = False  # kept until another rule is put
    drops: bool = False  # discarded while the connection stays up
    cut_after: int = -1  # bytes that still pass, the rest is discarded; -1: all do


PASSES = Rule()
HOLDS = Rule(holds=True)
DROPS = Rule(drops=True)


NO_LINGER = struct.pack("ii", 1, 0)  # a close then resets the connection, also where nothing is unread


def reset_transport(transport: asyncio.Transport) -> None:
    """Close at once by a reset; `abort` alone may close in order."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        transport.abort()


class Answer(Enum):
    """How a box between answers a close that it does not pass on."""

    IN_ORDER = "it closes its side too"
    BY_RESET = "it resets its side"


class _Side(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, connection: RelayedConnection, direction: Direction) -> None:
        """`direction` is that of the bytes that are read here."""
        self.connection, self.direction = connection, direction
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connection.side_made(self)

    def data_received(self, data: bytes) -> None:
        self.connection.received(self.direction, data)

    def eof_received(self) -> bool:
        return self.connection.side_half_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.connection.side_lost(self, reset=exc is not None)


class RelayedConnection:
    """A connection from a client to the target."""

    def __init__(self, link: FaultLink) -> None:
        self.link = link
        self.rules = dict(link.rules)
        self.passes_half_close = True
        self.answers_close: Answer | None = None  # how a box between answers the client's close by itself
        self.lost = {Direction.UP: 0, Direction.DOWN: 0}  # bytes that were discarded
        self.failed = False  # whether it was ended here, perhaps with bytes on their way
        self.client_side = _Side(self, Direction.UP)
        self.target_side = _Side(self, Direction.DOWN)
        self._held = {
            Direction.UP: deque[tuple[float, bytes]](),
            Direction.DOWN: deque[tuple[float, bytes]](),
        }
        self._half_closed: set[Direction] = set()
        self._reset: set[Direction] = set()

    @property
    def client_port(self) -> int:
        """The port from which the client dialled."""
        assert self.client_side.transport is not None
        return int(self.client_side.transport.get_extra_info("peername")[1])

    @property
    def target_port(self) -> int:
        """The port from which the target sees it; 0 before it is dialled."""
        transport = self.target_side.transport
        return int(transport.get_extra_info("sockname")[1]) if transport is not None else 0

    @property
    def up(self) -> bool:
        """Whether both sides are open."""
        sides = (self.client_side.transport, self.target_side.transport)
        return all(transport is not None and not transport.is_closing() for transport in sides)

    def put(self, rule: Rule, *directions: Direction) -> None:
        """From now on bytes that go this way meet this rule; both ways where none is named."""
        for direction in directions or tuple(Direction):
            self.rules[direction] = rule
            self._pump(direction)

    def reset(self) -> None:
        """Reset both sides."""
        self._fail()
        for side in (self.client_side, self.target_side):
            if side.transport is not None:
                reset_transport(side.transport)

    def close(self) -> None:
        """Close both sides; what is held is discarded."""
        self._fail()
        for side in (self.client_side, self.target_side):
            if side.transport is not None:
                side.transport.close()

    def reset_client(self, target_after: float) -> None:
        """Reset the client's side now, the target's after so many seconds; what comes until then is lost."""
        self._fail()
        self.put(DROPS)
        if self.client_side.transport is not None:
            reset_transport(self.client_side.transport)
        self.link.loop.call_later(target_after, self.reset)

    def close_client(self, target_after: float) -> None:
        """Close the client's side in order now, reset the target's later; what comes until then is lost."""
        self._fail()
        self.put(DROPS)
        if self.client_side.transport is not None:
            self.client_side.transport.close()
        self.link.loop.call_later(target_after, self.reset)

    def discard_held(self) -> None:
        """What is held is lost, and the connection goes on."""
        for direction, held in self._held.items():
            self.lost[direction] += sum(len(data) for _, data in held)
            held.clear()

    def side_made(self, side: _Side) -> None:
        """A side is up."""
        if side is self.client_side:
            self.link.dial(self)
        else:
            for direction in Direction:
                self._pump(direction)

    def received(self, direction: Direction, data: bytes) -> None:
        """Bytes that are to go this way."""
        rule = self.rules[direction]
        if rule.drops:
            self.lost[direction] += len(data)
            return
        if rule.cut_after >= 0:
            self.lost[direction] += max(0, len(data) - rule.cut_after)
            data, rest = data[: rule.cut_after], max(0, rule.cut_after - len(data))
            self.rules[direction] = rule._replace(cut_after=rest)
        if data:
            self._held[direction].append((self.link.loop.time() + rule.delay, data))
            self._pump(direction)

    def side_half_closed(self, side: _Side) -> bool:
        """One end writes no more; whether its side stays open."""
        if side is self.client_side and self.answers_close is not None:
            self._answer_close(self.answers_close)
            return True
        if not self.passes_half_close:
            return False
        self._half_closed.add(side.direction)
        self._pump(side.direction)
        return True

    def _answer_close(self, answer: Answer) -> None:
        transport = self.client_side.transport
        if transport is not None:
            transport.close() if answer is Answer.IN_ORDER else reset_transport(transport)

    def side_lost(self, side: _Side, reset: bool) -> None:
        """One side is gone, and so the other is; a box that drops what it reads says nothing of it."""
        self.failed |= reset
        other = self.target_side if side is self.client_side else self.client_side
        rule = self.rules[side.direction]
        if other.transport is None or rule.drops or rule.holds:
            return
        if reset:
            self._reset.add(side.direction)
        # What was sent before passes before, however late.
        self._half_closed.add(side.direction)
        self._pump(side.direction)

    def _pump(self, direction: Direction) -> None:
        held, receiver = self._held[direction], self._receiver(direction)
        if receiver is None or self.rules[direction].holds:
            return
        now = self.link.loop.time()
        while held and held[0][0] <= now:
            data = held.popleft()[1]
            if receiver.is_closing():
                self.lost[direction] += len(data)
            receiver.write(data)
        if held:
            self.link.loop.call_at(held[0][0] + 0.0005, self._pump, direction)
        elif direction in self._half_closed and not self.rules[direction].drops:
            self._end(direction, receiver)

    def _end(self, direction: Direction, receiver: asyncio.Transport) -> None:
        if direction in self._reset:
            reset_transport(receiver)
            return
        sender = (self.client_side if direction is Direction.UP else self.target_side).transport
        if sender is None or sender.is_closing():
            receiver.close()
        elif not receiver.is_closing() and receiver.can_write_eof():
            try:
                receiver.write_eof()
            except OSError:  # it has been reset, which is read next
                receiver.abort()

    def _receiver(self, direction: Direction) -> asyncio.Transport | None:
        return (self.target_side if direction is Direction.UP else self.client_side).transport

    def _fail(self) -> None:
        self.failed = True
        self.discard_held()


class FaultLink:
    """A link to one target, on a port of its own."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Must be made on a running loop."""
        self.target, self.port = target, 0
        self.loop = asyncio.get_running_loop()
        self.connections: list[RelayedConnection] = []  # in the order in which they were accepted
        self.rules = dict.fromkeys(Direction, PASSES)  # of connections that are accepted from now on
        self.dials = True  # whether new connections reach the target; if not, they wait
        self.on_dialled: Callable[[RelayedConnection], None] = lambda connection: None
        self._waiting: list[RelayedConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen; the port. Raises OSError."""
        self._server = await self.loop.create_server(self._accept, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def _accept(self) -> _Side:
        connection = RelayedConnection(self)
        self.connections.append(connection)
        return connection.client_side

    def dial(self, connection: RelayedConnection) -> None:
        """Reach the target for a connection, now or once the link dials again."""
        if not self.dials:
            self._waiting.append(connection)
            return
        task = self.loop.create_task(self._dial(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, connection: RelayedConnection) -> None:
        try:
            await self.loop.create_connection(lambda: connection.target_side, *self.target)
        except OSError:
            connection.reset()
            return
        self.on_dialled(connection)

    def put(self, rule: Rule, *directions: Direction) -> None:
        """All connections, and those to come."""
        for direction in directions or tuple(Direction):
            self.rules[direction] = rule
        for connection in self.connections:
            connection.put(rule, *directions)

    def let_dial(self, dials: bool) -> None:
        """Whether new connections reach the target."""
        self.dials = dials
        if dials:
            waiting, self._waiting = self._waiting, []
            for connection in waiting:
                if connection.client_side.transport is not None:
                    self.dial(connection)

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in self.connections:
            connection.reset()
