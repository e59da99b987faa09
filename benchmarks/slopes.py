"""How each role's cost grows: processor time, memory and bytes at three sizes or more, for docs/CAPACITY.md.

python benchmarks/slopes.py all                       every part, one round: 12 minutes on a busy machine
python benchmarks/slopes.py --part settings           one part; repeat for more
python benchmarks/slopes.py all --json FILE           and a JSON line for each measurement

Each measurement is a process of its own, one at a time. Processor time is what the kernel counts for that
process, so that other work on the machine moves it little; times on the wall are not measured. Memory is
VmRSS less what it was before, VmHWM where the peak is meant; bytes are those of the encoded form, or are
counted at a socket.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, closing, suppress
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent))

import msgspec

from burlmast.settings.read import parse, read
from burlmast.settings.sheets import Deployment, Title

SAMPLE = Path(__file__).parent.parent / "deploy" / "samples" / "recordings.jsonnet"
CORES, PYTHON = os.cpu_count(), sys.version.split()[0]
GATEWAYS, COORDINATORS, SHARDS = 910, 5, 450_000
JSON = ((b"content-type", b"application/json"),)
Figures = dict[str, float]  # by a figure's name and unit, `bytes of the reply`


# What the kernel counts.


def memory(pid: int | str = "self", what: str = "VmRSS") -> float:
    """Megabytes (10**6) of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{what}:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"{pid} has no {what}")


def processor(pid: int) -> float:
    """Seconds that the threads of another process have run."""
    found = 0
    for one in Path(f"/proc/{pid}/task").iterdir():
        with suppress(OSError):
            found += int((one / "schedstat").read_text().split()[0])
    return found / 1e9


class Spent:
    """Processor seconds of this process since the last look."""

    def __init__(self) -> None:
        self._at = time.process_time()

    def look(self) -> float:
        """Seconds since the last look."""
        before, self._at = self._at, time.process_time()
        return self._at - before


def each(work: Callable[[], object], least_s: float = 0.2) -> float:
    """Processor seconds of one `work`, of as many as take `least_s`."""
    work()
    count, spent = 0, Spent()
    began = time.process_time()
    while count == 0 or time.process_time() - began < least_s:
        work()
        count += 1
    return spent.look() / count


# A deployment of a size.


def sized(titles: int = 24, gateways: int = GATEWAYS, **fleet: float) -> Deployment:
    """The sample with so many titles and gateways."""
    found = read(SAMPLE)
    cells = found.fleet.cells
    replace = msgspec.structs.replace
    edge = replace(found.edge, fleet=replace(found.edge.fleet, **fleet))
    names = tuple(Title(f"title-{n:06}", n * 5 % cells, 4) for n in range(titles))
    return replace(found, titles=names, gateways=gateways, edge=edge)


def made(size: int, folder: Path) -> Path:
    """A settings file with so many titles, made by another process, so that its memory does not count."""
    file = folder / f"titles-{size}.json"
    if not file.exists():
        subprocess.run([sys.executable, __file__, "make", str(size), str(folder)], check=True)
    return file


def settings(size: int, folder: Path) -> Figures:
    """Settings with so many titles: read from a template, had as an order, held."""
    from burlmast.edge.door import Door
    from burlmast.edge.limits import Doorkeeper
    from burlmast.fleet.stamp import canonical, digest
    from burlmast.settings.live import needs_restart

    file = made(size, folder)
    before, spent = memory(), Spent()
    own = read(file)
    found = {
        "cpu s, reading the file": spent.look(),
        "MB held, reading the file": memory() - before,
        "MB at the peak, reading the file": memory(what="VmHWM") - before,
    }
    # An order that changes one title, with what a gateway does on its way into force.
    titles = (msgspec.structs.replace(own.titles[0], copies=3), *own.titles[1:])
    body = canonical(msgspec.structs.replace(own, titles=titles))
    found["bytes, canonical form"] = len(body)
    del titles
    door = Door(own, Doorkeeper(own.edge.doorway), time.monotonic_ns, lambda: None)
    before = memory()
    spent.look()
    door.offer(own)
    found["cpu s, the viewers' listener"] = spent.look()
    found["MB more while an order is taken: the viewers' listener"] = memory() - before
    spent.look()
    ordered = parse(body.decode())
    digest(ordered)
    assert not needs_restart(own, ordered)
    canonical(ordered)
    digest(ordered)
    door.offer(ordered)
    found["cpu s, one order"] = spent.look()
    found["MB of the whole process at the peak"] = memory(what="VmHWM")
    return found


def parsed(size: int, folder: Path) -> Figures:
    """Settings as an order brings them: no template, the canonical form alone."""
    from burlmast.edge.door import Door
    from burlmast.edge.limits import Doorkeeper

    raw = made(size, folder).read_bytes()
    before, spent = memory(), Spent()
    found = parse(raw.decode())
    told = {
        "cpu s, parsing": spent.look(),
        "MB held, parsing": memory() - before,
        "MB at the peak, parsing": memory(what="VmHWM") - before,
    }
    before = memory()
    spent.look()
    Door(found, Doorkeeper(found.edge.doorway), time.monotonic_ns, lambda: None)
    told |= {
        "cpu s, the viewers' listener": spent.look(),
        "MB held, the viewers' listener": memory() - before,
    }
    carried = asyncio.run(_carried(raw))
    return told | {
        "1 where a coordinator takes it, 0 not": carried[0],
        "1 where a gateway can fetch it, 0 not": carried[1],
    }


async def _carried(body: bytes) -> tuple[bool, bool]:
    """Whether an order of so many bytes reaches a coordinator, and a gateway, by their limits."""
    from burlmast.fleet.coordinator_shell import BODY
    from burlmast.http1.client import Pool, Whole
    from burlmast.http1.server import Bounds, Server

    def application(exchange: Any) -> None:
        if exchange.method == b"POST":
            exchange.collect(BODY, lambda _: exchange.respond(204))
        else:
            exchange.respond(200, JSON, body)

    server, pool, found = Server(application, Bounds(body=BODY)), Pool(), []
    address = "127.0.0.1", await server.listen("127.0.0.1", 0)
    for method, sent in ((b"POST", body), (b"GET", b"")):
        try:
            status, _, _ = await Whole.of(pool, address, method, b"/settings", JSON, sent, within=60.0)
        except (ConnectionError, TimeoutError):
            status = 0
        found.append(200 <= status < 300)
    pool.close()
    server.close()
    return found[0], found[1]


# Heartbeats.


class Answered:
    """An exchange of no socket: keeps what it is answered."""

    def __init__(self) -> None:
        self.status, self.body = 0, b""

    def json(self, status: int, value: object, headers: object = ()) -> None:
        self.status, self.body = status, msgspec.json.encode(value) + b"\n"

    def refuse(self, status: int, why: str, headers: object = ()) -> None:
        self.json(status, {"error": why})


