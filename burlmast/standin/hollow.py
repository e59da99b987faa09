"""Hollow gateways: the fleet's real side of a gateway, with its files, timers, messages and HTTP, and a
modelled load in place of viewers. Many share a process.

    python -m burlmast.standin.hollow --plan FILE

What is real: `FleetSide` with all it holds, the pool and the operators' listener, a folder each. What is not:
viewers, hosts, the list, the programme; they are a `Load` that the heartbeat tells of. Bytes are counted at
the sockets, both ways. Members of a region listen on an address of its own (127.0.N.1), by which their pools
know how far away another is, and whether it is cut off.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
import time
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
import structlog

from burlmast import api
from burlmast.catalogue.join import attach
from burlmast.fleet.clock_shell import Clocks
from burlmast.fleet.gateway_shell import FleetSide, open_folder
from burlmast.fleet.join import build
from burlmast.http1.client import Address, Call, ClientConnection, Failure, Listener, Pool
from burlmast.http1.messages import Headers, split_address
from burlmast.http1.server import Bounds, Connection, Exchange, Server
from burlmast.settings.read import read
from burlmast.settings.sheets import Deployment

COLLECT = (2_000, 10, 1_000_000)  # as the gateway program
TRAIL = 200  # kinds of messages that are remembered in their order
MARKS = 400  # revisions that came in force
STARTS = 8  # members that start at the same time


class Load(msgspec.Struct, frozen=True):
    """What a hollow gateway says that it does. All zero: it idles."""

    connections: int = 0
    kb: float = 0.0  # asked for, kB/s, at that many
    requests_s: float = 0.0  # set-ups a second
    hosts: int = 0  # rows of its list; 0: it has none


class Place(msgspec.Struct, frozen=True):
    """One member."""

    number: int
    zone: int = 0
    region: int = 0
    coordinators: tuple[str, ...] = ()  # the addresses by which it reaches them, in their order


class Plan(msgspec.Struct, frozen=True):
    """The members of one process."""

    settings: str  # the gateways' own file
    state: str  # the folder in which each has its own
    members: tuple[Place, ...]
    load: Load = Load()
    delays_ms: tuple[tuple[float, ...], ...] = ()  # one way, from region to region
    start: bool = True  # all at once, by themselves


class Counts:
    """What passed at the sockets of one member, over all its lives."""

    def __init__(self) -> None:
        self.received = self.sent = 0  # bytes
        self.kinds: Counter[str] = Counter()  # "sent hello", "answered hello", "refused hello", ...
        self.whys: Counter[str] = Counter()  # of what failed
        self.trail: dict[str, list[str]] = {}  # by address: kinds in their order, membership left out

    def sends(self, address: Address, kind: str) -> None:
        """A request goes out."""
        self.kinds[f"sent {kind}"] += 1
        trail = self.trail.setdefault(f"{address[0]}:{address[1]}", [])
        if kind != "word" and len(trail) < TRAIL and trail[-1:] != [kind]:
            trail.append(kind)


def kind_of(target: bytes) -> str:
    """`hello` of `/fleet/v1/hello`, `settings` of `/fleet/v1/settings/NAME`."""
    return target.decode("ascii", "replace").removeprefix("/fleet/v1/").partition("/")[0]


class CountedCall:
    """Hears a call for its listener, and counts what became of it. One that is neither answered nor refused
    nor failed was given up, for it was late."""

    __slots__ = ("_counts", "_kind", "_listener")

    def __init__(self, counts: Counts, kind: str, listener: Listener) -> None:
        self._counts, self._kind, self._listener = counts, kind, listener

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._counts.kinds[f"{'answered' if status < 300 else 'refused'} {self._kind}"] += 1
        self._listener.answered(status, headers)

    def came(self, data: bytes) -> None:
        self._listener.came(data)

    def ended(self) -> None:
        self._listener.ended()

    def failed(self, failure: Failure, why: str) -> None:
        self._counts.kinds[f"failed {self._kind}"] += 1
        self._counts.whys[f"{self._kind}: {failure.value}: {why}"[:120]] += 1
        self._listener.failed(failure, why)


class CountedConnection(ClientConnection):
    """Counts bytes, and sends them as late as the way is long."""

    def __init__(self, pool: Pool, address: Address) -> None:
        super().__init__(pool, address)
        assert isinstance(pool, CountedPool)
        self._counts, self._delay = pool.counts, pool.delay(address)

    def buffer_updated(self, nbytes: int) -> None:
        self._counts.received += nbytes
        super().buffer_updated(nbytes)

    def send(self, data: bytes) -> None:
        self._counts.sent += len(data)
        if self._delay:
            asyncio.get_running_loop().call_later(self._delay, super().send, data)
        else:
            super().send(data)


class CountedPool(Pool):
    """A pool that counts. Other regions are as far away as `reach` says, or cannot be reached."""

    connection = CountedConnection

    def __init__(self, counts: Counts, reach: Reach | None = None, region: int = 0, **words: Any) -> None:
        super().__init__(**words)
        self.counts, self._reach, self._region = counts, reach, region

    def delay(self, address: Address) -> float:
        """Seconds to there and back."""
        return self._reach.delay(self._region, address) if self._reach is not None else 0.0

    def call(
        self,
        address: Address,
        method: bytes,
        target: bytes,
        listener: Listener,
        headers: Headers = (),
        body: bytes | None = b"",
        before_write: Callable[[], bool] | None = None,
    ) -> Call:
        kind = kind_of(target)
        self.counts.sends(address, kind)
        if self._reach is not None and self._reach.cut(self._region, address):
            return Call(self, address, b"", listener, False)  # nothing is ever heard of it
        counted = CountedCall(self.counts, kind, listener)
        return super().call(address, method, target, counted, headers, body, before_write)


class CountedServed(Connection):
    """The listener's side of a connection."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        assert isinstance(server, CountedServer)
        self._counts = server.counts

    def buffer_updated(self, nbytes: int) -> None:
        self._counts.received += nbytes
        super().buffer_updated(nbytes)

    def write(self, data: bytes) -> None:
        self._counts.sent += len(data)
        super().write(data)


