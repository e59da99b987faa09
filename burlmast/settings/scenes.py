"""From a deployment and a scenario's file to the plain values that `world` takes."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import msgspec

from burlmast.api import Repeat
from burlmast.settings.read import BadSettings, evaluate, nanoseconds
from burlmast.settings.sheets import Deployment
from burlmast.world.audit import PlanRules, Rulebook
from burlmast.world.capacity import Point, Recorded
from burlmast.world.crowd import Market, TraceLine
from burlmast.world.player import Tariff
from burlmast.world.troubles import Day, NotADay, check, check_names

Line = TypeVar("Line", Point, TraceLine)


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


def market(deployment: Deployment) -> Market:
    """What viewers can ask for here."""
    top = len(deployment.ladder.rates_kb) - 1
    return Market(
        [plan.name for plan in deployment.plans],
        [plan.floor for plan in deployment.plans],
        [min(plan.top, top) for plan in deployment.plans],
        [title.name for title in deployment.titles],
        deployment.stand_ins.a_second,
        deployment.stand_ins.lasts_s,
    )


def tariffs(deployment: Deployment) -> list[Tariff]:
    """What each plan's seconds earn."""
    return [Tariff(plan.revenue, deployment.ladder.earns) for plan in deployment.plans]


def resized(deployment: Deployment, gateways: int | None, hosts: int | None) -> Deployment:
    """The deployment with other numbers."""
    replace = msgspec.structs.replace
    stand_ins = replace(deployment.stand_ins, hosts=hosts or deployment.stand_ins.hosts)
    return replace(deployment, gateways=gateways or deployment.gateways, stand_ins=stand_ins)


def read_day(file: str | Path) -> Day:
    """A scenario from its Jsonnet file, the traces that it names included. Raises NotADay."""
    folder = Path(file).parent
    try:
        day: Day = msgspec.json.decode(evaluate(file), type=Day)
    except BadSettings as why:
        raise NotADay(str(why).removeprefix(f"{file}: ")) from None
    except msgspec.MsgspecError as why:
        raise NotADay(str(why)) from None
    replace = msgspec.structs.replace
    if day.viewers.trace:
        came = read_lines(folder / day.viewers.trace, TraceLine, False)
        day = replace(day, viewers=replace(day.viewers, came=tuple(came)))
    capacity = []
    for one in day.capacity:
        if isinstance(one.course, Recorded) and one.course.file:
            points = read_lines(folder / one.course.file, Point, True)
            one = replace(one, course=replace(one.course, points=tuple(points)))
        capacity.append(one)
    return check(replace(day, capacity=tuple(capacity)))


def read_lines(file: Path, kind: type[Line], rising: bool) -> Sequence[Line]:
    """A trace: JSON lines numbered from 1 without gap or repeat, whose times do not go back, or rise where
    `rising`. Raises NotADay with the line."""
    try:
        lines = file.read_bytes().splitlines()
    except OSError as why:
        raise NotADay(f"{file}: {why.strerror or why}") from None
    found: list[Line] = []
    for place, raw in enumerate(lines, 1):
        where = f"{file}:{place}"
        try:
            line: Line = msgspec.json.decode(raw, type=kind)
        except msgspec.MsgspecError as why:
            raise NotADay(f"{where}: {why}") from None
        last = found[-1].number if found else 0
        if line.number != last + 1:
            what = "a repeat" if line.number <= last else "a gap"
            raise NotADay(f"{where}: {what}: number {line.number} after {last}")
        before = found[-1].at if found else 0.0
        if line.at < before or (rising and found and line.at == before):
            raise NotADay(f"{where}: time goes back: {line.at} after {before}")
        found.append(line)
    if not found:
        raise NotADay(f"{file}: empty")
    return found


def fitting(day: Day, deployment: Deployment) -> Day:
    """The day, if it names nothing that the deployment lacks. Raises NotADay."""
    return check_names(day, market(deployment), deployment.fleet.racks, deployment.stand_ins.hosts)
