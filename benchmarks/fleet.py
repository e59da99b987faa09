"""The fleet's record, measured: orders and deaths in virtual time at size, and its cost on sockets.

python benchmarks/fleet.py model          time of an order and of a death, words and bytes, by number
python benchmarks/fleet.py cost           set-ups a second and p99 with the fleet on beside off
python benchmarks/fleet.py change         service round a change of settings beside none
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from test_fleet_members import Net
from works import ASK, Works, fleet_of, works

from burlmast.fleet.lease import Ask, Called, CoordinatorLeases, GatewayLease
from burlmast.fleet.ledger import Ledger
from burlmast.fleet.members import GONE
from burlmast.fleet.stamp import Stamp
from burlmast.http1.client import Pool, Whole

BEAT = 1000  # of the model: a beat is 1000


def orders_in_model(number: int, loss: float, apart: bool, seed: int) -> float:
    """Beats until all act on an order: a gateway asks three desks each beat, a desk a quarter beat sooner
    where it is shut out; each word is lost with a chance, and takes 5 to 50 of a beat's 1000."""
    dice = random.Random(seed)
    length = 5 * BEAT
    desks = [CoordinatorLeases(-10 * length, number, 0.02) for _ in range(3)]
    gateways = [GatewayLease(3, 0.02, length, 0) for _ in range(number)]
    known = [False] * number
    counts = [0] * number
    queue = [(dice.randrange(BEAT), n, g, d) for n, (g, d) in enumerate(
        (g, d) for g in range(number) for d in range(3))]  # fmt: skip
    heapq.heapify(queue)
    began, done = 10 * BEAT, 0
    serial = len(queue)
    acting = set()
    while queue and len(acting) < number and queue[0][0] < 400 * BEAT:
        now, _, g, d = heapq.heappop(queue)
        one = gateways[g]
        counts[g] += 1
        ordered = now >= began
        if dice.random() >= loss:  # the ask arrives
            there = now + dice.randrange(5, 50)
            ask = Ask(g, str(g), counts[g], one.epoch, one.free, length, int(known[g]))
            called = Called(1, True, length, 5 * BEAT, ()) if ordered and apart else Called()
            given = desks[d].take(there, ask, called)
            if dice.random() >= loss:  # and so does the answer
                back = there + dice.randrange(5, 50)
                one.answered(d, back, now, given)
                known[g] = known[g] or ordered
                if known[g] and one.barred() > one.epoch:
                    one.move(one.barred())
                acts = known[g] and (one.epoch == 1 and one.fresh(back) if apart else True)
                if acts and g not in acting:
                    acting.add(g)
                    done = max(done, back)
        serial += 1
        wait = BEAT if one.fresh(now) else BEAT // 4
        heapq.heappush(queue, (now + wait, serial, g, d))
    return (done - began) / BEAT if len(acting) == number else float("inf")


def model() -> None:
    """Figures of the core in virtual time."""
    print("gateways  lost  order side by side  order apart   death known   words  bytes a member and period")
    for number in (3, 50, 200, 400):
        for loss in (0.0, 0.2):
            together = [orders_in_model(number, loss, False, seed) for seed in range(3)]
            apart = [orders_in_model(number, loss, True, seed) for seed in range(3)]
            net = Net(number, 1, loss)
            net.run(10)
            sent, size = net.sent / number / 10, net.bytes / number / 10
            net.dead.add(0)
            death = net.run(40, lambda net=net: net.all_hold(0, GONE))
            false = net.longest_false / 1000
            print(
                f"{number:8}  {loss:4.1f}  {statistics.median(together):13.2f} beats"
                f"  {statistics.median(apart):6.2f} beats  {death:6.1f} periods  {sent:6.2f}  {size:6.0f}"
                f"   live held gone {false:.1f}"
            )
    one = Ledger("0123456789abcdef", 17, "", 0)
    one.open(one.announce(Stamp("b" * 64, "s" * 64, "h" * 16, 3, 12, 9), 0), 0)
    for _ in range(30):
        one.act("set up")
    rows = one.rows(time.time_ns())
    size = {row.kind: len(msgspec.msgpack.encode(row)) for row in rows}
    day = 86_400 / 5
    print(f"rows: {size} bytes; a gateway that acts all day writes {day:.0f} ranges, "
          f"{day * size['range'] / 1e6:.1f} MB")  # fmt: skip


