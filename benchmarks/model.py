"""How fast the model runs: simulated over real time and cost a request, at constant load a host."""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor, wait
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


def one_run(gateways: int, hosts: int, lasts: float, seed: int) -> tuple[float, float, float, list[int]]:
    """Simulated seconds, processor seconds, requests, and rules broken."""
    third = lasts / 3
    troubles = (Trouble("crash", third, third, 0.1), Trouble("short uplinks", third, third, 0.3, 3))
    one = deployment(gateways, hosts)
    began = time.process_time()
    played = play(ground(one), Day("speed", lasts, troubles), seed, Gateway, rulebook(one))
    took = time.process_time() - began
    simulated = (played.records[-1].at - played.records[0].at) / 1e9
    return simulated, took, played.verdict.asked, played.verdict.rules


def sizes(lasts: float, rounds: int) -> None:
    """One process, four sizes; each round goes through all of them, so that a slow minute hits all."""
    found: dict[tuple[int, int], list[tuple[float, float, float, list[int]]]] = {size: [] for size in SIZES}
    for turn in range(rounds):
        for size in SIZES:
            found[size].append(one_run(*size, lasts, turn))
    print(
        "gateways x hosts  simulated/real, median (least to most)  ms a request (least to most)  rules broken"
    )
    for (gateways, hosts), runs in found.items():
        speeds = [simulated / took for simulated, took, _, _ in runs]
        costs = [took / asked * 1000 for _, took, asked, _ in runs]
        rules = sorted({rule for *_, broken in runs for rule in broken})
        speed = f"{statistics.median(speeds):9.2f} ({min(speeds):.2f} to {max(speeds):.2f})"
        cost = f"{statistics.median(costs):6.2f} ({min(costs):.2f} to {max(costs):.2f})"
        print(f"{gateways:6} x {hosts:<6} {speed:>34} {cost:>26}   {rules}")


def spin(_: int) -> int:
    """Work that shares nothing but the machine, for what more processes can give at most."""
    total = 0
    for number in range(20_000_000):
        total += number & 7
    return total


def limit(rounds: int, count: int) -> None:
    """The same loop in one process and in as many as there are cores."""
    gains = []
    for _ in range(rounds):
        took = []
        for workers in (1, count):
            with ProcessPoolExecutor(workers) as pool:
                list(pool.map(abs, range(workers)))
                began = time.perf_counter()
                list(pool.map(spin, range(2 * count)))
                took.append(time.perf_counter() - began)
        gains.append(took[0] / took[1])
    print(f"limit, a plain loop: {statistics.median(gains):.2f} ({min(gains):.2f} to {max(gains):.2f})")


def processes(lasts: float, rounds: int, count: int) -> None:
    """The same days one after another in one process, and over as many processes as there are cores."""
    days, gains = 3 * count, []
    for turn in range(rounds):
        took = []
        for workers in (1, count):
            with ProcessPoolExecutor(workers) as pool:
                list(pool.map(abs, range(workers)))  # workers stand ready
                began = time.perf_counter()
                work = [pool.submit(one_run, 50, 40, lasts, turn * days + day) for day in range(days)]
                wait(work)
                took.append(time.perf_counter() - began)
        gains.append(took[0] / took[1])
    median, least, most = statistics.median(gains), min(gains), max(gains)
    print(f"{count} processes over one, {days} days of 50 x 40: {median:.2f} ({least:.2f} to {most:.2f})")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lasts", type=float, default=30.0, help="simulated seconds of arrivals")
    parser.add_argument("--rounds", type=int, default=3)
    found = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, {found.rounds} rounds")
    sizes(found.lasts, found.rounds)
    processes(found.lasts, found.rounds, os.cpu_count() or 1)
    limit(found.rounds, os.cpu_count() or 1)


if __name__ == "__main__":
    main()
