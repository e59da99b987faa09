"""The troubles of a bench day, by their kinds, as a day that sockets can show.

The bench's days have hundreds of gateways and thousands of viewers; what carries over is what goes wrong,
when, for how long, on what part of the fleet and how badly. Its times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from burlmast.world.troubles import Day, NotADay, Trouble, check

SECOND_US = 1_000_000


class Step(msgspec.Struct):
    """One wave of a trouble that comes in waves."""

    stop: list[int] = []


class BenchTrouble(msgspec.Struct):
    """One trouble as the bench writes it."""

    kind: str
    at: float
    len: float
    size: float = 0.0
    extra: float = 0.0
    on: list[int] | None = None
    steps: list[Step] = []


class BenchDay(msgspec.Struct):
    """What is read of a bench day."""

    length: float
    servers: list[msgspec.Raw]
    balancers: list[msgspec.Raw]
    troubles: list[BenchTrouble] = []


class Match(NamedTuple):
    """What a kind is called here, and how its figures carry over."""

    kind: str
    size: Callable[[BenchTrouble], float] = lambda one: 1.0
    extra: Callable[[BenchTrouble], float] = lambda one: 1.0
    whole: bool = False  # it strikes everything, or nothing that can be counted


def own_size(one: BenchTrouble) -> float:
    """The size as it is."""
    return one.size


MATCHES: dict[str, Match] = {
    "crash": Match("crash"),
    "vanish": Match("silence"),
    "hang": Match("standstill"),
    "fast_errors": Match("fast errors", own_size),
    "slow": Match("short links", own_size),
    "ageing": Match("ageing", own_size),
    "preempt": Match("replaced", extra=own_size),
    "shared_slow": Match("short links", own_size, whole=True),
    "origin_slow": Match("short uplinks", own_size),
    "neighbour": Match("neighbour", own_size, lambda one: one.extra),
    "report_late": Match("late reports", own_size, whole=True),
    "discovery_stale": Match("late list", own_size, whole=True),
    "balancer_roll": Match("restarts", lambda one: one.extra),
    "balancer_stall": Match("stalls", lambda one: one.size / 1000),
    "burst": Match("burst", own_size, whole=True),
    "hot_key": Match("crowd", own_size, lambda one: max(1.0, one.extra), whole=True),
}
UPLINKS_STRUCK = 0.3


def part_struck(one: BenchTrouble, match: Match, day: BenchDay) -> float:
    """The part of what it strikes."""
    if match.whole:
        return 1.0
    if match.kind == "short uplinks":
        return UPLINKS_STRUCK
    many = len(day.balancers if match.kind in ("restarts", "stalls") else day.servers)
    struck = sum(len(step.stop) for step in one.steps) if one.steps else len(one.on or ())
    return min(1.0, max(1, struck) / max(1, many))


def from_bench(text: bytes) -> tuple[Day, list[str]]:
    """The day, and the kinds that sockets here cannot show. Raises NotADay."""
    try:
        found: BenchDay = msgspec.json.decode(text, type=BenchDay)
    except (msgspec.MsgspecError, RecursionError) as why:
        raise NotADay(f"not a day of the bench: {why}") from None
    lasts = found.length / SECOND_US
    troubles, left_out = [], []
    for one in found.troubles:
        match = MATCHES.get(one.kind)
        if match is None:
            left_out.append(one.kind)
            continue
        troubles.append(
            Trouble(
                match.kind,
                one.at / SECOND_US,
                one.len / SECOND_US,
                part_struck(one, match, found),
                match.size(one),
                match.extra(one),
            )
        )
    return check(Day("bench", lasts, tuple(troubles))), left_out
