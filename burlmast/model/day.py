"""A scripted day in virtual time: the troubles of `world.troubles`, struck on a modelled fleet."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from burlmast.model.fleet import Decides, Fleet, Ground
from burlmast.world.audit import Rulebook, Verdict, audit
from burlmast.world.capacity import changes
from burlmast.world.player import SHORT
from burlmast.world.traffic import Record
from burlmast.world.troubles import Day, Trouble, edges, guests, struck
from burlmast.world.visitor import Tally, tally

SECOND = 1_000_000_000
TAIL = 10 * SECOND


class Script:
    """Strikes a day's troubles."""

    def __init__(self, fleet: Fleet, day: Day, seed: int) -> None:
        self.fleet, self.day, self.seed = fleet, day, seed
        self.hit: dict[int, list[int]] = {}

    def schedule(self, start: int) -> None:
        """Set each trouble's begin and end, from the day's start."""
        for at, place, begins in edges(self.day):
            effects = BEGINS if begins else ENDS
            trouble = self.day.troubles[place]
            if trouble.kind in effects:
                self.fleet.engine.at(start + int(at * SECOND), effects[trouble.kind], self, place, trouble)
        for change in changes(self.day.capacity, len(self.fleet.racks), self.fleet.ground.hosts, self.seed):
            self.fleet.engine.at(start + int(change.at * SECOND), self.fleet.courses.gives, change)

    def hosts(self, place: int, trouble: Trouble) -> list[int]:
        """The hosts that it strikes; one that is leaving is not struck by anything else."""
        well = sorted(number for number, box in self.fleet.boxes.items() if not box.draining)
        self.hit[place] = struck(well, trouble.part, self.seed, place) if well else []
        return self.hit[place]

    def in_turn(
        self, place: int, trouble: Trouble, strike: Callable[[int], None], after: Callable[[int], None]
    ) -> None:
        """Gateways one after another, each for `size` seconds."""
        chosen = struck(range(len(self.fleet.seats)), trouble.part, self.seed, place)
        for turn, number in enumerate(chosen):
            at = self.fleet.now + int(turn * trouble.lasts / len(chosen) * SECOND)
            self.fleet.engine.at(at, strike, number)
            self.fleet.engine.at(at + int(trouble.size * SECOND), after, number)


Effect = Callable[[Script, int, Trouble], None]


def each(effect: Callable[[Fleet, int, Trouble], None]) -> Effect:
    """Strikes each host drawn."""

    def begin(script: Script, place: int, trouble: Trouble) -> None:
        for number in script.hosts(place, trouble):
            effect(script.fleet, number, trouble)

    return begin


def each_hit(effect: Callable[[Fleet, int, Trouble], None]) -> Effect:
    """Something for each host that was struck."""

    def end(script: Script, place: int, trouble: Trouble) -> None:
        for number in script.hit.get(place, ()):
            effect(script.fleet, number, trouble)

    return end


def ailing(**made: Callable[[Trouble], object]) -> Effect:
    """Makes hosts ill."""
    return each(lambda fleet, number, one: fleet.ail(number, **{name: of(one) for name, of in made.items()}))


def well(fleet: Fleet, number: int, one: Trouble) -> None:
    """The host is well again."""
    fleet.ail(number)


def leave(fleet: Fleet, number: int, one: Trouble) -> None:
    """It drains, and dies after `extra` seconds."""
    fleet.drain(number)
    fleet.engine.after(int(one.extra * SECOND), fleet.crash, number)


def replace(fleet: Fleet, number: int, one: Trouble) -> None:
    """A new machine in its place, cold; the list hears of it."""
    fresh = fleet.add_host(fleet.rows[number].cell, cold=True)
    fleet.stands(fresh, fleet.rows[fresh].standing)


