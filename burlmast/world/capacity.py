"""Capacity over time as a series: what part of their plain capacity uplinks and hosts' links give, and when.

A course is compiled to steps; what several courses say of one link multiplies. Times are seconds from the
day's start, parts are of the plain capacity, and 0 stands for a link that carries nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from burlmast.world.sheet import Sheet

SLOPE_S = 0.5  # a slope is told in steps of so long


class Constant(Sheet, frozen=True, tag="constant"):
    """The same part all day."""

    part: float


class Sag(Sheet, frozen=True, tag="sag"):
    """Less for a while: down over `falls` seconds, up again over `rises`; 0 is at once."""

    start: float
    lasts: float
    part: float
    falls: float = 0.0
    rises: float = 0.0


class OnOff(Sheet, frozen=True, tag="on and off"):
    """Another program takes its part, in turns of `period` seconds on and as many off."""

    start: float
    lasts: float
    part: float
    period: float


class Point(Sheet, frozen=True):
    """A line of a recorded series."""

    number: int
    at: float
    part: float


class Recorded(Sheet, frozen=True, tag="recorded"):
    """As it was seen: `file`, beside the scenario, has lines of `Point`; its reader fills in `points`."""

    file: str = ""
    points: tuple[Point, ...] = ()


Course = Constant | Sag | OnOff | Recorded


class Capacity(Sheet, frozen=True):
    """A course, and what it is the course of: racks or hosts by their place, or a part drawn by chance."""

    course: Course
    racks: tuple[int, ...] = ()
    hosts: tuple[int, ...] = ()
    part_of_racks: float = 0.0
    part_of_hosts: float = 0.0


class Change(NamedTuple):
    """From `at` on, the course at `place` gives this link `part` of what it gave."""

    at: float
    place: int
    kind: str  # racks or hosts
    number: int  # the rack's or host's place
    part: float


def _slope(start: float, lasts: float, low: float, high: float) -> Iterator[tuple[float, float]]:
    steps = max(1, round(lasts / SLOPE_S))
    for step in range(1, steps + 1):
        yield start + lasts * step / steps, low + (high - low) * step / steps


def _sag(one: Sag) -> Iterator[tuple[float, float]]:
    end = one.start + one.lasts
    yield from _slope(one.start, one.falls, 1.0, one.part)
    yield from _slope(end - one.rises, one.rises, one.part, 1.0)


def _on_off(one: OnOff) -> Iterator[tuple[float, float]]:
    turns = int(one.lasts / one.period)
    for turn in range(turns):
        yield one.start + turn * one.period, 1.0 if turn % 2 else one.part
    yield one.start + one.lasts, 1.0


COURSES: dict[type, Callable[..., Iterator[tuple[float, float]]]] = {
    Constant: lambda one: iter([(0.0, one.part)]),
    Sag: _sag,
    OnOff: _on_off,
    Recorded: lambda one: iter([(point.at, point.part) for point in one.points]),
}


def steps(course: Course) -> list[tuple[float, float]]:
    """Seconds and the part given from then on, in order."""
    return list(COURSES[type(course)](course))


def faults(capacity: Sequence[Capacity], racks: int | None, hosts: int | None) -> Iterator[tuple[str, str]]:
    """Keys and what is wrong with them; without numbers of racks and hosts, only what needs none."""
    for place, one in enumerate(capacity):
        key, course = f"capacity[{place}]", one.course
        picks = (one.racks, one.hosts, one.part_of_racks, one.part_of_hosts)
        if sum(bool(pick) for pick in picks) != 1:
            yield key, "needs one of racks, hosts, part_of_racks and part_of_hosts"
        for name, there, most in (("racks", one.racks, racks), ("hosts", one.hosts, hosts)):
            for number in there:
                if number < 0 or (most is not None and number >= most):
                    yield f"{key}.{name}", f"there is no {number}; there are {most}"
            if len(set(there)) < len(there):
                yield f"{key}.{name}", "names one twice"
        for name, part in (("part_of_racks", one.part_of_racks), ("part_of_hosts", one.part_of_hosts)):
            if not 0 <= part <= 1:
                yield f"{key}.{name}", "must be 0 to 1"
        yield from _course_faults(f"{key}.course", course)


def _course_faults(key: str, course: Course) -> Iterator[tuple[str, str]]:
    if isinstance(course, Recorded):
        if not course.points:
            yield f"{key}.file", "needs a file with one line at least"
        if any(point.at < 0 or not 0 <= point.part <= 100 for point in course.points):
            yield f"{key}.file", "times must not be negative and parts be 0 to 100"
        return
    if not 0 <= course.part <= 100:
        yield f"{key}.part", "must be 0 to 100"
    if isinstance(course, Sag | OnOff) and (course.start < 0 or not 0 < course.lasts <= 600):
        yield key, "must start at 0 or later and last above 0 and at most 600 seconds"
    if isinstance(course, Sag) and (
        min(course.falls, course.rises) < 0 or course.falls + course.rises > course.lasts
    ):
        yield key, "falls and rises must fit into lasts"
    if isinstance(course, OnOff) and not 0.05 <= course.period <= course.lasts:
        yield f"{key}.period", "must be 0.05 to lasts"


def changes(capacity: Sequence[Capacity], racks: int, hosts: int, seed: int) -> list[Change]:
    """All that changes on a day, in its order; the same words draw the same links."""
    found = []
    for place, one in enumerate(capacity):
        dice = random.Random(f"{seed}:capacity:{place}")
        for kind, named, part, most in (
            ("racks", one.racks, one.part_of_racks, racks),
            ("hosts", one.hosts, one.part_of_hosts, hosts),
        ):
            drawn = dice.sample(range(most), max(1, round(part * most))) if part else named
            for at, given in steps(one.course):
                found += [Change(at, place, kind, number, given) for number in sorted(drawn)]
    return sorted(found)
