"""The client: connections kept for each address, one call at a time on each, responses as they come."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

import httptools

from burlmast.http1.messages import LAST_CHUNK, Headers, encode_chunk, encode_headers

Address = tuple[str, int]


class Failure(Enum):
    """Why a call came to nothing, by what it proves."""

    NO_CONNECTION = "no connection"  # no byte of the request left this machine
    WITHHELD = "withheld"  # the caller's `before_write` did not allow it: no byte left this machine
    BROKEN = "broken"  # the request may have been read and acted on


class Listener(Protocol):
    """Hears one call; after `ended` or `failed` nothing more comes."""

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """The response's head."""

    def came(self, data: bytes) -> None:
        """A piece of the response's body."""

    def ended(self) -> None:
        """The response is whole."""

    def failed(self, failure: Failure, why: str) -> None:
        """There will be no whole response."""


class Call:
    """A request on its way."""

    __slots__ = (
        "_connection",
        "_pool",
        "_task",
        "_unsent",
        "address",
        "before_write",
        "listener",
        "over",
        "request",
        "streams",
    )

    def __init__(
        self, pool: Pool, address: Address, request: bytes, listener: Listener, streams: bool
    ) -> None:
        self._pool, self.address, self.request, self.listener = pool, address, request, listener
        self.streams = streams
        self.before_write: Callable[[], bool] | None = None
        self.over = False
        self._connection: ClientConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._unsent: list[bytes] = []

    def cancel(self) -> None:
        """Give the call up; nothing more is heard of it, and its connection is closed."""
        if self.over:
            return
        self.over = True
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.abort()

    def pause(self) -> None:
        """Read no more of the response until `resume`."""
        if self._connection is not None and self._connection.transport is not None and not self.over:
            self._connection.transport.pause_reading()

    def resume(self) -> None:
        """Go on reading."""
        if self._connection is not None and self._connection.transport is not None and not self.over:
            self._connection.transport.resume_reading()

    def write(self, data: bytes) -> bool:
        """Send a piece of a chunked request body; False asks to wait until the connection drains."""
        return self._send(encode_chunk(data)) if data else True

    def finish(self) -> None:
        """End a chunked request body."""
        self._send(LAST_CHUNK)

    def _send(self, data: bytes) -> bool:
        if self.over:
            return True
        if self._connection is None:
            self._unsent.append(data)
            return False
        self._connection.send(data)
        return not self._connection.write_paused


