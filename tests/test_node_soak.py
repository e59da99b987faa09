"""Seeded soaks of a gateway process.

More seeds by hand: NODE_SOAK_SEEDS=1-60 pytest -n 4 tests/test_node_soak.py
"""

from __future__ import annotations

import os
from pathlib import Path

import node_soak
import pytest
import soak_faults
import soak_schedule

FIRST, _, LAST = os.environ.get("NODE_SOAK_SEEDS", "1-6").partition("-")


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
def test_no_rule_is_broken_under_seeded_faults(tmp_path: Path, seed: int) -> None:
    broken = node_soak.play(seed, tmp_path)
    assert not broken, "\n".join(broken)


def test_a_schedule_is_the_same_each_time() -> None:
    assert soak_schedule.draw(7) == soak_schedule.draw(7) != soak_schedule.draw(8)
    kinds = {fault.kind for seed in range(60) for fault in soak_schedule.draw(seed).faults}
    assert kinds == {*soak_schedule.KINDS, *soak_schedule.HOST_LINK_KINDS} == set(soak_faults.FAULTS)
