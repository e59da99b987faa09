"""What stitching costs: playlists a second with and without a programme, growth with playbacks and notices,
how long a change takes to reach everybody, and what a write costs. One process, no sockets."""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from burlmast.stitch.programme import Notice, Programme
from burlmast.stitch.reel import Chosen, Reel, Stitching
from burlmast.stitch.store import Change, Store
from burlmast.stitch.writers import hls

S = 1_000_000_000
SEGMENT = 2 * S


def programme(count: int, version: int = 1) -> Programme:
    """A tenth is for everybody, the others for one title each; all come again every few minutes."""
    return Programme(
        version,
        tuple(
            Notice(
                f"n{n:03}",
                version,
                3000.0,
                (0, 1, 2),
                0,
                3,
                must=n % 3 == 0,
                every_ms=60_000.0 + 10_000 * n,
                titles=() if n % 10 == 0 else (f"title-{n % 50}",),
            )
            for n in range(count)
        ),
    )


class Hall:
    """Reels of many playbacks, and the programme that they read."""

    def __init__(self, playbacks: int, notices: int | None) -> None:
        self.programme = programme(notices or 0)
        told = Stitching(lambda: self.programme, self.choose, lambda: 1e9)
        stitching = told if notices is not None else None
        self.reels = [Reel(f"title-{n % 50}", "p", SEGMENT, 6, 2, stitching) for n in range(playbacks)]
        self.now = S
        for reel in self.reels:
            reel.begin(self.now, "h:1", 1)

    @staticmethod
    def choose(one: Notice, rung: int) -> Chosen:
        return Chosen(one.recording, one.version, rung, int(one.lasts_ms * 1e6))

    def listen(self) -> None:
        """A segment's time passes, and every playlist is read once."""
        self.now += SEGMENT
        for reel in self.reels:
            reel.draft(self.now)
            reel.take_heard()
            reel.publish(len(reel.drafted))
            hls(reel, self.now, 1e9)


def timed(work: Callable[[], object]) -> float:
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def told(values: list[float], form: str = ",.0f") -> str:
    return f"{statistics.median(values):{form}} ({min(values):{form}} to {max(values):{form}})"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, one process, {rounds} rounds")
    sizes = {
        "500 playbacks, nothing stitched": Hall(500, None),
        "500 playbacks, empty programme": Hall(500, 0),
        "500 playbacks, 20 notices": Hall(500, 20),
        "500 playbacks, 200 notices": Hall(500, 200),
        "5000 playbacks, 20 notices": Hall(5000, 20),
        "5000 playbacks, 200 notices": Hall(5000, 200),
    }
    rates: dict[str, list[float]] = {name: [] for name in sizes}
    for hall in sizes.values():
        hall.listen()
    for _ in range(rounds):  # side by side: each round goes through all
        for name, hall in sizes.items():
            times = 20 if len(hall.reels) == 500 else 2
            took = timed(lambda hall=hall, times=times: [hall.listen() for _ in range(times)])
            rates[name].append(times * len(hall.reels) / took)
    for name, found in rates.items():
        print(f"{name:34} {told(found)} playlists a second")
    plain, full = (
        statistics.median(rates[f"500 playbacks, {what}"]) for what in ("nothing stitched", "200 notices")
    )
    print(f"200 notices over nothing stitched: {full / plain:.2f}")
    with tempfile.TemporaryDirectory() as folder:
        store, hall = Store(Path(folder)), sizes["5000 playbacks, 200 notices"]
        reach, kept, stated = [], [], []
        for turn in range(rounds):
            change = programme(200, turn + 2)
            stated.append(timed(lambda change=change: store.save_programme(change)) * 1000)
            hall.programme = change
            hall.now += SEGMENT
            reach.append(timed(lambda: [reel.draft(hall.now) for reel in hall.reels]) * 1000)
            changes = [
                Change(f"p{n}", "v", reel.title, reel.keep(), reel.take_heard())
                for n, reel in enumerate(hall.reels)
            ]
            kept.append(timed(lambda changes=changes, turn=turn: store.save(changes, turn)) * 1000)
            for reel in hall.reels:
                reel.publish(len(reel.drafted))
        store.close()
    print(f"a change of 200 notices on the disk, twice: {told(stated, '.1f')} ms")
    print(f"5000 playbacks draft by it: {told(reach, '.1f')} ms")
    print(f"and are kept in one transaction: {told(kept, '.1f')} ms")


if __name__ == "__main__":
    main()
