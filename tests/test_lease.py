"""The lease on the sessions of one host, and what counts as evidence."""

from __future__ import annotations

from itertools import product

import pytest

from burlmast.lease import (
    BURST,
    CHECK,
    HELD_OPEN_BEYOND_IDLE,
    LEASE,
    LOSS_RECENT,
    MS,
    REPEAT_AFTER_LOSS,
    TRANSITIONS,
    HostLease,
    ImpossibleInput,
    Link,
    LinkInput,
    LinkState,
    SessionLease,
)

AT = 100_000 * MS
CHECK_REPLY = 1_250 * MS


def test_a_check_of_a_quiet_connection_is_answered_within_a_lease_which_ends_within_the_protocols_8_s() -> (
    None
):
    assert CHECK + CHECK_REPLY < LEASE < 8_000 * MS


@pytest.mark.parametrize(("state", "happening"), product(LinkState, LinkInput))
def test_a_connection_meets_only_what_is_possible_in_its_state(
    state: LinkState, happening: LinkInput
) -> None:
    link = Link(AT, AT, state)
    if (state, happening) in TRANSITIONS:
        link.take(happening, AT + 1)
        assert link.state is TRANSITIONS[state, happening]
        assert bool(link.ended_at) == (link.state in (LinkState.CLOSED, LinkState.LOST))
    else:
        with pytest.raises(ImpossibleInput):
            link.take(happening, AT + 1)


def test_a_session_is_confirmed_by_replies_on_its_own_connection_and_by_no_other() -> None:
    host = HostLease()
    own, other = host.opened(AT), host.opened(AT)
    session = SessionLease(AT, own)
    other.replied(AT + LEASE)
    assert host.confirmed_at(session) == AT
    assert host.expired(session, AT + LEASE)
    own.replied(AT + 5)
    assert host.confirmed_at(session) == AT + 5
    assert not host.expired(session, AT + LEASE)


def test_bytes_confirm_only_what_was_written_before_the_burst_of_bytes_before_them() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own)
    host.take(own, LinkInput.RECEIVED, AT + 1_000 * MS)
    assert host.confirmed_at(session) == AT, "it may have been held since the connection came up"
    host.take(own, LinkInput.RECEIVED, AT + 6_000 * MS)
    assert host.confirmed_at(session) == AT + 1_000 * MS
    host.take(own, LinkInput.RECEIVED, AT + 6_000 * MS + BURST - 1)
    assert host.confirmed_at(session) == AT + 1_000 * MS, "what comes together was held together"


def test_a_message_about_a_session_confirms_it_up_to_what_is_confirmed_where_it_came() -> None:
    host = HostLease()
    own, other = host.opened(AT), host.opened(AT)
    session = SessionLease(AT, own)
    host.take(own, LinkInput.RESET, AT + 1)
    other.replied(AT + 5)
    assert host.confirmed_at(session) == AT
    session.noted(other, AT + 9)
    assert host.confirmed_at(session) == AT + 5


def test_a_session_without_a_connection_of_its_own_is_confirmed_by_all_that_may_carry_its_end() -> None:
    host = HostLease()
    one, two = host.opened(AT), host.opened(AT)
    lost = SessionLease(AT)
    one.replied(AT + 7)
    assert host.confirmed_at(lost) == AT
    two.replied(AT + 5)
    assert host.confirmed_at(lost) == AT + 5
    new = host.opened(AT + 6)
    assert host.confirmed_at(lost) == AT + 5, "its host has not written on the new one before"
    for link in (one, two):
        link.replied(AT + 9)
    assert host.confirmed_at(lost) == AT + 5, "its end may be on the new one, on which nothing has come yet"
    new.replied(AT + 8)
    assert host.confirmed_at(lost) == AT + 8


def test_a_dial_that_was_dropped_may_have_come_up_at_the_host_and_carry_an_end() -> None:
    host = HostLease(idle=30_000 * MS)
    session = SessionLease(AT)
    host.lost_unseen(AT)
    host.opened(AT).replied(AT + LEASE)
    assert host.expired(session, AT + LEASE)
    host.forget_ended(AT + 30_000 * MS + HELD_OPEN_BEYOND_IDLE + 1)
    assert not host.expired(session, AT + LEASE), "the host has closed it as idle"


def test_a_host_that_never_closes_idle_connections_may_hold_an_ended_one_for_good() -> None:
    host = HostLease(idle=0)
    host.take(host.opened(AT), LinkInput.ENDED_BY_HOST, AT)
    host.forget_ended(AT + 1_000 * LEASE)
    assert len(host.links) == 1


@pytest.mark.parametrize(
    "path",
    [
        (LinkInput.ENDED_BY_HOST,),
        (LinkInput.RESET,),
        (LinkInput.ABORTED,),
        (LinkInput.CLOSED_FOR_WRITING, LinkInput.ENDED_BY_HOST),
        (LinkInput.CLOSED_FOR_WRITING, LinkInput.RESET),
        (LinkInput.CLOSED_FOR_WRITING, LinkInput.ABORTED),
        (LinkInput.CLOSED_FOR_WRITING, LinkInput.GIVEN_UP),
    ],
)
def test_no_end_of_a_connection_confirms_anything(path: tuple[LinkInput, ...]) -> None:
    host = HostLease()
    own = host.opened(AT)
    session, handed_over = SessionLease(AT, own), SessionLease(AT)
    for happening in path:
        host.take(own, happening, AT + 1)
    new = host.opened(AT + 2)
    new.replied(AT + LEASE)
    assert host.expired(session, AT + LEASE)
    assert host.expired(handed_over, AT + LEASE), "its host may choose the lost connection for it"
    assert not host.expired(SessionLease(AT + 2, new), AT + LEASE)


