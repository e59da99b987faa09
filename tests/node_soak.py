"""One gateway process between viewers, hosts and a name server that all misbehave by a seed, and a judge.

The schedule is a value drawn from the seed. The workload records what viewers and hosts sent and received;
the judge reads these records and the protocol's figures alone, never what the gateway believes. Times are
seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from platform_standin import EXTRAS, SDP, SETTINGS, NameServer, Node, until
from soak_faults import FAULTS
from soak_judge import Judge
from soak_peers import SoakHost, Viewer
from soak_records import RequestRecord, SessionRecord
from soak_schedule import (
    ACTIVE,
    CUT_WITHIN,
    END_WITHIN,
    LATE_ANSWER,
    READY_WITHIN,
    SLACK,
    SLOW_WRITE,
    Fault,
    Schedule,
    draw,
)

from burlmast.standin.relay import WELL, Link


class Soak:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.folder = schedule, folder
        self.began = time.monotonic()  # of the first request, once it is sent
        self.chance = random.Random(schedule.seed)
        self.hosts: list[SoakHost] = []
        self.sessions: list[SessionRecord] = []
        self.requests: dict[str, RequestRecord] = {}
        self.viewers: list[Viewer] = []
        self.bad: list[asyncio.BaseTransport] = []
        self.names = NameServer()
        self.names_back = 0.0  # when the name server could be reached again after a failure
        self.names_down = False
        self.gone: dict[str, float] = {}  # hosts that drain or are gone, and since when
        self.broken: list[str] = []
        self.allowed = Counter[str]()  # how often an allowance of the judge made the difference
        self.holding_since = 0.0  # since when the relay passes nothing to the gateway; 0: it does
        self.kills: list[float] = []
        self.held: list[tuple[float, float]] = []  # when the relay held back what viewers or the gateway sent
        self.closed_by_us: set[Viewer] = set()
        self.restarts = 0
        self.events: list[tuple[float, str, str]] = []  # when, session or host, what
        self.lag = 0.0
        self.taking = True  # whether the front sends requests
        self.killing = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._names_drawn = 0

    # The world.

    def later(self, seconds: float, work: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(seconds, work)

    def note(self, subject: str, what: str) -> None:
        """Keep for the report what passed about a session or at a host."""
        self.events.append((time.monotonic() - self.began, subject, what))

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

    async def add_host(self, port: int = 0) -> SoakHost:
        self._names_drawn += 1
        host = SoakHost(self, f"s-{self._names_drawn:08x}", port)
        await host.start()
        self.hosts.append(host)
        return host

    def configuration(self) -> None:
        plan = {
            **SETTINGS["requestClasses"][0],
            "goalTimeMs": self.schedule.deadline_ms / 2,
            "hardLimitMs": self.schedule.deadline_ms,
        }
        rows = [
            {
                "instanceId": host.name, "hostPort": f"127.0.0.1:{host.port}", "zone": "east",
                "machineType": "std", "cell": place % 4, "lifecycle": "Ready", "weight": 1, "startedAtMs": 0,
            }
            for place, host in enumerate(self.hosts)
            if host.name not in self.gone
        ]  # fmt: skip
        info = {**SETTINGS["familyInfo"], "kbPerWeight": 8e6, "rackKb": 8e6, "kindStreams": [30000]}
        resolver = self.names.transport.get_extra_info("sockname")[1]
        configuration = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": f"{self.schedule.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256}, "peers": [],
            "resolver": f"127.0.0.1:{resolver}",
            "settings": {**SETTINGS, "requestClasses": [plan], "familyInfo": info},
            "known": {
                "rev": self.names.serial,
                "notices": [{"rev": self.names.serial, "pool": {"instances": rows}}],
            },
        }  # fmt: skip
        self.path.write_text(json.dumps(configuration))

    async def run(self) -> list[str]:
        """Play the schedule; what broke a rule."""
        loop = asyncio.get_running_loop()
        self.path = self.folder / "config.json"
        self.port = listening_port(schedule=self.schedule)
        for _ in range(self.schedule.hosts):
            host = await self.add_host()
            self.names.rows[host.name] = host.port, 0
        await loop.create_datagram_endpoint(lambda: self.names, ("127.0.0.1", 0))
        self.configuration()
        self.link = Link(("127.0.0.1", self.port))
        await self.link.start()
        self.node = Node(self.path)
        try:
            await self.start_up()
            self.began = time.monotonic()
            for fault in self.schedule.faults:
                self.later(fault.at, lambda fault=fault: self.begin(self.fail(fault)))
            self.begin(self.measure_lag())
            await self.requests_until(self.began + ACTIVE)
            await self.settle()
            Judge(self).judge()
        finally:
            for task in self._tasks:
                task.cancel()
            self.node.end()
            for host in self.hosts:
                host.die()
            for viewer in self.viewers:
                viewer.transport.abort()
            for transport in self.bad:
                transport.abort()  # type: ignore[attr-defined]
            self.link.close()
            self.names.transport.close()
        return self.broken

    async def start_up(self) -> None:
        began = time.monotonic()
        await self.node.port()
        await self.node.ready()
        if time.monotonic() - began > READY_WITHIN:
            self.broken.append(f"ready: over {READY_WITHIN:.0f} s")
        for place in range(4):
            await self.connect(relayed=place % 2 == 1)

    async def measure_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag = max(self.lag, time.monotonic() - before - 0.01)

    async def connect(self, relayed: bool = False) -> Viewer | None:
        port = self.link.port if relayed else self.port
        try:
            _, viewer = await asyncio.get_running_loop().create_connection(
                lambda: Viewer(self), "127.0.0.1", port
            )
        except OSError:
            return None
        self.viewers.append(viewer)
        return viewer

    # Requests.

    async def requests_until(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self.chance.expovariate(self.schedule.rate))
            if self.taking:
                await self.request()

    async def request(self) -> None:
        usable = [viewer for viewer in self.viewers if not viewer.closed]
        draw = self.chance.random()
        if not usable or (draw < 0.1 and not self.killing):
            viewer = await self.connect(relayed=draw < 0.05)
            if viewer is None or viewer.closed or not self.taking:
                return
        else:
            viewer = self.chance.choice(usable)
        self.ask(viewer)

    def ask(self, viewer: Viewer) -> None:
        name = f"{self.chance.getrandbits(64):016x}"
        left = self.chance.choice((self.schedule.deadline_ms, self.schedule.deadline_ms, 150))
        fields = {"class": "paid", "left": str(left), "key": name[:4], "extras": EXTRAS}
        now = time.monotonic()
        slowly = SLOW_WRITE if self.chance.random() < 0.05 else 0.0
        record = RequestRecord(name, now + slowly, now + slowly + left / 1000, viewer)
        self.requests[name] = record
        viewer.open.add(name)
        raw = json.dumps({"type": "setup", "id": name, "fields": fields, "sdp": SDP}).encode() + b"\n"
        viewer.write(raw, slowly)
        if self.chance.random() < 0.05:
            self.later(self.chance.uniform(0, 0.1), lambda: self.cancel(record))

    def cancel(self, record: RequestRecord) -> None:
        if not record.cancelled and not record.ends and not record.connection.closed:
            record.cancelled = True
            record.connection.send({"type": "release", "id": record.name, "fields": {}, "cause": 16})

    def heard(self, viewer: Viewer, message: dict[str, Any]) -> None:
        now = time.monotonic()
        record = self.requests.get(message["id"])
        if record is None or message["type"] == "pong":
            return
        self.note(record.name, f"its viewer receives {message['type']} {message.get('cause', '')}")
        if message["type"] == "answer":
            record.answers.append((now, "answer"))
            viewer.open.discard(record.name)
        elif message["type"] in ("release", "move"):
            viewer.send({"type": "released", "id": record.name, "fields": {}})
            if record.answers:
                record.ends.append(now)
            else:
                record.answers.append((now, "release"))
                viewer.open.discard(record.name)

    def connection_lost(self, viewer: Viewer) -> None:
        for name in viewer.open:
            self.requests[name].cancelled = self.requests[name].cancelled or self.closing_is_ours(viewer)
        if viewer.open and not self.closing_is_ours(viewer):
            unanswered = [self.requests[name] for name in viewer.open if not self.requests[name].cancelled]
            for record in unanswered:
                if not record.voided and not self.never_read(viewer):
                    self.broken.append(f"lost: {record.name}: its connection was closed without an answer")

    def never_read(self, viewer: Viewer) -> bool:
        """See `soak_judge.ALLOWANCES`."""
        first = min(record.sent for record in self.requests.values() if record.connection is viewer)
        allowed = self.relayed(viewer) and 0 < self.holding_since <= first
        self.allowed["never_read"] += allowed
        return allowed

    def closing_is_ours(self, viewer: Viewer) -> bool:
        return viewer in self.closed_by_us

    # Faults.

    async def fail(self, fault: Fault) -> None:
        alive = [host for host in self.hosts if not host.dead]
        host = alive[fault.target % len(alive)]
        await FAULTS[fault.kind](self, fault, host)

    def check_at_kill(self, now: float) -> None:
        for record in self.requests.values():
            if record.answers or record.cancelled or record.handed_over or record.connection.closed:
                continue
            record.voided = True
            if now - record.sent > SLACK + self.lag and self.reachable(record.connection):
                self.broken.append(
                    f"lost: {record.name}: unanswered at the kill, sent {now - record.sent:.3f} s before"
                )

    def reachable(self, viewer: Viewer) -> bool:
        """Whether what passes on this connection is not held back by the relay."""
        return not viewer.paused and (not self.relayed(viewer) or self.link.state == WELL)

    def relayed(self, viewer: Viewer) -> bool:
        """Whether this connection leads through the relay."""
        return bool(viewer.transport.get_extra_info("peername")[1] == self.link.port)

    def hand_over(self) -> None:
        direct = [viewer for viewer in self.viewers if not viewer.closed and not self.relayed(viewer)]
        viewer = direct[-1]  # of this life of the gateway
        viewer.handed_over = time.monotonic()
        for session in self.sessions:
            record = self.requests.get(session.name)
            alive = any(host.name == session.host and not host.dead for host in self.hosts)
            if record is None or session.ended or record.cancelled or not record.answers or not alive:
                continue
            record.handed_over = time.monotonic()
            self.note(record.name, f"is handed over at {session.host}")
            fields = {"class": "paid", "key": record.name[:4], "extras": f"{EXTRAS};at:{session.host}"}
            viewer.send({"type": "setup", "id": record.name, "fields": fields, "sdp": SDP})

    def change_list(self, name: str) -> None:
        self.names.serial += 1
        self.gone[name] = time.monotonic()

    # The end.

    async def settle(self) -> None:
        """All sessions come to their end, and everybody has time to hear of it."""
        await until(lambda: not self.killing, 30)
        self.link.put(WELL)
        for host in self.hosts:
            host.wake()
        if not any(not viewer.closed for viewer in self.viewers):
            await self.connect()
        end = time.monotonic() + 3.0
        while time.monotonic() < end and any(not session.ended for session in self.sessions):
            await asyncio.sleep(0.05)
        await asyncio.sleep(max(END_WITHIN, self.schedule.deadline_ms / 1000 + LATE_ANSWER) + 0.2)
        waiting = Judge(self)
        end = time.monotonic() + CUT_WITHIN
        while time.monotonic() < end and waiting.unreleased():
            await asyncio.sleep(0.1)
        self.check_log()

    def explain(self) -> list[str]:
        """What passed about the sessions and hosts that the broken rules name, in one order of time."""
        words = {word.strip(":,") for line in self.broken for word in line.split()}
        return [f"{at:.3f} {subject}: {what}" for at, subject, what in self.events if subject in words]

    def log(self) -> list[str]:
        """What the gateway logged, by the run's seconds."""
        offset = time.time() - time.monotonic() + self.began
        lines = [line.partition(" ") for line in self.node.said.splitlines()]
        return [f"{float(at) - offset:.3f} {rest}" for at, _, rest in lines if at[:1].isdigit()]

    def check_log(self) -> None:
        if self.node.process.poll() is not None and not self.killing:
            self.broken.append(f"crash: it has ended with {self.node.process.poll()}")
        for sign in ("Traceback", "the decisions failed"):
            if sign in self.node.said:
                self.broken.append(f"crash: {sign} in the log")


def listening_port(schedule: Schedule) -> int:
    """A free port for the gateway, which listens there again after each restart: none that the system gives
    to a connection or to who asks for any."""
    for number in range(1000):
        port = 10_000 + (os.getpid() * 131 + schedule.seed * 17 + number) % 20_000
        with socket.socket() as free:
            try:
                free.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


def play(seed: int, folder: Path) -> list[str]:
    """Play a seed; what broke a rule, the schedule first."""
    schedule = draw(seed)
    soak = Soak(schedule, folder)
    broken = asyncio.run(soak.run())
    print(f"seed {seed}: allowed {dict(+soak.allowed)}")
    if not broken:
        return []
    return [f"seed {seed}: {schedule}", *broken, *soak.explain(), *soak.log()]
