"""Who comes on a day: viewers with their wishes and habits, drawn from stated distributions or read from a
trace. The whole crowd is drawn before the day, so that virtual time and sockets see the same one.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgspec

from burlmast.world.player import Habits
from burlmast.world.sheet import Sheet

SECOND = 1_000_000_000


class Uniform(Sheet, frozen=True, tag="uniform"):
    """Between two figures."""

    least: float
    most: float


class Exponential(Sheet, frozen=True, tag="exponential"):
    """Many short, few long ones; never over `most`."""

    mean: float
    least: float = 0.0
    most: float = 3600.0


class Lognormal(Sheet, frozen=True, tag="lognormal"):
    """Round a median, with a long tail; never over `most`."""

    median: float
    sigma: float
    least: float = 0.0
    most: float = 3600.0


Spread = Uniform | Exponential | Lognormal


def draw(dice: random.Random, spread: Spread) -> float:
    """One figure."""
    if isinstance(spread, Uniform):
        return dice.uniform(spread.least, spread.most)
    if isinstance(spread, Exponential):
        found = dice.expovariate(1 / spread.mean)
    else:
        found = spread.median * dice.lognormvariate(0.0, spread.sigma)
    return min(spread.most, max(spread.least, found))


class TraceLine(Sheet, frozen=True):
    """One viewer of a trace: when it came, seconds, and what it wanted."""

    number: int
    at: float
    plan: str
    title: str
    lasts: float
    top: int = 255


class Viewers(Sheet, frozen=True):
    """What viewers are like; times in seconds of media or of waiting."""

    plans: dict[str, float] = msgspec.field(default_factory=dict)  # weights; all alike if empty
    skew: float = 0.7  # how much more the first titles are wanted
    small_screens: float = 0.3  # part that cannot use the plan's top rung
    lasts: Spread | None = None  # what they want to see; without it the settings' range
    start_up: Spread = Uniform(1.0, 1.0)
    resume: Spread = Uniform(2.0, 2.0)
    start_patience: Spread = Uniform(6.0, 30.0)
    stall_patience: Spread = Uniform(3.0, 12.0)
    early: float = 0.0  # part that gives up early
    early_after: Spread = Uniform(0.2, 2.0)  # which those do after so long without a picture
    pause: Spread = Uniform(0.4, 1.4)  # they come again by themselves after so long
    honour: float = 1.0  # part of returns that wait for as long as was advised
    visits: int = 4  # times that one comes at most
    trace: str = ""  # a file beside the scenario that says who comes
    came: tuple[TraceLine, ...] = ()  # its lines, filled in by whoever reads it


class Market(NamedTuple):
    """What viewers can ask for."""

    plans: Sequence[str]
    floors: Sequence[int]
    tops: Sequence[int]  # the highest rung that each plan allows
    titles: Sequence[str]
    rate: float  # requests a second
    lasts: tuple[float, float]


class Flood(NamedTuple):
    """A time in which more come, or in which a part of them wants a few titles; seconds."""

    start: float
    end: float
    times: float = 1.0
    part: float = 0.0
    few: int = 0


class Guest(NamedTuple):
    """One viewer before it comes."""

    number: int
    at: int  # nanoseconds from the day's start
    plan: int
    title: int
    top: int
    habits: Habits
    seed: int  # of all that it does by chance itself


def faults(viewers: Viewers, market: Market | None) -> Iterator[tuple[str, str]]:
    """Keys and what is wrong with them; without a market, only what needs none."""
    for name in ("small_screens", "early", "honour"):
        if not 0 <= getattr(viewers, name) <= 1:
            yield f"viewers.{name}", "must be 0 to 1"
    if not 1 <= viewers.visits <= 100:
        yield "viewers.visits", "must be 1 to 100"
    if not 0 <= viewers.skew <= 5:
        yield "viewers.skew", "must be 0 to 5"
    for name in ("lasts", "start_up", "resume", "start_patience", "stall_patience", "early_after", "pause"):
        spread = getattr(viewers, name)
        if spread is not None:
            yield from ((f"viewers.{name}", what) for what in _spread_faults(spread, name))
    if any(weight < 0 for weight in viewers.plans.values()) or (
        viewers.plans and not sum(viewers.plans.values())
    ):
        yield "viewers.plans", "weights must not be negative, and one be above 0"
    if market is None:
        return
    for plan in viewers.plans:
        if plan not in market.plans:
            yield "viewers.plans", f"there is no plan {plan!r}"
    for line in viewers.came:
        if line.plan not in market.plans:
            yield f"viewers.trace: line {line.number}", f"there is no plan {line.plan!r}"
        if line.title not in market.titles:
            yield f"viewers.trace: line {line.number}", f"there is no title {line.title!r}"
        if line.lasts <= 0 or line.top < 0:
            yield f"viewers.trace: line {line.number}", "lasts must be above 0 and top not be negative"


def _spread_faults(spread: Spread, name: str) -> Iterator[str]:
    if not 0 <= spread.least <= spread.most:
        yield "least must not be negative, nor over most"
    if isinstance(spread, Exponential) and spread.mean <= 0:
        yield "mean must be above 0"
    if isinstance(spread, Lognormal) and (spread.median <= 0 or spread.sigma < 0):
        yield "median must be above 0 and sigma not be negative"
    if spread.most <= 0 or (name in ("resume", "lasts") and spread.least <= 0):
        yield "must be above 0"


def guests(viewers: Viewers, market: Market, floods: Sequence[Flood], lasts: float, seed: int) -> list[Guest]:
    """Everybody who comes within `lasts` seconds, in their order. The same words draw the same crowd."""
    dice = random.Random(f"{seed}:guests")
    drawn = (
        _from_trace(viewers, market, lasts) if viewers.came else _drawn(viewers, market, floods, lasts, dice)
    )
    found: list[Guest] = []
    for at, plan, title, top, wants in drawn:
        own = random.Random(f"{seed}:guest:{len(found)}")
        early = own.random() < viewers.early
        patience = viewers.early_after if early else viewers.start_patience

        def nanoseconds(spread: Spread, own: random.Random = own) -> int:
            return int(draw(own, spread) * SECOND)

        habits = Habits(
            nanoseconds(viewers.start_up),
            nanoseconds(viewers.resume),
            nanoseconds(patience),
            nanoseconds(viewers.stall_patience),
            nanoseconds(viewers.lasts or Uniform(*market.lasts)) if wants is None else int(wants * SECOND),
        )
        found.append(Guest(len(found) + 1, int(at * SECOND), plan, title, top, habits, own.getrandbits(60)))
    return found


def _from_trace(
    viewers: Viewers, market: Market, lasts: float
) -> Iterator[tuple[float, int, int, int, float | None]]:
    plans, titles = list(market.plans), list(market.titles)
    for line in viewers.came:
        if line.at < lasts:
            plan = plans.index(line.plan)
            top = min(market.tops[plan], max(market.floors[plan], line.top))
            yield line.at, plan, titles.index(line.title), top, line.lasts


def _drawn(
    viewers: Viewers, market: Market, floods: Sequence[Flood], lasts: float, dice: random.Random
) -> Iterator[tuple[float, int, int, int, float | None]]:
    weights = [viewers.plans.get(plan, 0.0 if viewers.plans else 1.0) for plan in market.plans]
    wanted = [1 / (place + 1) ** viewers.skew for place in range(len(market.titles))]
    plans, titles = range(len(market.plans)), range(len(market.titles))
    # Drawn at the highest rate that the day can reach and thinned to the rate of the moment.
    highest = 1.0
    for flood in floods:
        highest *= max(1.0, flood.times)
    at = 0.0
    while True:
        at += dice.expovariate(market.rate * highest)
        if at >= lasts:
            return
        times, now = 1.0, [flood for flood in floods if flood.start <= at < flood.end]
        for flood in now:
            times *= flood.times
        if dice.random() >= times / highest:
            continue
        plan, title = dice.choices(plans, weights)[0], dice.choices(titles, wanted)[0]
        crowd_draw, crowd_title = dice.random(), dice.random()
        for flood in now:
            if flood.few and crowd_draw < flood.part:
                title = len(titles) - 1 - int(crowd_title * min(flood.few, len(titles)))
        top = market.tops[plan]
        if dice.random() < viewers.small_screens:
            top = max(market.floors[plan], top - 1)
        yield at, plan, title, top, None
