"""How fast the model runs: simulated over real time and cost a request, at constant load a host."""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import time
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from burlmast.logic import Gateway
from burlmast.model.day import play
from burlmast.model.ground import ground
from burlmast.settings.read import read
from burlmast.settings.scenes import rulebook
from burlmast.settings.sheets import Deployment, Title
from burlmast.world.troubles import Day, Trouble

SAMPLE = Path(__file__).parent.parent / "deploy" / "samples" / "recordings.jsonnet"
SIZES = ((3, 12), (50, 40), (200, 130), (400, 260))
A_HOST = 22 / 130  # playbacks a second


def deployment(gateways: int, hosts: int) -> Deployment:
    """The sample at another size: as many cells as hosts, racks of eight, two titles a host."""
    found, replace = read(SAMPLE), msgspec.structs.replace
    racks = max(1, hosts // 8)
    return replace(
        found,
        gateways=gateways,
        fleet=replace(
            found.fleet, cells=hosts, racks=racks, uplink_kb=found.fleet.link_kb * hosts / racks * 0.72
        ),
        titles=tuple(Title(f"t{n}", n * 7 % hosts, 4) for n in range(2 * hosts)),
        stand_ins=replace(found.stand_ins, hosts=hosts, a_second=A_HOST * hosts, lasts_s=(15.0, 39.0)),
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lasts", type=float, default=30.0, help="simulated seconds of arrivals")
    parser.add_argument("--rounds", type=int, default=3)
    found = parser.parse_args()
    third = found.lasts / 3
    troubles = (Trouble("crash", third, third, 0.1), Trouble("short uplinks", third, third, 0.3, 3))
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, one process, {found.rounds} rounds")
    print("gateways x hosts  simulated/real, median (least to most)  ms a request  service  rules broken")
    for gateways, hosts in SIZES:
        one = deployment(gateways, hosts)
        day = Day("speed", found.lasts, troubles)
        speeds, costs = [], []
        for turn in range(found.rounds):
            began = time.process_time()
            verdict, records, *_ = play(ground(one), day, turn, Gateway, rulebook(one))
            took = time.process_time() - began
            lasted = (records[-1].at - records[0].at) / 1e9
            speeds.append(lasted / took)
            costs.append(took / verdict.asked * 1000)
        speed = f"{statistics.median(speeds):12.2f} ({min(speeds):.2f} to {max(speeds):.2f})"
        cost = f"{statistics.median(costs):10.2f}   {verdict.service:.3f}   {verdict.rules}"
        print(f"{gateways:6} x {hosts:<6} {speed}      {cost}")


if __name__ == "__main__":
    main()
