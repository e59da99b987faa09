"""Plays the operators' small days over many seeds and writes a table with a row for every seed.

    python benchmarks/seeds.py BENCH SITE --day roll+mass --seeds 1-10 --out FOLDER

BENCH is the operators' bench, played from the folder that this is called in, so that journal entries come to
lie there. What it prints, its records and its logs stay in FOLDER; a seed that failed is kept like any other.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import pairwise
from pathlib import Path
from typing import Any

READY_WITHIN = 10.0  # s; nine in ten restarted gateways
LATE = 0.02  # of a day's processor time that the bench itself was late by


def seeds_of(text: str) -> list[int]:
    """`1-3,7` as 1, 2, 3, 7."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def play(told: argparse.Namespace, day: str, seed: int) -> dict[str, Any]:
    """One seed of one day."""
    name = f"{day}-{seed}"
    record, logs = told.out / f"{name}.json", told.out / f"logs-{name}"
    logs.mkdir(parents=True, exist_ok=True)
    began = time.monotonic()
    words = f"{told.bench} {told.site} --rough {day} --nodes {told.nodes} --seed {seed} --no-build".split()
    words += ["--logs", str(logs), "--json", str(record), "--why", told.why]
    done = subprocess.run(words, capture_output=True, text=True)
    (told.out / f"{name}.txt").write_text(done.stdout + done.stderr)
    try:
        read = json.loads(record.read_text())
    except (OSError, ValueError):
        read = {}
    return row(day, seed, read, done.returncode, time.monotonic() - began)


def played(
    told: argparse.Namespace, pool: ThreadPoolExecutor, asked: list[tuple[str, int]]
) -> list[dict[str, Any]]:
    """All of them, begun one after the other, so that no two fleets start their processes together."""
    found = []
    for place, one in enumerate(asked):
        found.append(pool.submit(play, told, *one))
        time.sleep(told.apart if place < told.jobs else 0)
    return [one.result() for one in found]


def keep(told: argparse.Namespace, day: str, seed: int) -> dict[str, Any]:
    """The row of a seed that was played before."""
    read = json.loads((told.out / f"{day}-{seed}.json").read_text())
    return row(day, seed, read, 0, read["wall_ms"] / 1000)


def row(day: str, seed: int, read: dict[str, Any], code: int, took: float) -> dict[str, Any]:
    """What the table says of one seed."""
    real, kept = read.get("real", {}), read.get("row", {})
    seen, rules = real.get("seen", {}), kept.get("rules", {})
    broken = ", ".join(f"{rule} {count}" for rule, count in rules.items() if count) or "none"
    restarts = seen.get("restart_s", [])
    windows = read.get("windows", [])
    return {
        "day": day,
        "seed": seed,
        "gate": "no record" if not kept else kept.get("fault") or read.get("fault") or "kept",
        "broken": broken,
        "score": kept.get("score"),
        "served": kept.get("served"),
        "least": kept.get("served_least"),
        "refused": sum(one.get("refused", 0) for one in windows),
        "closed": seen.get("closed_unserved"),
        "after leaving": seen.get("gone_waiting"),
        "struck": seen.get("struck"),
        "late": sum(1 for one in restarts if one > READY_WITHIN),
        "slowest": max(restarts, default=seen.get("start_s", 0.0)),
        "classes": [
            (name, round(served, 3), round(least, 3)) for name, served, least in kept.get("by_class", [])
        ],
        "thirds": thirds(windows),
        "overdue": seen.get("overdue"),
        "files": kept.get("files"),
        "behind": read.get("cpu_late", 0.0) > LATE or real.get("cpu_untold_s", 0.0) > LATE,
        "code": code,
        "took": round(took),
    }


def thirds(windows: list[dict[str, Any]]) -> list[float]:
    """The share of the worth that each third of a day's windows served."""
    cuts = [round(place * len(windows) / 3) for place in range(4)]
    parts = [windows[first:last] for first, last in pairwise(cuts)]
    return [
        round(sum(w["worth_served"] for w in part) / (sum(w["worth_offered"] for w in part) or 1), 3)
        for part in parts
    ]


def table(rows: list[dict[str, Any]]) -> str:
    """The rows as Markdown."""
    heads = [name for name in rows[0] if name != "day"]
    lines = ["| day | " + " | ".join(heads) + " |", "|" + " --- |" * (len(heads) + 1)]
    for one in rows:
        cells = [f"{one[name]:.3f}" if isinstance(one[name], float) else str(one[name]) for name in heads]
        lines.append(f"| {one['day']} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main() -> int:
    """Play what is asked for; 1 where a seed broke a rule, crashed or left no record."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seeds", type=seeds_of, default=seeds_of("1-10"))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=6, help="days at a time; each wants a core")
    parser.add_argument("--apart", type=float, default=4.0, help="seconds between the first starts")
    parser.add_argument("--read", action="store_true", help="only the table, of what FOLDER holds")
    parser.add_argument("--why", default="Small days over many seeds")
    parser.add_argument("--out", type=Path, required=True)
    told = parser.parse_args()
    told.out.mkdir(parents=True, exist_ok=True)
    asked = [(day, seed) for day in told.day for seed in told.seeds]
    with ThreadPoolExecutor(told.jobs) as pool:
        rows = list(pool.map(lambda one: keep(told, *one), asked) if told.read else played(told, pool, asked))
    (told.out / "rows.json").write_text(json.dumps(rows, indent=1))
    print(table(rows))
    return int(any(one["gate"] != "kept" or one["broken"] != "none" or one["code"] for one in rows))


if __name__ == "__main__":
    sys.exit(main())
