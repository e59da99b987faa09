"""The settings text of the wire, read into the terms that a gateway starts with."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

from burlmast import api
from burlmast.wirehost.codec import nanoseconds

REPEATS = {"repeatable": api.Repeat.FREELY, "by_key": api.Repeat.WITHIN_GROUP, "once": api.Repeat.NEVER}
FIELDS = {"busy_reqs": "streams", "x0": "link", "cpu_share": "link", "x1": "uplink"}


class BadSetting(Exception):
    """A setting that is needed is missing or of the wrong type."""


class Sheet:
    """A part of the settings that complains of a key by its full name."""

    def __init__(self, data: Any, name: str = "") -> None:
        if not isinstance(data, dict):
            raise BadSetting(f"setting {name or 'profileData'} is not an object")
        self.data = data
        self.name = name

    def get(self, key: str, kind: Any, *default: Any) -> Any:
        """The value of a key, of this kind; without a default it must be there."""
        full = f"{self.name}.{key}" if self.name else key
        if key not in self.data:
            if default:
                return default[0]
            raise BadSetting(f"setting {full} is missing")
        value = self.data[key]
        wanted = (int, float) if kind is float else kind
        if not isinstance(value, wanted) or (isinstance(value, bool) and kind is not bool):
            raise BadSetting(f"setting {full} is not a {kind.__name__}")
        return value

    def numbers(self, key: str, *default: Any) -> list[float]:
        """A list of numbers."""
        found = self.get(key, list, *default)
        if any(isinstance(x, bool) or not isinstance(x, (int, float)) for x in found):
            raise BadSetting(f"setting {self.name}.{key} is not a list of numbers")
        return list(found)

    def part(self, key: str) -> Sheet:
        """A part of this part."""
        return Sheet(self.get(key, dict), f"{self.name}.{key}" if self.name else key)

    def span(self, key: str, *default: float) -> int:
        """A time in nanoseconds."""
        return nanoseconds(self.get(key, float, *default))


def told(names: list[Any]) -> tuple[str | None, ...]:
    """Which value of a load report stands at which place; one that ends at 1 only for want of another."""
    both = "x0" in names and "cpu_share" in names
    known = [name if isinstance(name, str) and not (both and name == "cpu_share") else "" for name in names]
    return tuple(FIELDS.get(name) for name in known)


def check(terms: api.Terms) -> None:
    """Refuse figures that no rule could be kept with, or that mean nothing. Raises BadSetting."""
    rungs, rules, lineup = terms.ladder.rates, terms.rules, terms.lineup
    rises = all(low < high for low, high in pairwise(rungs))
    sound = [
        ("siblings", terms.gateways >= 1),
        ("slotNo", 0 <= terms.number < terms.gateways),
        ("tickMs", terms.beat > 0),
        ("familyInfo.rungKb", bool(rungs) and rungs[0] > 0 and rises),
        ("familyInfo.worthByRung", len(terms.ladder.earns) == len(rungs)),
        ("familyInfo.cells", lineup.cells >= 1),
        ("familyInfo.racks", lineup.racks >= 1),
        ("familyInfo.kbPerWeight", lineup.link_per_weight > 0),
        ("familyInfo.rackKb", lineup.uplink > 0),
        ("familyInfo.kindStreams", all(streams > 0 for streams in lineup.streams_by_kind)),
        ("familyInfo.classFloor", all(0 <= plan.floor < len(rungs) for plan in terms.plans)),
        ("familyInfo.classTop", all(plan.floor <= plan.top for plan in terms.plans)),
        ("familyInfo.classSeats", all(plan.seats >= 0 for plan in terms.plans)),
        ("familyInfo.scaleByClass", all(plan.scale > 0 for plan in terms.plans)),
        ("requestClasses[].goalTimeMs", all(plan.startup_target > 0 for plan in terms.plans)),
        ("allowed.maxAttempts", terms.allowed.tries >= 1),
        ("rules.coldFrom", 0 <= rules.cold_share <= 1),
        ("rules.warmAfterMs", rules.warm_after >= 0),
        ("rules.fallMultiple", rules.fall_multiple > 0),
        ("rules.fallMs", rules.fall_span > 0),
        ("rules.freeResends", (rules.further_free or 0.0) >= 0),
        ("rules.resendRatio", 0 <= rules.further_ratio <= 1),
        ("rules.ratioSpanMs", rules.further_span >= 0),
        ("rules.askWithinMs", not terms.allowed.must_ask or terms.allowed.ask_within > 0),
    ]
    wrong = [name for name, holds in sound if not holds]
    if wrong:
        raise BadSetting(f"setting {wrong[0]} is out of range")


def plans(sheet: Sheet, fam: Sheet) -> tuple[api.Plan, ...]:
    """The plans, each with its row of the family's lists."""
    listed = sheet.get("requestClasses", list)
    rows = {
        key: fam.numbers(key, default)
        for key, default in (
            ("classFloor", [0] * len(listed)),
            ("classTop", [255] * len(listed)),
            ("classSeats", [0] * len(listed)),
            ("scaleByClass", [1.0] * len(listed)),
        )
    }
    for key, row in rows.items():
        if len(row) < len(listed):
            raise BadSetting(f"setting familyInfo.{key} has too few entries")
    found = []
    for place, data in enumerate(listed):
        one = Sheet(data, f"requestClasses[{place}]")
        semantics = one.get("semantics", str)
        if semantics not in REPEATS:
            raise BadSetting(f"setting {one.name}.semantics is not known: {semantics}")
        found.append(
            api.Plan(
                revenue=one.get("credit", float),
                startup_target=one.span("goalTimeMs"),
                repeat=REPEATS[semantics],
                repeat_group=one.get("group", str, "all"),
                repeat_span=one.span("memorySpanMs", 0.0),
                floor=int(rows["classFloor"][place]),
                top=int(rows["classTop"][place]),
                seats=int(rows["classSeats"][place]),
                scale=rows["scaleByClass"][place],
            )
        )
    return tuple(found)


