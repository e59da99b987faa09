"""Stand-ins for the review's cases: media hosts, the name server and viewers round gateway processes.

Written from the protocol page alone; the gateway's own code is not imported. Everything is on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import dns.message
import dns.rrset

ROOT = Path(__file__).resolve().parent.parent
SETUP, ANSWER, RELEASE, RELEASED, NOTE, PING, PONG, RATE = 1, 9, 12, 16, 44, 52, 53, 60
NAMES = {SETUP: "setup", RELEASE: "release", RELEASED: "released", NOTE: "note", RATE: "rate"}
CLASS, WAIT, TITLE, NEWS, REPORT, RUNG, FIGURE, CAUSE, DESCRIPTION = 1, 4, 13, 22, 28, 34, 37, 43, 46
SERVICE = "_work._tcp.fleet.local."
BROKEN, HELD, CANNOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case's preparations failed: nothing can be said about the rule."""


class Record:
    """What was sent, answered and run, by the seconds since the script's start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def frame(kind: int, session: int, parameters: dict[int, bytes]) -> bytes:
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters.items())
    return struct.pack(">HBQ", 9 + len(body), kind, session) + body


def parameters_of(body: bytes) -> dict[int, bytes]:
    found, at = {}, 0
    while at < len(body):
        code, size = struct.unpack_from(">BH", body, at)
        found[code] = body[at + 3 : at + 3 + size]
        at += 3 + size
    return found


class Session:
    """A session that stands at a host, by the host."""

    def __init__(self, number: int, origin: asyncio.StreamWriter, answered_at: float) -> None:
        self.number, self.origin, self.answered_at = number, origin, answered_at
        self.ended: str = ""  # "" while it stands
        self.ended_at = 0.0


class Host:
    """A media host that keeps to the protocol page, and does otherwise only where a case says so."""

    def __init__(self, name: str, cell: int, record: Record) -> None:
        self.name, self.cell, self.record = name, cell, record
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None
        self.links: list[asyncio.StreamWriter] = []
        self.sessions: dict[int, Session] = {}
        self.setups: list[tuple[float, int]] = []  # when a set-up came whole, and its session
        self.carried: set[asyncio.StreamWriter] = set()  # connections on which a set-up has come
        self.repeat: list[bytes] = []  # releases that the next connection carries again
        self.takes: Callable[[int], bool] = lambda session: True  # whether a set-up is answered
        self.after = 0.01  # seconds a set-up takes
        self.link_told: float | None = None  # the note on its link at set-up, where hosts report in answers
        self.started_ms = 0.0
        self.awake = asyncio.Event()  # while it is not set, nothing is read or written
        self.awake.set()
        self.fillers: list[socket.socket] = []
        self.refuses = False  # set-ups are refused, as by a host that drains: they never run

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.address[0], self.address[1])
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")[1]
        self.links.append(writer)
        self.record(f"host {self.name}: connection {peer} opened")
        if self.repeat:
            writer.write(b"".join(self.repeat))
            self.repeat.clear()
        open_here: dict[int, asyncio.Task[None]] = {}  # the set-ups that are open on this connection
        try:
            while True:
                head = await reader.readexactly(2)
                body = await reader.readexactly(int.from_bytes(head, "big"))
                await self.awake.wait()
                kind, session = struct.unpack(">BQ", body[:9])
                parameters = parameters_of(body[9:])
                if kind != PING:
                    what = b" ".join(parameters.get(code, b"") for code in (CLASS, TITLE)).decode()
                    self.record(f"host {self.name}: on {peer} {NAMES.get(kind, kind)} {session:016x} {what}")
                if kind == SETUP:
                    self.setups.append((time.monotonic(), session))
                    self.carried.add(writer)
                    if self.refuses:
                        writer.write(frame(RELEASE, session, {CAUSE: b"\x22"}))
                    elif self.takes(session):
                        open_here[session] = asyncio.ensure_future(self._answer(session, writer))
                elif kind == PING:
                    self._pong(session, writer, parameters)
                elif kind == RELEASE:
                    if session in open_here:
                        open_here.pop(session).cancel()  # given up
                    if session in self.sessions:
                        self._over(session, "released by the gateway")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for task in open_here.values():
                task.cancel()
            self.record(f"host {self.name}: connection {peer} closed")
            self.links.remove(writer)
            self.carried.discard(writer)
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    def _pong(self, session: int, writer: asyncio.StreamWriter, parameters: dict[int, bytes]) -> None:
        more = {CAUSE: b"\x01"}
        if parameters.get(CAUSE) == b"\x01":
            more[REPORT] = self.report()
        writer.write(frame(PONG, session, more))

    def report(self) -> bytes:
        standing = sum(1 for one in self.sessions.values() if not one.ended)
        return f"busy_reqs:{standing};x0:{min(0.9, 0.03 * standing):.2f}".encode()

    async def _answer(self, session: int, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.after)
        await self.awake.wait()
        self.sessions[session] = Session(session, writer, time.monotonic())
        self.record(f"host {self.name}: answers {session:016x}, it stands")
        writer.write(frame(ANSWER, session, {DESCRIPTION: self.description(session).encode()}))
        if self.link_told is not None:
            self.note(session, b"wire", self.link_told)

    def description(self, session: int) -> str:
        return f"{self.name} {session:016x}\r\nc=IN IP4 127.0.0.1\r\n"

    def _over(self, session: int, why: str) -> None:
        one = self.sessions[session]
        if not one.ended:
            one.ended, one.ended_at = why, time.monotonic()
            self.record(f"host {self.name}: {session:016x} is over: {why}")

    def writer_for(self, session: int) -> asyncio.StreamWriter | None:
        origin = self.sessions[session].origin
        if origin in self.links:
            return origin
        return self.links[0] if self.links else None

    def note(self, session: int, kind: bytes, figure: float) -> None:
        writer = self.writer_for(session)
        if writer is not None and self.awake.is_set() and not self.sessions[session].ended:
            self.record(f"host {self.name}: notes {kind.decode()} {figure} on {session:016x}")
            writer.write(frame(NOTE, session, {NEWS: kind, FIGURE: f"{figure}".encode()}))

    def finish(self, session: int, cause: int = 16) -> None:
        """The session comes to its end by itself; its release is repeated on the next connection."""
        if not self.sessions[session].ended:
            message = frame(RELEASE, session, {CAUSE: bytes((cause,))})
            writer = self.writer_for(session)
            self._over(session, f"its own end, cause {cause}")
            if writer is not None:
                writer.write(message)
            self.repeat.append(message)

    def standing(self) -> list[Session]:
        return [one for one in self.sessions.values() if not one.ended]

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """One connection is reset; what stands belongs to no connection."""
        self.record(f"host {self.name}: connection {writer.get_extra_info('peername')[1]} is reset")
        one = writer.get_extra_info("socket")
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def die(self) -> None:
        """The process dies: its connections are reset, its sessions cut, and new connections refused."""
        self.record(f"host {self.name}: dies")
        assert self.server is not None
        self.server.close()
        for writer in list(self.links):
            self.reset(writer)
        for one in self.standing():
            self._over(one.number, "its host has died")

    async def vanish(self) -> None:
        """The machine goes silent: connections stay open and silent, and new ones never come up."""
        self.record(f"host {self.name}: vanishes")
        self.awake.clear()
        for one in self.standing():
            self._over(one.number, "its host has vanished")
        assert self.server is not None
        listening = self.server.sockets[0]
        asyncio.get_running_loop().remove_reader(listening.fileno())
        with socket.socket(fileno=os.dup(listening.fileno())) as same:
            same.listen(0)
        for _ in range(3):  # what waits to be accepted fills the queue, so that no more comes up
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self.address)
            self.fillers.append(one)
        await asyncio.sleep(0)

    def close(self) -> None:
        self.awake.set()
        if self.server is not None:
            self.server.close()
        for one in self.fillers:
            one.close()
        for writer in list(self.links):
            writer.transport.abort()


class NameServer(asyncio.DatagramProtocol):
    """The list by DNS; an event happens when `tell` is called."""

    def __init__(self, hosts: list[Host], record: Record) -> None:
        self.hosts, self.record = hosts, record
        self.serial = 1
        self.draining: set[str] = set()
        self.gone: set[str] = set()
        self.delay = 0.0  # seconds that an answer takes
        self.asked: Callable[[], None] = lambda: None  # called as a question comes, before it is answered
        self.told: dict[int, float] = {}  # when the first answer that holds this event was sent
        self.address = ("127.0.0.1", 0)
        self.transport: Any = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, self.address)
        self.address = self.transport.get_extra_info("sockname")[:2]

    def event(self, text: str) -> int:
        """What was changed before counts as one event, which is told from now on."""
        self.serial += 1
        self.record(f"name server: event {self.serial} is told from now on: {text}")
        return self.serial

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.asked()
        raw, serial = self._reply(data), self.serial
        asyncio.get_running_loop().call_later(self.delay, self._send, raw, serial, addr)

    def _send(self, raw: bytes, serial: int, addr: Any) -> None:
        for one in range(1, serial + 1):
            if one not in self.told:
                self.told[one] = time.monotonic()
                self.record(f"name server: the first answer that holds event {one} is sent")
        if not self.transport.is_closing():
            self.transport.sendto(raw, addr)

    def _reply(self, question: bytes) -> bytes:
        told = dns.message.make_response(dns.message.from_wire(question))
        for host in self.hosts:
            if host.name in self.gone:
                continue
            target = f"{host.name}.{AREA}.hosts."
            priority = int(host.name in self.draining)
            told.answer.append(
                dns.rrset.from_text(SERVICE, 0, "IN", "SRV", f"{priority} 10 {host.address[1]} {target}")
            )
            told.additional.append(dns.rrset.from_text(target, 0, "IN", "A", host.address[0]))
            text = f'"kind={KIND}" "cell={host.cell}" "started={host.started_ms:.0f}"'
            told.additional.append(dns.rrset.from_text(target, 0, "IN", "TXT", text))
        soa = f"ns.fleet.local. root.fleet.local. {self.serial} 1 1 1 1"
        told.authority.append(dns.rrset.from_text("fleet.local.", 0, "IN", "SOA", soa))
        return told.to_wire(max_size=8000)


class Viewers:
    """One connection from viewers, which acknowledges the end of what stood."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.asked: dict[str, float] = {}
        self.answers: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        self.news = asyncio.Event()
        self.closed = False

    async def connect(self, address: tuple[str, int]) -> None:
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError):
            while raw := await self.reader.readline():
                message = json.loads(raw)
                if message["type"] != "pong":
                    self.record(f"viewer: hears {raw.decode().strip()[:160]}")
                name = message["id"]
                before = [one["type"] for _, one in self.answers.get(name, [])]
                self.answers.setdefault(name, []).append((time.monotonic(), message))
                if message["type"] == "release" and "answer" in before:
                    self.say("released", name)
                self.news.set()
        self.closed = True
        self.news.set()

    def say(self, kind: str, name: str, **more: Any) -> None:
        self.writer.write(json.dumps({"type": kind, "id": name, "fields": {}, **more}).encode() + b"\n")

    def set_up(self, name: str, plan: str, left: int, title: str, extras: str) -> None:
        self.asked[name] = time.monotonic()
        self.record(f"viewer: set-up {name} {plan} left {left} title {title} {extras}")
        fields = {"class": plan, "left": str(left), "key": title, "extras": extras}
        self.say("setup", name, fields=fields, sdp=f"v {name}\r\nc=IN IP4 127.0.0.1\r\n")

    async def wait(self, condition: Callable[[], object], within: float) -> bool:
        end = time.monotonic() + within
        while not condition():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), min(left, 0.05))
        return True

    def first(self, name: str) -> dict[str, Any]:
        return self.answers[name][0][1] if name in self.answers else {}


