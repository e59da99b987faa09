"""Drains and releases, measured.

python benchmarks/release.py model        releases at size in virtual time, beside all at once and fixed waves
python benchmarks/release.py watch        false alarms and misses of the watch, by requests seen
python benchmarks/release.py chaos        everything drained while desks fail, on sockets, many seeds
python benchmarks/release.py null         releases of a version that is as good, on sockets: false alarms
python benchmarks/release.py bad          viewers harmed by bad versions, on sockets
python benchmarks/release.py desks        leaves a second, time to a new lead and from halt to silence
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

import test_drains_processes as trial
import test_release_processes as releases
from works import Works, fleet_of, works

from burlmast.fleet import outs as outs_module
from burlmast.fleet.going import Consent, Going, Traveller, lets
from burlmast.fleet.keeper_shell import Keeper
from burlmast.fleet.leading import holds, taken
from burlmast.fleet.lease import Ask
from burlmast.fleet.messages import Away, Heartbeat, Inventory, ListedHost
from burlmast.fleet.orders import Book, jot, put
from burlmast.fleet.outs import Drain
from burlmast.fleet.sight import Sight
from burlmast.fleet.stamp import Stamp
from burlmast.release import steps, watching
from burlmast.release.plan import Plan, Watch
from burlmast.release.shell import Releases
from burlmast.release.steps import Release
from burlmast.release.watching import Evidence, Part, Spread, Terms
from burlmast.settings.sheets import Deployment, OutTerms
from burlmast.world.traffic import Answered, Asked

BEAT = 1_000_000_000  # of the model
MS = 1_000_000
PLAYS, RESTART, WARM, LOST = 8, 3, 5, 10  # beats: what plays goes on, a restart, until warm, a death lasts
STAMP = Stamp("b", "s", "list", 0, 0, 0)


class ModelGateway:
    """A gateway in virtual time: its way out and back, and when it dies."""

    def __init__(self, number: int) -> None:
        self.number, self.life, self.asks = number, 0, 0
        self.way = Traveller(number, Going(f"d{number}"), 30 * BEAT)
        self.consent, self.book = Consent(3), Book("f")
        self.up_at = -WARM * BEAT
        self.down_until = -1
        self.busy_until = 0
        self.heard = [0, 0, 0]
        self.tokens = [("", 0)] * 3
        self.version = 0

    def up(self, now: int) -> bool:
        return now >= self.down_until

    def serves(self, now: int) -> bool:
        return self.up(now) and not self.way.shut

    def dies(self, now: int, beats: int, version: int | None = None) -> None:
        self.down_until = now + beats * BEAT
        self.life += 1
        kept = self.way.kept
        self.way = Traveller(self.number, kept, 30 * BEAT)
        self.consent, self.up_at = Consent(3), self.down_until
        self.heard = [self.down_until] * 3
        self.version = self.version if version is None else version

    def heartbeat(self, desk: int, now: int) -> Heartbeat:
        self.asks += 1
        way, warm = self.way, now - self.up_at >= WARM * BEAT
        leave = way.leave
        wants = leave.number if leave is not None and not leave.back and way.state in ("in", "late") else 0
        self.consent.about(now, wants)
        ask = Ask(self.number, f"{self.number}-{self.life}", self.asks, 0, True, 0,
                  before=f"{self.number}-{self.life - 1}")  # fmt: skip
        kept = way.kept
        away = Away(kept.disk, way.state, way.why, wants, kept.finished, kept.was_out, 0, True, warm)
        return Heartbeat(ask, "", STAMP, "in force", "", self.book.at, 0, True, 0.0, away=away,
                     wants=(0, wants), echo=self.tokens[desk])  # fmt: skip

    def reply(self, desk: int, asked: int, now: int, book: Book, yes: bool, token: tuple[str, int],
                wants: int) -> None:  # fmt: skip
        self.heard[desk], self.tokens[desk] = asked, token
        self.consent.answered(desk, asked, wants, yes)
        if book.at > self.book.at:
            self.book = book
            self.way.hear(now, book.outs)

    def travel(self, now: int) -> None:
        before = self.way.state
        majority = sorted(self.heard, reverse=True)[1]
        wants = self.way.leave.number if self.way.leave is not None else 0
        consent = self.consent.what == wants and self.consent.given(now, 2 * BEAT)
        warm = now - self.up_at >= WARM * BEAT
        self.way.look(now, consent, now < self.busy_until, warm, majority)
        if self.way.state == "draining" and before != "draining":
            self.busy_until = now + PLAYS * BEAT
        if self.way.state == "finishing":
            self.way.take(now, "kept")


class ModelDesk:
    """What `Keeper` and `Releases` need of a desk, in virtual time."""

    def __init__(self, number: int, deployment: Deployment, clock: Callable[[], int]) -> None:
        self.number, self.deployment, self.beat_s = number, deployment, 1.0
        self.clocks = SimpleNamespace(steady=clock, wall=clock)
        self.sight = Sight(f"desk{number}", 8 * BEAT)
        self.store = SimpleNamespace(settings=lambda name: None, keep_look=lambda number, body: None)
        self.mingling = None
        self.learned = Book("f", deployment.gateways)
        keeper: Any = Keeper(self, lambda headers: None, Releases(self))  # type: ignore[arg-type]
        self.keeper = keeper
        self.up_until = 1 << 62


class Model:
    """A fleet of gateways, hosts and three desks."""

    def __init__(self, gateways: int, hosts: int, loss: float, dying: float, load: float, seed: int) -> None:
        """`dying` is the chance in a beat that a gateway or host dies; `load` what part of all links is
        asked for."""
        self.dice, self.loss, self.dying, self.load, self.now = random.Random(seed), loss, dying, load, 0
        cells = max(12, hosts // 2)
        may = (max(1, gateways // 10), max(1, hosts // 10))
        found = fleet_of(gateways, hosts=hosts, rules__warm_after_ms=WARM * 1000.0)
        fleet = msgspec.structs.replace(found.fleet, cells=cells, racks=max(3, hosts // 10),
                                        uplink_kb=0.9 * 10 * found.fleet.link_kb)  # fmt: skip
        titles = tuple(
            msgspec.structs.replace(one, home=one.home % cells, copies=min(one.copies, cells))
            for one in found.titles
        )
        limits = OutTerms(gateways=may[0], hosts=may[1], spare=0.0, restart_ms=30_000.0)
        edge = msgspec.structs.replace(
            found.edge, fleet=msgspec.structs.replace(found.edge.fleet, beat_ms=1000.0, out=limits)
        )
        self.deployment = msgspec.structs.replace(found, fleet=fleet, titles=titles, edge=edge)
        self.may = may
        self.gateways = [ModelGateway(n) for n in range(gateways)]
        self.desks = [ModelDesk(n, self.deployment, lambda: self.now) for n in range(3)]
        self.book = Book("f", gateways)
        self.rows = {h: ListedHost(h, h % 2, h % cells, "ready", 1.0, 0, f"h:{1 + h}") for h in range(hosts)}
        self.back_at: dict[int, int] = {}  # hosts that are down: when they are up again
        self.since: dict[int, int] = {}  # hosts that started late: when
        self.draining: dict[int, int] = {}
        self.lists = 0
        self.served: list[float] = []
        self.most = [0, 0]
        self.leaves = [0, 0]
        self.words = self.bytes = 0
        self.ran: set[tuple[int, str, int]] = set()
        self._listed()

    def _listed(self) -> None:
        self.lists += 1
        rows = tuple(self.rows[h] for h in sorted(self.rows))
        for desk in self.desks:
            desk.sight.listed(self.now, Inventory("list", rows))

    # The register: a change reaches a majority, or is tried again at the next look.

    def change(self, desk: ModelDesk, change: Callable[[Book], Book]) -> Book | None:
        others = [self.dice.random() >= 1 - (1 - self.loss) ** 4 for _ in range(2)]
        self.words += 8
        if not any(others):
            return None
        self.book = change(self.book)
        desk.learned = self.book
        for one in self.desks:
            if self.dice.random() >= self.loss:
                one.learned = self.book
        return self.book

    def lead(self, desk: ModelDesk) -> None:
        keeper, now = desk.keeper, self.now
        what = keeper.leading.look(now, desk.learned.lead, keeper._work(desk.learned))
        if what == "take":
            seen = desk.learned.lead
            book = self.change(
                desk, lambda book: jot(book, lead=taken(book.lead, seen, desk.number) or book.lead)
            )
            if book is not None:
                keeper.leading.took(now, book.lead)
        if not keeper.leads:
            return
        for host in keeper.mark(desk.learned):
            playing = self.draining.get(host, now) + PLAYS * BEAT > now
            desk.sight.plays[host] = int(playing and host not in self.back_at)
        term = keeper.leading.term
        keeper.more.see(now, desk.learned, *keeper.view(desk.learned))

        def step(book: Book) -> Book:
            if not holds(book.lead, desk.number, term):
                return book
            after = keeper.advanced(book)
            beat = msgspec.structs.replace(book.lead, beat=book.lead.beat + 1)
            if after is book:
                return jot(book, lead=beat) if what == "renew" else book
            return msgspec.structs.replace(after, lead=beat)

        if step(desk.learned) is not desk.learned:
            book = self.change(desk, step)
            if book is not None:
                keeper.leading.said(now)
                keeper.more.stepped(book)
        for leave, _ in outs_module.to_restart(desk.learned.outs):

            def begin(book: Book, leave: Any = leave) -> Book:
                if not any(one == leave for one in book.outs.leaves):
                    return book
                return put(book, outs=outs_module.begun(book.outs, leave, f"{desk.number}, {term}"))

            book = self.change(desk, begin)
            key = leave.number, leave.kind, leave.subject
            if book is not None and key not in self.ran:
                self.ran.add(key)
                if leave.kind == "gateway":
                    self.gateways[leave.subject].dies(now, RESTART, version=1)
                else:
                    self._down(leave.subject, RESTART)

    def _down(self, host: int, beats: int) -> None:
        self.back_at[host] = self.now + beats * BEAT
        self.rows[host] = msgspec.structs.replace(self.rows[host], standing="gone")
        self._listed()

    # Time.

    def tick(self) -> None:
        """A quarter of a beat."""
        self.now += BEAT // 4
        quarter = self.now // (BEAT // 4)
        if quarter % 4 == 0:
            self._die()
        for one in self.gateways:
            if not one.up(self.now):
                continue
            if (quarter + one.number) % 4 == 0:
                self._speak(one)
            one.travel(self.now)
        for desk in self.desks:
            if (quarter + desk.number) % 2 == 0 and self.now < desk.up_until:
                self.lead(desk)
        self._hosts()
        self._measure()

    def _die(self) -> None:
        for one in self.gateways:
            if one.up(self.now) and self.dice.random() < self.dying:
                one.dies(self.now, LOST)
        for host in list(self.rows):
            if host not in self.back_at and self.dice.random() < self.dying:
                self._down(host, LOST)

    def _speak(self, one: ModelGateway) -> None:
        for desk in self.desks:
            heartbeat = one.heartbeat(desk.number, self.now)
            self.words += 1
            self.bytes += 400
            if self.dice.random() < self.loss or self.now >= desk.up_until:
                continue
            desk.sight.hear(self.now, heartbeat)
            if self.dice.random() < self.loss:
                continue
            self.words += 1
            book = desk.learned
            yes = lets(book.outs, one.number, heartbeat.away.disk, heartbeat.wants[1])
            self.bytes += 120
            one.reply(
                desk.number, self.now, self.now, book, yes, desk.sight.token(self.now), heartbeat.wants[1]
            )

    def _hosts(self) -> None:
        moved = False
        for host, at in list(self.back_at.items()):
            if self.now >= at:
                del self.back_at[host]
                self.since[host] = self.now
                self.rows[host] = msgspec.structs.replace(self.rows[host], standing="ready", started=self.now)
                moved = True
        told = outs_module.to_be_told(self.book.outs.leaves, {h: {r.standing} for h, r in self.rows.items()})
        for host, how in told.items():
            self.rows[host] = msgspec.structs.replace(self.rows[host], standing=how)
            moved = True
        under = {one.subject for one in self.book.outs.leaves if one.kind == "host" and not one.back}
        self.draining = {host: self.draining.get(host, self.now) for host in under}
        if moved:
            self._listed()

    def _measure(self) -> None:
        out = [
            sum(1 for one in self.gateways if one.way.shut or (one.way.restarted and not one.up(self.now)))
        ]
        out.append(sum(1 for host in self.rows if host in self.draining))
        self.most = [max(a, b) for a, b in zip(self.most, out, strict=True)]
        self.served.append(self.service())

    def service(self) -> float:
        """The part of what is asked that is served: a viewer tries three gateways, and the links of warm
        hosts carry it, those of cold ones their cold share."""
        serving = sum(one.serves(self.now) for one in self.gateways) / len(self.gateways)
        link, racks = 1.0, dict[int, float]()
        for host, row in self.rows.items():
            if host in self.back_at or row.standing != "ready":
                continue
            cold = self.now - self.since.get(host, -WARM * BEAT) < WARM * BEAT
            rack = row.cell % self.deployment.fleet.racks
            racks[rack] = racks.get(rack, 0.0) + link * (self.deployment.rules.cold_share if cold else 1.0)
        # What plays at a host that drains goes on there, until it is over.
        playing = sum(max(0.0, 1 - (self.now - at) / (PLAYS * BEAT)) for at in self.draining.values())
        room = sum(racks.values()) + playing
        asked = self.load * len(self.rows)
        return (1 - (1 - serving) ** 3) * min(1.0, room / asked)

    def over(self) -> bool:
        releases = steps.all_of(self.book)
        return all(one.over for one in releases) and all(one.state == "over" for one in self.book.outs.drains)


def agreed(model: Model) -> None:
    """A build to all gateways, and all hosts replaced, by the fleet's own steps."""
    plan = Plan("b", command=("r", "{gateway}"), command_back=("r", "{gateway}"), plays_s=2.0 * PLAYS,
                watch=Watch(canary_s=10.0, wave_s=5.0, least=0), may_lag=model.may[0] // 4)  # fmt: skip
    book = steps.start(model.book, Release(0, "r", plan))
    hosts = tuple(sorted(model.rows))
    drain = Drain(
        book.at + 1, "h", "host", hosts, 2000.0 * PLAYS, "go on", "restart", command=("r", "{host}")
    )
    model.book = put(book, outs=outs_module.ask(book.outs, drain))
    for desk in model.desks:
        desk.learned = model.book


def run_agreed(model: Model, most: int) -> float:
    """Beats that it took."""
    for _ in range(40):
        model.tick()
    model.served.clear()
    model.most = [0, 0]
    agreed(model)
    began = model.now
    while not model.over() and model.now - began < most * BEAT:
        model.tick()
        _resume(model)
    return (model.now - began) / BEAT


def _resume(model: Model) -> None:
    """An operator who says that what was halted for the dead goes on."""
    book = model.book
    for one in steps.all_of(book):
        if one.state == "halted":
            say = steps.Say("", model.now, 0)
            book = steps.take(book, one.number, "operator resumes", say)
    for drain in book.outs.drains:
        if drain.state == "halted":
            book = put(book, outs=outs_module.resumed(book.outs, drain.number))
    model.book = book


def run_baseline(model: Model, waves: int, most: int) -> float:
    """Restart everything in so many equal waves by the clock, whoever is lost."""
    for _ in range(40):
        model.tick()
    model.served.clear()
    model.most = [0, 0]
    began, step = model.now, (PLAYS + RESTART + WARM) * BEAT
    todo: list[list[Any]] = [list(model.gateways), sorted(model.rows)]
    sizes = [-(-len(one) // waves) for one in todo]
    due = model.now
    while (any(todo) or model.now < due) and model.now - began < most * BEAT:
        if model.now >= due:
            for kind in (0, 1):
                group, todo[kind] = todo[kind][: sizes[kind]], todo[kind][sizes[kind] :]
                for one in group:
                    if kind == 0:
                        one.dies(model.now, RESTART)
                    elif one not in model.back_at:
                        model._down(one, RESTART)
                model.most[kind] = max(model.most[kind], len(group))
            due = model.now + step
        model.tick()
    return (model.now - began) / BEAT


HEAD = "gateways hosts  lost dying   load how           beats  service  beside none  out at most (may be)"


def model(words: argparse.Namespace) -> None:
    """The table; words are those of a member and beat."""
    print(HEAD)
    sizes = [(8, 12), (50, 40), (200, 130), (400, 260)]
    for gateways, hosts in sizes[: words.sizes]:
        for loss, dying in ((0.0, 0.0), (0.2, 0.0005)):
            for load in (0.5, 0.8):
                none = Model(gateways, hosts, loss, dying, load, 7)
                for _ in range(400):
                    none.tick()
                calm = statistics.mean(none.served[40:])
                for how in ("agreed", "all at once", "fixed waves"):
                    one = Model(gateways, hosts, loss, dying, load, 7)
                    if how == "agreed":
                        took = run_agreed(one, 3000)
                    else:
                        took = run_baseline(one, 1 if how == "all at once" else 10, 3000)
                    served = statistics.mean(one.served)
                    rate = one.words / (gateways + 3) / (one.now / BEAT)
                    out = f"{one.most[0]} ({one.may[0]}), {one.most[1]} ({one.may[1]})"
                    told = (
                        f"{gateways:8} {hosts:5}  {loss:4.1f} {dying:.4f}  {load:.1f}  {how:12} {took:7.0f}"
                    )
                    print(f"{told}  {served:.3f}  {served - calm:+.3f}  {out}  {rate:.1f}", flush=True)


def events(dice: random.Random, rate: float, asked: int, burst: float) -> int:
    """Bad events among so many requests; with `burst` they come in clumps of that mean size."""
    found = 0
    for _ in range(asked):
        if dice.random() < rate / burst:
            found += 1
            while dice.random() < 1 - 1 / burst:
                found += 1
    return min(asked, found)


def watched(
    seed: int,
    new: int,
    old: int,
    each: int,
    base: float,
    worse: float,
    looks: int,
    burst: float,
    terms: Terms,
) -> int:
    """The look at which harm is called, 0 for never: `new` and `old` gateways with `each` requests a look."""
    dice = random.Random(seed)
    evidence, spread = Evidence(), Spread()
    for look in range(1, looks + 1):
        parts = []
        for n in range(new + old):
            rate = min(1.0, base * (worse if n < new else 1.0))
            counts = {"asked": each, "rejected": events(dice, rate, each, burst)}
            parts.append(Part(n < new, counts))
        evidence = watching.look(evidence, parts, spread.by_measure(), terms)
        spread.look({str(n): part.counts for n, part in enumerate(parts) if not part.new})
        if watching.verdict(evidence, terms):
            return look
    return 0


def watch(words: argparse.Namespace) -> None:
    """False alarms and misses by requests seen; 200 watches a row."""
    terms = Terms(2.0, 0.02, 0.1, ("rejected",))
    print("new old  base  burst  asked by the new  false alarms  missed at 2 times  at 4 times  harmed")
    for new, old in ((1, 7), (1, 3), (20, 180)):
        for base, burst in ((0.01, 1.0), (0.05, 1.0), (0.05, 4.0)):
            for looks in (10, 60):
                each = 10
                runs = range(200)
                args = (new, old, each, base)
                null = sum(1 for s in runs if watched(s, *args, 1.0, looks, burst, terms))
                two = [watched(s, *args, 2.0, looks, burst, terms) for s in runs]
                four = [watched(s, *args, 4.0, looks, burst, terms) for s in runs]
                extra = [(one or looks) * each * new * base * 3 for one in four]
                told = (
                    f"{new:3} {old:3}  {base:.2f}  {burst:4.1f}  {looks * each * new:10}  {null / 200:18.3f}"
                )
                missed = f"{two.count(0) / 200:16.3f}  {four.count(0) / 200:14.3f}"
                print(f"{told}  {missed}  {statistics.median(extra):10.1f}", flush=True)


# On sockets, with the tests' own works.


def chaos(words: argparse.Namespace) -> None:
    """Everything drained while desks fail; a seed a line."""
    for seed in range(1, words.seeds + 1):
        with tempfile.TemporaryDirectory() as folder:
            began = time.monotonic()
            trial.test_everything_is_drained_in_waves_while_desks_fail(Path(folder), seed)
            print(f"seed {seed}: held, {time.monotonic() - began:.1f} s", flush=True)


def null(words: argparse.Namespace) -> None:
    """Releases of versions that differ in nothing that matters, while a tenth of all set-ups fail."""

    async def run(folder: Path) -> None:
        deployment = trial.limited(fleet_of(6, hosts=12), gateways=4)
        async with works(folder, deployment, 1) as here:
            for host in here.fleet.hosts:
                here.fleet.ail(host, errors=0.1)
            watch = trial.Watch(here, 0.02)
            ended, took = [], []
            for number in range(words.seeds):
                began = time.monotonic()
                terms = {"canary_s": 2.0, "wave_s": 1.0, "least": 60, "longest": 30.0}
                await releases.started(here, releases.plan(here, here.version(), watch=terms))
                found = await releases.until_state(here, "done", "halted", "given up", within=90.0)
                if found.state != "done":
                    print(f"release {number}: {found.log}")
                    await releases.until_state(here, "given up", within=90.0)
                ended.append(found.state)
                took.append(time.monotonic() - began)
            await watch.stop()
            done = ended.count("done")
            print(f"{len(ended)} sound versions: {done} done, {len(ended) - done} halted; "
                  f"{statistics.median(took):.1f} s each")  # fmt: skip

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder)))


