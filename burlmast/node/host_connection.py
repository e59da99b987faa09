"""One connection to a host: its states, what is out on it, and how it is closed without losing what comes."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Protocol

from burlmast.edge.playback import Attempt
from burlmast.lease import HostLease, Link, LinkInput, SessionLease
from burlmast.node.descriptors import SHORTAGE
from burlmast.node.eventlog import EventLog, session_name
from burlmast.node.frames import Frame, FrameReader
from burlmast.node.host_interface import HostCallbacks, HostPoolLimits, SetupPayload
from burlmast.node.host_records import CarriedAttempts, SentLately, SentProbe

MS = 1_000_000
# A release behind an unfinished message has to reach its viewer within 1 s, by the protocol.
PARTIAL_TOLERATED = 250 * MS
CLOSING_LEAST = 4  # connections that may be read on though closed: each holds a descriptor
CLOSING_PART = 8  # of the descriptors for hosts, for the same
LATE_DIAL = 4  # times the settings' time for a connection, for one that comes up late
READ_ON = 8_000 * MS  # a release that is held back is due within 8 s of its session's end, by the protocol
SESSIONS_LOGGED = 8  # of those that a connection's end concerns
BUFFER = bytearray(65536)  # one for all: what is read is taken out of it before anything else is read


class Pool(Protocol):
    """The pool of hosts as its hosts and their connections see it. Times in nanoseconds."""

    limits: HostPoolLimits
    callbacks: HostCallbacks
    events: EventLog
    opened: int  # connections to all hosts that hold a descriptor
    closing: int  # of these, closed for writing and still read

    @property
    def now(self) -> Callable[[], int]:
        """The one clock."""

    def later(self, after: int, work: Callable[[], object]) -> asyncio.TimerHandle:
        """Call after so many nanoseconds."""

    def after_reading(self, work: Callable[[], object]) -> None:
        """Call once all has been read that has come in by now."""

    def keep(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run this beside the rest."""

    def room(self) -> bool:
        """Whether there is a descriptor for one more connection."""

    def next_connection_name(self) -> str:
        """The name of a connection in the log."""

    def next_probe(self) -> int:
        """The id of a probe or check."""


class Host(Protocol):
    """A host as its connections and attempts see it."""

    name: str
    address: tuple[str, int]
    connections: dict[HostConnection, None]
    connecting: dict[HostConnection, None]
    late: dict[HostConnection, None]
    lease: HostLease

    @property
    def pool(self) -> Pool:
        """The pool that the host is one of."""

    def connected(self, connection: HostConnection) -> None:
        """It has come up."""

    def received(self, connection: HostConnection, message: Frame) -> None:
        """One message."""

    def lost(self, connection: HostConnection, why: str) -> None:
        """It is closed, by whichever side."""

    def short_of_descriptors(self) -> None:
        """It could not be tried."""

    def unreachable(self, refused: bool, for_check: bool = False) -> None:
        """It did not come up in time."""

    def ended_by_host(self) -> None:
        """The host has closed a connection in order: it lives."""

    def reopen(self, reason: str) -> None:
        """A release may have been lost on it."""

    def suspect(self, connection: HostConnection) -> None:
        """Something went unanswered on it."""

    def has_sessions(self) -> bool:
        """Whether a session is established at the host."""

    def expects_end_on(self, connection: HostConnection) -> bool:
        """Whether a session's release may come on it alone."""

    def give_up(self, attempt: HostAttempt) -> None:
        """The driver has ended the attempt."""

    def send_on_session(self, message: bytes, repeat_within: int) -> HostConnection | None:
        """Send what concerns an established session, on any connection; which one, if any was open."""


class HostAttempt:
    """A set-up as it is at the host."""

    __slots__ = (
        "connection",
        "description",
        "doubted_at",
        "driver_attempt",
        "established",
        "host",
        "lease",
        "origin",
        "sent",
        "session",
    )

    def __init__(self, driver_attempt: Attempt, host: Host, sent: SetupPayload) -> None:
        self.driver_attempt, self.host, self.sent, self.session = driver_attempt, host, sent, sent.session
        self.connection: HostConnection | None = None  # the connection that carries it while it is out
        self.origin: HostConnection | None = None  # the connection of its set-up
        self.established = False  # it has been answered, or was handed over
        self.description = ""
        self.doubted_at = 0  # when a release came that may end the session before its answer; 0: none has
        self.lease = SessionLease(host.pool.now())

    @property
    def written(self) -> bool:
        """Whether its set-up has been written."""
        return self.driver_attempt.written

    @property
    def written_at(self) -> int:
        """When its set-up was written; 0: it was not."""
        return self.driver_attempt.written_at

    def reached_before(self, started_at: int) -> bool:
        """Whether its set-up may have gone to a process that its host ran before this start.

        A connection that came up after the start belongs to the new process, whenever the set-up was decided;
        one from before it may be a box's, which passes the set-up on to the new process."""
        if self.origin is not None:
            return self.origin.opened_at < started_at
        return self.written_at < started_at  # handed over: it stood by then

    def establish(self, description: str) -> None:
        """The host has answered, on the connection of its set-up."""
        self.description, self.established = description, True
        link = self.origin.link if self.origin is not None else None
        if link is not None:
            link.replied(self.written_at)
        self.lease = SessionLease(self.written_at, link, doubted_at=self.doubted_at)