class ClientConnection(asyncio.BufferedProtocol):
    """One connection to a server."""

    def __init__(self, pool: Pool, address: Address) -> None:
        self._pool, self._address = pool, address
        self._buffer = memoryview(bytearray(pool.buffer))
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._size = 0
        self.call: Call | None = None
        self.transport: asyncio.Transport | None = None
        self.write_paused = False
        self.idle_since = 0.0
        self.on_drain: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.forget(self, self._address)
        call, self.call = self.call, None
        if call is None or call.over:
            return
        # A body without a length ends with its connection; the parser knows whether this is one.
        call.over = True
        call.listener.failed(Failure.BROKEN, str(exc) if exc else "closed by the other side")

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.call is None:
            # Danger: bytes nobody asked for would be taken for the next call's answer.
            self.abort()
            return
        try:
            self._parser.feed_data(self._buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as why:
            self._fail(f"not HTTP/1.1: {why}")
            return
        except Exception as why:
            self._fail(f"{type(why).__name__}: {why}")
            return
        if self._size > self._pool.head_limit:
            self._fail(f"the head is longer than {self._pool.head_limit} bytes")

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.on_drain is not None:
            self.on_drain()

    # The parser's side.

    def on_message_begin(self) -> None:
        self._headers, self._size = [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self.call is not None and not self.call.over and status >= 200:
            self.call.listener.answered(status, self._headers)

    def on_body(self, data: bytes) -> None:
        if self.call is not None and not self.call.over:
            self.call.listener.came(data)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            return
        call, self.call = self.call, None
        if self._parser.should_keep_alive() and self.transport and not self.transport.is_closing():
            self._pool.keep(self, self._address)
        else:
            self.abort()
        if call is not None and not call.over:
            call.over = True
            call.listener.ended()

    # The pool's side.

    def carry(self, call: Call) -> None:
        """Send a call's request here."""
        self.call, call._connection = call, self
        self.send(call.request)
        for data in call._unsent:
            self.send(data)
        call._unsent.clear()

    def send(self, data: bytes) -> None:
        """Hand bytes to the transport."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, why: str) -> None:
        call, self.call = self.call, None
        self.abort()
        if call is not None and not call.over:
            call.over = True
            call.listener.failed(Failure.BROKEN, why)


class Pool:
    """Connections kept for use again, by address."""

    connection = ClientConnection  # what is made of each; trials count what passes there

    def __init__(
        self,
        connect_s: float = 0.25,
        idle_s: float = 15.0,
        most_idle: int = 64,
        buffer: int = 4096,
        head_limit: int = 16384,
    ) -> None:
        self.connect_s, self.idle_s, self.most_idle = connect_s, idle_s, most_idle
        self.buffer, self.head_limit = buffer, head_limit
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._open: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._sweep = self._loop.call_later(idle_s / 2, self._drop_idle)

    def call(
        self,
        address: Address,
        method: bytes,
        target: bytes,
        listener: Listener,
        headers: Headers = (),
        body: bytes | None = b"",
        before_write: Callable[[], bool] | None = None,
    ) -> Call:
        """Send a request. A `body` of None is sent in chunks with `Call.write` and `Call.finish`;
        `before_write` is asked once a connection is there whether it may still be sent."""
        if body is None:
            framing = b"transfer-encoding: chunked\r\n"
        elif body or method in (b"POST", b"PUT"):
            framing = b"content-length: %d\r\n" % len(body)
        else:
            framing = b""
        place = (method, target, address[0].encode("ascii"), address[1])
        request = b"%b %b HTTP/1.1\r\nhost: %b:%d\r\n" % place
        request += encode_headers(headers) + framing + b"\r\n" + (body or b"")
        call = Call(self, address, request, listener, body is None)
        call.before_write = before_write
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._carry(connection, call)
                return call
        call._task = self._loop.create_task(self._connect(call))
        self._tasks.add(call._task)
        call._task.add_done_callback(self._tasks.discard)
        return call

    async def _connect(self, call: Call) -> None:
        try:
            async with asyncio.timeout(self.connect_s):
                _, connection = await self._loop.create_connection(
                    lambda: self.connection(self, call.address), *call.address
                )
        except (OSError, TimeoutError) as why:
            if not call.over:
                call.over = True
                call.listener.failed(Failure.NO_CONNECTION, str(why) or "no connection in time")
            return
        self._open.add(connection)
        call._task = None
        if call.over:
            connection.abort()
        else:
            self._carry(connection, call)

    def _carry(self, connection: ClientConnection, call: Call) -> None:
        if call.before_write is None or call.before_write():
            connection.carry(call)
            return
        self.keep(connection, call.address)
        if not call.over:
            call.over = True
            call.listener.failed(Failure.WITHHELD, "no longer allowed")

    def keep(self, connection: ClientConnection, address: Address) -> None:
        """Keep a connection whose call is over."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self.most_idle:
            connection.abort()
            return
        connection.idle_since = self._loop.time()
        idle.append(connection)

    def forget(self, connection: ClientConnection, address: Address) -> None:
        """A connection is gone."""
        self._open.discard(connection)
        idle = self._idle.get(address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self._idle[address]

    def _drop_idle(self) -> None:
        before = self._loop.time() - self.idle_s
        for idle in list(self._idle.values()):
            for connection in [one for one in idle if one.idle_since <= before]:
                connection.abort()
        self._sweep = self._loop.call_later(self.idle_s / 2, self._drop_idle)

    def close(self) -> None:
        """End everything at once; calls under way are not heard of again."""
        self._sweep.cancel()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._open):
            if connection.call is not None:
                connection.call.over = True
            connection.abort()


class Whole:
    """A listener that waits for the whole response: `await Whole.of(pool, ...)`."""

    def __init__(self, limit: int = 1 << 20) -> None:
        self._limit = limit
        self._future: asyncio.Future[tuple[int, list[tuple[bytes, bytes]], bytes]] = (
            asyncio.get_running_loop().create_future()
        )
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    @classmethod
    async def of(
        cls,
        pool: Pool,
        address: Address,
        method: bytes,
        target: bytes,
        headers: Headers = (),
        body: bytes = b"",
        within: float = 5.0,
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Status, headers and body. Raises ConnectionError where none came, TimeoutError past `within`
        seconds."""
        listener = cls()
        call = pool.call(address, method, target, listener, headers, body)
        try:
            async with asyncio.timeout(within):
                return await listener._future
        finally:
            call.cancel()

    def answered(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self._status, self._headers = status, headers

    def came(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limit:
            raise ValueError(f"the body is longer than {self._limit} bytes")

    def ended(self) -> None:
        if not self._future.done():
            self._future.set_result((self._status, self._headers, bytes(self._body)))

    def failed(self, failure: Failure, why: str) -> None:
        if not self._future.done():
            self._future.set_exception(ConnectionError(f"{failure.value}: {why}"))