BAD = {
    6: "three in five set-ups fail",
    7: "a second late",
    8: "four in five fail over 12 a second",
    9: "three in five fail after 3 s",
}  # fmt: skip


def bad(words: argparse.Namespace) -> None:
    """Viewers that were not served by those on a bad version, beside the same span before it."""

    async def run(folder: Path, plant: int) -> tuple[int, int, float]:
        deployment = trial.limited(fleet_of(6, hosts=12), gateways=4)
        async with works(folder, deployment, 1, gateways=False) as here:
            for one in here.gateways:
                one.extra = ["--fleet-plant", str(plant)]
            await asyncio.gather(*(one.start() for one in here.gateways))
            await here.ready(*range(6))
            watch = trial.Watch(here, 0.02)
            terms = releases.WATCH | {"canary_s": 6.0, "wave_s": 2.0, "least": 40}
            began = time.monotonic()
            await releases.started(here, releases.plan(here, here.version(), watch=terms))
            found = await releases.until_state(here, "given up", "done", within=60.0)
            took = time.monotonic() - began
            await watch.stop()
            asked = {one.request: one.gateway for one in here.records if type(one) is Asked}
            lost = [one for one in here.records if type(one) is Answered and one.status != 201]
            harmed = sum(1 for one in lost if asked[one.request] in found.touched)
            return harmed, len(found.touched), took

    for plant, what in BAD.items():
        found = []
        for _ in range(words.seeds):
            with tempfile.TemporaryDirectory() as folder:
                found.append(asyncio.run(run(Path(folder), plant)))
        harmed = [one[0] for one in found]
        saw, back = max(one[1] for one in found), statistics.median(one[2] for one in found)
        told = f"{what:36} harmed {statistics.median(harmed):5.1f} (worst {max(harmed)})"
        print(f"{told}, gateways that saw it {saw}, back after {back:.1f} s", flush=True)


