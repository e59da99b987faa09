"""A media host and a front of viewers that keep to the protocol, each behind a link that can fail."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from burlmast.node import frames
from burlmast.node.frames import Frame, FrameReader, frame
from burlmast.standin.faultlink import Direction, FaultLink, RelayedConnection
from burlmast.trials.cells import HostKind
from burlmast.trials.records import Records, Request, Session

DESCRIPTION = "given\r\nc=IN IP4 127.0.0.2\r\nm=audio 9 RTP/AVP 0\r\n"
REQUESTED = "asked\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
EXTRAS = "home:0;copies:4;top:1;viewer:00000000b4d65521"
ENDED = 16  # cause of a release
NOTE_EVERY = 1.5  # seconds between a host's notes of its link, on one session
FRONT_CONNECTIONS = 3
RECONNECT_AFTER = 0.05  # seconds


class HostConnection(asyncio.Protocol):
    """One connection to a host."""

    def __init__(self, host: TrialHost) -> None:
        self.host, self.reader = host, FrameReader()
        self.transport: asyncio.Transport
        self.written: list[str] = []  # sessions whose release was written here

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.when_awake(lambda: self.host.opened(self))

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data)[0]:
            self.host.when_awake(partial(self.host.received, self, message))

    def eof_received(self) -> bool:
        self.host.when_awake(self.transport.close)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.when_awake(lambda: self.host.lost(self))

    @property
    def link_connection(self) -> RelayedConnection | None:
        """The relayed connection that this is the far end of."""
        port = self.transport.get_extra_info("peername")[1]
        return self.host.relayed.get(port)


class TrialHost:
    """A media host."""

    def __init__(self, records: Records, kind: HostKind) -> None:
        self.records, self.kind = records, kind
        self.connections: list[HostConnection] = []
        self.origins: dict[str, HostConnection] = {}
        self.unheard: list[str] = []  # sessions whose release the next connection carries
        self.relayed: dict[int, RelayedConnection] = {}
        self.answer_after: Callable[[str], float | None] = lambda name: 0.005
        self.on_answer: Callable[[str], None] = lambda name: None
        self.given_up: set[str] = set()
        self.asleep: list[Callable[[], object]] | None = None
        self.link: FaultLink
        self._server: asyncio.Server
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        self._server = await self._loop.create_server(lambda: HostConnection(self), "127.0.0.1", 0)
        self.link = FaultLink(("127.0.0.1", self._server.sockets[0].getsockname()[1]))
        self.link.on_dialled = lambda connection: self.relayed.update({connection.target_port: connection})
        await self.link.start()
        self._loop.call_later(NOTE_EVERY, self._note)

    def close(self) -> None:
        self._server.close()
        self.link.close()
        for connection in self.connections:
            connection.transport.abort()

    def when_awake(self, work: Callable[[], object]) -> None:
        if self.asleep is None:
            work()
        else:
            self.asleep.append(work)

    def hang(self, lasts: float) -> None:
        self.asleep = []
        self._loop.call_later(lasts, self._wake)

    def _wake(self) -> None:
        waiting, self.asleep = self.asleep or [], None
        for work in waiting:
            work()

    def opened(self, connection: HostConnection) -> None:
        if connection.transport.is_closing():
            return
        self.connections.append(connection)
        unheard, self.unheard = self.unheard, []
        for name in unheard:
            self._write_release(connection, name)

    def lost(self, connection: HostConnection) -> None:
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        relayed = connection.link_connection
        if self.kind is HostKind.REPEATS_LOST and _may_have_lost(relayed):
            for name in connection.written:
                another = self._any_open()
                if another is not None:
                    self._write_release(another, name)
                else:
                    self.unheard.append(name)

    def received(self, connection: HostConnection, message: Frame) -> None:
        name = f"{message.session:016x}"
        if message.kind == frames.PING:
            connection.transport.write(frame(frames.PONG, message.session, {frames.CAUSE: b"\x01"}))
        elif message.kind == frames.RELEASE:
            self.given_up.add(name)
            session = self.records.sessions.get(name)
            if session is not None and not session.released_by_gateway:
                session.released_by_gateway = time.monotonic()
        elif message.kind == frames.SETUP:
            self.given_up.discard(name)
            after = self.answer_after(name)
            if after is not None:
                self._loop.call_later(
                    after, lambda: self.when_awake(lambda: self._answer(connection, message, name))
                )

    def _answer(self, connection: HostConnection, message: Frame, name: str) -> None:
        # When a connection is closed, the set-ups open on it are given up.
        if connection not in self.connections or name in self.given_up:
            return
        self.on_answer(name)
        self.origins[name] = connection
        self.records.sessions[name] = Session(name, time.monotonic())
        connection.transport.write(
            frame(frames.ANSWER, message.session, {frames.DESCRIPTION: DESCRIPTION.encode()})
        )

    def end(self, name: str) -> None:
        """The session comes to its end: its release goes out on the connection of its set-up, failing that on
        any open one."""
        self.when_awake(lambda: self._end(name))

    def _end(self, name: str) -> None:
        session = self.records.sessions[name]
        if session.ended or session.released_by_gateway:
            return
        session.ended = time.monotonic()
        connection = self._carrier(name)
        if connection is not None:
            session.release_written = session.ended
            self._write_release(connection, name)
        if connection is None or self.kind is HostKind.REPEATS:
            self.unheard.append(name)

    def _any_open(self) -> HostConnection | None:
        return next((each for each in self.connections if not each.transport.is_closing()), None)

    def _carrier(self, name: str) -> HostConnection | None:
        """The connection of the session's set-up, failing that any open one."""
        origin = self.origins.get(name)
        if origin is not None and origin in self.connections and not origin.transport.is_closing():
            return origin
        return self._any_open()

    def _write_release(self, connection: HostConnection, name: str) -> None:
        connection.written.append(name)
        session = self.records.sessions[name]
        relayed = connection.link_connection
        before = relayed.lost[Direction.DOWN] if relayed is not None else 0
        connection.transport.write(frame(frames.RELEASE, int(name, 16), {frames.CAUSE: bytes((ENDED,))}))
        if relayed is not None:
            self._loop.call_later(0.1, self._see_lost, relayed, before, session)

    def _see_lost(self, relayed: RelayedConnection, before: int, session: Session) -> None:
        session.release_lost = relayed.lost[Direction.DOWN] > before or not relayed.up

    def _note(self) -> None:
        standing = [s for s in self.records.sessions.values() if not (s.ended or s.released_by_gateway)]
        if standing and self.asleep is None:
            name = standing[0].name
            connection = self._carrier(name)
            if connection is not None:
                parameters = {frames.NEWS: b"wire", frames.FIGURE: b"0.5"}
                connection.transport.write(frame(frames.NOTE, int(name, 16), parameters))
        self._loop.call_later(NOTE_EVERY, self._note)


