"""From a template's file to a checked `Deployment`, and from that to the terms that the decisions start
with."""

from __future__ import annotations

import re
from collections.abc import Iterator
from math import isfinite
from pathlib import Path

import msgspec
import rjsonnet

from burlmast import api
from burlmast.settings.sheets import Deployment, PlanTerms

MS = 1_000_000
PATH = re.compile(r" - at `\$\.?([^`]*)`$")
FIELD = re.compile(r"(?:missing required|unknown) field `([^`]*)`")


class BadSettings(Exception):
    """One line: the file, the key and what is wrong with it."""

    def __init__(self, file: str, key: str, what: str) -> None:
        super().__init__(f"{file}: {key}: {what}")


def read(file: str | Path) -> Deployment:
    """Evaluate and check a template. Raises BadSettings."""
    return parse(evaluate(file), str(file))


def evaluate(file: str | Path) -> str:
    """A template's plain JSON text. Raises BadSettings."""
    name = str(file)
    try:
        Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as why:
        raise BadSettings(name, "file", getattr(why, "strerror", None) or str(why)) from None
    try:
        return str(rjsonnet.evaluate_file(name))
    except RuntimeError as why:
        raise BadSettings(name, "template", " ".join(str(why).split())) from None


def parse(plain: str, name: str = "settings") -> Deployment:
    """Check evaluated JSON text. Raises BadSettings."""
    try:
        found: Deployment = msgspec.json.decode(plain, type=Deployment)
    except msgspec.ValidationError as why:
        place = PATH.search(str(why))
        what = str(why)[: place.start()] if place else str(why)
        field = FIELD.search(what)
        key = ".".join(part for part in (place[1] if place else "", field[1] if field else "") if part)
        raise BadSettings(name, key or "settings", what) from None
    except msgspec.DecodeError as why:
        raise BadSettings(name, "template", str(why)) from None
    for key, what in faults(found):
        raise BadSettings(name, key, what)
    return found


