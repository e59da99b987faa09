"""The HTTP/1.1 server and client: bytes split, joined, broken, dripping and unread."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from town import until

from burlmast.http1.client import Failure, Pool, Whole
from burlmast.http1.messages import Lines, Malformed, encode_headers
from burlmast.http1.server import Bounds, Connection, Exchange, Server


class Wire:
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        self.out = b""
        self.closed = self.reading = False
        self.ended = False

    def write(self, data: bytes) -> None:
        assert not self.closed
        self.out += data

    def write_eof(self) -> None:
        self.ended = True

    def abort(self) -> None:
        self.closed = True

    def can_write_eof(self) -> bool:
        return True

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return ("127.0.0.1", 1)

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def connected(application: object, bounds: Bounds | None = None) -> tuple[Connection, Wire]:
    server = Server(application, bounds)  # type: ignore[arg-type]
    connection, wire = Connection(server), Wire()
    connection.connection_made(wire)  # type: ignore[arg-type]
    return connection, wire


def feed(connection: Connection, data: bytes) -> None:
    while data:
        view = connection.get_buffer(-1)
        size = min(len(view), len(data))
        view[:size] = data[:size]
        connection.buffer_updated(size)
        data = data[size:]


def echo(exchange: Exchange) -> None:
    exchange.collect(1000, lambda body: exchange.respond(200, (), exchange.target + b" " + body))


def answers(out: bytes) -> list[tuple[int, bytes]]:
    """Status and body of each response in a row."""
    found = []
    while out:
        head, _, rest = out.partition(b"\r\n\r\n")
        size = int(
            next(line for line in head.split(b"\r\n") if line.startswith(b"content-length")).split()[1]
        )
        found.append((int(head.split()[1]), rest[:size]))
        out = rest[size:]
    return found


bodies = st.one_of(st.none(), st.binary(max_size=60))
asks = st.lists(
    st.tuples(bodies, st.lists(st.binary(min_size=1, max_size=9), max_size=4)), min_size=1, max_size=8
)


@settings(deadline=None, max_examples=150)
@given(asks, st.lists(st.integers(1, 40), min_size=1, max_size=30), st.booleans())
def test_split_and_joined_bytes_give_the_same_answers_in_order(asks: list, cuts: list, later: bool) -> None:
    raw, wanted, held = b"", [], []
    for place, (body, pieces) in enumerate(asks):
        target = b"/%d" % place
        if body is None:
            chunks = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces)
            raw += (
                b"POST %b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" % target
                + chunks
                + b"0\r\n\r\n"
            )
            body = b"".join(pieces)
        else:
            raw += b"POST %b HTTP/1.1\r\nhost: a\r\nContent-Length: %d\r\n\r\n" % (target, len(body)) + body
        wanted.append((200, target + b" " + body))

    def slow(exchange: Exchange) -> None:
        exchange.collect(1000, lambda body: held.append((exchange, body)))

    connection, wire = connected(slow if later else echo, Bounds(buffer=256))
    place = 0
    while raw:
        size = cuts[place % len(cuts)]
        feed(connection, raw[:size])
        raw, place = raw[size:], place + 1
    while held:  # answered late, one by one: the next is handed over only then
        assert len(held) == 1
        exchange, body = held.pop()
        exchange.respond(200, (), exchange.target + b" " + body)
    assert answers(wire.out) == wanted


@settings(deadline=None, max_examples=300)
@given(st.binary(max_size=300), st.integers(1, 50), st.integers(0, 120))
def test_broken_bytes_are_answered_once_or_waited_for(noise: bytes, cut: int, keep: int) -> None:
    whole = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"
    data = whole[:keep] + noise
    connection, wire = connected(echo)
    for place in range(0, len(data), cut):
        feed(connection, data[place : place + cut])
    seen = answers(wire.out)
    assert all(status in (200, 400, 405, 408, 413, 431) for status, _ in seen)
    assert sum(status != 200 for status, _ in seen) <= 1
    assert all(status == 200 for status, _ in seen[:-1]), "an error is the last word on a connection"
    connection.connection_lost(None)


HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
BAD = {
    "both lengths": (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    "two lengths": (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400),
    "two like lengths": (HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400),
    "negative": (HEAD + b"Content-Length: -3\r\n\r\n", 400),
    "not chunked last": (HEAD + b"Transfer-Encoding: chunked, gzip\r\n\r\n", 400),
    "unknown coding": (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 400),
    "bare LF": (b"GET / HTTP/1.1\nHost: a\n\n", 400),
    "bare LF in head": (b"GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", 400),
    "bare LF in chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n", 400),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    "folded": (b"GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "two hosts": (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
    "version": (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400),
    "upgrade": (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    "method": (b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n", 405),
    "long head": (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 9000 + b"\r\n\r\n", 431),
    "many headers": (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 70 + b"\r\n", 431),
    "long target": (b"GET /" + b"y" * 9000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
    "long body": (HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000, 413),
    "long chunked": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + b"x" * 2000, 413),
    "endless extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 60000, 413),
}


@pytest.mark.parametrize("name", BAD)
def test_a_doubtful_request_is_refused_and_its_connection_closed(name: str) -> None:
    raw, status = BAD[name]
    connection, wire = connected(echo)
    feed(connection, raw)
    found = answers(wire.out)
    assert [one for one, _ in found] == [status]
    assert found[0][1].startswith(b'{"error":') and b"connection: close" in wire.out
    assert wire.ended
    feed(connection, b"GET /again HTTP/1.1\r\nHost: a\r\n\r\n")
    assert len(answers(wire.out)) == 1, "nothing behind a doubtful request is read"


def test_a_pipelined_request_behind_a_doubtful_one_does_not_lose_the_one_before() -> None:
    held: list[Exchange] = []
    connection, wire = connected(held.append)
    feed(connection, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\nHost")
    assert not wire.out
    held[0].respond(200, (), b"a")
    assert answers(wire.out) == [(200, b"a")] and wire.ended


def test_a_pipeline_waits_unread_behind_the_request_that_is_answered() -> None:
    held: list[Exchange] = []
    connection, wire = connected(held.append)
    feed(connection, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
    assert len(held) == 1 and not wire.reading
    for place in range(3):
        held[place].respond(204)
    assert len(held) == 3 and wire.reading


def test_an_application_that_raises_answers_500_and_others_go_on() -> None:
    def broken(exchange: Exchange) -> None:
        exchange.collect(10, lambda body: 1 / 0)  # type: ignore[arg-type, return-value]

    connection, wire = connected(broken)
    feed(connection, HEAD + b"Content-Length: 2\r\n\r\nab")
    assert answers(wire.out)[0][0] == 500


def test_header_values_cannot_end_a_line() -> None:
    with pytest.raises(ValueError, match="line break"):
        encode_headers(((b"location", b"/x\r\nset-cookie: y"),))


@given(st.lists(st.binary(max_size=20).filter(lambda one: b"\n" not in one), max_size=8), st.integers(1, 7))
def test_lines_do_not_depend_on_how_bytes_arrive(wanted: list[bytes], cut: int) -> None:
    raw, lines, found = b"".join(one + b"\n" for one in wanted), Lines(20), []
    for place in range(0, len(raw), cut):
        found += lines.feed(raw[place : place + cut])
    assert found == wanted and not lines.unfinished


def test_a_line_that_never_ends_is_malformed() -> None:
    lines = Lines(20)
    with pytest.raises(Malformed):
        for _ in range(5):
            lines.feed(b"12345")


async def serving(application: object, bounds: Bounds | None = None) -> tuple[Server, Pool, tuple[str, int]]:
    server = Server(application, bounds)  # type: ignore[arg-type]
    port = await server.listen("127.0.0.1", 0)
    return server, Pool(), ("127.0.0.1", port)


@pytest.mark.parametrize("data", [b"GET / HT", HEAD + b"Content-Length: 9\r\n\r\nabc"])
def test_a_dripping_request_is_answered_408(data: bytes) -> None:
    async def run() -> None:
        server, pool, address = await serving(echo, Bounds(head_s=0.2, body_s=0.2))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        assert b" 408 " in await asyncio.wait_for(reader.readline(), 10)
        writer.close()
        server.close()
        pool.close()

    asyncio.run(run())


def test_a_slow_reader_is_waited_for_and_never_grows_memory() -> None:
    async def run() -> None:
        streams: list[Exchange] = []

        def application(exchange: Exchange) -> None:
            exchange.start(200)
            streams.append(exchange)

        server, pool, address = await serving(application)
        peer = socket.create_connection(address)
        peer.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await until(lambda: streams)
        one, drained, sent = streams[0], [], 0
        one.on_writable = lambda: drained.append(1)
        while one.write(bytes(10_000)):
            sent += 10_000
            assert sent < 50_000_000, "the writer is never told to wait"
            await asyncio.sleep(0)
        connection = next(iter(server.connections))
        assert connection.transport.get_write_buffer_size() < 200_000  # type: ignore[union-attr]
        peer.setblocking(False)

        def drink() -> object:
            try:
                while peer.recv(1 << 20):
                    pass
            except BlockingIOError:
                pass
            return drained

        await until(drink)
        peer.close()
        server.close()
        pool.close()

    asyncio.run(run())


def test_a_peer_that_asks_on_and_never_reads_is_not_answered_on() -> None:
    async def run() -> None:
        asked = []

        def application(exchange: Exchange) -> None:
            asked.append(1)
            exchange.respond(200, (), bytes(50_000))

        server, pool, address = await serving(application)
        peer = socket.create_connection(address)
        peer.setblocking(False)
        sent, whole = 0, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 20_000
        for _ in range(100):
            with contextlib.suppress(BlockingIOError):
                sent += peer.send(whole[sent:])
            await asyncio.sleep(0.002)
        connection = next(iter(server.connections))
        assert connection.transport.get_write_buffer_size() < 200_000  # type: ignore[union-attr]
        assert len(asked) < 2000
        before = len(asked)

        def drink() -> bool:  # once it reads, it is answered on
            with contextlib.suppress(BlockingIOError):
                peer.recv(1 << 20)
            return len(asked) > before + 20

        await until(drink)
        peer.close()
        server.close()
        pool.close()

    asyncio.run(run())


def test_a_reader_that_stays_away_is_cut_off() -> None:
    async def run() -> None:
        gone = []

        def application(exchange: Exchange) -> None:
            exchange.on_gone = lambda: gone.append(1)
            exchange.start(200)
            while exchange.write(bytes(100_000)):
                pass

        server, pool, address = await serving(application, Bounds(write_s=0.2))
        peer = socket.create_connection(address)
        peer.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await until(lambda: gone)
        peer.close()
        server.close()
        pool.close()

    asyncio.run(run())


class Heard:
    """What a listener heard."""

    def __init__(self) -> None:
        self.status, self.body, self.end = 0, b"", ""
        self.pieces = 0

    def answered(self, status: int, headers: list) -> None:
        self.status = status

    def came(self, data: bytes) -> None:
        self.body += data
        self.pieces += 1

    def ended(self) -> None:
        self.end = "whole"

    def failed(self, failure: Failure, why: str) -> None:
        self.end = failure.value


def test_chunked_bodies_stream_both_ways_and_connections_are_used_again() -> None:
    async def run() -> None:
        def back(exchange: Exchange) -> None:
            exchange.start(200)
            exchange.stream(lambda data: exchange.write(data) if data is not None else exchange.finish())

        server, pool, address = await serving(back)
        for _ in range(3):
            heard = Heard()
            call = pool.call(address, b"POST", b"/", heard, body=None)
            call.write(b"one")
            await until(lambda heard=heard: heard.body == b"one")
            call.write(b"two")
            call.finish()
            await until(lambda heard=heard: heard.end)
            assert (heard.status, heard.body, heard.end) == (200, b"onetwo", "whole")
        assert len(server.connections) == 1
        server.close()
        pool.close()

    asyncio.run(run())


def test_a_paused_body_is_not_read_on() -> None:
    async def run() -> None:
        seen: list[int] = []

        def application(exchange: Exchange) -> None:
            def sink(data: bytes | None) -> None:
                if data is None:
                    exchange.respond(200, (), b"%d" % sum(seen))
                else:
                    seen.append(len(data))
                    exchange.pause()
                    asyncio.get_running_loop().call_later(0.001, exchange.resume)

            exchange.stream(sink)

        server, pool, address = await serving(application)
        status, _, body = await Whole.of(pool, address, b"POST", b"/", body=bytes(200_000))
        assert (status, body) == (200, b"200000") and max(seen) <= 4096
        server.close()
        pool.close()

    asyncio.run(run())


@settings(deadline=None, max_examples=40)
@given(st.integers(0, 60), st.booleans())
def test_a_call_that_breaks_says_what_that_proves(keep: int, whole: bool) -> None:
    raw = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"

    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(raw if whole else raw[: min(keep, len(raw) - 1)])
            writer.close()

        peer = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = ("127.0.0.1", peer.sockets[0].getsockname()[1])
        pool, heard = Pool(), Heard()
        pool.call(address, b"GET", b"/", heard)
        await until(lambda: heard.end)
        assert heard.end == ("whole" if whole else "broken")
        peer.close()
        await until(lambda: not pool._open)
        refused = Heard()
        pool.call(address, b"GET", b"/", refused)
        await until(lambda: refused.end)
        assert refused.end == "no connection"
        pool.close()

    asyncio.run(run())


@pytest.mark.parametrize("idle", [False, True])
def test_a_call_that_may_not_be_written_any_more_leaves_its_connection_for_the_next(idle: bool) -> None:
    """Guards against a request that goes out long after it was decided, unasked (review/7)."""

    async def run() -> None:
        asked: list[bytes] = []

        def application(exchange: Exchange) -> None:
            asked.append(exchange.target)
            echo(exchange)

        server, pool, address = await serving(application)
        if idle:
            before = Heard()
            pool.call(address, b"GET", b"/before", before)
            await until(lambda: before.end)
        withheld, after = Heard(), Heard()
        pool.call(address, b"GET", b"/withheld", withheld, before_write=lambda: False)
        await until(lambda: withheld.end)
        assert withheld.end == "withheld"
        pool.call(address, b"GET", b"/after", after, before_write=lambda: True)
        await until(lambda: after.end)
        assert after.end == "whole" and asked == [b"/before", b"/after"][not idle :]
        assert len(server.connections) == 1
        server.close()
        pool.close()

    asyncio.run(run())


def test_a_peer_that_accepts_nothing_is_no_connection_in_time() -> None:
    async def run() -> None:
        deaf = socket.socket()
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        fillers = []
        for _ in range(3):  # until its queue is full
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(deaf.getsockname())
            fillers.append(one)
        pool, heard = Pool(connect_s=0.1), Heard()
        pool.call(deaf.getsockname(), b"GET", b"/", heard)
        await until(lambda: heard.end)
        assert heard.end == "no connection"
        for one in (*fillers, deaf):
            one.close()
        pool.close()

    asyncio.run(run())


def test_a_cancelled_call_is_not_heard_of_again() -> None:
    async def run() -> None:
        held: list[Exchange] = []
        gone: list[int] = []

        def application(exchange: Exchange) -> None:
            exchange.on_gone = lambda: gone.append(1)
            held.append(exchange)

        server, pool, address = await serving(application)
        heard = Heard()
        call = pool.call(address, b"GET", b"/", heard)
        await until(lambda: held)
        call.cancel()
        await until(lambda: gone)
        held[0].respond(200)
        assert heard.end == "" and not pool._idle
        server.close()
        pool.close()

    asyncio.run(run())
