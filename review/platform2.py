"""Stand-ins of the second review: the platform round gateways that run as processes of their own.

Standard library alone. Media hosts, the name server and the front's connections do what the platform's pages
say of them and nothing else; where a page is silent they answer soundly and at once. Every address is a
loopback address with a port that the system chose. What was sent, answered and run is written to the record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

SETUP, ANSWER, RELEASE, RELEASED, NOTE, PING, PONG, RATE = 1, 9, 12, 16, 44, 52, 53, 60
CLASS, WAIT, TITLE, NEWS, REPORT, RUNG, FIGURE, CAUSE, DESCRIPTION = 1, 4, 13, 22, 28, 34, 37, 43, 46
NAMES = {
    1: "setup",
    9: "answer",
    12: "release",
    16: "released",
    44: "note",
    52: "ping",
    53: "pong",
    60: "rate",
}
SDP = "v=0\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"


class CouldNotRun(Exception):
    """The case could not be played; the text says why."""


class Record:
    """What was sent, answered and run: a line each, with the time since the begin and its Unix time."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.began = time.time()
        self.say(f"begin, TROUBLE={int(TROUBLE)}, Unix time {self.began:.3f}")

    def say(self, text: str) -> None:
        """One line."""
        self._file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Nothing more."""
        self._file.close()


def frame(kind: int, session: int, parameters: dict[int, bytes]) -> bytes:
    """A binary message (PROTOCOL, "Messages")."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters.items())
    return struct.pack(">HBQ", 9 + len(body), kind, session) + body


class Message:
    """A binary message that has come."""

    def __init__(self, kind: int, session: int, parameters: dict[int, bytes]) -> None:
        self.kind, self.session, self.parameters = kind, session, parameters
        self.at = time.time()

    @property
    def cause(self) -> int | None:
        """Its cause, where it has one."""
        raw = self.parameters.get(CAUSE)
        return raw[0] if raw else None

    @property
    def name(self) -> str:
        """Its session, as viewers write it."""
        return f"{self.session:016x}"


