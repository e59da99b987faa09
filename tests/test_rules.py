"""The module under the rules' plain model, on generated settings and inputs."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import PLAN, SECOND, TERMS, Model

from burlmast import api
from burlmast.api import Repeat


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