def read(raw: bytes) -> tuple[api.Terms, tuple[str | None, ...]]:
    """The terms, and which value of a load report stands at which place."""
    try:
        sheet = Sheet(json.loads(raw))
    except ValueError as why:
        raise BadSetting(f"profileData is not JSON: {why}") from None
    fam, allowed, rules = sheet.part("familyInfo"), sheet.part("allowed"), sheet.part("rules")
    report = sheet.part("report")
    terms = api.Terms(
        gateways=sheet.get("siblings", int),
        number=sheet.get("slotNo", int),
        zone=sheet.get("zone", int, 0),
        beat=sheet.span("tickMs"),
        plans=plans(sheet, fam),
        ladder=api.Ladder(tuple(fam.numbers("rungKb")), tuple(fam.numbers("worthByRung"))),
        lineup=api.Lineup(
            cells=fam.get("cells", int),
            racks=fam.get("racks", int),
            link_per_weight=fam.get("kbPerWeight", float),
            uplink=fam.get("rackKb", float),
            streams_by_kind=tuple(int(x) for x in fam.numbers("kindStreams")),
            weights_tell_size=sheet.get("weights", str, "silent") in ("nominal", "rough"),
            reports=report.get("source", str) == "piggyback",
            tells=report.get("source", str) != "silent",
            note_lag=fam.span("seeMs", 0.0),
            stall=fam.get("stallCost", float, 0.0),
        ),
        allowed=api.Allowed(
            probes=allowed.get("probes", bool),
            call_off=allowed.get("cancel", bool),
            tries=allowed.get("maxAttempts", int),
            advice=allowed.get("retryAfter", bool, False),
            longest_advice=allowed.span("maxRetryAfterMs", 0.0),
            must_ask=sheet.get("discovery", str) == "subscribe",
            ask_within=rules.span("askWithinMs", 0.0),
            connect=allowed.span("connectTimeoutMs", 0.0),
        ),
        rules=api.HouseRules(
            cold_share=rules.get("coldFrom", float),
            warm_after=rules.span("warmAfterMs"),
            fall_multiple=rules.get("fallMultiple", float),
            fall_span=rules.span("fallMs"),
            further_free=rules.get("freeResends", float, 0.0) if "ratioSpanMs" in rules.data else None,
            further_ratio=rules.get("resendRatio", float, 0.0),
            further_span=rules.span("ratioSpanMs", 0.0),
        ),
    )
    check(terms)
    return terms, told(report.get("fields", list, []))


def load(fields: tuple[str | None, ...], values: tuple[float, ...]) -> api.Load:
    """A load report by our names."""
    return api.Load(**{name: value for name, value in zip(fields, values, strict=False) if name})