class HostLink(asyncio.Protocol):
    """One connection to a media host."""

    def __init__(self, host: Host) -> None:
        self.host, self.rest = host, b""
        self.transport: Any = None
        self.opened_at = time.time()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.host.links.append(self)
        self.host.record.say(f"{self.host.name}: a connection has come up ({len(self.host.links)} open)")
        for message in self.host.to_repeat:
            self.transport.write(message)
        self.host.to_repeat.clear()

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while len(self.rest) >= 2:
            size = int.from_bytes(self.rest[:2], "big")
            if len(self.rest) < size + 2:
                return
            whole, self.rest = self.rest[2 : size + 2], self.rest[size + 2 :]
            kind, session = struct.unpack_from(">BQ", whole)
            parameters, at = {}, 9
            while at < len(whole):
                code, length = struct.unpack_from(">BH", whole, at)
                parameters[code] = whole[at + 3 : at + 3 + length]
                at += 3 + length
            self.host.received(self, Message(kind, session, parameters))

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.host.links:
            self.host.links.remove(self)
        self.host.link_lost(self)

    def send(self, kind: int, session: int, parameters: dict[int, bytes]) -> None:
        """Write a message."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(frame(kind, session, parameters))


class Host:
    """A media host: it sets up what it is sent, at once, unless the case says otherwise."""

    def __init__(self, record: Record, name: str, cell: int = 0, zone: str = "east") -> None:
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.port = 0
        self.started_ms = 0.0
        self.links: list[HostLink] = []
        self.out: dict[int, HostLink] = {}  # set-ups that have come and have no end yet
        self.standing: dict[int, HostLink | None] = {}  # sessions that stand here
        self.set_ups: list[Message] = []
        self.released: list[Message] = []
        self.to_repeat: list[bytes] = []
        self.server: asyncio.Server | None = None
        self.on_set_up: Callable[[HostLink, Message], None] = self.answer
        self.report = b""
        self.pings = True
        self.weight = 4
        self._waiting: socket.socket | None = None
        self._filler: socket.socket | None = None

    async def start(self, port: int = 0) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostLink(self), "127.0.0.1", port or self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def listen_full(self) -> None:
        """New connections come up no more: the queue of the listening socket is full.

        It holds one connection, the stand-in's own; `listen_on` takes it out. What was dialled in the
        meantime comes up when the kernel asks again, a second after it asked first."""
        self.close_listener()
        found = socket.socket()
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        found.bind(("127.0.0.1", self.port))
        found.listen(0)
        found.setblocking(False)
        self._waiting = found
        self._filler = socket.create_connection(("127.0.0.1", self.port))
        self.record.say(f"{self.name}: its queue of connections is full")

    async def listen_on(self) -> None:
        """Take connections again, those that were dialled in the meantime as well."""
        loop = asyncio.get_running_loop()
        assert self._waiting is not None and self._filler is not None
        first, _ = await loop.sock_accept(self._waiting)
        self._filler.close()
        first.close()
        self.record.say(f"{self.name}: takes connections again")
        self.server = await loop.create_server(lambda: HostLink(self), sock=self._waiting, backlog=128)
        self._waiting = self._filler = None

    def received(self, link: HostLink, message: Message) -> None:
        """One message has come."""
        if message.kind == SETUP:
            self.set_ups.append(message)
            title = message.parameters.get(TITLE, b"").decode()
            self.record.say(
                f"{self.name}: set-up {message.name}, title {title}, "
                f"rung {message.parameters.get(RUNG, b'-').decode()}, "
                f"may take {message.parameters.get(WAIT, b'').decode()} ms"
            )
            self.out[message.session] = link
            self.on_set_up(link, message)
        elif message.kind == PING:
            if self.pings:
                found = {CAUSE: b"\x01"}
                if message.cause == 1 and self.report:
                    found[REPORT] = self.report
                link.send(PONG, message.session, found)
        elif message.kind == RELEASE:
            self.released.append(message)
            here = (
                "stood" if message.session in self.standing else "out" if message.session in self.out else "-"
            )
            self.record.say(
                f"{self.name}: release {message.name} from the gateway, cause {message.cause} ({here})"
            )
            self.out.pop(message.session, None)
            self.standing.pop(message.session, None)
            link.send(RELEASED, message.session, {})

    def link_lost(self, link: HostLink) -> None:
        """A connection is closed: the set-ups open on it are given up; what stands belongs to none."""
        for session in [each for each, on in self.out.items() if on is link]:
            del self.out[session]
        for session in [each for each, on in self.standing.items() if on is link]:
            self.standing[session] = None

    def answer(self, link: HostLink, message: Message) -> None:
        """The session stands."""
        if self.out.pop(message.session, None) is None:
            return
        self.standing[message.session] = link
        told = f"{self.name} {message.name}\r\n{SDP}"
        self.record.say(f"{self.name}: answer {message.name}")
        link.send(ANSWER, message.session, {DESCRIPTION: told.encode()})

    def answer_after(self, seconds: float) -> Callable[[HostLink, Message], None]:
        """The session stands after so long, if it is still wanted."""

        def later(link: HostLink, message: Message) -> None:
            asyncio.get_running_loop().call_later(seconds, self.answer, link, message)

        return later

    def refuse(self, cause: int) -> Callable[[HostLink, Message], None]:
        """The set-up ends so."""

        def refused(link: HostLink, message: Message) -> None:
            self.out.pop(message.session, None)
            self.record.say(f"{self.name}: release {message.name}, cause {cause}")
            link.send(RELEASE, message.session, {CAUSE: bytes((cause,))})

        return refused

    def end(self, session: int, cause: int = 16) -> None:
        """A session is over: on the connection of its set-up, failing that on any open one, and again on the
        next one that is opened."""
        origin = self.standing.pop(session)
        message = frame(RELEASE, session, {CAUSE: bytes((cause,))})
        link = origin or (self.links[0] if self.links else None)
        self.record.say(f"{self.name}: release {session:016x}, cause {cause}: its end")
        if link is not None and not link.transport.is_closing():
            link.transport.write(message)
        self.to_repeat.append(message)

    def note(self, session: int, what: bytes, figure: float) -> None:
        """A note, on the connection of its set-up, failing that on any open one."""
        link = self.standing.get(session) or (self.links[0] if self.links else None)
        if link is not None:
            link.send(NOTE, session, {NEWS: what, FIGURE: f"{figure:.3f}".encode()})

    def close_listener(self) -> None:
        """Take no more connections."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def die(self) -> None:
        """The process dies: its connections are reset and its sessions cut."""
        self.close_listener()
        self.record.say(f"{self.name}: dies; {len(self.standing)} sessions are cut")
        self.out.clear()
        self.standing.clear()
        for link in list(self.links):
            reset(link.transport)

    def row(self, state: str = "Ready") -> dict[str, Any]:
        """Its line of an event."""
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": self.zone,
            "machineType": "std", "cell": self.cell, "lifecycle": state, "weight": self.weight,
            "startedAtMs": self.started_ms,
        }  # fmt: skip


