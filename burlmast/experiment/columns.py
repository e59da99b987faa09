"""Results as compressed columns that other programs read: Parquet with zstandard."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

import pyarrow
import pyarrow.parquet

from burlmast.experiment.cell import Result
from burlmast.experiment.plan import Cell


def table(cells: Sequence[Cell], results: Sequence[Result | None]) -> pyarrow.Table:
    """A row a finished cell: its place in the grid, its figures, and the day second by second as lists."""
    whole = [(cell, one) for cell, one in zip(cells, results, strict=True) if one is not None]
    columns: dict[str, list[object]] = {
        "scenario": [cell.scenario for cell, _ in whole],
        "variant": [cell.variant for cell, _ in whole],
        "policy": [cell.policy for cell, _ in whole],
        "seed": [cell.seed for cell, _ in whole],
        "rules_broken": [list(one.rules) for _, one in whole],
        "revenue_asked": [[asked for asked, _ in one.service] for _, one in whole],
        "revenue_served": [[served for _, served in one.service] for _, one in whole],
        "link_use": [[sample.link_use for sample in one.samples] for _, one in whole],
        "hosts_short": [[sample.short for sample in one.samples] for _, one in whole],
        "playing": [[list(sample.playing) for sample in one.samples] for _, one in whole],
    }
    for name in whole[0][1].figures if whole else ():
        columns[name] = [one.figures[name] for _, one in whole]
    return pyarrow.table(columns)


def write(cells: Sequence[Cell], results: Sequence[Result | None], file: Path) -> None:
    """Write the columns whole and swap them in. Raises OSError."""
    fresh = file.with_suffix(".new")
    pyarrow.parquet.write_table(table(cells, results), fresh, compression="zstd")
    os.replace(fresh, file)
