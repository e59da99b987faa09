"""Seeded soaks of a gateway process.

More seeds by hand: NODE_SOAK_SEEDS=1-60 pytest -n 4 tests/test_node_soak.py
"""

from __future__ import annotations

import os
from pathlib import Path
from types import SimpleNamespace

import node_soak
import pytest
import soak_faults
import soak_judge
import soak_records
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


class Held:
    """A connection of the front through the relay."""

    def __init__(self, soak: node_soak.Soak, sent: float) -> None:
        self.transport = self
        record = soak_records.RequestRecord("a", sent, sent + 1.5, self)  # type: ignore[arg-type]
        soak.requests["a"] = record
        self.open = {"a"}

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return ("127.0.0.1", 5)


@pytest.mark.parametrize(("holding_since", "lost"), [(1.0, False), (3.0, True), (0.0, True)])
def test_a_request_is_not_lost_by_a_close_only_where_the_link_had_passed_nothing_of_its_connection(
    tmp_path: Path, holding_since: float, lost: bool
) -> None:
    soak = node_soak.Soak(soak_schedule.draw(3), tmp_path)
    soak.link = SimpleNamespace(port=5)  # type: ignore[assignment]
    soak.holding_since = holding_since
    soak.connection_lost(Held(soak, sent=2.0))  # type: ignore[arg-type]
    assert bool(soak.broken) is lost


def test_each_allowance_of_the_judge_is_applied_somewhere() -> None:
    source = (Path(node_soak.__file__).read_text(), Path(soak_judge.__file__).read_text())
    for name, allowance in soak_judge.ALLOWANCES.items():
        assert allowance.sentence
        assert any(f'allowed["{name}"]' in text for text in source)