def reset(transport: Any) -> None:
    """Reset a connection."""
    found = transport.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def _labels(name: str) -> bytes:
    return b"".join(bytes((len(part),)) + part.encode() for part in name.split(".")) + b"\0"


class NameServer(asyncio.DatagramProtocol):
    """Answers each query with the whole list at once (PROTOCOL, "The name server"; RFC 1035)."""

    def __init__(self, record: Record) -> None:
        self.record, self.serial = record, 1
        self.listed: dict[str, tuple[Host, int, float]] = {}  # 1 where it drains; its start as it is told
        self.address = ("", 0)
        self.asked = 0
        self.told: dict[tuple[str, int], int] = {}  # who asked, and the last serial that went there
        self.told_at: dict[int, float] = {}  # when the first answer that holds an event was sent
        self.silent = False
        self.transport: Any = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = self.transport.get_extra_info("sockname")

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def list(self, *hosts: Host, draining: tuple[Host, ...] = ()) -> None:
        """An event: the list is this from now on."""
        self.listed = {host.name: (host, int(host in draining), host.started_ms) for host in hosts}
        self.serial += 1
        states = ", ".join(
            f"{name}{' draining' if drains else ''}" for name, (_, drains, _) in self.listed.items()
        )
        self.record.say(f"the list, event {self.serial}: {states}")

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.asked += 1
        if self.silent:
            return
        if self.serial not in self.told_at:
            self.told_at[self.serial] = time.time()
            self.record.say(f"the name server answers with event {self.serial} for the first time")
        self.transport.sendto(self.reply(data), addr)

    def reply(self, query: bytes) -> bytes:
        """The whole list."""
        end = query.index(b"\0", 12) + 5
        service = _labels("_work._tcp.fleet.local")
        answers, more = b"", b""
        for host, drains, started_ms in self.listed.values():
            target = _labels(f"{host.name}.{host.zone}.hosts")
            data = struct.pack(">HHH", drains, 10 * host.weight, host.port) + target
            answers += service + struct.pack(">HHIH", 33, 1, 0, len(data)) + data
            more += target + struct.pack(">HHIH", 1, 1, 0, 4) + socket.inet_aton("127.0.0.1")
            texts = [b"kind=std", f"cell={host.cell}".encode(), f"started={started_ms:.0f}".encode()]
            text = b"".join(bytes((len(each),)) + each for each in texts)
            more += target + struct.pack(">HHIH", 16, 1, 0, len(text)) + text
        data = _labels("ns.fleet.local") + _labels("root.fleet.local")
        data += struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        soa = _labels("fleet.local") + struct.pack(">HHIH", 6, 1, 0, len(data)) + data
        number = len(self.listed)
        head = query[:2] + struct.pack(">HHHHH", 0x8400, 1, number, 1, 2 * number)
        return head + query[12:end] + answers + soa + more


