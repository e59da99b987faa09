"""The media hosts' side: connections, set-ups on them, what stands, probes. Nothing is decided here but which
connection carries what; how it ended is said by the table of endings."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.api import Ending, News, Standing
from burlmast.edge.driver import Try
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.node import frames
from burlmast.node.descriptors import SHORTAGE
from burlmast.node.eventlog import EventLog, session_name
from burlmast.node.frames import Frame, FrameReader
from burlmast.node.names import Entry

MS = 1_000_000
# What stands and is over has to be released within 8 s of its end where nobody says so: the platform's word.
# A host that was silent for half of that is dialled; two failures in a row, and it is gone.
SILENT = 4_000 * MS
GONE_AFTER = 2
NO_CAUSE = -1  # of a release that names none
ENDED, CANCELLED = 16, 31  # causes of a release that only an established session gets
CROSSING = 50 * MS  # what was written so lately may have crossed a close, by the protocol
# A session is over within 8 s of its end, by the protocol; its id is never used again, so a second release of
# it is harmless.
RELEASE_REPEATED = 8_000 * MS
# A release behind an unfinished message has to reach its viewer within 1 s, by the protocol.
PARTIAL_TOLERATED = 250 * MS
CLOSING_MOST = 4  # connections that are read on though closed: each holds a descriptor
REOPEN_PATIENCE = 4  # times the settings' time for a connection
CARRIED = 32  # set-ups on a connection after which a second answer to the first is no longer expected
BUFFER = bytearray(65536)  # one for all: what is read is taken out of it before anything else is read


class Sent(NamedTuple):
    """What a viewer sent and a host gets unchanged."""

    session: int
    plan: bytes
    title: bytes
    description: bytes


class Wired(NamedTuple):
    """What the socket side is told at start. Times in nanoseconds."""

    connect: int  # how long a connection may take to come up, and a probe to be answered
    idle: int  # how long nothing may pass on a connection before its host closes it; 0: for ever
    most: int  # connections to all hosts together
    streams: int  # set-ups on one connection at most
    report: dict[str, str]


class HostCallbacks(Protocol):
    """Where the hosts' side tells what it hears; each method is one of the driver's, the time put in."""

    def flowing(self, one: Try) -> None:
        """See `Driver.flowing`."""

    def ended(self, one: Try, ending: Ending, load: api.Load) -> None:
        """See `Driver.ended`."""

    def noted(self, one: Try, news: News, value: float) -> None:
        """See `Driver.noted`."""

    def probed(self, host: int, ending: Ending, took: int, load: api.Load) -> None:
        """See `Driver.probed`."""

    def wanted(self, one: Try) -> bool:
        """Whether its viewer is still there; False once the driver has been told that it is not."""

    def unread(self, one: Try) -> bool:
        """Whether its viewer has written what has not been read yet."""

    def shortage(self) -> None:
        """There was no descriptor for a connection."""

    def remark(self, text: str) -> None:
        """A line for the log."""


class HostAttempt:
    """A set-up as it is at the host."""

    __slots__ = ("connection", "description", "host", "one", "origin", "sent", "session", "stood", "written")

    def __init__(self, one: Try, host: MediaHost, sent: Sent) -> None:
        self.one, self.host, self.sent, self.session = one, host, sent, sent.session
        self.connection: HostConnection | None = None  # the connection that carries it while it is out
        self.origin: HostConnection | None = None  # the connection of its set-up
        self.written = self.stood = False  # its set-up was written; it has been answered
        self.description = ""


class SentLately(NamedTuple):
    """A message on an established session that a lost connection may not have delivered."""

    message: bytes
    repeat_until: int  # nanoseconds


class SentProbe(NamedTuple):
    """A probe on its way."""

    began: int
    timer: asyncio.TimerHandle


class CarriedAttempts:
    """The attempts whose set-ups a connection has carried lately, and the cause by which each was refused."""

    def __init__(self) -> None:
        self._causes: dict[int, int | None] = {}  # by the number of the playback, oldest first

    def __contains__(self, playback: int) -> bool:
        return playback in self._causes

    def add(self, playback: int) -> None:
        """A set-up is sent."""
        self._causes.pop(playback, None)
        self._causes[playback] = None
        if len(self._causes) > CARRIED:
            del self._causes[next(iter(self._causes))]

    def refused(self, playback: int, cause: int | None) -> None:
        """The host has refused it."""
        if playback in self._causes:
            self._causes[playback] = NO_CAUSE if cause is None else cause

    def may_repeat(self, playback: int, cause: int | None) -> bool:
        """Whether a release may be a second copy of the host's answer to an attempt that was carried here."""
        if playback not in self._causes:
            return False
        known = self._causes[playback]
        return cause not in (ENDED, CANCELLED) or known is None or known == cause


