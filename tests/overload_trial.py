"""One real gateway process between media hosts, a client that sends too much, and one that does not.

Hosts and name server, the flood, and the measured client are processes of their own. By hand:

    python tests/overload_trial.py new_ids --seconds 15 --share 0.33

prints one JSON object. `--share` leaves the gateway about so much of a core, by busy processes on its core.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import shlex
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from platform_standin import EXTRAS, SDP, SETTINGS, NameServer  # noqa: E402

from burlmast.node import frames  # noqa: E402
from burlmast.node.frames import FrameReader, frame  # noqa: E402

PLAN = {"credit": 1.0, "goalTimeMs": 400.0, "hardLimitMs": 3000.0, "semantics": "repeatable", "name": "paid"}
MEMORY_MB = 64
FORK = multiprocessing.get_context("fork")


def set_up(number: int, left: int = 2900, description: str = SDP, **more: str) -> bytes:
    """A sound set-up under this id, with further fields."""
    name = f"{number:016x}"
    title = f"{0xA0000 + number % 97:016x}"
    extras = f"home:{number % 4};copies:4;top:1;viewer:{name}"
    fields = {"class": "paid", "left": str(left), "key": title, "extras": extras, **more}
    return json.dumps({"type": "setup", "id": name, "fields": fields, "sdp": description}).encode() + b"\n"


def release(number: int) -> bytes:
    """A set-up is given up, or a session is over."""
    line = {"type": "release", "id": f"{number:016x}", "fields": {}, "cause": 16}
    return json.dumps(line).encode() + b"\n"


BASE = 0x5000_0000_0000_0000


def new_ids(number: int) -> bytes:
    return set_up(BASE + number)


def given_up(number: int) -> bytes:
    return set_up(BASE + number) + (release(BASE + number - 100) if number >= 100 else b"")


def new_titles(number: int) -> bytes:
    return set_up(BASE + number, key=f"{BASE + number:016x}")


def one_id(number: int) -> bytes:
    return set_up(BASE)


def wrong_form(number: int) -> bytes:
    return set_up(BASE + number, **{"class": "none"})


def pings(number: int) -> bytes:
    return b'{"type":"ping","id":"00","fields":{},"cause":0}\n'


def unknown_releases(number: int) -> bytes:
    return release(BASE + number)


def handed_over(number: int) -> bytes:
    """Sessions that play elsewhere already, by a client's word alone."""
    return set_up(BASE + number, extras=f"{EXTRAS};at:s-{number % 4}")


def handed_over_unlisted(number: int) -> bytes:
    """The same at hosts that nobody has heard of."""
    return set_up(BASE + number, extras=f"{EXTRAS};at:s-{BASE + number:x}")


FLOODS: dict[str, Callable[[int], bytes]] = {
    "new_ids": new_ids,
    "new_titles": new_titles,
    "given_up": given_up,
    "one_id": one_id,
    "wrong_form": wrong_form,
    "pings": pings,
    "unknown_releases": unknown_releases,
    "handed_over": handed_over,
    "handed_over_unlisted": handed_over_unlisted,
}


class HostEvent(NamedTuple):
    """What a host saw of a session, and when by the system's clock."""

    at: float
    host: str
    session: int
    what: str  # set-up, answered, given up (by the gateway), ended (by the host)


class HostConnection(asyncio.Protocol):
    """One connection of the gateway to a host that answers each set-up, and plays it for a while."""

    def __init__(self, host: TrialHost) -> None:
        self.host, self.reader = host, FrameReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        for message in self.reader.feed(data)[0]:
            if message.kind == frames.SETUP:
                self.host.log(message.session, "set-up")
                loop.call_later(self.host.takes, self.answer, message.session)
                self.host.out.add(message.session)
            elif message.kind == frames.PING:
                report = f"busy_reqs:{len(self.host.established)};x0:0.1".encode()
                self.write(
                    frame(frames.PONG, message.session, {frames.CAUSE: b"\x01", frames.REPORT: report})
                )
            elif message.kind == frames.RELEASE:
                self.host.log(message.session, "given up")
                self.host.out.discard(message.session)
                timer = self.host.established.pop(message.session, None)
                if timer is not None:
                    timer.cancel()

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def answer(self, session: int) -> None:
        if session not in self.host.out or self.transport.is_closing():
            return
        self.host.out.discard(session)
        self.host.log(session, "answered")
        description = f"s {session:016x}\r\nc=IN IP4 127.0.0.1\r\n".encode()
        self.write(frame(frames.ANSWER, session, {frames.DESCRIPTION: description}))
        loop = asyncio.get_running_loop()
        self.host.established[session] = loop.call_later(self.host.plays, self.end, session)

    def end(self, session: int) -> None:
        if self.host.established.pop(session, None) is not None:
            self.host.log(session, "ended")
            self.write(frame(frames.RELEASE, session, {frames.CAUSE: b"\x10"}))


