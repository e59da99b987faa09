"""A relay between two processes: their link can be cut, cut one way, delayed, throttled, reset, or left open
and silent. What a silent link holds back is delivered when it heals, as a network's retries would."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple, cast


class State(NamedTuple):
    """What a link does with what comes; `up` is towards the target."""

    cut: bool = False
    up: bool = True
    down: bool = True
    delay_s: float = 0.0
    bytes_s: float = 0.0  # 0: as fast as it goes


WELL = State()
CUT = State(cut=True)
SILENT = State(up=False, down=False)
DEAF = State(down=False)  # the target hears, and is not heard
MUTE = State(up=False)  # the target is not reached, though connections stand


class Half(asyncio.Protocol):
    """One direction of one connection."""

    def __init__(self, link: Link, upwards: bool) -> None:
        self.link, self.upwards = link, upwards
        self.other: Half | None = None
        self.transport: asyncio.Transport | None = None
        self._held: deque[tuple[float, bytes]] = deque()  # due, data
        self._timer: asyncio.TimerHandle | None = None
        self._last = 0.0
        self._over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.halves.add(self)
        if self.upwards:
            if self.link.state.cut:
                self.transport.abort()
            else:
                self.link.dial(self)

    def data_received(self, data: bytes) -> None:
        state, now = self.link.state, self.link.loop.time()
        due = max(self._last, now + state.delay_s)
        if state.bytes_s:
            due += len(data) / state.bytes_s
        self._last = due
        self._held.append((due, data))
        self.pump()

    def pump(self) -> None:
        """Pass on what is due, if the link lets it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self.link.loop.time()
        passes = self.link.state.up if self.upwards else self.link.state.down
        ready = self.other is not None and self.other.transport is not None
        while passes and ready and self._held and self._held[0][0] <= now:
            assert self.other is not None and self.other.transport is not None
            self.other.transport.write(self._held.popleft()[1])
        if self._held and passes and ready:
            self._timer = self.link.loop.call_at(self._held[0][0], self.pump)
        elif self._over and ready and not self._held:
            assert self.other is not None and self.other.transport is not None
            self.other.transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.halves.discard(self)
        self._over = True
        if exc is not None and self.other is not None and self.other.transport is not None:
            self.other.transport.abort()
        else:
            self.pump()

    def abort(self) -> None:
        """End it at once."""
        self._held.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.abort()


class Link:
    """A link to one target, on a port of its own."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Must be made on a running loop."""
        self.target, self.state = target, WELL
        self.loop = asyncio.get_running_loop()
        self.halves: set[Half] = set()
        self.port = 0
        self.dialled = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen; the port. Raises OSError."""
        self._server = await self.loop.create_server(lambda: Half(self, True), "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def dial(self, near: Half) -> None:
        """Reach the target for a connection that has come."""
        task = self.loop.create_task(self._dial(near))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, near: Half) -> None:
        self.dialled += 1
        try:
            _, far = await self.loop.create_connection(lambda: Half(self, False), *self.target)
        except OSError:
            near.abort()
            return
        near.other, far.other = far, near
        near.pump()

    def put(self, state: State) -> None:
        """From now on it does this."""
        self.state = state
        for half in list(self.halves):
            if state.cut:
                half.abort()
            else:
                half.pump()

    def reset(self) -> None:
        """End all connections at once; new ones pass."""
        for half in list(self.halves):
            half.abort()

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.reset()