class HostConnection(asyncio.BufferedProtocol):
    """One connection to a host."""

    def __init__(self, host: MediaHost) -> None:
        self.host = host
        self.name = host.side.next_connection_name()
        self.reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.out: dict[int, HostAttempt] = {}
        self.probes: dict[int, SentProbe] = {}
        self.sessions: set[int] = set()  # established by a set-up on it: their host releases them here
        # connecting, open, leaving (nothing new), closing (closed for writing, still read), closed
        self.state = "connecting"
        self.stuck_since = 0  # since when half a message is waited for
        self.partial_since = 0  # when the first bytes of a message that is not whole yet came; 0: none has
        self.dialled_at = host.side.now()
        self.used = host.side.now()  # when something last passed on it
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
        self.host.side.after_reading(lambda: self.host.side.after_reading(lambda: self.failed(None)))

    def failed(self, why: OSError | None) -> None:
        """It did not come up; without a reason, in time."""
        # Danger: time may run out between the coming up and the return of what dialled; one of them counts.
        if self.state != "connecting":
            return
        self.drop()
        if why is not None and why.errno in SHORTAGE:
            self.host.short_of_descriptors()
        else:
            self.host.unreachable(isinstance(why, ConnectionRefusedError))

    def drop(self) -> None:
        """It is waited for no longer."""
        if self.state == "connecting":
            self.state = "closed"
            self.host.connecting.pop(self, None)
            self.host.side.opened -= 1
            if self.timer is not None:
                self.timer.cancel()
            if self.task is not None and self.task is not asyncio.current_task():
                self.task.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state == "connecting":
            self.state = "open"
            self.used = self.host.side.now()
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
        self.used = self.host.side.now()
        self.stuck_since = self.used if self.reader.partial else 0
        self._watch_partial(new=bool(found))
        for one in found:
            self.host.received(self, one)
        if wrong is not None:
            self.host.side.callbacks.remark(f"host {self.host.name}: {wrong}")
            self.close("not understood")

    def _watch_partial(self, new: bool) -> None:
        """See after a message that stays unfinished: what the host writes behind it is read as its bytes."""
        if not self.reader.partial:
            self.partial_since = 0
        elif new or not self.partial_since:
            began = self.partial_since = self.used
            wait = min(PARTIAL_TOLERATED, self.host.side.wired.connect)
            self.host.side.later(wait, lambda: self._partial_late(began))

    def _partial_late(self, began: int) -> None:
        if self.partial_since == began and self.state != "closed":
            self.host.reopen("partial_message")

    def eof_received(self) -> bool:
        # Danger: the transport says so a turn of the loop later, and what is written until then is lost.
        self.close("retired" if self.state == "closing" else "connection lost")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.close("retired" if self.state == "closing" and exc is None else "connection lost")

    @property
    def usable(self) -> bool:
        """Whether something can be written on it."""
        closed = self.state in ("closing", "closed")
        return self.transport is not None and not closed and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.usable and self.transport is not None:
            self.used = self.host.side.now()
            self.transport.write(data)

    def send_on_session(self, message: bytes, repeat_within: int) -> None:
        """Write what concerns an established session; if the connection is lost by then, elsewhere too."""
        now = self.host.side.now()
        while self.sent_lately and self.sent_lately[0].repeat_until <= now:
            self.sent_lately.popleft()
        self.sent_lately.append(SentLately(message, now + repeat_within))
        self.write(message)

    def close(self, why: str) -> None:
        """What is out on it has ended so; what stands belongs to no connection."""
        if self.state == "closed":
            return
        if why == "retired" and self._reads_on():
            self._close_for_writing()
            return
        if self.state == "closing":
            self.host.side.closing -= 1
        self.state = "closed"
        self.host.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        self._log_close(why)
        if self.transport is not None:
            self.transport.abort() if why == "not understood" else self.transport.close()
        self.host.lost(self, why)

    def _reads_on(self) -> bool:
        """Whether what the host writes as this side closes has to be read."""
        return self.usable and self.host.stands() and self.host.side.closing < CLOSING_MOST

    def _close_for_writing(self) -> None:
        """Read on until the host has closed its side too."""
        self.state = "closing"
        self.host.connections.pop(self, None)
        self.host.side.closing += 1
        self.timer = self.host.side.later(self.host.side.wired.connect, self._not_closed_by_host)
        if self.transport is not None:
            self.transport.write_eof()

    def _not_closed_by_host(self) -> None:
        self.close("retired")
        self.host.reopen("not_closed_by_host")

    def _log_close(self, why: str) -> None:
        if self.out or self.host.stands():
            self.host.side.events.record(
                "host_connection_closed",
                host=self.host.name,
                connection=self.name,
                reason=why.replace(" ", "_"),
                attempts_out=len(self.out),
                partial_message=self.reader.partial,
                connections_left=len(self.host.connections),
            )

    def retire(self) -> None:
        """It carries nothing new, and is closed once nothing is out on it and no release is expected."""
        if self.state == "open":
            self.state = "leaving"
        if self.state == "leaving" and not (self.out or self.probes or self.host.expects_end_on(self)):
            self.close("retired")