def _may_have_lost(relayed: RelayedConnection | None) -> bool:
    """Whether what a host wrote last on a connection may not have come to the other end."""
    return relayed is None or relayed.failed or any(relayed.lost.values())


class ViewerConnection(asyncio.Protocol):
    """One connection of the front."""

    def __init__(self, front: Front) -> None:
        self.front, self.rest = front, b""
        self.transport: asyncio.Transport
        self.open: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.front.connections.append(self)

    def data_received(self, data: bytes) -> None:
        *whole, self.rest = (self.rest + data).split(b"\n")
        for line in whole:
            self.front.received(self, json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.lost(self)

    def send(self, kind: str, name: str, **more: Any) -> None:
        message = {"type": kind, "id": name, "fields": {}, **more}
        if not self.transport.is_closing():
            self.transport.write(json.dumps(message).encode() + b"\n")

    @property
    def port(self) -> int:
        """From which it has dialled."""
        return int(self.transport.get_extra_info("sockname")[1])


class Front:
    """The viewers' side: keeps some connections open, asks on them, and acknowledges each end."""

    def __init__(self, records: Records, link: FaultLink) -> None:
        self.records, self.link = records, link
        self.connections: list[ViewerConnection] = []
        self.keeps = True  # whether it replaces a connection that is lost
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def connect(self) -> None:
        """Open one more connection. Raises OSError."""
        await self._loop.create_connection(lambda: ViewerConnection(self), "127.0.0.1", self.link.port)

    def ask(self, connection: ViewerConnection, name: str, left: float, at: str = "") -> Request:
        """Ask for a session on a connection; `at` hands over one that stands there."""
        now = time.monotonic()
        extras = f"{EXTRAS};at:{at}" if at else EXTRAS
        fields = {"class": "paid", "left": str(round(left * 1000)), "key": name[-4:], "extras": extras}
        if not at:
            self.records.requests[name] = Request(name, now, now + left)
            connection.open.add(name)
        connection.send("setup", name, fields=fields, sdp=REQUESTED)
        return self.records.requests[name]

    def end(self, connection: ViewerConnection, name: str) -> None:
        """The viewer ends its session."""
        self.records.requests[name].ended_by_viewer = time.monotonic()
        connection.send("release", name, cause=ENDED)

    def received(self, connection: ViewerConnection, message: dict[str, Any]) -> None:
        now, name, kind = time.monotonic(), message["id"], message["type"]
        if kind == "release":
            connection.send("released", name)
        request = self.records.requests.get(name)
        if request is None or kind not in ("answer", "release", "move"):
            return
        connection.open.discard(name)
        if request.answers and (kind != "answer"):
            request.ends.append(now)
        else:
            request.answers.append((now, kind))

    def lost(self, connection: ViewerConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        for name in connection.open:
            self.records.requests[name].connection_lost = True
        if self.keeps:
            self._loop.call_later(RECONNECT_AFTER, self._reconnect)

    def _reconnect(self) -> None:
        if self.keeps:
            task = self._loop.create_task(self.connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        self.keeps = False
        for connection in list(self.connections):
            connection.transport.abort()