def test_a_message_on_another_connection_shows_that_its_host_knows_of_the_loss() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own)
    host.take(own, LinkInput.RESET, AT + 1)
    new = host.opened(AT + 2)
    new.replied(AT + 3)
    session.noted(new, AT + 4)
    new.replied(AT + LEASE)
    assert host.confirmed_at(session) == AT + LEASE


def test_a_message_of_another_session_confirms_none_whose_end_fell_into_the_gap_of_their_connection() -> None:
    host = HostLease()
    own = host.opened(AT)
    lost, noted = SessionLease(AT, own), SessionLease(AT, own)
    host.take(own, LinkInput.RESET, AT + 1)
    new = host.opened(AT + 2)
    new.replied(AT + 3)
    noted.noted(new, AT + 4)
    new.replied(AT + LEASE)
    assert host.expired(lost, AT + LEASE)
    assert not host.expired(noted, AT + LEASE)


def test_a_close_in_order_confirms_nothing_that_was_not_read_before_it() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own)
    own.replied(AT + 1)
    new = host.opened(AT + 1)
    host.take(own, LinkInput.ENDED_BY_HOST, AT + 2)
    new.replied(AT + LEASE)
    assert host.confirmed_at(session) == AT + 1


def test_a_lost_connection_is_forgotten_once_its_host_has_closed_it_as_idle() -> None:
    idle = 30_000 * MS
    host = HostLease(idle=idle)
    host.take(host.opened(AT), LinkInput.RESET, AT)
    host.forget_ended(AT + idle + HELD_OPEN_BEYOND_IDLE - 1)
    assert host.links
    host.forget_ended(AT + idle + HELD_OPEN_BEYOND_IDLE)
    assert not host.links


def test_an_ignored_release_ends_the_lease_whatever_comes_later() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own, doubted_at=AT + 1)
    own.replied(AT + LEASE)
    session.noted(own, AT + LEASE)
    assert host.expired(session, AT + 1 + LEASE)


@pytest.mark.parametrize(
    ("notes", "silent_for", "ended"),
    [
        ([1_500, 3_000], LEASE - 1, False),
        ([1_500, 3_000], LEASE, True),
        ([1_500, 7_000], LEASE, False),  # twice the longest gap is 11 s
        ([1_500, 7_000], 11_000 * MS, True),
        ([1_500], 10 * LEASE, False),
        ([], 10 * LEASE, False),
    ],
)
def test_a_session_whose_regular_notes_stop_is_ended_whatever_comes_behind_them(
    notes: list[int], silent_for: int, ended: bool
) -> None:
    host = HostLease()
    link = host.opened(AT)
    session = SessionLease(AT, link)
    last = AT
    for after in notes:
        last = AT + after * MS
        session.noted(link, last)
    link.replied(last + silent_for)
    assert host.expired(session, last + silent_for) is ended


def test_the_open_connections_that_may_confirm_a_session_are_checked_once_it_needs_that() -> None:
    host = HostLease()
    own, other = host.opened(AT), host.opened(AT)
    session, handed_over = SessionLease(AT, own), SessionLease(AT)
    assert not host.to_check([session, handed_over], AT + CHECK - 1)
    assert host.to_check([session], AT + CHECK) == [own]
    assert host.to_check([handed_over], AT + CHECK) == [own, other]
    session.established_at = AT + CHECK
    assert not host.to_check([session], AT + CHECK)
    host.take(own, LinkInput.CLOSED_FOR_WRITING, AT + 1)
    assert host.to_check([handed_over], AT + CHECK) == [other]


def test_a_host_may_repeat_on_a_new_connection_in_time_and_sooner_after_a_loss() -> None:
    host = HostLease()
    link = host.opened(AT)
    leases = [SessionLease(AT, link)]
    assert not host.repeat_due(leases, AT + CHECK - 1)
    assert host.repeat_due(leases, AT + CHECK)
    leases[0].noted(link, AT + CHECK)
    assert not host.repeat_due(leases, AT + CHECK), "its host says that it goes on"
    host.take(link, LinkInput.RESET, AT + CHECK)
    host.opened(AT + CHECK)
    assert not host.repeat_due(leases, AT + CHECK + REPEAT_AFTER_LOSS - 1)
    assert host.repeat_due(leases, AT + CHECK + REPEAT_AFTER_LOSS)
    assert not host.repeat_due(leases, AT + CHECK + LOSS_RECENT)


def test_a_close_that_this_side_began_and_its_host_answered_is_no_loss() -> None:
    host = HostLease()
    link = host.opened(AT)
    leases = [SessionLease(AT, link)]
    host.take(link, LinkInput.CLOSED_FOR_WRITING, AT)
    assert host.repeat_due(leases, AT + REPEAT_AFTER_LOSS)
    host.take(link, LinkInput.ENDED_BY_HOST, AT + 1)
    assert not host.repeat_due(leases, AT + REPEAT_AFTER_LOSS)