def desks(words: argparse.Namespace) -> None:
    """Control figures at a beat of 200 ms, three desks."""

    async def run(folder: Path) -> None:
        deployment = trial.limited(fleet_of(8, hosts=12), gateways=8, plays_ms=200.0)
        async with works(folder, deployment, 3) as here:
            began = time.monotonic()
            await here.operate("drain", "gateway", *map(str, range(8)), "--then", "back")

            async def over(count: int = 1) -> bool:
                return [one.state for one in await trial.drains(here)] == ["over"] * count

            await here.until(over)
            print(f"8 leaves, out and back: {time.monotonic() - began:.2f} s")
            leads = []
            await here.operate("drain", "gateway", "0")
            for _ in range(words.seeds):
                one = await releases.leader(here)
                term = (await releases.book(here)).lead.term
                await here.desks[one].kill()
                began = time.monotonic()

                async def another(term: int = term) -> bool:
                    return (await releases.book(here)).lead.term > term

                await here.until(another)
                leads.append((time.monotonic() - began) / 0.2)
                await here.desks[one].start()
            print(f"a new lead after a kill: {statistics.median(leads):.1f} beats (most {max(leads):.1f})")
            silences = []
            for number in range(words.seeds):
                target = str(1 + number % 7)
                await here.operate("drain", "gateway", target)
                drain = (await trial.drains(here))[-1].number
                await here.operate("drain", "halt", str(drain))
                halted, last = time.monotonic(), 0.0
                while time.monotonic() - halted < 2.0:
                    if await trial.way(here, int(target)) == "in":
                        await asyncio.sleep(0.01)
                        continue
                    last = last or time.monotonic() - halted
                    break
                silences.append(last / 0.2)
                await here.operate("drain", "back", str(drain))
                await here.until(lambda target=target: settled(here, int(target)))
            print(f"last to begin after a halt was answered: {max(silences):.2f} beats (0: none began)")

    async def settled(here: Works, number: int) -> bool:
        return await trial.way(here, number) == "in" and not any(
            one.state == "back" for one in await trial.drains(here)
        )

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    runs: dict[str, Callable[[argparse.Namespace], None]] = {
        "model": model,
        "watch": watch,
        "chaos": chaos,
        "null": null,
        "bad": bad,
        "desks": desks,
    }
    parser.add_argument("what", choices=sorted(runs))
    parser.add_argument("--sizes", type=int, default=4)
    parser.add_argument("--seeds", type=int, default=20)
    words = parser.parse_args()
    runs[words.what](words)


if __name__ == "__main__":
    main()
