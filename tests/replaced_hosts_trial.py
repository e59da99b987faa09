"""Hosts that are replaced by new processes at their addresses, or swap them, round one real gateway process.

By hand: `python tests/replaced_hosts_trial.py replaced` prints one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import sys
import tempfile
import time
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import pairwise
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parent.parent), str(Path(__file__).resolve().parent)]

import overload_trial  # noqa: E402
from leaving_clients_trial import intervals  # noqa: E402
from overload_trial import FORK, HostConnection, HostEvent, TrialHost  # noqa: E402
from platform_standin import NameServer  # noqa: E402

CELLS = 4
TOLD_AFTER = 1.0  # seconds from a change to the list that tells it
ALLOWED = 1.0 + 0.25 + 0.3  # the grace of the settings, a query's interval, the protocol's 50 ms and delivery
RELEASED_WITHIN = 8.05  # seconds from a session's end until its viewer has to know, where none could be sent
CUT_SLACK = 0.1  # seconds by which a viewer may hear of an end before its host has noted it
# Two ids with one CRC-32.
COLLIDING = ("s-75be4d1e", "s-4baa5d72")


class Process(TrialHost):
    """A host's process, which can die and leave its port to another."""

    def __init__(self, name: str, cell: int, port: int = 0) -> None:
        super().__init__(name, 0.05, 4.0)
        self.cell, self.port = cell, port
        self.links: list[HostConnection] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        def made() -> HostConnection:
            self.links.append(HostConnection(self))
            return self.links[-1]

        self.server = await asyncio.get_running_loop().create_server(made, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Its connections are reset, its sessions cut."""
        assert self.server is not None
        self.server.close()
        for link in self.links:
            if hasattr(link, "transport"):
                link.transport.abort()
        for session, timer in self.established.items():
            timer.cancel()
            self.log(session, "ended")
        for session in self.out:
            self.log(session, "ended")
        self.established.clear()
        self.out.clear()


class Hosts:
    """The hosts, the list, and what happens to them."""

    def __init__(self, names: NameServer) -> None:
        self.names = names
        self.here: list[Process] = []
        self.gone: list[Process] = []
        self.told_at: dict[str, float] = {}  # since when a name's cell is in the list

    def tell(self) -> None:
        """The list tells of the hosts that are here."""
        self.names.serial += 1
        self.names.rows = {host.name: (host.port, 0) for host in self.here}
        self.names.cells = {host.name: host.cell for host in self.here}
        for host in self.here:
            self.told_at.setdefault(f"{host.name}:{host.port}", time.time())

    async def replace(self, name: str, other_cell: bool = True, victim: int = 0) -> None:
        """The first host dies, a new process under another name comes up at its address, the list is late."""
        old = self.here.pop(victim)
        old.die()
        self.gone.append(old)
        await asyncio.sleep(0.05)
        new = Process(name, (old.cell + 1) % CELLS if other_cell else old.cell, old.port)
        await new.start()
        self.here.append(new)
        await asyncio.sleep(TOLD_AFTER)
        self.tell()

    async def swap(self) -> None:
        """Two hosts come up again under their names, each at the other's address."""
        first, second = self.here.pop(0), self.here.pop(0)
        for old in (first, second):
            old.die()
            self.gone.append(old)
        await asyncio.sleep(0.05)
        for name, cell, port in (
            (first.name, first.cell, second.port),
            (second.name, second.cell, first.port),
        ):
            self.here.append(Process(name, cell, port))
            await self.here[-1].start()
        await asyncio.sleep(TOLD_AFTER)
        self.tell()


async def churn(hosts: Hosts, how: str, rounds: int) -> None:
    """What happens to the hosts."""
    for turn in range(rounds):
        if how == "swapped":
            await hosts.swap()
        elif how == "colliding":
            # It takes the place of another host than the one whose number it shares.
            victims = [place for place, host in enumerate(hosts.here) if host.name not in COLLIDING]
            await hosts.replace(COLLIDING[1] if turn == 0 else f"s-new{turn}", victim=victims[0])
        else:
            await hosts.replace(f"s-new{turn}")
        await asyncio.sleep(2.0)


def run_hosts(pipe: Connection, how: str, rounds: int) -> None:
    """The process of hosts and name server."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        hosts = Hosts(NameServer())
        names = [COLLIDING[0] if how == "colliding" and place == 5 else f"s-{place}" for place in range(12)]
        for place, name in enumerate(names):
            hosts.here.append(Process(name, place % CELLS))
            await hosts.here[-1].start()
        hosts.tell()
        transport, _ = await loop.create_datagram_endpoint(lambda: hosts.names, ("127.0.0.1", 0))
        pipe.send((names, [host.port for host in hosts.here], transport.get_extra_info("sockname")[1]))
        while not pipe.poll():
            await asyncio.sleep(0.05)
        pipe.recv()
        await churn(hosts, how, rounds)
        pipe.send("over")
        while not pipe.poll():
            await asyncio.sleep(0.05)
        every = [*hosts.here, *hosts.gone]
        pipe.send([
            (host.name, host.port, host.cell, hosts.told_at.get(f"{host.name}:{host.port}", 0.0), host.events)
            for host in every
        ])  # fmt: skip

    asyncio.run(work())


@dataclass
class Judged:
    """What a trial saw."""

    asked: int = 0
    answered: int = 0
    refused: int = 0
    unanswered: int = 0
    established: int = 0
    wrong_place: int = 0  # set-ups at a host of a cell that does not hold their title, long after it was told
    ran_twice: int = 0  # ids that were out or stood twice at a time
    cut: int = 0  # sessions that viewers were told to be over while their host had not ended them
    not_released: int = 0  # sessions that are over, whose viewer was not told within its time


class Viewer:
    """Asks at a rate for titles that one cell holds, and keeps what it hears."""

    def __init__(self) -> None:
        self.asked: dict[int, float] = {}
        self.answers: dict[int, tuple[float, str]] = {}
        self.over: dict[int, float] = {}

    async def run(self, address: tuple[str, int], rate: float, done: Callable[[], bool]) -> None:
        reader, writer = await asyncio.open_connection(*address)

        async def listen() -> None:
            while raw := await reader.readline():
                told = json.loads(raw)
                number = int(told["id"], 16)
                if number in self.answers:
                    self.over.setdefault(number, time.time())
                    writer.write(b'{"type":"released","id":"%s","fields":{}}\n' % told["id"].encode())
                else:
                    self.answers[number] = (time.time(), told["type"])

        listening = asyncio.ensure_future(listen())
        while not done():
            number = overload_trial.BASE + len(self.asked)
            self.asked[number] = time.time()
            extras = f"home:{number % CELLS};copies:1;top:1;viewer:{number:016x}"
            writer.write(overload_trial.set_up(number, left=1500, extras=extras))
            await asyncio.sleep(1 / rate)
        await asyncio.sleep(5.0 + RELEASED_WITHIN)
        listening.cancel()
        writer.close()


def judge(viewer: Viewer, hosts: list[Any]) -> Judged:
    """By what viewers and hosts saw."""
    judged = Judged(asked=len(viewer.asked))
    sessions: dict[int, list[HostEvent]] = {}
    for name, port, cell, told_at, events in hosts:
        for event in events:
            sessions.setdefault(event.session, []).append(event._replace(host=f"{name}:{port}:{id(events)}"))
            wrong = event.what == "set-up" and event.session % CELLS != cell
            judged.wrong_place += bool(wrong and told_at and event.at > told_at + ALLOWED)
    now = time.time()
    for number in viewer.asked:
        _, answer = viewer.answers.get(number, (0.0, ""))
        judged.answered += bool(answer)
        judged.refused += answer == "release"
        judged.unanswered += not answer
        seen = sorted(sessions.get(number, []))
        spans = sorted(intervals(seen, now))
        judged.ran_twice += any(first[1] > second[0] for first, second in pairwise(spans))
        if answer != "answer":
            continue
        judged.established += 1
        over = viewer.over.get(number, now)
        ended = max((end for _, end in spans), default=0.0)
        host_ended = any(event.what == "ended" for event in seen)
        judged.cut += number in viewer.over and not (host_ended and ended <= over + CUT_SLACK)
        judged.not_released += host_ended and over - ended > RELEASED_WITHIN
    return judged


def play(how: str, rounds: int = 4, rate: float = 40.0) -> Judged:
    """One trial."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        pipe, theirs = FORK.Pipe()
        standins = FORK.Process(target=run_hosts, args=(theirs, how, rounds), daemon=True)
        standins.start()
        stack.callback(standins.terminate)
        names, ports, resolver = pipe.recv()
        process, port = stack.enter_context(
            overload_trial.gateway(Path(folder), ports, resolver, host_names=names)
        )
        time.sleep(4.5)
        viewer = Viewer()
        pipe.send("begin")
        asyncio.run(viewer.run(("127.0.0.1", port), rate, pipe.poll))
        pipe.recv()
        pipe.send("report")
        judged = judge(viewer, pipe.recv())
        assert process.poll() is None
    return judged


def main() -> None:
    """One trial from the command line."""
    assert zlib.crc32(COLLIDING[0].encode()) == zlib.crc32(COLLIDING[1].encode())
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("how", choices=["replaced", "swapped", "colliding"])
    parser.add_argument("--rounds", type=int, default=4)
    words = parser.parse_args()
    print(json.dumps({"how": words.how, **asdict(play(words.how, words.rounds))}))


if __name__ == "__main__":
    main()
