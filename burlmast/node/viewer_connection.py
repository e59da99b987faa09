"""One connection from viewers: its bytes, whether its other side is still there, how it is closed."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import Counter
from collections.abc import Callable, Container
from typing import Protocol

from burlmast.edge.playback import Playback
from burlmast.node import lines
from burlmast.node.arrival import TICK, Arrival, LoopGaps
from burlmast.node.lines import Line, LineReader
from burlmast.node.message_size import MESSAGE_BYTES_MAX

MS = 1_000_000
SWEEP = TICK  # between looks at silent connections
# Who sends nothing sound is owed a close within 3 s of connecting, by the protocol.
UNSOUND_FOR = 1_500 * MS
# The same for a first line whose bytes go on coming, with one sweep to spare.
SLOW_FIRST_LINE = 2_500 * MS
WRITING = 500 * MS  # since the last byte of a line that has begun; after that nobody writes it
WRITE_MOST = 8 * MESSAGE_BYTES_MAX  # bytes that wait for a slow reader before its connection is closed
# One for all: what is read is taken out of it before anything else is read. Its size bounds what is done
# for one connection in a turn of the loop.
BUFFER = bytearray(16 * 1024)
LAST_DATA_RECEIVED = struct.Struct("=I")  # `tcpi_last_data_recv` of Linux' `struct tcp_info`, milliseconds
LAST_DATA_RECEIVED_AT = 52  # bytes from its begin
CLOCK_OF_KERNEL = 10 * MS  # its time stamps are as coarse as that
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Listener(Protocol):
    """The listener as its connections see it."""

    counts: Counter[str]

    @property
    def now(self) -> Callable[[], int]:
        """The one clock, in nanoseconds."""

    @property
    def gaps(self) -> LoopGaps:
        """When the process has read nothing."""

    @property
    def log_line(self) -> Callable[[str], None]:
        """Writes a line for the log."""

    @property
    def known(self) -> Container[str]:
        """The ids of what is asked or stands."""

    def next_connection_name(self) -> str:
        """The name of a connection in the log."""

    def connected(self, viewer: ViewerConnection) -> None:
        """A connection is there."""

    def received(self, viewer: ViewerConnection, line: Line) -> None:
        """One message."""

    def may_be_asked(self, line: Line) -> bool:
        """Whether a set-up is sound, and for something that does not stand yet."""

    def waiting(self, viewer: ViewerConnection) -> int:
        """How many requests of a connection wait for their decision."""

    def refuse_waiting(self, viewer: ViewerConnection) -> None:
        """Answer those requests: they were never sent on."""

    def abandoned(self, viewer: ViewerConnection) -> None:
        """The other side of a connection has closed it."""

    def disconnected(self, viewer: ViewerConnection) -> None:
        """A connection is gone."""

    def leave(self, playback: Playback) -> None:
        """The viewer has given it up, or ended it."""


class ViewerConnection(asyncio.BufferedProtocol):
    """One connection from viewers."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.name = listener.next_connection_name()
        self.closed_because = ""  # the reason of this side's close
        self.established = 0  # sessions that were answered on it
        self.acknowledged = 0  # ends that were acknowledged on it
        self.delivered_until = 0  # see `delivery.EndConnection`
        self.reader = LineReader()
        self.transport: asyncio.Transport | None = None
        self.open: dict[str, Playback] = {}  # what is asked on it and has no answer yet
        self.began = self.last_received = listener.now()
        self.arrival = Arrival()  # of what was read last
        self.sound = False
        self.asked = 0  # sound set-ups on it
        self.held = 0  # requests and sessions that were asked for or handed over on it and are held
        self.overloaded = False  # a request on it was refused since it asks more than its share
        self.partial_since = 0  # since when nothing has come to the line that has begun; 0: none has
        self.closing_since = 0
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.listener.connected(self)

    def waiting(self) -> tuple[bool, bool]:
        """Whether the other side has closed, and whether something of it has not been read, by the socket."""
        if not self.usable:
            return True, False
        found = self._poll.poll(0)
        events = found[0][1] if found else 0
        return bool(events & ENDED), bool(events & select.POLLIN)

    def get_buffer(self, sizehint: int) -> bytearray:
        return BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.last_received = self.listener.now()
        self.arrival.read(self.last_received, self.listener.gaps, emptied=nbytes < len(BUFFER))
        began = self.reader.partial
        found, wrong = self.reader.feed(bytes(memoryview(BUFFER)[:nbytes]))
        if self.arrival.uncertain and len(found) == 1 and not (began or self.reader.partial):
            self.arrival.came_at(self.last_received - self._age_of_last_bytes())
        # Whose every reading ends within a line, or who sends slowly, is at work and not stuck.
        self.partial_since = self.last_received if self.reader.partial else 0
        try:
            for line in self._standing_by(found):
                self.listener.received(self, line)
        except Exception as why:
            self.listener.log_line(f"a connection is closed: {type(why).__name__}: {why}")
            self.close("error")
        if wrong is not None:
            self.listener.counts["unreadable"] += 1
            self.close("unreadable")

    def _age_of_last_bytes(self) -> int:
        """How long ago the last bytes came, in nanoseconds, by the socket; the longest if it cannot tell."""
        if self.transport is None or not hasattr(socket, "TCP_INFO"):
            return self.last_received
        try:
            raw = self.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size + LAST_DATA_RECEIVED_AT
            )
            (age_ms,) = LAST_DATA_RECEIVED.unpack_from(raw, LAST_DATA_RECEIVED_AT)
        except (OSError, struct.error):
            return self.last_received
        return int(age_ms) * MS + CLOCK_OF_KERNEL

    def _standing_by(self, found: list[Line]) -> list[Line]:
        """Without the set-ups that are given up by a later line of the same reading."""
        if len(found) < 2:
            return found
        ends = {line.id: place for place, line in enumerate(found) if line.type == "release"}
        kept = []
        for place, line in enumerate(found):
            given_up = line.type == "setup" and ends.get(line.id, -1) > place
            # What is of wrong form is owed its refusal all the same, and what plays already has to end there.
            if given_up and line.id not in self.listener.known and self.listener.may_be_asked(line):
                self.sound = True
                self.listener.counts["given up at once"] += 1
            else:
                kept.append(line)
        return kept

    def eof_received(self) -> bool:
        # The transport waits for what it has yet to write before it says that this one is gone.
        self.closed_because = self.closed_because or "closed_by_peer"
        self.listener.abandoned(self)
        self.closing_since = self.listener.now()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed_because = self.closed_because or type(exc).__name__
        self.listener.disconnected(self)

    def standing(self, now: int) -> int:
        """Who goes first where room is short: the silent, who asked once, who has just come, the others.

        Who has just come and not asked yet looks like the silent, and would otherwise never get in."""
        if not self.sound:
            return 0 if now - self.began >= SWEEP else 2
        return 1 if self.asked <= 1 else 3

    @property
    def idle(self) -> bool:
        """Whether nothing is asked on it."""
        return not self.open and not self.listener.waiting(self)

    def unsound(self, now: int) -> bool:
        """Whether nothing of right form has come on it for too long."""
        writing = self.partial_since > 0 and now - self.partial_since < WRITING
        return not self.sound and now - self.began >= (SLOW_FIRST_LINE if writing else UNSOUND_FOR)

    @property
    def usable(self) -> bool:
        """Whether something can be written on it."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > WRITE_MOST:
                self.listener.counts["slow readers"] += 1
                self.closed_because = self.closed_because or "slow_reader"
                self.transport.abort()

    def close(self, reason: str) -> None:
        """Answer what is held on it, and close it."""
        self.closed_because = self.closed_because or reason
        self.listener.refuse_waiting(self)
        for name, playback in list(self.open.items()):
            self.write(lines.release(name, lines.FAILED))
            playback.reply = None
            self.listener.leave(playback)
        if self.transport is not None:
            self.closing_since = self.closing_since or self.listener.now()
            self.transport.close()
