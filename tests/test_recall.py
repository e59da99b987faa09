"""Advice to rejected viewers: bounded, spread, and told from what was seen."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from burlmast.recall.core import SOONEST, TABLE, Recall

S = 1_000_000_000
LONGEST = 2 * S


@given(st.lists(st.tuples(st.sampled_from(["play", "reject"]), st.integers(0, 3 * S)), max_size=80))
def test_advice_is_never_longer_than_the_longest_nor_sooner_than_the_soonest(happenings: list) -> None:
    recall, now = Recall(LONGEST, 7), 100 * S
    for what, passed in happenings:
        now += passed
        if what == "play":
            recall.played(now)
        else:
            assert min(LONGEST // 2, LONGEST * SOONEST[0] // SOONEST[1]) <= recall.advise(now) <= LONGEST
        assert recall.waiting(now) <= sum(kind == "reject" for kind, _ in happenings)


def test_those_rejected_at_one_instant_do_not_come_at_one_instant() -> None:
    recall = Recall(LONGEST, 7)
    for place in range(20):
        recall.played(100 * S + place * S // 10)
    waits = [recall.advise(103 * S) for _ in range(200)]
    assert len(set(waits)) > 150 and max(waits) - min(waits) > LONGEST // 8


def test_with_no_room_seen_advice_is_far_and_the_first_room_ends_that() -> None:
    recall = Recall(LONGEST, 7)
    assert all(recall.advise(100 * S) >= LONGEST // 2 for _ in range(50)) and recall.state == "shut"
    recall.played(101 * S)
    assert recall.state == "pressed"
    recall.played(102 * S)
    assert recall.state == "calm" and recall.pace(102 * S) > 0 and recall.pace(200 * S) == 0


def test_every_state_has_a_row_for_everything_that_happens() -> None:
    states = {state for state, _ in TABLE}
    happenings = {happening for _, happening in TABLE}
    assert set(TABLE) == {(state, happening) for state in states for happening in happenings}
    assert {after for after, _ in TABLE.values()} == states


def test_two_gateways_with_other_seeds_draw_otherwise_and_the_same_seed_alike() -> None:
    first, same, other = ([Recall(LONGEST, seed).advise(S) for _ in range(1)] for seed in (1, 1, 2))
    assert first == same != other
