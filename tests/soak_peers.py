"""The soak's hosts and viewers: they keep to the protocol and fail as the schedule says."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from platform_standin import EXTRAS, GIVEN
from soak_records import SessionRecord
from soak_schedule import ENDED, ERROR, FULL

from burlmast.node import frames
from burlmast.node.frames import Frame, FrameReader, frame
from burlmast.standin.relay import Link

if TYPE_CHECKING:
    from node_soak import Soak


class Writer:
    """Writes whole messages, some of them in two pieces; what comes in between waits."""

    def __init__(self, later: Callable[[float, Callable[[], object]], None]) -> None:
        self.transport: Any = None
        self._later, self._waiting = later, list[bytes]()
        self._busy = False

    def write(self, data: bytes, pieces_after: float = 0.0) -> None:
        if self.transport.is_closing():
            return
        if self._busy:
            self._waiting.append(data)
        elif pieces_after:
            self._busy = True
            self.transport.write(data[: len(data) // 3])
            self._later(pieces_after, lambda: self._finish(data[len(data) // 3 :]))
        else:
            self.transport.write(data)

    def _finish(self, rest: bytes) -> None:
        self._busy = False
        waiting, self._waiting = self._waiting, []
        for data in (rest, *waiting):
            self.write(data)


class HostSide(asyncio.Protocol, Writer):
    """One connection from the gateway to a host."""

    def __init__(self, host: SoakHost) -> None:
        Writer.__init__(self, host.soak.later)
        self.host, self.reader = host, FrameReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.host.hung:
            self.transport.pause_reading()
        self.host.opened(self)

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data)[0]:
            self.host.received(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.lost(self)

    def send(self, data: bytes, pieces_after: float = 0.0) -> None:
        """Write once the host does not hang."""
        self.host.when_awake(lambda: self.write(data, pieces_after))


class SoakHost:
    """A media host that keeps to the protocol and fails as the schedule says."""

    def __init__(self, soak: Soak, name: str, port: int = 0) -> None:
        self.soak, self.name, self.port = soak, name, port  # the port at which the gateway reaches it
        self.link: Link | None = None  # between the gateway and it
        self.cut: list[tuple[float, float]] = []  # when its link held back what passed, or reset
        self.connections: list[HostSide] = []
        self.origins: dict[str, HostSide] = {}
        self.sessions: dict[str, SessionRecord] = {}
        self.to_repeat: list[bytes] = []
        self.asleep: list[Callable[[], object]] = []
        self.given_up: set[str] = set()
        self.hung = self.spoils = self.dead = False
        self.set_ups: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostSide(self), "127.0.0.1", 0)
        self.link = Link(("127.0.0.1", self.server.sockets[0].getsockname()[1]), self.port)
        self.port = await self.link.start()

    def when_awake(self, work: Callable[[], object]) -> None:
        self.asleep.append(work) if self.hung else work()

    def opened(self, connection: HostSide) -> None:
        self.connections.append(connection)
        repeated, self.to_repeat = self.to_repeat, []
        self.soak.note(self.name, f"a connection comes up, {len(repeated)} releases are repeated on it")
        for message in repeated:
            connection.send(message)

    def lost(self, connection: HostSide) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.soak.note(self.name, f"a connection is lost, {len(self.connections)} are left")

    def received(self, connection: HostSide, message: Frame) -> None:
        name, chance = f"{message.session:016x}", self.soak.chance
        if message.kind == frames.PING:
            connection.send(frame(frames.PONG, message.session, {frames.CAUSE: b"\x01"}))
        elif message.kind == frames.RELEASE:
            session = self.sessions.get(name)
            self.given_up.add(name)
            self.soak.note(name, f"{self.name} receives its release")
            if session is not None and not session.ended:
                session.ended, session.ended_by_gateway = time.monotonic(), True
        elif message.kind == frames.SETUP:
            self.set_ups.append((time.monotonic(), name))
            self.given_up.discard(name)
            self.soak.note(name, f"{self.name} receives its set-up")
            fate = chance.random()
            if fate < 0.08:
                connection.send(release_of(name, FULL))
                if fate < 0.02:  # a second copy, late
                    self.soak.later(0.01, lambda: connection.send(release_of(name, FULL)))
            elif fate < 0.12:
                connection.send(release_of(name, ERROR))
            elif fate < 0.16 and self.spoils:
                connection.send(answer_to(message)[:20])
            else:
                self.soak.later(chance.uniform(0, 0.03), lambda: self.answer(connection, name, message))

    def answer(self, connection: HostSide, name: str, message: Frame) -> None:
        if self.dead or connection not in self.connections or name in self.given_up:
            return
        session = self.sessions[name] = SessionRecord(name, self.name, time.monotonic())
        self.soak.sessions.append(session)
        self.soak.note(name, f"{self.name} answers")
        self.origins[name] = connection
        connection.send(answer_to(message), 0.01 if self.soak.chance.random() < 0.1 else 0.0)
        self.soak.later(self.soak.chance.uniform(0.02, 2.5), lambda: self.end(session))

    def end(self, session: SessionRecord) -> None:
        """The session has come to its end: its release goes out as the protocol has it."""

        def release() -> None:
            if session.ended or self.dead:
                return
            session.ended = time.monotonic()
            origin = self.origins.get(session.name)
            open_ones = [one for one in self.connections if not one.transport.is_closing()]
            chosen = origin if origin in open_ones else next(iter(open_ones), None)
            message = release_of(session.name, ENDED)
            self.to_repeat.append(message)
            self.soak.note(session.name, f"ends at {self.name}, {len(open_ones)} connections open")
            if chosen is not None:
                session.released = session.ended
                chosen.write(message)

        self.when_awake(release)

    def hang(self, lasts: float) -> None:
        self.hung = True
        for connection in self.connections:
            connection.transport.pause_reading()
        self.soak.later(lasts, self.wake)

    def wake(self) -> None:
        if not self.hung or self.dead:
            return
        self.hung = False
        asleep, self.asleep = self.asleep, []
        for work in asleep:
            work()
        for connection in self.connections:
            connection.transport.resume_reading()

    def drop_connections(self, reset: bool) -> None:
        for connection in list(self.connections):
            self.connections.remove(connection)
            connection.transport.abort() if reset else connection.transport.close()

    def die(self) -> None:
        self.dead = True
        if self.server is not None:
            self.server.close()
        if self.link is not None:
            self.link.close()
        for session in self.sessions.values():
            session.ended = session.ended or time.monotonic()
        self.drop_connections(reset=True)


class Viewer(asyncio.Protocol, Writer):
    """One connection of the viewers' front."""

    def __init__(self, soak: Soak) -> None:
        Writer.__init__(self, soak.later)
        self.soak = soak
        self.rest = b""
        self.open: set[str] = set()
        self.closed = self.paused = False
        self.handed_over = 0.0  # when sessions were last handed over on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *whole, self.rest = (self.rest + data).split(b"\n")
        for line in whole:
            self.soak.heard(self, json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.soak.connection_lost(self)

    def send(self, message: dict[str, Any]) -> None:
        if not self.closed:
            self.write(json.dumps(message).encode() + b"\n")


def release_of(name: str, cause: int) -> bytes:
    return frame(frames.RELEASE, int(name, 16), {frames.CAUSE: bytes((cause,))})


def answer_to(message: Frame) -> bytes:
    return frame(frames.ANSWER, message.session, {frames.DESCRIPTION: GIVEN.encode()})


def bad_set_up(name: str) -> bytes:
    fields = {"class": "none", "left": "NaN", "key": "x", "extras": EXTRAS}
    return json.dumps({"type": "setup", "id": name, "fields": fields, "sdp": "other"}).encode() + b"\n"
