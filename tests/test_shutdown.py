"""What a gateway that is told to end still takes on: nothing that the earliest kill could find unanswered."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from burlmast.shutdown import GRACE, LONGEST_DEADLINE, MARGIN, SHORTEST, Shutdown

MS = 1_000_000
SECOND = 1_000 * MS


def test_until_sigterm_a_request_has_all_the_time_it_leaves() -> None:
    assert Shutdown([300 * MS]).time_allowed(5, 900 * SECOND) == 900 * SECOND


def test_the_last_answer_is_out_before_the_earliest_kill() -> None:
    assert Shutdown([300 * MS, 200 * MS]).begin(0) == 300 * MS + GRACE - MARGIN
    assert Shutdown([9 * SECOND]).begin(0) == LONGEST_DEADLINE + GRACE - MARGIN, "a longer one counts as 3 s"
    assert Shutdown([]).begin(0) == GRACE - MARGIN


def test_a_second_sigterm_gives_no_more_time() -> None:
    shutdown = Shutdown([SECOND])
    assert shutdown.begin(0) == shutdown.begin(SECOND)


@given(
    st.integers(1, 5 * SECOND),
    st.integers(0, 6 * SECOND),
    st.integers(1, 6 * SECOND),
)
def test_no_request_is_held_over_the_last_answer_and_none_that_fits_is_cut(
    longest: int, after: int, wanted: int
) -> None:
    shutdown = Shutdown([longest])
    last = shutdown.begin(0)
    allowed = shutdown.time_allowed(after, wanted)
    assert 0 <= allowed <= wanted
    assert allowed == 0 or after + allowed <= last
    if after + wanted <= last:
        assert allowed == wanted
    if 0 < allowed < wanted:
        assert allowed >= SHORTEST
