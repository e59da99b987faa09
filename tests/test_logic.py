"""Small tests of the decisions, one for each failure found and for what the design settles."""

from __future__ import annotations

import sys
from dataclasses import replace

import pytest
from helpers import MS, PLAN, SECOND, TERMS, Desk, of, row

from burlmast import api
from burlmast.api import Ending, Load, News, Repeat, Request, Scope, Standing
from burlmast.logic import PB_TOKEN, QUIET, TICK

NAN = float("nan")


def test_set_up_goes_to_the_roomiest_holder_at_a_rung_that_fits() -> None:
    desk = Desk()
    for pb in range(3):
        desk.play(pb, pb, rung=3)
    actions = desk.ask(10)
    assert of(actions, api.SetUp)[0].host == 3
    assert of(actions, api.SetRung) == [api.SetRung(10, 3)]


def test_without_room_the_roomiest_takes_it_at_the_lowest_rung() -> None:
    desk = Desk(hosts=2)
    for host, asked in ((0, 1.4), (1, 1.1)):
        desk.play(host, host)
        desk.take(api.Note(host, 0, host, News.LINK, asked))
    actions = desk.ask(10)
    assert of(actions, api.SetUp)[0].host == 1
    assert not of(actions, api.SetRung)


def test_short_link_drops_at_once_but_no_further_than_the_shortage() -> None:
    desk = Desk(hosts=1)
    for pb in range(6):
        desk.play(pb, 0, rung=2)
    desk.take(api.Note(0, 0, 0, News.SHARE, 0.85), after=2 * SECOND)
    steps = of(desk.tick(), api.SetRung)
    assert {step.rung for step in steps} == {1} and 1 <= len(steps) <= 2
    # the same note, late and smoothed, does not call for the same step again
    assert not of(desk.tick(after=TICK // 4), api.SetRung)


def test_deep_shortage_drops_every_playback_one_rung() -> None:
    desk = Desk(hosts=1)
    for pb in range(4):
        desk.play(pb, 0, rung=3)
    desk.take(api.Note(0, 0, 0, News.SHARE, 0.2), after=2 * SECOND)
    assert [step.rung for step in of(desk.tick(), api.SetRung)] == [2, 2, 2, 2]


def test_one_rise_then_quiet_on_the_link() -> None:
    desk = Desk(hosts=1)
    desk.play(1, 0)
    desk.play(2, 0)
    assert len(of(desk.tick(), api.SetRung)) == 1
    assert not of(desk.tick(after=TICK), api.SetRung)
    assert len(of(desk.tick(after=QUIET), api.SetRung)) == 1


def test_rack_whose_hosts_are_short_together_counts_as_full() -> None:
    desk = Desk(hosts=4)
    for pb, host in enumerate((0, 2, 1, 3)):
        desk.play(pb, host)
        desk.take(api.Note(pb, 0, host, News.LINK, 0.5 if host % 2 else 0.2))
    for pb, host in ((0, 0), (1, 2)):
        desk.take(api.Note(pb, 0, host, News.SHARE, 0.8))
    desk.tick()
    for pb, host in ((0, 0), (1, 2)):
        desk.take(api.Note(pb, 0, host, News.SHARE, 1.0))
    assert of(desk.ask(10), api.SetUp)[0].host % 2 == 1


def test_host_failing_in_a_row_is_set_aside_and_returns_after_probes() -> None:
    desk = Desk(hosts=2, allowed=replace(TERMS.allowed, tries=1))
    desk.play(0, 1, rung=3)
    for pb in (10, 11):
        assert of(desk.ask(pb), api.SetUp)[0].host == 0
        desk.end(pb, 0, 0, Ending.ERROR)
    assert of(desk.ask(12), api.SetUp)[0].host == 1
    for _ in range(2):
        assert api.Probe(0) in desk.tick(after=TICK)
        desk.take(api.Probed(0, Ending.SERVED, MS, Load()))
    assert of(desk.ask(13), api.SetUp)[0].host == 0


def test_failed_try_goes_to_another_holder_and_the_last_failure_is_answered_at_once() -> None:
    desk = Desk()
    seen = [of(desk.ask(1), api.SetUp)[0].host]
    for attempt in range(2):
        seen += [a.host for a in of(desk.end(1, attempt, seen[-1], Ending.ERROR), api.SetUp)]
    assert len(set(seen)) == 3
    assert of(desk.end(1, 2, seen[-1], Ending.ERROR), api.Reject) == [api.Reject(1, 0)]


@pytest.mark.parametrize(
    ("ending", "answer"),
    [
        (Ending.ERROR, api.Abort),
        (Ending.TIMEOUT, api.Abort),
        (Ending.BROKEN, api.Abort),
        (Ending.CALLED_OFF, api.Abort),
        (Ending.FULL, api.SetUp),
        (Ending.MOOT, api.SetUp),
        (Ending.NO_CONNECTION, api.SetUp),
    ],
)
def test_unsafe_plan_goes_on_only_when_nothing_can_have_run(ending: Ending, answer: type) -> None:
    desk = Desk(plans=(replace(PLAN, repeat=Repeat.NEVER),))
    host = of(desk.ask(1), api.SetUp)[0].host
    assert of(desk.end(1, 0, host, ending), answer)


def test_overdue_playback_is_answered_before_its_abandon_time() -> None:
    desk = Desk()
    bell = of(desk.ask(1), api.SetAlarm)[0]
    assert bell.after < 3 * SECOND
    actions = desk.take(api.Bell(bell.token), after=bell.after)
    assert of(actions, api.CallOff) and of(actions, api.Reject)
    assert desk.end(1, 0, 0, Ending.CALLED_OFF) == []


def test_gateway_that_starts_again_spends_no_share_twice_on_a_cold_host() -> None:
    desk = Desk(hosts=0)
    desk.listed(row(0), row(1), scope=Scope.CACHED)
    assert not of(desk.ask(1), api.SetUp)
    desk.now += 3 * SECOND
    sent = [len(of(desk.ask(pb), api.SetUp)) for pb in range(2, 40)]
    pace = TERMS.rules.cold_share * 30 * TERMS.rules.fall_span / TERMS.rules.warm_after
    assert 0 < sum(sent) <= 2 * TERMS.rules.fall_multiple * pace


def test_strays_change_nothing() -> None:
    desk = Desk()
    host = of(desk.ask(1), api.SetUp)[0].host
    strays: list[api.Event] = [
        api.Ended(99, 0, host, Ending.ERROR, 0, False, Load(NAN, -1.0, float("inf"))),
        api.Ended(1, 5, host, Ending.ERROR, 0, False, Load()),
        api.Ended(1, 0, 77, Ending.ERROR, 0, False, Load()),
        api.Flowing(99, 0, host, 0),
        api.Flowing(1, 3, host, 0),
        api.Note(1, 0, host, News.LINK, NAN),
        api.Note(1, 0, 77, News.SHARE, 0.1),
        api.Bell(12345),
        api.Probed(77, Ending.SERVED, 0, Load()),
        api.ViewerLeft(99),
    ]
    for event in strays:
        assert desk.take(event) == []
    assert desk.take(api.Arrived(api.Request(1, 0, 3.0, 0, 4, 1, 1, SECOND))) == []
    desk.take(api.Flowing(1, 0, host, MS))
    assert desk.take(api.Flowing(1, 0, host, MS)) == []
    assert [desk.end(1, 0, host, Ending.SERVED, final=True) for _ in range(2)] == [[], []]


def test_no_rise_on_a_link_of_which_only_the_own_part_is_known() -> None:
    desk = Desk(hosts=1, gateways=3)
    desk.play(1, 0)
    assert not of(desk.tick(), api.SetRung)
    desk.take(api.Note(1, 0, 0, News.LINK, 0.1))
    assert of(desk.tick(), api.SetRung)


def test_short_share_is_forgotten_where_nothing_of_ours_plays_any_more() -> None:
    desk = Desk(hosts=2)
    desk.play(1, 0)
    desk.play(2, 1, rung=3)
    desk.take(api.Note(1, 0, 0, News.SHARE, 0.3))
    desk.end(1, 0, 0, Ending.SERVED, final=True)
    for pb in (10, 11):
        desk.ask(pb, plan=0)
    desk.tick(after=4 * TICK)
    for pb in (10, 11):
        desk.take(api.ViewerLeft(pb))
    assert of(desk.ask(12), api.SetUp)[0].host == 0


def test_an_inferred_uplink_shortage_fades() -> None:
    desk = Desk(hosts=2, lineup=replace(TERMS.lineup, racks=1))
    for host in (0, 1):
        desk.play(host, host)
        desk.take(api.Note(host, 0, host, News.LINK, 0.05))
        desk.take(api.Note(host, 0, host, News.SHARE, 0.5))
    desk.tick()
    for host in (0, 1):
        desk.take(api.Note(host, 0, host, News.SHARE, 1.0))
    assert not of(desk.ask(10), api.SetRung)
    desk.now += QUIET * 3 // 4
    assert of(desk.ask(11), api.SetRung)[0].rung > 0


def test_nothing_goes_to_hosts_that_drain_are_gone_or_were_never_listed() -> None:
    desk = Desk(hosts=2, gateways=2)
    desk.listed(row(0, standing=Standing.DRAINING), row(1, standing=Standing.GONE))
    desk.play(1, 99)
    desk.tick()
    assert of(desk.ask(2), api.Reject)


def test_many_gateways_together_drop_and_rise_by_what_is_short_or_free() -> None:
    dropped = risen = 0
    wide = replace(TERMS.lineup, link_per_weight=36e3, uplink=80e3)
    for number in range(100):
        desk = Desk(hosts=1, gateways=100, number=number)
        desk.play(1, 0, rung=2)
        desk.take(api.Note(1, 0, 0, News.SHARE, 0.9), after=2 * SECOND)
        dropped += len(of(desk.tick(), api.SetRung))
        desk = Desk(hosts=1, gateways=100, number=number, lineup=wide)
        desk.play(1, 0, rung=2)
        desk.take(api.Probed(0, Ending.SERVED, MS, Load(24.0, 0.9)), after=2 * SECOND)
        risen += len(of(desk.tick(), api.SetRung))
    assert 5 <= dropped <= 40 and 5 <= risen <= 40


def test_first_rung_and_strangers_at_hundreds_of_gateways() -> None:
    lineup = replace(TERMS.lineup, link_per_weight=2000.0)
    rungs = [of(Desk(gateways=n, lineup=lineup).ask(1), api.SetRung)[0].rung for n in (1, 3)]
    assert rungs == [3, 1]  # a few gateways share the room that all of them see
    desk = Desk(hosts=8, gateways=300)
    desk.now += 100 * SECOND
    assert of(desk.ask(1), api.SetRung)
    for host in range(2):
        desk.play(10 + host, host)
        desk.take(api.Note(10 + host, 0, host, News.LINK, (0.98, 0.2)[host]))
    desk.gateway.parts.extend([0.98] * 20)
    assert of(desk.ask(2), api.SetUp)[0].host == 1  # not one of the strangers, which tell nothing


def test_host_that_told_nothing_is_asked_and_one_that_stays_silent_is_passed_over() -> None:
    once = Desk(hosts=3, lineup=replace(TERMS.lineup, tells=True))
    silent = of(once.ask(1), api.Probe)[0].host
    assert of(once.take(api.Bell(PB_TOKEN + 1), after=100 * MS), api.SetUp)[0].host != silent
    desk = Desk(hosts=3, lineup=replace(TERMS.lineup, tells=True, reports=False))
    first = of(desk.ask(1), api.Probe)[0].host
    assert of(desk.take(api.Probed(first, Ending.SERVED, MS, Load(3.0, 0.1))), api.SetUp)[0].host == first
    silent = of(desk.ask(2), api.Probe)[0].host
    token = api.Bell(PB_TOKEN + 2)
    third = of(desk.take(token, after=100 * MS), api.Probe)[0].host
    assert third not in (first, silent)  # the next that told nothing, for a quarter of the target
    assert of(desk.take(token, after=100 * MS), api.SetUp)[0].host == first
    assert not of(desk.take(api.Probed(silent, Ending.TIMEOUT, MS, Load())), api.SetUp)


def test_every_gateway_of_many_gets_its_turn_at_a_cold_host() -> None:
    desks = [Desk(hosts=0, gateways=20, number=number) for number in range(20)]
    sent = [0] * 20
    for desk in desks:
        desk.listed(row(0), scope=Scope.CACHED)
        desk.play(1, 0)  # a single one handed over proves no age
        for beat in range(40):
            desk.now += SECOND // 4
            sent[desk.terms.number] += len(of(desk.ask(10 + beat), api.SetUp))
    assert sum(sent) >= 15 and max(sent) <= 2


def test_work_does_not_grow_with_gateways_and_hosts() -> None:
    def calls(hosts: int, gateways: int) -> int:
        desk = Desk(hosts=0, gateways=gateways, lineup=replace(TERMS.lineup, cells=hosts, racks=hosts // 4))
        desk.listed(*(row(host, cell=host) for host in range(hosts)), scope=Scope.COMPLETE)
        seen: list[object] = []
        sys.setprofile(lambda *_: seen.append(None))
        for pb in range(8):
            desk.ask(pb)
            desk.take(api.FromPeer(0, b"x"))
            desk.tick(after=TICK)
        sys.setprofile(None)
        return len(seen)

    assert calls(400, 300) < 1.3 * calls(20, 3)


def test_streams_that_hosts_do_not_tell_are_reckoned_from_their_links() -> None:
    rungs = []
    for streams in (6.0, None):
        desk = Desk(gateways=300)
        desk.now += 100 * SECOND
        desk.play(1, 0, rung=1)
        for host in range(4):
            desk.take(api.Probed(host, Ending.SERVED, MS, Load(streams, 0.3)))
        rungs.append(of(desk.ask(2), api.SetRung)[0].rung)
    assert rungs == [3, 3]  # six like ours on a link of 8,000 asked for 0.3, not one for each of 300 gateways


@pytest.mark.parametrize(("stall", "answer"), [(0.0, api.SetUp), (1.0, api.SetUp), (7.0, api.Reject)])
def test_one_more_is_turned_away_where_even_the_roomiest_is_told_short(stall: float, answer: type) -> None:
    desk = Desk(hosts=2, lineup=replace(TERMS.lineup, stall=stall))
    for host, asked in ((0, 1.4), (1, 1.1)):
        desk.play(host, host)
        desk.take(api.Note(host, 0, host, News.LINK, asked))
    assert of(desk.ask(10), answer)
    desk.take(api.Note(1, 0, 1, News.LINK, 0.9))
    assert of(desk.ask(11), api.SetUp)[0].host == 1


@pytest.mark.parametrize(
    ("streams", "asked", "then", "sent"),
    [
        (12.0, 1, "", True),
        (0.0, 1, "", False),  # a newcomer is empty
        (12.0, 15, "", False),  # asked more than a cold host could take
        (12.0, 1, "told", False),
        (12.0, 1, "falls", False),
    ],
)
def test_what_runs_as_much_as_others_is_no_newcomer(
    streams: float, asked: int, then: str, sent: bool
) -> None:
    lineup = replace(TERMS.lineup, cells=100)
    desk = Desk(hosts=0, gateways=100, number=50, lineup=lineup)
    desk.listed(*(row(host, cell=host) for host in range(100)), scope=Scope.CACHED)
    desk.now += 4 * SECOND
    for host in range(50):
        desk.take(api.Probed(host, Ending.SERVED, MS, Load(streams if host < 4 else 12.0, 0.3)))
    if then == "told":
        desk.listed(*(row(host, cell=host, started=desk.now - SECOND) for host in range(4)))
    for host in range(4) if then == "falls" else ():
        desk.take(api.Probed(host, Ending.TIMEOUT, MS, Load()))
    for pb in range(1, asked):
        desk.take(api.Arrived(Request(pb, 0, 3.0, 50, 4, 1, pb, 3 * SECOND)))
    assert bool(of(desk.ask(99), api.SetUp)) == sent


def test_streams_prove_that_a_host_has_been_up_for_as_long_as_so_many_take() -> None:
    desk = Desk(hosts=0, gateways=100)
    desk.listed(row(0), row(1), scope=Scope.CACHED)
    for host, streams in ((0, 29.0), (1, 3.0)):
        desk.take(api.Probed(host, Ending.SERVED, MS, Load(streams, 0.3)))
    ages = [max(0, desk.now - desk.gateway.hosts[host].proven) / SECOND for host in (0, 1)]
    # 29 streams less a budget of 6: 0.26 of what three times its pace gives over the warm time
    assert (
        ages[0] == pytest.approx(12 * ((0.16 + 1.2 * 23 / 90) ** 0.5 - 0.4) / 0.6, rel=0.01) and ages[1] == 0
    )


def test_where_every_host_holds_a_title_others_do_not_all_want_the_same_room() -> None:
    rungs = []
    for copies in (4, 100):
        desk = Desk(hosts=0, gateways=100, lineup=replace(TERMS.lineup, cells=100, racks=100))
        desk.listed(*(row(host, cell=host) for host in range(100)), scope=Scope.COMPLETE)
        desk.gateway.crowds.extend([30.0] * 20)
        for pb in range(20):
            desk.now += 2 * SECOND
            actions = desk.take(api.Arrived(Request(pb, 0, 3.0, 0, copies, pb, pb, 3 * SECOND)))
        rungs.append(sum(step.rung for step in of(actions, api.SetRung)))
    assert rungs[1] > 0 and rungs[0] >= rungs[1]


def test_an_uplink_that_is_only_inferred_turns_nobody_away() -> None:
    desk = Desk(hosts=3, lineup=replace(TERMS.lineup, racks=1, stall=7.0))
    for host in (0, 1):
        desk.play(host, host)
        desk.take(api.Note(host, 0, host, News.LINK, 0.3))
        desk.take(api.Note(host, 0, host, News.SHARE, 0.8))
    desk.tick()
    assert desk.gateway.hosts[0].rack.uplink.asked[1] > 1
    for host in (0, 1):
        desk.take(api.Note(host, 0, host, News.SHARE, 1.0))
    assert of(desk.ask(10), api.SetUp)
    desk.take(api.Note(0, 0, 0, News.UPLINK, 1.2))
    assert of(desk.ask(11), api.Reject)


def test_after_a_start_turns_are_taken_at_once_and_never_twice_by_two_lives() -> None:
    sent = 0
    for number in range(20):
        desk = Desk(hosts=0, gateways=20, number=number)
        desk.listed(row(0), scope=Scope.CACHED)
        for beat in range(40):
            desk.now += SECOND // 20
            if of(desk.ask(beat), api.SetUp):
                sent += 1
                again = Desk(hosts=0, gateways=20, number=number)
                again.now = desk.now
                again.gateway.began = desk.now
                again.listed(row(0), scope=Scope.CACHED)
                assert not of(again.ask(99), api.SetUp)  # the same turn, in its next life
    assert 3 <= sent <= 6  # a span's budget of 6, a set-up a turn


def test_hosts_long_gone_are_forgotten_and_those_that_play_or_may_be_cold_are_not() -> None:
    desk = Desk(hosts=4)
    desk.play(1, 0)
    for host in range(4):
        desk.listed(row(host, standing=Standing.GONE))
    desk.listed(row(3))
    assert len(desk.gateway.hosts) == 4
    desk.now += TERMS.rules.warm_after
    desk.listed(row(3))
    assert sorted(desk.gateway.hosts) == [0, 3] and len(desk.gateway.cells[1]) == 0
    assert sum(len(rack.hosts) for rack in desk.gateway.racks) == 2
    desk.end(1, 0, 0, Ending.BROKEN, final=True)
    desk.listed(row(3))
    assert sorted(desk.gateway.hosts) == [3]
    desk.listed(row(1, started=desk.now))
    assert desk.gateway.hosts[1] in desk.gateway.cells[1]
    for host in range(100, 300):  # a day of releases
        desk.now += SECOND
        desk.listed(row(host, started=desk.now), row(host - 2, host % 4, Standing.GONE))
    assert len(desk.gateway.hosts) < 30


def test_a_paid_playback_whose_answer_is_lost_is_aborted_in_time_and_never_rejected() -> None:
    desk = Desk(plans=(replace(PLAN, repeat=Repeat.NEVER),))
    bell = of(desk.ask(1), api.SetAlarm)[0]
    actions = desk.take(api.Bell(bell.token), after=bell.after)
    assert of(actions, api.CallOff) and of(actions, api.Abort) and not of(actions, api.Reject)
    assert bell.after < 3 * SECOND and desk.end(1, 0, 0, Ending.CALLED_OFF) == []


def test_seats_count_what_was_handed_over_and_what_is_out_until_it_ends() -> None:
    desk = Desk(plans=(replace(PLAN, seats=2),))
    for pb in range(3):  # an earlier life left more than the limit
        desk.play(pb, pb)
    assert of(desk.ask(10), api.Reject) and of(desk.ask(11, title=2), api.SetUp)
    for pb, taken in ((0, True), (1, False)):
        desk.end(pb, 0, pb, Ending.SERVED, final=True)
        assert bool(of(desk.ask(20 + pb), api.Reject)) == taken
    assert of(desk.ask(30), api.Reject)  # 2 plays and 21 is out
    host = next(host for host in desk.gateway.hosts.values() if 21 in host.playbacks).id
    desk.take(api.ViewerLeft(21))
    assert of(desk.ask(31), api.Reject)  # its try may yet come up
    desk.end(21, 0, host, Ending.CALLED_OFF, final=True)
    assert of(desk.ask(32), api.SetUp)


def test_no_step_goes_under_the_floor_and_without_room_the_floor_is_tried() -> None:
    desk = Desk(hosts=1, plans=(replace(PLAN, floor=1),))
    for pb in range(4):
        desk.play(pb, 0, rung=1)
    for _ in range(4):
        desk.take(api.Note(0, 0, 0, News.SHARE, 0.2), after=SECOND)
        assert not of(desk.tick(after=TICK), api.SetRung)
    actions = desk.ask(10)
    assert of(actions, api.SetUp) and not of(actions, api.SetRung)
    assert desk.gateway.playbacks[10].rung == 1


def test_the_last_of_the_budget_is_kept_for_what_earns_most() -> None:
    rules = replace(TERMS.rules, further_free=2.0, further_ratio=0.0, further_span=5 * SECOND)
    desk = Desk(plans=(PLAN, replace(PLAN, revenue=3.0, repeat=Repeat.NEVER)), rules=rules)

    def again(pb: int, plan: int) -> bool:
        host = of(desk.ask(pb, plan), api.SetUp)[0].host
        return bool(of(desk.end(pb, 0, host, Ending.FULL), api.SetUp))

    assert again(1, 0) and not again(2, 0)
    assert again(3, 1) and not again(4, 1)
    desk.now += 6 * SECOND
    assert again(5, 0)


def test_without_probes_a_host_set_aside_comes_back_after_two_ticks() -> None:
    desk = Desk(hosts=2, allowed=replace(TERMS.allowed, tries=1, probes=False))
    desk.play(0, 1, rung=3)
    for pb in (10, 11):
        desk.end(pb, 0, of(desk.ask(pb), api.SetUp)[0].host, Ending.ERROR)
    assert of(desk.ask(12), api.SetUp)[0].host == 1
    assert not of(desk.tick(), api.Probe) and desk.gateway.hosts[0].state == "aside"
    desk.tick(after=TICK)
    assert of(desk.ask(13), api.SetUp)[0].host == 0


def test_what_is_given_up_is_answered_in_the_same_moment_with_advice_when_to_come_back() -> None:
    advised = replace(TERMS.allowed, advice=True, longest_advice=900 * MS, tries=1)
    desk = Desk(hosts=2, allowed=advised, lineup=replace(TERMS.lineup, stall=7.0))
    host = of(desk.ask(1), api.SetUp)[0].host
    assert of(desk.end(1, 0, host, Ending.ERROR), api.Reject) == [api.Reject(1, 900 * MS)]
    for host in range(2):
        desk.play(10 + host, host)
        desk.take(api.Note(10 + host, 0, host, News.LINK, 1.2))
    assert of(desk.ask(2), api.Reject) == [api.Reject(2, 900 * MS)]
    desk.listed(row(0, standing=Standing.GONE), row(1, standing=Standing.GONE))
    assert of(desk.ask(3), api.Reject) == [api.Reject(3, 900 * MS)]