AREA, KIND = "north-bldg", "std-2core"


def settings(**changes: Any) -> dict[str, Any]:
    """Those of the wire's example, for one gateway; `changes` replace keys of its parts."""
    found: dict[str, Any] = {
        "allowed": {
            "cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
            "idleCloseMs": 30000.0, "maxAttempts": 3, "maxRetryAfterMs": 500.0, "mayTell": False,
            "mostHeld": 1000000, "probes": True, "retryAfter": False, "secondCopies": False,
            "streamsPerConn": 32,
        },
        "areas": [AREA, "south-bldg", "annex"],
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "familyInfo": {
            "allLinksKb": 94175.0, "cells": 4, "classFloor": [0], "classLive": [False], "classSeats": [0],
            "classTop": [3], "join": 1.0, "kbPerWeight": 7848.0, "kindStreams": [34], "rackKb": 22399.0,
            "racks": 2, "refusesFrom": 1.0, "rungKb": [201.0, 418.0, 868.0, 1804.0],
            "scaleByClass": [1.0], "seeMs": 880.854, "stallCost": 7.0, "switchCostS": 0.84,
            "toldEveryMs": 3750.0, "worthByRung": [0.2, 0.49, 0.75, 1.0],
        },
        "goal": {"whole": 0.75, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.25},
        "kinds": [KIND],
        "orgs": [],
        "overShareWorth": 0.1,
        "prices": {},
        "report": {"fields": ["busy_reqs", "x0"], "source": "piggyback"},
        "requestClasses": [
            {"credit": 1.0, "goalTimeMs": 800.0, "group": "all", "hardLimitMs": 3000.0, "lateWorth": 0.0,
             "memorySpanMs": 5000.0, "name": "recorded", "semantics": "repeatable", "streamed": True}
        ],
        "rules": {"answerSlackMs": 40.0, "askWithinMs": 10000.0, "coldFrom": 0.4, "drainGraceMs": 1000.0,
                  "fallMs": 2000.0, "fallMultiple": 3.0, "warmAfterMs": 12000.0},
        "siblings": 1, "slotNo": 0, "tickMs": 10.0, "tier": 0, "tiers": ["recording-fleet"],
        "weights": "silent", "workload": "streams", "worthBy": "request", "zone": 0,
    }  # fmt: skip
    for part, values in changes.items():
        if isinstance(values, dict):
            found[part].update(values)
        else:
            found[part] = values
    return found


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


