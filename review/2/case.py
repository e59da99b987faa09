"""Rule 3: nothing new to a host later than the grace after it was told to drain; the name server is slow."""

import asyncio
import sys
import time

from standin import CannotRun, Scene, main, settings, verdict

GRACE, SLACK = 0.25, 0.05  # seconds: the deployment's drainGraceMs, and the protocol's 50 ms
SLOW = 2.9  # seconds that each answer of the name server takes, from one moment on
SILENT = 4.5  # seconds after a name server fell silent by which all counts as told
HOSTS, DRAINED = 12, 4
PLANS = (("bill-explainer", 1.0, 800.0), ("onboarding", 3.0, 1000.0))


def terms() -> dict:
    plans = [
        {"credit": credit, "goalTimeMs": target, "group": "all", "hardLimitMs": 3000.0, "lateWorth": 0.0,
         "memorySpanMs": 5000.0, "name": name, "semantics": "repeatable", "streamed": True}
        for name, credit, target in PLANS
    ]  # fmt: skip
    return settings(
        requestClasses=plans,
        report={"source": "pull"},
        rules={"drainGraceMs": 1000 * GRACE, "fallMultiple": 2.0, "fallMs": 1000.0},
        familyInfo={
            "cells": HOSTS, "classFloor": [0, 0], "classLive": [False, False], "classSeats": [0, 0],
            "classTop": [3, 3], "scaleByClass": [1.0, 1.2], "refusesFrom": 0.0,
            "toldEveryMs": 0.0,
        },
    )  # fmt: skip


async def ask(scene: Scene, viewers, number: int) -> None:
    name = f"{0x9B1F03AA00000000 + number:016x}"
    plan = PLANS[number % 3 == 2][0]
    extras = f"home:{number % HOSTS};copies:4;top:3;viewer:{name}"
    viewers.set_up(name, plan, 2800, "7f3a9c21e0b4d655", extras)


async def case(scene: Scene) -> int:
    for place in range(HOSTS):
        await scene.add_host(f"s-00c41f{place:02x}", place)
    gateway = await scene.add_gateway("n1", terms())
    await asyncio.sleep(12.5)  # until hosts that may have started with it are warm
    viewers = await scene.viewers(gateway)
    number, event, drained_at = 0, 0, 0.0
    began = time.monotonic()
    drained = scene.hosts[::3][:DRAINED]
    while time.monotonic() - began < 13:
        if not event and time.monotonic() - began > 4:
            drained_at = time.monotonic()
            if scene.trouble:
                scene.names.delay = SLOW
                scene.record(f"name server: from now on each answer takes {SLOW} s")
            for host in drained:
                scene.names.draining.add(host.name)
                host.refuses = True
            event = scene.names.event(f"{', '.join(host.name for host in drained)} drain")
        await ask(scene, viewers, number)
        number += 1
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    before = [at for host in drained for at, _ in host.setups if at < drained_at]
    if len(before) < 3 or event not in scene.names.told:
        raise CannotRun(f"{len(before)} set-ups to those hosts before the drain")
    # The latest that the pages offer: an answer that holds it, and 4.5 s from when answers stayed out.
    told = scene.names.told[event]
    if scene.trouble:
        told = max(told, drained_at + SILENT)
    scene.record(f"told {told - drained_at:.3f} s after the event")
    broken = [
        f"host {host.name} got the set-up {session:016x} {at - told:.3f} s after the gateway was told"
        f" ({at - drained_at:.3f} s after the event)"
        for host in drained
        for at, session in host.setups
        if at > told + GRACE + SLACK
    ]
    return verdict(scene.record, broken)


main(sys.argv[1], case)
