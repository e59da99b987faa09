"""What a set-up meets between its decision and its write, while it waits for a connection that comes up late.

The dial is held by a gate, so that each event comes in the order that the test wants; no sleep decides one.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest
from platform_standin import (
    EXTRAS,
    ID,
    SETTINGS,
    Gate,
    Host,
    Line,
    Platform,
    answer,
    release,
    run,
    set_ups,
    until,
)  # fmt: skip
from test_node_crossings import known

from burlmast.node import frames

SESSION = int(ID, 16)
# Time enough for every order, and a first attempt that is not given up before its connection comes up.
PLAN = {**SETTINGS["requestClasses"][0], "goalTimeMs": 30_000.0, "hardLimitMs": 3000.0}
PATIENT = {
    **SETTINGS,
    "allowed": {**SETTINGS["allowed"], "connectTimeoutMs": 3000.0},
    "requestClasses": [PLAN],
}


def tell_start(one: Platform, host: Host, at: float) -> None:
    """The name server tells from now on that the host has started at this Unix time."""
    one.names.starts[host.name] = at * 1000
    one.names.serial += 1


async def told_start(one: Platform, host: Host, at: float) -> None:
    """The same, and the gateway knows it."""
    tell_start(one, host, at)
    await until(lambda: one.program.roster.serial == one.names.serial)


async def waiting_at(one: Platform, line: Line, gates: list[Gate]) -> tuple[Host, Host, Gate]:
    """Ask once; the host that is dialled, the other one, and the gate that holds the dial."""
    line.set_up(left="2900")
    await until(lambda: any(gate.held for gate in gates))
    (held,) = [gate for gate in gates if gate.held]
    first = next(host for host in one.hosts if host.port == held.port)
    return first, next(host for host in one.hosts if host is not first), held


def gated(one: Platform) -> list[Gate]:
    """A gate before each host."""
    return [Gate(host.port) for host in one.hosts]


def silent(_: Any) -> bytes:
    """A host that works on what it gets."""
    return b""


# A host that starts again.


def test_a_set_up_written_to_a_process_that_started_meanwhile_is_not_sent_elsewhere_too(
    tmp_path: Path,
) -> None:
    """Guards against two attempts out, with a start that is told after the set-up was written (review/6)."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        first, other, _ = await waiting_at(one, line, gates)
        first.does = silent
        started = time.time()
        for gate in gates:
            gate.open.set()
        await until(lambda: first.of(frames.SETUP))
        await told_start(one, first, started)
        writer = first.links[0]
        writer.write(answer(first.of(frames.SETUP)[0]))  # the new process has it, and answers
        assert (await line.hear())["type"] == "answer"
        assert not other.of(frames.SETUP) and len(set_ups(one)) == 1
        line.say("release", cause=16)
        await until(lambda: first.of(frames.RELEASE)), "the one session is released where it stands"

    run(work, tmp_path, 2, settings=PATIENT)


def test_a_session_set_up_at_the_new_process_stands_though_its_start_is_told_later(tmp_path: Path) -> None:
    """Guards against a viewer that is told of an end, while its session plays on at the new process."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        first, _, _ = await waiting_at(one, line, gates)
        started = time.time()
        for gate in gates:
            gate.open.set()
        assert (await line.hear())["type"] == "answer"
        await told_start(one, first, started)
        line.say("ping", "00")
        assert (await line.hear())["type"] == "pong", "no end was told"
        assert ID in one.program.listener.known and not first.of(frames.RELEASE)

    run(work, tmp_path, 2, settings=PATIENT)


@pytest.mark.parametrize("answered", [False, True])
def test_what_went_to_a_process_before_its_host_started_again_is_given_up_there_first(
    tmp_path: Path, answered: bool
) -> None:
    """Guards against an attempt that nobody gives up where the new process may have it, as behind a box that
    took the connection before the start and passes the set-up on after it."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        for gate in gates:
            gate.open.set()
        line.set_up(left="2900") if answered else None
        if answered:
            assert (await line.hear())["type"] == "answer"
            first = one.host_of()
        else:
            for host in one.hosts:
                host.does = silent
            line.set_up(left="2900")
            await until(lambda: set_ups(one))
            first = one.host_of()
        other = next(host for host in one.hosts if host is not first)
        other.does = answer
        connection = first.links[0]
        tell_start(one, first, time.time() + 0.001)
        if answered:
            assert (await line.hear())["type"] == "release", "its session went with the process"
        else:
            assert (await line.hear())["type"] == "answer"
            assert len(set_ups(one)) == 2 and other.of(frames.SETUP)
        await until(lambda: first.of(frames.RELEASE))
        assert connection in first.links and len(first.of(frames.RELEASE)) == 1

    run(work, tmp_path, 2, settings=PATIENT)


