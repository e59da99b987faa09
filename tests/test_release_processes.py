"""Releases as several processes, with faults between them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
from test_drains_processes import Watch, limited
from works import Works, fleet_of, works

from burlmast.fleet.orders import Book
from burlmast.release import steps
from burlmast.release.steps import Release

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
