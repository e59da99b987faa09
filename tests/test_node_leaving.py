"""Clients that leave with much unread, and come again under an id that has been used."""

from __future__ import annotations

from pathlib import Path

import pytest
from leaving_clients_trial import play
from platform_standin import ID, Platform, release, run, set_ups, until

from burlmast.node.lines import NONSENSE, REFUSED
from burlmast.node.recent_ids import KEPT_FOR, MOST, RecentIds


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_nothing_is_sent_on_once_a_client_has_left_and_no_id_runs_again(how: str) -> None:
    # Guards against requests that are read and sent on after their client has closed, and ids that run twice.
    left = play(how, again=False, rounds=3, requests=150)
    assert left.late == 0 and left.left_standing == 0, left
    left = play(how, again=True, rounds=3, requests=150)
    assert left.ran_again == 0 and left.ran_twice == 0, left


def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_again(tmp_path: Path) -> None:
    # Guards against a second run under an id whose first one may have begun at a host.
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda message: b""  # it works on it and does not answer
        first = await one.line()
        first.set_up()
        await until(lambda: set_ups(one))
        first.writer.close()
        await until(lambda: not one.program.listener.known)
        second = await one.line()
        second.set_up()
        told = await second.hear()
        assert (told["type"], told["cause"]) == ("release", NONSENSE)
        assert len(set_ups(one)) == 1 and not one.program.listener.known

    run(work, tmp_path)


def test_an_id_that_never_ran_may_come_again(tmp_path: Path) -> None:
    # Guards against a refusal of what every host has refused: asking again was said to be harmless.
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda message: release(message.session, REFUSED)
        line = await one.line()
        for _ in range(2):
            line.set_up()
            told = await line.hear()
            assert (told["id"], told["cause"]) == (ID, REFUSED)

    run(work, tmp_path)


def test_recent_ids_are_forgotten_by_age_and_number() -> None:
    recent = RecentIds()
    recent.add("a", 0)
    assert recent.used("a", KEPT_FOR) and not recent.used("a", KEPT_FOR + 1) and not recent.used("b", 0)
    for number in range(2 * MOST):
        recent.add(f"{number}", 1)
    assert len(recent) == MOST and not recent.used("a", 1) and recent.used(f"{2 * MOST - 1}", 1)
    recent.add("last", 2 * KEPT_FOR)
    assert len(recent) == 1