def heartbeat(number: int, count: int, lives: int, operators: str, deployment: Deployment) -> Any:
    """A gateway's heartbeat as it is once the fleet stands; names are as long as real ones."""
    from burlmast.fleet.lease import Ask
    from burlmast.fleet.messages import Away, Heartbeat
    from burlmast.fleet.stamp import Stamp, digest

    life = f"{number:04x}" + "c0ffee15600d"
    stamp = Stamp("b" * 64, "5" * 64, "1" * 16, 7, 41, 0)
    counts = {"plays": 123_456, "rejected": 1_234, "aborted": 12, "gone": 345}
    has = {f"{number:04x}" + f"{n:012x}": 17_280 for n in range(lives - 1)} | {life: count}
    disk = digest(number)[:16]
    away = Away(disk, "in", "", 0, 0, 0, number % 10, True, True, 4.4e6, (), counts)
    return Heartbeat(
        Ask(number, life, count, 0, True, 0, 41, f"{number:04x}" + "0ddba11f00d5"),
        operators, stamp, "in force", "", 41, 9_876_543, True, 0.0, "recordings-69a4f0c1", has, (), away,
        (0, 0), ("f" * 16, 123_456_789_012_345),
    )  # fmt: skip


async def _coordinator(members: int, lives: int, deployment: Deployment, folder: Path) -> Any:
    """A coordinator in this process that has heard so many gateways; nothing listens."""
    from burlmast.fleet.clock_shell import Clocks
    from burlmast.fleet.coordinator_shell import Coordinator, first_book

    deployment = msgspec.structs.replace(deployment, gateways=max(members, 10))
    one = Coordinator(deployment, 0, [None], folder, Clocks())
    one._begin(Answered(), msgspec.json.encode({"book": first_book(deployment, 0)}))  # type: ignore[arg-type]
    for n in range(members):
        tell(one, heartbeat(n, 1, lives, f"127.0.0.1:{20_000 + n}", deployment))
    return one


def tell(one: Any, word: Any) -> bytes:
    """A coordinator's reply to a heartbeat."""
    exchange = Answered()
    word = msgspec.structs.replace(word, fleet=one.learned.fleet, book=one.learned.at)
    one._heartbeat(exchange, msgspec.json.encode(word))
    assert exchange.status == 200, exchange.body
    return exchange.body


def beats(members: int, lives: int, folder: Path) -> Figures:
    """Heartbeat and reply: bytes, and processor time at both ends."""
    from burlmast.fleet.messages import Heartbeat, HeartbeatReply

    deployment = sized()

    async def run() -> Figures:
        one = await _coordinator(members, lives, deployment, folder / "coordinator")
        word = heartbeat(7, 2, lives, "127.0.0.1:20007", deployment)
        word = msgspec.structs.replace(word, fleet=one.learned.fleet, book=one.learned.at)
        body = msgspec.json.encode(word)
        reply = tell(one, word)
        counts = iter(range(3, 1 << 30))

        def take() -> None:
            ask = msgspec.structs.replace(word.ask, count=next(counts))
            one._heartbeat(Answered(), msgspec.json.encode(msgspec.structs.replace(word, ask=ask)))

        encode = each(lambda: msgspec.json.encode(word))
        found = {
            "bytes, heartbeat": len(body),
            "bytes, reply": len(reply),
            "cpu us, gateway's end: encode and decode": 1e6
            * (encode + each(lambda: msgspec.json.decode(reply, type=HeartbeatReply))),
            "cpu us, coordinator's end: decode alone": 1e6
            * each(lambda: msgspec.json.decode(body, type=Heartbeat)),
            "cpu us, coordinator's end: all of it": 1e6 * (each(take) - encode),
        }
        one.close()
        return found

    return asyncio.run(run())


# Processes.


class Half(asyncio.Protocol):
    """One direction of one connection, whose bytes are counted."""

    def __init__(self, way: Counted, upwards: bool) -> None:
        self.way, self.upwards = way, upwards
        self.other: Half | None = None
        self.transport: asyncio.Transport | None = None
        self.kept: list[bytes] = []
        self.of_words = False  # what passes now is membership's

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.upwards:
            self.way.dial(self)

    def data_received(self, data: bytes) -> None:
        self.way.bytes += len(data)
        # A request comes in one piece here, and its answer belongs to it.
        self.of_words = (
            b"POST /fleet/v1/word" in data if self.upwards else self.other is not None and self.other.of_words
        )
        self.way.words += len(data) if self.of_words else 0
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self.kept.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Counted:
    """A port that passes all on to a target and counts it, both ways together."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target, self.bytes, self.words, self.port = target, 0, 0, 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Half(self, True), "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def dial(self, near: Half) -> None:
        task = asyncio.get_running_loop().create_task(self._dial(near))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, near: Half) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, far = await loop.create_connection(lambda: Half(self, False), *self.target)
        except OSError:
            near.transport.close()  # type: ignore[union-attr]
            return
        near.other, far.other = far, near
        for data in near.kept:
            far.transport.write(data)  # type: ignore[union-attr]
        near.kept.clear()

    def close(self) -> None:
        self._server.close()


@asynccontextmanager
async def program(key: str, *words: object) -> AsyncIterator[tuple[int, int, dict[str, Any]]]:
    """A process of the program: its id, the port under this key of its first line, and that line."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "burlmast",
        "--level",
        "error",
        *map(str, words),
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(300):
            line = await process.stdout.readline()
        told: dict[str, Any] = msgspec.json.decode(line)
        yield (
            process.pid,
            int("".join(one for one in str(told[key]).rpartition(":")[2] if one.isdigit())),
            told,
        )
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


