"""A scripted day in virtual time: the troubles of `world.troubles`, struck on a modelled fleet."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from burlmast.model.fleet import Decides, Fleet, Ground
from burlmast.world.audit import Rulebook, Verdict, audit
from burlmast.world.traffic import Record
from burlmast.world.troubles import Day, Trouble, edges, struck

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


def quicken(script: Script, place: int, trouble: Trouble) -> None:
    """More viewers."""
    script.fleet.rate *= trouble.size


def slacken(script: Script, place: int, trouble: Trouble) -> None:
    """As many viewers as before."""
    script.fleet.rate /= trouble.size


def crowd(script: Script, place: int, trouble: Trouble) -> None:
    """A part of them wants a few titles."""
    script.fleet.crowd = trouble.size, max(1, int(trouble.extra))


def scatter(script: Script, place: int, trouble: Trouble) -> None:
    """They want what they wanted before."""
    script.fleet.crowd = None


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
    "restarts": restarts,
    "stalls": stalls,
    "burst": quicken,
    "crowd": crowd,
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
    "burst": slacken,
    "crowd": scatter,
}
NOT_MODELLED = frozenset(("failing list",))  # the modelled list is pushed and cannot be asked


class Played(NamedTuple):
    """What a day came to: the verdict from its traffic, and what players know themselves."""

    verdict: Verdict
    records: list[Record]
    watched: float  # part of what viewers wanted to see
    earned: float  # revenue by the second over that of the best rung for all they wanted
    stalls_a_viewer: float
    left_early: int  # viewers out of patience


def play(ground: Ground, day: Day, seed: int, maker: Callable[..., Decides], book: Rulebook) -> Played:
    """A whole day, and what it came to. The same words give the same records."""
    records: list[Record] = []
    fleet = Fleet(ground, maker, seed, records.append)
    fleet.begin(int(day.lasts * SECOND))
    start = fleet.until - int(day.lasts * SECOND)
    Script(fleet, day, seed).schedule(start)
    fleet.engine.run(fleet.until + int(ground.lasts[1] * SECOND) + TAIL)
    players = [viewer.player for viewer in fleet.viewers]
    return Played(
        audit(records, book),
        records,
        round(fleet.watched(), 4),
        round(fleet.earned(), 4),
        round(sum(one.stalls for one in players) / max(1, len(players)), 4),
        sum(one.state == "gone" for one in players),
    )
