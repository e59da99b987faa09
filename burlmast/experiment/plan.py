"""What an experiment plays: the grid as it is stated, and each of its cells with all that decides its result.

Reads the files that the statement names; the rest takes and returns values.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec

from burlmast.model.policies import POLICIES
from burlmast.settings.read import BadSettings, evaluate, parse, read
from burlmast.settings.scenes import fitting, read_day, resized
from burlmast.settings.sheets import Deployment
from burlmast.world.troubles import Day, NotADay, check

Struct = TypeVar("Struct", bound=msgspec.Struct)
OF_SCENARIO = "scenario."


class BadPlan(Exception):
    """A statement that cannot be played: one line with its file and key."""


class Arm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One way to play a scenario."""

    variant: str
    policy: str


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment as it is written."""

    name: str
    question: str
    scenarios: tuple[str, ...]  # files beside this one
    against: Arm  # what the others are compared with
    policies: tuple[str, ...] = ("llama",)
    # Keys of the settings, or of the scenario behind `scenario.`, and their values.
    variants: dict[str, dict[str, object]] = msgspec.field(default_factory=lambda: {"plain": {}})
    seeds: int = 8
    first_seed: int = 1


class Cell(NamedTuple):
    """One day to play."""

    scenario: str
    variant: str
    policy: str
    seed: int
    day: Day
    deployment: Deployment

    @property
    def arm(self) -> tuple[str, str, str]:
        """What it shares with the cells of other seeds."""
        return self.scenario, self.variant, self.policy

    def key(self, code: str) -> str:
        """A digest of all that decides the result, the program's own text included."""
        parts = msgspec.msgpack.encode((self.day, self.deployment, self.policy, self.seed, code))
        return hashlib.blake2b(parts, digest_size=16).hexdigest()


class Plan(NamedTuple):
    """A statement and its cells, in the grid's order."""

    statement: Statement
    cells: Sequence[Cell]


def code_digest() -> str:
    """A digest of the package's text: what other text has found is not this text's result."""
    found = hashlib.blake2b(digest_size=16)
    root = Path(__file__).parent.parent
    for file in sorted(root.rglob("*.py")):
        found.update(str(file.relative_to(root)).encode() + b"\0" + file.read_bytes() + b"\0")
    return found.hexdigest()


def changed(whole: Struct, key: str, value: object) -> Struct:
    """A copy with another value at a dotted key. Raises KeyError for a key that is not there, ValueError for
    a value that does not fit."""
    kind, told = type(whole), msgspec.to_builtins(whole)
    *way, last = key.split(".")
    part = told
    for name in way:
        part = part[name]
        if not isinstance(part, dict):
            raise KeyError(name)
    if last not in part:
        raise KeyError(last)
    part[last] = value
    try:
        return msgspec.convert(told, type=kind)
    except msgspec.ValidationError as why:
        raise ValueError(str(why)) from None


def read_plan(file: str | Path) -> Plan:
    """Read a statement and all that it names. Raises BadPlan."""
    try:
        statement: Statement = msgspec.json.decode(evaluate(file), type=Statement)
    except BadSettings as why:
        raise BadPlan(str(why)) from None
    except msgspec.MsgspecError as why:
        raise BadPlan(f"{file}: {why}") from None
    for key, what in faults(statement):
        raise BadPlan(f"{file}: {key}: {what}")
    cells: list[Cell] = []
    for name in statement.scenarios:
        path = Path(file).parent / name
        try:
            day = read_day(path)
            deployment = resized(read(path.parent / day.settings), day.gateways, day.hosts)
        except (NotADay, BadSettings) as why:
            raise BadPlan(f"{file}: scenarios: {path}: {why}") from None
        for variant, changes in statement.variants.items():
            told = _varied(f"{file}: variants.{variant}", day, deployment, changes)
            for policy in statement.policies:
                for turn in range(statement.seeds):
                    cells.append(Cell(day.name, variant, policy, statement.first_seed + turn, *told))
    return Plan(statement, cells)


def faults(one: Statement) -> list[tuple[str, str]]:
    """What types alone cannot say."""
    found = []
    if not one.scenarios or len(set(one.scenarios)) < len(one.scenarios):
        found.append(("scenarios", "needs one at least, and none twice"))
    if not 1 <= one.seeds <= 1000:
        found.append(("seeds", "must be 1 to 1000"))
    if len(set(one.policies)) < len(one.policies):
        found.append(("policies", "names one twice"))
    for policy in one.policies:
        if policy not in POLICIES:
            found.append(("policies", f"there is no {policy!r}; there are {', '.join(sorted(POLICIES))}"))
    if one.against.policy not in one.policies or one.against.variant not in one.variants:
        found.append(("against", "must be one of the variants and one of the policies"))
    return found


def _varied(
    where: str, day: Day, deployment: Deployment, changes: dict[str, object]
) -> tuple[Day, Deployment]:
    for key, value in changes.items():
        try:
            if key.startswith(OF_SCENARIO):
                day = changed(day, key.removeprefix(OF_SCENARIO), value)
            else:
                deployment = changed(deployment, key, value)
        except KeyError:
            raise BadPlan(f"{where}: there is no key {key}") from None
        except ValueError as why:
            raise BadPlan(f"{where}: {key}: {why}") from None
    try:
        return fitting(check(day), deployment), parse(msgspec.json.encode(deployment).decode(), where)
    except NotADay as why:
        raise BadPlan(f"{where}: {why}") from None
    except BadSettings as why:
        raise BadPlan(str(why)) from None