async def load(address: tuple[str, int], seconds: float, at_once: int, rate: float) -> list[float]:
    """Set-ups at a gateway: as many as go with `at_once` out, or `rate` a second; the seconds that each took,
    in order of length."""
    pool, took, over = Pool(), [], time.monotonic() + seconds
    body = msgspec.json.encode(ASK | {"lasts": 0.2, "plan": "explainer"})
    headers = ((b"content-type", b"application/json"),)

    async def one() -> None:
        began = time.monotonic()
        try:
            status, _, _ = await Whole.of(pool, address, b"POST", b"/v1/playbacks", headers, body)
        except (ConnectionError, TimeoutError):
            return
        if status in (201, 503):
            took.append(time.monotonic() - began)

    async def worker() -> None:
        while time.monotonic() < over:
            await one()

    if rate:
        tasks = set()
        due = time.monotonic()
        while time.monotonic() < over:
            task = asyncio.ensure_future(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += 1 / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
    else:
        await asyncio.gather(*(worker() for _ in range(at_once)))
    pool.close()
    return sorted(took)


async def loaded(here: Works, seconds: float, at_once: int, rate: float) -> list[float]:
    """As `load` at gateway 0, from a process of its own."""
    words = ["load", "--port", here.gateways[0].port, "--seconds", seconds, "--rate", rate, "--out", at_once]
    process = await asyncio.create_subprocess_exec(
        sys.executable, __file__, *map(str, words), stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return msgspec.json.decode(out, type=list[float])


def processor_time(here: Works) -> float:
    """Seconds that gateway 0 has used."""
    assert here.gateways[0].process is not None
    told = Path(f"/proc/{here.gateways[0].process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


async def cost(seconds: float, rounds: int) -> None:
    """The same gateway with and without its fleet, by turns."""
    figures: dict[bool, list[tuple[float, ...]]] = {True: [], False: []}
    for turn in range(2 * rounds):
        on = turn % 2 == 0
        with tempfile.TemporaryDirectory() as folder:
            deployment = fleet_of(1, hosts=12, fleet__link_kb=1e9, fleet__uplink_kb=1e10)
            deployment = msgspec.structs.replace(
                deployment,
                edge=msgspec.structs.replace(
                    deployment.edge,
                    fleet=msgspec.structs.replace(
                        deployment.edge.fleet, beat_ms=1000.0, ledger_ms=5000.0, probe_ms=1000.0
                    ),
                ),
            )
            async with works(Path(folder), deployment, 1, gateways=False) as here:
                if not on:
                    words = here.gateways[0].words
                    place = words.index("--fleet")
                    del words[place : place + 2]
                await here.gateways[0].start()
                await here.ready(0)
                await loaded(here, 1.0, 32, 0)
                before = processor_time(here)
                count = len(await loaded(here, seconds, 32, 0))
                spent = 1e6 * (processor_time(here) - before) / max(1, count)
                half = await loaded(here, seconds, 0, count / seconds / 2)
                operators = str(here.gateways[0].told["operators"])
                _, raw = await here.get(("127.0.0.1", int(operators.rpartition(":")[2])), "/metrics")
                stall = next(
                    float(line.split()[-1])
                    for line in raw.decode().splitlines()
                    if line.startswith("burlmast_longest_stall_seconds")
                )
                figures[on].append((count / seconds, 1e3 * half[int(0.99 * len(half))], 1e3 * stall, spent))
    for on, found in figures.items():
        told = []
        for one in zip(*found, strict=True):
            told.append(f"{statistics.median(one):.1f} ({min(one):.1f} to {max(one):.1f})")
        rate, p99, stall, spent = told
        print(f"fleet {'on ' if on else 'off'}  answers/s {rate}  p99 at half {p99} ms")
        print(f"           longest stall {stall} ms  gateway's own time {spent} us an answer")


async def change(seconds: float, rounds: int) -> None:
    """Service round a change of settings, beside none, by turns: the part of requests that play, and of the
    revenue that the rungs at which they begin earn."""
    figures: dict[str, list[tuple[float, float]]] = {"none": [], "side by side": [], "apart": []}
    for _ in range(rounds):
        for how, found in figures.items():
            with tempfile.TemporaryDirectory() as folder:
                lease = 3000.0 if how == "apart" else 0.0
                deployment = fleet_of(3, lease_ms=lease, hosts=12, rules__warm_after_ms=5000.0)
                async with works(Path(folder), deployment, 3) as here:
                    answers: list[float] = []

                    async def one(number: int, here: Works = here, answers: list[float] = answers) -> None:
                        status, told = await here.ask(number % 3, lasts=5, viewer=str(number))
                        earns = here.deployment.ladder.earns
                        answers.append(earns[told["rung"]] if status == 201 else 0.0)

                    tasks = []
                    began, number = time.monotonic(), 0
                    # The first seconds of a fleet are those of cold hosts; they are not counted.
                    while time.monotonic() < began + 8 + seconds:
                        if number == int(10 * (8 + seconds / 3)) and how != "none":
                            words = ["--apart", "--within", "2"] if how == "apart" else []
                            tasks.append(asyncio.ensure_future(here.operate("order", here.version(), *words)))
                        if number == 80:
                            answers.clear()
                        tasks.append(asyncio.ensure_future(one(number)))
                        number += 1
                        await asyncio.sleep(0.1)
                    await asyncio.gather(*tasks)
                    plays = sum(1 for one in answers if one) / len(answers)
                    found.append((plays, sum(answers) / len(answers)))
    for how, found in figures.items():
        plays, earns = zip(*found, strict=True)
        told = f"{statistics.mean(earns):.3f} ({min(earns):.3f} to {max(earns):.3f})"
        print(f"{how:14} {statistics.mean(plays):.3f} of requests play, {told} of the revenue")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["model", "cost", "change", "load"])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--out", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=3)
    words = parser.parse_args()
    if words.what == "load":
        took = asyncio.run(load(("127.0.0.1", words.port), words.seconds, words.out, words.rate))
        print(msgspec.json.encode(took).decode())
        return
    runs: dict[str, Callable[[], None]] = {
        "model": model,
        "cost": lambda: asyncio.run(cost(words.seconds, words.rounds)),
        "change": lambda: asyncio.run(change(words.seconds, words.rounds)),
    }
    runs[words.what]()


if __name__ == "__main__":
    main()
