"""Releases as several processes, with faults between them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from test_drains_processes import Watch, limited
from works import Works, fleet_of, works

from burlmast.fleet.orders import Book
from burlmast.release import steps
from burlmast.release.steps import Release
from burlmast.settings.scenes import rulebook
from burlmast.world.audit import audit
from burlmast.world.traffic import TryOver

WATCH = {"canary_s": 1.0, "wave_s": 0.5, "least": 10, "longest": 20.0}


def plan(here: Works, settings: str = "", **words: object) -> str:
    """A plan's file."""
    found = {"name": "next", "waves": [0.5, 1.0], "watch": WATCH, "lag_s": 10.0} | words
    if settings:
        found["settings"] = settings
    file = here.folder / "plan.json"
    file.write_bytes(msgspec.json.encode(found))
    return str(file)


async def started(here: Works, file: str) -> None:
    code, told = await here.release("start", file)
    assert code == 0, told


async def book(here: Works) -> Book:
    """The book, by whichever desk knows most."""
    books = [Book()]
    for one in here.desks:
        _, body = await here.get(one.address, "/fleet/v1/book")
        if body:
            books.append(msgspec.json.decode(body, type=Book))
    return max(books, key=lambda one: one.moved)


async def last(here: Works) -> Release:
    return steps.all_of(await book(here))[-1]


async def until_state(here: Works, *states: str, within: float = 30.0) -> Release:
    async def is_so() -> bool:
        return (await last(here)).state in states

    try:
        await here.until(is_so, within)
    except AssertionError:
        print((await here.release("status"))[1])
        raise
    return await last(here)


async def versions(here: Works) -> list[str]:
    return [str((await here.own(n))["stamp"][1])[:8] for n in range(len(here.gateways))]


def test_a_sound_version_goes_out_in_waves(tmp_path: Path) -> None:
    async def run() -> None:
        async with works(tmp_path, limited(fleet_of(5, hosts=12), gateways=3), 3) as here:
            watch = Watch(here)
            await started(here, plan(here, here.version()))
            done = await until_state(here, "done", "halted", "given up")
            await watch.stop()
            assert done.state == "done", done.why
            assert [one.state for one in done.log] == [
                "canary", "watching", "wave", "watching", "wave", "watching", "done",
            ]  # fmt: skip
            assert len(set(await versions(here))) == 1
            code, told = await here.release("status")
            assert code == 0 and "(next)  done  wave 2 of 2, 5 touched" in told, told

    asyncio.run(run())


@pytest.mark.parametrize(
    "plant", [7, 8, 9, 10], ids=["more fail", "slower", "under load only", "after some time"]
)
def test_a_bad_version_is_halted_and_goes_back(tmp_path: Path, plant: int) -> None:
    """It is found at the canary or in the first wave; most gateways never see it."""

    async def run() -> None:
        async with works(tmp_path, limited(fleet_of(6, hosts=12), gateways=4), 1, gateways=False) as here:
            for one in here.gateways:
                one.extra = ["--fleet-plant", str(plant)]
            await asyncio.gather(*(one.start() for one in here.gateways))
            await here.ready(*range(6))
            before = await versions(here)
            watch = Watch(here, 0.02)
            canary = 6.0 if plant == 10 else 2.0
            words = {"waves": [0.4, 1.0], "watch": WATCH | {"canary_s": canary, "wave_s": 2.0, "least": 40}}
            await started(here, plan(here, here.version(), **words))
            over = await until_state(here, "given up", "done", within=60.0)
            assert over.state == "given up", over.log
            harmed = [one for one in over.log if one.state == "halted"]
            assert harmed[0].why.startswith(("rejected is", "aborted is", "slow is", "tries is")), harmed
            assert len(over.touched) <= 3, "most gateways never saw it"
            assert await versions(here) == before
            await watch.stop()
            verdict = audit(here.records, rulebook(here.deployment))
            assert not verdict.broken, verdict.broken

    asyncio.run(run())


def test_a_sound_version_is_not_halted_for_a_trouble_that_strikes_all(tmp_path: Path) -> None:
    async def run() -> None:
        async with works(tmp_path, limited(fleet_of(6, hosts=12), gateways=4), 1) as here:
            watch = Watch(here, 0.02)
            await started(here, plan(here, here.version(), watch=WATCH | {"canary_s": 3.0, "least": 60}))
            await until_state(here, "watching")
            for host in here.fleet.hosts:
                here.fleet.ail(host, errors=0.4)
            done = await until_state(here, "done", "halted", "given up")
            await watch.stop()
            assert done.state == "done", done.why
            failed = [one for one in here.records if type(one) is TryOver and one.how == "error"]
            assert len(failed) > 50, "the trouble was there"

    asyncio.run(run())
