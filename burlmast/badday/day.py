"""A scripted day on sockets: troubles struck as written, viewers that come whatever is answered, and the
audit."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from burlmast.api import Repeat
from burlmast.badday.town import Town
from burlmast.http1.client import Pool
from burlmast.settings.read import nanoseconds
from burlmast.settings.sheets import Deployment
from burlmast.standin.viewer import Viewers, Wish
from burlmast.world.audit import PlanRules, Rulebook, Verdict, audit
from burlmast.world.traffic import Record
from burlmast.world.troubles import Day, Trouble, edges, struck

SECOND = 1_000_000_000


def rulebook(deployment: Deployment) -> Rulebook:
    """The figures that the audit judges by."""
    rules = deployment.rules
    return Rulebook(
        tuple(
            PlanRules(
                plan.revenue,
                nanoseconds(plan.startup_target_ms),
                Repeat(plan.repeat),
                plan.repeat_group,
                nanoseconds(plan.repeat_span_ms),
                plan.floor,
                plan.seats,
            )
            for plan in deployment.plans
        ),
        deployment.ladder.earns,
        nanoseconds(rules.drain_grace_ms),
        rules.cold_share,
        nanoseconds(rules.warm_after_ms),
        rules.fall_multiple,
        nanoseconds(rules.fall_span_ms),
        rules.further_free,
        rules.further_ratio,
        nanoseconds(rules.further_span_ms),
    )


class Outcome(NamedTuple):
    """What came of a day."""

    verdict: Verdict
    records: list[Record]
    took_s: float


class Director:
    """Strikes the troubles of a day and sends its viewers."""

    TAIL_S = 3.0  # after the last arrival viewers may watch on for so long
    TRIES = 4  # times a viewer comes

    def __init__(self, town: Town, day: Day, seed: int, record: Callable[[Record], None]) -> None:
        self.town, self.day, self.seed = town, day, seed
        self.deployment = town.deployment
        self.dice = random.Random(seed)
        # A silent gateway answers no handshake either; a viewer waits for that as it does for an answer.
        self.pool = Pool(connect_s=1.0, most_idle=256)
        self.viewers = Viewers(self.pool, record)
        self.rate = self.deployment.stand_ins.a_second * day.load
        self.crowds: dict[int, Trouble] = {}
        self._hit: dict[int, list[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = asyncio.Event()
        self._count = 0

    async def play(self) -> None:
        """The whole day."""
        began = time.monotonic()
        troubles = self._spawn(self._troubles(began))
        await self._arrivals(began)
        await asyncio.wait([troubles], timeout=self.TAIL_S)
        await asyncio.sleep(max(0.0, began + self.day.lasts + self.TAIL_S - time.monotonic()))
        self._closing.set()
        # Whoever still waits for an answer waits on: it is owed one.
        longest = max(plan.abandon_ms for plan in self.deployment.plans) / 1000
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=longest + self.viewers.SLACK_S + 2)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.pool.close()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Viewers.

    async def _arrivals(self, began: float) -> None:
        due = 0.0
        while True:
            due += self.dice.expovariate(self.rate)
            if due >= self.day.lasts:
                return
            wait = began + due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            self._count += 1
            self._spawn(self._viewer(self._wish(), random.Random(self.seed * 1_000_003 + self._count)))

    def _wish(self) -> Wish:
        dice, deployment = self.dice, self.deployment
        number = dice.randrange(len(deployment.plans))
        plan = deployment.plans[number]
        # Some titles are wanted far more than others.
        weights = [1 / (place + 1) ** 0.7 for place in range(len(deployment.titles))]
        title = dice.choices(deployment.titles, weights)[0].name
        crowd_draw, crowd_title = dice.random(), dice.random()
        for crowd in self.crowds.values():
            if crowd_draw < crowd.size:
                few = deployment.titles[-max(1, int(crowd.extra)) :]
                title = few[int(crowd_title * len(few))].name
        rungs = len(deployment.ladder.rates_kb)
        top = min(plan.top, rungs - 1)
        if dice.random() < 0.3:
            top = max(plan.floor, top - 1)
        lasts = dice.uniform(*deployment.stand_ins.lasts_s)
        return Wish(
            title, plan.name, number, f"viewer {self._count}", top, lasts, nanoseconds(plan.abandon_ms)
        )

    async def _viewer(self, wish: Wish, dice: random.Random) -> None:
        left = wish.lasts
        every = self.deployment.edge.segment_ms / 1000
        for visit in range(self.TRIES):
            gateway = dice.choice(self.town.gateways)
            answer = await self.viewers.ask(gateway.number, gateway.address, wish, visit > 0)
            pause = dice.uniform(0.4, 1.4)
            if answer.status == 201:
                began = time.monotonic()
                end = await self._follow(gateway.address, answer.told, left, every)
                left -= time.monotonic() - began
                if end == "watched" or left < 1 or self._closing.is_set():
                    return
            elif answer.status == 503:
                pause = max(pause, answer.told.retry_after_ms / 1000)
            elif answer.status > 0:
                return  # aborted: this viewer does not dare to ask again
            if self._closing.is_set():
                return
            await asyncio.sleep(pause)

    async def _follow(self, address: tuple[str, int], told: object, left: float, every: float) -> str:
        watching = asyncio.ensure_future(self.viewers.follow(address, told, left, every))  # type: ignore[arg-type]
        closing = asyncio.ensure_future(self._closing.wait())
        try:
            await asyncio.wait([watching, closing], return_when=asyncio.FIRST_COMPLETED)
            return watching.result() if watching.done() else "watched"
        finally:
            watching.cancel()
            closing.cancel()

    # Troubles.

    async def _troubles(self, began: float) -> None:
        for at, place, begins in edges(self.day):
            wait = began + at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            trouble = self.day.troubles[place]
            if begins:
                await BEGINS[trouble.kind](self, place, trouble)
            elif trouble.kind in ENDS:
                await ENDS[trouble.kind](self, place, trouble)

    def _strike(self, place: int, trouble: Trouble) -> list[int]:
        # A host that is leaving is not struck by anything else.
        well = sorted(number for number, host in self.town.fleet.hosts.items() if not host.box.draining)
        self._hit[place] = struck(well, trouble.part, self.seed, place) if well else []
        return self._hit[place]

    async def crash(self, place: int, trouble: Trouble) -> None:
        for number in self._strike(place, trouble):
            self.town.fleet.crash(number)

    async def revive(self, place: int, trouble: Trouble) -> None:
        for number in self._hit[place]:
            await self.town.fleet.revive(number)

    async def mute(self, place: int, trouble: Trouble) -> None:
        for number in self._strike(place, trouble):
            self.town.fleet.ail(number, mute=True)

    async def restart_struck(self, place: int, trouble: Trouble) -> None:
        """A machine that was silent, or has aged, comes back as a new process."""
        for number in self._hit[place]:
            self.town.fleet.crash(number)
        await asyncio.sleep(0.2)
        await self.revive(place, trouble)

    async def drain(self, place: int, trouble: Trouble) -> None:
        for number in self._strike(place, trouble):
            self.town.fleet.drain(number)
            self._spawn(self._die(number, trouble.extra))

    async def _die(self, number: int, after: float) -> None:
        await asyncio.sleep(after)
        self.town.fleet.crash(number)

    async def replace(self, place: int, trouble: Trouble) -> None:
        for number in self._hit[place]:
            await self.town.fleet.replace(number)

    async def shrink_uplinks(self, place: int, trouble: Trouble) -> None:
        racks = list(range(len(self.town.fleet.racks)))
        self._hit[place] = struck(racks, trouble.part, self.seed, place)
        for rack in self._hit[place]:
            self.town.fleet.racks[rack].less = trouble.size

    async def mend_uplinks(self, place: int, trouble: Trouble) -> None:
        for rack in self._hit[place]:
            self.town.fleet.racks[rack].less = 1.0

    async def late_list(self, place: int, trouble: Trouble) -> None:
        self.town.list.delay += trouble.size

    async def timely_list(self, place: int, trouble: Trouble) -> None:
        self.town.list.delay -= trouble.size

    async def fail_list(self, place: int, trouble: Trouble) -> None:
        self.town.list.fail(True)

    async def mend_list(self, place: int, trouble: Trouble) -> None:
        self.town.list.fail(False)

    async def restart_gateways(self, place: int, trouble: Trouble) -> None:
        self._spawn(self._in_turn(place, trouble, self._restart))

    async def stall_gateways(self, place: int, trouble: Trouble) -> None:
        self._spawn(self._in_turn(place, trouble, self._stall))

    async def _in_turn(
        self, place: int, trouble: Trouble, strike: Callable[[int, float], Awaitable[None]]
    ) -> None:
        chosen = struck(range(len(self.town.gateways)), trouble.part, self.seed, place)
        for number in chosen:
            began = time.monotonic()
            await strike(number, trouble.size)
            await asyncio.sleep(max(0.0, began + trouble.lasts / len(chosen) - time.monotonic()))

    async def _restart(self, number: int, down: float) -> None:
        gateway = self.town.gateways[number]
        await gateway.kill()
        await asyncio.sleep(down)
        await gateway.start()

    async def _stall(self, number: int, seconds: float) -> None:
        gateway = self.town.gateways[number]
        gateway.send(signal.SIGSTOP, "stopped")
        try:
            await asyncio.sleep(seconds)
        finally:
            gateway.send(signal.SIGCONT, "continued")

    async def quicken(self, place: int, trouble: Trouble) -> None:
        self.rate *= trouble.size

    async def slacken(self, place: int, trouble: Trouble) -> None:
        self.rate /= trouble.size

    async def crowd(self, place: int, trouble: Trouble) -> None:
        self.crowds[place] = trouble

    async def scatter(self, place: int, trouble: Trouble) -> None:
        self.crowds.pop(place, None)


Effect = Callable[[Director, int, Trouble], Awaitable[None]]


def ailing(ailments: Callable[[Trouble], dict[str, object]]) -> Effect:
    """Makes the struck hosts ill in this way."""

    async def begin(director: Director, place: int, trouble: Trouble) -> None:
        for number in director._strike(place, trouble):
            director.town.fleet.ail(number, **ailments(trouble))

    return begin


def healing(*names: str) -> Effect:
    """Takes these ailments from them again."""

    async def end(director: Director, place: int, trouble: Trouble) -> None:
        for number in director._hit[place]:
            director.town.fleet.heal(number, *names)

    return end


BEGINS: dict[str, Effect] = {
    "crash": Director.crash,
    "silence": Director.mute,
    "standstill": Director.mute,
    "fast errors": ailing(lambda one: {"errors": one.size}),
    "full": ailing(lambda one: {"full": True}),
    "slow": ailing(lambda one: {"slow": one.size, "link": one.size}),
    "ageing": ailing(lambda one: {"ageing": one.size / one.lasts}),
    "replaced": Director.drain,
    "short links": ailing(lambda one: {"link": one.size}),
    "short uplinks": Director.shrink_uplinks,
    "neighbour": ailing(lambda one: {"neighbour": one.size, "neighbour_turn": one.extra}),
    "late reports": ailing(lambda one: {"late": one.size}),
    "late list": Director.late_list,
    "failing list": Director.fail_list,
    "restarts": Director.restart_gateways,
    "stalls": Director.stall_gateways,
    "burst": Director.quicken,
    "crowd": Director.crowd,
}
ENDS: dict[str, Effect] = {
    "crash": Director.revive,
    "silence": Director.restart_struck,
    "standstill": healing("mute"),
    "fast errors": healing("errors"),
    "full": healing("full"),
    "slow": healing("slow", "link"),
    "ageing": Director.restart_struck,
    "replaced": Director.replace,
    "short links": healing("link"),
    "short uplinks": Director.mend_uplinks,
    "neighbour": healing("neighbour", "neighbour_turn"),
    "late reports": healing("late"),
    "late list": Director.timely_list,
    "failing list": Director.mend_list,
    "burst": Director.slacken,
    "crowd": Director.scatter,
}


async def run_day(
    deployment: Deployment,
    settings: str,
    day: Day,
    seed: int,
    plant: int | None = None,
    logs: Path | None = None,
) -> Outcome:
    """Play a day and judge it. Raises OSError or NotStarted where the town cannot be started."""
    records: list[Record] = []
    options = ("--plant", str(plant)) if plant else ()
    began = time.monotonic()
    town = Town(deployment, settings, deployment.gateways, records.append, options, logs)
    try:
        await town.start()
        # Nothing goes to any host in the first span after a gateway's start (docs/design.md, mechanism 3).
        await asyncio.sleep(deployment.rules.fall_span_ms / 1000 + 0.2)
        await Director(town, day, seed, records.append).play()
    finally:
        await town.close()
    return Outcome(audit(records, rulebook(deployment)), records, time.monotonic() - began)