class Viewers:
    """One connection of the front, which reads all that is sent to it and acknowledges ends."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.heard: list[tuple[float, dict[str, Any]]] = []
        self.closed_at = 0.0
        self.reader: Any = None
        self.writer: Any = None
        self._task: Any = None
        self._changed = asyncio.Event()

    async def connect(self, port: int) -> Viewers:
        """Come up."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while raw := await self.reader.readline():
                message = json.loads(raw)
                self.heard.append((time.time(), message))
                kind = message["type"]
                if kind != "pong":
                    cause = f", cause {message['cause']}" if "cause" in message else ""
                    self.record.say(f"{self.name}: {kind} {message['id']}{cause}")
                if kind == "release":
                    self.say("released", message["id"])
                self._changed.set()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.closed_at = time.time()
        self._changed.set()

    def say(self, kind: str, name: str, **more: Any) -> None:
        """One message."""
        told = {"type": kind, "id": name, "fields": {}, **more}
        self.writer.write(json.dumps(told).encode() + b"\n")

    def set_up(self, name: str, plan: str, key: str, left: int, extras: str) -> None:
        """Ask for a session."""
        self.record.say(f"{self.name}: set-up {name}, class {plan}, title {key}, waits {left} ms")
        fields = {"class": plan, "left": str(left), "key": key, "extras": extras}
        self.say("setup", name, fields=fields, sdp=SDP)

    def of(self, name: str) -> list[dict[str, Any]]:
        """What has come about a session."""
        return [message for _, message in self.heard if message["id"] == name]

    def at(self, name: str, kind: str) -> float:
        """When the first such message about a session came; 0: none has."""
        return next((at for at, one in self.heard if one["id"] == name and one["type"] == kind), 0.0)

    async def until(self, condition: Callable[[], object], within: float) -> bool:
        """Wait until something has come; whether it has."""
        end = time.monotonic() + within
        while not condition():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.05))
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
        if self.writer is not None:
            self.writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Settings like those of the wire's page; a key of a part is given as part__key."""
    found: dict[str, Any] = {
        "allowed": {
            "cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
            "idleCloseMs": 30000.0, "maxAttempts": 3, "maxRetryAfterMs": 500.0, "mayTell": False,
            "mostHeld": 1000000, "probes": True, "retryAfter": False, "secondCopies": False,
            "streamsPerConn": 1048576,
        },
        "areas": ["east", "west"], "clients": {"marksRetry": True}, "discovery": "automatic",
        "familyInfo": {
            "allLinksKb": 94175.0, "cells": 1, "classFloor": [0], "classLive": [False], "classSeats": [0],
            "classTop": [3], "join": 1.0, "kbPerWeight": 7848.0, "kindStreams": [34], "rackKb": 94175.0,
            "racks": 1, "refusesFrom": 1.0, "rungKb": [201.0, 418.0, 868.0, 1804.0], "scaleByClass": [1.0],
            "seeMs": 880.854, "stallCost": 7.0, "switchCostS": 0.84, "toldEveryMs": 3750.0,
            "worthByRung": [0.2, 0.49, 0.75, 1.0],
        },
        "goal": {"whole": 0.75, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.25},
        "kinds": ["std"], "orgs": [], "overShareWorth": 0.1,
        "prices": {}, "report": {"fields": ["busy_reqs", "x0"], "source": "piggyback"},
        "requestClasses": [plan("recorded", 800, 3000)],
        "rules": {
            "answerSlackMs": 40.0, "askWithinMs": 10000.0, "coldFrom": 0.4, "drainGraceMs": 1000.0,
            "fallMs": 2000.0, "fallMultiple": 3.0, "warmAfterMs": 12000.0,
        },
        "siblings": 1, "slotNo": 0, "tickMs": 10.0, "tier": 0, "tiers": ["fleet"], "weights": "nominal",
        "workload": "streams", "worthBy": "request", "zone": 0,
    }  # fmt: skip
    for key, value in changes.items():
        part, _, name = key.rpartition("__")
        (found[part] if part else found)[name] = value
    return found


def plan(
    name: str, target: float, deadline: float, semantics: str = "repeatable", **more: Any
) -> dict[str, Any]:
    """A class of requests."""
    return {
        "credit": 1.0, "goalTimeMs": float(target), "group": "all", "hardLimitMs": float(deadline),
        "lateWorth": 0.0, "memorySpanMs": 5000.0, "name": name, "semantics": semantics,
        "streamed": True, **more,
    }  # fmt: skip


