"""Decisions on which connection to a host is relied on for the releases of sessions."""

from __future__ import annotations

import pytest

from burlmast import liveness
from burlmast.liveness import CONNECTION_BEHIND, HOST_SILENT, SUSPECT_BEHIND

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