class CountedServer(Server):
    """A server that counts."""

    connection = CountedServed

    def __init__(self, counts: Counts, application: Callable[[Exchange], None], *words: Any) -> None:
        def counted(exchange: Exchange) -> None:
            counts.kinds[f"came {kind_of(exchange.target)}"] += 1
            application(exchange)

        super().__init__(counted, *words)
        self.counts = counts


class Reach:
    """How regions reach each other, where no relay stands between: who is in region N listens on 127.0.N+1.1.
    Whatever listens elsewhere is near: a relay, which has its own mind."""

    def __init__(self, delays_ms: tuple[tuple[float, ...], ...]) -> None:
        self._delays = delays_ms
        self.apart: set[int] = set()  # regions that are cut off

    @staticmethod
    def region(address: Address) -> int | None:
        """The region of an address, None for a relay's."""
        parts = address[0].split(".")
        return int(parts[2]) - 1 if len(parts) == 4 and parts[2].isdecimal() and parts[2] != "0" else None

    @staticmethod
    def host(region: int) -> str:
        """Where gateways and coordinators of a region listen."""
        return f"127.0.{region + 1}.1"

    def delay(self, own: int, address: Address) -> float:
        """Seconds there and back."""
        region = self.region(address)
        if region is None or own >= len(self._delays) or region >= len(self._delays[own]):
            return 0.0
        return 2 * self._delays[own][region] / 1000

    def cut(self, own: int, address: Address) -> bool:
        """Whether nothing passes."""
        region = self.region(address)
        return region is not None and region != own and (region in self.apart or own in self.apart)


class Modelled(NamedTuple):
    """What a member says of its work."""

    busy: int
    ready: bool
    zone: int
    asked: float
    fallen: tuple[int, ...]
    counts: dict[str, int]