class Feeder:
    """Members that only beat: real heartbeats at a real coordinator, each second, spread over it, and answers
    to membership's probes. What they cost does not count."""

    def __init__(self, numbers: range, members: int, coordinator: tuple[str, int]) -> None:
        self.numbers, self.members, self.coordinator = numbers, members, coordinator
        self.deployment = sized()
        self.beats = self.failed = self.probes = 0
        self.fleet, self.at = "", 0
        self.counted = Counted(coordinator)
        self._servers: list[Any] = []
        self._pools: list[Any] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Until killed; a line each quarter second."""
        from burlmast.http1.client import Pool

        self.pool = Pool(connect_s=2.0)
        counted = "127.0.0.1", await self.counted.start()
        for n in self.numbers:
            self._spawn(self._member(n, counted if n < 10 else self.coordinator))
        while True:
            line = {
                "at": time.monotonic(),
                "beats": self.beats,
                "failed": self.failed,
                "bytes": self.counted.bytes,
                "probes": self.probes,
            }
            print(msgspec.json.encode(line).decode(), flush=True)
            await asyncio.sleep(0.25)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _member(self, number: int, where: tuple[str, int]) -> None:
        from burlmast.fleet.messages import HeartbeatReply
        from burlmast.http1.client import Pool, Whole
        from burlmast.http1.server import Bounds, Server

        server = Server(lambda exchange: self._word(exchange, number), Bounds(body=65536, idle_s=120.0))
        self._servers.append(server)
        operators = f"127.0.0.1:{await server.listen('127.0.0.1', 0)}"
        loop = asyncio.get_running_loop()
        pool = Pool(connect_s=2.0)  # of its own, as a gateway has
        due = loop.time() + 2 * number / self.members
        token = ("", 0)
        for count in range(1, 1 << 30):
            await asyncio.sleep(max(0.0, due - loop.time()))
            due += 1.0
            word = heartbeat(number, count, 8, operators, self.deployment)
            word = msgspec.structs.replace(word, fleet=self.fleet, book=self.at, echo=token)
            body = msgspec.json.encode(word)
            try:
                status, _, told = await Whole.of(
                    pool, where, b"POST", b"/fleet/v1/hello", JSON, body, within=2.0
                )
            except (ConnectionError, TimeoutError):
                self.failed += 1
                continue
            self.beats += 1
            if status != 200:
                self.failed += 1
                continue
            welcome = msgspec.json.decode(told, type=HeartbeatReply)
            token = welcome.token
            if welcome.book is not None:
                self.fleet, self.at = welcome.book.fleet, welcome.book.at

    def _word(self, exchange: Any, number: int) -> None:
        """A probe of membership is answered; pleas are not: nobody is gone here."""
        if exchange.method != b"POST":
            exchange.refuse(404, "there is nothing here")
            return
        exchange.collect(65536, lambda body: self._probed(exchange, number, body))

    def _probed(self, exchange: Any, number: int, body: bytes) -> None:
        from burlmast.fleet.members import ALIVE, News, Words
        from burlmast.fleet.messages import Carried
        from burlmast.http1.messages import split_address

        exchange.respond(204)
        carried = msgspec.json.decode(body, type=Carried)
        if carried.words.kind != "probe":
            return
        self.probes += 1
        name = f"{number}.{number:04x}c0ffee15600d"
        news = (News(name, "127.0.0.1:1", ALIVE, 0),)
        answer = Carried(Words("answer", name, carried.words.count, "", news), self.at, carried.back)
        self._spawn(self._post(split_address(carried.back), msgspec.json.encode(answer)))

    async def _post(self, address: tuple[str, int], body: bytes) -> None:
        from burlmast.http1.client import Whole

        with suppress(ConnectionError, TimeoutError):
            await Whole.of(self.pool, address, b"POST", b"/fleet/v1/word", JSON, body, within=1.0)


FED = 160  # members of one feeding process


@asynccontextmanager
async def fed(members: int, port: int) -> AsyncIterator[Callable[[], dict[str, float]]]:
    """So many beating members; what they have counted so far, when asked."""
    lasts: list[dict[str, float]] = []
    processes, tasks = [], []

    async def follow(place: int, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            lasts[place] = msgspec.json.decode(line)

    try:
        for place, first in enumerate(range(0, members, FED)):
            words = ["feed", str(first), str(min(members, first + FED)), str(members), str(port)]
            process = await asyncio.create_subprocess_exec(
                sys.executable, __file__, *words, stdout=asyncio.subprocess.PIPE
            )
            processes.append(process)
            lasts.append({})
            tasks.append(asyncio.ensure_future(follow(place, process)))
        yield lambda: {key: sum(one[key] for one in lasts) for key in lasts[0]}
    finally:
        for process in processes:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await asyncio.gather(*tasks)


def coordinator(members: int, folder: Path, seconds: float = 8.0) -> Figures:
    """A real coordinator process with so many beating members, one of one."""
    from burlmast.http1.client import Pool, Whole

    deployment = sized(gateways=max(10, members))
    file = folder / "settings.json"
    file.write_bytes(msgspec.json.encode(deployment))

    async def run() -> Figures:
        words = ("coordinator", "--settings", file, "--state", folder / "state", "--begin")
        async with program("desk", *words) as (pid, port, _):
            alone = memory(pid)
            async with fed(members, port) as counts:
                await asyncio.sleep(7.0)  # it hears all, and begins
                before, cpu = counts(), processor(pid)
                await asyncio.sleep(seconds)
                after, cpu = counts(), processor(pid) - cpu
                took = (after["at"] - before["at"]) / len(range(0, members, FED))
                beats, sent = after["beats"] - before["beats"], after["bytes"] - before["bytes"]
                held, pool = memory(pid), Pool()
                status, told = 0, b""
                with suppress(ValueError, ConnectionError, TimeoutError):
                    told_by = Whole.of(pool, ("127.0.0.1", port), b"GET", b"/fleet/v1/status", within=20.0)
                    status, _, told = await told_by
                pool.close()
                return {
                    "% of a core": 100 * cpu / took,
                    "cpu us a heartbeat": 1e6 * cpu / max(1, beats),
                    "heartbeats a second": beats / took,
                    "heartbeats that failed": after["failed"] - before["failed"],
                    "bytes a heartbeat and reply at the socket": sent / took / min(10, members),
                    "MB held": held,
                    "MB more than with none": held - alone,
                    "MB at the peak": memory(pid, "VmHWM"),
                    "bytes, status, -1 where the client does not take it": len(told) if status == 200 else -1,
                }

    return asyncio.run(run())


def sight(members: int, folder: Path) -> Figures:
    """What a coordinator goes over at each step while it leads: the fleet as it is seen, and the limits."""
    from burlmast.fleet import outs as outs_module
    from burlmast.fleet.keeper_shell import ground_of
    from burlmast.fleet.messages import Inventory, ListedHost
    from burlmast.fleet.outs import HOST, Limits, Outs

    deployment = sized()

    async def run() -> Figures:
        one = await _coordinator(members, 8, deployment, folder / "coordinator")
        now = one.clocks.steady()
        rows = tuple(
            ListedHost(n, n % 10, n % 12, "ready", 1.0, 0, f"127.0.0.1:{30_000 + n}") for n in range(130)
        )
        one.sight.listed(now, Inventory("1" * 16, rows))
        for n in range(members):  # again, with the token given back
            word = heartbeat(n, 2, 8, f"127.0.0.1:{20_000 + n}", deployment)
            tell(one, msgspec.structs.replace(word, echo=one.sight.token(now)))
        ground = ground_of(msgspec.structs.replace(deployment, gateways=members))
        view = one.sight.view(now, one.clocks.wall(), ground, Outs(), {})
        assert not view.blind and all(seen.why in ("", "cold") for seen in view.gateways.values()), view.blind
        limits = Limits(gateways=members)
        found = {
            "cpu ms, the view": 1e3
            * each(lambda: one.sight.view(now, one.clocks.wall(), ground, Outs(), {})),
            "cpu ms, limits of one gateway": 1e3
            * each(lambda: outs_module.refusals(Outs(), "gateway", 3, view, limits)),
            "cpu ms, limits of one host": 1e3
            * each(lambda: outs_module.refusals(Outs(), HOST, 3, view, Limits(hosts=200))),
            "cpu ms, status page": 1e3 * each(lambda: msgspec.json.encode(one.status())),
            "bytes, status page": len(msgspec.json.encode(one.status())),
            "cpu us, peers of one reply": 1e6
            * each(lambda: one._peers(one.clocks.steady(), heartbeat(7, 9, 1, "", deployment).ask)),
        }
        one.close()
        return found

    return asyncio.run(run())


def holders(size: int, folder: Path) -> Figures:
    """Whether a host may go out, by all titles."""
    from burlmast.fleet import outs as outs_module
    from burlmast.fleet.outs import HOST, HostSeen, Limits, Outs, View

    hosts = {n: HostSeen(n % 10, n % 30, n % 12, True, "", 1e6) for n in range(130)}
    before = memory()
    titles = tuple((f"title-{n:06}", n * 5 % 12, 4) for n in range(size))
    held = memory() - before
    view = View({}, hosts, titles, 12, 0.0)
    assert not outs_module.refusals(Outs(), HOST, 3, view, Limits(hosts=10))
    work = lambda: outs_module.refusals(Outs(), HOST, 3, view, Limits(hosts=10))  # noqa: E731
    return {"cpu ms, limits of one host": 1e3 * each(work), "MB held, titles of the view": held}


# The register.


async def _five(folder: Path, orders: int, out: int) -> tuple[list[Any], list[Counted]]:
    """Coordinators in this process that agree over sockets, on a book of so many orders and disruptions."""
    from burlmast.fleet import orders as orders_module
    from burlmast.fleet import register
    from burlmast.fleet.clock_shell import Clocks
    from burlmast.fleet.coordinator_shell import Coordinator, first_book
    from burlmast.fleet.outs import Drain, Leave, Outs

    deployment = sized()
    all_ = [
        Coordinator(deployment, n, [None] * COORDINATORS, folder / f"c{n}", Clocks())
        for n in range(COORDINATORS)
    ]
    ways = [Counted(("127.0.0.1", await one.server.listen("127.0.0.1", 0))) for one in all_]
    for way in ways:
        await way.start()
    leaves = tuple(
        Leave(41, 7, "gateway", n, f"{n:016x}", n % 10, 0, 0, 0, 0, 60_000.0, "halt", "restart")
        for n in range(out)
    )
    drains = (Drain(7, "r" * 16, "gateway", tuple(range(out)), 60_000.0, then="restart"),) if out else ()
    book = first_book(deployment, 0)
    for n in range(orders):
        wanted = orders_module.Order(0, f"{n:016x}", f"{n:064x}", 0.0, given_at=1_790_000_000_000_000_000)
        book = orders_module.give(book, wanted)
    book = orders_module.put(book, outs=Outs(leaves, drains))
    for one in all_:
        one.desks = [("127.0.0.1", way.port) for way in ways]
        one._votes(register.begin(one.kept, orders_module.write_book(book)))
        one._learned(book)
    return all_, ways


def register_(orders: int, out: int, folder: Path) -> Figures:
    """One change of the register by five coordinators, and what it brings to a gateway."""
    from burlmast.fleet import orders as orders_module
    from burlmast.fleet.gateway_shell import Standing
    from burlmast.fleet.lease import Given
    from burlmast.fleet.messages import HeartbeatReply

    async def run() -> Figures:
        all_, ways = await _five(folder, orders, out)

        async def change() -> None:
            book = await all_[0].change(orders_module.put)
            while any(one.learned.moved < book.moved for one in all_):
                await asyncio.sleep(0.002)

        for _ in range(3):
            await change()
        times, sent = 20, sum(way.bytes for way in ways)
        spent = Spent()
        for _ in range(times):
            await change()
        cpu = spent.look() / times
        sent = sum(way.bytes for way in ways) - sent
        book = all_[0].learned
        reply = HeartbeatReply(Given(True, 0), None)
        raw = msgspec.json.encode(msgspec.structs.replace(reply, book=book))

        def gateway() -> None:
            found = msgspec.json.decode(raw, type=HeartbeatReply)
            msgspec.msgpack.encode(Standing(found.book))

        for one in all_:
            one.close()
        for way in ways:
            way.close()
        return {
            "bytes, the book in a reply": len(raw) - len(msgspec.json.encode(reply)),
            "bytes between five coordinators, a change": sent / times,
            "cpu ms, a change, five coordinators together": 1e3 * cpu,
            "cpu us, gateway's end: reads the book and writes it down": 1e6 * each(gateway),
        }

    return asyncio.run(run())


# Membership.


def membership(members: int, folder: Path) -> Figures:
    """One member of so many in virtual time, nothing lost: words, bytes, processor time, memory; and with a
    tenth that has restarted just now."""
    from burlmast.fleet.members import Members
    from burlmast.fleet.messages import Carried

    period, before = 1000, memory()
    all_ = {
        f"{n}.{n:016x}": Members(f"{n}.{n:016x}", f"127.0.0.1:{n}", 0, period, 4, n) for n in range(members)
    }
    for one in all_.values():
        for other in all_.values():
            one.joined(0, other.name, other.address)
    held = (memory() - before) / members
    where = {one.address: one for one in all_.values()}
    spent = Spent()

    def run(periods: int, now: int) -> tuple[float, float, float]:
        words = size = 0
        spent.look()
        away = 0.0
        for _ in range(5 * periods):  # a shell ticks five times a period
            now += period // 5
            queue = [send for one in all_.values() for send in one.tick(now)]
            while queue:
                came = []
                for send in queue:
                    words += 1
                    watch = time.process_time()
                    size += len(msgspec.json.encode(Carried(send.words, 41, "127.0.0.1:20007")))
                    away += time.process_time() - watch
                    there = where.get(send.address)
                    if there is not None:
                        came += there.take(now, send.words)
                queue = came
        took = spent.look() - away
        each_ = members * periods
        return words / each_, size / each_, 1e3 * took / each_

    run(2, 0)
    found = run(5, 2 * period)
    # A release restarts a tenth: new lives that the others hear of by their words.
    gone = [name for n, name in enumerate(list(all_)) if n % 10 == 0]
    now = 7 * period
    for name in gone:
        one = all_.pop(name)
        del where[one.address]
        life = Members(f"{name[:-1]}f", one.address, now, period, 4, 1_000_000 + len(where))
        for other in [*all_.values()][:8]:
            life.joined(now, other.name, other.address)
        all_[life.name] = where[life.address] = life
    after = run(10, now)
    return {
        "words sent, a member and period": found[0],
        "bytes of bodies sent, a member and period": found[1],
        "cpu ms, a member and period": found[2],
        "MB held, a member": held,
        "words sent while a tenth restarted, a member and period": after[0],
        "bytes of bodies sent while a tenth restarted, a member and period": after[1],
        "cpu ms while a tenth restarted, a member and period": after[2],
    }


def framing(size: int, folder: Path) -> Figures:
    """What HTTP adds to a body of a size, request and answer together: a word of membership (204 without a
    body), and a reply with one."""
    from burlmast.http1.client import Pool, Whole
    from burlmast.http1.server import Bounds, Server

    async def run() -> Figures:
        def application(exchange: Any) -> None:
            exchange.collect(1 << 20, lambda body: exchange.respond(204))

        server = Server(application, Bounds(body=1 << 20))
        way = Counted(("127.0.0.1", await server.listen("127.0.0.1", 0)))
        address, pool = ("127.0.0.1", await way.start()), Pool()
        body = b"x" * size

        async def one() -> None:
            await Whole.of(pool, address, b"POST", b"/fleet/v1/word", JSON, body)

        await one()
        before, spent = way.bytes, Spent()
        for _ in range(500):
            await one()
        cpu = spent.look() / 500
        found = {
            "bytes beside the body": (way.bytes - before) / 500 - size,
            "cpu us, both ends and the counter": 1e6 * cpu,
        }
        pool.close()
        server.close()
        way.close()
        return found

    return asyncio.run(run())


# The ledger.


def range_row(life: str, n: int) -> Any:
    """A range as a gateway under load writes each five seconds."""
    from burlmast.fleet.ledger import Row

    counts = {"aborted": 3, "rejected": 41, "set up": 4_411, "stepped": 871}
    return Row(
        life, n, "range", 17, 1_790_000_000_000_000_000 + n, page=3, first=5_326 * n, last=5_326 * n + 5_325,
        counts=counts,
    )  # fmt: skip


def store(rows: int, folder: Path) -> Figures:
    """A coordinator's store with so many gathered rows, 17,280 a life: taken in, its size, its start, rows
    removed from it."""
    from burlmast.fleet.coordinator_store import HOUR, CoordinatorStore

    one = CoordinatorStore(folder / "store")
    spent, lives = Spent(), [f"{n:016x}" for n in range(rows // 17_280 + 1)]
    made = 0.0
    for first in range(0, rows, 500):
        watch = time.process_time()
        batch = [range_row(lives[n // 17_280], n % 17_280 + 1) for n in range(first, min(rows, first + 500))]
        made += time.process_time() - watch
        one.take(batch)
    took = (spent.look() - made) / rows
    row = msgspec.msgpack.encode(range_row(lives[0], 17_280))
    line = msgspec.json.encode(range_row(lives[0], 17_280))
    one.close()
    size = sum(file.stat().st_size for file in (folder / "store").iterdir())
    before = memory()
    spent.look()
    again = CoordinatorStore(folder / "store")
    began, held = spent.look(), memory() - before
    single = [range_row(f"{n:016x}", 1) for n in range(1 << 40, (1 << 40) + 500)]
    spent.look()
    for row_ in single:
        again.take([row_])
    alone = spent.look() / 500
    again.ages(1)
    again.ages(1 + 31 * 24 * HOUR)
    spent.look()
    pieces = 0
    while pieces < 100 and again.remove(30 * 24, 250):
        pieces += 1
    removed = spent.look() / max(pieces, 1)
    with closing(sqlite3.connect(folder / "store" / "desk.sqlite")) as base:  # as a program of before left it
        base.executescript("DROP TABLE life; DELETE FROM kept WHERE name = 'counted'")
    again.close()
    spent.look()
    CoordinatorStore(folder / "store").close()
    first = spent.look()
    found = {
        "bytes, a row": len(row),
        "bytes, a row as sent": len(line),
        "bytes on disk, a row": size / rows,
        "cpu us, a row taken in": 1e6 * took,
        "cpu s, the start": began,
        "MB held, the start": held,
        "cpu us, a row taken in by itself": 1e6 * alone,
        "cpu ms, 250 rows removed": 1e3 * removed,
        "cpu s, the first start on a store of before": first,
    }
    return found


def lives(count: int, folder: Path) -> Figures:
    """What a coordinator remembers of lives, a row each, 1,320 of them of the last day: how many
    rows of each."""
    from burlmast.fleet.coordinator_store import HOUR, CoordinatorStore

    one = CoordinatorStore(folder / "store")
    one.ages(1)
    names = [f"{n:016x}" for n in range(count)]
    for first in range(0, count - 1_320, 500):
        one.take([range_row(name, 1) for name in names[first : min(count - 1_320, first + 500)]])
    one.ages(1 + 48 * HOUR)
    one.take([range_row(name, 1) for name in names[count - 1_320 :]])
    one.close()
    before, spent = memory(), Spent()
    again = CoordinatorStore(folder / "store")
    began, held = spent.look(), memory() - before
    for name in names[:1_000]:
        again.upto(name)
    asked = spent.look() / 1_000
    found = {
        "cpu s, the start": began,
        "MB held, the start": held,
        "cpu us, a life of long ago looked up": 1e6 * asked,
        "cpu ms, rows of all, as a status sums them": 1e3 * each(lambda: again.rows),
    }
    again.close()
    return found


# What viewers are shown.


def programme(playbacks: int, folder: Path) -> Figures:
    """A change of a programme of 200 notices, and playlists, for so many playbacks."""
    sys.path.insert(0, str(Path(__file__).parent))
    from stitch import SEGMENT, Hall
    from stitch import programme as notices

    from burlmast.stitch.store import Change, Store
    from burlmast.stitch.writers import hls

    before = memory()
    hall = Hall(playbacks, 200)
    hall.listen()
    held, spent = memory() - before, Spent()
    hall.programme = notices(200, 2)
    hall.now += SEGMENT
    for reel in hall.reels:
        reel.draft(hall.now)
    drafted = spent.look()
    kept = Store(folder)
    changes = [
        Change(f"p{n}", "v", reel.title, reel.keep(), reel.take_heard()) for n, reel in enumerate(hall.reels)
    ]
    kept.save(changes, 1)
    saved = spent.look()
    for reel in hall.reels:
        reel.publish(len(reel.drafted))
    spent.look()
    size = sum(len(hls(reel, hall.now, 1e9)) for reel in hall.reels)
    written = spent.look()
    hall.now += SEGMENT
    for reel in hall.reels:
        reel.draft(hall.now)
        reel.take_heard()
        reel.publish(len(reel.drafted))
    segment = spent.look()
    kept.close()
    return {
        "cpu ms, drafting by a changed programme": 1e3 * drafted,
        "cpu ms, keeping what was drafted": 1e3 * saved,
        "cpu us, a playlist written": 1e6 * written / playbacks,
        "bytes, a playlist": size / playbacks,
        "cpu us, a playback's next segment drafted": 1e6 * segment / playbacks,
        "kB held, a playback's line of pieces": 1e3 * held / playbacks,
    }


def viewers(playbacks: int, folder: Path) -> Figures:
    """A real gateway process that holds so many playbacks: memory, set-ups, playlists."""
    sys.path.insert(0, str(Path(__file__).parent))
    from gateway import HOST_PROCESSES, Child

    from burlmast.http1.client import Pool, Whole

    async def run(port: int, pid: int) -> Figures:
        address, pool = ("127.0.0.1", port), Pool(most_idle=64, connect_s=5.0)
        publics: list[str] = []

        async def ask(n: int) -> None:
            body = msgspec.json.encode(
                {"title": "call-01", "plan": "recorded", "viewer": f"v{n}", "lasts": 9e5}
            )
            status, _, told = await Whole.of(
                pool, address, b"POST", b"/v1/playbacks", JSON, body, within=20.0
            )
            if status == 201:
                publics.append(msgspec.json.decode(told)["playback"])

        async def listen(public: str) -> None:
            target = f"/v1/playbacks/{public}/index.m3u8".encode()
            status, _, told = await Whole.of(pool, address, b"GET", target, within=20.0)
            assert status == 200, told
            sizes.append(len(told))

        async def with_32(work: Any, over: Any) -> None:
            rest = iter(over)

            async def worker() -> None:
                for one in rest:
                    await work(one)

            await asyncio.gather(*(worker() for _ in range(32)))

        await with_32(ask, range(100))
        before, cpu, had = memory(pid), processor(pid), len(publics)
        await with_32(ask, range(100, playbacks + 100))
        set_up, held, count = processor(pid) - cpu, memory(pid) - before, len(publics) - had
        sizes: list[int] = []
        cpu = processor(pid)
        await with_32(listen, publics[: min(4_000, len(publics))])
        listened = processor(pid) - cpu
        before = memory(pid)
        head = f"GET /v1/playbacks/{publics[0]}/index.m3u8 HTTP/1.1\r\nhost: a\r\n\r\n".encode()
        opened = []

        async def stay(_: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head)
            await reader.readuntil(b"\r\n\r\n")
            opened.append(writer)

        await with_32(stay, range(playbacks))
        stayed = memory(pid) - before
        for writer in opened:
            writer.transport.abort()
        pool.close()
        return {
            "kB held, a viewer's open connection": 1e3 * stayed / playbacks,
            "kB held, a playback": 1e3 * held / max(1, count),
            "cpu us, a set-up": 1e6 * set_up / playbacks,
            "playbacks that began": count,
            "cpu us, a playlist": 1e6 * listened / len(sizes),
            "bytes, a playlist": statistics.mean(sizes),
        }

    hosts = [Child("host", 1) for _ in range(HOST_PROCESSES)]
    ports = [one.line()["port"] for one in hosts]
    one = Child("serve", "held", *ports)
    try:
        place = one.line()
        return asyncio.run(run(place["port"], one.process.pid))
    finally:
        for child in (one, *hosts):
            child.process.kill()
            child.process.wait()


# Media hosts.


def listed(hosts: int, folder: Path) -> Figures:
    """A gateway's list of so many media hosts: on its disk, as news."""
    from burlmast import api
    from burlmast.fleet.stamp import ListName
    from burlmast.hostbook.snapshot import Book, Page, seal, unseal

    pages = [
        Page(
            n,
            n % 10,
            0,
            n % 12,
            "ready",
            1.0,
            1_790_000_000_000_000_000 + n,
            f"10.0.{n // 250}.{n % 250}:8080",
        )
        for n in range(hosts)
    ]
    rows = [
        api.HostRow(n, n % 10, 0, n % 12, api.Standing.READY, 1.0, 1_790_000_000_000_000_000 + n)
        for n in range(hosts)
    ]
    sealed = seal(Book(1_790_000_000_000_000_000, pages))
    name = ListName()
    name.heard(True, rows)
    return {
        "bytes, snapshot": len(sealed),
        "cpu ms, snapshot sealed": 1e3 * each(lambda: seal(Book(1, pages))),
        "cpu ms, snapshot read": 1e3 * each(lambda: unseal(sealed)),
        "cpu us, a changed row named": 1e6 * each(lambda: name.heard(False, rows[:1])),
        "cpu ms, a whole list named": 1e3 * each(lambda: name.heard(True, rows)),
    }


