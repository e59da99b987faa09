"""The server: one `BufferedProtocol` a connection, requests answered in their order.

A request is handed over when its head is whole. The application then either collects the body, takes it as it
comes, or answers at once. Pipelined requests wait behind the one that is being answered, and while any waits
nothing more is read, so that what a peer can make this side hold is one receive buffer.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

import httptools
import msgspec

from burlmast.http1.messages import (
    BODILESS,
    LAST_CHUNK,
    STATUS_LINES,
    Headers,
    encode_chunk,
    encode_headers,
)

JSON_TYPE = (b"content-type", b"application/json")


class Gate(Protocol):
    """Who may come in; the server only asks and tells."""

    def opened(self, address: str) -> bytes | None:
        """None lets the connection in; bytes are sent as they are and the connection is closed."""

    def closed(self, address: str) -> None:
        """A connection that was let in is gone."""

    def head_began(self, address: str) -> bool:
        """Whether a further head may be read now."""

    def head_ended(self, address: str) -> None:
        """The head is whole, or its connection gone."""

    def buffered(self, address: str, change: int) -> bool:
        """So many more body bytes are held (fewer, if negative); False refuses them."""


class OpenGate:
    """Lets everybody in."""

    def opened(self, address: str) -> bytes | None:
        return None

    def closed(self, address: str) -> None:
        pass

    def head_began(self, address: str) -> bool:
        return True

    def head_ended(self, address: str) -> None:
        pass

    def buffered(self, address: str, change: int) -> bool:
        return True


class BodyBudget(OpenGate):
    """Lets everybody in, and holds so many bytes of unfinished bodies in all."""

    def __init__(self, most: int) -> None:
        """`most` in bytes; what a connection may always hold (`Bounds.body_free`) is not counted."""
        self._most, self._held = most, 0

    def buffered(self, address: str, change: int) -> bool:
        if change > 0 and self._held + change > self._most:
            return False
        self._held += change
        return True


class Bounds(msgspec.Struct, frozen=True):
    """What a peer may take: sizes in bytes, times in seconds."""

    buffer: int = 4096
    head: int = 8192
    headers: int = 64
    body: int = 16384
    body_free: int = 0  # of a body, so much is held without asking the gate
    head_s: float = 5.0
    body_s: float = 5.0
    idle_s: float = 60.0
    write_s: float = 20.0
    linger_s: float = 1.0
    write_high: int = 64 * 1024


class Exchange:
    """One request and its response."""

    __slots__ = (
        "_body_done",
        "_chunked",
        "_connection",
        "_dispatched",
        "_held",
        "_limit",
        "_paused",
        "_pieces",
        "_sink",
        "_started",
        "_then",
        "bodiless",
        "expects",
        "finished",
        "headers",
        "keep_alive",
        "method",
        "on_gone",
        "on_writable",
        "target",
    )

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.keep_alive = True
        self.bodiless = self.expects = False
        self.finished = False
        self.on_gone: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self._pieces: list[bytes] = []
        self._held = 0
        self._limit = 0
        self._then: Callable[[bytes], None] | None = None
        self._sink: Callable[[bytes | None], None] | None = None
        self._body_done = False
        self._paused = False
        self._started = self._dispatched = False
        self._chunked = False

    @property
    def address(self) -> str:
        """The peer's address without its port."""
        return self._connection.address

    @property
    def paused(self) -> bool:
        """Whether the peer reads too slowly for more to be written now."""
        return self._connection.write_paused

    def header(self, name: bytes) -> bytes | None:
        """The first value under this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    # The request's body.

    def collect(self, limit: int, then: Callable[[bytes], None]) -> None:
        """Call `then` with the whole body; past `limit` bytes the answer is 413 and `then` is never
        called."""
        self._limit, self._then = limit, then
        self._connection.welcome_body(self)
        self._pump()

    def stream(self, sink: Callable[[bytes | None], None]) -> None:
        """Call `sink` with each piece of the body as it comes and with None at its end."""
        self._sink = sink
        self._connection.welcome_body(self)
        self._pump()

    def pause(self) -> None:
        """Read no more of the body until `resume`."""
        self._paused = True
        self._connection.regulate()

    def resume(self) -> None:
        """Go on reading the body."""
        self._paused = False
        self._pump()
        self._connection.regulate()

    def _pump(self) -> None:
        if self._sink is not None:
            while self._pieces and not self._paused:
                piece = self._pieces.pop(0)
                self._held -= len(piece)
                self._connection.count(-len(piece))
                self._guarded(self._sink, piece)
                if self._sink is None:
                    return
            if self._body_done and not self._pieces and not self._paused:
                sink, self._sink = self._sink, None
                self._guarded(sink, None)
        elif self._then is not None:
            if self._held > self._limit:
                self._then = None
                self.refuse(413, f"the body is longer than {self._limit} bytes")
            elif self._body_done:
                then, self._then = self._then, None
                body = b"".join(self._pieces)
                self._forget()
                self._guarded(then, body)

    def _guarded(self, function: Callable[..., None], value: object) -> None:
        # Danger: an exception of the application's would travel through the parser and be taken for bad
        # input.
        try:
            function(value)
        except Exception as why:
            self._connection.application_failed(self, why)

    def _forget(self) -> None:
        self._connection.count(-self._held)
        self._pieces, self._held = [], 0

    # The response.

    def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """A whole response. A second one, or one after the peer has gone, is dropped."""
        if self.finished or self._started:
            return
        self._started = True
        self.keep_alive = self.keep_alive and self._body_done
        length = () if status in BODILESS else ((b"content-length", b"%d" % len(body)),)
        head = self._head(status, (*headers, *length))
        # Danger: a HEAD request or a bodiless status with a body would shift every later answer.
        with_body = self.method != b"HEAD" and status not in BODILESS
        self._connection.write(head + body if with_body else head)
        self._end()

    def json(self, status: int, value: object, headers: Headers = ()) -> None:
        """A whole response with one JSON line."""
        self.respond(status, (JSON_TYPE, *headers), msgspec.json.encode(value) + b"\n")

    def refuse(self, status: int, why: str, headers: Headers = ()) -> None:
        """An error with one JSON line; the connection closes where the rest of the request is still to
        come."""
        self.json(status, {"error": why}, headers)

    def start(self, status: int, headers: Headers = ()) -> None:
        """Begin a response whose body comes in pieces."""
        if not self.finished and not self._started:
            self._started = self._chunked = True
            self._connection.write(self._head(status, (*headers, (b"transfer-encoding", b"chunked"))))

    def write(self, data: bytes) -> bool:
        """Send a piece; False asks to wait for `on_writable`."""
        if data and self._chunked and not self.finished:
            self._connection.write(encode_chunk(data))
        return not self._connection.write_paused

    def finish(self) -> None:
        """End a response begun with `start`."""
        if self._chunked and not self.finished:
            self._connection.write(LAST_CHUNK)
            self._end()

    def cut(self) -> None:
        """End the connection at once, without a further word."""
        self._connection.abort()

    def _head(self, status: int, headers: Headers) -> bytes:
        last = b"" if self.keep_alive else b"connection: close\r\n"
        return STATUS_LINES[status] + encode_headers(headers) + last + b"\r\n"

    def _end(self) -> None:
        self.finished = True
        # Danger: what is left of an unread body would be taken for the next request.
        self.keep_alive = self.keep_alive and self._body_done
        self.on_gone = self.on_writable = self._then = self._sink = None
        self._forget()
        self._connection.answered(self)


Application = Callable[[Exchange], None]


class Connection(asyncio.BufferedProtocol):
    """One viewer's, gateway's or operator's connection."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._bounds = server.bounds
        self._buffer = memoryview(bytearray(server.bounds.buffer))
        # It refers to this connection in turn; `connection_lost` takes that circle apart.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._queue: deque[Exchange] = deque()
        self._coming: Exchange | None = None  # the one whose head or body is being read
        self._in_head = False
        self._head_bytes = self._head_size = self._body_bytes = 0
        self._reading = True
        self._let_in = False
        self._closing = False
        self._dispatching = False
        self._counted = 0
        self._url = b""
        self.transport: asyncio.Transport | None = None
        self.address = ""
        self.write_paused = False
        self.over = False
        self.due = 0.0  # when the sweep ends it, by the loop's clock
        self.waits_for = "idle"

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else ""
        self.transport.set_write_buffer_limits(high=self._bounds.write_high)
        refusal = self._server.gate.opened(self.address)
        if refusal is not None:
            self.transport.write(refusal)
            self.close_gently()
            return
        self._let_in = True
        self._server.connections.add(self)
        self._wait("idle", self._bounds.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._in_head:
            self._head_over()
        if self._let_in:
            self._let_in = False
            self._server.gate.closed(self.address)
        self._server.connections.discard(self)
        self._server.closed += 1
        self.over = True
        self.count(-self._counted)
        for exchange in list(self._queue):
            exchange.finished = True
            gone, exchange.on_gone = exchange.on_gone, None
            if gone:
                gone()
        self._queue.clear()
        self._coming = self._parser = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing or self._parser is None:
            return  # what still comes is thrown away until the peer has read our last answer
        try:
            self._parser.feed_data(self._buffer[:nbytes])
        except httptools.HttpParserUpgrade:
            self._doubt(400, "no other protocol is spoken here")
            return
        except httptools.HttpParserInvalidMethodError:
            self._doubt(405, "the method is not known")
            return
        except httptools.HttpParserError as why:
            self._doubt(*_refusal(why))
            return
        if self._closing:
            return
        if self._in_head:
            self._head_bytes += nbytes
            if self._head_bytes > self._bounds.head:
                self._doubt(431, f"the head is longer than {self._bounds.head} bytes")
        elif self._coming is not None:
            self._body_bytes += nbytes
            # Danger: chunk extensions and trailers are body bytes that nobody would ever be handed.
            if self._coming._sink is None and self._body_bytes > 2 * self._bounds.body + self._bounds.buffer:
                self._doubt(413, f"the body is longer than {self._bounds.body} bytes")
        self.regulate()

    def eof_received(self) -> bool:
        # Half-closed peers are not waited for: a viewer that closes has left.
        return False

    def pause_writing(self) -> None:
        self.write_paused = True
        self._wait("write", self._bounds.write_s)
        self.regulate()

    def resume_writing(self) -> None:
        self.write_paused = False
        self._settle_wait()
        if self._queue and self._queue[0].on_writable:
            self._queue[0].on_writable()
        if not self._dispatching:
            self._advance()

    # The parser's side.

    def on_message_begin(self) -> None:
        if self._closing:
            return
        if not self._server.gate.head_began(self.address):
            raise _TooMuch(503, "too many requests are coming in; come again shortly")
        self._in_head, self._url = True, b""
        self._head_bytes = self._head_size = 0
        self._coming = Exchange(self)
        if not self._queue:
            self._wait("head", self._bounds.head_s)

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._weigh(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._coming is None:
            return
        if len(self._coming.headers) >= self._bounds.headers:
            raise _TooMuch(431, f"more than {self._bounds.headers} header lines")
        if self._in_head:
            self._weigh(len(name) + len(value) + 4)
            self._coming.headers.append((name.lower(), value.strip()))

    def _weigh(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._bounds.head:
            raise _TooMuch(431, f"the head is longer than {self._bounds.head} bytes")

    def on_headers_complete(self) -> None:
        coming = self._coming
        if coming is None or self._closing or self._parser is None:
            return
        self._head_over()
        self._body_bytes = 0
        version = self._parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise _TooMuch(400, f"HTTP/{version} is not spoken here")
        coming.method, coming.target = self._parser.get_method(), self._url
        coming.keep_alive = self._parser.should_keep_alive()
        names = [name for name, _ in coming.headers]
        coming.expects = b"expect" in names and (coming.header(b"expect") or b"").lower() == b"100-continue"
        if version == "1.1" and names.count(b"host") != 1:
            raise _TooMuch(400, "exactly one Host header is needed")
        if self._parser.should_upgrade():
            raise _TooMuch(400, "no other protocol is spoken here")
        self._queue.append(coming)
        coming.bodiless = b"content-length" not in names and b"transfer-encoding" not in names
        if len(self._queue) == 1 and not coming.bodiless and not self.write_paused:
            self._dispatch()

    def on_body(self, data: bytes) -> None:
        coming = self._coming
        if coming is None or coming.finished or self._closing:
            return
        if not self.count(len(data)):
            raise _TooMuch(503, "too many bytes are held; come again shortly")
        coming._pieces.append(data)
        coming._held += len(data)
        if coming is self._queue[0]:
            coming._pump()

    def on_message_complete(self) -> None:
        coming, self._coming = self._coming, None
        if coming is None:
            return
        coming._body_done = True
        if self._queue and coming is self._queue[0]:
            if coming._dispatched:
                self._settle_wait()
                coming._pump()
            elif not self.write_paused:
                self._dispatch()

    # Between the two.

    def _dispatch(self) -> None:
        exchange = self._queue[0]
        exchange._dispatched = True
        if exchange is self._coming:
            self._wait("body", self._bounds.body_s)
        else:
            self._settle_wait()
        exchange._guarded(self._server.application, exchange)

    def application_failed(self, exchange: Exchange, why: Exception) -> None:
        """The application raised."""
        self._server.failed(exchange, why)

    def answered(self, exchange: Exchange) -> None:
        """The exchange at the head of the queue has its whole response."""
        if self.over:
            return
        if not exchange.keep_alive:
            self.close_gently()
            return
        if self._queue and self._queue[0] is exchange:
            self._queue.popleft()
        if not self._dispatching:
            self._advance()

    def _advance(self) -> None:
        # A loop and not a recursion: a peer may pipeline a buffer full of small requests.
        self._dispatching = True
        try:
            # Danger: a peer that asks on and on and never reads would have its answers pile up here.
            while self._queue and not self._queue[0]._dispatched and not (self._closing or self.write_paused):
                first = self._queue[0]
                self._dispatch()
                if self._queue and self._queue[0] is first:
                    break
        finally:
            self._dispatching = False
        self._settle_wait()
        self.regulate()

    def _settle_wait(self) -> None:
        if self._closing:
            return
        if self.write_paused:
            self._wait("write", self._bounds.write_s)
        elif not self._queue:
            self._wait(
                "head" if self._in_head else "idle",
                self._bounds.head_s if self._in_head else self._bounds.idle_s,
            )
        elif self._queue[0] is self._coming:
            self._wait("body", self._bounds.body_s)
        else:
            self.waits_for, self.due = "answer", float("inf")

    def _wait(self, what: str, seconds: float) -> None:
        if not self._closing:
            self.waits_for, self.due = what, self._server.clock + seconds

    def regulate(self) -> None:
        """Read only while nothing that has been read waits."""
        if self.transport is None or self.over:
            return
        first = self._queue[0] if self._queue else None
        waits = len(self._queue) > 1 or (first is not None and (first._paused or self._idle_body(first)))
        waits = waits or self.write_paused
        if waits == self._reading and not self._closing:
            self._reading = not waits
            if waits:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _idle_body(self, first: Exchange) -> bool:
        undecided = first._sink is None and first._then is None
        return undecided and not first.finished and first._held > self._bounds.buffer

    def welcome_body(self, exchange: Exchange) -> None:
        """Tell a peer that waits for it to send its body."""
        if exchange.expects and not exchange._body_done:
            exchange.expects = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def count(self, change: int) -> bool:
        """Account for body bytes held; False where the gate has no room for them."""
        free = self._bounds.body_free
        more = max(0, self._counted + change - free) - max(0, self._counted - free)
        if more and not self._server.gate.buffered(self.address, more):
            return False
        self._counted += change
        return True

    def _head_over(self) -> None:
        self._in_head = False
        self._server.gate.head_ended(self.address)

    def _doubt(self, status: int, why: str) -> None:
        """The framing is in doubt: answer what can be answered, then close."""
        if self._in_head:
            self._head_over()
        self._coming = None
        for exchange in self._queue:
            exchange.keep_alive = False
        if not self._queue:
            exchange = Exchange(self)
            exchange.keep_alive = False
            self._queue.append(exchange)
            advice = ((b"retry-after", b"1"),) if status == 503 else ()
            exchange.refuse(status, why, advice)
        else:
            # An earlier request is still being answered; its answer is the last.
            first = self._queue[0]
            unread = not first._body_done and not first._started
            while len(self._queue) > 1:
                self._queue.pop()
            if unread:
                gone, first.on_gone = first.on_gone, None
                if gone:
                    gone()
                first.refuse(status, why)

    def write(self, data: bytes) -> None:
        """Hand bytes to the transport."""
        if self.transport is not None and not self.over:
            self.transport.write(data)

    def close_gently(self) -> None:
        """Close once the peer has read the last answer, or after the linger time."""
        if self._closing or self.transport is None:
            return
        # Danger: closing with bytes unread resets the connection and the answer may never be read.
        self.waits_for, self.due = "linger", self._server.clock + self._bounds.linger_s
        self._closing = True
        self._server.connections.add(self)
        if not self._reading:
            self._reading = True
            self.transport.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def expired(self) -> None:
        """What was waited for did not come in time."""
        if self.waits_for in ("head", "body"):
            self._closing = False
            self._doubt(408, f"the {self.waits_for} took too long")
        else:
            self.abort()


class _TooMuch(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def _refusal(why: httptools.HttpParserError) -> tuple[int, str]:
    """The status and text that answer what the parser stopped at.

    A function of its own: the caller's frame must not keep an exception whose traceback leads back to it."""
    cause = why.__context__
    if isinstance(cause, _TooMuch):
        return cause.status, str(cause)
    return 400, f"not HTTP/1.1: {why}"


class Server:
    """Listens on one address."""

    SWEEP_S = 0.5
    connection = Connection  # what is made of each; trials count what passes there

    def __init__(
        self,
        application: Application,
        bounds: Bounds | None = None,
        gate: Gate | None = None,
        on_fault: Callable[[Exception], None] | None = None,
    ) -> None:
        self.application = application
        self.bounds = bounds or Bounds()
        self.gate: Gate = gate or OpenGate()
        self.on_fault = on_fault
        self.connections: set[Connection] = set()
        self.closed = 0  # connections that are gone
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None
        # A sweep ahead of the loop's time, so that nothing is ended too early; reading that costs each
        # request.
        self.clock = 0.0
        self.loop = cast(asyncio.AbstractEventLoop, None)

    async def listen(self, host: str, port: int, backlog: int = 1024) -> int:
        """Bind and begin to take connections; the port is the one bound. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        self._listener = await self.loop.create_server(
            lambda: self.connection(self), host, port, backlog=backlog, reuse_address=True
        )
        self.port = int(self._listener.sockets[0].getsockname()[1])
        self.clock = self.loop.time() + self.SWEEP_S
        self._sweep = self.loop.call_later(self.SWEEP_S, self._sweep_all)
        return self.port

    def _sweep_all(self) -> None:
        now = self.loop.time()
        self.clock = now + self.SWEEP_S
        for connection in [one for one in self.connections if one.due <= now]:
            connection.expired()
        self._sweep = self.loop.call_later(self.SWEEP_S, self._sweep_all)

    def failed(self, exchange: Exchange, why: Exception) -> None:
        """The application raised."""
        exchange.keep_alive = False
        if exchange._started:
            exchange.cut()
        else:
            exchange.refuse(500, "the server failed")
        if self.on_fault is not None:
            self.on_fault(why)

    def stop_listening(self) -> None:
        """Take no further connection."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Stop listening and end every connection at once."""
        self.stop_listening()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self.connections):
            connection.abort()
