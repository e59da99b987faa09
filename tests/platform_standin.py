"""The platform for tests: stand-in hosts, name server and viewers round one gateway on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import subprocess
import sys
import time
import tomllib
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import dns.flags
import dns.message
import dns.rcode
import dns.rrset

from burlmast.node import frames
from burlmast.node.configuration import read
from burlmast.node.frames import Frame, FrameReader, frame
from burlmast.node.names import SERVICE
from burlmast.node.program import Program

ID = "9b1f03aa5c7e2d41"
SDP = "ask\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
GIVEN = "given\r\nc=IN IP4 127.0.0.2\r\nm=audio 9 RTP/AVP 0\r\n"
ROOT = Path(__file__).parent.parent
EXTRAS = "home:0;copies:4;top:1;viewer:00000000b4d65521"
SETTINGS: dict[str, Any] = {
    "siblings": 1,
    "slotNo": 0,
    "tickMs": 10.0,
    "discovery": "automatic",
    "areas": ["east", "west"],
    "kinds": ["std"],
    "requestClasses": [
        {"credit": 1.0, "goalTimeMs": 400.0, "hardLimitMs": 1500.0, "semantics": "repeatable", "name": "paid"}
    ],
    "familyInfo": {
        "cells": 4, "racks": 1, "kbPerWeight": 8000.0, "rackKb": 20000.0, "kindStreams": [300],
        "rungKb": [200.0, 400.0], "worthByRung": [0.3, 1.0], "toldEveryMs": 3000.0,
    },
    "allowed": {"probes": True, "mayTell": False, "cancel": True, "maxAttempts": 3, "connectTimeoutMs": 250.0,
                "streamsPerConn": 32},
    "rules": {"drainGraceMs": 1000.0, "coldFrom": 0.4, "warmAfterMs": 1.0, "fallMs": 2000.0,
              "fallMultiple": 3.0},
    "report": {"source": "silent", "fields": ["busy_reqs", "x0"]},
}  # fmt: skip


async def until(condition: Callable[[], object], within: float = 8.0) -> None:
    """Wait for a condition; fails loudly where it does not come."""
    end = time.monotonic() + within
    while not condition():
        assert time.monotonic() < end, "waited in vain"
        await asyncio.sleep(0.005)


def answer(message: Frame) -> bytes:
    return frame(frames.ANSWER, message.session, {frames.DESCRIPTION: GIVEN.encode()})


def release(session: int, cause: int) -> bytes:
    return frame(frames.RELEASE, session, {frames.CAUSE: bytes((cause,))})


class Host:
    """A media host that does as the test says."""

    def __init__(self, name: str) -> None:
        self.name, self.port = name, 0
        self.does: Callable[[Frame], bytes] = answer
        self.heard: list[Frame] = []
        self.links: list[asyncio.StreamWriter] = []
        self.carried: list[tuple[int, asyncio.StreamWriter]] = []  # set-ups, and the connection of each
        self.to_repeat: list[bytes] = []  # releases that the next connection to be opened carries again
        self.server: asyncio.Server | None = None
        self.awake = asyncio.Event()  # while it is not set, what comes on new connections is not looked at
        self.awake.set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer), "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""
        self.links.append(writer)
        try:
            await self.awake.wait()
        except asyncio.CancelledError:
            return
        repeated, self.to_repeat = self.to_repeat, []
        writer.write(b"".join(repeated))
        taken = FrameReader()
        try:
            while data := await reader.read(65536):
                for message in taken.feed(data)[0]:
                    self.heard.append(message)
                    if message.kind == frames.SETUP:
                        self.carried.append((message.session, writer))
                        writer.write(self.does(message))
                    elif message.kind == frames.PING:
                        writer.write(frame(frames.PONG, message.session, {frames.CAUSE: b"\x01"}))
        except ConnectionError:
            pass
        finally:
            self.links.remove(writer)
            writer.close()

    def end(self, name: str, cause: int = 16) -> asyncio.StreamWriter:
        """Release a session as the protocol has it: on the connection of its set-up, failing that on any open
        one, and again on the next one that is opened. The connection that was written to."""
        session = int(name, 16)
        origin = [writer for number, writer in self.carried if number == session][-1]
        writer = origin if origin in self.links else self.links[0]
        message = release(session, cause)
        writer.write(message)
        self.to_repeat.append(message)
        return writer

    def of(self, kind: int) -> list[Frame]:
        return [message for message in self.heard if message.kind == kind]

    def die(self) -> None:
        """Listen no more, and reset every connection."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.links):
            writer.transport.abort()


