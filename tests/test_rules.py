"""The module under the rules' plain model, on generated settings and inputs."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import BEAT, PLAN, SECOND, TERMS, Model, Try, row

from burlmast import api
from burlmast.api import Ending, Repeat
from burlmast.logic import Gateway


def drawn(seed: int) -> api.Terms:
    dice = random.Random(seed)
    plans = tuple(
        replace(
            PLAN,
            repeat=dice.choice(list(Repeat)),
            repeat_group=dice.choice(("all", "cell")),
            repeat_span=dice.choice((200_000_000, 2 * SECOND)),
            floor=dice.choice((0, 1)),
            seats=dice.choice((0, 3, 10)),
        )
        for _ in range(3)
    )
    rules = replace(
        TERMS.rules,
        fall_multiple=dice.choice((1.5, 2.0, 3.0)),
        fall_span=dice.choice((SECOND, 2 * SECOND)),
        further_free=dice.choice((None, 0.0, 3.0)),
        further_ratio=dice.choice((0.0, 0.2)),
        further_span=5 * SECOND,
    )
    allowed = replace(
        TERMS.allowed, probes=dice.random() < 0.5, call_off=dice.random() < 0.7, tries=dice.choice((1, 3))
    )
    lineup = replace(TERMS.lineup, tells=dice.random() < 0.5)
    gateways = dice.choice((1, 2, 3, 4, 12))
    return replace(TERMS, gateways=gateways, plans=plans, rules=rules, allowed=allowed, lineup=lineup)


@pytest.mark.parametrize("seed", range(24))
def test_module_does_only_what_the_model_allows(seed: int) -> None:
    model = Model(seed, drawn(seed))
    for _ in range(3000):
        model.beat()
    assert model.sent > 50 and model.finals > 50  # the day had something to decide


class Pairs(Model):
    """A fleet in which some of three troubles go on all the time."""

    def __init__(self, seed: int, terms: api.Terms, troubles: tuple[str, ...]) -> None:
        self.troubles, self.beats, self.lost = troubles, 0, set[tuple[int, int]]()
        super().__init__(seed, terms)

    def beat(self) -> None:
        self.beats += 1
        if "deploy" in self.troubles and self.beats % 70 == 0:
            self.restart((self.beats // 70) % 8)
        if "killed" in self.troubles and self.beats % 400 == 0:
            for number in range(0, self.terms.gateways, 2):
                self.start(number, dict.fromkeys(range(8), 0))
        super().beat()

    def restart(self, host: int) -> None:
        """One host after the other; what plays there is cut, and half of the gateways are told."""
        self.started[host] = self.now
        for number, pb in [key for key in self.tries if self.tries[key] and self.tries[key][-1].host == host]:
            one = self.tries[number, pb][-1]
            if one.ending is None and "lost" not in self.troubles:
                one.ending = Ending.BROKEN
                self.knows[number, host] = self.now
                over = one.flows or (number, pb) in self.answered
                place = len(self.tries[number, pb]) - 1
                self.hand(number, api.Ended(pb, place, host, Ending.BROKEN, 0, over, api.Load()))
        for number in range(0, self.terms.gateways, 2):
            self.knows[number, host] = self.now
            self.told.pop((number, host), None)
            self.hand(number, api.Listed(api.Scope.CHANGES, (row(host, started=self.now),)))

    def outcome(self, key: tuple[int, int], one: Try) -> None:
        if (
            "lost" in self.troubles
            and not one.flows
            and one.sent == self.now - BEAT
            and self.dice.random() < 0.3
        ):
            self.lost.add((key[1], one.sent))
        if (key[1], one.sent) not in self.lost or self.now >= one.due:
            super().outcome(key, one)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "troubles",
    [("deploy",), ("killed",), ("lost",), ("deploy", "killed"), ("deploy", "lost"), ("killed", "lost")],
)
def test_rules_hold_through_troubles_alone_and_in_pairs(seed: int, troubles: tuple[str, ...]) -> None:
    model = Pairs(seed, drawn(1000 + seed), troubles)
    for _ in range(1500):
        model.beat()
    assert model.sent > 20 and model.finals > 20


@pytest.mark.parametrize("gateways", [1, 8, 20, 30, 200])
def test_set_ups_that_wait_for_connections_do_not_add_up_at_a_host_that_has_just_started(
    gateways: int,
) -> None:
    connect = 250_000_000
    terms = replace(
        TERMS, gateways=gateways, allowed=replace(TERMS.allowed, connect=connect, probes=False),
        lineup=replace(TERMS.lineup, tells=False),
    )  # fmt: skip
    now, sent = 100 * SECOND, list[int]()
    fleet = [Gateway(replace(terms, number=n), n, now) for n in range(gateways)]
    for one in fleet:
        one.begin(now)
        one.take(now, api.Listed(api.Scope.COMPLETE, (row(0),)))
    now += 20 * SECOND
    for one in fleet:  # all are told at once that the host has just started, and all are asked without end
        one.take(now, api.Listed(api.Scope.CHANGES, (row(0, started=now),)))
    for beat in range(600):
        for one in fleet:
            request = api.Request(beat, 0, 3.0, 0, 4, 1, 1, 3 * SECOND)
            asked = one.take(now, api.Arrived(request))
            if any(isinstance(action, api.SetUp) for action in asked):
                sent.append(now)
            one.take(now, api.ViewerLeft(beat))
        now += BEAT
    rules = terms.rules
    bears = rules.fall_multiple * rules.cold_share * 30 / rules.warm_after * rules.fall_span
    # Each may arrive at any moment while a connection is waited for: the worst of all orders.
    most = max(sum(1 for at in sent if end - rules.fall_span - connect <= at <= end) for end in sent)
    assert 0 < most <= bears