class HostConnection(asyncio.BufferedProtocol):
    """One connection to a host."""

    def __init__(self, host: Host, for_check: bool = False) -> None:
        self.host, self.for_check = host, for_check
        self.name = host.pool.next_connection_name()
        self.reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.out: dict[int, HostAttempt] = {}
        self.probes: dict[int, SentProbe] = {}
        self.sessions: set[int] = set()  # established by a set-up on it: their host releases them here
        # connecting, open, leaving (nothing new), closing (closed for writing, still read), closed
        self.state = "connecting"
        self.stuck_since = 0  # since when half a message is waited for
        self.partial_since = 0  # when the first bytes of a message that is not whole yet came; 0: none has
        self.dialled_at = self.received_at = host.pool.now()
        self.opened_at = 0  # when it came up; 0: it has not
        self.heard_at = 0  # when its host last wrote on it; 0: never. That it came up proves nothing
        self.link: Link | None = None  # once it has come up
        self.suspect_since = 0  # since when something is unanswered on it; 0: nothing is
        self.replaced = False  # whether others carry what it carried, and it closes once nothing is out
        self.ended_by_host = False  # whether its host has closed it, and so knows that it is closed
        self.received_any = False  # whether the host has written on it, since it was retired
        self.used = host.pool.now()  # when something last passed on it
        self.carried = CarriedAttempts()
        self.sent_lately: deque[SentLately] = deque()  # what concerned established sessions
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def dial(self) -> None:
        """Come up, or say why not."""
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *self.host.address)
        except OSError as why:
            self.failed(why)

    def overdue(self) -> None:
        """Its time has run out, by a loop that may have been busy: what has come up by now counts."""
        self.host.pool.after_reading(lambda: self.host.pool.after_reading(lambda: self.failed(None)))

    def failed(self, why: OSError | None) -> None:
        """It did not come up; without a reason, in time."""
        # Time may run out between the coming up and the return of what dialled; one of them counts.
        if self.state != "connecting":
            return
        late = self in self.host.late
        if why is None and not late and self.host.has_sessions():
            self.wait_on()
        else:
            self.drop(refused=isinstance(why, ConnectionRefusedError))
        if late:
            return
        if why is not None and why.errno in SHORTAGE:
            self.host.short_of_descriptors()
        else:
            self.host.unreachable(isinstance(why, ConnectionRefusedError), self.for_check)
            if why is None:
                self.host.reopen("dial_timed_out")

    def wait_on(self) -> None:
        """Nothing waits for it any more, but its host may see it come up and write releases there."""
        self.host.connecting.pop(self, None)
        self.host.late[self] = None
        self.for_check = True
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.host.pool.later(LATE_DIAL * self.host.pool.limits.connect, self.overdue)

    def drop(self, refused: bool = False) -> None:
        """It is waited for no longer; where it was refused, its host has not seen it come up."""
        if self.state == "connecting":
            self.state = "closed"
            if not refused:
                self._log_dropped_dial()
                self.host.lease.lost_unseen(self.host.pool.now())
            self.host.connecting.pop(self, None)
            self.host.late.pop(self, None)
            self.host.pool.opened -= 1
            if self.timer is not None:
                self.timer.cancel()
            if self.task is not None and self.task is not asyncio.current_task():
                self.task.cancel()

    def _log_dropped_dial(self) -> None:
        """Its host may have seen it come up, and written a release there."""
        if self.host.has_sessions():
            self.host.pool.events.record(
                "host_dial_dropped",
                host=self.host.name,
                connection=self.name,
                late=self in self.host.late,
                waited_ms=(self.host.pool.now() - self.dialled_at) // MS,
            )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state == "connecting":
            self.state = "open"
            self.used = self.received_at = self.opened_at = self.host.pool.now()
            self.link = self.host.lease.opened(self.used)
            if self.timer is not None:
                self.timer.cancel()
            self.host.connected(self)
        else:
            transport.abort()

    def get_buffer(self, sizehint: int) -> bytearray:
        return BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.state == "closed":
            return
        found, wrong = self.reader.feed(bytes(memoryview(BUFFER)[:nbytes]))
        self.used = self.received_at = self.heard_at = self.host.pool.now()
        self.note(LinkInput.RECEIVED)
        self.suspect_since = 0
        self.received_any = True
        self.stuck_since = self.used if self.reader.partial else 0
        self._watch_partial(new=bool(found))
        for message in found:
            self.host.received(self, message)
        if wrong is not None:
            self.host.pool.callbacks.log_line(f"host {self.host.name}: {wrong}")
            self.close("not understood")

    def _watch_partial(self, new: bool) -> None:
        """See after a message that stays unfinished: what the host writes behind it is read as its bytes."""
        if not self.reader.partial:
            self.partial_since = 0
        elif new or not self.partial_since:
            began = self.partial_since = self.used
            wait = min(PARTIAL_TOLERATED, self.host.pool.limits.connect)
            self.host.pool.later(wait, lambda: self._partial_late(began))

    def _partial_late(self, began: int) -> None:
        if self.partial_since == began and self.state != "closed":
            self.host.reopen("partial_message")

    def replied(self, sent_at: int) -> None:
        """A reply has come to what was written on it at this time."""
        if self.link is not None:
            self.link.replied(sent_at)

    def note(self, happening: LinkInput) -> None:
        """Something has happened to it, for the leases."""
        if self.link is not None:
            self.host.lease.take(self.link, happening, self.host.pool.now())

    def eof_received(self) -> bool:
        self.ended_by_host = True
        self.host.ended_by_host()
        # The transport says so a turn of the loop later, and what is written until then is lost.
        self.close("retired" if self.state == "closing" else "connection lost")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        # A host may answer this side's close by a reset; either way it knows that the connection is closed.
        self.ended_by_host |= self.state == "closing"
        self.close("retired" if self.state == "closing" else "connection lost")

    @property
    def usable(self) -> bool:
        """Whether something can be written on it."""
        closed = self.state in ("closing", "closed")
        return self.transport is not None and not closed and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.usable and self.transport is not None:
            self.used = self.host.pool.now()
            self.transport.write(data)

    def send_on_session(self, message: bytes, repeat_within: int, gives_up: int = 0) -> None:
        """Write what concerns a session; if the connection is lost by then, elsewhere too."""
        now = self.host.pool.now()
        while self.sent_lately and self.sent_lately[0].repeat_until <= now:
            self.sent_lately.popleft()
        self.sent_lately.append(SentLately(message, now + repeat_within, gives_up))
        self.write(message)

    def close(self, why: str) -> None:
        """What is out on it has ended so; what stands belongs to no connection."""
        if self.state == "closed":
            return
        if why == "retired" and self.reader.partial:
            why = "not understood"  # a release may lie behind what is not whole
        if why == "retired" and self._reads_on():
            self._close_for_writing()
            return
        unread = why == "retired" and self.state != "closing" and not self.ended_by_host
        if self.state == "closing":
            self.host.pool.closing -= 1
        ending = self._how_ended(why)
        self.note(ending)
        self.state = "closed"
        self.host.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        self._log_close(why, ending)
        if self.transport is not None:
            self.transport.abort() if why == "not understood" else self.transport.close()
        self.host.lost(self, why)
        if unread:
            self.host.reopen("closed_unread")

    def _how_ended(self, why: str) -> LinkInput:
        if self.ended_by_host:
            return LinkInput.ENDED_BY_HOST
        if why == "connection lost":
            return LinkInput.RESET
        return LinkInput.GIVEN_UP if self.state == "closing" and why == "retired" else LinkInput.ABORTED

    def _reads_on(self) -> bool:
        """Whether what the host writes as this side closes has to be read."""
        return self.usable and self.host.has_sessions() and self._may_read_on()

    def _may_read_on(self) -> bool:
        """Whether there is a descriptor for one more connection that is closed and read on."""
        pool = self.host.pool
        return pool.closing < max(CLOSING_LEAST, pool.limits.most // CLOSING_PART)

    def _close_for_writing(self) -> None:
        """Read on until the host has closed its side too."""
        self.state = "closing"
        self.note(LinkInput.CLOSED_FOR_WRITING)
        self.host.connections.pop(self, None)
        self.host.pool.closing += 1
        self.timer = self.host.pool.later(self.host.pool.limits.connect, self._not_closed_by_host)
        if self.transport is not None:
            # A reset that has come and was not read yet makes this fail; the loop reads it next.
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    def _not_closed_by_host(self) -> None:
        self.timer = self.host.pool.later(READ_ON, lambda: self.close("retired"))
        self.host.reopen("not_closed_by_host")

    def _log_close(self, why: str, ending: LinkInput) -> None:
        routine = why == "retired" and self.ended_by_host and not (self.out or self.sessions)
        if not routine and (self.out or self.host.has_sessions()):
            self.host.pool.events.record(
                "host_connection_closed",
                host=self.host.name,
                connection=self.name,
                reason=why.replace(" ", "_"),
                ending=ending.name.lower(),
                silent_ms=(self.host.pool.now() - self.received_at) // MS,
                sessions=",".join(session_name(session) for session in list(self.sessions)[:SESSIONS_LOGGED]),
                attempts_out=len(self.out),
                partial_message=self.reader.partial,
                connections_left=len(self.host.connections),
            )

    def replace(self) -> None:
        """Others carry what it carried: its host learns so once nothing is out on it, and says it there."""
        self.replaced = True
        if self.state == "open":
            self.state = "leaving"
        self.retire()

    def retire(self) -> None:
        """It carries nothing new, and is closed once nothing is out on it and no release is expected."""
        if self.state == "open":
            self.state = "leaving"
            self.received_any = False  # a host that hangs may take this connection for its next release
        expected = self.host.expects_end_on(self) and not (self.replaced and self._may_read_on())
        if self.state == "leaving" and not (self.out or self.probes or expected):
            self.close("retired")
