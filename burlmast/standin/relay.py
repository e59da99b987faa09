"""A relay between two processes: their link can be cut, cut one way, delayed, throttled, reset, or left open
and silent, and can lose pieces. What a silent link holds back is delivered when it heals, and what is lost a
little later, as a network's retries would.

    python -m burlmast.standin.relay

runs links by JSON lines on its standard input, each answered by one: `{"links": {"NAME": "host:port"}}` makes
some and tells their ports, `{"put": ["NAME"], "state": {"cut": true}}` changes some, `{"reset": ["NAME"]}`
ends their connections, `{"passed": []}` tells all their bytes. It ends with its input.
"""

from __future__ import annotations

import asyncio
import sys
import zlib
from collections import deque
from typing import Any, NamedTuple, cast

import msgspec


class State(NamedTuple):
    """What a link does with what comes; `up` is towards the target."""

    cut: bool = False
    up: bool = True
    down: bool = True
    delay_s: float = 0.0
    bytes_s: float = 0.0  # of each connection one way; 0: as fast as it goes
    loss: float = 0.0  # the part of pieces that are lost, and come when they are sent again
    again_s: float = 0.2  # after which they are


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
        way = 0 if self.upwards else 1
        self.link.passed[way] += len(data)
        due = max(self._last, now + state.delay_s + self.link.lost(state))
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
            self.link.halves.discard(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._over = True
        if not self._held or self.other is None:
            self.link.halves.discard(self)  # else its close follows what a silent link holds back
        if exc is not None and self.other is not None and self.other.transport is not None:
            self.other.transport.abort()
        else:
            self.pump()

    def abort(self) -> None:
        """End it at once."""
        self._held.clear()
        if self._over:
            self.link.halves.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.abort()


class Link:
    """A link to one target, on a port of its own."""

    def __init__(self, target: tuple[str, int], port: int = 0) -> None:
        """Must be made on a running loop. Port 0: one that is free."""
        self.target, self.state = target, WELL
        self.loop = asyncio.get_running_loop()
        self.halves: set[Half] = set()
        self.port = port
        self.dialled = 0
        self.passed = [0, 0]  # bytes that came, towards the target and back
        self._pieces = 0
        self._held_dials: list[Half] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen; the port. Raises OSError."""
        self._server = await self.loop.create_server(lambda: Half(self, True), "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def dial(self, near: Half) -> None:
        """Reach the target for a connection that has come, once both directions pass: until then no network
        would bring one up."""
        if not (self.state.up and self.state.down):
            self._held_dials.append(near)
            return
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

    def lost(self, state: State) -> float:
        """Seconds by which the next piece is late because it was lost."""
        if not state.loss:
            return 0.0
        self._pieces += 1
        chance = zlib.crc32(f"{self.target}:{self._pieces}".encode()) / 2**32
        return state.again_s if chance < state.loss else 0.0

    def put(self, state: State) -> None:
        """From now on it does this."""
        self.state = state
        for half in list(self.halves):
            if state.cut:
                half.abort()
            else:
                half.pump()
        held, self._held_dials = self._held_dials, []
        for near in held:
            if near in self.halves:
                self.dial(near)

    def reset(self) -> None:
        """End all connections at once; new ones pass."""
        self._held_dials.clear()
        for half in list(self.halves):
            half.abort()

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.reset()


class Asked(msgspec.Struct, frozen=True):
    """A line of standard input; one of its fields."""

    links: dict[str, str] = {}
    put: tuple[str, ...] = ()
    state: dict[str, bool | float] = {}
    reset: tuple[str, ...] = ()


async def take(links: dict[str, Link], asked: Asked) -> dict[str, Any]:
    """Do what a line asks; the answer. Raises KeyError, OSError."""
    for name, target in asked.links.items():
        host, _, port = target.rpartition(":")
        links[name] = Link((host, int(port)))
        await links[name].start()
    for name in asked.put:
        links[name].put(State(**cast(dict[str, Any], asked.state)))
    for name in asked.reset:
        links[name].reset()
    ports = {name: links[name].port for name in asked.links}
    return {"ports": ports, "passed": {name: one.passed for name, one in links.items()}}


async def run() -> None:
    """Until standard input ends."""
    loop, links = asyncio.get_running_loop(), dict[str, Link]()
    lines = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        told = await take(links, msgspec.json.decode(line, type=Asked))
        sys.stdout.write(msgspec.json.encode(told).decode("utf-8") + "\n")
        sys.stdout.flush()
    for one in links.values():
        one.close()


if __name__ == "__main__":
    asyncio.run(run())
