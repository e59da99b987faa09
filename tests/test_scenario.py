"""Scenarios: crowds, courses of capacity, traces with their lines, names that must be there, visitors."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from town import SAMPLES, sample

from burlmast.logic import Gateway
from burlmast.model.day import play
from burlmast.model.ground import ground
from burlmast.settings.scenes import fitting, market, read_day, rulebook
from burlmast.standin.viewer import share_told
from burlmast.world.box import Box, Rack, host_id
from burlmast.world.capacity import Capacity, Constant, OnOff, Point, Recorded, Sag, changes, steps
from burlmast.world.crowd import Exponential, Lognormal, TraceLine, Uniform, Viewers, guests
from burlmast.world.player import Tariff
from burlmast.world.traffic import Answered, Asked
from burlmast.world.troubles import Day, NotADay, Trouble, check
from burlmast.world.troubles import guests as crowd_of
from burlmast.world.visitor import LIFE, Comes, Visitor

S = 1_000_000_000
MARKET = market(sample())


def test_a_crowd_is_drawn_from_its_spreads_and_its_seed() -> None:
    viewers = Viewers(
        plans={"exam": 3.0, "explainer": 1.0},
        lasts=Exponential(5.0, 1.0, 9.0),
        early=0.4,
        pause=Lognormal(1, 0.5),
    )
    found = guests(viewers, MARKET, (), 200.0, 3)
    assert found == guests(viewers, MARKET, (), 200.0, 3) != guests(viewers, MARKET, (), 200.0, 4)
    assert len(found) == pytest.approx(200 * MARKET.rate, rel=0.1)
    plans = Counter(MARKET.plans[one.plan] for one in found)
    assert plans["onboarding"] == 0 and plans["exam"] == pytest.approx(3 * plans["explainer"], rel=0.3)
    assert all(S <= one.habits.wants <= 9 * S for one in found)
    early = sum(one.habits.start_patience < 2 * S for one in found) / len(found)
    assert early == pytest.approx(0.4, abs=0.05)
    assert [one.at for one in found] == sorted(one.at for one in found)


def test_bursts_and_crowds_shape_the_crowd() -> None:
    day = Day("d", 300.0, (Trouble("burst", 100, 100, 1, 3), Trouble("crowd", 200, 100, 1, 0.5, 2)))
    found = crowd_of(day, MARKET, 1)
    thirds = Counter(one.at // (100 * S) for one in found)
    assert thirds[1] == pytest.approx(3 * thirds[0], rel=0.15) and thirds[2] == pytest.approx(
        thirds[0], rel=0.15
    )
    last = Counter(one.title for one in found if one.at >= 200 * S)
    assert last[len(MARKET.titles) - 1] > 0.2 * thirds[2]


def lines(*rows: dict) -> str:
    return "\n".join(json.dumps(row) for row in rows)


def seen(number: int, at: float, **more: object) -> dict:
    return {"number": number, "at": at, "plan": "exam", "title": "unit-01", "lasts": 4.0} | more


def scenario(folder: Path, trace: str = "", **changes: object) -> Path:
    (folder / "trace.ndjson").write_text(trace)
    file = folder / "one.jsonnet"
    file.write_text(json.dumps({"name": "one", "lasts": 10, **changes}))
    return file


@pytest.mark.parametrize(
    ("trace", "what"),
    [
        (lines(seen(1, 0), seen(3, 1)), r"trace.ndjson:2: a gap: number 3 after 1"),
        (lines(seen(1, 0), seen(2, 1), seen(2, 2)), r"trace.ndjson:3: a repeat: number 2 after 2"),
        (lines(seen(1, 2), seen(2, 1)), r"trace.ndjson:2: time goes back: 1.0 after 2.0"),
        (lines(seen(1, -1)), r"trace.ndjson:1: time goes back"),
        (lines(seen(1, 0)) + "\nno", r"trace.ndjson:2: "),
        (lines(seen(1, 0, often=1)), r"trace.ndjson:1: .*often"),
        ("", "empty"),
    ],
)
def test_a_broken_trace_is_refused_with_its_line(tmp_path: Path, trace: str, what: str) -> None:
    with pytest.raises(NotADay, match=what):
        read_day(scenario(tmp_path, trace, viewers={"trace": "trace.ndjson"}))


def test_a_trace_says_who_comes(tmp_path: Path) -> None:
    trace = lines(seen(1, 0.5), seen(2, 0.5, plan="explainer", top=1), seen(3, 11))
    day = fitting(read_day(scenario(tmp_path, trace, viewers={"trace": "trace.ndjson"})), sample())
    first, second = crowd_of(day, MARKET, 1)
    assert (first.at, first.habits.wants, MARKET.plans[first.plan]) == (S // 2, 4 * S, "exam")
    assert second.top == 1


def course(told: dict, **links: object) -> dict:
    return {"capacity": [{"course": told, **links}]}


@pytest.mark.parametrize(
    ("changes_", "what"),
    [
        ({"viewers": {"plans": {"premium": 1}}}, r"viewers.plans: there is no plan 'premium'"),
        ({"viewers": {"trace": "trace.ndjson"}}, r"line 1: there is no title 'unit-99'"),
        (
            course({"type": "constant", "part": 0.5}, racks=[3]),
            r"racks: there is no 3",
        ),
        (
            course({"type": "constant", "part": 0.5}, hosts=[12]),
            r"hosts: there is no 12",
        ),
        (course({"type": "constant", "part": 0.5}), r"capacity\[0\]: needs one of"),
        (course({"type": "recorded"}, racks=[0]), r"capacity\[0\].course.file"),
        (
            {
                "capacity": [
                    {"course": {"type": "sag", "start": 1, "lasts": 2, "part": 0.1, "falls": 3}, "racks": [0]}
                ]
            },
            "fit",
        ),
        ({"noise": 1}, "noise"),
        ({"viewers": {"resume": {"type": "uniform", "least": 0, "most": 1}}}, r"viewers.resume"),
        ({"viewers": {"lasts": {"type": "exponential", "mean": 0, "least": 1}}}, r"mean"),
        ({"weather": 1}, "weather"),
        ({"troubles": [{"kind": "flood", "start": 1, "lasts": 1}]}, "not known"),
    ],
)
def test_a_scenario_that_names_what_is_not_there_is_refused(
    tmp_path: Path, changes_: dict, what: str
) -> None:
    file = scenario(tmp_path, lines(seen(1, 0, title="unit-99")), **changes_)
    with pytest.raises(NotADay, match=what):
        fitting(read_day(file), sample())


def test_courses_are_told_in_steps() -> None:
    assert steps(Constant(0.5)) == [(0.0, 0.5)]
    assert steps(Sag(10, 20, 0.4)) == [(10, 0.4), (30, 1.0)]
    slow = steps(Sag(10, 20, 0.4, falls=2, rises=1))
    assert [at for at, _ in slow] == [10.5, 11, 11.5, 12, 29.5, 30]
    assert [part for _, part in slow] == pytest.approx([0.85, 0.7, 0.55, 0.4, 0.7, 1.0])
    assert steps(OnOff(5, 4, 0.3, 1)) == [(5, 0.3), (6, 1.0), (7, 0.3), (8, 1.0), (9, 1.0)]
    assert steps(Recorded(points=(Point(1, 0, 1), Point(2, 3, 0.2)))) == [(0, 1), (3, 0.2)]
    three_in_ten = [Capacity(Sag(1, 2, 0.5), part_of_racks=0.3)]
    assert len({one.number for one in changes(three_in_ten, 10, 5, 7)}) == 3


def test_courses_on_one_link_multiply_and_outlive_a_host() -> None:
    rack = Rack(1000.0)
    box = Box(host_id(2), rack, 100.0, 9, 0.3, S, -100 * S)
    box.rates = {"a": 50.0}
    box.course.parts = {0: 0.5, 1: 0.5}
    assert box.share(0) == 0.5
    rack.course.parts = {2: 0.0}
    assert box.share(0) == pytest.approx(1 / 50), "a link that gives nothing is not divided by"


def test_noise_is_drawn_from_the_host_and_stays_within_its_part() -> None:
    def reports() -> list[float]:
        box = Box(host_id(0), Rack(1e6), 100.0, 9, 0.3, S, -100 * S)
        box.rates, box.noise = {"a": 50.0}, 0.2
        return [float(box.load(0).link or 0) for _ in range(50)]

    assert reports() == reports() and len(set(reports())) > 20
    assert all(0.4 <= one <= 0.6 for one in reports())


def test_a_smoothed_share_comes_late_and_goes_late() -> None:
    box = Box(host_id(0), Rack(1e6), 100.0, 9, 0.3, S, -100 * S)
    box.smooth, box.rates = S, {"a": 50.0}
    assert box.delivered(0) == 1.0
    box.rates = {"a": 200.0}
    told = [box.delivered(at * S) for at in range(1, 12)]
    assert told[0] == pytest.approx(0.5 + 0.5 / 2.71828, abs=1e-4)
    assert told == sorted(told, reverse=True) and told[-1] == pytest.approx(0.5, abs=1e-4)
    box.rates = {"a": 50.0}
    back = [box.delivered(at * S) for at in range(12, 24)]
    assert back == sorted(back) and back[0] < 0.85 and back[-1] == 1.0


def test_a_segments_answer_says_the_share() -> None:
    assert share_told([(b"CMSD-Dynamic", b"burlmast-link=2.000, burlmast-share=0.500")]) == 0.5
    assert share_told([(b"cmsd-dynamic", b"burlmast-share=")]) == 1.0 and share_told([]) == 1.0


# Visitors.


def visitor(**habits: object) -> Visitor:
    viewers = Viewers(plans={"exam": 1.0}, lasts=Uniform(20, 20), start_patience=Uniform(9, 9), **habits)  # type: ignore[arg-type]
    guest = guests(viewers, MARKET, (), 10.0, 1)[0]
    return Visitor(guest, viewers, Tariff(1.0, (0.2, 0.5, 0.75, 1.0)), 0)


def test_a_visitor_rests_as_advised_and_comes_again_until_it_has_had_enough() -> None:
    one = visitor(visits=2, pause=Uniform(0.5, 0.5))
    assert one.asks(0, [7]) == 7
    assert one.happen(S, "rejected", 3 * S) == Comes(3 * S)
    assert one.asks(4 * S, [8]) == 8 and one.happen(5 * S, "rejected", S) is None
    assert one.state == "away" and one.asks(6 * S, [7]) is None


def test_one_that_heeds_nothing_comes_when_it_likes_and_an_impatient_one_leaves() -> None:
    one = visitor(honour=0.0, pause=Uniform(0.5, 0.5))
    one.asks(0, [1])
    assert one.happen(S, "rejected", 3 * S) == Comes(S // 2)
    assert one.asks(10 * S, [1]) is None and one.player.state == "gone"


def test_a_visitor_whose_gateway_has_just_died_comes_again_for_what_is_left() -> None:
    one = visitor()
    one.asks(0, [1])
    one.begins(S, 2, 1.0)
    assert isinstance(one.happen(6 * S, "lost"), Comes)
    assert (
        one.left == 16 * S and one.player.state == "asking" and one.takings.earned == pytest.approx(5 * 0.75)
    )
    assert one.happen(6 * S, "lost") is None, "told twice it rests once"


@given(st.lists(st.sampled_from(sorted({what for _, what in LIFE} | {"asks", "nonsense"})), max_size=20))
def test_a_visitor_never_waits_twice_nor_returns_from_away(happenings: list[str]) -> None:
    one, now, resting = visitor(), 0, True
    for what in happenings:
        now += S // 4
        away = one.state == "away"
        if what == "asks":
            gateway = one.asks(now, [1])
            assert (gateway is None) or (resting and not away)
            resting = resting and gateway is None
        elif what == "plays":
            one.begins(now, 1, 1.0)
        else:
            comes = one.happen(now, what)
            assert comes is None or not resting
            resting = resting or comes is not None
        assert not away or one.state == "away"


# Whole days.


def test_a_sag_of_three_racks_in_ten_with_sudden_recovery_costs_and_keeps_the_rules() -> None:
    deployment = sample("recordings", rules__warm_after_ms=5000.0)
    sag = Capacity(Sag(4, 8, 0.15, falls=2), part_of_racks=0.34)
    calm, hurt = (
        play(ground(deployment), Day("d", 16.0, capacity=told), 2, Gateway, rulebook(deployment))
        for told in ((), (sag,))
    )
    assert hurt.players.earned < calm.players.earned and not calm.verdict.broken + hurt.verdict.broken


def test_a_list_that_fails_while_hosts_come_and_gateways_start() -> None:
    deployment = sample(rules__warm_after_ms=5000.0)
    troubles = (
        Trouble("failing list", 2, 8),
        Trouble("replaced", 3, 3, 0.2, 1, 1),
        Trouble("restarts", 4, 4, 1.0, 0.5),
    )
    played = play(ground(deployment), Day("d", 16.0, troubles), 1, Gateway, rulebook(deployment))
    assert not played.verdict.broken
    start = min(one.at for one in played.records if isinstance(one, Asked))
    answers = [one for one in played.records if isinstance(one, Answered)]
    blind = [one.status for one in answers if 8 <= (one.at - start) / S < 9.5]
    mended = [one.status for one in answers if 11 <= (one.at - start) / S < 15]
    assert blind.count(503) > 0.8 * len(blind), "gateways that have started since know no host"
    assert mended.count(201) > 0.9 * len(mended)


def test_everybody_comes_at_one_instant() -> None:
    deployment = sample(rules__warm_after_ms=5000.0)
    came = tuple(msgspec.convert(seen(number, 1.0, plan="explainer"), TraceLine) for number in range(1, 2001))
    day = check(Day("d", 4.0, viewers=Viewers(came=came, visits=1)))
    played = play(ground(deployment), day, 1, Gateway, rulebook(deployment))
    assert not played.verdict.broken and played.verdict.asked == 2000 and played.verdict.unanswered == 0
    assert len({one.at for one in played.records if isinstance(one, Asked)}) == 1


def test_the_shipped_scenarios_can_be_played() -> None:
    files = sorted((SAMPLES.parent / "scenarios").glob("*.jsonnet"))
    assert len(files) >= 4
    for file in files:
        day = read_day(file)
        assert day.settings and (file.parent / day.settings).exists()
