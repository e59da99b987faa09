"""Requests that lie in a socket while the process stands still: their time counts from when they came."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from platform_standin import ID, SETTINGS, Line, Platform, asked, playing, run, until

from burlmast.node.arrival import MS, READ_AFTER_GAP, TICK, Arrival, LoopGaps
from burlmast.node.viewer_connection import BUFFER

SECOND = 1000 * MS
STANDSTILL = 0.9  # seconds
LEFT = 1.0  # seconds that viewers wait
OTHER = "00000000000000aa"


def gap(since: int, until: int) -> LoopGaps:
    """A process that found no time in between."""
    gaps = LoopGaps(since)
    gaps.tick(until)
    return gaps


def test_what_is_read_by_a_process_that_finds_time_has_come_now() -> None:
    gaps, arrival = LoopGaps(0), Arrival()
    for now in range(TICK, 5 * SECOND, TICK):
        arrival.read(now, gaps, emptied=True)
        assert arrival.waited(now) == 0 and not arrival.uncertain and gaps.waiting_since(now) == now


def test_what_is_read_after_a_gap_may_have_come_since_the_socket_was_empty() -> None:
    """Guards against a deadline that counts from the reading (review/8)."""
    arrival, gaps = Arrival(), LoopGaps(0)
    arrival.read(100 * MS, gaps, emptied=True)
    arrival.read(2 * SECOND, gaps, emptied=False)
    assert arrival.earliest == 100 * MS and arrival.uncertain
    arrival.read(2 * SECOND + READ_AFTER_GAP - MS, gaps, emptied=True)
    assert arrival.earliest == 100 * MS, "the rest of what lay there then"
    arrival.read(2 * SECOND + READ_AFTER_GAP, gaps, emptied=True)
    assert arrival.waited(2 * SECOND + READ_AFTER_GAP) == 0


def test_a_reading_that_fills_the_buffer_takes_no_time_from_what_comes_later() -> None:
    """Guards against a request that is refused as late since the one before it was as long as the buffer."""
    gaps, arrival = LoopGaps(0), Arrival()
    for now in range(TICK, 5 * SECOND, TICK):
        arrival.read(now, gaps, emptied=False)
        assert arrival.waited(now) == 0


def test_a_connection_that_was_read_since_the_gap_is_up_to_date() -> None:
    gaps, arrival = gap(0, SECOND), Arrival()
    arrival.read(SECOND, gaps, emptied=True)
    assert arrival.earliest == 0
    arrival.read(SECOND + MS, gaps, emptied=True)
    assert arrival.earliest == SECOND + MS


def test_what_the_socket_tells_of_its_last_bytes_is_believed_within_the_gap() -> None:
    gaps, arrival = gap(0, SECOND), Arrival()
    arrival.read(SECOND, gaps, emptied=True)
    arrival.came_at(SECOND - 200 * MS)
    assert arrival.waited(SECOND) == 200 * MS
    arrival.came_at(-SECOND)
    assert arrival.waited(SECOND) == 200 * MS, "no earlier than it can be"


def silent(one: Platform) -> None:
    for host in one.hosts:
        host.does = lambda message: b""


async def answered(line: Line, since: float, number: int) -> list[float]:
    """The seconds from then to each answer."""
    times = []
    for _ in range(number):
        assert (await line.hear())["type"] == "release"
        times.append(time.monotonic() - since)
    return times


@pytest.mark.parametrize("number", [1, 4])
def test_requests_that_come_in_a_standstill_are_answered_in_their_time(tmp_path: Path, number: int) -> None:
    """Guards against answers after the viewers have stopped waiting (review/8)."""

    async def work(one: Platform) -> None:
        line, _ = await playing(one, OTHER)
        silent(one)
        since = time.monotonic()
        line.raw(b"".join(asked(f"{name + 1:016x}") for name in range(number)))
        time.sleep(STANDSTILL)  # the gateway is in this process
        assert max(await answered(line, since, number)) < LEFT + 0.1

    run(work, tmp_path)


def test_a_request_that_comes_at_the_end_of_a_standstill_keeps_its_time(tmp_path: Path) -> None:
    """Guards against a viewer that is refused since another process could have sent its request earlier."""

    async def work(one: Platform) -> None:
        line, _ = await playing(one, OTHER)
        time.sleep(STANDSTILL)
        line.raw(asked(ID))
        await until(lambda: ID in one.program.listener.known)
        playback = one.program.listener.known[ID]
        assert playback.abandon - one.program.now() > (LEFT - 0.3) * SECOND
        assert (await line.hear())["type"] == "answer"

    run(work, tmp_path)


def test_a_request_behind_one_that_fills_the_buffer_has_its_time(tmp_path: Path) -> None:
    """Guards against the same, on sockets."""

    async def work(one: Platform) -> None:
        line = await one.line()
        short = asked(OTHER)
        line.raw(short.replace(b"m=audio", b"a" * (len(BUFFER) - len(short)) + b"m=audio"))
        assert (await line.hear())["id"] == OTHER
        since = time.monotonic()
        await until(lambda: time.monotonic() - since > 0.4)
        line.raw(asked(ID).replace(b'"1000"', b'"300"'))
        assert (await line.hear())["type"] == "answer"

    run(work, tmp_path)


def test_a_request_whose_time_is_over_when_it_is_read_is_refused_at_once(tmp_path: Path) -> None:
    """Guards against a set-up for a viewer that has stopped waiting."""

    async def work(one: Platform) -> None:
        line, host = await playing(one, OTHER)
        before = len(host.carried)
        line.raw(asked(ID).replace(b'"1000"', b'"300"'))
        time.sleep(STANDSTILL)
        told = await line.hear()
        assert (told["id"], told["type"], told["cause"]) == (ID, "release", 34)
        assert sum(len(each.carried) for each in one.hosts) == before == 1

    run(work, tmp_path, 1, settings=SETTINGS)