class MediaHost:
    """One host: its connections, and what is out or stands there."""

    def __init__(self, side: HostsSide, number: int, name: str, address: tuple[str, int]) -> None:
        self.side, self.number, self.name, self.address = side, number, name, address
        self.listed, self.draining = True, False
        self.connections: dict[HostConnection, None] = {}
        self.attempts: dict[int, HostAttempt] = {}
        self.waiting: list[HostAttempt] = []  # for a connection
        self.probes: list[tuple[int, int]] = []  # probes that wait for one, and since when
        self.backlog: list[tuple[bytes, int]] = []  # messages on established sessions that wait for one
        self.connecting: dict[HostConnection, None] = {}  # connections that are waited for
        self.last_received = side.now()
        self.failures = 0
        self.reopen_since = 0  # since when a connection that is newer than this is needed; 0: none is

    # Connections.

    def open_connections(self) -> list[HostConnection]:
        return [
            connection for connection in self.connections if connection.state == "open" and connection.usable
        ]

    def fresh(self, connection: HostConnection, now: int) -> bool:
        """Whether its host does not close it for being idle while something is on its way there."""
        # Danger: a set-up that crosses such a close may have run, and an unsafe one is lost.
        idle = self.side.wired.idle
        return idle <= 0 or now - connection.used < max(idle - self.side.wired.connect, idle // 2)

    def choose(self, playback: int) -> HostConnection | None:
        """A connection with nothing out on it, so that one spoilt answer costs one set-up.

        Where there is no room for another, the one that carries least. Never one that has carried an earlier
        attempt of the playback, whose answer may come again."""
        now = self.side.now()
        connections = [
            connection
            for connection in self.open_connections()
            if playback not in connection.carried and self.fresh(connection, now)
        ]
        free = [connection for connection in connections if not connection.out]
        if free:
            return max(free, key=lambda connection: connection.used)
        if self.side.room() or not connections:
            return None
        least = min(connections, key=lambda connection: len(connection.out))
        return least if len(least.out) < self.side.wired.streams else None

    def dial(self, wait: int = 0) -> None:
        """Open a connection; `wait` is how long it may take to come up, 0 for the time of the settings."""
        if self.listed:
            connection = HostConnection(self)
            self.connecting[connection] = None
            self.side.opened += 1
            connection.timer = self.side.later(wait or self.side.wired.connect, connection.overdue)
            connection.task = self.side.keep(connection.dial())

    def reopen(self, reason: str) -> None:
        """Open a connection after a release may have been lost: its host repeats it there."""
        if not self.stands():
            return
        if not self.reopen_since:
            self.side.events.record("host_reopen", host=self.name, reason=reason)
        self.reopen_since = self.side.now()
        self._dial_for_reopen()

    def _dial_for_reopen(self) -> None:
        if self.connecting or self.side.opened >= self.side.wired.most:
            return
        # Where others carry the requests, one that comes up late is worth waiting for.
        self.dial(REOPEN_PATIENCE * self.side.wired.connect if self.open_connections() else 0)

    def dial_no_more(self) -> None:
        """Give up the dials that nothing waits for any more: connections at hosts are scarce."""
        needed = len(self.waiting) + bool(self.probes or self.backlog or self.stands())
        for connection in list(self.connecting)[needed:]:
            connection.drop()

    def connected(self, connection: HostConnection) -> None:
        self.connecting.pop(connection, None)
        self.connections[connection] = None
        self.failures = 0
        self.last_received = self.side.now()
        if connection.dialled_at >= self.reopen_since:
            self.reopen_since = 0
        for message, repeat_within in self.backlog:
            connection.send_on_session(message, repeat_within)
        self.backlog.clear()
        probes, self.probes = self.probes, []
        for session, began in probes:
            self._probe_on(connection, session, began)
        for leaving in [other for other in self.connections if other.state == "leaving"]:
            leaving.retire()
        # One set-up to a connection; those that came in the meantime have others of their own on the way.
        while self.waiting and (not connection.out or not self.connecting) and connection.state == "open":
            attempt = self.waiting.pop(0)
            if len(connection.out) < self.side.wired.streams:
                self.send(connection, attempt)
            else:
                self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())

    def short_of_descriptors(self) -> None:
        """No connection could be tried: that tells nothing of the host. It is tried again soon."""
        self.side.callbacks.remark(f"host {self.name}: no descriptor for a connection")
        self.side.callbacks.shortage()
        probes, self.probes = self.probes, []
        for _, began in probes:
            self.side.callbacks.probed(self.number, Ending.MOOT, max(0, self.side.now() - began), api.Load())
        if not self.connecting:
            self.side.later(self.side.wired.connect // 8, self.dial_again)

    def dial_again(self) -> None:
        """For what waits yet, or stands and has no connection."""
        if self.connecting or not (self.waiting or self.backlog or (self.stands() and not self.connections)):
            return
        connection = self.choose(self.waiting[0].one.playback.number) if self.waiting else None
        if connection is not None:
            self.send(connection, self.waiting.pop(0))
        elif self.side.room():
            self.dial()

    def turn_away(self) -> None:
        """Nothing new may go to it: what was not sent goes elsewhere, and probes of one that is gone end."""
        for attempt in [one for one in self.attempts.values() if not one.written and not one.stood]:
            self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())
        if self.listed:
            return
        probes, self.probes = self.probes, []
        for _, began in probes:
            took = max(0, self.side.now() - began)
            self.side.callbacks.probed(self.number, Ending.NO_CONNECTION, took, api.Load())
        for attempt in [one for one in self.attempts.values() if not one.stood]:
            if attempt.connection is not None:
                attempt.connection.write(frames.release(attempt.session))
            self.finish(attempt, Ending.BROKEN, api.Load())
        self.keep_reachable()

    def dismiss(self, why: str) -> None:
        """The list has dropped it, or has it elsewhere: nothing is waited for at this address any more."""
        self.listed = False
        # Danger: the address may be another host's by now, and what comes up there would carry what waits.
        for connection in list(self.connecting):
            connection.drop()
        # Danger: a machine that goes for good says nothing, and its connections stay open.
        self.cut(why)

    def unreachable(self, refused: bool) -> None:
        """No connection came up; where it was refused the process is dead, and what stood there with it."""
        self.failures += 1
        if self.connecting:  # the others say what becomes of what waits
            waiting = [self.waiting.pop(0)] if self.waiting else []
        else:
            waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.finish(attempt, BINARY_ENDINGS["no connection", None], api.Load())
        if not self.connecting and not self.open_connections():
            probes, self.probes = self.probes, []
            for _, began in probes:
                self.side.callbacks.probed(
                    self.number, Ending.NO_CONNECTION, max(0, self.side.now() - began), api.Load()
                )
        silent = not self.open_connections() or self.side.now() - self.last_received >= SILENT
        # Danger: a host that drains refuses connections and plays on; the list says when it is gone.
        if not self.draining and (refused or (self.failures >= GONE_AFTER and silent)):
            self.cut("refused" if refused else "silent")

    def cut(self, why: str) -> None:
        """What stood here is over."""
        standing = [attempt for attempt in self.attempts.values() if attempt.one.state == "flowing"]
        if standing:
            self.side.callbacks.remark(f"host {self.name}: {why}, {len(standing)} playbacks cut")
        self.backlog.clear()
        for attempt in standing:
            self.finish(attempt, BINARY_ENDS[41], api.Load())

    def lost(self, connection: HostConnection, why: str) -> None:
        self.side.opened -= 1
        out, connection.out = connection.out, {}
        ending = BINARY_ENDINGS.get((why, None), Ending.BROKEN)
        for attempt in out.values():
            attempt.connection = None
            self.finish(attempt, ending if attempt.written else BINARY_ENDINGS["not sent", None], api.Load())
        probes, connection.probes = connection.probes, {}
        for probe in probes.values():
            probe.timer.cancel()
            took = max(0, self.side.now() - probe.began)
            self.side.callbacks.probed(self.number, Ending.BROKEN, took, api.Load())
        lately, connection.sent_lately = connection.sent_lately, deque()
        for sent in lately if why == "connection lost" else ():
            if self.side.now() < sent.repeat_until:
                self.send_on_session(sent.message, sent.repeat_until - self.side.now())
        if why in ("connection lost", "not understood"):
            # A process that dies may also reset one connection at once and another seconds later.
            self.reopen(why.replace(" ", "_"))
        self.keep_reachable()

    def expects_end_on(self, connection: HostConnection) -> bool:
        """Whether the host may write a session's release on this connection and on no other that is open."""
        if connection.sessions:
            return True
        others = any(other.usable for other in self.connections if other is not connection)
        return not others and self.stands()

    def stands(self) -> bool:
        """Whether something plays here."""
        return any(attempt.one.state == "flowing" for attempt in self.attempts.values())

    def keep_reachable(self) -> None:
        """What stands here is told of on any connection: there has to be one."""
        if self.stands():
            if not self.connections and not self.connecting:
                self.dial()
                if not self.listed:
                    self.cut("not listed")
        elif not self.listed and not self.attempts:
            for connection in list(self.connections):
                connection.close("retired")

    # Set-ups.

    def take(self, attempt: HostAttempt) -> None:
        self.attempts[attempt.session] = attempt
        connection = self.choose(attempt.one.playback.number)
        if connection is not None:
            self.send(connection, attempt)
        elif self.side.room() or self.connecting:
            self.waiting.append(attempt)
            if self.side.room():
                self.dial()
        else:
            self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())

    def send(self, connection: HostConnection, attempt: HostAttempt) -> None:
        """Send it there, once what its viewer has written by now has been read."""
        attempt.connection = attempt.origin = connection
        connection.out[attempt.session] = attempt
        connection.carried.add(attempt.one.playback.number)
        if self.side.callbacks.unread(attempt.one):
            self.side.after_reading(lambda: self.write(connection, attempt))
        else:
            self.write(connection, attempt)

    def write(self, connection: HostConnection, attempt: HostAttempt) -> None:
        one, now = attempt.one, self.side.now()
        if attempt.connection is not connection or not self.side.callbacks.wanted(one):
            return  # it has ended
        if now >= one.due:
            self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())
            return
        _, plan, title, description = attempt.sent
        attempt.written = True
        self.side.events.trace(
            "attempt_sent",
            session_name(attempt.session),
            attempt=one.place,
            host=self.name,
            connection=connection.name,
        )
        connection.write(
            frames.frame(
                frames.SETUP,
                attempt.session,
                {
                    frames.CLASS: plan,
                    frames.WAIT: str((one.due - now) // MS).encode(),
                    frames.TITLE: title,
                    frames.RUNG: str(one.rung).encode(),
                    frames.DESCRIPTION: description,
                },
            )
        )

    def forget(self, attempt: HostAttempt) -> None:
        if self.attempts.get(attempt.session) is attempt:
            del self.attempts[attempt.session]
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            self.dial_no_more()
        attempt.one.handle = None  # or the two would hold each other until the collector comes
        origin, attempt.origin = attempt.origin, None
        if origin is not None:
            origin.sessions.discard(attempt.session)
            if origin.state == "leaving":
                origin.retire()
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            if connection.out.get(attempt.session) is attempt:
                del connection.out[attempt.session]
            if connection.state == "leaving":
                connection.retire()

    def finish(self, attempt: HostAttempt, ending: Ending, load: api.Load) -> None:
        if self.attempts.get(attempt.session) is attempt:
            self.side.events.trace(
                "session_ended" if attempt.stood else "attempt_ended",
                session_name(attempt.session),
                attempt=attempt.one.place,
                host=self.name,
                cause=ending.value.replace(" ", "_"),
            )
            self.forget(attempt)
            self.side.callbacks.ended(attempt.one, ending, load)

    def give_up(self, attempt: HostAttempt) -> None:
        """The driver has ended the try."""
        connection = attempt.connection
        late = self.side.now() >= attempt.one.due
        self.forget(attempt)
        if connection is not None and attempt.written:
            connection.write(frames.release(attempt.session))
            if late:
                # Danger: what answers nothing may answer nothing else on that connection either.
                connection.retire()
        elif attempt.stood:
            self.send_on_session(frames.release(attempt.session), RELEASE_REPEATED)

    def spares(self, connection: HostConnection) -> bool:
        """Whether it carries nothing, and is not the last that could tell of what stands here."""
        return (
            not connection.out
            and not connection.probes
            and not (len(self.connections) == 1 and self.stands())
        )

    def send_on_session(self, message: bytes, repeat_within: int) -> None:
        """Send what concerns an established session, on any connection."""
        connections = self.open_connections() or [
            connection
            for connection in self.connections
            if connection.state == "leaving" and connection.usable
        ]
        if connections:
            connections[0].send_on_session(message, repeat_within)
        elif self.listed:
            self.backlog.append((message, repeat_within))
            if not self.connecting:
                self.dial()

    # Messages.

    def received(self, connection: HostConnection, message: Frame) -> None:
        self.last_received = self.side.now()
        self.failures = 0
        found = HANDLERS.get(message.kind)
        if found is not None:
            found(self, connection, message)

    def _answered(self, connection: HostConnection, message: Frame) -> None:
        attempt = connection.out.pop(message.session, None)
        if attempt is None:
            return  # a second copy, or one ahead of its set-up
        attempt.connection = None
        if message.description is None:
            self.forget(attempt)
            self.side.callbacks.remark(f"host {self.name}: an answer without a description")
            connection.write(frames.release(attempt.session))
            self.side.callbacks.ended(attempt.one, BINARY_ENDINGS["not understood", None], api.Load())
        else:
            attempt.description, attempt.stood = message.description, True
            connection.sessions.add(attempt.session)
            self.side.events.trace(
                "session_established",
                session_name(attempt.session),
                attempt=attempt.one.place,
                host=self.name,
                connection=connection.name,
            )
            self.side.callbacks.flowing(attempt.one)
        if connection.state == "leaving":
            connection.retire()

    def _released(self, connection: HostConnection, message: Frame) -> None:
        attempt = self.attempts.get(message.session)
        if attempt is None:
            return
        cause, load = message.cause, message.load(self.side.wired.report)
        if attempt.one.state == "flowing":
            # What answers an earlier attempt may come twice, late; a session that was established goes on.
            refusal = cause not in BINARY_ENDS and ("release", cause) in BINARY_ENDINGS
            earlier = (
                attempt.origin in self.connections
                and connection is not attempt.origin
                and connection.carried.may_repeat(attempt.one.playback.number, cause)
            )
            if not refusal and not earlier:
                self.finish(attempt, BINARY_ENDS.get(cause, BINARY_ENDS[None]), load)
            else:
                self.side.events.record(
                    "release_ignored",
                    session=session_name(message.session),
                    host=self.name,
                    connection=connection.name,
                    cause=cause,
                    reason="refusal" if refusal else "earlier_attempt",
                )
                if earlier and not refusal:
                    self.reopen("release_ignored")
        elif attempt.connection is connection:
            connection.carried.refused(attempt.one.playback.number, cause)
            none = BINARY_ENDINGS["release", None]
            self.finish(attempt, BINARY_ENDINGS.get(("release", cause), none), load)

    def _noted(self, connection: HostConnection, message: Frame) -> None:
        attempt, note = self.attempts.get(message.session), message.note
        if attempt is not None and note is not None:
            self.side.callbacks.noted(attempt.one, *note)

    def _ponged(self, connection: HostConnection, message: Frame) -> None:
        probe = connection.probes.pop(message.session, None)
        if probe is not None:
            probe.timer.cancel()
            ending = Ending.SERVED if message.cause == 1 else Ending.ERROR
            load = message.load(self.side.wired.report)
            self.side.callbacks.probed(self.number, ending, max(0, self.side.now() - probe.began), load)
        if connection.state == "leaving":
            connection.retire()

    # Tests.

    def probe(self, session: int) -> None:
        connections = self.open_connections()
        if connections:
            self._probe_on(
                min(connections, key=lambda connection: len(connection.out)), session, self.side.now()
            )
        elif self.side.room() or self.connecting:
            self.probes.append((session, self.side.now()))
            if not self.connecting:
                self.dial()
        else:
            self.side.later(0, lambda: self.side.callbacks.probed(self.number, Ending.MOOT, 0, api.Load()))

    def _probe_on(self, connection: HostConnection, session: int, began: int) -> None:
        left = self.side.wired.connect - (self.side.now() - began)
        timer = self.side.later(max(0, left), lambda: self._probe_late(connection, session))
        connection.probes[session] = SentProbe(began, timer)
        connection.write(frames.frame(frames.PING, session, {frames.CAUSE: b"\x01"}))

    def _probe_late(self, connection: HostConnection, session: int) -> None:
        probe = connection.probes.pop(session, None)
        if probe is not None:
            connection.retire()
            took = max(0, self.side.now() - probe.began)
            self.side.callbacks.probed(self.number, Ending.TIMEOUT, took, api.Load())

    def watch(self, now: int) -> None:
        """Called now and then: what is stuck or silent is seen here."""
        for connection in list(self.connections):
            if connection.stuck_since and now - connection.stuck_since >= self.side.wired.connect:
                connection.close("not understood")
        if not self.stands():
            self.last_received = now
            self.reopen_since = 0
        elif not self.connections and not self.connecting:
            # Danger: the list may have dropped it while a connection was still hoped for.
            self.keep_reachable()
        elif now - self.last_received >= SILENT and not self.connecting:
            self.dial()
        elif self.reopen_since:
            self._dial_for_reopen()
        for connection in self.open_connections():
            if not self.fresh(connection, now) and self.spares(connection):
                connection.close("retired")


HANDLERS: dict[int, Callable[[MediaHost, HostConnection, Frame], None]] = {
    frames.ANSWER: MediaHost._answered,
    frames.RELEASE: MediaHost._released,
    frames.NOTE: MediaHost._noted,
    frames.PONG: MediaHost._ponged,
}


class HostsSide:
    """All hosts."""

    def __init__(
        self, wired: Wired, callbacks: HostCallbacks, now: Callable[[], int], events: EventLog
    ) -> None:
        self.wired, self.callbacks, self.now, self.events = wired, callbacks, now, events
        self._connection_names = 0
        self._loop = asyncio.get_running_loop()
        self.hosts: dict[int, MediaHost] = {}
        self.opened = 0
        self.closing = 0  # connections that are closed for writing and still read
        self._sessions = 0
        self._closed = False
        self._turning: list[MediaHost] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch()

    def next_connection_name(self) -> str:
        """The name of a connection in the log."""
        self._connection_names += 1
        return f"h{self._connection_names}"

    def keep(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run this beside the rest."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def later(self, after: int, work: Callable[[], object]) -> asyncio.TimerHandle:
        """Call after so many nanoseconds."""
        return self._loop.call_later(after / 1e9, work)

    def after_reading(self, work: Callable[[], object]) -> None:
        """Call once all has been read that has come in by now."""
        # The loop polls its sockets before the first of the two, and reads them before the second.
        self._loop.call_soon(self._loop.call_soon, work)

    def room(self) -> bool:
        """Whether there is a descriptor for one more connection, if need be that of an idle one elsewhere."""
        if self.opened < self.wired.most:
            return True
        idle = [
            connection
            for host in self.hosts.values()
            for connection in host.connections
            if connection.usable and host.spares(connection)
        ]
        if idle:
            min(idle, key=lambda connection: (bool(connection.sessions), connection.used)).close("retired")
        return bool(idle)

    def listed(self, entries: list[Entry], gone: Callable[[Entry], bool]) -> None:
        """The list has changed so; `turn_away` follows once the decisions know."""
        for entry in entries:
            host = self.hosts.get(entry.number)
            if gone(entry):
                if host is not None:
                    self._turning.append(host)
                    host.dismiss("not listed")
                continue
            if host is None or host.address != entry.address:
                if host is not None:
                    self._turning.append(host)
                    host.dismiss("at another address")
                host = self.hosts[entry.number] = MediaHost(self, entry.number, entry.name, entry.address)
            host.listed = True
            host.draining = entry.standing is Standing.DRAINING
            if host.draining:
                self._turning.append(host)

    def turn_away(self) -> None:
        """Once the decisions have heard of the list: nothing new to hosts that drain or are gone."""
        turning, self._turning = self._turning, []
        for host in turning:
            host.turn_away()
        for number, host in list(self.hosts.items()):
            if not host.listed and not host.attempts and not host.connections and not host.connecting:
                del self.hosts[number]

    def restarted(self, number: int, at: int) -> None:
        """A host has started again: what stood there before is over."""
        host = self.hosts.get(number)
        if host is not None:
            for attempt in [one for one in host.attempts.values() if one.one.sent_at < at]:
                # Danger: what was meant for the warm process may be too much for the cold one.
                unsent = not attempt.written and not attempt.stood
                host.finish(
                    attempt, BINARY_ENDINGS["not sent", None] if unsent else BINARY_ENDS[41], api.Load()
                )

    def open_try(self, one: Try, sent: Sent) -> None:
        """Send a set-up."""
        host = self.hosts.get(one.host)
        if host is None or not host.listed:
            self.callbacks.ended(one, BINARY_ENDINGS["not sent", None], api.Load())
            return
        one.handle = attempt = HostAttempt(one, host, sent)
        host.take(attempt)

    def stands(self, one: Try, sent: Sent) -> None:
        """What an earlier life of this gateway set up."""
        host = self.hosts.get(one.host)
        if host is None:
            self.callbacks.ended(one, BINARY_ENDS[41], api.Load())
            return
        one.handle = host.attempts[sent.session] = attempt = HostAttempt(one, host, sent)
        attempt.stood = True
        host.keep_reachable()

    def close_try(self, one: Try) -> None:
        """The driver has ended the try."""
        if isinstance(one.handle, HostAttempt):
            one.handle.host.give_up(one.handle)

    def change_rung(self, one: Try, rung: int) -> None:
        """Tell the host."""
        attempt = one.handle
        if isinstance(attempt, HostAttempt):
            one.rung = rung
            message = frames.frame(frames.RATE, attempt.session, {frames.RUNG: str(rung).encode()})
            attempt.host.send_on_session(message, CROSSING)

    def probe(self, number: int) -> None:
        """Look after a host."""
        host = self.hosts.get(number)
        if host is None or not host.listed:
            self.later(0, lambda: self.callbacks.probed(number, Ending.NO_CONNECTION, 0, api.Load()))
            return
        self._sessions += 1
        host.probe(self._sessions)

    def close(self) -> None:
        """Close every connection, and dial no more."""
        self._closed = True
        for host in self.hosts.values():
            host.listed = False
            for connection in list(host.connecting):
                connection.drop()
            for connection in list(host.connections):
                connection.close("shutdown")
        for task in self._tasks:
            task.cancel()

    def _watch(self) -> None:
        if self._closed:
            return
        now = self.now()
        for host in list(self.hosts.values()):
            host.watch(now)
        self.later(self.wired.connect, self._watch)