class NameServer(asyncio.DatagramProtocol):
    """Answers with the whole list, or as the test says."""

    def __init__(self) -> None:
        self.serial = 1
        self.rows: dict[str, tuple[int, int]] = {}  # port and priority
        self.spoil: Callable[[bytes], bytes | None] = lambda raw: raw
        self.asked = 0
        self.started = 0.0  # of every host, a Unix millisecond
        self.starts: dict[str, float] = {}  # of hosts by name, where they have started at times of their own
        self.cells: dict[str, int] = {}  # of hosts by name; of the others by their place
        # How many seconds after its query the n-th answer is sent, as it was made then; None: never.
        self.delay: Callable[[int], float | None] = lambda number: 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.asked += 1
        raw = self.spoil(reply(data, self.serial, self.rows, self.started, self.cells, self.starts))
        seconds = self.delay(self.asked)
        if raw is None or seconds is None:
            return
        if seconds:
            asyncio.get_running_loop().call_later(seconds, self.transport.sendto, raw, addr)
        else:
            self.transport.sendto(raw, addr)


async def name_server(serial: int = 1) -> tuple[NameServer, Any]:
    """One more name server, and its address."""
    server = NameServer()
    server.serial = serial
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: server, ("127.0.0.1", 0))
    return server, transport.get_extra_info("sockname")


def reply(
    question: bytes,
    serial: int,
    rows: dict[str, tuple[int, int]],
    started: float = 0.0,
    cells: dict[str, int] | None = None,
    starts: dict[str, float] | None = None,
) -> bytes:
    """What a name server says to a question."""
    told = dns.message.make_response(dns.message.from_wire(question))
    for place, (name, (port, priority)) in enumerate(rows.items()):
        target = f"{name}.east.hosts."
        told.answer.append(
            dns.rrset.from_text(f"{SERVICE}.", 0, "IN", "SRV", f"{priority} 10 {port} {target}")
        )
        told.additional.append(dns.rrset.from_text(target, 0, "IN", "A", "127.0.0.1"))
        cell = (cells or {}).get(name, place % 4)
        texts = f'"kind=std" "cell={cell}" "started={(starts or {}).get(name, started):.3f}"'
        told.additional.append(dns.rrset.from_text(target, 0, "IN", "TXT", texts))
    soa = f"ns.fleet.local. root.fleet.local. {serial} 1 1 1 1"
    told.authority.append(dns.rrset.from_text("fleet.local.", 0, "IN", "SOA", soa))
    return told.to_wire(max_size=8192)


