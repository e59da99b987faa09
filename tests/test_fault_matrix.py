"""Cells of the fault matrix on real gateway processes: those that once failed, by name, and a seeded sample.

More by hand: python -m burlmast.trials --number 400 --seed 2
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from burlmast.trials import cells, judge
from burlmast.trials.cells import (
    FOR_GOOD,
    Around,
    Cell,
    Company,
    Connections,
    Fate,
    HostKind,
    Message,
    Moment,
)
from burlmast.trials.play import play
from burlmast.trials.records import Records, Request, Session

# The fates and surroundings of the first matrix; those that a box between adds are drawn by themselves.
ADDED_FATES = frozenset((*cells.CLOSED_BY_A_BOX, Fate.HELD_DROPPED))
FIRST = [
    each for each in cells.cells() if each.fate not in ADDED_FATES and each.around is not Around.NEXT_TOO
]
ADDED = [each for each in cells.cells() if each.fate in ADDED_FATES or each.around is Around.NEXT_TOO]
LEARNT = [each for each in FIRST if not cells.host_never_learns(each)]
UNLEARNT = [each for each in FIRST if cells.host_never_learns(each)]
SAMPLE = [cell for seed in range(1, 5) for cell in cells.sample(seed, 8, LEARNT)]


def cell(
    message: Message,
    connections: Connections,
    company: Company,
    fate: Fate,
    duration: float,
    moment: Moment = Moment.BEFORE,
    host: HostKind = HostKind.REPEATS,
    around: Around = Around.NOTHING,
) -> Cell:
    found = Cell(message, connections, company, fate, moment, duration, host, around)
    assert not cells.impossible(found)
    return found


def broken(tmp_path: Path, chosen: Cell) -> str:
    lines, records = asyncio.run(play(chosen, tmp_path))
    return "\n".join([*lines, records.log]) if lines else ""


@pytest.mark.parametrize("chosen", SAMPLE, ids=lambda chosen: chosen.name)
def test_no_rule_is_broken_in_a_seeded_sample_of_the_matrix(tmp_path: Path, chosen: Cell) -> None:
    assert not broken(tmp_path, chosen)


@pytest.mark.parametrize("duration", [1.5, FOR_GOOD])
def test_end_on_a_connection_that_died_silently_beside_busy_ones_arrives(
    tmp_path: Path, duration: float
) -> None:
    chosen = cell(Message.HOST_RELEASE, Connections.OWN, Company.BESIDE, Fate.DROPPED, duration)
    assert not broken(tmp_path, chosen)


def test_end_that_a_host_repeats_once_it_has_lost_the_connection_arrives(tmp_path: Path) -> None:
    chosen = cell(
        Message.HOST_RELEASE, Connections.OWN, Company.BESIDE, Fate.DROPPED, FOR_GOOD,
        host=HostKind.REPEATS_LOST,
    )  # fmt: skip
    assert not broken(tmp_path, chosen)


def test_end_on_a_connection_that_ended_on_the_gateways_side_first_arrives(tmp_path: Path) -> None:
    chosen = cell(Message.HOST_RELEASE, Connections.OWN, Company.BESIDE, Fate.CLIENT_FIRST, 5.0)
    assert not broken(tmp_path, chosen)


def test_end_on_a_connection_retired_by_a_late_set_up_arrives_though_it_is_dead(tmp_path: Path) -> None:
    chosen = cell(
        Message.HOST_RELEASE, Connections.OWN, Company.BESIDE, Fate.DROPPED, FOR_GOOD, around=Around.RETIRED
    )
    assert not broken(tmp_path, chosen)


def test_end_of_a_session_that_was_handed_over_arrives_though_its_hosts_connections_end_late(
    tmp_path: Path,
) -> None:
    chosen = cell(
        Message.HOST_RELEASE, Connections.ALL, Company.BUSY, Fate.CLIENT_FIRST, 1.5, around=Around.HANDED_OVER
    )
    assert not broken(tmp_path, chosen)


def test_sessions_of_a_host_that_takes_connections_and_says_nothing_are_released(tmp_path: Path) -> None:
    chosen = cell(Message.HOST_RELEASE, Connections.ALL, Company.BESIDE, Fate.DROPPED, FOR_GOOD)
    assert not broken(tmp_path, chosen)


@pytest.mark.parametrize("duration", [1.5, 5.0])
def test_end_arrives_though_every_viewer_connection_lost_what_was_sent_for_a_time(
    tmp_path: Path, duration: float
) -> None:
    chosen = cell(Message.VIEWER_END, Connections.ALL, Company.BESIDE, Fate.DROPPED, duration)
    assert not broken(tmp_path, chosen)


def test_end_arrives_in_time_though_the_gateway_was_stopped_as_its_release_came(tmp_path: Path) -> None:
    chosen = cell(
        Message.VIEWER_END, Connections.OWN, Company.BUSY, Fate.DROPPED, 5.0, Moment.AFTER,
        around=Around.GATEWAY_STOPPED,
    )  # fmt: skip
    assert not broken(tmp_path, chosen)


@pytest.mark.parametrize("duration", [1.5, FOR_GOOD])
def test_release_to_a_host_on_a_connection_that_died_silently_is_repeated_on_another(
    tmp_path: Path, duration: float
) -> None:
    chosen = cell(Message.GATEWAY_RELEASE, Connections.OWN, Company.BESIDE, Fate.DROPPED, duration)
    assert not broken(tmp_path, chosen)


@pytest.mark.parametrize("chosen", cells.sample(1, 12, UNLEARNT), ids=lambda chosen: chosen.name)
def test_end_arrives_though_its_host_holds_a_lost_connection_for_open_for_good(
    tmp_path: Path, chosen: Cell
) -> None:
    assert not broken(tmp_path, chosen)


def test_end_on_a_retired_connection_that_is_sound_arrives_promptly_though_others_are_dead(
    tmp_path: Path,
) -> None:
    chosen = cell(
        Message.HOST_RELEASE, Connections.OTHER, Company.BESIDE, Fate.HELD, FOR_GOOD,
        host=HostKind.REPEATS_LOST, around=Around.RETIRED,
    )  # fmt: skip
    assert not broken(tmp_path, chosen)


@pytest.mark.parametrize(
    "name",
    [
        "host_release-all-alone-closed_client_first-as-5s-repeats-next_too",
        "host_release-all-beside-dropped_close_answered-before-1.5s-repeats-next_too",
        "host_release-other-beside-dropped_close_reset-before-end-repeats_lost-nothing",
        "host_release-own-alone-dropped_close_reset-before-5s-repeats-next_too",
        "host_release-own-alone-held_dropped-as-1.5s-repeats-next_too",
        "host_release-own-beside-closed_client_first-before-end-repeats_lost-nothing",
    ],
)
def test_end_arrives_though_a_box_between_drops_it_and_ends_connections_on_its_own(
    tmp_path: Path, name: str
) -> None:
    assert not broken(tmp_path, next(each for each in cells.cells() if each.name == name))


@pytest.mark.parametrize("around", [Around.NOTHING, Around.GATEWAY_STOPPED])
def test_end_lost_on_a_connection_that_goes_on_well_arrives(tmp_path: Path, around: Around) -> None:
    chosen = cell(
        Message.HOST_RELEASE, Connections.OWN, Company.BESIDE, Fate.DROPPED, 0.05, Moment.AS,
        HostKind.REPEATS_LOST, around,
    )  # fmt: skip
    assert not broken(tmp_path, chosen)


@pytest.mark.parametrize(
    "chosen",
    [
        cell(
            Message.GATEWAY_RELEASE, Connections.ALL, Company.BESIDE, Fate.DELAYED, 1.5,
            around=Around.HANDED_OVER,
        ),
        cell(
            Message.HOST_RELEASE, Connections.OWN, Company.BUSY, Fate.DELAYED, 5.0,
            host=HostKind.REPEATS_LOST,
        ),
    ],
    ids=lambda chosen: chosen.name,
)  # fmt: skip
def test_nothing_is_left_standing_though_what_is_sent_comes_late(tmp_path: Path, chosen: Cell) -> None:
    assert not broken(tmp_path, chosen)


# The judge, by records that break one rule each.

CHECKED = cell(Message.HOST_RELEASE, Connections.OWN, Company.BESIDE, Fate.RESET, 0.05)


def records_of(request: Request, session: Session | None = None) -> Records:
    sessions = {session.name: session} if session is not None else {}
    return Records(requests={request.name: request}, sessions=sessions, fault_began=10.0, struck=request.name)


def test_the_judge_passes_a_session_released_in_time_and_a_refused_request() -> None:
    request = Request("a", 1.0, 2.5, [(1.1, "answer")], [10.9])
    assert not judge.broken(CHECKED, records_of(request, Session("a", 1.0, 10.0, 10.0)))
    assert not judge.broken(CHECKED, records_of(Request("a", 1.0, 2.5, [(2.5, "release")])))


@pytest.mark.parametrize(
    ("request_", "session", "said"),
    [
        (Request("a", 1.0, 2.5), None, "no answer"),
        (Request("a", 1.0, 2.5, [(3.2, "release")]), None, "after its deadline"),
        (Request("a", 1.0, 2.5, [(1.1, "answer"), (1.2, "answer")]), None, "2 answers"),
        (Request("a", 1.0, 2.5, [(1.1, "answer")]), Session("a", 1.0, 10.0, 10.0), "left standing"),
        (Request("a", 1.0, 2.5, [(1.1, "answer")], [11.2]), Session("a", 1.0, 10.0, 10.0), "released late"),
        (Request("a", 1.0, 2.5, [(2.5, "release")]), Session("a", 1.0), "its viewer was refused"),
        (Request("a", 1.0, 2.5, [(1.1, "answer")], ended_by_viewer=5.0), Session("a", 1.0), "has ended it"),
    ],
)
def test_the_judge_finds_a_broken_rule(request_: Request, session: Session | None, said: str) -> None:
    (line,) = judge.broken(CHECKED, records_of(request_, session))
    assert said in line


def test_each_allowance_of_the_judge_names_a_cell_of_the_matrix_that_needs_it() -> None:
    by_name = {each.name: each for each in cells.cells()}
    for allowance in judge.ALLOWANCES:
        assert allowance.sentence
        assert allowance.applies(by_name[allowance.seen_in], Records(passes_again=1.0))


def test_the_sample_is_the_same_each_time_and_every_exclusion_excludes_something() -> None:
    assert cells.sample(3, 20) == cells.sample(3, 20) != cells.sample(4, 20)
    reasons = {cells.impossible(each) for each in cells.all_combinations()}
    assert reasons == {"", *(reason for _, reason in cells.EXCLUSIONS)}
