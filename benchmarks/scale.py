"""The fleet at size: coordinators and real gateways as processes, hollow gateways beside them, in regions and
zones whose links are cut, delayed and lossy; what each event costs, and when a change is in force.

python benchmarks/scale.py run --members 100 --phases steady,changes,restart,zone,region,coordinators,all
python benchmarks/scale.py check        a hollow member against a real gateway: messages, bytes, their order

docs/scale.md says what the phases are and what one machine cannot show.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from burlmast.badday.desks import free_port
from burlmast.catalogue import messages as catalogue
from burlmast.catalogue.shards import Shard
from burlmast.fleet.coordinator_shell import first_book
from burlmast.fleet.messages import Begin, Status, Wanted
from burlmast.fleet.orders import Order
from burlmast.http1.client import Address, Pool, Whole
from burlmast.settings.read import read
from burlmast.settings.sheets import Deployment, Title
from burlmast.standin.hollow import Act, Load, Place, Plan, Reach
from burlmast.standin.listservice import ListService
from burlmast.standin.mediahost import Fleet

SAMPLE = Path(__file__).parent.parent / "deploy" / "samples" / "training.jsonnet"
JSON = ((b"content-type", b"application/json"),)
REGIONS, ZONES, COORDINATORS = 3, 10, 5
REGION_OF_ZONE = (0, 0, 0, 0, 1, 1, 1, 2, 2, 2)
DELAYS_MS = ((0.0, 20.0, 80.0), (20.0, 0.0, 50.0), (80.0, 50.0, 0.0))  # one way
LOSS = 0.001  # of pieces between regions; each comes 200 ms later
BYTES_S = 1_000_000.0  # of a connection between regions, one way
A_PROCESS = 130  # hollow members at most, so that its sockets stay under 20,000 descriptors
SPREAD = 15  # of them or more a process, while there are cores
LARGEST_PARTS = 4_270  # shards of the largest title, 380,000 viewers of some 89 a shard
LOADED_AT_ONCE = 2_000  # rows a change
PERIOD_S = 86_400 / 3_700  # between two changes of a day
MOST_MB = 12_000  # of memory that all processes hold together; a run that takes more is stopped
WITHIN = 0.05  # that a hollow member may be off a real one
PHASES = ("steady", "changes", "restart", "zone", "region", "coordinators", "all")
# A day's gateway at the size of the design: 44,000 playbacks, a set-up each 4 s in 100 of them.
LOAD = Load(connections=44_000, kb=4.0e7, requests_s=10.0, hosts=60)


def region_of(number: int) -> int:
    """The region of a gateway, by its zone."""
    return REGION_OF_ZONE[number % ZONES]


def settings_of(
    members: int, shards: int = 0, titles: int = 0, connect_ms: float | None = None, **terms: float
) -> Deployment:
    """The sample with so many gateways in ten zones; hosts as large as so many gateways' shares need. With
    shards there is a catalogue of them; `titles` are in the settings. `terms` are other terms."""
    one = read(str(SAMPLE))
    replace = msgspec.structs.replace
    fleet = replace(
        one.fleet, link_kb=one.fleet.link_kb * members / 3, uplink_kb=one.fleet.uplink_kb * members / 3
    )
    rules = replace(one.rules, warm_after_ms=1.0)
    edge = replace(
        one.edge,
        fleet=replace(one.edge.fleet, **terms),
        catalogue=replace(one.edge.catalogue, on=shards > 0),
        connect_ms=one.edge.connect_ms if connect_ms is None else connect_ms,
    )
    zones = tuple(f"zone-{zone}" for zone in range(ZONES))
    if titles:
        named = (Title(f"title-{n // 4:07d}-{n % 4}", n % fleet.cells, 2) for n in range(titles))
        one = replace(one, titles=(*one.titles, *named))
    return replace(one, gateways=members, zones=zones, fleet=fleet, rules=rules, edge=edge)


class Child:
    """A process that is ours: started, asked, ended by its own id."""

    def __init__(self, name: str, words: list[str], log: Path, pipe: bool = False) -> None:
        self.name, self.words, self.log, self._pipe = name, words, log, pipe
        self.process: asyncio.subprocess.Process | None = None
        self.told: dict[str, Any] = {}
        self.cpu_before = 0.0  # of lives that are over

    async def start(self, told: bool = True) -> dict[str, Any]:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.words, stderr=log, stdout=asyncio.subprocess.PIPE, limit=1 << 22,
                stdin=asyncio.subprocess.PIPE if self._pipe else asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        return await self.line(180) if told else {}

    async def line(self, within: float = 20.0) -> dict[str, Any]:
        """The next line that it prints."""
        assert self.process is not None and self.process.stdout is not None
        async with asyncio.timeout(within):
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} ended: {self.log.read_text()[-2000:]}")
        self.told = json.loads(line)
        return self.told

    async def ask(self, asked: dict[str, Any]) -> dict[str, Any]:
        """A line to it, and its answer."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(json.dumps(asked).encode() + b"\n")
        return await self.line()

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def cpu_s(self) -> float:
        """Processor time that it has used."""
        if not self.runs:
            return 0.0
        assert self.process is not None
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self) -> float:
        """Memory that it holds."""
        if not self.runs:
            return 0.0
        assert self.process is not None
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def kill(self) -> None:
        if self.runs:
            assert self.process is not None
            self.process.kill()
            await self.process.wait()

    async def end(self) -> None:
        """In order, or by force after a while."""
        if not self.runs:
            return
        assert self.process is not None
        if self._pipe and self.process.stdin is not None:
            self.process.stdin.close()
        for _ in range(2):  # a gateway stops at once at the second
            if self.runs:
                self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(30):
                await self.process.wait()
        except TimeoutError:
            await self.kill()