def test_what_waits_for_a_host_that_starts_again_is_decided_anew_by_what_is_told(tmp_path: Path) -> None:
    """Guards against a set-up that was meant for the warm process and goes to the cold one, or nowhere."""

    async def work(one: Platform) -> None:
        gates, began = gated(one), one.program.now()
        await until(lambda: one.program.now() - began >= 1_500_000_000)  # until both count as warm
        line = await one.line()
        first, other, held = await waiting_at(one, line, gates)
        (other_gate,) = [gate for gate in gates if gate is not held]
        other_gate.open.set()
        tell_start(one, first, time.time())
        assert (await line.hear())["type"] == "answer", "while the first connection is still awaited"
        assert other.of(frames.SETUP) and not first.of(frames.SETUP)
        held.open.set()
        await until(lambda: not known(one, first).connecting)
        line.say("ping", "00")
        await line.hear()
        assert not first.of(frames.SETUP)

    rules = {**SETTINGS["rules"], "warmAfterMs": 1500.0, "coldFrom": 0.0001}  # the pace lets nothing through
    run(work, tmp_path, 2, settings={**PATIENT, "rules": rules})


# A request that ends while its connection is awaited.


@pytest.mark.parametrize("how", ["given up", "closed", "a second set-up of its id"])
def test_nothing_is_written_for_a_request_that_has_ended_as_its_connection_comes_up(
    tmp_path: Path, how: str
) -> None:
    """Guards against a set-up for nobody, which would stand at its host until it ends by itself."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        await waiting_at(one, line, gates)
        if how == "given up":
            line.say("release", cause=16)
        elif how == "closed":
            line.writer.close()
        else:
            line.set_up()
            assert (await line.hear())["type"] == "release"
        await until(lambda: ID not in one.program.listener.known)
        for gate in gates:
            gate.open.set()
        last = await one.line()
        last.set_up("00000000000000aa")  # the one seat of its title is free again
        assert (await last.hear())["type"] == "answer"
        assert not set_ups(one) and not one.program.driver.counts["unsent"]

    family = {**SETTINGS["familyInfo"], "classSeats": [1]}
    run(work, tmp_path, 2, settings={**PATIENT, "familyInfo": family})


def test_what_waits_at_sigterm_is_answered_before_the_kill_and_not_written_after_its_answer(
    tmp_path: Path,
) -> None:
    """Guards against a set-up that goes out when its request has been answered for the coming end."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        await waiting_at(one, line, gates)
        one.program.driver.answer_by(one.program.now(), one.program.now() + 300_000_000)
        one.program.arm()
        (attempt,) = one.program.listener.known[ID].tries
        assert attempt.due <= one.program.now() + 300_000_000, "its host would be told of no more"
        assert (await line.hear())["type"] == "release"
        for gate in gates:
            gate.open.set()
        last = await one.line()
        last.set_up("00000000000000aa")
        assert (await last.hear())["type"] == "answer"
        assert not set_ups(one)

    run(work, tmp_path, 2, settings=PATIENT)


def test_decisions_that_fail_at_a_write_answer_what_is_held_and_others_serve(tmp_path: Path) -> None:
    """Guards against a request that is left without an answer by a defect in the judging of its write."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        await waiting_at(one, line, gates)

        def fall(*_: Any) -> bool:
            raise RuntimeError("a defect")

        one.program.driver.policy.authorize = fall  # type: ignore[attr-defined]
        for gate in gates:
            gate.open.set()
        told = await line.hear()
        assert (told["type"], told["cause"]) == ("release", 34), "nothing of it was written"
        line.set_up("00000000000000aa")
        assert (await line.hear())["type"] == "answer"
        assert not set_ups(one)

    run(work, tmp_path, 2, settings={**PATIENT, "requestClasses": SETTINGS["requestClasses"]})


# Time limits that pass while a connection is awaited.


def test_a_keyed_set_up_whose_time_passes_while_it_waits_is_refused_at_once_and_not_sent(
    tmp_path: Path,
) -> None:
    """Guards against a second run under a key that its group of hosts has forgotten (review/7)."""
    span = 0.6  # seconds for which a key is remembered
    plan = {**PLAN, "semantics": "by_key", "group": "all", "memorySpanMs": span * 1000}

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        first, other, held = await waiting_at(one, line, gates)
        (other_gate,) = [gate for gate in gates if gate is not held]
        first.does = lambda message: release(message.session, 47)  # it may have run
        held.open.set()
        await until(lambda: other_gate.held)  # the second attempt is decided in time, and waits
        since = time.monotonic()
        await until(lambda: time.monotonic() - since > span)
        other_gate.open.set()
        told = await line.hear()
        assert (told["type"], told["cause"]) == ("release", 34), "refused: no longer than its time it may run"
        assert not other.of(frames.SETUP) and len(set_ups(one)) == 1
        assert one.program.driver.counts["writes refused"] == 1
        assert not one.program.driver.held and not one.program.listener.known

    run(work, tmp_path, 2, settings={**PATIENT, "requestClasses": [plan]})


def test_a_seat_that_is_handed_over_while_a_set_up_waits_is_not_taken_twice(tmp_path: Path) -> None:
    """Guards against a title that is set up beyond its seats, each of which was free when it was decided."""

    async def work(one: Platform) -> None:
        line, gates = await one.line(), gated(one)
        _, _, held = await waiting_at(one, line, gates)
        line.set_up("00000000000000aa", extras=f"{EXTRAS};at:{one.hosts[0].name}")
        await until(lambda: "00000000000000aa" in one.program.listener.known)
        for gate in gates:
            gate.open.set()
        assert (await line.hear())["type"] == "release"
        assert held and not set_ups(one)

    family = {**SETTINGS["familyInfo"], "classSeats": [1]}
    run(work, tmp_path, 2, settings={**PATIENT, "familyInfo": family})
