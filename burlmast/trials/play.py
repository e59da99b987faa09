"""Plays one cell of the matrix with a gateway process of its own on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import zlib
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from burlmast.standin.faultlink import (
    DROPS,
    HOLDS,
    PASSES,
    Answer,
    Direction,
    FaultLink,
    RelayedConnection,
    Rule,
)
from burlmast.trials import judge
from burlmast.trials.cells import FOR_GOOD, Around, Cell, Company, Connections, Fate, Message, Moment
from burlmast.trials.names import NameServer
from burlmast.trials.peers import Front, TrialHost, ViewerConnection
from burlmast.trials.records import Records

ROOT = Path(__file__).parent.parent.parent
HOST = "s-00000001"
START_WITHIN = 20.0  # seconds
BEFORE = 0.3  # seconds between a fault and the message that it comes before
AFTER = 0.02  # seconds between a message and the fault that comes after it
REOPEN_FRONT_AFTER = 1.0  # seconds after which viewers whose connections are silent for good open another
STOP_FOR = 0.5
HANG_FOR = 0.6
BESIDE_EVERY = 0.08  # seconds between requests beside the session
DEADLINE = 1.5
HELD_BY_TARGET = 60.0  # seconds for which the other end holds a connection for open that is gone for good
CLOSE_ANSWERS = {
    Fate.DROPPED_CLOSE_ANSWERED: Answer.IN_ORDER,
    Fate.DROPPED_CLOSE_RESET: Answer.BY_RESET,
}
PASS_AGAIN = frozenset((Fate.HELD, Fate.DROPPED, Fate.DELAYED, Fate.HELD_DROPPED, *CLOSE_ANSWERS))
SETTINGS: dict[str, Any] = {
    "siblings": 1, "slotNo": 0, "tickMs": 10.0, "discovery": "automatic", "areas": ["east"],
    "kinds": ["std"],
    "requestClasses": [
        {"credit": 1.0, "goalTimeMs": 400.0, "hardLimitMs": 1500.0, "semantics": "repeatable", "name": "paid"}
    ],
    "familyInfo": {
        "cells": 4, "racks": 1, "kbPerWeight": 8e6, "rackKb": 8e6, "kindStreams": [30000],
        "rungKb": [200.0, 400.0], "worthByRung": [0.3, 1.0], "toldEveryMs": 1500.0,
    },
    "allowed": {"probes": True, "mayTell": False, "cancel": True, "maxAttempts": 3, "connectTimeoutMs": 250.0,
                "streamsPerConn": 32, "idleCloseMs": 30000.0},
    "rules": {"drainGraceMs": 1000.0, "coldFrom": 0.4, "warmAfterMs": 1.0, "fallMs": 2000.0,
              "fallMultiple": 3.0},
    "report": {"source": "silent", "fields": ["busy_reqs", "x0"]},
}  # fmt: skip


class Trial:
    """One cell being played."""

    def __init__(self, cell: Cell, folder: Path) -> None:
        self.cell, self.folder = cell, folder
        self.records = Records(struck=f"{zlib.crc32(cell.name.encode()):08x}00000001")
        self.host = TrialHost(self.records, cell.host)
        self.names = NameServer()
        self.front: Front
        self.link: FaultLink  # of the hop that is struck
        self.process: subprocess.Popen[bytes]
        self._loop = asyncio.get_running_loop()
        self._numbers = 1
        self._own: ViewerConnection | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._beside = False

    # The gateway.

    def _configure(self) -> None:
        row = {
            "instanceId": HOST, "hostPort": f"127.0.0.1:{self.host.link.port}", "zone": "east",
            "machineType": "std", "cell": 0, "lifecycle": "Ready", "weight": 1, "startedAtMs": 0,
        }  # fmt: skip
        configuration = {
            "name": "n0", "listen": "127.0.0.1:0", "seed": f"{zlib.crc32(self.cell.name.encode()):016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256}, "peers": [],
            "resolver": f"127.0.0.1:{self.names.port}", "settings": SETTINGS,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"instances": [row]}}]},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(configuration))

    async def _start_gateway(self) -> int:
        """Start the process; the port on which it listens."""
        log = self.folder / f"log-{time.monotonic_ns()}"
        environment = {**os.environ, "ROUTER_CONFIG": str(self.folder / "config.json")}
        with log.open("wb") as stderr:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "burlmast.node"], cwd=ROOT, env=environment, stderr=stderr
            )
        self.log = log
        await self._until(lambda: b"ready:" in log.read_bytes(), START_WITHIN)
        return int(log.read_text().partition("listens at")[2].split()[0].rpartition(":")[2])

    async def _until(self, condition: Callable[[], object], within: float) -> bool:
        end = time.monotonic() + within
        while not condition():
            if time.monotonic() >= end:
                return False
            await asyncio.sleep(0.01)
        return True

    # The course.

    async def play(self) -> list[str]:
        """Play the cell; what broke a rule."""
        try:
            await self._set_the_scene()
            await self._strike_and_act()
            await self._settle()
        finally:
            self._close()
        return judge.broken(self.cell, self.records)

    async def _set_the_scene(self) -> None:
        await self.names.start()
        await self.host.start()
        self.names.rows = {HOST: self.host.link.port}
        self._configure()
        gateway = FaultLink(("127.0.0.1", await self._start_gateway()))
        await gateway.start()
        self.front = Front(self.records, gateway)
        self.link = gateway if self.cell.message is Message.VIEWER_END else self.host.link
        alone = self.cell.company is Company.ALONE
        for _ in range(1 if alone else 3):
            await self.front.connect()
        self._keep(self._measure_lag())
        self._own = self.front.connections[0]
        if self.cell.message not in (Message.HOST_ANSWER, Message.SETUP):
            await self._establish(self.records.struck)
        if self.cell.around is Around.RETIRED:
            await self._retire()
        if self.cell.around is Around.HANDED_OVER:
            await self._hand_over(gateway)
        if not alone:
            await self._open_others()
            self._beside = True
            self._keep(self._ask_beside())
            await asyncio.sleep(0.3)

    async def _establish(self, name: str) -> None:
        for _ in range(20):
            assert self._own is not None
            request = self.front.ask(self._own, name, DEADLINE)
            await self._until(partial(getattr, request, "answers"), 3.0)
            if request.established:
                return
            self.records.requests.pop(name)
            await asyncio.sleep(0.2)
        raise RuntimeError("no session could be established")

    async def _open_others(self) -> None:
        """Several connections to the host: answers take a while, so that each set-up has its own."""
        self.host.answer_after = lambda name: 0.1
        connections = self.front.connections[-2:]
        for place in range(3):
            self._request_beside(connections[place % 2])
        await asyncio.sleep(0.3)
        self.host.answer_after = lambda name: 0.1 if self.cell.company is Company.BUSY else 0.005

    async def _ask_beside(self) -> None:
        while self._beside:
            connections = self.front.connections
            if self.cell.company is not Company.BUSY:
                connections = [one for one in connections if one is not self._own]
            if connections:
                self._request_beside(connections[self._numbers % len(connections)])
            await asyncio.sleep(BESIDE_EVERY)

    def _request_beside(self, connection: ViewerConnection) -> None:
        self._numbers += 1
        name = f"{self.records.struck[:8]}{self._numbers:08x}"
        self.front.ask(connection, name, DEADLINE)
        self._loop.call_later(1.5, self._end_beside, name)

    def _end_beside(self, name: str) -> None:
        if name in self.records.sessions:
            self.host.end(name)

    async def _retire(self) -> None:
        """A set-up runs out of time on the connection of the session."""
        assert self._own is not None
        self.host.answer_after = lambda name: None
        name = f"{self.records.struck[:8]}ffffffff"
        request = self.front.ask(self._own, name, 0.4)
        await self._until(lambda: request.answers, 2.0)
        self.host.answer_after = lambda name: 0.005

    async def _hand_over(self, gateway: FaultLink) -> None:
        self.process.kill()
        self.process.wait()
        gateway.target = ("127.0.0.1", await self._start_gateway())
        await self._until(self._connections_up, 5.0)
        self._own = self._connections_up()[0]
        self.front.ask(self._own, self.records.struck, DEADLINE, at=HOST)
        await asyncio.sleep(0.3)

    def _connections_up(self) -> list[ViewerConnection]:
        """The front's connections that have reached the gateway."""
        reached = {relayed.client_port for relayed in self.front.link.connections if relayed.up}
        return [
            one for one in self.front.connections if not one.transport.is_closing() and one.port in reached
        ]

    # The fault.

    async def _strike_and_act(self) -> None:
        self._begin_around()
        moment = self.cell.moment
        if moment is Moment.BEFORE:
            self._strike()
            await asyncio.sleep(BEFORE)
            self._act()
        elif moment is Moment.AS:
            self._act()
            self._strike()
        else:
            self._act()
            await asyncio.sleep(AFTER)
            self._strike()

    def _begin_around(self) -> None:
        if self.cell.around is Around.GATEWAY_STOPPED:
            self.process.send_signal(signal.SIGSTOP)
            self._loop.call_later(STOP_FOR, self.process.send_signal, signal.SIGCONT)
        elif self.cell.around is Around.HOST_HANGS:
            self.host.hang(HANG_FOR)

    def _act(self) -> None:
        """What leads to the message that is struck."""
        struck, own = self.records.struck, self._own
        if own is None or own not in self.front.connections:
            own = self.front.connections[0] if self.front.connections else None
        if self.cell.message in (Message.HOST_RELEASE, Message.VIEWER_END):
            self.host.end(struck)
        elif own is not None and self.cell.message is Message.GATEWAY_RELEASE:
            self.front.end(own, struck)
        elif own is not None:
            self.front.ask(own, struck, DEADLINE)
            self._loop.call_later(2.0, self._end_beside, struck)

    def _struck_connections(self) -> list[RelayedConnection]:
        connections = [connection for connection in self.link.connections if connection.up]
        own = self._own_relayed()
        if self.cell.connections is Connections.ALL:
            return connections
        if self.cell.connections is Connections.OWN:
            return [own] if own is not None else connections[:1]
        return [connection for connection in connections if connection is not own]

    def _own_relayed(self) -> RelayedConnection | None:
        if self.cell.message is Message.VIEWER_END:
            if self._own is None or self._own.transport.is_closing():
                return None
            port = self._own.port
            return next((one for one in self.link.connections if one.up and one.client_port == port), None)
        origin = self.host.origins.get(self.records.struck)
        if origin is None or origin not in self.host.connections:
            return None
        return origin.link_connection

    def _strike(self) -> None:
        """Put the fault on the connections, and take it away after its duration."""
        cell, connections = self.cell, self._struck_connections()
        whole_link = cell.connections is Connections.ALL and cell.message is not Message.VIEWER_END
        self.records.fault_began = time.monotonic()
        if cell.around is Around.NEXT_TOO:
            self._strike_next(connections)
        for connection in list(connections):
            self._strike_connection(connection)
        rule, ways = self._rule()
        if whole_link and rule is not None and cell.fate is not Fate.CUT:
            self.link.put(rule, *ways)
            self.link.let_dial(cell.fate is Fate.DELAYED)
        if cell.duration != FOR_GOOD:
            self.records.passes_again = self.records.fault_began + cell.duration
            self._loop.call_later(cell.duration, self._heal, connections, whole_link)
        elif cell.message is Message.VIEWER_END:
            self._loop.call_later(REOPEN_FRONT_AFTER, self._open_front)

    def _rule(self) -> tuple[Rule | None, tuple[Direction, ...]]:
        """What the fault does to bytes, and which way; None: nothing."""
        to_host = self.cell.message in (Message.SETUP, Message.GATEWAY_RELEASE)
        way, both = (Direction.UP if to_host else Direction.DOWN,), tuple(Direction)
        rules: dict[Fate, tuple[Rule | None, tuple[Direction, ...]]] = {
            Fate.DELAYED: (Rule(delay=self.cell.duration), way),
            Fate.HELD: (HOLDS, both),
            Fate.HELD_RESET: (HOLDS, both),
            Fate.DROPPED: (DROPS, way),
            Fate.CUT: (Rule(cut_after=5), way),
            Fate.HELD_DROPPED: (HOLDS, way),
            Fate.DROPPED_CLOSE_ANSWERED: (DROPS, both),
            Fate.DROPPED_CLOSE_RESET: (DROPS, both),
        }
        return rules.get(self.cell.fate, (None, ()))

    def _strike_connection(self, connection: RelayedConnection) -> None:
        fate, (rule, ways) = self.cell.fate, self._rule()
        connection.answers_close = CLOSE_ANSWERS.get(fate)
        if rule is not None:
            connection.put(rule, *ways)
        elif fate is Fate.CLIENT_FIRST:
            connection.reset_client(min(self.cell.duration, HELD_BY_TARGET))
        elif fate is Fate.CLOSED_CLIENT_FIRST:
            connection.close_client(min(self.cell.duration, HELD_BY_TARGET))
        else:
            connection.reset() if fate is Fate.RESET else connection.close()

    def _strike_next(self, struck: list[RelayedConnection]) -> None:
        """The connection that is dialled next meets the fault once the other end has seen it come up."""
        dialled = self.link.on_dialled

        def strike(connection: RelayedConnection) -> None:
            dialled(connection)
            self.link.on_dialled = dialled
            if self.cell.duration != FOR_GOOD and time.monotonic() >= self.records.passes_again:
                return
            struck.append(connection)
            self._strike_connection(connection)

        self.link.on_dialled = strike

    def _heal(self, connections: list[RelayedConnection], whole_link: bool) -> None:
        self.records.passes_again = time.monotonic()
        for connection in connections:
            connection.answers_close = None
            if self.cell.fate in (Fate.HELD_RESET, Fate.CUT) or not connection.up:
                connection.reset()
            elif self.cell.fate in PASS_AGAIN:
                if self.cell.fate is Fate.HELD_DROPPED:
                    connection.discard_held()
                connection.put(PASSES)
        if whole_link:
            self.link.put(PASSES)
            self.link.let_dial(True)

    def _open_front(self) -> None:
        self.records.passes_again = time.monotonic()
        for _ in range(2 if self.cell.around is Around.NEXT_TOO else 1):
            self._keep(self.front.connect())

    # The end.

    async def _settle(self) -> None:
        """Wait until nothing is open any more, or the latest time at which the judge would want it."""
        latest = judge.latest(self.cell)
        began = time.monotonic()
        await asyncio.sleep(0.2)
        await self._until(lambda: judge.settled(self.cell, self.records), latest)
        self._beside = False
        left = min(latest, judge.BESIDE_SETTLES) - (time.monotonic() - began)
        if self.cell.company is not Company.ALONE:
            await asyncio.sleep(2.0)
            await self._until(lambda: judge.all_settled(self.records), max(left, judge.BESIDE_SETTLES))
        if self.process.poll() is not None:
            self.records.gateway_ended = str(self.process.poll())
        self.records.log = self.log.read_text()

    async def _measure_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.records.lag = max(self.records.lag, time.monotonic() - before - 0.01)

    def _keep(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if hasattr(self, "process"):
            self.process.kill()
            self.process.wait()
        if hasattr(self, "front"):
            self.front.close()
            self.front.link.close()
        self.host.close()
        self.names.close()


async def play(cell: Cell, folder: Path) -> tuple[list[str], Records]:
    """Play a cell in a folder of its own; what broke a rule, and what was seen."""
    trial = Trial(cell, folder)
    return await trial.play(), trial.records