def faults(one: Deployment) -> Iterator[tuple[str, str]]:
    """What types alone cannot say."""
    yield from _numbers("", one)
    rungs = len(one.ladder.rates_kb)
    if not 1 <= rungs <= 255:
        yield "ladder.rates_kb", "needs 1 to 255 rungs"
    if any(low >= high for low, high in zip(one.ladder.rates_kb, one.ladder.rates_kb[1:], strict=False)):
        yield "ladder.rates_kb", "must rise from rung to rung"
    if any(rate <= 0 for rate in one.ladder.rates_kb):
        yield "ladder.rates_kb", "must be above 0"
    if len(one.ladder.earns) != rungs:
        yield "ladder.earns", f"has {len(one.ladder.earns)} entries for {rungs} rungs"
    if any(not 0 < part <= 1 for part in one.ladder.earns):
        yield "ladder.earns", "must be above 0 and at most 1"
    if not one.zones:
        yield "zones", "needs one at least"
    if not 1 <= one.gateways <= 1000:
        yield "gateways", "must be 1 to 1000"
    if not one.plans:
        yield "plans", "needs one at least"
    for place, plan in enumerate(one.plans):
        yield from _plan_faults(f"plans[{place}]", plan, rungs)
    yield from _twice("plans", [plan.name for plan in one.plans])
    yield from _twice("titles", [title.name for title in one.titles])
    if not one.titles and not one.edge.catalogue.on:
        yield "titles", "needs one at least, or edge.catalogue.on"
    for place, title in enumerate(one.titles):
        if not 0 <= title.home < one.fleet.cells:
            yield f"titles[{place}].home", f"must be a cell, 0 to {one.fleet.cells - 1}"
        if not 1 <= title.copies <= one.fleet.cells:
            yield f"titles[{place}].copies", f"must be 1 to {one.fleet.cells}"
    above = {
        "beat_ms": one.beat_ms,
        "fleet.cells": one.fleet.cells,
        "fleet.racks": one.fleet.racks,
        "fleet.link_kb": one.fleet.link_kb,
        "fleet.uplink_kb": one.fleet.uplink_kb,
        "allowed.tries": one.allowed.tries,
        "rules.warm_after_ms": one.rules.warm_after_ms,
        "rules.fall_span_ms": one.rules.fall_span_ms,
        "rules.fall_multiple": one.rules.fall_multiple,
        "edge.segment_ms": one.edge.segment_ms,
        "edge.window": one.edge.window,
        "edge.ahead": one.edge.ahead,
        "edge.connect_ms": one.edge.connect_ms,
        "edge.probe_ms": one.edge.probe_ms,
        "edge.redial_ms": one.edge.redial_ms,
        "edge.notices.tries": one.edge.notices.tries,
        "edge.hostbook.write_ms": one.edge.hostbook.write_ms,
        "edge.hostbook.oldest_s": one.edge.hostbook.oldest_s,
        "edge.fleet.beat_ms": one.edge.fleet.beat_ms,
        "edge.fleet.ledger_ms": one.edge.fleet.ledger_ms,
        "edge.fleet.slow_disk_ms": one.edge.fleet.slow_disk_ms,
        "edge.fleet.placed": one.edge.fleet.placed,
        "edge.fleet.probe_ms": one.edge.fleet.probe_ms,
        "edge.fleet.probes": one.edge.fleet.probes,
        "edge.fleet.again_ms": one.edge.fleet.again_ms,
        "edge.catalogue.slices": one.edge.catalogue.slices,
        "edge.catalogue.copies": one.edge.catalogue.copies,
        "edge.catalogue.piece": one.edge.catalogue.piece,
        "edge.catalogue.whole_a_second": one.edge.catalogue.whole_a_second,
        "edge.catalogue.again_ms": one.edge.catalogue.again_ms,
        "edge.catalogue.within_ms": one.edge.catalogue.within_ms,
        "edge.catalogue.write_ms": one.edge.catalogue.write_ms,
        "edge.catalogue.doubt_ms": one.edge.catalogue.doubt_ms,
        "edge.notices.at_once": one.edge.notices.at_once,
        "edge.notices.again_ms": one.edge.notices.again_ms,
        "edge.doorway.connections": one.edge.doorway.connections,
        "edge.doorway.connections_each": one.edge.doorway.connections_each,
        "edge.doorway.heads": one.edge.doorway.heads,
        "edge.doorway.held": one.edge.doorway.held,
        "edge.doorway.buffered_kb": one.edge.doorway.buffered_kb,
        "stand_ins.hosts": one.stand_ins.hosts,
        "stand_ins.tell_every_ms": one.stand_ins.tell_every_ms,
        "stand_ins.deliver_every_ms": one.stand_ins.deliver_every_ms,
        "stand_ins.a_second": one.stand_ins.a_second,
    }
    yield from ((key, "must be above 0") for key, value in above.items() if value <= 0)
    if not 0 < one.rules.cold_share <= 1:
        yield "rules.cold_share", "must be above 0 and at most 1"
    if not 0 < one.edge.doorway.crowded <= 1:
        yield "edge.doorway.crowded", "must be above 0 and at most 1"
    if not one.fleet.streams_by_kind or min(one.fleet.streams_by_kind) < 1:
        yield "fleet.streams_by_kind", "needs one kind at least, and 1 stream or more for each"
    together = one.edge.fleet
    if not 0 <= together.drift <= 0.2:
        yield "edge.fleet.drift", "must be 0 to 0.2"
    if together.again_longest_ms < together.again_ms:
        yield "edge.fleet.again_longest_ms", "must not be under again_ms"
    catalogue = one.edge.catalogue
    if catalogue.again_longest_ms < catalogue.again_ms:
        yield "edge.catalogue.again_longest_ms", "must not be under again_ms"
    if catalogue.slices > 1 << 16:
        yield "edge.catalogue.slices", "must be 1 to 65536"
    if 0 < together.lease_ms < 3 * together.beat_ms:
        yield "edge.fleet.lease_ms", "must be 0 or three beats at least, or one lost word would shut out"
    if together.out.silent_beats < 2:
        yield "edge.fleet.out.silent_beats", "must be 2 at least, or one lost word would count as out"
    if one.edge.redial_longest_ms < one.edge.redial_ms:
        yield "edge.redial_longest_ms", "must not be under redial_ms"
    low, high = one.stand_ins.lasts_s
    if not 0 < low <= high:
        yield "stand_ins.lasts_s", "must be above 0 and rise"