def restart(fleet: Fleet, number: int, one: Trouble) -> None:
    """It comes back as a new process."""
    fleet.crash(number)
    fleet.engine.after(SECOND // 5, fleet.revive, number)


def shrink(script: Script, place: int, trouble: Trouble) -> None:
    """Uplinks give less."""
    script.hit[place] = struck(range(len(script.fleet.racks)), trouble.part, script.seed, place)
    for rack in script.hit[place]:
        script.fleet.racks[rack].less = trouble.size


def mend(script: Script, place: int, trouble: Trouble) -> None:
    """Uplinks give what they gave."""
    for rack in script.hit[place]:
        script.fleet.racks[rack].less = 1.0


def later_list(script: Script, place: int, trouble: Trouble) -> None:
    """The list is later."""
    script.fleet.list_delay += int(trouble.size * SECOND)


def timely_list(script: Script, place: int, trouble: Trouble) -> None:
    """The list is as late as before."""
    script.fleet.list_delay -= int(trouble.size * SECOND)


def fail_list(script: Script, place: int, trouble: Trouble) -> None:
    """The list answers nobody."""
    script.fleet.fail_list()


def mend_list(script: Script, place: int, trouble: Trouble) -> None:
    """It answers again."""
    script.fleet.mend_list()


def restarts(script: Script, place: int, trouble: Trouble) -> None:
    """Gateways are killed and start again."""
    fleet = script.fleet
    script.in_turn(place, trouble, fleet.kill, lambda number: fleet.seats[number].start())


def stalls(script: Script, place: int, trouble: Trouble) -> None:
    """Gateways stand still."""
    script.in_turn(place, trouble, script.fleet.stop, script.fleet.go_on)


BEGINS: dict[str, Effect] = {
    "crash": each(lambda fleet, number, one: fleet.crash(number)),
    "silence": ailing(mute=lambda one: True),
    "standstill": ailing(mute=lambda one: True),
    "fast errors": ailing(errors=lambda one: one.size),
    "full": ailing(full=lambda one: True),
    "slow": ailing(slow=lambda one: one.size, link=lambda one: one.size),
    "ageing": ailing(ageing=lambda one: one.size / one.lasts),
    "replaced": each(leave),
    "short links": ailing(link=lambda one: one.size),
    "short uplinks": shrink,
    "neighbour": ailing(neighbour=lambda one: one.size, neighbour_turn=lambda one: one.extra),
    "late reports": ailing(late=lambda one: one.size),
    "late list": later_list,
    "failing list": fail_list,
    "restarts": restarts,
    "stalls": stalls,
}
ENDS: dict[str, Effect] = {
    "crash": each_hit(lambda fleet, number, one: fleet.revive(number)),
    "silence": each_hit(restart),
    "standstill": each_hit(well),
    "fast errors": each_hit(well),
    "full": each_hit(well),
    "slow": each_hit(well),
    "ageing": each_hit(restart),
    "replaced": each_hit(replace),
    "short links": each_hit(well),
    "short uplinks": mend,
    "neighbour": each_hit(well),
    "late reports": each_hit(well),
    "late list": timely_list,
    "failing list": mend_list,
}


class Played(NamedTuple):
    """What a day came to: the verdict from its traffic, and what players know themselves."""

    verdict: Verdict
    records: list[Record]
    players: Tally
    samples: list[Sample]


class Sample(NamedTuple):
    """The fleet at one moment of the day."""

    at: float  # seconds from the day's start
    playing: tuple[int, ...]  # streams on each rung
    link_use: float  # what is asked of all hosts' links over what they give
    short: float  # part of hosts whose streams get less than their rate
    gateways: int  # that run


class Sampler:
    """Looks at a fleet every so often."""

    EVERY = SECOND

    def __init__(self, fleet: Fleet, start: int, until: int) -> None:
        self.fleet, self.start, self.until = fleet, start, until
        self.samples: list[Sample] = []
        fleet.engine.at(start, self._look)

    def _look(self) -> None:
        fleet, now = self.fleet, self.fleet.now
        rungs = [0] * len(fleet.terms.ladder.rates)
        for streams in fleet.streams.values():
            for stream in streams.values():
                if stream.flows:
                    rungs[stream.rung] += 1
        boxes = list(fleet.boxes.values())
        given = sum(box.link_now(now) for box in boxes)
        use = sum(box.asked_kb() for box in boxes) / given if given else 0.0
        short = sum(box.share(now) < SHORT for box in boxes) / max(1, len(boxes))
        runs = sum(seat.policy is not None and seat.stopped is None for seat in fleet.seats)
        at = (now - self.start) / SECOND
        self.samples.append(Sample(at, tuple(rungs), round(use, 4), round(short, 4), runs))
        if now + self.EVERY <= self.until:
            fleet.engine.after(self.EVERY, self._look)


def play(ground: Ground, day: Day, seed: int, maker: Callable[..., Decides], book: Rulebook) -> Played:
    """A whole day, and what it came to. The same words give the same records."""
    records: list[Record] = []
    fleet = Fleet(ground, maker, seed, records.append, day.viewers, day.noise)
    coming = guests(day, ground.market, seed)
    start = fleet.begin(int(day.lasts * SECOND), coming)
    Script(fleet, day, seed).schedule(start)
    sampler = Sampler(fleet, start, fleet.until)
    longest = max((guest.habits.wants for guest in coming), default=0)
    fleet.engine.run(fleet.until + longest + TAIL)
    return Played(audit(records, book), records, tally(fleet.viewers), sampler.samples)
