"""The lease on the sessions of one host, and what counts as evidence."""

from __future__ import annotations

from itertools import product

import pytest

from burlmast.lease import (
    CHECK,
    CLOSE_ANSWERED,
    LEASE,
    LOSS_RECENT,
    LOST_REMEMBERED,
    MS,
    RENEW,
    RENEW_SOON,
    REPEAT,
    REPEAT_AFTER_LOSS,
    SET_UPS_SHARING,
    TRANSITIONS,
    HostLease,
    ImpossibleInput,
    Link,
    LinkInput,
    LinkState,
    SessionLease,
    check_due,
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


def test_a_session_is_confirmed_by_its_own_connection_and_by_no_other() -> None:
    host = HostLease()
    own, other = host.opened(AT), host.opened(AT)
    session = SessionLease(AT, own)
    host.take(other, LinkInput.RECEIVED, AT + LEASE)
    assert host.confirmed_at(session) == AT
    assert host.expired(session, AT + LEASE)
    host.take(own, LinkInput.RECEIVED, AT + 5)
    assert not host.expired(session, AT + LEASE)


def test_a_session_without_a_connection_of_its_own_is_confirmed_by_all_that_may_carry_its_end() -> None:
    host = HostLease()
    one, two = host.opened(AT), host.opened(AT)
    handed_over = SessionLease(AT)
    host.take(one, LinkInput.RECEIVED, AT + 7)
    assert host.confirmed_at(handed_over) == AT
    host.take(two, LinkInput.RECEIVED, AT + 5)
    assert host.confirmed_at(handed_over) == AT + 5


def test_a_connection_that_its_host_closed_in_order_has_delivered_what_it_carried() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own)
    host.take(own, LinkInput.CLOSED_FOR_WRITING, AT + 1)
    assert host.confirmed_at(session) == AT, "its host has not closed it yet"
    new = host.opened(AT + 2)
    host.take(own, LinkInput.ENDED_BY_HOST, AT + 3)
    host.take(new, LinkInput.RECEIVED, AT + 4)
    assert host.confirmed_at(session) == AT + 4


@pytest.mark.parametrize("path", [(LinkInput.RESET,), (LinkInput.CLOSED_FOR_WRITING, LinkInput.GIVEN_UP)])
def test_a_connection_that_was_lost_is_relied_on_no_more_and_its_session_ends_with_its_lease(
    path: tuple[LinkInput, ...],
) -> None:
    host = HostLease()
    own = host.opened(AT)
    session, later = SessionLease(AT, own), SessionLease(AT)
    for happening in path:
        host.take(own, happening, AT + 1)
    new = host.opened(AT + 2)
    host.take(new, LinkInput.RECEIVED, AT + LEASE)
    assert host.has_lost(AT + 1 + CLOSE_ANSWERED)
    assert host.expired(session, AT + LEASE)
    assert host.expired(later, AT + LEASE), "its host may choose the lost connection for it"
    assert not host.expired(SessionLease(AT + 2, new), AT + LEASE)


def test_a_message_on_another_connection_shows_that_its_host_knows_of_the_loss() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own)
    host.take(own, LinkInput.RESET, AT + 1)
    new = host.opened(AT + 2)
    host.known_closed(own, AT + 3)
    host.take(new, LinkInput.RECEIVED, AT + 4)
    assert host.confirmed_at(session) == AT + 4
    assert not host.has_lost(AT + LEASE)


def test_a_message_of_another_session_confirms_none_whose_end_fell_into_the_gap_of_their_connection() -> None:
    host = HostLease()
    own = host.opened(AT)
    lost = SessionLease(AT, own)
    host.take(own, LinkInput.RESET, AT + 1)
    new = host.opened(AT + 2)
    host.known_closed(own, AT + 3)
    host.take(new, LinkInput.RECEIVED, AT + LEASE)
    assert host.expired(lost, AT + LEASE)


def test_a_close_in_order_confirms_nothing_that_was_not_read_before_it() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own)
    new = host.opened(AT + 1)
    host.take(own, LinkInput.ENDED_BY_HOST, AT + 2)
    host.take(new, LinkInput.RECEIVED, AT + LEASE)
    assert host.expired(session, AT + LEASE)


def test_a_lost_connection_is_forgotten_once_its_host_has_closed_it_as_idle() -> None:
    host = HostLease()
    host.take(host.opened(AT), LinkInput.RESET, AT)
    assert host.has_lost(AT + LOST_REMEMBERED - 1)
    assert not host.has_lost(AT + LOST_REMEMBERED)
    assert not host.links


def test_an_ignored_release_ends_the_lease_whatever_comes_later() -> None:
    host = HostLease()
    own = host.opened(AT)
    session = SessionLease(AT, own, doubted_at=AT + 1)
    host.take(own, LinkInput.RECEIVED, AT + LEASE)
    assert host.expired(session, AT + 1 + LEASE)


def test_connections_are_replaced_by_age_and_sooner_after_trouble_or_many_set_ups() -> None:
    for prepare, age in (
        (lambda host: None, RENEW),
        (lambda host: setattr(host, "troubled_at", AT), RENEW_SOON),
        (lambda host: [host.set_up_sent() for _ in range(SET_UPS_SHARING)], RENEW_SOON),
    ):
        host = HostLease()
        link = host.opened(AT)
        prepare(host)
        assert not host.outdated(AT + age - 1)
        assert host.outdated(AT + age) == [link]


def test_a_quiet_connection_is_checked() -> None:
    host = HostLease()
    link = host.opened(AT)
    assert not check_due(link, AT + CHECK - 1)
    assert check_due(link, AT + CHECK)
    host.take(link, LinkInput.CLOSED_FOR_WRITING, AT + 1)
    assert not check_due(link, AT + CHECK)


def test_a_host_may_repeat_on_a_new_connection_in_time_and_sooner_after_a_loss() -> None:
    host = HostLease()
    link = host.opened(AT)
    assert not host.repeat_due(AT + REPEAT - 1)
    assert host.repeat_due(AT + REPEAT)
    host.take(link, LinkInput.RESET, AT + REPEAT)
    host.opened(AT + REPEAT)
    assert not host.repeat_due(AT + REPEAT + REPEAT_AFTER_LOSS - 1)
    assert host.repeat_due(AT + REPEAT + REPEAT_AFTER_LOSS)
    assert not host.repeat_due(AT + REPEAT + LOSS_RECENT)
