"""Clients that write slowly, stop half way or send heads of many short fields, hundreds at a time."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter

import pytest
from overload_trial import MEMORY_MB
from slow_clients_trial import play
from test_edge_loopback import garbage

from burlmast.http1.server import Bounds, Server

ANSWERED_WITHIN = 3.0  # seconds


@pytest.mark.parametrize("script", ["node-half", "node-fields", "node-bytes"])
def test_slow_writers_at_the_gateway_cost_bounded_memory_and_delay_nobody(script: str) -> None:
    result = play(script, 300, 5.0)
    assert not result.crashed and max(result.memory_mb) < MEMORY_MB, result
    assert result.answered == result.asked and result.worst_wait < ANSWERED_WITHIN, result


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
