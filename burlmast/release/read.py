"""From a plan's template to a checked `Plan`."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burlmast.release.plan import Plan, faults
from burlmast.settings.read import BadSettings, evaluate, read


def is_plan(file: str) -> bool:
    """Whether a template is a plan rather than settings. Raises BadSettings where it is no template."""
    try:
        found = msgspec.json.decode(evaluate(file))
    except msgspec.DecodeError:
        return False
    return isinstance(found, dict) and "ladder" not in found and ("command" in found or "settings" in found)


def read_plan(file: str, gateways: int = 1000) -> Plan:
    """A plan whose settings are the canonical text of the file that it names, beside its own. Raises
    BadSettings."""
    try:
        plan: Plan = msgspec.json.decode(evaluate(file), type=Plan)
    except msgspec.ValidationError as why:
        what, _, place = str(why).partition(" - at ")
        raise BadSettings(file, place.strip("`").removeprefix("$.") or "plan", what) from None
    except msgspec.DecodeError as why:
        raise BadSettings(file, "template", str(why)) from None
    if plan.settings:
        found = read(Path(file).parent / plan.settings)
        gateways = found.gateways
        text = msgspec.json.encode(found).decode("utf-8")
    for key, what in faults(plan, gateways):
        raise BadSettings(file, key, what)
    return msgspec.structs.replace(plan, settings=text) if plan.settings else plan