def grown(hosts: int) -> Deployment:
    """The sample with cells and racks for so many hosts: ten a cell, forty a rack, four cells a title."""
    found, replace = sized(gateways=10), msgspec.structs.replace
    cells = max(12, hosts // 10)
    titles = tuple(replace(one, home=n * cells // 24) for n, one in enumerate(found.titles))
    return replace(found, titles=titles, fleet=replace(found.fleet, cells=cells, racks=max(3, hosts // 40)))


def decisions(hosts: int, shaped: bool, folder: Path) -> Figures:
    """What the decisions alone take for a set-up, 300 of them; `shaped`: cells and racks grow with hosts."""
    from burlmast import api
    from burlmast.logic import Gateway
    from burlmast.settings.read import terms

    deployment, now = grown(hosts) if shaped else sized(gateways=10), 1_000_000_000_000
    one = Gateway(terms(deployment, 0, 0), 1, now)
    one.begin(now)
    cells = deployment.fleet.cells
    rows = tuple(api.HostRow(n, n % 3, 0, n % cells, api.Standing.READY, 1.0, 1) for n in range(hosts))
    one.take(now, api.Listed(api.Scope.COMPLETE, rows))
    now += 60_000_000_000
    spent = Spent()
    for pb in range(300):
        now += 5_000_000
        title = deployment.titles[pb % 24]
        request = api.Request(pb, 0, 0.0, title.home, title.copies, pb % 24 + 1, pb, 3_000_000_000)
        for action in one.take(now, api.Arrived(request)):
            if isinstance(action, api.SetUp):
                one.take(now + 1_000_000, api.Flowing(pb, 0, action.host, 1_000_000))
    return {"cpu ms, the decisions of a set-up": 1e3 * spent.look() / 300}


def told_by(hosts: int, folder: Path, seconds: float = 8.0) -> Figures:
    """A real gateway process with so many real (stand-in) hosts: without viewers, then with 400 playbacks;
    each host says each two seconds how its links stand, on one of a gateway's streams."""
    deployment = grown(hosts)
    replace = msgspec.structs.replace
    stand_ins = replace(deployment.stand_ins, hosts=hosts)
    doorway = replace(deployment.edge.doorway, connections_each=20_000)
    edge = replace(deployment.edge, leave_after_ms=9e6, unheard_targets=1e5, doorway=doorway)
    file = folder / "settings.json"
    file.write_bytes(msgspec.json.encode(replace(deployment, stand_ins=stand_ins, edge=edge)))

    async def run() -> Figures:
        async with AsyncExitStack() as stack:
            _, port, _ = await stack.enter_async_context(program("list", "list"))
            way = Counted(("127.0.0.1", port))
            await way.start()
            words = ("host", "--settings", file, "--count", hosts)
            _, _, there = await stack.enter_async_context(program("hosts", *words))
            await listing(port, there["rows"])
            words = ("edge", "--settings", file, "--list", f"127.0.0.1:{way.port}")
            pid, viewers, told = await stack.enter_async_context(program("gateway", *words))
            await asyncio.sleep(8.0)
            held, cpu, probes = memory(pid), processor(pid), await count(told, "probes")
            await asyncio.sleep(seconds)
            found = {
                "% of a core, no viewers": 100 * (processor(pid) - cpu) / seconds,
                "probes a second": (await count(told, "probes") - probes) / seconds,
                "MB held, no viewers": held,
                "bytes, the list heard": way.bytes,
            }
            before, cpu = wire(pid, way.port), processor(pid)
            playing = await played(viewers, 400)
            found |= {
                "playbacks that began": playing,
                "cpu ms, a set-up": 1e3 * (processor(pid) - cpu) / 400,
                "bytes a set-up at the sockets, viewer's and host's": moved(before, wire(pid, way.port))[0]
                / 400,
            }
            await asyncio.sleep(2.0)
            before, cpu = wire(pid, way.port), processor(pid)
            await asyncio.sleep(seconds)
            return found | {
                "% of a core, 400 playbacks": 100 * (processor(pid) - cpu) / seconds,
                "bytes a second from hosts": moved(before, wire(pid, way.port))[0] / seconds,
            }

    return asyncio.run(run())


async def listing(port: int, rows: list[Any]) -> None:
    """The stand-in list is told of hosts; it takes some 100 at a time."""
    from burlmast.http1.client import Pool, Whole

    pool = Pool(connect_s=5.0)
    for first in range(0, len(rows), 100):
        body = msgspec.json.encode(rows[first : first + 100])
        status, _, _ = await Whole.of(pool, ("127.0.0.1", port), b"POST", b"/v1/rows", body=body)
        if status != 200:
            raise RuntimeError(f"the list answers {status}")
    pool.close()


async def played(port: int, many: int) -> int:
    """So many playbacks are asked for, eight at a time; how many began."""
    from burlmast.http1.client import Pool, Whole

    pool, began, rest = Pool(connect_s=5.0), 0, iter(range(many))

    async def worker() -> None:
        nonlocal began
        for n in rest:
            words = {"title": f"title-{n % 24:06}", "plan": "recorded", "viewer": f"v{n}", "lasts": 9e5}
            words |= {"top": 0}
            with suppress(ConnectionError, TimeoutError):
                status, _, _ = await Whole.of(
                    pool, ("127.0.0.1", port), b"POST", b"/v1/playbacks", JSON, msgspec.json.encode(words)
                )
                began += status == 201

    await asyncio.gather(*(worker() for _ in range(8)))
    pool.close()
    return began


async def count(told: dict[str, Any], name: str) -> float:
    """A gateway's figure, by its metrics."""
    from burlmast.http1.client import Pool, Whole

    pool, port = Pool(), int(str(told["operators"]).rpartition(":")[2])
    _, _, page = await Whole.of(pool, ("127.0.0.1", port), b"GET", b"/metrics")
    pool.close()
    found = [line for line in page.decode().splitlines() if name in line and not line.startswith("#")]
    return sum(float(line.split()[-1]) for line in found)


# A gateway on control's side.


@asynccontextmanager
async def staged(
    deployment: Deployment, coordinators: int, folder: Path, orders: int = 0
) -> AsyncIterator[tuple[int, int, list[int]]]:
    """One real gateway among so many real coordinators, 12 hosts, no viewers, so many orders given before:
    its process, the list's port, and the coordinators'."""
    file = folder / "settings.json"
    file.write_bytes(msgspec.json.encode(deployment))
    async with AsyncExitStack() as stack:
        _, list_port, _ = await stack.enter_async_context(program("list", "list"))
        words = ("host", "--settings", file, "--count", 12, "--list", f"127.0.0.1:{list_port}")
        await stack.enter_async_context(program("hosts", *words))
        ports = [free_port() for _ in range(coordinators)]
        every = named(ports)
        for n, port in enumerate(ports):
            words = ("coordinator", "--settings", file, "--state", folder / f"c{n}", "--number", n)
            words = (*words, "--listen", f"127.0.0.1:{port}", *every)
            alone = ["--begin"] if coordinators == 1 else []
            await stack.enter_async_context(program("desk", *words, *alone))
        if coordinators > 1:
            await begin(deployment, orders, ports)
        fleet = [word for port in ports for word in ("--fleet", f"127.0.0.1:{port}")]
        words = ("edge", "--settings", file, "--list", f"127.0.0.1:{list_port}")
        words = (*words, "--state", folder / "state", *fleet)
        pid, _, _ = await stack.enter_async_context(program("gateway", *words))
        await asyncio.sleep(6.0)
        yield pid, list_port, ports


async def begin(deployment: Deployment, orders: int, ports: list[int]) -> None:
    """A fleet begins with so many orders, each for the gateways' own files."""
    from burlmast.fleet import orders as orders_module
    from burlmast.fleet.coordinator_shell import first_book
    from burlmast.fleet.messages import Begin
    from burlmast.http1.client import Pool, Whole

    book, pool = first_book(deployment, 0), Pool(connect_s=5.0)
    for n in range(orders):
        wanted = orders_module.Order(0, f"{n:016x}", "", 0.0, given_at=1_790_000_000_000_000_000)
        book = orders_module.give(book, wanted)
    for port in ports:
        body, address = msgspec.json.encode(Begin(book)), ("127.0.0.1", port)
        status, _, told = await Whole.of(pool, address, b"POST", b"/fleet/v1/begin", JSON, body, within=20.0)
        if status != 200:
            raise RuntimeError(f"no fleet has begun: {told!r}")
    pool.close()


def named(ports: list[int]) -> list[str]:
    """Coordinators as a command names them."""
    return [word for port in ports for word in ("--coordinator", f"127.0.0.1:{port}")]


async def operate(*words: str) -> None:
    """An operator's command; raises RuntimeError where it fails."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "burlmast", "fleet", *words, stdout=asyncio.subprocess.DEVNULL
    )
    if await process.wait():
        raise RuntimeError(f"fleet {words[0]} failed")


def moved(before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]]) -> tuple[int, int]:
    """Bytes and segments between two looks at `wire`."""
    bytes_, segments = (
        sum(one[n] - before.get(key, (0, 0))[n] for key, one in after.items()) for n in (0, 1)
    )
    return bytes_, segments


def control(coordinators: int, folder: Path, seconds: float = 8.0) -> Figures:
    """A real gateway process without viewers, with so many real coordinators and nobody else; 0: no fleet."""

    async def run() -> Figures:
        async with staged(sized(), coordinators, folder) as (pid, list_port, _):
            before, cpu = wire(pid, list_port), processor(pid)
            began = time.monotonic()
            await asyncio.sleep(seconds)
            took, cpu = time.monotonic() - began, processor(pid) - cpu
            sent, segments = moved(before, wire(pid, list_port))
            return {
                "% of a core": 100 * cpu / took,
                "MB held": memory(pid),
                "bytes a second at its sockets, both ways": sent / took,
                "segments a second, both ways": segments / took,
                "bytes a second with 52 of TCP and IP a segment": (sent + 52 * segments) / took,
            }

    return asyncio.run(run())


def ordered(titles: int, orders: int, folder: Path, times: int = 4, each_s: float = 3.0) -> Figures:
    """What one order that changes one title costs a real gateway of five coordinators, all that it does
    beside its beats; settings with so many titles, and so many orders in the book before."""
    deployment = sized(titles)

    async def run() -> Figures:
        async with staged(deployment, COORDINATORS, folder, orders) as (pid, list_port, ports):
            before, cpu = wire(pid, list_port), processor(pid)
            began = time.monotonic()
            await asyncio.sleep(5.0)
            quiet = time.monotonic() - began
            beats, beating = moved(before, wire(pid, list_port))[0] / quiet, (processor(pid) - cpu) / quiet
            before, cpu, peak = wire(pid, list_port), processor(pid), memory(pid, "VmHWM")
            began = time.monotonic()
            for turn in range(times):
                first = msgspec.structs.replace(deployment.titles[0], copies=1 + turn)
                one = msgspec.structs.replace(deployment, titles=(first, *deployment.titles[1:]))
                file = folder / f"order-{turn}.json"
                file.write_bytes(msgspec.json.encode(one))
                await operate("order", str(file), *named(ports))
                await asyncio.sleep(each_s)
            took = time.monotonic() - began
            sent = moved(before, wire(pid, list_port))[0] - beats * took
            in_force = await self_told(ports, orders + times)
            return {
                "bytes an order at its sockets, beside the beats": sent / times,
                "cpu ms an order, beside the beats": 1e3 * (processor(pid) - cpu - beating * took) / times,
                "MB at the peak": memory(pid, "VmHWM"),
                "MB at the peak before": peak,
                "1 where the last order is in force": in_force,
            }

    return asyncio.run(run())


async def self_told(ports: list[int], order: int) -> bool:
    """Whether the one gateway says that it acts on this order."""
    from burlmast.fleet.messages import Status
    from burlmast.http1.client import Pool, Whole

    pool = Pool(connect_s=2.0)
    _, _, told = await Whole.of(pool, ("127.0.0.1", ports[0]), b"GET", b"/fleet/v1/status", within=10.0)
    pool.close()
    return any(one.order == order for one in msgspec.json.decode(told, type=Status).members)


def wire(pid: int, without: int) -> dict[str, tuple[int, int]]:
    """Bytes and segments, both ways together, of each connection of a process but those to one port."""
    found = {}
    for line in subprocess.run(["ss", "-tinpHO"], check=True, stdout=subprocess.PIPE).stdout.splitlines():
        words = line.decode().split()
        if f"pid={pid}," in line.decode() and not words[4].endswith(f":{without}"):
            told = dict(one.split(":", 1) for one in words[5:] if one.count(":") == 1)
            figures = [
                int(told.get(key, 0)) for key in ("bytes_sent", "bytes_received", "segs_out", "segs_in")
            ]
            found[f"{words[3]} {words[4]}"] = sum(figures[:2]), sum(figures[2:])
    return found


def free_port() -> int:
    """A port that nobody has now."""
    import socket

    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


class Part(NamedTuple):
    """One measurement at several sizes."""

    work: Callable[[int, Path], Figures]
    sizes: tuple[int, ...]
    of: str  # what the size counts


PARTS: dict[str, list[Part]] = {
    "settings": [
        Part(settings, (10_000, 100_000, SHARDS), "titles"),
        Part(parsed, (10_000, 100_000, SHARDS), "titles"),
    ],
    "heartbeat": [
        Part(lambda n, folder: beats(n, 1, folder), (10, 80, 300, GATEWAYS), "members, 1 life"),
        Part(lambda n, folder: beats(80, n, folder), (1, 8, 16), "lives, 80 members"),
    ],
    "coordinator": [
        Part(coordinator, (10, 40, 160, GATEWAYS), "members"),
        Part(sight, (100, 300, GATEWAYS), "members"),
        Part(holders, (10_000, 100_000, SHARDS), "titles"),
    ],
    "control": [Part(control, (0, 1, 3, 5), "coordinators")],
    "order": [
        Part(lambda n, folder: ordered(n, 0, folder), (24, 1_000, 10_000), "titles"),
        Part(lambda n, folder: ordered(24, n, folder), (0, 16, 64), "earlier orders, 24 titles"),
    ],
    "register": [
        Part(lambda n, folder: register_(64, n, folder), (0, 20, 91, 400), "disruptions, 64 orders"),
        Part(lambda n, folder: register_(n, 0, folder), (0, 16, 64), "orders, no disruptions"),
    ],
    "membership": [
        Part(membership, (50, 200, GATEWAYS), "members"),
        Part(framing, (100, 400, 1_600), "bytes of a body"),
    ],
    "ledger": [
        Part(store, (10_000, 100_000, 1_000_000), "rows"),
        Part(lives, (10_000, 150_000, 1_000_000), "lives"),
    ],
    "programme": [Part(programme, (1_000, 5_000, 20_000), "playbacks")],
    "viewers": [Part(viewers, (1_000, 3_000, 8_000), "playbacks")],
    "hosts": [
        Part(listed, (130, 1_000, 10_000), "hosts"),
        Part(told_by, (12, 130, 1_000), "hosts"),
        Part(lambda n, folder: decisions(n, True, folder), (12, 130, 400, 1_000), "hosts, cells and racks"),
        Part(lambda n, folder: decisions(n, False, folder), (12, 130, 400), "hosts, 12 cells, 3 racks"),
    ],
}


def measured(name: str, place: int, size: int, folder: Path) -> Figures:
    """One measurement, in a process of its own."""
    words = [sys.executable, __file__, "one", name, str(place), str(size), str(folder)]
    raw = subprocess.run(words, check=True, stdout=subprocess.PIPE, timeout=600).stdout
    return msgspec.json.decode(raw.splitlines()[-1], type=Figures)


def told(values: list[float]) -> str:
    """The median of the rounds, and their spread."""
    return f"{statistics.median(values):.6g} ({min(values):.6g} to {max(values):.6g})"


def run(names: list[str], rounds: int, out: Path | None) -> None:
    """Measure these parts and print them."""
    print(f"{CORES} cores, Python {PYTHON}, {rounds} rounds, load {os.getloadavg()[0]:.1f} at the start")
    for name in names:
        for place, part in enumerate(PARTS[name]):
            table: dict[str, dict[int, list[float]]] = {}
            with tempfile.TemporaryDirectory() as kept:
                for size in part.sizes:
                    for turn in range(rounds):
                        folder = Path(kept) / f"{size}-{turn}"
                        folder.mkdir()
                        shared = Path(kept) if name == "settings" else folder
                        for figure, value in measured(name, place, size, shared).items():
                            table.setdefault(figure, {}).setdefault(size, []).append(value)
                            row = {
                                "part": name, "of": part.of, "size": size, "round": turn, "figure": figure,
                                "value": value, "cores": CORES, "python": PYTHON,
                                "load": round(os.getloadavg()[0], 1),
                                "command": f"python benchmarks/slopes.py --part {name} --rounds {rounds}",
                            }  # fmt: skip
                            if out is not None:
                                with out.open("ab") as lines:
                                    lines.write(msgspec.json.encode(row) + b"\n")
            for figure, found in table.items():
                print(f"{name}: {figure}, by {part.of}")
                for size, values in found.items():
                    print(f"    {size:>9,}  {told(values)}", flush=True)
                first, last = part.sizes[0], part.sizes[-1]
                grown = statistics.median(found[last]) - statistics.median(found[first])
                print(f"    slope from first to last {grown / (last - first):.4g} each", flush=True)


def make(size: int, folder: Path) -> None:
    """A settings file with so many titles."""
    from burlmast.fleet.stamp import canonical

    (folder / f"titles-{size}.json").write_bytes(canonical(sized(size)))


def main() -> None:
    if sys.argv[1:2] == ["make"]:
        make(int(sys.argv[2]), Path(sys.argv[3]))
        return
    if sys.argv[1:2] == ["feed"]:
        first, last, members, port = map(int, sys.argv[2:6])
        asyncio.run(Feeder(range(first, last), members, ("127.0.0.1", port)).run())
        return
    if sys.argv[1:2] == ["one"]:
        name, place, size, folder = sys.argv[2:6]
        found = PARTS[name][int(place)].work(int(size), Path(folder))
        print(msgspec.json.encode({key: float(value) for key, value in found.items()}).decode())
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", nargs="?", choices=["all"])
    parser.add_argument("--part", action="append", choices=list(PARTS), default=[])
    parser.add_argument("--rounds", type=int, default=0, help="3 for named parts, 1 for all")
    parser.add_argument("--json", type=Path, default=None)
    words = parser.parse_args()
    names = list(PARTS) if words.what == "all" else words.part
    if not names:
        parser.error("name a part, or all")
    run(names, words.rounds or (1 if words.what else 3), words.json)


if __name__ == "__main__":
    main()