class Change:
    """Something that must come in force everywhere: an order of settings. Another kind of change says how it
    is asked for, and under which name members mark its revision."""

    mark = "order"

    def __init__(self, scale: Scale, tag: int) -> None:
        self.scale, self.tag = scale, tag
        self.revision = 0
        self.asked_ns = self.taken_ns = 0
        self.why = ""  # it was refused

    def body(self) -> bytes:
        """Settings like the others, but for what the first plan earns."""
        one = self.scale.deployment
        plans = (msgspec.structs.replace(one.plans[0], revenue=1.0 + self.tag / 1000), *one.plans[1:])
        text = msgspec.json.encode(msgspec.structs.replace(one, plans=plans)).decode("utf-8")
        return msgspec.json.encode(Wanted(f"change-{self.tag}", text))

    async def ask(self, coordinator: int, within: float = 8.0) -> bool:
        """Ask a coordinator for it; whether it is accepted."""
        self.asked_ns = self.asked_ns or time.monotonic_ns()
        status, told = await self.scale.call(
            self.scale.coordinator_address(coordinator), "/fleet/v1/order", self.body(), within
        )
        self.taken_ns = time.monotonic_ns()
        if status != 200:
            self.why = f"{status} {told[:120].decode('utf-8', 'replace')}"
            return False
        self.revision, self.why = msgspec.json.decode(told, type=Order).number, ""
        return True


class ShardChange(Change):
    """A change of the catalogue: another home for one of the shards that were loaded."""

    mark = "catalogue"

    def body(self) -> bytes:
        cells = self.scale.deployment.fleet.cells
        row = shard_of(self.tag * 7_919 % self.scale.shards, self.tag % cells)
        return msgspec.json.encode(catalogue.Wanted(f"change-{self.tag}", catalogue.Batch((row,))))

    async def ask(self, coordinator: int, within: float = 8.0) -> bool:
        self.asked_ns = self.asked_ns or time.monotonic_ns()
        address = self.scale.coordinator_address(coordinator)
        status, told = await self.scale.call(address, catalogue.CHANGE, self.body(), within)
        self.taken_ns = time.monotonic_ns()
        if status != 200:
            self.why = f"{status} {told[:120].decode('utf-8', 'replace')}"
            return False
        self.revision, self.why = msgspec.json.decode(told, type=catalogue.Changed).revision, ""
        return True


def shard_of(number: int, home: int) -> Shard:
    """One of those that are loaded: titles of some parts, the first one of many."""
    if number < LARGEST_PARTS:
        return Shard("title-largest", number, LARGEST_PARTS, home, 2)
    return Shard(f"title-{number // 4:07d}", number % 4, 4, home, 2)


