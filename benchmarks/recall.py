"""Advice spread by chance against the fixed longest one, in the model: paired seeds, three sizes, three
kinds of viewers.

A quarter of the hosts dies at once while more viewers come, so that many are rejected together.
"""

from __future__ import annotations

import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent))

import msgspec
from model import deployment

from burlmast.logic import Gateway
from burlmast.model.day import play
from burlmast.model.ground import ground
from burlmast.settings.scenes import rulebook
from burlmast.world.crowd import Uniform, Viewers
from burlmast.world.troubles import Day, Trouble

DAY = Day("return", 24.0, (Trouble("crash", 8, 8, 0.25), Trouble("burst", 6, 8, 1, 2.5)))
SIZES, HONOURS, SEEDS = ((3, 12), (50, 40), (200, 130)), (1.0, 0.6, 0.0), range(8)


def once(gateways: int, hosts: int, honour: float, recall: bool, seed: int) -> tuple[float, int, int, int]:
    """Part watched, requests, rejections, and rules broken."""
    one = deployment(gateways, hosts)
    replace = msgspec.structs.replace
    fleet_terms = replace(one.fleet, streams_by_kind=(9,))  # few places, so that hosts turn set-ups away
    one = replace(one, fleet=fleet_terms, allowed=replace(one.allowed, longest_advice_ms=2000.0))
    viewers = Viewers(honour=honour, pause=Uniform(0.1, 0.5))
    day = replace(DAY, load=1.6, viewers=viewers)
    played = play(ground(one)._replace(recall=recall), day, seed, Gateway, rulebook(one))
    verdict = played.verdict
    return played.players.watched, verdict.asked, verdict.rejected, len(verdict.rules)


def main() -> None:
    print(f"{os.cpu_count()} cores; {len(SEEDS)} paired seeds; part of what was wanted that was watched")
    print(
        "gateways x hosts  honour   fixed   spread   gain, mean (standard error)   rejections fixed, spread"
    )
    with ProcessPoolExecutor() as pool:
        for gateways, hosts in SIZES:
            for honour in HONOURS:
                pairs = {
                    kind: [pool.submit(once, gateways, hosts, honour, kind, seed) for seed in SEEDS]
                    for kind in (False, True)
                }
                fixed, spread = ([one.result() for one in pairs[kind]] for kind in (False, True))
                gains = [new[0] - old[0] for old, new in zip(fixed, spread, strict=True)]
                error = statistics.stdev(gains) / len(gains) ** 0.5
                means = [statistics.mean(one[0] for one in found) for found in (fixed, spread)]
                counts = [sum(one[2] for one in found) for found in (fixed, spread)]
                broken = sum(one[3] for one in (*fixed, *spread))
                print(
                    f"{gateways:6} x {hosts:<6}  {honour:8.0%}   {means[0]:.4f}  {means[1]:.4f}   "
                    f"{statistics.mean(gains):+.4f} ({error:.4f})   {counts[0]}, {counts[1]}"
                    + (f"   rules broken: {broken}" if broken else "")
                )


if __name__ == "__main__":
    main()
