"""Writes a variant of the operators' site at hand, for a quick look at what is fitted to that site.

    python deploy/sites/vary.py SITE.toml stalls
    python deploy/sites/vary.py SITE.toml exams

The variant and its companions come to lie in a folder of its name beside this file, which is not kept.
It ends with 2 and one line where there is no site, or where the site lacks what a difference names.
"""

from __future__ import annotations

import re
import shutil
import sys
from pathlib import Path
from typing import Any, NamedTuple

COMPANIONS = ("real.json", "wire.json", "design.json", "unlock.txt")


class Difference(NamedTuple):
    """What a variant has otherwise."""

    sets: dict[str, dict[str, Any]]  # table: key: value
    tables: dict[str, list[dict[str, Any]]]  # tables of which the site's own are left out


def plan(
    name: str, share: float, aim: int, deadline: int, worth: float, effect: str, **more: Any
) -> dict[str, Any]:
    """A class of the site."""
    return {
        "name": name, "share": share, "work_ms": [40, 120], "aim_ms": aim, "deadline_ms": deadline,
        "worth": worth, "late_worth": 0, "effect": effect, "stream": True, **more,
    }  # fmt: skip


VARIANTS = {
    # Many tenants with uneven shares, few connections at hosts, three classes, other costs.
    "stalls": Difference(
        sets={
            "tier.conn": {"cap_per_core": [120, 180], "idle_s": 9, "streams": 8},
            "prices": {"cross_zone": 0.03, "probe": 0.002, "moves": 0.05},
            "load": {"worth_by": "request", "zone_skew": [0.2, 0.4]},
            "tier.kind": {"cold_from": [0.2, 0.3], "cold_s": [9, 14]},
            "fam": {"stall": [3, 4], "life_s": [14, 30], "rungs": 3},
        },
        tables={
            "class": [
                plan("stall-front", 0.5, 900, 3500, 1.0, "safe"),
                plan("stall-back", 0.3, 700, 2500, 2.5, "safe", work_ms=[60, 90]),
                plan("bell", 0.2, 1200, 4000, 0.6, "safe", work_ms=[20, 60]),
            ],
            "fam.class": [
                {"scale": 1, "life": 0.7}, {"scale": 0.6, "life": 1.2}, {"scale": 1.3, "life": 0.4},
            ],
            "tenant": [
                {"name": f"row-{place}", "share": share, "usage": [0.6, 1.4]}
                for place, share in enumerate((8, 5, 3, 3, 2, 2, 1, 1, 1, 1))
            ],
        },
    ),
    # Classes that must not run twice, little time, dear failures.
    "exams": Difference(
        sets={
            "prices": {"late_fail": 0.3, "cross_zone": 0.004},
            "tier.kind": {"cold_from": [0.5, 0.7], "cold_s": [4, 7]},
            "rules": {"drain_grace_ms": 600, "fall_ms": 1500, "fall_multiple": 2.5},
            "allow": {"max_attempts": 2},
            "fam": {"rungs": 5, "stall": [7, 9]},
        },
        tables={
            "class": [
                plan("oral", 0.4, 450, 1300, 3.0, "unsafe"),
                plan("written", 0.4, 500, 1500, 1.5, "unsafe", work_ms=[30, 70]),
                plan("rehearsal", 0.2, 300, 900, 0.5, "safe", work_ms=[20, 50]),
            ],
            "fam.class": [
                {"scale": 1.2, "life": 0.8}, {"scale": 0.8, "life": 0.6}, {"scale": 0.5, "life": 0.5},
            ],
        },
    ),
}  # fmt: skip
HEADER = re.compile(r"^(\[\[?)([\w.]+)\]\]?\s*$")


def written(value: Any) -> str:
    """A value as TOML has it."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return f"[{', '.join(map(written, value))}]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def vary(text: str, name: str, difference: Difference) -> str:
    """The site's text with the difference. Raises KeyError for a table or key that the site lacks."""
    parts: list[tuple[str, list[str]]] = [("", [])]
    for line in text.splitlines():
        found = HEADER.match(line)
        if found:
            parts.append((found[2], []))
        parts[-1][1].append(line)
    lacking = {table for table in difference.sets if table not in {part for part, _ in parts}}
    if lacking:
        raise KeyError(f"the site has no {min(lacking)}")
    out: list[str] = []
    added = set()
    for table, lines in parts:
        if table in difference.tables:
            if table not in added:
                added.add(table)
                out += tables(table, difference.tables[table])
            continue
        for key, value in difference.sets.get(table, {}).items():
            said = f"{key} = {written(value)}"
            there = [place for place, line in enumerate(lines) if re.match(rf"{key}\s*=", line)]
            lines[there[0] if there else 1 : there[0] + 1 if there else 1] = [said]
        out += lines
    for table in difference.tables:
        if table not in added:
            out += tables(table, difference.tables[table])
    return re.sub(r'^name = ".*"', f'name = "{name}"', "\n".join(out) + "\n", count=1, flags=re.M)


def tables(name: str, rows: list[dict[str, Any]]) -> list[str]:
    """An array of tables."""
    found: list[str] = []
    for row in rows:
        found += [f"[[{name}]]", *(f"{key} = {written(value)}" for key, value in row.items()), ""]
    return found


def main(words: list[str]) -> int:
    """Write a variant; the exit code."""
    if len(words) != 2 or words[1] not in VARIANTS:
        print(f"usage: vary.py SITE.toml {'|'.join(VARIANTS)}", file=sys.stderr)
        return 2
    site, name = Path(words[0]), words[1]
    try:
        text = vary(site.read_text(), name, VARIANTS[name])
    except (OSError, KeyError) as why:
        print(f"vary.py: no variant of {site.name}: {why.args[-1]}", file=sys.stderr)
        return 2
    folder = Path(__file__).parent / name
    folder.mkdir(exist_ok=True)
    (folder / f"{name}.toml").write_text(text)
    for companion in COMPANIONS:
        if (site.parent / companion).exists():
            shutil.copyfile(site.parent / companion, folder / companion)
    print(folder / f"{name}.toml")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