class Hollow:
    """One hollow gateway; made on a running loop."""

    pool: Pool

    def __init__(self, place: Place, plan: Plan, own: Deployment, reach: Reach, told_build: str) -> None:
        """`own` is the gateway's own file, `told_build` the name of the program."""
        self.place, self._plan, self._own, self._reach = place, plan, own, reach
        self._build, self._load = told_build, plan.load
        self.counts = Counts()
        self.side: FleetSide | None = None
        self.marks: list[tuple[int, str, int]] = []  # monotonic nanoseconds, what, its revision
        self.lives = 0
        self._port = 0
        self._server: Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._served = 0.0
        self._rows = {
            row.host: row
            for row in (
                api.HostRow(host, host % 10, 0, host % 12, api.Standing.READY, 1.0, 0)
                for host in range(self._load.hosts)
            )
        }

    async def start(self) -> None:
        """Begin a life. Raises OSError, FolderInUse."""
        folder = Path(self._plan.state) / f"gateway-{self.place.number}"
        start = await asyncio.to_thread(open_folder, folder, self._own)
        clocks, loop = Clocks(), asyncio.get_running_loop()
        self.pool = CountedPool(
            self.counts, self._reach, self.place.region, connect_s=self._own.edge.connect_ms / 1000
        )
        self._server = CountedServer(self.counts, self._application, Bounds())
        host = Reach.host(self.place.region)
        try:
            self._port = await self._server.listen(host, self._port)
        except OSError:  # somebody was given it meanwhile
            self._port = await self._server.listen(host, 0)
        coordinators = [split_address(one) for one in self.place.coordinators]
        seed = zlib.crc32(f"{self.place.number}:{self.lives}:{time.monotonic_ns()}".encode())
        words = coordinators, self.pool, self, clocks, self._build, seed
        self.side = side = FleetSide(self.place.number, start, *words)
        catalogue = attach(side, start.deployment, coordinators, self.pool)
        if catalogue is not None:
            catalogue.came_in_force = lambda revision: self._mark("catalogue", revision)
        self.lives += 1
        if self._rows:
            side.listed(True, tuple(self._rows.values()), lambda: None)
        side.start(f"{host}:{self._port}")
        self._mark("start", self.lives)
        self._mark("order", side.follower.in_force)
        if catalogue is not None:  # as its disk has it
            _, revision, lacking = catalogue.told
            self._mark("catalogue", 0 if lacking else revision)
        self._timer = loop.call_later(1.0, self._serve)

    def stop(self, crash: bool = False) -> None:
        """End this life: in order, or as if the process were killed (its last rows are not written)."""
        side, self.side = self.side, None
        if side is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        files = None
        if crash:
            files, side.scribe.files = side.scribe.files, None
        side.close()
        if files is not None:
            files.close()
        if self._server is not None:
            self._server.close()
        self.pool.close()
        self._mark("stop", 0)

    def _mark(self, what: str, revision: int) -> None:
        self.marks = [*self.marks[-MARKS:], (time.monotonic_ns(), what, revision)]

    def _serve(self) -> None:
        """A second of the modelled load."""
        assert self.side is not None
        self._timer = asyncio.get_running_loop().call_later(1.0, self._serve)
        before, self._served = int(self._served), self._served + self._load.requests_s
        for _ in range(int(self._served) - before):
            if self.side.may_take():
                self.side.act("set up")

    def _application(self, exchange: Exchange) -> None:
        path = exchange.target.split(b"?", 1)[0].decode("ascii", "replace")
        if self.side is None or not self.side.application(exchange, path):
            exchange.refuse(404, "there is nothing here")

    # What the fleet's side asks of the gateway program.

    def work(self) -> Modelled:
        """As modelled."""
        load, served = self._load, int(self._served)
        draw = zlib.crc32(f"{self.place.number}:{served}".encode()) / 2**32
        busy = int(load.connections * (0.95 + 0.1 * draw))
        counts = {"asked": served, "rejected": served // 100}
        if served:
            counts |= {"plays": served - served // 100, "slow": served // 1000, "handed over": served // 50,
                       "ended played": served - served // 50, "ended full": served // 50,
                       "ended error": served // 500}  # fmt: skip
        asked = round(load.kb * (0.95 + 0.1 * draw), 3)
        return Modelled(busy, bool(self._rows), self.place.zone, asked, (), counts)

    def cut(self) -> None:
        """Nothing plays that could be ended."""

    def restate(self, rows: tuple[api.HostRow, ...]) -> None:
        """Rows of the list stand otherwise now."""
        self._rows.update({row.host: row for row in rows})

    def address(self, host: int) -> Address | None:
        """A host that nobody speaks to."""
        return (f"10.0.{host // 250}.{host % 250}", 8080)

    def change_settings(self, deployment: Deployment) -> None:
        """An order comes in force."""
        assert self.side is not None
        self._mark("order", self.side.follower.taking)

    # What a trial asks.

    def report(self, since: int) -> dict[str, Any]:
        """Its counts, and what came in force since then (monotonic nanoseconds)."""
        side = self.side
        told: dict[str, Any] = {
            "number": self.place.number,
            "received": self.counts.received,
            "sent": self.counts.sent,
            "kinds": self.counts.kinds,
            "whys": self.counts.whys,
            "lives": self.lives,
            "marks": [one for one in self.marks if one[0] >= since],
            "runs": side is not None,
        }
        if side is not None:
            told |= {
                "order": side.follower.in_force,
                "catalogue": side.catalogue.told if side.catalogue is not None else None,
                "state": side.follower.state,
                "fresh": not side.shut_out,
                "book": side.book.at,
                "members": Counter(side.mingling.states().values()) if side.mingling is not None else {},
            }
        return told


class Act(msgspec.Struct, frozen=True):
    """What a trial asks of a process: start, stop, crash these members; cut off these regions, all others are
    in reach."""

    what: str
    members: tuple[int, ...] = ()
    regions: tuple[int, ...] = ()


class Process:
    """The members of one process, and where a trial speaks to it: `GET /v1/report?since=NS`, `GET
    /v1/trail?member=N` and `POST /v1/act`."""

    def __init__(self, plan: Plan) -> None:
        """Must be made on a running loop. Raises BadSettings, OSError."""
        self.plan, self.reach = plan, Reach(plan.delays_ms)
        own, name = read(plan.settings), build()
        self.members = {place.number: Hollow(place, plan, own, self.reach, name) for place in plan.members}
        self.server = Server(self.application, Bounds())
        self._stalls: list[tuple[int, float]] = []  # when, and how late the loop was
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen, and start the members if the plan says so; the port."""
        port = await self.server.listen("127.0.0.1", 0)
        if self.plan.start:
            await self._start(self.members)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        self._watch(self._loop.time())
        return port

    async def _start(self, numbers: Iterable[int]) -> None:
        gate = asyncio.Semaphore(STARTS)

        async def one(member: Hollow) -> None:
            async with gate:
                await member.start()

        there = [self.members[number] for number in numbers if number in self.members]
        await asyncio.gather(*(one(member) for member in there if member.side is None))

    def _watch(self, due: float) -> None:
        late = self._loop.time() - due
        if late > 0.02:
            self._stalls = [*self._stalls[-MARKS:], (time.monotonic_ns(), late)]
        self._loop.call_later(0.1, self._watch, self._loop.time() + 0.1)

    def application(self, exchange: Exchange) -> None:
        """Answer a trial."""
        path, _, query = exchange.target.decode("ascii", "replace").partition("?")
        value = int(query.partition("=")[2] or 0)
        if path == "/v1/report":
            exchange.json(200, self.report(value))
        elif path == "/v1/trail" and value in self.members:
            exchange.json(200, self.members[value].counts.trail)
        elif path == "/v1/act" and exchange.method == b"POST":
            exchange.collect(1 << 20, lambda body: self._take(exchange, body))
        else:
            exchange.refuse(404, "there is nothing here")

    def _take(self, exchange: Exchange, body: bytes) -> None:
        try:
            act: Act = msgspec.json.decode(body, type=Act)
        except msgspec.MsgspecError as why:
            exchange.refuse(400, str(why))
            return
        task = self._loop.create_task(self._act(exchange, act))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _act(self, exchange: Exchange, act: Act) -> None:
        if act.what == "cut":
            self.reach.apart = set(act.regions)
        for number in act.members if act.what in ("stop", "crash") else ():
            if number in self.members:
                self.members[number].stop(act.what == "crash")
                await asyncio.sleep(0)
        if act.what == "start":
            await self._start(act.members)
        exchange.json(200, {"done": act.what, "at": time.monotonic_ns()})

    def report(self, since: int) -> dict[str, Any]:
        """Of the process and of each member. `stall_s` is the longest time that the loop was late:
        where it is long, figures are those of a machine that was too small."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "at": time.monotonic_ns(),
            "cpu_s": used.ru_utime + used.ru_stime,
            "rss_kb": pages * os.sysconf("SC_PAGE_SIZE") // 1024,
            "files": len(os.listdir("/proc/self/fd")),
            "stall_s": max((late for at, late in self._stalls if at >= since), default=0.0),
            "members": [one.report(since) for one in self.members.values()],
        }

    def close(self) -> None:
        """End all, in order."""
        for member in self.members.values():
            member.stop()
        self.server.close()


async def run(plan: Plan, told: Callable[[dict[str, Any]], None]) -> None:
    """Run these members until SIGTERM or SIGINT, or until standard input ends: who started it is gone."""
    process, loop, done = Process(plan), asyncio.get_running_loop(), asyncio.Event()
    for one in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(one, done.set)

    def starter() -> None:
        if not os.read(0, 4096):
            loop.remove_reader(0)
            done.set()

    with suppress(OSError, ValueError):  # not a pipe
        loop.add_reader(0, starter)
    try:
        port = await process.start()
        told({"ready": True, "control": f"http://127.0.0.1:{port}", "members": len(process.members)})
        await done.wait()
    finally:
        process.close()
        await asyncio.sleep(0)


@click.command()
@click.option("--plan", "file", type=click.Path(exists=True, dir_okay=False), required=True)
def main(file: str) -> None:
    """Run the hollow gateways of a plan (JSON, see `Plan`) until SIGTERM; one JSON line says where."""
    import logging

    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    plan: Plan = msgspec.json.decode(Path(file).read_bytes(), type=Plan)
    asyncio.run(run(plan, lambda told: click.echo(msgspec.json.encode(told).decode("utf-8"))))


if __name__ == "__main__":
    main()
