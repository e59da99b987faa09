"""A viewer receives the end of its session whatever happens to the connections it could come on.

Gateways run as processes; connections are cut by a relay; hosts and viewers follow the protocol: a host
repeats a release on the next connection that is opened, a viewer acknowledges one with `released`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from platform_standin import (
    EXTRAS,
    SETTINGS,
    Host,
    Line,
    Node,
    Platform,
    answer,
    nodes,
    platform,
    release,
    until,
)  # fmt: skip

from burlmast.node import frames
from burlmast.node.frames import Frame
from burlmast.standin.relay import SILENT, Link

FIRST, SECOND, THIRD = (f"{number:016x}" for number in (0xA1, 0xA2, 0xA3))
WITHIN = 1.05  # seconds from the host's release to the viewer's: the protocol's limit and its slack


class Scene:
    """One gateway process and what surrounds it."""

    def __init__(self, one: Platform, node: Node, port: int) -> None:
        self.platform, self.node, self.port = one, node, port
        self.host: Host = one.hosts[0]

    async def viewer(self, port: int = 0) -> Line:
        line = Line(*await asyncio.open_connection("127.0.0.1", port or self.port))
        self.platform.lines.append(line)
        return line

    async def establish(self, line: Line, name: str) -> None:
        line.set_up(name)
        message = await line.hear()
        assert (message["type"], message["id"]) == ("answer", name)

    async def relay(self) -> Link:
        link = Link(("127.0.0.1", self.port))
        await link.start()
        return link


@asynccontextmanager
async def scene(folder: Path, **changes: Any) -> AsyncIterator[Scene]:
    async with platform(folder, 1, **changes) as one:
        one.program.close()  # the process alone speaks to the host
        async with nodes(one) as (node,):
            yield Scene(one, node, await node.port())


def play(folder: Path, work: Callable[[Scene], Coroutine[Any, Any, None]], **changes: Any) -> None:
    async def whole() -> None:
        async with scene(folder, **changes) as here:
            await work(here)
            assert here.node.process.poll() is None, here.node.said

    asyncio.run(whole())


# Connections from viewers.


def test_end_reaches_viewer_when_its_connection_is_cut_and_stays_open(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        link = await here.relay()
        cut, other = await here.viewer(link.port), await here.viewer()
        await here.establish(cut, FIRST)
        await here.establish(other, SECOND)
        link.put(SILENT)
        here.host.end(FIRST)
        await other.hear_end(FIRST, WITHIN)
        link.close()

    play(tmp_path, work)


def test_end_reaches_viewer_when_its_connection_is_reset_after_the_end_was_written(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        link = await here.relay()
        cut, other = await here.viewer(link.port), await here.viewer()
        await here.establish(cut, FIRST)
        await here.establish(other, SECOND)
        link.put(SILENT)
        passed = link.passed[1]
        here.host.end(FIRST)
        await until(lambda: link.passed[1] > passed)
        await asyncio.sleep(0.1)  # longer than two messages that merely cross take
        link.reset()
        await other.hear_end(FIRST, WITHIN)
        link.close()

    play(tmp_path, work)


def test_end_goes_to_a_connection_of_established_sessions_not_to_a_bad_client(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own, other = await here.viewer(), await here.viewer()
        await here.establish(own, FIRST)
        await here.establish(other, SECOND)
        here.host.does = lambda message: release(message.session, 47)
        bad = await here.viewer()
        for number in range(20):
            bad.set_up(f"{number + 0xB00:016x}", key=f"{number:x}")
            assert (await bad.hear())["type"] == "release"
        own.writer.close()
        await until(lambda: "viewer_connection_closed" in here.node.said)
        here.host.end(FIRST)
        await other.hear_end(FIRST, WITHIN)

    plan = {**SETTINGS["requestClasses"][0], "hardLimitMs": 1500.0}
    play(tmp_path, work, settings={**SETTINGS, "requestClasses": [plan]})


def test_end_without_a_connection_is_not_used_up_by_a_health_check(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own = await here.viewer()
        await here.establish(own, FIRST)
        own.writer.close()
        await until(lambda: "viewer_connection_closed" in here.node.said)
        here.host.end(FIRST)
        await until(lambda: "end_without_connection" in here.node.said)
        probe = await here.viewer()
        probe.say("ping", "00")
        while (await probe.hear())["type"] != "pong":
            pass
        await asyncio.sleep(0.1)  # longer than two messages that merely cross take
        probe.writer.close()
        back = await here.viewer()
        back.say("ping", "00")
        await back.hear_end(FIRST, WITHIN)

    play(tmp_path, work)


def test_no_end_without_a_connection_is_dropped_however_many_wait(tmp_path: Path) -> None:
    names = [f"{number + 0xC00:016x}" for number in range(60)]

    async def work(here: Scene) -> None:
        own = await here.viewer()
        for place, name in enumerate(names):
            own.set_up(name, key=f"{place:x}")
            assert (await own.hear())["type"] == "answer"
        own.writer.close()
        await until(lambda: "viewer_connection_closed" in here.node.said)
        for name in names:
            here.host.end(name)
        await until(lambda: "end_without_connection" in here.node.said)
        back = await here.viewer()
        received = set()
        while len(received) < len(names):
            message = await back.hear()
            back.say("released", message["id"])
            received.add(message["id"])
        assert received == set(names)

    info = {**SETTINGS["familyInfo"], "kbPerWeight": 8e6, "rackKb": 8e6, "kindStreams": [30000]}
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 64}
    play(tmp_path, work, settings={**SETTINGS, "familyInfo": info}, limits=limits)


# Connections to hosts.


async def hang(here: Scene, held: Line, name: str) -> asyncio.StreamWriter:
    """A set-up that the host does not answer, on the connection that an established session came on."""
    here.host.does = lambda message: b""
    carried = len(here.host.carried)
    held.set_up(name, left="1400")
    await until(lambda: len(here.host.carried) > carried)
    return here.host.carried[carried][1]


async def beside_a_hung_set_up(here: Scene) -> tuple[Line, asyncio.StreamWriter]:
    """A viewer whose session was established on the connection that now carries a set-up without an answer,
    and that connection at the host; another one is open."""
    own, other = await here.viewer(), await here.viewer()
    await here.establish(own, FIRST)
    writer = await hang(here, own, THIRD)
    assert writer is here.host.carried[0][1]
    here.host.does = answer
    await here.establish(other, SECOND)
    return own, writer


def test_end_that_a_hung_host_writes_on_a_connection_the_gateway_retired_arrives(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own, writer = await beside_a_hung_set_up(here)
        writer.transport.pause_reading()
        here.host.does = lambda message: b""
        while (await own.hear())["id"] != THIRD:
            pass
        here.host.end(FIRST)
        await own.hear_end(FIRST, WITHIN)

    play(tmp_path, work)


def test_end_behind_a_message_that_stays_unfinished_arrives(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own, writer = await beside_a_hung_set_up(here)
        whole = answer(Frame(frames.SETUP, int(THIRD, 16), {}))
        writer.write(whole[: len(whole) // 2])
        here.host.end(FIRST)
        await own.hear_end(FIRST, WITHIN)

    play(tmp_path, work, settings=ONE_ATTEMPT)


def test_end_on_a_connection_that_carried_an_earlier_attempt_is_believed(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own = await here.viewer()
        refused: list[Frame] = []

        def refuse_once(message: Frame) -> bytes:
            refused.append(message)
            return release(message.session, 34) if len(refused) == 1 else answer(message)

        here.host.does = refuse_once
        await here.establish(own, FIRST)
        earlier = here.host.carried[0][1]
        assert earlier is not here.host.carried[1][1]
        earlier.write(release(int(FIRST, 16), 16))  # the host has lost the other one
        await own.hear_end(FIRST, WITHIN)

    play(tmp_path, work)


ONE_ATTEMPT = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "maxAttempts": 1}}


@pytest.mark.parametrize("how", ["reset", "close"])
def test_end_written_just_before_the_host_ends_the_connection_arrives(tmp_path: Path, how: str) -> None:
    async def work(here: Scene) -> None:
        own = await here.viewer()
        await here.establish(own, FIRST)
        writer = here.host.end(FIRST)
        if how == "reset":
            raw: socket.socket = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        writer.close()
        await own.hear_end(FIRST, WITHIN)

    play(tmp_path, work)


def test_end_that_was_read_before_its_session_was_handed_over_reaches_the_viewer(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own = await here.viewer()
        await here.establish(own, FIRST)
        (writer,) = here.host.links
        writer.write(release(int(SECOND, 16), 16))
        await asyncio.sleep(0.1)  # it is read before the viewer asks
        own.set_up(SECOND, extras=f"{EXTRAS};at:{here.host.name}")
        await own.hear_end(SECOND, WITHIN)

    play(tmp_path, work)


def test_end_that_overtook_the_answer_on_another_connection_reaches_the_viewer(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own, other = await here.viewer(), await here.viewer()
        await here.establish(own, FIRST)
        writer = await hang(here, own, THIRD)
        here.host.does = answer
        await here.establish(other, SECOND)
        elsewhere = here.host.carried[-1][1]
        assert elsewhere is not writer
        elsewhere.write(release(int(THIRD, 16), 16))
        await asyncio.sleep(0.1)
        writer.write(answer(Frame(frames.SETUP, int(THIRD, 16), {})))
        while (message := await own.hear())["id"] != THIRD:
            pass
        assert message["type"] == "answer"
        await own.hear_end(THIRD, 8.05)

    play(tmp_path, work, settings=ONE_ATTEMPT)


@pytest.mark.parametrize("connect_ms", [250.0, 1000.0])
def test_session_whose_release_is_lost_with_its_connection_is_ended_in_time(
    tmp_path: Path, connect_ms: float
) -> None:
    async def work(here: Scene) -> None:
        own = await here.viewer()
        await here.establish(own, FIRST)
        here.host.links[0].transport.abort()  # the release was lost there, and is not repeated
        await own.hear_end(FIRST, 8.05)

    allowed = {**SETTINGS["allowed"], "connectTimeoutMs": connect_ms}
    play(tmp_path, work, settings={**SETTINGS, "allowed": allowed})


def test_end_that_is_acknowledged_is_sent_once(tmp_path: Path) -> None:
    async def work(here: Scene) -> None:
        own, other = await here.viewer(), await here.viewer()
        await here.establish(own, FIRST)
        await here.establish(other, SECOND)
        here.host.end(FIRST)
        await own.hear_end(FIRST, WITHIN)
        await asyncio.sleep(1.0)  # an end that was not acknowledged is sent again by then
        for line in (own, other):
            line.say("ping", "00")
            assert (await line.hear())["type"] == "pong"

    play(tmp_path, work)
