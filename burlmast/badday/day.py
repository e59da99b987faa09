"""A scripted day on sockets: troubles struck as written, viewers that come whatever is answered, and the
audit."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from burlmast.badday.desks import Quarters
from burlmast.badday.town import Town
from burlmast.http1.client import Pool, Whole
from burlmast.http1.messages import split_address
from burlmast.settings.read import nanoseconds
from burlmast.settings.scenes import market, rulebook, tariffs
from burlmast.settings.sheets import Deployment
from burlmast.standin.relay import CUT, DEAF, WELL, State
from burlmast.standin.viewer import Viewers, Wish
from burlmast.world.audit import Verdict, audit
from burlmast.world.capacity import changes
from burlmast.world.crowd import Guest
from burlmast.world.traffic import Record
from burlmast.world.troubles import Day, Trouble, edges, guests, struck
from burlmast.world.visitor import Tally, Visitor, tally

SECOND = 1_000_000_000
DESKS = 3  # of a day of a fleet
HEARD = {503: "rejected", 0: "unheard", -1: "lost"}  # what other statuses are is `aborted`


async def until(due: float) -> None:
    """Sleep until then, seconds of the monotonic clock."""
    await asyncio.sleep(max(0.0, due - time.monotonic()))


class Outcome(NamedTuple):
    """What came of a day."""

    verdict: Verdict
    players: Tally
    records: list[Record]
    took_s: float


class Director:
    """Strikes the troubles of a day and sends its viewers."""

    TAIL_S = 10.0  # beyond what they want to see, viewers that came last may wait and stall for so long

    def __init__(self, town: Town, day: Day, seed: int, record: Callable[[Record], None]) -> None:
        self.town, self.day, self.seed = town, day, seed
        self.deployment = town.deployment
        # A silent gateway answers no handshake either; a viewer waits for that as it does for an answer.
        self.pool = Pool(connect_s=1.0, most_idle=256)
        self.viewers = Viewers(self.pool, record)
        self.tariffs = tariffs(self.deployment)
        self.visitors: list[Visitor] = []
        self._hit: dict[int, list[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._watching: set[asyncio.Task[None]] = set()
        self._ends = 0.0

    async def play(self) -> None:
        """The whole day, until every viewer has seen all that it wanted or has left."""
        began = time.monotonic()
        self._ends = began + self.day.lasts
        coming = guests(self.day, market(self.deployment), self.seed)
        script = [self._spawn(self._troubles(began)), self._spawn(self._capacity(began))]
        await self._arrivals(began, coming)
        await until(self._ends)
        # Whoever still waits for an answer waits on: it is owed one.
        longest = max((guest.habits.wants for guest in coming), default=0) / SECOND
        if self._watching:
            await asyncio.wait(self._watching, timeout=longest + self.TAIL_S)
        await asyncio.wait(script, timeout=self.TAIL_S)
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

    async def _arrivals(self, began: float, coming: Sequence[Guest]) -> None:
        for guest in coming:
            await until(began + guest.at / SECOND)
            tariff = self.tariffs[guest.plan]
            visitor = Visitor(guest, self.day.viewers, tariff, time.monotonic_ns())
            self.visitors.append(visitor)
            task = self._spawn(self._viewer(visitor))
            self._watching.add(task)
            task.add_done_callback(self._watching.discard)

    def _wish(self, visitor: Visitor) -> Wish:
        guest = visitor.guest
        plan, title = self.deployment.plans[guest.plan], self.deployment.titles[guest.title].name
        # It plays until it leaves: stalls make that later than what it wants to see.
        patience = nanoseconds(plan.abandon_ms)
        return Wish(title, plan.name, guest.plan, f"viewer {guest.number}", guest.top, 0.0, patience)

    async def _viewer(self, visitor: Visitor) -> None:
        every = self.deployment.stand_ins.deliver_every_ms / 1000
        while (number := visitor.asks(time.monotonic_ns(), range(len(self.town.gateways)))) is not None:
            gateway = self.town.gateways[number]
            wish = self._wish(visitor)
            answer = await self.viewers.ask(gateway.number, gateway.address, wish, visitor.visits > 1)
            now, advice = time.monotonic_ns(), answer.told.retry_after_ms * 1_000_000
            if answer.status == 201:
                ending = await self.viewers.follow(gateway.address, answer.told, visitor, every)
                comes = visitor.happen(time.monotonic_ns(), ending)
            else:
                comes = visitor.happen(now, HEARD.get(answer.status, "aborted"), advice)
            if comes is None or time.monotonic() >= self._ends:
                return
            await asyncio.sleep(comes.after / SECOND)

    # Troubles.

    async def _troubles(self, began: float) -> None:
        for at, place, begins in edges(self.day):
            await until(began + at)
            trouble = self.day.troubles[place]
            effect = (BEGINS if begins else ENDS).get(trouble.kind)
            if effect is not None:
                await effect(self, place, trouble)

    async def _capacity(self, began: float) -> None:
        fleet = self.town.fleet
        for change in changes(self.day.capacity, len(fleet.racks), len(fleet.hosts), self.seed):
            await until(began + change.at)
            fleet.courses.gives(change)

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

    # The fleet's.

    @property
    def _quarters(self) -> Quarters:
        assert self.town.quarters is not None, "a day of a fleet has desks"
        return self.town.quarters

    async def order(self, place: int, trouble: Trouble) -> None:
        self._spawn(self._quarters.order(trouble.size >= 2, trouble.extra))

    async def kill_desks(self, place: int, trouble: Trouble) -> None:
        self._hit[place] = struck(range(len(self._quarters.desks)), trouble.part, self.seed, place)
        for number in self._hit[place]:
            await self._quarters.desks[number].kill()

    async def start_desks(self, place: int, trouble: Trouble) -> None:
        for number in self._hit[place]:
            await self._quarters.desks[number].start()

    async def restart_all(self, place: int, trouble: Trouble) -> None:
        self._spawn(self._restart_all(trouble.size))

    async def _restart_all(self, down: float) -> None:
        everybody = [*self.town.gateways, *self._quarters.desks]
        await asyncio.gather(*(one.kill() for one in everybody))
        await asyncio.sleep(down)
        await asyncio.gather(*(one.start() for one in everybody))

    async def heal_words(self, place: int, trouble: Trouble) -> None:
        self._quarters.put(self._hit[place], WELL)

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


def linking(state: Callable[[Trouble], State]) -> Effect:
    """Changes the links of the struck gateways to their desks."""

    async def begin(director: Director, place: int, trouble: Trouble) -> None:
        chosen = struck(range(len(director.town.gateways)), trouble.part, director.seed, place)
        director._hit[place] = chosen
        director._quarters.put(chosen, state(trouble))

    return begin


BEGINS: dict[str, Effect] = {
    "cut off": linking(lambda one: CUT),
    "one way": linking(lambda one: DEAF),
    "late words": linking(lambda one: State(delay_s=one.size)),
    "desk killed": Director.kill_desks,
    "all restart": Director.restart_all,
    "new version": Director.order,
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
}
ENDS: dict[str, Effect] = {
    "cut off": Director.heal_words,
    "one way": Director.heal_words,
    "late words": Director.heal_words,
    "desk killed": Director.start_desks,
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
}


async def run_day(
    deployment: Deployment,
    settings: str,
    day: Day,
    seed: int,
    plant: int | None = None,
    logs: Path | None = None,
    programme: bytes | None = None,
) -> Outcome:
    """Play a day and judge it; with a programme, gateways stitch its notices. Raises OSError or NotStarted
    where the town cannot be started, Untaken where a gateway does not take the programme."""
    if programme is None and not day.of_fleet:
        return await _run_day(deployment, settings, day, seed, plant, logs)
    with tempfile.TemporaryDirectory(prefix="burlmast-") as state:
        return await _run_day(deployment, settings, day, seed, plant, logs, state, programme or b"")


class Untaken(Exception):
    """A gateway does not take the programme."""


async def _state(town: Town, programme: bytes) -> None:
    pool, headers = Pool(), ((b"content-type", b"application/json"),)
    try:
        for one in town.gateways:
            status, _, told = await Whole.of(
                pool, split_address(one.operators), b"PUT", b"/v1/programme", headers, programme
            )
            if status != 200:
                raise Untaken(told.decode("utf-8", "replace"))
    finally:
        pool.close()


async def _run_day(
    deployment: Deployment,
    settings: str,
    day: Day,
    seed: int,
    plant: int | None,
    logs: Path | None,
    state: str = "",
    programme: bytes = b"",
) -> Outcome:
    records: list[Record] = []
    planted = ("--plant", str(plant)) if plant else ()
    options = planted + (("--state", state) if state else ())
    began = time.monotonic()
    quarters = Quarters(deployment, settings, Path(state), DESKS) if day.of_fleet else None
    town = Town(deployment, settings, deployment.gateways, records.append, options, logs, day.noise, quarters)
    try:
        await town.start()
        if programme:
            await _state(town, programme)
        # Nothing goes to any host in the first span after a gateway's start (docs/design.md, mechanism 3).
        await asyncio.sleep(deployment.rules.fall_span_ms / 1000 + 0.2)
        director = Director(town, day, seed, records.append)
        await director.play()
    finally:
        await town.close()
    players = tally(director.visitors)
    return Outcome(audit(records, rulebook(deployment)), players, records, time.monotonic() - began)
