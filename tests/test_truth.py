"""The model against what is known otherwise: Erlang's formula, Little's law, the paper's rule by hand."""

from __future__ import annotations

from statistics import harmonic_mean

import msgspec
import pytest
from helpers import SECOND, Desk, of
from hypothesis import given
from hypothesis import strategies as st
from town import sample

from burlmast import api
from burlmast.model.day import Played, play
from burlmast.model.ground import ground
from burlmast.model.policies import RandomHolder
from burlmast.settings.scenes import rulebook
from burlmast.settings.sheets import Deployment, Title
from burlmast.world.crowd import Exponential, Uniform, Viewers
from burlmast.world.troubles import Day

MEAN_S = 2.0


def loss_system(places: int, offered: float, seconds: float, seed: int) -> Played:
    """One host with so many places and links that never matter; who finds it full does not come again."""
    replace = msgspec.structs.replace
    one: Deployment = sample("recordings")
    huge = replace(one.fleet, cells=1, racks=1, link_kb=1e9, uplink_kb=1e9, streams_by_kind=(places,))
    # A place is held for the set-up and the way of its answer too.
    held_s = MEAN_S + one.stand_ins.set_up_ms / 1000 + 0.001
    one = replace(
        one,
        gateways=1,
        fleet=huge,
        titles=(Title("only", 0, 1),),
        stand_ins=replace(one.stand_ins, hosts=1, a_second=offered / held_s),
    )
    lasts = Exponential(MEAN_S, 0.0, 1000.0)
    day = Day("loss", seconds, viewers=Viewers(lasts=lasts, start_up=Uniform(0.0, 0.0), visits=1))
    return play(ground(one), day, seed, RandomHolder, rulebook(one))


def erlang(places: int, offered: float) -> float:
    """The part that finds all places taken, by Erlang's recursion."""
    blocked = 1.0
    for place in range(1, places + 1):
        blocked = offered * blocked / (place + offered * blocked)
    return blocked


@pytest.mark.parametrize(("places", "offered"), [(3, 2.0), (10, 8.0), (20, 24.0)])
def test_a_loss_system_blocks_as_erlang_says(places: int, offered: float) -> None:
    played = loss_system(places, offered, 1500.0, 1)
    verdict = played.verdict
    blocked = verdict.rejected / verdict.asked
    assert verdict.unanswered == 0 and verdict.asked > 1200
    # Twice a binomial deviation, doubled since one full spell turns many away.
    reach = 4 * (blocked * (1 - blocked) / verdict.asked) ** 0.5
    assert blocked == pytest.approx(erlang(places, offered), abs=reach)


def test_erlangs_recursion_gives_the_tables_values() -> None:
    assert erlang(1, 1.0) == 0.5 and erlang(2, 1.0) == pytest.approx(0.2)
    assert erlang(10, 5.0) == pytest.approx(0.018385, abs=1e-6)


def test_littles_law_holds_of_what_plays() -> None:
    played = loss_system(40, 20.0, 1000.0, 2)
    taken = played.verdict.plays / 1000
    inside = sum(sum(one.playing) for one in played.samples) / len(played.samples)
    assert inside == pytest.approx(taken * MEAN_S, rel=0.04)


def by_hand(rooms: list[float]) -> int | None:
    """The paper's rule: at which sample the next rung is taken, by the harmonic mean of the last twenty."""
    for place in range(len(rooms)):
        throughput = [200.0 + room for room in rooms[max(0, place - 19) : place + 1]]
        if len(throughput) / sum(1 / one for one in throughput) > 400.0 and rooms[place] > 0:
            return place
    return None


def by_gateway(rooms: list[float]) -> int | None:
    """The same rooms told to a gateway that plays one playback at the lowest rung."""
    desk = Desk()
    desk.play(1, 0)
    desk.now += 25 * SECOND  # the start's quiet is over
    for place, room in enumerate(rooms):
        link = desk.gateway.hosts[0].link
        desk.take(api.Note(1, 0, 0, api.News.LINK, 1 - room / link.size), 3 * SECOND // 2)
        if of(desk.tick(), api.SetRung):
            return place
    return None


def test_the_papers_rule_worked_by_hand() -> None:
    # Rate 200, next 400. One sample of 2,000 among three of 200 makes 4/(3/200 + 1/2000) = 258: no step.
    assert by_hand([0, 0, 0, 1800]) is None and by_gateway([0, 0, 0, 1800]) is None
    # Three of 900 beside one of 200 make 4/(1/200 + 3/900) = 480: a step at the fourth.
    assert harmonic_mean([200, 900, 900, 900]) == pytest.approx(480)
    assert by_hand([0, 700, 700, 700]) == by_gateway([0, 700, 700, 700]) == 2
    # Twenty low samples must leave the window before as many high ones count alone.
    assert by_hand([0] * 20 + [700] * 20) == by_gateway([0] * 20 + [700] * 20)


@given(st.lists(st.sampled_from([0.0, 253.0, 701.0, 1607.0]), max_size=45))
def test_a_gateway_alone_rises_where_the_papers_rule_does(rooms: list[float]) -> None:
    assert by_gateway(rooms) == by_hand(rooms)
