"""The model: the same seed, the same bytes; the audit sees what is planted; links create and lose nothing."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from town import SAMPLES, sample

from burlmast.logic import Gateway
from burlmast.model.day import BEGINS, ENDS, play
from burlmast.model.engine import Engine
from burlmast.model.fleet import Fleet
from burlmast.model.ground import ground
from burlmast.settings.scenes import rulebook
from burlmast.world.audit import Verdict, audit
from burlmast.world.box import Box, Rack
from burlmast.world.capacity import Capacity, Sag
from burlmast.world.crowd import Uniform, Viewers
from burlmast.world.plants import plant
from burlmast.world.traffic import Answered, Asked, Record, TryCame, TryOver
from burlmast.world.troubles import DAYS, KINDS, OF_FLEETS, Day, Trouble, guests

S = 1_000_000_000


def played(
    day: Day, seed: int = 1, maker: object = Gateway, name: str = "training"
) -> tuple[Verdict, list[Record]]:
    deployment = sample(name, rules__warm_after_ms=5000.0)
    return play(ground(deployment), day, seed, maker, rulebook(deployment))[:2]  # type: ignore[arg-type]


@pytest.mark.parametrize("name", ["training", "recordings", "guides"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_standard_day_keeps_the_rules(name: str, seed: int) -> None:
    verdict, _ = played(DAYS["standard"], seed, name=name)
    assert not verdict.broken and verdict.unanswered == verdict.excused
    assert verdict.plays > 0.8 * verdict.asked


@pytest.mark.parametrize("rule", range(1, 7))
def test_a_planted_fault_is_named(rule: int) -> None:
    verdict, _ = played(DAYS["standard"], 1, plant(rule, Gateway))
    assert rule in verdict.rules


def test_the_same_seed_gives_the_same_bytes_whatever_hashes_do() -> None:
    def run(seed: int, hashes: int) -> bytes:
        file = str(SAMPLES / "training.jsonnet")
        command = [
            "-m",
            "burlmast",
            "model",
            "run",
            "short",
            "--json",
            "--seed",
            str(seed),
            "--settings",
            file,
        ]
        environment = os.environ | {"PYTHONHASHSEED": str(hashes)}
        done = subprocess.run(
            [sys.executable, *command], capture_output=True, env=environment, check=True, timeout=60
        )
        return done.stdout

    first = run(5, 1)
    assert first == run(5, 2) == run(5, 3) and first != run(6, 1)


def test_every_request_has_an_end_and_every_try_one() -> None:
    verdict, records = played(DAYS["standard"], 4)
    kinds = Counter(type(one) for one in records)
    assert kinds[Asked] == verdict.asked == kinds[Answered] + verdict.unanswered
    came = Counter((one.playback, one.attempt) for one in records if isinstance(one, TryCame))
    over = Counter((one.playback, one.attempt) for one in records if isinstance(one, TryOver))
    assert max(came.values()) == 1 and max(over.values()) == 1
    assert set(over) <= set(came)


def test_short_links_stall_players_and_cost_revenue_and_some_leave() -> None:
    deployment = sample("recordings", rules__warm_after_ms=5000.0)
    place = ground(deployment)
    short = Day("short", 12.0, (Trouble("short links", 2, 10, 1.0, 8),))
    well, ill = (play(place, day, 3, Gateway, rulebook(deployment)) for day in (Day("well", 12.0), short))
    calm, hurt = well.players, ill.players
    assert calm.stalls_a_viewer == 0 and calm.left_early == 0 and calm.watched > 0.99
    assert hurt.stalls_a_viewer > 0.2 and hurt.left_early > 0 and hurt.earned < calm.earned
    assert not well.verdict.broken and not ill.verdict.broken


def test_every_kind_of_trouble_is_modelled() -> None:
    of_viewers = {kind for kind, one in KINDS.items() if one.strikes == "viewers"}
    of_fleets = {kind for kind, one in KINDS.items() if one.strikes in OF_FLEETS}  # virtual time has no desks
    assert set(BEGINS) | of_viewers | of_fleets == set(KINDS)
    assert set(BEGINS) - set(ENDS) == {"restarts", "stalls"}


def test_calls_at_one_instant_run_in_the_order_in_which_they_were_set() -> None:
    engine, seen = Engine(S), []
    for place in range(2000):
        engine.at(2 * S, seen.append, place)
    engine.at(S, engine.after, 0, seen.append, "first")
    engine.at(0, seen.append, "past")
    assert engine.run(2 * S) == 2003
    assert seen == ["past", "first", *range(2000)] and engine.now == 2 * S


@given(st.lists(st.lists(st.floats(1, 2000), max_size=12), min_size=1, max_size=4), st.floats(100, 9000))
def test_a_link_creates_nothing_and_loses_nothing(rates: list[list[float]], uplink: float) -> None:
    rack = Rack(uplink)
    boxes = [Box(place, rack, 4000.0, 99, 0.3, S, -100 * S) for place in range(len(rates))]
    for box, streams in zip(boxes, rates, strict=True):
        box.rates = {str(place): rate for place, rate in enumerate(streams)}
    carried = 0.0
    for box in boxes:
        share = box.share(0)
        assert 0 < share <= 1
        flows = share * box.asked_kb()
        assert flows <= 4000.0 * 1.000001, "a link carries no more than it gives"
        carried += flows
        if share < 1:  # short only where its link or the uplink is full
            by_uplink = share * sum(one.asked_kb() for one in boxes)
            assert flows == pytest.approx(4000.0) or by_uplink == pytest.approx(uplink)
    assert carried <= uplink * 1.000001, "so does an uplink"


def test_a_cold_box_warms_and_falls_only_when_pushed_over() -> None:
    box = Box(1, Rack(1e6), 1000.0, 40, 0.25, 10 * S, 0)
    box.bears = 2.0, S
    assert box.warmed(0) == 0.25 and box.warmed(5 * S) == pytest.approx(0.625) and box.warmed(20 * S) == 1
    # Two times 40 places over 10 s at a quarter: two a second.
    assert not any(box.pushed_over(at) for at in range(0, 5 * S, S // 2))
    assert [box.pushed_over(6 * S + n) for n in range(8)][-1]
    assert not any(box.pushed_over(11 * S + n) for n in range(100))


def test_a_link_that_recovers_while_all_drop_is_risen_on_again() -> None:
    deployment = sample("recordings", rules__warm_after_ms=5000.0)
    sag = Capacity(Sag(25, 3, 0.1), part_of_hosts=1.0)
    day = Day(
        "d", 75.0, capacity=(sag,), viewers=Viewers(lasts=Uniform(60, 90), start_patience=Uniform(30, 30))
    )
    day = msgspec.structs.replace(day, load=0.3)
    found = play(ground(deployment), day, 1, Gateway, rulebook(deployment))
    mean = [sum(r * n for r, n in enumerate(one.playing)) / max(1, sum(one.playing)) for one in found.samples]
    assert not found.verdict.broken
    assert min(mean[26:32]) < 0.75 * mean[24], "all drop"
    assert found.samples[30].short == 0.0 and mean[-1] > 1.3 * min(mean[26:32]), "and rise once it is quiet"


def test_hosts_that_restart_within_a_setup_try() -> None:
    deployment = sample(rules__warm_after_ms=5000.0, stand_ins__set_up_ms=300.0)
    records: list[Record] = []
    place = ground(deployment)
    fleet = Fleet(place, Gateway, 3, records.append)
    start = fleet.begin(10 * S, guests(Day("d", 10.0), place.market, 3))
    for rounds, at in enumerate(range(S, 10 * S, S // 5)):
        for number in sorted(fleet.boxes)[rounds % 3 :: 3]:
            fleet.engine.at(start + at, fleet.crash, number)
            fleet.engine.at(start + at + S // 100, fleet.revive, number)
    fleet.engine.run(start + 60 * S)
    verdict = audit(records, rulebook(deployment))
    came = {(one.host, one.playback, one.attempt) for one in records if isinstance(one, TryCame)}
    ends = Counter((one.host, one.playback, one.attempt) for one in records if isinstance(one, TryOver))
    assert not verdict.broken and verdict.unanswered == 0
    assert set(ends) == came and set(ends.values()) == {1}
    assert sum(one.how == "crash" for one in records if isinstance(one, TryOver)) > 20
