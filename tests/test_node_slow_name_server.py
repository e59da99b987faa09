"""A name server that answers everything, late, out of order or in part: each answer counts."""

from __future__ import annotations

import asyncio
import time
import zlib
from pathlib import Path
from typing import Any

import pytest
from platform_standin import EXTRAS, SDP, NameServer, Platform, name_server, reply, run, until

from burlmast.node import frames
from burlmast.node.lines import Line as Message
from burlmast.node.query_schedule import QUERY_INTERVAL, SOCKETS_MOST

INTERVAL = QUERY_INTERVAL / 1e9  # seconds
SLACK = 0.5  # seconds, for a busy machine


async def change(one: Platform, server: NameServer, within: float) -> float:
    """Take a host out of the list; how long the gateway took to know, in seconds."""
    began = time.monotonic()
    name = next(iter(server.rows))
    server.serial += 1
    del server.rows[name]
    await until(lambda: name not in one.program.roster.entries, within)
    return time.monotonic() - began


@pytest.mark.parametrize("delay", [0.3, 0.9, 1.1, 2.9, 3.9, 4.1, 10.0])
def test_changes_are_known_by_the_first_answers_that_hold_them(tmp_path: Path, delay: float) -> None:
    # Guards against review/2: answers were sent to sockets that had been replaced, and were lost.
    async def work(one: Platform) -> None:
        await until(lambda: one.names.asked > 4)
        one.names.delay = lambda number: delay
        await change(one, one.names, INTERVAL + delay + SLACK)  # as it becomes slow
        await change(one, one.names, INTERVAL + delay + SLACK)  # once all answers are slow
        assert len(one.program.resolver.sockets) <= SOCKETS_MOST

    run(work, tmp_path)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_of_the_answers_lost_and_the_others_late_and_out_of_order(tmp_path: Path, seed: int) -> None:
    # Guards against an answer that is lost since another one has overtaken it or a new socket was opened.
    longest = 3.9

    def delay(number: int) -> float | None:
        draw = zlib.crc32(f"{seed}:{number}".encode())
        return None if draw & 1 else 0.3 + (longest - 0.3) * (draw >> 1) / (1 << 31)

    async def work(one: Platform) -> None:
        troubles: list[str] = []
        one.program.resolver.trouble = troubles.append
        await until(lambda: one.names.asked > 4)
        one.names.delay = delay
        for _ in range(3):
            # No more than six in a row are lost by these draws.
            await change(one, one.names, 7 * INTERVAL + longest + SLACK)
        assert troubles == [], "an answer that was overtaken is no trouble"
        assert len(one.program.resolver.sockets) <= SOCKETS_MOST

    run(work, tmp_path)


def test_a_new_name_server_that_is_slow_is_heard_after_sighup(tmp_path: Path) -> None:
    # Guards against answers of the new name server that go to a socket which was replaced meanwhile.
    async def work(one: Platform) -> None:
        await until(lambda: one.names.asked > 4)
        one.names.delay = lambda number: 2.9
        new, address = await name_server(2)
        new.rows = dict(list(one.names.rows.items())[1:])
        new.delay = lambda number: 2.9
        one.write(address[1])
        one.program.read_again()
        await until(lambda: one.program.roster.serial == 2, 2.9 + SLACK)
        assert set(one.program.roster.entries) == set(new.rows)
        new.transport.close()

    run(work, tmp_path)


def test_sockets_are_closed_once_their_answers_are_too_late(tmp_path: Path) -> None:
    # Guards against sockets that pile up while a name server is silent, and after it is back.
    async def work(one: Platform) -> None:
        await until(lambda: one.names.asked > 4)
        one.names.spoil = lambda raw: None
        seen = 0
        end = time.monotonic() + 9
        while time.monotonic() < end:
            seen = max(seen, len(one.program.resolver.sockets))
            await asyncio.sleep(0.05)
        assert 2 <= seen <= SOCKETS_MOST
        one.names.spoil = lambda raw: raw
        await change(one, one.names, INTERVAL + SLACK)
        await until(lambda: len(one.program.resolver.sockets) == 1, 14.0)

    run(work, tmp_path)


@pytest.mark.parametrize("answers", [1, 5])
def test_what_the_name_server_has_written_is_read_before_a_set_up_is_sent(
    tmp_path: Path, answers: int
) -> None:
    # Guards against review/5: after a standstill set-ups went to hosts whose drain lay unread in the socket.
    async def work(one: Platform) -> None:
        extras = EXTRAS.replace("copies:4", "copies:1")  # the first host alone holds it
        line = await one.line()
        line.set_up(extras=extras)
        assert (await line.hear())["type"] == "answer" and one.host_of() is one.hosts[0]
        queries: list[tuple[bytes, Any]] = []
        one.names.datagram_received = lambda data, addr: queries.append((data, addr))  # type: ignore[method-assign]
        await until(lambda: len(queries) >= answers)
        # From here on nothing is awaited: all of it is there when the loop goes on.
        rows = dict(one.names.rows)
        for place, (data, addr) in enumerate(queries[-answers:]):
            if place == answers - 1:
                rows[one.hosts[0].name] = one.hosts[0].port, 1
            one.names.transport.sendto(reply(data, 2 + place, rows), addr)
        viewer = next(iter(one.program.listener.viewers))
        fields = {"class": "paid", "left": "1500", "key": "7f3a9c21e0b4d655", "extras": extras}
        one.program.listener.received(viewer, Message("setup", "00000000000000aa", fields, sdp=SDP))
        await until(lambda: one.program.roster.serial == 1 + answers)
        await until(lambda: "00000000000000aa" not in one.program.listener.known)
        assert len(one.hosts[0].of(frames.SETUP)) == 1, "the drain had been told"

    run(work, tmp_path)