class Gateway:
    """One gateway process, started by the deploy file's `run`."""

    def __init__(
        self, folder: Path, name: str, names: NameServer, told: dict[str, Any], record: Record
    ) -> None:
        self.folder, self.name, self.names, self.settings, self.record = folder, name, names, told, record
        self.address = ("127.0.0.1", free_port())
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        rows = [
            {
                "instanceId": host.name, "hostPort": f"{host.address[0]}:{host.address[1]}", "zone": AREA,
                "machineType": KIND, "cell": host.cell,
                "lifecycle": "Terminating" if host.name in self.names.draining else "Ready", "weight": 1,
                "startedAtMs": host.started_ms,
            }
            for host in self.names.hosts
            if host.name not in self.names.gone
        ]  # fmt: skip
        serial = self.names.serial
        notice = {"rev": serial, "pool": {"generation": serial, "reset": True, "instances": rows}}
        data = {
            "name": self.name, "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "peer_listen": f"127.0.0.1:{free_port()}", "peers": [], "peers_all": "127.0.0.1:9",
            "resolver": f"{self.names.address[0]}:{self.names.address[1]}",
            "known": {"rev": serial, "notices": [notice]}, "settings": self.settings,
        }  # fmt: skip
        part = self.config.with_suffix(".part")
        part.write_text(json.dumps(data))
        part.replace(self.config)

    def start(self) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = Path(tempfile.mkdtemp(dir=self.folder))
        inherited = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
        environment = {
            **inherited, "TMPDIR": str(private), "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{self.address[0]}:{self.address[1]}", "ROUTER_CONFIG": str(self.config),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"gateway {self.name}: started, process {self.process.pid}")

    async def ready(self, within: float = 25.0) -> None:
        """Wait for the first test that is passed."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRun(f"gateway {self.name} has ended: {self.log.read_text()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.write(json.dumps({"type": "ping", "id": "00", "fields": {}, "cause": 0}).encode() + b"\n")
            raw = b""
            with contextlib.suppress(TimeoutError, ConnectionError):
                raw = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            if raw and json.loads(raw).get("cause") == 1:
                self.record(f"gateway {self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {self.name} is not ready")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f"gateway {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Scene:
    """Hosts, a name server, gateways; all of it ends with the scene."""

    def __init__(self, path: Path) -> None:
        self.record = Record(path)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts: list[Host] = []
        self.names = NameServer(self.hosts, self.record)
        self.gateways: list[Gateway] = []
        self.seen: list[Viewers] = []
        self.record(f"trouble: {'yes' if self.trouble else 'no'}")

    async def add_host(self, name: str, cell: int) -> Host:
        host = Host(name, cell, self.record)
        await host.start()
        self.hosts.append(host)
        self.record(f"host {name}: cell {cell} at {host.address[0]}:{host.address[1]}")
        return host

    async def add_gateway(
        self, name: str, told: dict[str, Any], names: NameServer | None = None
    ) -> Gateway:
        names = names or self.names
        if names.transport is None:
            await names.start()
        gateway = Gateway(self.temp, name, names, told, self.record)
        self.gateways.append(gateway)
        gateway.start()
        await gateway.ready()
        return gateway

    async def viewers(self, gateway: Gateway) -> Viewers:
        found = Viewers(self.record)
        await found.connect(gateway.address)
        self.seen.append(found)
        return found

    def close(self) -> None:
        for viewers in self.seen:
            viewers.task.cancel()
            viewers.writer.transport.abort()
        for gateway in self.gateways:
            gateway.end()
            for line in gateway.log.read_text(errors="replace").splitlines()[-60:]:
                self.record(f"log of {gateway.name}: {line[:300]}")
        for host in self.hosts:
            host.close()
        for names in {self.names, *(gateway.names for gateway in self.gateways)}:
            if names.transport is not None:
                names.transport.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def verdict(record: Record, broken: list[str]) -> int:
    """The exit code, with the reasons in the record."""
    for one in broken:
        record(f"BROKEN: {one}")
        print(f"broken: {one}")
    if not broken:
        record("HELD")
        print("held")
    return BROKEN if broken else HELD


def main(record: str, case: Callable[[Scene], Awaitable[int]], within: float = 105.0) -> None:
    """Run a case that is recorded in this file; ends this process with its exit code."""

    async def whole() -> int:
        scene = Scene(Path(record))
        work = asyncio.ensure_future(case(scene))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, work.cancel)
        try:
            return await asyncio.wait_for(work, within)
        except (Exception, asyncio.CancelledError) as why:  # it says nothing about the rule
            scene.record(f"CANNOT RUN: {type(why).__name__}: {why}")
            print(f"cannot run: {type(why).__name__}: {why}")
            return CANNOT_RUN
        finally:
            scene.close()
            await asyncio.sleep(0.05)  # for what was reset to be seen

    code = asyncio.run(whole())
    raise SystemExit(code)
