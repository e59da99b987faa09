"""A plan of a release, as an operator writes it, and what is wrong with one. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

import msgspec

from burlmast.release.watching import MEASURES


class Watch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the new version is held against the old."""

    canary_s: float = 30.0  # how long the canary is watched at least
    wave_s: float = 10.0  # and each wave
    longest: float = 3.0  # times as long, until enough requests have been seen
    least: int = 50  # requests by the new version, before it counts as watched
    compare: tuple[str, ...] = ("rejected", "aborted", "slow", "tries", "short")
    worse: float = 2.0  # a measure so many times that of the old is harm
    false_alarm: float = 0.02  # the chance that a sound version is halted in one watch, all measures together
    miss: float = 0.1  # the chance that one just as bad as `worse` is not found, given enough events


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes out, to whom, in which steps."""

    name: str
    settings: str = ""  # a file of settings beside the plan; once it is given out their canonical JSON
    command: tuple[str, ...] = ()  # or a build: restarts a gateway's process; {gateway} is its number
    command_back: tuple[str, ...] = ()  # brings the earlier build back
    gateways: tuple[int, ...] = ()  # empty for all
    canary: tuple[int, ...] = ()  # empty for the first of them
    waves: tuple[float, ...] = (0.25, 0.5, 1.0)  # parts of the rest that are on it after each wave
    watch: Watch = Watch()
    lag_s: float = 30.0  # a member that does not follow within that halts it
    may_lag: int = 0  # so many may lag: a large fleet is never all there
    sight: float = 0.5  # so much of the fleet must be heard
    harm: Literal["back", "halt"] = "back"  # what follows a halt by the figures
    back: Literal["at once", "waves"] = "at once"  # of settings; builds go back under the same leaves
    plays_s: float = 60.0  # of a build: how long what plays may go on
    late: Literal["halt", "go on", "cut"] = "go on"  # and what comes then


def faults(one: Plan, gateways: int) -> Iterator[tuple[str, str]]:
    """What types alone cannot say: key, and what is wrong."""
    if not one.name:
        yield "name", "must not be empty"
    if bool(one.settings) == bool(one.command):
        yield "settings", "one of settings and command must be there, and not both"
    if one.command and not any("{gateway}" in word for word in one.command):
        yield "command", "must name {gateway}, or it would restart all by one leave"
    if one.command_back and not one.command:
        yield "command_back", "is for a build alone"
    for key, named in (("gateways", one.gateways), ("canary", one.canary)):
        strangers = [n for n in named if not 0 <= n < gateways]
        if strangers:
            yield key, f"gateway {strangers[0]} is not of this fleet of {gateways}"
        if len(set(named)) != len(named):
            yield key, "names one twice"
    outside = set(one.canary) - set(whom(one, gateways))
    if outside:
        yield "canary", f"gateway {min(outside)} is not among those of the plan"
    if not one.waves or any(not 0 < part <= 1 for part in one.waves) or one.waves[-1] != 1:
        yield "waves", "must be parts above 0, the last of them 1"
    if any(low >= high for low, high in zip(one.waves, one.waves[1:], strict=False)):
        yield "waves", "must rise from wave to wave"
    watch = one.watch
    for key, value in (("canary_s", watch.canary_s), ("wave_s", watch.wave_s), ("longest", watch.longest)):
        if value <= 0:
            yield f"watch.{key}", "must be above 0"
    if watch.worse <= 1:
        yield "watch.worse", "must be above 1"
    if not 0 < watch.false_alarm < 0.5 or not 0 < watch.miss < 0.5:
        yield "watch.false_alarm", "chances must be above 0 and under a half"
    if watch.least < 0:
        yield "watch.least", "must not be negative"
    strange = [what for what in watch.compare if what not in MEASURES]
    if strange or not watch.compare:
        yield "watch.compare", f"must name some of {', '.join(MEASURES)}"
    if one.may_lag < 0:
        yield "may_lag", "must not be negative"
    if one.lag_s <= 0:
        yield "lag_s", "must be above 0"
    if not 0 < one.sight <= 1:
        yield "sight", "must be above 0 and at most 1"


def whom(one: Plan, gateways: int) -> tuple[int, ...]:
    """All gateways that it is for."""
    return tuple(sorted(one.gateways)) or tuple(range(gateways))


def groups(one: Plan, gateways: int) -> list[tuple[int, ...]]:
    """The canary, then each wave's own gateways; a wave that adds nobody is left out."""
    everyone = whom(one, gateways)
    canary = tuple(sorted(one.canary)) or everyone[:1]
    rest = [n for n in everyone if n not in canary]
    found, begun = [canary], 0
    for part in one.waves:
        upto = max(begun, round(part * len(rest)))
        if upto > begun:
            found.append(tuple(rest[begun:upto]))
        begun = upto
    return found