class TrialHost:
    """A media host."""

    def __init__(self, name: str, takes: float, plays: float) -> None:
        self.name, self.takes, self.plays = name, takes, plays
        self.events: list[HostEvent] = []
        self.out: set[int] = set()
        self.established: dict[int, asyncio.TimerHandle] = {}
        self.port = 0

    def log(self, session: int, what: str) -> None:
        """Something has happened to a session here."""
        self.events.append(HostEvent(time.time(), self.name, session, what))


def run_hosts(pipe: Connection, number: int, takes: float, plays: float) -> None:
    """The process of the hosts and the name server: its addresses first, what the hosts saw when asked."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        hosts = [TrialHost(f"s-{place}", takes, plays) for place in range(number)]
        names = NameServer()
        for host in hosts:
            server = await loop.create_server(lambda host=host: HostConnection(host), "127.0.0.1", 0)
            host.port = server.sockets[0].getsockname()[1]
            names.rows[host.name] = host.port, 0
        transport, _ = await loop.create_datagram_endpoint(lambda: names, ("127.0.0.1", 0))
        pipe.send(([host.port for host in hosts], transport.get_extra_info("sockname")[1]))
        while not pipe.poll():
            await asyncio.sleep(0.05)
        pipe.send(sorted(event for host in hosts for event in host.events))

    asyncio.run(work())


@dataclass
class Flood:
    """What one client sent as fast as it could, and what came back."""

    sent: int = 0  # messages, by the client's own buffer
    resets: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    answered: int = 0  # ids that have had an answer
    longest_wait: float = 0.0  # seconds from handing a set-up to the system to its answer


def run_flood(
    address: tuple[str, int], message: Callable[[int], bytes], most: int, until: float, pipe: Connection
) -> None:
    """The process of the flood: writes as fast as the gateway reads, reads all that comes back."""
    connection = socket.create_connection(address)
    connection.setblocking(False)
    told, pending, received = Flood(), b"", b""
    sent_at: dict[str, float] = {}
    while time.time() < until:
        if not pending and told.sent < most:
            numbers = range(told.sent, min(most, told.sent + 64))
            pending = b"".join(message(number) for number in numbers)
            told.sent = numbers.stop
            sent_at.update((f"{BASE + number:016x}", time.monotonic()) for number in numbers)
        try:
            pending = pending[connection.send(pending) :]
        except BlockingIOError:
            time.sleep(0.0005)
        except OSError:
            told.resets += 1
            connection.close()
            time.sleep(0.05)
            connection = socket.create_connection(address)
            connection.setblocking(False)
            pending, received = b"", b""
            continue
        with contextlib.suppress(OSError):
            received += connection.recv(1 << 18)
        *lines, received = received.split(b"\n")
        for line in lines:
            answer = json.loads(line)
            kind = f"{answer['type']} {answer.get('cause', '')}".strip()
            told.answers[kind] = told.answers.get(kind, 0) + 1
            began = sent_at.pop(answer["id"], None)
            if began is not None:
                told.answered += 1
                told.longest_wait = max(told.longest_wait, round(time.monotonic() - began, 3))
    pipe.send(told)
    pipe.recv()
    connection.close()


def burn(cpu: int, until: float) -> None:
    """Keep a core busy."""
    os.sched_setaffinity(0, {cpu})
    while time.time() < until:
        pass


@dataclass
class Measured:
    """What the measured client saw, times in seconds, and what the gateway took."""

    asked: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    unanswered: int = 0
    waits: list[float] = field(default_factory=list)
    memory_mb: list[float] = field(default_factory=list)
    flood: Flood | None = None
    set_ups_at_hosts: int = 0
    ids_twice_at_hosts: int = 0
    crashed: bool = False

    def report(self) -> dict[str, Any]:
        """As JSON."""
        told = asdict(self)
        waits = sorted(told.pop("waits"))
        told["median_ms"] = round(1000 * statistics.median(waits), 1) if waits else None
        told["worst_ms"] = round(1000 * waits[-1], 1) if waits else None
        return told


def resident_mb(pid: int) -> float:
    """The resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


@contextlib.contextmanager
def gateway(
    folder: Path, ports: list[int], resolver: int, host_names: Sequence[str] = ()
) -> Iterator[tuple[Any, int]]:
    """The process that `run` of the deploy file starts, and its port."""
    names = host_names or [f"s-{place}" for place in range(len(ports))]
    rows = [
        {"instanceId": names[place], "hostPort": f"127.0.0.1:{port}", "zone": "east", "machineType": "std",
         "cell": place % 4, "lifecycle": "Ready", "weight": 1, "startedAtMs": 0}
        for place, port in enumerate(ports)
    ]  # fmt: skip
    settings = {**SETTINGS, "requestClasses": [PLAN]}
    configuration = {
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}, "peers": [],
        "resolver": f"127.0.0.1:{resolver}", "settings": settings,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"instances": rows}}]},
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(configuration))
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    with (folder / "log").open("w+b") as log:
        process = subprocess.Popen(
            ["/bin/sh", "-c", run.replace(".venv/bin/python", shlex.quote(sys.executable))],
            stderr=log, cwd=ROOT, env={**os.environ, "ROUTER_CONFIG": str(path)},
        )  # fmt: skip
        try:
            end = time.monotonic() + 20
            while "listens at" not in (folder / "log").read_text():
                if time.monotonic() > end or process.poll() is not None:
                    raise RuntimeError((folder / "log").read_text())
                time.sleep(0.02)
            said = (folder / "log").read_text()
            yield process, int(said.partition("listens at")[2].split()[0].rpartition(":")[2])
        finally:
            process.kill()
            process.wait()


