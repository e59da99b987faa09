"""What the catalogue of shards costs by its size: a coordinator's store, a gateway's part, what goes between.

python benchmarks/catalogue.py [--json FILE] [--shards 10000,100000,450000] [--gateways 910]

Each size is a process of its own, three rounds; processor time and memory of it alone.
"""

from __future__ import annotations

import argparse
import json
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from burlmast.catalogue.messages import Batch, SlicesGiven
from burlmast.catalogue.shards import Shard, part_of
from burlmast.catalogue.store import CatalogueStore
from burlmast.catalogue.subscriber import Kept, Subscriber, Terms

SLICES, COPIES, ZONES, CELLS, PIECE = 4096, 3, 10, 60, 500
AT_ONCE = 2_000
SECOND = 1_000_000_000


def memory_mb() -> float:
    """That this process holds."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def shard_of(number: int, home: int) -> Shard:
    """Names of 13 characters, four parts a title."""
    return Shard(f"title-{number // 4:07d}", number % 4, 4, home, 2)


def bring_level(
    one: Subscriber, store: CatalogueStore, now: int, fill: bool = False
) -> tuple[int, int, int, int]:
    """Ask until nothing is left; questions, bytes of them, bytes of answers, the time by the clock."""
    questions = up = down = 0
    while one.state in ("due", "pausing"):
        now = max(now, one.due)
        one.fires(now)
        found = one.ask()
        if found is None:
            break
        asked = msgspec.json.encode(found[1])
        news = store.news(found[1].slices, PIECE, lambda: True)
        answer = msgspec.json.encode(SlicesGiven(store.line, store.applied, news.slices, news.later))
        one.given(now, msgspec.json.decode(answer, type=SlicesGiven))
        questions, up, down = questions + 1, up + len(asked), down + len(answer)
    return questions, up, down, now


def measured(shards: int, gateways: int, folder: Path) -> dict[str, Any]:
    """One size, in this process."""
    found: dict[str, Any] = {"shards": shards, "gateways": gateways}
    before, began = memory_mb(), time.process_time()
    store = CatalogueStore(folder, SLICES)
    store.begin("bench", 1)
    for first in range(0, shards, AT_ONCE):
        rows = (shard_of(n, n % CELLS) for n in range(first, min(shards, first + AT_ONCE)))
        store.apply(store.applied + 1, Batch(tuple(rows)))
    found["store loaded, processor s"] = time.process_time() - began
    store.close()
    found["store on the disk, MB"] = sum(one.stat().st_size for one in folder.iterdir()) / 1e6
    began = time.process_time()
    store = CatalogueStore(folder, SLICES)
    found["store opened, processor s"] = time.process_time() - began
    found["store held, MB"] = memory_mb() - before
    changes, began = 200, time.process_time()
    for n in range(changes):
        store.apply(store.applied + 1, Batch((shard_of(n * 7919 % shards, (n + 1) % CELLS),)))
    found["a change of one row applied, us"] = (time.process_time() - began) / changes * 1e6

    before, began = memory_mb(), time.process_time()
    own = part_of(gateways // 2, SLICES, gateways, ZONES, COPIES)
    one = Subscriber(own, 5, Terms(SLICES), 7)
    found["own slices"] = len(own)
    one.hear(0, 0, store.line, store.applied)
    questions, up, down, now = bring_level(one, store, 0)
    found |= {
        "part, shards": one.shards,
        "part taken whole, processor ms": (time.process_time() - began) * 1e3,
        "part taken whole, questions": questions,
        "part taken whole, bytes": up + down,
        "part held, MB": memory_mb() - before,
        "part on the disk, bytes": len(msgspec.msgpack.encode(one.kept())),
    }
    began = time.process_time()
    Subscriber(
        own, 5, Terms(SLICES), 7, msgspec.msgpack.decode(msgspec.msgpack.encode(one.kept()), type=Kept)
    )
    found["part read from the disk, processor ms"] = (time.process_time() - began) * 1e3
    rounds, ups, began = 500, 0, time.process_time()
    for n in range(rounds):
        store.apply(store.applied + 1, Batch((shard_of(n * 104_729 % shards, n % CELLS),)))
        one.hear(now, 0, store.line, store.applied)
        _, up, down, now = bring_level(one, store, now)
        ups += up + down
    both = (time.process_time() - began) / rounds * 1e6
    found["a change, both ends and its write, us"] = both
    found["a change, question and answer, bytes"] = ups / rounds
    names = [row.title for piece in one.slices.values() for row in piece.rows.values()]
    began = time.process_time()
    for n in range(20_000):
        one.find(now, names[n % len(names)] if names else "none", n)
    found["a title found, us"] = (time.process_time() - began) / 20_000 * 1e6
    store.close()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--shards", default="10000,100000,450000")
    parser.add_argument("--gateways", type=int, default=910)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", default="")
    parser.add_argument("--one", type=int, default=0, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.one:
        with tempfile.TemporaryDirectory(prefix="catalogue-") as folder:
            print(json.dumps(measured(told.one, told.gateways, Path(folder) / "store")))
        return
    columns = []
    for shards in map(int, told.shards.split(",")):
        rows = []
        for turn in range(told.rounds):
            words = [sys.executable, __file__, "--one", str(shards), "--gateways", str(told.gateways)]
            rows.append(json.loads(subprocess.run(words, check=True, capture_output=True, text=True).stdout))
            print(f"{shards} shards, round {turn + 1} of {told.rounds}", file=sys.stderr, flush=True)
            if told.json:
                with Path(told.json).open("a") as out:
                    out.write(json.dumps(rows[-1]) + "\n")
        columns.append(rows)
    print("| | " + " | ".join(f"{rows[0]['shards']:,}" for rows in columns) + " |")
    print("| --- |" + " --- |" * len(columns))
    for name in list(columns[0][0])[2:]:
        cells = []
        for rows in columns:
            values = sorted(one[name] for one in rows)
            middle = statistics.median(values)
            spread = f" ({values[0]:,.4g} to {values[-1]:,.4g})" if values[0] != values[-1] else ""
            cells.append(f"{middle:,.4g}{spread}")
        print(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
