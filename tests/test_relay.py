"""The relay between processes: what each state of a link does to what passes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from town import until

from burlmast.standin.relay import CUT, DEAF, MUTE, SILENT, WELL, Link, State


class Echo(asyncio.Protocol):
    """Says back what it hears, and remembers it."""

    heard = b""
    lost = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        Echo.lost += 1

    def data_received(self, data: bytes) -> None:
        Echo.heard += data
        self.transport.write(data)  # type: ignore[attr-defined]


class Near(asyncio.Protocol):
    """The dialling side."""

    def __init__(self) -> None:
        self.heard, self.lost = b"", False

    def data_received(self, data: bytes) -> None:
        self.heard += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


def linked(play: Callable[[Link, Near, asyncio.Transport], Awaitable[None]]) -> None:
    async def run() -> None:
        Echo.heard, Echo.lost = b"", 0
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Echo, "127.0.0.1", 0)
        link = Link(("127.0.0.1", server.sockets[0].getsockname()[1]))
        port = await link.start()
        transport, near = await loop.create_connection(Near, "127.0.0.1", port)
        try:
            transport.write(b"a")
            await until(lambda: near.heard == b"a")
            await play(link, near, transport)
        finally:
            transport.close()
            link.close()
            server.close()

    asyncio.run(run())


def test_a_cut_link_ends_its_connections_and_takes_no_other_until_it_heals() -> None:
    async def play(link: Link, near: Near, transport: asyncio.Transport) -> None:
        link.put(CUT)
        await until(lambda: near.lost)
        _, second = await link.loop.create_connection(Near, "127.0.0.1", link.port)
        await until(lambda: second.lost)
        link.put(WELL)
        again, third = await link.loop.create_connection(Near, "127.0.0.1", link.port)
        again.write(b"b")
        await until(lambda: third.heard == b"b")
        link.reset()
        await until(lambda: third.lost)
        assert Echo.heard == b"ab"

    linked(play)


@pytest.mark.parametrize(("state", "reached"), [(SILENT, False), (MUTE, False), (DEAF, True)])
def test_what_a_silent_link_holds_back_comes_in_order_when_it_heals(state: State, reached: bool) -> None:
    async def play(link: Link, near: Near, transport: asyncio.Transport) -> None:
        link.put(state)
        for part in (b"b", b"c", b"d"):
            transport.write(part)
        held = [half for half in link.halves if half.upwards is not reached]
        await until(lambda: any(half._held for half in held) or (reached and Echo.heard == b"abcd"))
        assert near.heard == b"a" and not near.lost
        assert (Echo.heard == b"a") is not reached or Echo.heard == b"abcd"
        link.put(WELL)
        await until(lambda: near.heard == b"abcd")

    linked(play)


def test_a_close_behind_what_a_silent_link_holds_back_comes_when_it_heals() -> None:
    async def play(link: Link, near: Near, transport: asyncio.Transport) -> None:
        link.put(SILENT)
        transport.write(b"b")
        transport.close()
        await asyncio.sleep(0.05)
        assert (Echo.heard, Echo.lost) == (b"a", 0)
        link.put(WELL)
        await until(lambda: Echo.heard == b"ab" and Echo.lost == 1)

    linked(play)


def test_a_late_link_delivers_late_and_in_order() -> None:
    async def play(link: Link, near: Near, transport: asyncio.Transport) -> None:
        link.put(State(delay_s=0.1))
        began = time.monotonic()
        transport.write(b"b")
        await until(lambda: Echo.heard == b"ab")
        link.put(WELL)
        transport.write(b"c")
        await until(lambda: near.heard == b"abc")
        assert time.monotonic() - began >= 0.1

    linked(play)


def test_a_narrow_link_takes_its_time() -> None:
    async def play(link: Link, near: Near, transport: asyncio.Transport) -> None:
        link.put(State(bytes_s=100_000.0))
        began = time.monotonic()
        transport.write(bytes(10_000))
        await until(lambda: len(near.heard) == 10_001)
        assert time.monotonic() - began >= 0.1

    linked(play)


@pytest.mark.parametrize("state", [SILENT, MUTE, DEAF])
def test_no_connection_reaches_the_target_through_a_silent_link_until_it_heals(state: State) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        reached: list[Echo] = []

        def come() -> Echo:
            reached.append(Echo())
            return reached[-1]

        server = await loop.create_server(come, "127.0.0.1", 0)
        link = Link(("127.0.0.1", server.sockets[0].getsockname()[1]))
        await link.start()
        link.put(state)
        _, lost = await loop.create_connection(Near, "127.0.0.1", link.port)
        await until(lambda: link.halves)
        link.reset()  # who is reset before it healed never reaches the target
        await until(lambda: lost.lost)
        _, near = await loop.create_connection(Near, "127.0.0.1", link.port)
        await until(lambda: len(link.halves) == 1)
        await asyncio.sleep(0.05)
        assert not reached
        link.put(WELL)
        await until(lambda: reached)
        assert len(reached) == 1 and not near.lost
        link.close()
        server.close()

    asyncio.run(work())