async def measure(
    address: tuple[str, int], until: float, pid: int, rate: float, acknowledges: bool, found: Measured
) -> None:
    """Ask at this rate on one connection; each wait counts from the write to the answer."""
    reader, writer = await asyncio.open_connection(*address)
    asked: dict[str, float] = {}

    async def listen() -> None:
        while raw := await reader.readline():
            told = json.loads(raw)
            began = asked.pop(told["id"], None)
            if told["type"] in ("answer", "release") and began is not None:
                found.waits.append(time.monotonic() - began)
                kind = f"{told['type']} {told.get('cause', '')}".strip()
                found.answers[kind] = found.answers.get(kind, 0) + 1
            elif told["type"] in ("release", "move") and acknowledges:
                writer.write(b'{"type":"released","id":"%s","fields":{}}\n' % told["id"].encode())

    listening = asyncio.ensure_future(listen())
    sampled = 0.0
    while time.time() < until:
        number = 0x7000_0000_0000_0000 + found.asked
        found.asked += 1
        asked[f"{number:016x}"] = time.monotonic()
        writer.write(set_up(number))
        if time.monotonic() - sampled >= 1:
            sampled = time.monotonic()
            found.memory_mb.append(round(resident_mb(pid), 1))
        await asyncio.sleep(1 / rate)
    await asyncio.sleep(3.1)
    found.unanswered = len(asked)
    found.memory_mb.append(round(resident_mb(pid), 1))
    listening.cancel()
    writer.close()


def play(
    flood: Callable[[int], bytes] | None,
    seconds: float,
    share: float = 1.0,
    hosts: int = 12,
    plays: float = 3.0,
    rate: float = 5.0,
    settle: float = 0.0,
    most: int = 1 << 60,
    acknowledges: bool = True,
) -> Measured:
    """One trial: a flood for so many seconds, of `most` messages, and `settle` seconds more after it."""
    found = Measured()
    with tempfile.TemporaryDirectory() as folder:
        pipe, theirs = FORK.Pipe()
        standins = FORK.Process(target=run_hosts, args=(theirs, hosts, 0.01, plays), daemon=True)
        standins.start()
        ports, resolver = pipe.recv()
        workers: list[Any] = [standins]
        try:
            with gateway(Path(folder), ports, resolver) as (process, port):
                time.sleep(4.5)  # until hosts that may have started with it are warm
                began = time.time()
                until = began + seconds
                if share < 1:
                    cpu = max(os.sched_getaffinity(0))
                    os.sched_setaffinity(process.pid, {cpu})
                    for _ in range(round(1 / share) - 1):
                        workers.append(FORK.Process(target=burn, args=(cpu, until), daemon=True))
                        workers[-1].start()
                flooding, its = FORK.Pipe()
                if flood is not None:
                    arguments = (("127.0.0.1", port), flood, most, until, its)
                    workers.append(FORK.Process(target=run_flood, args=arguments, daemon=True))
                    workers[-1].start()
                asyncio.run(
                    measure(("127.0.0.1", port), until + settle, process.pid, rate, acknowledges, found)
                )
                if flood is not None:
                    found.flood = flooding.recv()
                    flooding.send(None)
                found.crashed = process.poll() is not None
                pipe.send(None)
                ids = Counter(event.session for event in pipe.recv() if event.what == "set-up")
                found.set_ups_at_hosts = ids.total()
                found.ids_twice_at_hosts = sum(1 for times in ids.values() if times > 1)
                if os.environ.get("SHOW_LOG"):
                    sys.stderr.write((Path(folder) / "log").read_text())
        finally:
            for worker in workers:
                worker.terminate()
                worker.join()
    return found


def main() -> None:
    """One trial from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("flood", choices=[*FLOODS, "none"])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--plays", type=float, default=3.0)
    parser.add_argument("--settle", type=float, default=0.0)
    parser.add_argument("--silent", action="store_true", help="no client says that it received an end")
    told = parser.parse_args()
    found = play(
        FLOODS.get(told.flood),
        told.seconds,
        told.share,
        plays=told.plays,
        settle=told.settle,
        acknowledges=not told.silent,
    )
    print(json.dumps({"flood": told.flood, **found.report()}))


if __name__ == "__main__":
    main()