class Viewers:
    """Requests at the real gateways, so many a second each, whatever comes back."""

    def __init__(self, scale: Scale, rate: float) -> None:
        self.scale, self.rate = scale, rate
        self.took: list[tuple[bool, float]] = []  # it plays; seconds until the answer
        self._tasks: set[asyncio.Task[None]] = set()
        self._run: asyncio.Task[None] | None = None

    def start(self) -> None:
        if self.scale.real and self.rate:
            self._run = asyncio.ensure_future(self._go())

    async def _go(self) -> None:
        number, due = 0, time.monotonic()
        while True:
            for gateway in self.scale.real:
                number += 1
                task = asyncio.ensure_future(self._one(gateway, number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            due += 1 / self.rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _one(self, gateway: Child, number: int) -> None:
        body = msgspec.json.encode(
            {"title": "unit-01", "plan": "explainer", "viewer": f"v{number}", "lasts": 2}
        )
        address = address_of(str(gateway.told["gateway"]))
        began = time.monotonic()
        status, _ = await self.scale.call(address, "/v1/playbacks", body, 4.0)
        self.took.append((status == 201, time.monotonic() - began))

    def figures(self) -> dict[str, Any]:
        """Since the last time."""
        took, self.took = self.took, []
        if not took:
            return {}
        return {
            "asked": len(took),
            "plays": round(sum(plays for plays, _ in took) / len(took), 4),
            "answer_ms": quantiles([1000 * one for _, one in took]),
        }

    async def close(self) -> None:
        if self._run is not None:
            self._run.cancel()
        for task in list(self._tasks):
            task.cancel()


def address_of(url: str) -> Address:
    host, _, port = url.removeprefix("http://").rpartition(":")
    return host, int(port)


def text_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def quantiles(values: Iterable[float]) -> dict[str, float]:
    """p50, p90, p99 and the last, as they stand in order."""
    found = sorted(values)
    if not found:
        return {}
    at = lambda part: round(found[min(len(found) - 1, int(part * len(found)))], 3)  # noqa: E731
    return {"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "last": round(found[-1], 3)}


class Scale:
    """All of it. The real gateways have the first numbers."""

    def __init__(
        self, folder: Path, members: int, real: int, load: Load, terms: dict[str, float],
        say: Callable[[str], None] = lambda text: None, coordinators: int = COORDINATORS,
        watched: tuple[int, ...] = (), counted: bool = False, far: bool = True, shards: int = 0,
        titles: int = 0,
    ) -> None:  # fmt: skip
        """Must be made on a running loop. Gateways that are `watched` have links of their own; with `counted`
        real ones count as hollow ones do, and have neither list nor hosts. With `far` links between regions
        delay, lose and limit."""
        self.folder, self.members, self.load, self.say = folder, members, load, say
        self.delays = DELAYS_MS if far else ((0.0,) * REGIONS,) * REGIONS
        self.shards = shards
        self.deployment = settings_of(members, shards, titles, **terms)
        self.settings = folder / "settings.json"
        self.settings.write_bytes(msgspec.json.encode(self.deployment))
        self.pool = Pool(connect_s=3.0)
        self.ports = [free_port() for _ in range(coordinators)]
        self.coordinators: list[Child] = []
        self.relays: list[Child] = []
        self.hollow: list[Child] = []
        self.real: list[Child] = []
        self.real_numbers, self.watched, self.counted = range(real), watched, counted
        self.places: dict[int, Place] = {}
        self.list = ListService(delay=0.02)
        self.hosts = Fleet(msgspec.structs.replace(
            self.deployment, stand_ins=msgspec.structs.replace(self.deployment.stand_ins, hosts=12)
        ), changed=self.list.changed) if real and not counted else None  # fmt: skip
        self.tags = 0
        self.lost_cpu = [0.0] * coordinators
        self.changes: list[Change] = []

    # Its parts.

    def coordinator_address(self, number: int) -> Address:
        return Reach.host(number % REGIONS), self.ports[number]

    async def start(self) -> None:
        """Everything runs and is in one fleet on return."""
        await self._relays()
        if self.hosts is not None:
            await self.hosts.start()
            self.list.set_all(list(self.hosts.rows.values()))
        list_port = await self.list.start()
        for number in range(len(self.ports)):
            words = ["-m", "burlmast", "--level", "warning", "coordinator", "--settings", str(self.settings),
                     "--number", str(number), "--state", str(self.folder / f"coordinator-{number}"),
                     "--listen", text_of(self.coordinator_address(number))]  # fmt: skip
            for other in range(len(self.ports)):
                far = other != number
                way = f"127.0.0.1:{self.way[f'c{number}', other]}" if far else ""
                words += ["--coordinator", way or text_of(self.coordinator_address(number))]
            self.coordinators.append(
                Child(f"coordinator-{number}", words, self.folder / f"coordinator-{number}.log")
            )
        await asyncio.gather(*(one.start() for one in self.coordinators))
        self.say(f"{len(self.coordinators)} coordinators run")
        book = msgspec.json.encode(Begin(first_book(self.deployment, time.time_ns())))
        for number in range(len(self.ports)):
            status, told = await self.call(self.coordinator_address(number), "/fleet/v1/begin", book, 10.0)
            # 409: a majority has begun, and has filled this one already.
            if status != 200 and not (status == 409 and 2 * number > len(self.ports)):
                raise RuntimeError(f"the fleet does not begin: {status} {told[:200]!r}")
        await self._load_shards()
        await self._hollow()
        for number in self.real_numbers:
            words = [__file__, "counted", str(self.folder / f"counted-{number}")] if self.counted else [
                     "-m", "burlmast"]  # fmt: skip
            words += [
                "--level",
                "warning",
                "edge",
                "--settings",
                str(self.settings),
                "--number",
                str(number),
                "--state",
                str(self.folder / "state"),
                "--listen",
                f"127.0.0.1:{free_port()}",
                "--operators",
                f"{Reach.host(region_of(number))}:{free_port()}",
            ]
            words += [] if self.counted else ["--list", f"127.0.0.1:{list_port}"]  # fmt: skip
            for way in self.ways(number):
                words += ["--fleet", way]
            self.real.append(Child(f"gateway-{number}", words, self.folder / f"gateway-{number}.log"))
        await asyncio.gather(*(one.start() for one in self.real))
        self.say(f"{len(self.places)} hollow members in {len(self.hollow)} processes, {len(self.real)} real")

    async def _load_shards(self) -> None:
        """The catalogue as it is before the first member starts."""
        cells, began = self.deployment.fleet.cells, time.monotonic()
        for first in range(0, self.shards, LOADED_AT_ONCE):
            numbers = range(first, min(first + LOADED_AT_ONCE, self.shards))
            rows = tuple(shard_of(number, number % cells) for number in numbers)
            body = msgspec.json.encode(catalogue.Wanted(f"load-{first}", catalogue.Batch(rows)))
            for attempt in range(5):
                status, told = await self.call(self.coordinator_address(0), catalogue.CHANGE, body, 30.0)
                if status == 200:
                    break
                await asyncio.sleep(1.0 + attempt)
            else:
                raise RuntimeError(f"the catalogue is not taken: {status} {told[:200]!r}")
        if self.shards:
            self.say(f"{self.shards} shards loaded in {time.monotonic() - began:.1f} s")

    async def _relays(self) -> None:
        """A process a region holds the links by which its members and its coordinators reach others."""
        self.way: dict[tuple[str, int], int] = {}
        for region in range(REGIONS):
            relay = Child(
                f"relay-{region}", ["-m", "burlmast.standin.relay"], self.folder / "relay.log", True
            )
            await relay.start(told=False)
            self.relays.append(relay)
            names = self._names(region)
            links = {
                f"{name}>{other}": text_of(self.coordinator_address(other))
                for name in names for other in range(len(self.ports)) if name != f"c{other}"
            }  # fmt: skip
            told = await relay.ask({"links": links})
            for link, port in told["ports"].items():
                name, _, other = link.partition(">")
                self.way[name, int(other)] = port
        await self.links()

    def _names(self, region: int) -> list[str]:
        """Who has links of its own in a region."""
        coordinators = [f"c{one}" for one in range(len(self.ports)) if one % REGIONS == region]
        watched = [f"g{one}" for one in self.watched if region_of(one) == region]
        return [f"r{region}", *coordinators, *watched]

    async def passed(self, number: int) -> list[int]:
        """Bytes on the links of a watched gateway, towards the coordinators and back, by the relay."""
        told = await self.relays[region_of(number)].ask({"links": {}})
        mine = [both for name, both in told["passed"].items() if name.startswith(f"g{number}>")]
        return [sum(up for up, _ in mine), sum(down for _, down in mine)]

    async def links(self, apart: Iterable[int] = ()) -> None:
        """All links are well, but for regions that are cut off: what passes between them and the others."""
        away = set(apart)
        for region, relay in enumerate(self.relays):
            names = self._names(region)
            for other in range(len(self.ports)):
                there = other % REGIONS
                far = there != region
                state: dict[str, Any] = {"delay_s": self.delays[region][there] / 1000}
                if far and self.delays is DELAYS_MS:
                    state |= {"loss": LOSS, "bytes_s": BYTES_S}
                if far and (region in away or there in away):
                    state = {"up": False, "down": False}
                put = [f"{name}>{other}" for name in names if name != f"c{other}"]
                await relay.ask({"put": put, "state": state})
            await relay.ask({"reset": []})

    def ways(self, number: int) -> tuple[str, ...]:
        """The addresses by which a gateway reaches the coordinators."""
        name = f"g{number}" if number in self.watched else f"r{region_of(number)}"
        return tuple(f"127.0.0.1:{self.way[name, other]}" for other in range(len(self.ports)))

    async def _hollow(self) -> None:
        numbers = [one for one in range(self.members) if one not in self.real_numbers]
        self.places = {one: Place(one, one % ZONES, region_of(one), self.ways(one)) for one in numbers}
        for place in range(self.processes):
            mine = self.numbers_of(place)
            plan = Plan(str(self.settings), str(self.folder / "state"), tuple(self.places[n] for n in mine),
                        self.load, self.delays)  # fmt: skip
            file = self.folder / f"plan-{place}.json"
            file.write_bytes(msgspec.json.encode(plan))
            words = ["-m", "burlmast.standin.hollow", "--plan", str(file)]
            self.hollow.append(Child(f"hollow-{place}", words, self.folder / f"hollow-{place}.log", True))
        await asyncio.gather(*(one.start() for one in self.hollow))

    def numbers_of(self, process: int) -> list[int]:
        """The members of a process of hollow ones."""
        return list(self.places)[process :: self.processes]

    @property
    def processes(self) -> int:
        """How many share the hollow members."""
        spread = min(os.cpu_count() or 1, len(self.places) // SPREAD)
        return max(1, spread, -(-len(self.places) // A_PROCESS))

    async def call(
        self, address: Address, path: str, body: bytes | None = None, within: float = 10.0
    ) -> tuple[int, bytes]:
        """Status and body, 0 where nothing answers."""
        method = b"GET" if body is None else b"POST"
        listener = Whole(1 << 26)
        call = self.pool.call(address, method, path.encode(), listener, JSON, body or b"")
        try:
            async with asyncio.timeout(within):
                status, _, told = await listener._future
                return status, told
        except (ConnectionError, TimeoutError) as why:
            return 0, str(why).encode()
        finally:
            call.cancel()

    async def act(self, what: str, members: Iterable[int] = (), regions: Iterable[int] = ()) -> None:
        """All hollow processes do it, side by side."""
        body = msgspec.json.encode(Act(what, tuple(members), tuple(regions)))
        for status, told in await asyncio.gather(
            *(self.call(address_of(one.told["control"]), "/v1/act", body, 120.0) for one in self.hollow)
        ):
            if status != 200:
                raise RuntimeError(f"{what}: {status} {told[:200]!r}")

    async def report(self, since: int = 0) -> Report:
        """As of now."""
        answers = await asyncio.gather(
            *(self.call(address_of(one.told["control"]), f"/v1/report?since={since}", None, 30.0)
              for one in self.hollow)
        )  # fmt: skip
        for status, told in answers:
            if status != 200:
                raise RuntimeError(f"no report: {status} {told[:200]!r}")
        return Report([json.loads(told) for _, told in answers], [
            {"cpu_s": self.lost_cpu[number] + one.cpu_s(), "rss_mb": one.rss_mb()}
            for number, one in enumerate(self.coordinators)
        ], [{"cpu_s": one.cpu_s(), "rss_mb": one.rss_mb()} for one in self.real])  # fmt: skip

    def change(self) -> Change:
        """Another change; nobody has asked for it yet."""
        self.tags += 1
        self.changes.append((ShardChange if self.shards else Change)(self, self.tags))
        return self.changes[-1]

    async def status(self, coordinator: int) -> Status | None:
        """What a coordinator says."""
        status, told = await self.call(self.coordinator_address(coordinator), "/fleet/v1/status", None, 10.0)
        return msgspec.json.decode(told, type=Status) if status == 200 else None

    async def lose(self, *numbers: int) -> None:
        """Kill coordinators."""
        for number in numbers:
            self.lost_cpu[number] += self.coordinators[number].cpu_s()
        await asyncio.gather(*(self.coordinators[number].kill() for number in numbers))

    async def bring_back(self, *numbers: int) -> None:
        """Start them again, on their disks and ports."""
        await asyncio.gather(*(self.coordinators[number].start() for number in numbers))

    async def in_force(
        self, change: Change, numbers: Iterable[int], within: float, since: dict[int, int] | int | None = None
    ) -> InForce:
        """Wait until hollow members act on a change or a later one, at most so many seconds from now."""
        wanted, end = set(numbers), time.monotonic() + within
        while True:
            report = await self.report(change.asked_ns - 1_000_000_000)
            found = InForce(change, wanted, report, change.asked_ns if since is None else since)
            if not found.missing or time.monotonic() >= end:
                return found
            await asyncio.sleep(0.25 if len(self.places) < 100 else 1.0)

    async def settled(self, within: float = 60.0) -> bool:
        """Wait until every member acts on the latest order that a coordinator knows."""
        end = time.monotonic() + within
        made = max((one.revision for one in self.changes), default=1) if self.shards else 0
        while time.monotonic() < end:
            told = [one for one in await asyncio.gather(*(self.status(n) for n in range(len(self.ports))))
                    if one is not None]  # fmt: skip
            newest = max((one.book.number for one in told), default=0)
            report = await self.report(time.monotonic_ns())
            there = [one for one in report.members.values() if one["runs"]]
            if (
                told
                and len(there) == len(self.places)
                and all(one["order"] >= newest and one["fresh"] for one in there)
                and all(one["catalogue"][1] >= made and not one["catalogue"][2] for one in there if made)
            ):
                return True
            await asyncio.sleep(0.3 if len(self.places) < 100 else 1.0)
        return False

    @property
    def children(self) -> list[Child]:
        """Our own processes."""
        return [*self.hollow, *self.real, *self.coordinators, *self.relays]

    async def bounded(self, stop: Callable[[], object]) -> None:
        """Until cancelled; `stop` is called where too much memory is held."""
        while True:
            await asyncio.sleep(1.0)
            held = sum(one.rss_mb() for one in self.children)
            if held > MOST_MB:
                self.say(f"stopped: {held:.0f} MB are held, over {MOST_MB}")
                stop()
                return

    async def close(self) -> None:
        """End our own processes."""
        children = self.children
        await asyncio.gather(*(one.end() for one in children))
        if self.hosts is not None:
            self.hosts.close()
        self.list.close()
        self.pool.close()
        await asyncio.sleep(0.01)


class Report:
    """What all processes told at about one time."""

    def __init__(
        self, processes: list[dict[str, Any]], coordinators: list[dict[str, float]],
        real: list[dict[str, float]],
    ) -> None:  # fmt: skip
        self.processes, self.coordinators, self.real = processes, coordinators, real
        self.at = time.monotonic()
        self.members: dict[int, dict[str, Any]] = {
            one["number"]: one for process in processes for one in process["members"]
        }

    def since(self, before: Report) -> dict[str, Any]:
        """Rates between two reports."""
        span = self.at - before.at
        rates, sent, received = [], [], []
        kinds: Counter[str] = Counter()
        whys: Counter[str] = Counter()
        for number, one in self.members.items():
            old = before.members[number]
            whys.update(one["whys"])
            whys.subtract(old["whys"])
            sent.append((one["sent"] - old["sent"]) / span)
            received.append((one["received"] - old["received"]) / span)
            rates.append(sent[-1] + received[-1])
            kinds.update(one["kinds"])
            kinds.subtract(old["kinds"])
        mean = lambda values: round(sum(values) / max(1, len(values)), 1)  # noqa: E731
        cpu = [
            (new["cpu_s"] - old["cpu_s"]) / span / max(1, len(new["members"]))
            for new, old in zip(self.processes, before.processes, strict=True)
        ]
        rest = {}
        for kind in sorted({one.partition(" ")[2] for one in kinds if one.startswith("sent ")}):
            counts = {what: kinds[f"{what} {kind}"] for what in ("sent", "answered", "refused", "failed")}
            late = counts["sent"] - counts["answered"] - counts["refused"] - counts["failed"]
            rest[kind] = {**counts, "late": max(0, late), "a_member_s": round(
                counts["sent"] / span / max(1, len(self.members)), 3)}  # fmt: skip
        return {
            "span_s": round(span, 1),
            "bytes_s": {"mean": mean(rates), **quantiles(rates)},
            "sent_s": mean(sent),
            "received_s": mean(received),
            "messages": rest,
            "whys": dict((+grouped(whys)).most_common(6)),
            "member_cpu": round(mean([100 * one for one in cpu]) / 100, 5) if cpu else 0.0,
            "member_cpu_exact": round(sum(cpu) / max(1, len(cpu)), 6),
            "member_mb": round(
                sum(one["rss_kb"] for one in self.processes) / 1024 / max(1, len(self.members)), 2
            ),
            "heartbeats": round(kinds["sent hello"] / span / max(1, len(self.members)), 3),
            "stall_s": round(max(one["stall_s"] for one in self.processes), 3),
            "files": max(one["files"] for one in self.processes),
            "coordinator_cpu": [
                round((new["cpu_s"] - old["cpu_s"]) / span, 4)
                for new, old in zip(self.coordinators, before.coordinators, strict=True)
            ],
            "coordinator_mb": [round(one["rss_mb"], 1) for one in self.coordinators],
            "real_cpu": [
                round((new["cpu_s"] - old["cpu_s"]) / span, 4)
                for new, old in zip(self.real, before.real, strict=True)
            ],
            "real_mb": [round(one["rss_mb"], 1) for one in self.real],
        }


def grouped(whys: Counter[str]) -> Counter[str]:
    """Without the addresses that stand in them."""
    found: Counter[str] = Counter()
    for why, count in whys.items():
        found[re.sub(r"'[^']*', \d+|\d+\.\d+\.\d+\.\d+:\d+|[(].*[)]", "", why)] += count
    return found


class InForce:
    """When a change came in force at members: they act on it or on a later one."""

    def __init__(self, change: Change, wanted: set[int], report: Report, since: dict[int, int] | int) -> None:
        """`since`: from when it is counted, monotonic nanoseconds, for all or for each."""
        self.revision, self.missing, self.took = change.revision, set[int](), {}
        for number in sorted(wanted):
            marks = report.members[number]["marks"]
            begins = since if isinstance(since, int) else since[number]
            first = next(
                (at for at, what, revision in marks
                 if what == change.mark and revision >= change.revision and at >= begins), None,
            )  # fmt: skip
            if first is None:
                self.missing.add(number)
            else:
                self.took[number] = (first - begins) / 1e9

    def figures(self) -> dict[str, Any]:
        """Seconds by quantile; how many should have it and lack it."""
        return {
            "revision": self.revision,
            "members": len(self.took) + len(self.missing),
            "missing": len(self.missing),
            **quantiles(self.took.values()),
        }


@asynccontextmanager
async def scaled(folder: Path, members: int, **words: Any) -> AsyncIterator[Scale]:
    """A fleet that is ended whatever happens."""
    words = {"real": 0, "load": Load(), "terms": {}} | words
    one = Scale(folder, members, **words)
    try:
        await one.start()
        yield one
    finally:
        await one.close()


# Phases. Each gives its row.


async def asked_for(scale: Scale, coordinator: int = 0) -> Change:
    """A change that was accepted. Raises RuntimeError."""
    change = scale.change()
    if not await change.ask(coordinator):
        raise RuntimeError(f"a change was refused: {change.why}")
    return change


async def steady(scale: Scale, seconds: float) -> dict[str, Any]:
    """Nothing happens."""
    await asyncio.sleep(seconds)
    return {"bound": "12,000 bytes/s, 4.3% of a core and 128 MB a gateway"}


async def changes(scale: Scale, seconds: float) -> dict[str, Any]:
    """As many as a day has, then 30 in 10 s."""
    found, end = [], time.monotonic() + max(seconds, 1.0)
    while time.monotonic() < end:
        change, due = await asked_for(scale, len(found) % 2), time.monotonic() + PERIOD_S
        found.append(await scale.in_force(change, scale.places, 14.0))
        if due >= end:
            break
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    began, burst = time.monotonic(), [scale.change() for _ in range(30)]

    async def one(place: int, change: Change) -> bool:
        await asyncio.sleep(max(0.0, began + place / 3 - time.monotonic()))
        return await change.ask(0, 30.0)

    accepted = await asyncio.gather(*(one(place, change) for place, change in enumerate(burst)))
    took_s = time.monotonic() - began
    answers = [(change.taken_ns - change.asked_ns) / 1e9 for change in burst]
    refused, burst = accepted.count(False), [one for one in burst if one.revision]
    burst.sort(key=lambda one: one.revision)
    after = []
    if burst:
        await scale.in_force(burst[-1], scale.places, 30.0)
        report = await scale.report(min(one.asked_ns for one in burst))
        after = [InForce(one, set(scale.places), report, one.asked_ns) for one in burst]
    return {
        "bound": "in force at 99 in 100 and at the last within 14 s, each",
        "in_force": [one.figures() for one in found],
        "burst": {"accepted_by_s": round(took_s, 1), "refused": refused, "answer_s": quantiles(answers),
                  "missing": sum(len(one.missing) for one in after),
                  **quantiles(one for change in after for one in change.took.values()),
                  "worst_last": round(max((max(one.took.values()) for one in after if one.took),
                                          default=0.0), 3)},
    }  # fmt: skip


async def gone_and_back(
    scale: Scale, numbers: list[int], seconds: float, how: str
) -> tuple[InForce, InForce, float]:
    """These go at once, a change is ordered meanwhile, and they come back: in force at those that stayed,
    from the asking on, and at those that came back, each from its return on; seconds until all had it."""
    others = set(scale.places) - set(numbers)
    await scale.act(how, numbers)
    change = await asked_for(scale)
    stayed = await scale.in_force(change, others, 14.0)
    await asyncio.sleep(seconds)
    back = time.monotonic_ns()
    await scale.act("start", numbers)
    await scale.in_force(change, numbers, 30.0, back)
    report = await scale.report(back)
    # Each counts from when it ran again; all together from when they were told to.
    starts = {
        number: next((at for at, what, _ in report.members[number]["marks"] if what == "start"), back)
        for number in numbers
    }
    returned = InForce(change, set(numbers), report, starts)
    last = InForce(change, set(numbers), report, back)
    return stayed, returned, max(last.took.values(), default=0.0)


async def restart(scale: Scale, seconds: float) -> dict[str, Any]:
    """A tenth stops and starts at once, as in a release."""
    numbers = [one for place, one in enumerate(scale.places) if place % 10 == place // 10 % 10]
    stayed, returned, last = await gone_and_back(scale, numbers, 0.0, "stop")
    return {
        "bound": "14 s from its return on, each",
        "members_gone": len(numbers),
        "in_force": [stayed.figures()],
        "from_return": returned.figures(),
        "all_back_s": round(last, 3),
    }


async def zone(scale: Scale, seconds: float) -> dict[str, Any]:
    """A zone is killed at once and comes back together."""
    numbers = [one for one in scale.places if one % ZONES == ZONES - 1]
    stayed, returned, last = await gone_and_back(scale, numbers, seconds, "crash")
    return {
        "bound": "14 s at the others; 14 s from its return on, each",
        "members_gone": len(numbers),
        "in_force": [stayed.figures()],
        "from_return": returned.figures(),
        "all_back_s": round(last, 3),
    }


async def region(scale: Scale, seconds: float) -> dict[str, Any]:
    """The last region and the others hear nothing of each other, for a time."""
    cut = REGIONS - 1
    inside = {one for one in scale.places if region_of(one) == cut}
    outside = set(scale.places) - inside
    await scale.links([cut])
    await scale.act("cut", regions=[cut])
    change = await asked_for(scale)
    stayed = await scale.in_force(change, outside, 14.0)
    await asyncio.sleep(seconds)
    report = await scale.report()
    early = {one for one in inside if report.members[one]["order"] >= change.revision}
    healed = time.monotonic_ns()
    await scale.links()
    await scale.act("cut")
    returned = await scale.in_force(change, inside - early, 30.0, healed)
    return {
        "bound": "14 s outside; 14 s from the return of the region on, inside",
        "members_gone": len(inside),
        "in_force": [stayed.figures()],
        "in_force_while_cut": len(early),
        "from_return": returned.figures(),
    }


async def coordinators(scale: Scale, seconds: float) -> dict[str, Any]:
    """One, two and three of five are killed and come back on their disks."""
    found: dict[str, Any] = {"bound": "14 s with one and two lost; with three nothing changes, all serve"}
    for lost in (1, 2, 3):
        numbers = range(len(scale.ports) - lost, len(scale.ports))
        await scale.lose(*numbers)
        began = time.monotonic_ns()
        before = await scale.report(began)
        change = scale.change()
        accepted = await change.ask(0, 20.0)
        stayed = await scale.in_force(change, scale.places, 14.0) if accepted else None
        await asyncio.sleep(seconds / 3)
        report = await scale.report(began)
        fresh = sum(1 for one in report.members.values() if one["fresh"])
        await scale.bring_back(*numbers)
        back = time.monotonic_ns()
        if not accepted:  # the same request again gives no second order
            end = time.monotonic() + 30
            while not await change.ask(0, 8.0) and time.monotonic() < end:
                await asyncio.sleep(0.2)
            after = await scale.in_force(change, scale.places, 30.0, back)
        rates = report.since(before)
        found[f"lost_{lost}"] = {
            "accepted": accepted,
            "fresh_while_lost": fresh,
            "bytes_s": rates["bytes_s"],
            "coordinator_cpu": rates["coordinator_cpu"],
            **({"in_force": stayed.figures()} if stayed is not None else {}),
            **({"from_return": after.figures()} if not accepted else {}),
        }
    return found


async def all_restart(scale: Scale, seconds: float) -> dict[str, Any]:
    """Every hollow member stops and starts at once."""
    _, returned, last = await gone_and_back(scale, list(scale.places), 0.0, "stop")
    return {
        "bound": "14 s from its return on, each",
        "members_gone": len(scale.places),
        "from_return": returned.figures(),
        "all_back_s": round(last, 3),
    }


RUNS: dict[str, Callable[[Scale, float], Any]] = {
    "steady": steady, "changes": changes, "restart": restart, "zone": zone, "region": region,
    "coordinators": coordinators, "all": all_restart,
}  # fmt: skip


async def phase(scale: Scale, name: str, seconds: float, viewers: Viewers | None = None) -> dict[str, Any]:
    """Run one; its row: what it measured, and what all members did from its beginning until they have
    settled."""
    if viewers is not None:
        viewers.took.clear()
    began, load = time.monotonic_ns(), os.getloadavg()[0]
    before = await scale.report(began)
    found = await RUNS[name](scale, seconds)
    settled = await scale.settled()
    rates = (await scale.report(began)).since(before)
    service = viewers.figures() if viewers is not None else {}
    terms = msgspec.to_builtins(scale.deployment.edge.fleet)
    return {
        "phase": name,
        "members": len(scale.places),
        "real": len(scale.real),
        "shards": scale.shards,
        "titles": len(scale.deployment.titles),
        "coordinators": len(scale.ports),
        "seconds": seconds,
        "terms": {name: terms[name] for name in ("beat_ms", "probe_ms", "ledger_ms", "lease_ms")}
        | {"connect_ms": scale.deployment.edge.connect_ms},
        "load": msgspec.to_builtins(scale.load),
        "machine": {"cores": os.cpu_count(), "load_before": round(load, 1),
                    "load_after": round(os.getloadavg()[0], 1)},
        **found,
        "settled": settled,
        **rates,
        "service": service,
    }  # fmt: skip


def line_of(row: dict[str, Any]) -> str:
    """For a terminal."""
    told = [
        f"{row['phase']:12} {row['members']} members, {row['span_s']} s:"
        f" {row['bytes_s']['mean'] / 1000:.1f} kB/s (p99 {row['bytes_s']['p99'] / 1000:.1f}),"
        f" {100 * row['member_cpu_exact']:.2f}% of a core, {row['member_mb']} MB a member;"
        f" coordinators {', '.join(f'{100 * one:.0f}%' for one in row['coordinator_cpu'])},"
        f" {max(row['coordinator_mb']):.0f} MB; stall {row['stall_s']} s; load {row['machine']['load_after']}"
    ]
    for name in ("in_force", "burst", "from_return", "lost_1", "lost_2", "lost_3"):
        if name in row:
            told.append(f"             {name}: {json.dumps(row[name])}")
    if row["whys"]:
        told.append(f"             why: {json.dumps(row['whys'])}")
    for kind, counts in row["messages"].items():
        told.append(f"             {kind}: {json.dumps(counts)}")
    if row["service"]:
        told.append(f"             service: {json.dumps(row['service'])}")
    return "\n".join(told)


# A hollow member against a real one.


def counted(file: str, words: list[str]) -> None:
    """Run the real gateway program with connections that count; at SIGUSR1 it writes its counts to a file."""
    import burlmast.edge.program as program
    from burlmast.cli import main as command
    from burlmast.standin.hollow import CountedPool, CountedServer, Counts

    counts, part = Counts(), functools.partial
    changed: Any = program
    changed.Pool, changed.Server = part(CountedPool, counts), part(CountedServer, counts)

    def tell(number: int, frame: object) -> None:
        told = {"sent": counts.sent, "received": counts.received, "kinds": counts.kinds,
                "trail": counts.trail, "at": time.monotonic_ns()}  # fmt: skip
        Path(f"{file}.new").write_text(json.dumps(told))
        os.replace(f"{file}.new", file)

    signal.signal(signal.SIGUSR1, tell)
    command(words)


async def counts_of(scale: Scale, number: int) -> dict[str, Any]:
    """What a watched gateway counted at its sockets, and the relay on its links."""
    if number in scale.real_numbers:
        file = scale.folder / f"counted-{number}"
        file.unlink(missing_ok=True)
        process = scale.real[number].process
        assert process is not None
        process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(10):
            while not file.exists():
                await asyncio.sleep(0.01)
        told = json.loads(file.read_text())
    else:
        address = next(
            address_of(one.told["control"]) for place, one in enumerate(scale.hollow)
            if number in scale.numbers_of(place)
        )  # fmt: skip
        _, raw = await scale.call(address, "/v1/report", None)
        told = next(one for one in json.loads(raw)["members"] if one["number"] == number)
        _, raw = await scale.call(address, f"/v1/trail?member={number}", None)
        told |= {"trail": json.loads(raw), "at": time.monotonic_ns()}
    order = [told["trail"].get(way, []) for way in scale.ways(number)]
    return {**told, "passed": await scale.passed(number), "order": order}


async def check(
    folder: Path,
    seconds: float,
    members: int = 6,
    coordinators: int = COORDINATORS,
    terms: dict[str, float] | None = None,
    far: bool = True,
) -> dict[str, Any]:
    """A real gateway and a hollow member of the same fleet, without viewers: what each sends and hears in a
    second while nothing happens, and the kinds of its messages to each coordinator in their order, two
    changes among them. It measures for so long, and up to four times as long while they are apart: a beat
    more or less at the ends of a short span would be told as a difference."""
    words = {"real": 1, "watched": (0, 1), "counted": True, "coordinators": coordinators, "far": far}
    async with scaled(folder, members, **words, terms=terms or {}) as scale:
        if not await scale.settled():
            raise RuntimeError("the fleet does not settle")
        await scale.in_force(await asked_for(scale), scale.places, 20.0)
        await asyncio.sleep(5 * scale.deployment.edge.fleet.beat_ms / 1000)
        before = [await counts_of(scale, number) for number in (0, 1)]
        for _ in range(4):
            await asyncio.sleep(seconds)
            now = [await counts_of(scale, number) for number in (0, 1)]
            rows = [rates_of(old, new) for old, new in zip(before, now, strict=True)]
            off = apart(*rows)
            if max(map(abs, off.values())) <= WITHIN:
                break
        await scale.in_force(await asked_for(scale), scale.places, 20.0)
        orders = [(await counts_of(scale, number))["order"] for number in (0, 1)]
    return {
        "real": rows[0],
        "hollow": rows[1],
        "off": off,
        "order": {"real": orders[0], "hollow": orders[1]},
        "well": max(map(abs, off.values())) <= WITHIN and orders[0] == orders[1],
    }


def rates_of(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Of one gateway between two counts: messages by kind, bytes at its sockets, bytes at the relay."""
    span = (new["at"] - old["at"]) / 1e9
    kinds = Counter(new["kinds"])
    kinds.subtract(old["kinds"])
    messages = {
        kind: round(count / span, 2)
        for kind, count in sorted(kinds.items())
        if count and kind.startswith(("sent", "came"))
    }
    return {
        "span_s": round(span, 2),
        "messages_s": round(sum(messages.values()), 2),
        "messages": messages,
        "sent_s": round((new["sent"] - old["sent"]) / span, 1),
        "received_s": round((new["received"] - old["received"]) / span, 1),
        "relay_s": [round((a - b) / span, 1) for a, b in zip(new["passed"], old["passed"], strict=True)],
    }


def apart(real: dict[str, Any], hollow: dict[str, Any]) -> dict[str, float]:
    """By how much the hollow one is off, as a part of the real one's."""
    found = {
        "messages": hollow["messages_s"] / real["messages_s"],
        "bytes": (hollow["sent_s"] + hollow["received_s"]) / (real["sent_s"] + real["received_s"]),
        "relay": sum(hollow["relay_s"]) / sum(real["relay_s"]),
    }
    return {name: round(one - 1, 4) for name, one in found.items()}


async def run(words: argparse.Namespace) -> None:
    """All phases that are asked for."""
    began, task = time.monotonic(), asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # our processes end with us

    def say(text: str) -> None:
        print(f"[{time.monotonic() - began:6.1f} s] {text}", file=sys.stderr, flush=True)

    load = LOAD if not words.idle else Load()
    with tempfile.TemporaryDirectory(prefix="scale-", dir=words.folder) as folder:
        told = {"beat_ms": words.beat_ms, "probe_ms": words.probe_ms, "connect_ms": words.connect_ms}
        terms = {name: value for name, value in told.items() if value}
        options = {
            "real": words.real,
            "load": load,
            "say": say,
            "shards": words.shards,
            "titles": words.titles,
            "terms": terms,
        }
        async with scaled(Path(folder), words.members, **options) as scale:
            watch = asyncio.ensure_future(scale.bounded(task.cancel))
            say("waiting until all act on the same order")
            if not await scale.settled(120):
                say("they do not")
            viewers = Viewers(scale, words.rate)
            viewers.start()
            await asyncio.sleep(words.settle)
            for name in words.phases.split(","):
                say(f"phase {name}")
                row = await phase(scale, name, words.seconds, viewers)
                print(line_of(row), flush=True)
                if words.json:
                    with Path(words.json).open("a") as out:
                        out.write(json.dumps(row) + "\n")
            await viewers.close()
            watch.cancel()
    say("ended")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["run", "check"])
    parser.add_argument(
        "--members", type=int, default=30, help="Gateways of the fleet, real ones among them."
    )
    parser.add_argument(
        "--shards", type=int, default=0, help="In a catalogue; changes are of these then, not orders."
    )
    parser.add_argument("--titles", type=int, default=0, help="In the settings, beside the sample's.")
    parser.add_argument("--real", type=int, default=0, help="Of them real ones, with hosts and viewers.")
    parser.add_argument("--rate", type=float, default=5.0, help="Requests a second at each real one.")
    parser.add_argument("--phases", default=",".join(PHASES))
    parser.add_argument("--seconds", type=float, default=20.0, help="Of the waiting part of each phase.")
    parser.add_argument("--settle", type=float, default=5.0, help="Seconds before the first phase.")
    for name in ("beat", "probe", "connect"):
        text = f"edge.{'' if name == 'connect' else 'fleet.'}{name}_ms where not the default."
        parser.add_argument(f"--{name}-ms", type=float, default=0.0, help=text)
    parser.add_argument("--idle", action="store_true", help="Members have nothing to do.")
    parser.add_argument("--folder", default=None, help="Where the members' disks are put.")
    parser.add_argument("--json", default="", help="A row a phase is added to this file.")
    if sys.argv[1:2] == ["counted"]:
        counted(sys.argv[2], sys.argv[3:])
    words = parser.parse_args()
    if words.what == "run":
        try:
            asyncio.run(run(words))
        except asyncio.CancelledError:
            raise SystemExit("stopped") from None
        return
    with tempfile.TemporaryDirectory(prefix="scale-", dir=words.folder) as folder:
        found = asyncio.run(check(Path(folder), words.seconds, words.members))
    print(json.dumps(found, indent=1))
    raise SystemExit(0 if found["well"] else 1)


if __name__ == "__main__":
    main()
