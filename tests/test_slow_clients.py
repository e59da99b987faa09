"""Clients that write slowly, stop half way or send heads of many short fields, hundreds at a time."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections import Counter

import pytest
from overload_trial import MEMORY_MB
from slow_clients_trial import play
from test_edge_loopback import garbage

from burlmast.http1.server import BodyBudget, Bounds, Exchange, Server

COORDINATOR_MB = 128
ANSWERED_WITHIN = 3.0  # seconds


@pytest.mark.parametrize("script", ["node-half", "node-fields", "node-bytes"])
def test_slow_writers_at_the_gateway_cost_bounded_memory_and_delay_nobody(script: str) -> None:
    result = play(script, 300, 5.0)
    assert not result.crashed and max(result.memory_mb) < MEMORY_MB, result
    assert result.answered == result.asked and result.worst_wait < ANSWERED_WITHIN, result


@pytest.mark.parametrize("script", ["coordinator-body", "coordinator-unknown"])
def test_unfinished_bodies_at_a_coordinator_cost_bounded_memory(script: str) -> None:
    # Guards against bodies of up to 8 MiB that are held for each of hundreds of connections.
    result = play(script, 100, 6.0)
    assert not result.crashed and max(result.memory_mb) < COORDINATOR_MB, result
    assert result.answered == result.asked and result.worst_wait < ANSWERED_WITHIN, result


def test_a_budget_of_bodies_is_given_back_and_leaves_each_connection_its_free_part() -> None:
    # Guards against a budget that is used up for good, or that shuts out small requests.
    async def work() -> None:
        statuses: list[int] = []

        def application(exchange: Exchange) -> None:
            exchange.collect(100_000, lambda body: exchange.respond(200))

        bounds = Bounds(body=100_000, body_free=5_000, body_s=0.5)
        server = Server(application, bounds, BodyBudget(50_000))
        port = await server.listen("127.0.0.1", 0)

        async def post(size: int, whole: bool) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            sent = size if whole else size // 2
            writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size + b"x" * sent)
            with contextlib.suppress(ConnectionError):
                statuses.append(int((await reader.readline()).split()[1]))
            writer.close()

        slow = asyncio.ensure_future(post(90_000, whole=False))
        await asyncio.sleep(0.1)
        await post(40_000, whole=True)
        await post(900, whole=True)
        await slow
        await asyncio.sleep(0.1)
        await post(40_000, whole=True)
        assert statuses == [503, 200, 408, 200]
        server.close()

    asyncio.run(work())


REFUSED = {
    "many fields": b"POST / HTTP/1.1\r\nhost: a\r\n" + b"".join(b"%x:1\r\n" % place for place in range(900)),
    "no HTTP": b"\x00\x01\r\n\r\n",
    "an unknown method": b"FOO / HTTP/1.1\r\n\r\n",
    "a body too long": b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999\r\n\r\n" + b"x" * 60_000,
    "nothing wrong": b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
}


@pytest.mark.parametrize("data", REFUSED.values(), ids=REFUSED)
def test_a_connection_that_is_over_leaves_no_circles(data: bytes) -> None:
    # Guards against connections that only the collector frees, which in `burlmast edge` hardly ever looks.
    async def work() -> None:
        server = Server(lambda exchange: exchange.refuse(404, "none"), Bounds())
        port = await server.listen("127.0.0.1", 0)

        async def come_and_go() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            assert await reader.read(4096)
            writer.transport.abort()
            await asyncio.sleep(0.05)

        await come_and_go()  # whatever is made once
        gc.collect()
        gc.disable()
        for _ in range(3):
            await come_and_go()
        kinds = Counter(type(thing).__name__ for thing in garbage())
        gc.enable()
        server.close()
        assert kinds["Connection"] == kinds["HttpRequestParser"] == kinds["frame"] == 0, kinds

    asyncio.run(work())