def _plan_faults(key: str, plan: PlanTerms, rungs: int) -> Iterator[tuple[str, str]]:
    if not plan.name:
        yield f"{key}.name", "must not be empty"
    if not 0 <= plan.floor < rungs:
        yield f"{key}.floor", f"must be a rung, 0 to {rungs - 1}"
    if not plan.floor <= plan.top <= 255:
        yield f"{key}.top", "must be floor to 255"
    if plan.seats < 0:
        yield f"{key}.seats", "must not be negative"
    if plan.scale <= 0:
        yield f"{key}.scale", "must be above 0"
    if not 0 < plan.startup_target_ms <= plan.abandon_ms:
        yield f"{key}.startup_target_ms", "must be above 0 and not over abandon_ms"


def _twice(key: str, names: list[str]) -> Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for place, name in enumerate(names):
        if name in seen:
            yield f"{key}[{place}].name", f"stands twice: {name}"
        seen.add(name)


def _numbers(key: str, value: object) -> Iterator[tuple[str, str]]:
    """Figures that no setting can mean: infinite, not a number, or negative."""
    if isinstance(value, float | int) and not isinstance(value, bool):
        if not isfinite(value) or value < 0:
            yield key, "must be a finite number, 0 or more"
    elif isinstance(value, tuple):
        for place, one in enumerate(value):
            yield from _numbers(f"{key}[{place}]", one)
    elif isinstance(value, msgspec.Struct):
        for field in value.__struct_fields__:
            yield from _numbers(f"{key}.{field}" if key else field, getattr(value, field))


def nanoseconds(ms: float) -> int:
    """Whole nanoseconds."""
    return int(ms * MS)


def terms(one: Deployment, number: int, zone: int) -> api.Terms:
    """What the gateway with this number, in this zone, is told at its start."""
    fleet, allowed, rules = one.fleet, one.allowed, one.rules
    rungs = len(one.ladder.rates_kb)
    return api.Terms(
        gateways=one.gateways,
        number=number,
        zone=zone,
        beat=nanoseconds(one.beat_ms),
        plans=tuple(
            api.Plan(
                revenue=plan.revenue,
                startup_target=nanoseconds(plan.startup_target_ms),
                repeat=api.Repeat(plan.repeat),
                repeat_group=plan.repeat_group,
                repeat_span=nanoseconds(plan.repeat_span_ms),
                floor=plan.floor,
                top=min(plan.top, rungs - 1),
                seats=plan.seats,
                scale=plan.scale,
            )
            for plan in one.plans
        ),
        ladder=api.Ladder(one.ladder.rates_kb, one.ladder.earns),
        lineup=api.Lineup(
            cells=fleet.cells,
            racks=fleet.racks,
            link_per_weight=fleet.link_kb,
            uplink=fleet.uplink_kb,
            streams_by_kind=fleet.streams_by_kind,
            weights_tell_size=fleet.weights_tell_size,
            reports=fleet.reports,
            tells=fleet.tells,
            note_lag=nanoseconds(fleet.note_lag_ms),
            stall=fleet.stall_cost,
        ),
        allowed=api.Allowed(
            probes=allowed.probes,
            call_off=allowed.call_off,
            tries=allowed.tries,
            advice=allowed.advice,
            longest_advice=nanoseconds(allowed.longest_advice_ms),
            must_ask=allowed.must_ask,
            ask_within=nanoseconds(allowed.ask_within_ms),
        ),
        rules=api.HouseRules(
            cold_share=rules.cold_share,
            warm_after=nanoseconds(rules.warm_after_ms),
            fall_multiple=rules.fall_multiple,
            fall_span=nanoseconds(rules.fall_span_ms),
            further_free=rules.further_free,
            further_ratio=rules.further_ratio,
            further_span=nanoseconds(rules.further_span_ms),
        ),
    )