class Gateway:
    """One process, started with `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, told: dict[str, Any], name: str = "n0") -> None:
        self.record, self.folder, self.told, self.name = record, folder, told, name
        self.port = free_port()
        self.process: Any = None

    def configure(self, names: NameServer, hosts: list[Host]) -> None:
        """Write the configuration file anew."""
        notices = [{"rev": names.serial, "pool": {"generation": 1, "reset": False,
                                                  "instances": [host.row() for host in hosts]}}]  # fmt: skip
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "peers": [],
            "resolver": f"127.0.0.1:{names.address[1]}", "known": {"rev": names.serial, "notices": notices},
            "settings": self.told,
        }  # fmt: skip
        path = self.folder / f"{self.name}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        fresh.replace(path)

    async def start(self) -> None:
        """Start it, and wait until it has passed a test."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ, "ROUTER_NAME": self.name, "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_CONFIG": str(self.folder / f"{self.name}.json"), "TMPDIR": str(self.folder),
        }  # fmt: skip
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.say(f"gateway {self.name}: started")
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CouldNotRun(
                    f"the gateway has ended with {self.process.returncode}: {self.log()[-400:]}"
                )
            with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b'{"type":"ping","id":"00","fields":{},"cause":0}\n')
                told = json.loads(await reader.readline())
                writer.close()
                if told.get("cause") == 1:
                    self.record.say(f"gateway {self.name}: has passed a test")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun("the gateway was not ready in 20 s")

    def send_signal(self, number: int) -> None:
        """Signal the process."""
        self.record.say(f"gateway {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """What it has written to standard error."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def end(self) -> None:
        """Kill it."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def free_port() -> int:
    """A port that nobody listens at."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def numbered() -> Callable[[], str]:
    """Draws ids that are new."""
    base, count = random.getrandbits(48) << 16, iter(range(1, 1 << 16))
    return lambda: f"{base + next(count):016x}"


class Case:
    """What a case has in hand; all of it is ended at its end."""

    def __init__(self, folder: Path, work: Path) -> None:
        self.record, self.work = Record(folder), work
        self.names = NameServer(self.record)
        self.hosts: list[Host] = []
        self.gateways: list[Gateway] = []
        self.lines: list[Viewers] = []
        self.new_id = numbered()

    async def host(self, name: str, cell: int = 0, zone: str = "east") -> Host:
        """One more media host."""
        found = Host(self.record, name, cell, zone)
        await found.start()
        self.hosts.append(found)
        return found

    async def begin(self, told: dict[str, Any], name: str = "n0") -> Gateway:
        """A gateway that knows the hosts so far."""
        if self.names.transport is None:
            await self.names.start()
            self.names.listed = {host.name: (host, 0, host.started_ms) for host in self.hosts}
        found = Gateway(self.record, self.work, told, name)
        found.configure(self.names, self.hosts)
        self.gateways.append(found)
        await found.start()
        return found

    async def viewers(self, gateway: Gateway, name: str = "viewers") -> Viewers:
        """One more connection of the front."""
        found = await Viewers(self.record, name).connect(gateway.port)
        self.lines.append(found)
        return found

    async def close(self) -> None:
        """End all."""
        for gateway in self.gateways:
            await gateway.end()
            self.record.say(f"log of gateway {gateway.name}, its last lines:")
            for line in gateway.log().splitlines()[-40:]:
                self.record.say(f"  {line}")
        for line in self.lines:
            line.close()
        for host in self.hosts:
            host.close_listener()
            for link in list(host.links):
                link.transport.abort()
        if self.names.transport is not None:
            self.names.transport.close()
        await asyncio.sleep(0.05)


def play(work: Callable[[Case], Any], folder: str) -> None:
    """Play a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `work` returns what broke the rule, a line each."""

    async def whole() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as place:
            case = Case(Path(folder).resolve(), Path(place))
            try:
                async with asyncio.timeout(110):
                    broken = await work(case)
            except (CouldNotRun, OSError, TimeoutError) as why:
                case.record.say(f"the case could not run: {type(why).__name__}: {why}")
                print(f"could not run: {type(why).__name__}: {why}")
                return COULD_NOT_RUN
            finally:
                await case.close()
            for line in broken:
                case.record.say(f"BROKEN: {line}")
                print(f"broken: {line}")
            if not broken:
                case.record.say("the rule held")
                print("held")
            return BROKEN if broken else HELD

    sys.exit(asyncio.run(whole()))