class Line:
    """One connection of viewers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def say(self, kind: str, name: str = ID, **more: object) -> None:
        self.raw(json.dumps({"type": kind, "id": name, "fields": {}, **more}).encode() + b"\n")

    def set_up(self, name: str = ID, extras: str = EXTRAS, **fields: str) -> None:
        told = {"class": "paid", "left": "1000", "key": "7f3a", "extras": extras, **fields}
        self.say("setup", name, fields=told, sdp=SDP)

    def raw(self, data: bytes) -> None:
        self.writer.write(data)

    async def hear_end(self, name: str, within: float) -> float:
        """Read and acknowledge until the end of this session comes; the seconds it took."""
        began = time.monotonic()
        async with asyncio.timeout(within):
            while raw := await self.reader.readline():
                message = json.loads(raw)
                if message["type"] == "release":
                    self.say("released", message["id"])
                    if message["id"] == name:
                        return time.monotonic() - began
        raise AssertionError("the connection was closed")

    async def hear(self) -> dict[str, Any]:
        """The next message; empty where the connection is closed."""
        async with asyncio.timeout(8):
            try:
                raw = await self.reader.readline()
            except ConnectionError:
                return {}
        return json.loads(raw) if raw.endswith(b"\n") else {}


class Platform:
    """What a test has in hand."""

    def __init__(self, folder: Path, hosts: int, **changes: Any) -> None:
        self.path = folder / "config.json"
        self.hosts = [Host(f"s-{n}") for n in range(hosts)]
        self.names = NameServer()
        self.changes = changes
        self.lines: list[Line] = []
        self.program: Program

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            await host.start()
            self.names.rows[host.name] = host.port, 0
        transport, _ = await loop.create_datagram_endpoint(lambda: self.names, ("127.0.0.1", 0))
        self.write(transport.get_extra_info("sockname")[1])
        self.program = Program(self.path, read(self.path))
        await self.program.start()

    def write(self, resolver: int) -> None:
        rows = [
            {
                "instanceId": host.name, "hostPort": f"127.0.0.1:{host.port}", "zone": "east",
                "machineType": "std", "cell": place % 4, "lifecycle": "Ready", "weight": 1, "startedAtMs": 0,
            }
            for place, host in enumerate(self.hosts)
        ]  # fmt: skip
        told = {
            "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "peers": [],
            "resolver": f"127.0.0.1:{resolver}", "settings": SETTINGS,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"instances": rows}}]}, **self.changes,
        }  # fmt: skip
        self.path.write_text(json.dumps(told))

    async def line(self) -> Line:
        found = Line(*await asyncio.open_connection("127.0.0.1", self.program.port))
        self.lines.append(found)
        return found

    def host_of(self, name: str = ID) -> Host:
        """The host that was last asked to set this up."""
        return next(h for h in self.hosts if any(m.session == int(name, 16) for m in h.of(frames.SETUP)))

    def close(self) -> None:
        for line in self.lines:
            line.writer.close()
        if hasattr(self, "program"):
            self.program.close()
        for host in self.hosts:
            host.die()
        self.names.transport.close()


@asynccontextmanager
async def platform(folder: Path, hosts: int = 4, **changes: Any) -> AsyncIterator[Platform]:
    """A platform that is closed at the end whatever happens."""
    one = Platform(folder, hosts, **changes)
    try:
        await one.start()
        yield one
    finally:
        one.close()
        await asyncio.sleep(0.01)


def run(
    work: Callable[[Platform], Coroutine[Any, Any, None]], folder: Path, hosts: int = 4, **changes: Any
) -> None:
    """Do this with a platform of its own."""

    async def whole() -> None:
        async with platform(folder, hosts, **changes) as one:
            await work(one)

    asyncio.run(whole())


async def playing(one: Platform, name: str = ID) -> tuple[Line, Host]:
    """A connection on which a playback has been answered, and its host."""
    line = await one.line()
    line.set_up(name)
    assert (await line.hear())["type"] == "answer"
    return line, one.host_of(name)


def set_ups(one: Platform, name: str = ID) -> list[tuple[Host, Frame]]:
    """The set-ups that hosts have got under this id."""
    return [(h, m) for h in one.hosts for m in h.of(frames.SETUP) if m.session == int(name, 16)]


def asked(name: str) -> bytes:
    fields = {"class": "paid", "left": "1000", "key": "7f3a", "extras": EXTRAS}
    return json.dumps({"type": "setup", "id": name, "fields": fields, "sdp": SDP}).encode() + b"\n"


class Gate:
    """Holds dials to one port until it is opened."""

    def __init__(self, port: int) -> None:
        self.port, self.held, self.open = port, 0, asyncio.Event()
        loop: Any = asyncio.get_running_loop()
        self._real, loop.create_connection = loop.create_connection, self._dial

    async def _dial(self, made: Any, host: str, port: int) -> Any:
        if port == self.port:
            self.held += 1
            await self.open.wait()
        return await self._real(made, host, port)


class Node:
    """One process, as `run` of the deploy file starts it."""

    def __init__(self, config: Path) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = (config.parent / f"log-{time.monotonic_ns()}").open("w+b")
        self.began = time.monotonic()
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run.replace(".venv/bin/python", shlex.quote(sys.executable))],
            stderr=self.log, cwd=ROOT, env={**os.environ, "ROUTER_CONFIG": str(config)},
        )  # fmt: skip

    @property
    def said(self) -> str:
        return Path(self.log.name).read_text()

    @property
    def started(self) -> bool:
        """Whether the shell has become the program."""
        return b"burlmast.node" in Path(f"/proc/{self.process.pid}/cmdline").read_bytes().split(b"\0")

    async def port(self) -> int:
        await until(lambda: "listens at" in self.said or self.process.poll() is not None, 20)
        assert self.process.poll() is None, self.said
        return int(self.said.partition("listens at")[2].split()[0].rpartition(":")[2])

    async def line(self) -> Line:
        return Line(*await asyncio.open_connection("127.0.0.1", await self.port()))

    async def ready(self) -> float:
        """Seconds from its start to its first passed test."""
        line = await self.line()
        while True:
            line.say("ping", "00")
            if (await line.hear())["cause"] == 1:
                line.writer.close()
                return time.monotonic() - self.began
            await asyncio.sleep(0.02)

    def end(self) -> None:
        if self.log.closed:
            return
        self.process.kill()
        self.process.wait()
        self.log.close()


@asynccontextmanager
async def nodes(one: Platform, number: int = 1) -> AsyncIterator[list[Node]]:
    found = [Node(one.path) for _ in range(number)]
    try:
        yield found
    finally:
        for each in found:
            each.end()
