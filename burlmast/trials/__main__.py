"""Plays a sample of the matrix: `python -m burlmast.trials --number 200 --seed 1 --at-once 40`.

Prints a line for each cell that fails and, at the end, how many passed, failed and were not played.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from burlmast.trials.cells import Around, Cell, Fate, Message, cells, sample
from burlmast.trials.play import play


async def _play_all(chosen: list[Cell], at_once: int) -> list[tuple[Cell, list[str]]]:
    limit = asyncio.Semaphore(at_once)

    async def one(cell: Cell) -> tuple[Cell, list[str]]:
        async with limit:
            with tempfile.TemporaryDirectory() as folder:
                try:
                    lines, records = await play(cell, Path(folder))
                except Exception as error:
                    return cell, [f"not judged: {type(error).__name__}: {error}"]
                if lines:
                    lines = [*lines, f"lag {records.lag:.3f} s", *records.log.splitlines()[-12:]]
                return cell, lines

    return list(await asyncio.gather(*map(one, chosen)))


def play_all(chosen: list[Cell], at_once: int) -> list[tuple[Cell, list[str]]]:
    """Play these cells in this process, so many at once; what broke a rule in each."""
    return asyncio.run(_play_all(chosen, at_once))


@click.command()
@click.option("--number", default=200, help="cells to draw")
@click.option("--seed", default=1)
@click.option("--at-once", default=40, help="cells at a time, over all processes")
@click.option("--processes", default=4)
@click.option("--message", type=click.Choice([message.name.lower() for message in Message]))
@click.option("--fate", "fates", multiple=True, type=click.Choice([fate.name.lower() for fate in Fate]))
@click.option("--around", "arounds", multiple=True, type=click.Choice([each.name.lower() for each in Around]))
@click.option("--name", "names", multiple=True, help="a cell by its name")
def main(
    number: int,
    seed: int,
    at_once: int,
    processes: int,
    message: str | None,
    fates: tuple[str, ...],
    arounds: tuple[str, ...],
    names: tuple[str, ...],
) -> None:
    """Play a sample of the matrix of faults."""
    every = [
        cell
        for cell in cells()
        if message in (None, cell.message.name.lower())
        and (not fates or cell.fate.name.lower() in fates)
        and (not arounds or cell.around.name.lower() in arounds)
    ]
    chosen = [cell for cell in every if cell.name in names] if names else sample(seed, number, every)
    began = time.monotonic()
    shares = [chosen[place::processes] for place in range(processes)]
    with ProcessPoolExecutor(processes) as pool:
        parts = pool.map(play_all, shares, [max(1, at_once // processes)] * processes)
        played = [result for part in parts for result in part]
    failed = [(cell, lines) for cell, lines in played if lines]
    for cell, lines in sorted(failed, key=lambda pair: pair[0].name):
        print(f"FAILED {cell.name}", *lines, sep="\n    ")
    kinds = Counter(line.partition(":")[0] for _, lines in failed for line in lines[:1])
    print(
        f"{len(played) - len(failed)} passed, {len(failed)} failed, {len(every) - len(played)} not played; "
        f"{dict(kinds)}; {time.monotonic() - began:.0f} s"
    )
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
