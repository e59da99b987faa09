"""The rules judged when a set-up is written, which may be long after it was decided."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from helpers import BEAT, MS, SECOND, TERMS, Model, Try, row
from test_edge_core import ROWS, START, WANTED, ChangingDriver, Driver, Script, driving
from test_rules import drawn

from burlmast import api
from burlmast.api import Ending, Load, Repeat, Scope
from burlmast.logic import Gateway

NEVER_WRITTEN = 0.1  # the part of waiting set-ups whose connection does not come up


class Waiting(Model):
    """A fleet whose set-ups wait for their connections, some of them through a standstill; what is written
    is judged then."""

    def __init__(self, seed: int, terms: api.Terms) -> None:
        self.pending: dict[tuple[int, int], tuple[int, int, int]] = {}  # host, due to be written, allowance
        self.refused = self.written = 0
        super().__init__(seed, terms)

    def start(self, number: int, list_starts: dict[int, int]) -> None:
        self.pending = {key: value for key, value in self.pending.items() if key[0] != number}
        super().start(number, list_starts)

    def carry_out(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetUp):
                assert (number, action.pb) not in self.pending, "rule 2: two tries out"
                wait = self.dice.choice((0, 0, 30, 250, 900, 2000)) * MS
                self.pending[number, action.pb] = action.host, self.now + wait, action.allow
            elif isinstance(action, api.CallOff) and (number, action.pb) in self.pending:
                self.end(number, action.pb, Ending.CALLED_OFF, over=True)
            else:
                super().carry_out(number, [action])

    def beat(self) -> None:
        super().beat()
        for key, (_, due, _) in list(self.pending.items()):
            if key in self.pending and due <= self.now:
                self.write(*key)

    def write(self, number: int, pb: int) -> None:
        """The connection of a set-up has come up, or will not."""
        host, _, allow = self.pending[number, pb]
        if (number, pb) in self.answered:
            self.end(number, pb, Ending.CALLED_OFF, over=True)
        elif self.now >= self.asked[number, pb][1] or self.dice.random() < NEVER_WRITTEN:
            self.knows[number, host] = self.started[host]
            self.end(number, pb, Ending.NO_CONNECTION, over=False)
        elif self.gateways[number].authorize(self.now, pb, len(self.tries[number, pb])):
            del self.pending[number, pb]
            self.written += 1
            self.send(number, pb, host, allow)
        else:
            del self.pending[number, pb]
            self.refused += 1
            self.hand(number, api.Unsent(pb, len(self.tries[number, pb]), host))

    def end(self, number: int, pb: int, ending: Ending, over: bool) -> None:
        host, _, _ = self.pending.pop((number, pb))
        attempt = Try(host, self.now, self.now)
        attempt.ending = ending
        self.tries[number, pb].append(attempt)
        place = len(self.tries[number, pb]) - 1
        self.hand(number, api.Ended(pb, place, host, ending, 0, over, Load()))


@pytest.mark.parametrize("seed", range(24))
def test_what_is_written_late_keeps_the_rules_by_what_is_true_then(seed: int) -> None:
    """Guards against accounts that are kept at the decision: keys, seats, budget, pace, drains (review/7)."""
    terms = drawn(seed)
    connect = (0, 250 * MS, 1500 * MS)[seed % 3]
    model = Waiting(seed, replace(terms, allowed=replace(terms.allowed, connect=connect)))
    for _ in range(4000):
        model.beat()
    assert model.written > 50 and model.finals > 50


def keyed(**changes: Any) -> api.Terms:
    plan = replace(
        TERMS.plans[0], repeat=Repeat.WITHIN_GROUP, repeat_group="all", repeat_span=2 * SECOND, **changes
    )
    return replace(TERMS, plans=(plan,), rules=replace(TERMS.rules, further_free=None))


def ready(terms: api.Terms) -> tuple[Gateway, int]:
    """A gateway that knows eight warm hosts, and the time."""
    gateway = Gateway(terms, 1, 0)
    gateway.begin(0)
    gateway.take(0, api.Listed(Scope.COMPLETE, tuple(row(host) for host in range(8))))
    return gateway, 100 * SECOND


def sent(actions: list[api.Action]) -> list[api.SetUp]:
    return [action for action in actions if isinstance(action, api.SetUp)]


def request(pb: int) -> api.Request:
    return api.Request(pb, 0, 3.0, 0, 4, 1, 1, 5 * SECOND)


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_set_up_is_written_again_within_its_time_from_the_first_write_alone(late: bool) -> None:
    """Guards against a second run of a key that its group has forgotten (review/7)."""
    gateway, now = ready(keyed())
    (first,) = sent(gateway.take(now, api.Arrived(request(1))))
    now += SECOND  # so long the first one waits for its connection
    assert gateway.authorize(now, 1, 0)
    failed = now + 3 * SECOND // 2
    (second,) = sent(
        gateway.take(failed, api.Ended(1, 0, first.host, Ending.ERROR, 5 * SECOND // 2, False, Load()))
    )
    written = now + 2 * SECOND + (BEAT if late else -5 * BEAT)
    assert gateway.authorize(written, 1, 1) is not late
    if late:
        actions = gateway.take(written, api.Unsent(1, 1, second.host))
        assert not sent(actions) and any(isinstance(action, api.Reject) for action in actions), "at once"


def test_a_seat_that_is_handed_over_meanwhile_is_not_taken_by_what_waits() -> None:
    """Guards against more sessions of a title than it has seats."""
    gateway, now = ready(keyed(seats=1))
    (first,) = sent(gateway.take(now, api.Arrived(request(1))))
    gateway.take(now, api.HandedOver(request(2), 5))
    assert not gateway.authorize(now, 1, 0)
    actions = gateway.take(now, api.Unsent(1, 0, first.host))
    assert not sent(actions)
    gateway.take(now, api.Ended(2, 0, 5, Ending.SERVED, 0, True, Load()))
    assert sent(gateway.take(now, api.Arrived(request(3)))), "what was not sent has given its seat back"


def limited(free: float, ratio: float) -> api.Terms:
    rules = replace(TERMS.rules, further_free=free, further_ratio=ratio, further_span=5 * SECOND)
    return replace(TERMS, rules=rules)


def further(gateway: Gateway, now: int, pb: int) -> list[api.SetUp]:
    """A request whose first try is turned away as full at once: the further tries."""
    (first,) = sent(gateway.take(now, api.Arrived(request(pb))))
    assert gateway.authorize(now, pb, 0)
    return sent(gateway.take(now, api.Ended(pb, 0, first.host, Ending.FULL, 0, False, Load())))


def test_further_tries_count_in_the_budget_from_when_they_are_written() -> None:
    """Guards against a window that forgets what came to hosts within it (review/9)."""
    gateway, now = ready(limited(2.0, 0.0))
    assert further(gateway, now, 1) and further(gateway, now, 2)
    written = now + SECOND  # so long they wait for their connections
    assert gateway.authorize(written, 1, 1) and gateway.authorize(written, 2, 1)
    assert not further(gateway, now + 5300 * MS, 3), "both are within the window that ends here"
    assert further(gateway, written + 5 * SECOND + 2 * BEAT, 4)


@pytest.mark.parametrize("stays", [False, True])
def test_a_further_try_is_written_only_if_requests_in_the_window_still_allow_it(stays: bool) -> None:
    """Guards against a budget of a share of the requests that are no longer in the window (review/9)."""
    gateway, now = ready(limited(0.0, 0.5))
    gateway.take(now, api.Arrived(request(1)))
    now += 4800 * MS
    (second,) = further(gateway, now, 2)
    if stays:
        gateway.take(now, api.Arrived(request(3)))
    now += SECOND  # the first request leaves the window as the further try waits
    assert gateway.authorize(now, 2, 1) is stays
    if not stays:
        actions = gateway.take(now, api.Unsent(2, 1, second.host))
        assert any(isinstance(action, api.Reject) for action in actions) and not sent(actions)


def test_what_is_refused_at_its_write_costs_no_try() -> None:
    """Guards against a request that is given up for set-ups that were never written."""
    terms = replace(keyed(), allowed=replace(TERMS.allowed, tries=1))
    gateway, now = ready(terms)
    (first,) = sent(gateway.take(now, api.Arrived(request(1))))
    gateway.take(now, api.Listed(Scope.CHANGES, (row(first.host, standing=api.Standing.DRAINING),)))
    assert not gateway.authorize(now, 1, 0)
    (second,) = sent(gateway.take(now, api.Unsent(1, 0, first.host)))
    assert second.host != first.host and gateway.authorize(now, 1, 0)


def test_the_driver_takes_back_what_was_not_written_and_counts_it_as_no_try() -> None:
    """Guards against a place, a timer or an ending that is left of an attempt that never was."""
    driver, outside, script = driving()
    outside.writes = False
    script.answers[api.Arrived] = lambda event: [api.SetUp(event.request.pb, 1, 0)]
    script.answers[api.Unsent] = lambda event: [api.SetUp(event.pb, 2, SECOND)]
    playback = driver.arrive(START, WANTED, "reply")
    driver.unsent(START + MS, outside.opened[0])
    assert [attempt.place for attempt in outside.opened] == [0, 0] and len(playback.tries) == 1
    assert script.of(api.Unsent) == [api.Unsent(playback.number, 0, 1)] and not script.of(api.Ended)
    driver.unsent(START + MS, outside.opened[0])
    assert len(script.of(api.Unsent)) == 1, "once"
    assert driver.may_write(START + 2 * MS, outside.opened[1])
    driver.unsent(START + 3 * MS, outside.opened[1])
    assert outside.opened[1].written_at == START + 2 * MS and len(script.of(api.Unsent)) == 1, "it is out"
    driver.ring(START + 10 * SECOND)
    assert [event.ending for event in script.of(api.Ended)] == [Ending.TIMEOUT]


def test_an_attempt_whose_time_ends_before_its_write_has_not_run() -> None:
    """Guards against a plan that is set up once and given up, though nothing of it was ever written."""
    driver, outside, script = driving(kind=Driver)
    outside.writes = False
    script.answers[api.Arrived] = lambda event: [api.SetUp(event.request.pb, ROWS[0].host, SECOND)]
    driver.arrive(START, WANTED, "reply")
    driver.ring(START + 2 * SECOND)
    assert [event.ending for event in script.of(api.Ended)] == [Ending.NO_CONNECTION]
    assert not driver.may_write(START + 2 * SECOND, outside.opened[0])


class Judge(Script):
    """A script that is asked at each write."""

    def __init__(self, allows: bool) -> None:
        super().__init__()
        self.allows, self.judged = allows, list[tuple[int, int]]()

    def authorize(self, now: int, pb: int, attempt: int) -> bool:
        self.judged.append((pb, attempt))
        return self.allows


def test_decisions_that_took_over_judge_their_own_attempts_and_count_them_from_their_first() -> None:
    """Guards against a place that the decisions do not know, after settings have changed."""
    first, second = Judge(True), Judge(False)
    driver, outside, _ = driving(script=first, kind=ChangingDriver)
    outside.writes = False
    first.answers[api.Arrived] = lambda event: [api.SetUp(event.request.pb, 1, 0)]
    playback = driver.arrive(START, WANTED, "reply")
    other = driver.arrive(START, WANTED, "reply")
    driver.change_policy(START, lambda now: second, 3, lambda row: 7)
    assert driver.may_write(START, outside.opened[0]), "what was sent by the decisions before stands"
    driver.flowing(START, outside.opened[0])
    assert not first.judged and not second.judged and other.state == "asked"
    second.answers[api.Bell] = lambda event: [api.Move(playback.number)]
    second.answers[api.Arrived] = lambda event: [api.SetUp(event.request.pb, 2, 0)]
    driver._carry_out([api.SetAlarm(0, 1)])
    driver.ring(START + MS)
    moved = outside.opened[-1]
    assert not driver.may_write(START + MS, moved)
    second.answers[api.Unsent] = lambda event: [api.Reject(event.pb, 0)]
    driver.unsent(START + MS, moved)
    assert second.judged == [(moved.playback.number, 0)]
    assert second.of(api.Unsent) == [api.Unsent(moved.playback.number, 0, 2)]
