"""Decisions on which connection to a host is relied on for the releases of sessions."""

from __future__ import annotations

import pytest

from burlmast import liveness
from burlmast.liveness import (
    CONNECTION_BEHIND,
    HOST_SILENT,
    JUST_UNANCHORED,
    JUST_UNANCHORED_FOR,
    SESSION_UNANCHORED,
    SESSION_UNVERIFIED,
    SUSPECT_BEHIND,
    TROUBLE_REMEMBERED,
    UNANCHORED_FOR,
    VerificationBudget,
)

AT = 100_000_000_000  # nanoseconds


@pytest.mark.parametrize(
    ("received", "suspect_since", "elsewhere", "behind"),
    [
        (AT, 0, AT + CONNECTION_BEHIND - 1, False),
        (AT, 0, AT + CONNECTION_BEHIND, True),
        (AT, 0, AT - CONNECTION_BEHIND, False),
        (AT, AT + 5, AT + 5 + SUSPECT_BEHIND - 1, False),
        (AT, AT + 5, AT + 5 + SUSPECT_BEHIND, True),
        (AT, AT - 5, AT + SUSPECT_BEHIND, False),  # it has carried something since
        (AT, AT + 5, 0, False),  # there is no other: the host may hang
    ],
)
def test_a_connection_is_behind_by_what_others_received_later(
    received: int, suspect_since: int, elsewhere: int, behind: bool
) -> None:
    assert liveness.is_behind(received, suspect_since, elsewhere) is behind


def test_a_host_is_gone_after_two_failed_checks_and_only_while_it_is_silent() -> None:
    assert not liveness.is_silent(AT + HOST_SILENT - 1, AT)
    assert liveness.is_silent(AT + HOST_SILENT, AT)
    assert not liveness.is_gone(AT + HOST_SILENT, AT, 1)
    assert liveness.is_gone(AT + HOST_SILENT, AT, 2)
    assert not liveness.is_gone(AT + HOST_SILENT - 1, AT, 5)


def test_a_session_whose_connection_was_lost_is_verified_sooner_and_for_a_time() -> None:
    assert not liveness.verification_due(AT + SESSION_UNVERIFIED - 1, AT, 0)
    assert liveness.verification_due(AT + SESSION_UNVERIFIED, AT, 0)
    assert not liveness.verification_due(AT + JUST_UNANCHORED - 1, AT, AT)
    assert liveness.verification_due(AT + JUST_UNANCHORED, AT, AT)
    later = AT + JUST_UNANCHORED_FOR
    assert not liveness.verification_due(later, later - JUST_UNANCHORED, AT)
    assert liveness.verification_due(later, later - SESSION_UNANCHORED, AT)
    late = AT + UNANCHORED_FOR
    assert not liveness.verification_due(late, late - SESSION_UNANCHORED, AT)


def test_sessions_without_a_fault_are_verified_after_trouble_alone_and_within_a_tenth_of_the_set_ups() -> (
    None
):
    budget = VerificationBudget()
    assert not budget.spend(AT), "nothing has failed"
    budget.note_trouble(AT)
    assert sum(budget.spend(AT) for _ in range(10)) == VerificationBudget.MOST
    for _ in range(25):
        budget.earn()
    assert sum(budget.spend(AT) for _ in range(10)) == 2
    for _ in range(100):
        budget.earn()
    assert not budget.spend(AT + TROUBLE_REMEMBERED)
    assert sum(budget.spend_always() for _ in range(10)) == VerificationBudget.MOST
