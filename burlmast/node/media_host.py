"""One host: which connection carries what, what is out or established there, whether it can be reached."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from functools import partial

from burlmast import api, liveness
from burlmast.api import Ending
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.lease import HostLease
from burlmast.node import frames
from burlmast.node.eventlog import session_name
from burlmast.node.frames import Frame
from burlmast.node.host_checks import RELEASE_REPEATED, HostChecks
from burlmast.node.host_connection import HostAttempt, HostConnection, Pool
from burlmast.node.host_messages import HostMessages
from burlmast.node.host_probes import HostProbes

MS = 1_000_000
KEPT_FOR_HUNG_HOST = 4  # connections, any of which it may take for its next release
UNWANTED_AFTER = 100 * MS  # after a request's deadline, when it has been answered
LIST_READINGS = 16  # turns of the loop that a set-up waits for answers of the name server to be read
MESSAGE_PATIENCE = 4  # times the settings' time for a connection, for a message whose bytes go on coming


class MediaHost:
    """One host: its connections, and what is out or stands there."""

    def __init__(self, pool: Pool, number: int, name: str, address: tuple[str, int]) -> None:
        self.pool, self.number, self.name, self.address = pool, number, name, address
        self.in_service, self.draining = True, False
        self.connections: dict[HostConnection, None] = {}
        self.attempts: dict[int, HostAttempt] = {}
        self.waiting: list[HostAttempt] = []  # for a connection
        self.backlog: list[tuple[bytes, int]] = []  # messages on established sessions that wait for one
        self.connecting: dict[HostConnection, None] = {}  # connections that are waited for
        self.late: dict[HostConnection, None] = {}  # those that may come up yet, for what the host repeats
        self.last_received = pool.now()
        self.failures = 0
        self.lease = HostLease(pool.limits.idle)
        self.checks = HostChecks(self)
        self.messages = HostMessages(self)
        self.probes = HostProbes(self)

    # Connections.

    def open_connections(self) -> list[HostConnection]:
        return [
            connection for connection in self.connections if connection.state == "open" and connection.usable
        ]

    def fresh(self, connection: HostConnection, now: int) -> bool:
        """Whether its host does not close it for being idle while something is on its way there."""
        # A set-up that crosses such a close may have run, and an unsafe one is lost.
        idle = self.pool.limits.idle
        return idle <= 0 or now - connection.used < max(idle - self.pool.limits.connect, idle // 2)

    def choose(self, playback: int) -> HostConnection | None:
        """A connection with nothing out on it, so that one spoilt answer costs one set-up.

        Where there is no room for another, the one that carries least. Never one that has carried an earlier
        attempt of the playback, whose answer may come again."""
        now = self.pool.now()
        connections = [
            connection
            for connection in self.open_connections()
            if playback not in connection.carried and self.fresh(connection, now)
        ]
        free = [connection for connection in connections if not connection.out]
        if free:
            return max(free, key=lambda connection: connection.used)
        if self.pool.room() or not connections:
            return None
        least = min(connections, key=lambda connection: len(connection.out))
        return least if len(least.out) < self.pool.limits.streams else None

    def dial(self, wait: int = 0, for_check: bool = False) -> None:
        """Open a connection; `wait` is how long it may take to come up, 0 for the time of the settings."""
        if self.in_service:
            connection = HostConnection(self, for_check)
            self.connecting[connection] = None
            self.pool.opened += 1
            connection.timer = self.pool.later(wait or self.pool.limits.connect, connection.overdue)
            connection.task = self.pool.keep(connection.dial())

    def reopen(self, reason: str) -> None:
        """Open a connection after a release may have been lost: its host repeats it there."""
        self.checks.reopen(reason)

    def suspect(self, connection: HostConnection) -> None:
        """Something went unanswered on this connection."""
        self.checks.suspect(connection)

    def dial_no_more(self) -> None:
        """Give up the dials that nothing waits for any more: connections at hosts are scarce."""
        needed = len(self.waiting) + bool(self.probes.waiting or self.backlog or self.has_sessions())
        for connection in list(self.connecting)[needed:]:
            connection.wait_on() if self.has_sessions() else connection.drop()

    def connected(self, connection: HostConnection) -> None:
        self.connecting.pop(connection, None)
        self.late.pop(connection, None)
        self.connections[connection] = None
        self._log_opened(connection)
        self.checks.connected(connection)
        for message, repeat_within in self.backlog:
            connection.send_on_session(message, repeat_within)
        self.backlog.clear()
        self.probes.connected(connection)
        for leaving in [other for other in self.connections if other.state == "leaving"]:
            leaving.retire()
        # One set-up to a connection; those that came in the meantime have others of their own on the way.
        while self.waiting and (not connection.out or not self.connecting) and connection.state == "open":
            attempt = self.waiting.pop(0)
            if len(connection.out) < self.pool.limits.streams:
                self.send(connection, attempt)
            else:
                self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())

    def _log_opened(self, connection: HostConnection) -> None:
        sessions = sum(1 for _ in self.established())
        if sessions and self.checks.reopen_since:
            self.pool.events.record(
                "host_connection_opened",
                host=self.name,
                connection=connection.name,
                purpose="check" if connection.for_check else "attempt",
                took_ms=(self.pool.now() - connection.dialled_at) // MS,
                sessions=sessions,
            )

    def short_of_descriptors(self) -> None:
        """No connection could be tried: that tells nothing of the host. It is tried again soon."""
        self.pool.callbacks.log_line(f"host {self.name}: no descriptor for a connection")
        self.pool.callbacks.shortage()
        self.probes.end_waiting(Ending.MOOT)
        if not self.connecting:
            self.pool.later(self.pool.limits.connect // 8, self.dial_again)

    def dial_again(self) -> None:
        """For what waits yet, or stands and has no connection."""
        if self.connecting or not (
            self.waiting or self.backlog or (self.has_sessions() and not self.connections)
        ):
            return
        connection = self.choose(self.waiting[0].driver_attempt.playback.number) if self.waiting else None
        if connection is not None:
            self.send(connection, self.waiting.pop(0))
        elif self.pool.room():
            self.dial()

    def drain(self) -> None:
        """Nothing new may go to it: what was not sent goes elsewhere, and probes of one that is gone end."""
        self.return_unwritten()
        if self.in_service:
            return
        self.probes.end_waiting(Ending.NO_CONNECTION)
        for attempt in [each for each in self.attempts.values() if not each.established]:
            if attempt.connection is not None:
                attempt.connection.write(frames.release(attempt.session))
            self.finish(attempt, Ending.BROKEN, api.Load())
        self.keep_reachable()

    def return_unwritten(self) -> None:
        """What has been decided for this host and not written is decided anew."""
        for attempt in [each for each in self.attempts.values() if not (each.written or each.established)]:
            self._return(attempt, "host_changed")

    def _return(self, attempt: HostAttempt, reason: str) -> None:
        """Nothing of it has been written: it is decided anew."""
        if self.attempts.get(attempt.session) is attempt:
            self.pool.events.record(
                "attempt_unsent",
                session=session_name(attempt.session),
                attempt=attempt.driver_attempt.place,
                host=self.name,
                reason=reason,
                waited_ms=(self.pool.now() - attempt.driver_attempt.decided_at) // MS,
            )
            self.forget(attempt)
            self.pool.callbacks.unsent(attempt.driver_attempt)

    def restarted(self, started_at: int) -> None:
        """The host has started again: what went to its earlier process is over.

        It is released first, since the new process may have got it and the request may be sent elsewhere."""
        written = [each for each in self.attempts.values() if each.written]
        over = [attempt for attempt in written if attempt.reached_before(started_at)]
        self.pool.events.record(
            "host_restarted",
            host=self.name,
            started_ms_ago=(self.pool.now() - started_at) // MS,
            ended=len(over),
            kept=len(written) - len(over),
            unwritten=len(self.attempts) - len(written),
        )
        for attempt in over:
            self._release_at_origin(attempt)
            self.finish(attempt, BINARY_ENDS[41], api.Load())

    def _release_at_origin(self, attempt: HostAttempt) -> None:
        """Release it behind its own set-up; what is out on no connection is released by `lost`."""
        origin, message = attempt.origin, frames.release(attempt.session)
        if origin is not None and origin.usable:
            origin.send_on_session(message, RELEASE_REPEATED, gives_up=attempt.session)
        elif attempt.established:
            self.checks.release_sent(message, self.send_on_session(message, RELEASE_REPEATED))

    def remove(self, why: str) -> None:
        """The list has dropped it, or has it elsewhere: nothing is waited for at this address any more."""
        self.in_service = False
        # The address may be another host's by now, and what comes up there would carry what waits.
        for connection in [*self.connecting, *self.late]:
            connection.drop()
        # A machine that goes for good says nothing, and its connections stay open.
        self.cut(why)

    def unreachable(self, refused: bool, for_check: bool = False) -> None:
        """No connection came up; where it was refused the process is dead, and what stood there with it."""
        self.failures += 1
        if refused:
            self.checks.refused()
        if self.connecting:  # the others say what becomes of what waits
            waiting = [self.waiting.pop(0)] if self.waiting and not for_check else []
        else:
            waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.finish(attempt, BINARY_ENDINGS["no connection", None], api.Load())
        if not self.connecting and not self.open_connections():
            self.probes.end_waiting(Ending.NO_CONNECTION)
        silent = liveness.is_gone(self.pool.now(), self.last_received, self.failures)
        lost = not self.open_connections() and self.failures >= liveness.CHECKS_FAILED
        # A host that drains refuses connections and plays on, and the list may say so late: a refusal shows
        # that its process is dead where a connection has been lost.
        dead = refused and bool(self.checks.reopen_since or not self.open_connections())
        if not self.draining and (dead or silent or lost):
            self.cut("refused" if refused else "silent")

    def cut(self, why: str) -> None:
        """What stood here is over."""
        standing = list(self.established())
        if standing:
            self.pool.callbacks.log_line(f"host {self.name}: {why}, {len(standing)} playbacks cut")
        self.backlog.clear()
        for attempt in standing:
            if why == "silent" and self.connections:
                self._release_at_host(attempt)  # it may only hang
            elif not self.in_service:
                # What answers on its connections may be another process, which knows nothing of its going.
                self.send_on_session(frames.release(attempt.session), 0)
            self.finish(attempt, BINARY_ENDS[41], api.Load())

    def lost(self, connection: HostConnection, why: str) -> None:
        self.pool.opened -= 1
        out, connection.out = connection.out, {}
        ending = BINARY_ENDINGS.get((why, None), Ending.BROKEN)
        for attempt in out.values():
            attempt.connection = None
            if attempt.written:
                self._release_unwanted(attempt)
            self.finish(attempt, ending if attempt.written else BINARY_ENDINGS["not sent", None], api.Load())
        self.probes.lost(connection)
        lately, connection.sent_lately = connection.sent_lately, deque()
        for sent in lately if why == "connection lost" else ():
            if self.pool.now() < sent.repeat_until and sent.gives_up not in self.attempts:
                self.send_on_session(sent.message, sent.repeat_until - self.pool.now())
        if why in ("connection lost", "not understood"):
            # A process that dies may also reset one connection at once and another seconds later.
            self.reopen(why.replace(" ", "_"))
        self.keep_reachable()

    def expects_end_on(self, connection: HostConnection) -> bool:
        """Whether the host may write a session's release on this connection and on no other that is open.

        What it repeats on a connection that is opened comes first there, perhaps once it hangs no longer."""
        if connection.sessions or (not connection.received_any and self._keeps(connection)):
            return True
        others = any(other.usable for other in self.connections if other is not connection)
        return not others and self.has_sessions()

    def _keeps(self, connection: HostConnection) -> bool:
        """Whether it is one of the few that are kept for a host that hangs."""
        kept = [each for each in self.connections if each.state == "leaving" and not each.received_any]
        return self.has_sessions() and connection in kept[:KEPT_FOR_HUNG_HOST]

    def established(self) -> Iterator[HostAttempt]:
        """The attempts whose sessions stand here."""
        return (each for each in self.attempts.values() if each.driver_attempt.established)

    def ended_by_host(self) -> None:
        """The host has closed a connection in order: it lives."""
        self.last_received = self.pool.now()

    def end_unconfirmed(self, attempt: HostAttempt) -> None:
        """A session whose release may have been lost is ended, towards its host and its viewer."""
        origin, now = attempt.lease.origin, self.pool.now()
        self.pool.events.record(
            "session_lease_expired",
            session=session_name(attempt.session),
            host=self.name,
            connection=attempt.origin.name if attempt.origin is not None else "",
            connection_state=origin.state.name.lower() if origin is not None else "",
            established_ms=(now - attempt.lease.established_at) // MS,
            unconfirmed_ms=(now - self.lease.confirmed_at(attempt.lease)) // MS,
            links=",".join(link.state.name.lower() for link in self.lease.links),
        )
        self._release_at_host(attempt)
        self.finish(attempt, BINARY_ENDS[41], api.Load())

    def has_sessions(self) -> bool:
        """Whether something plays here."""
        return any(True for _ in self.established())

    def keep_reachable(self) -> None:
        """What stands here is told of on any connection: there has to be one."""
        if self.has_sessions():
            if not self.connections and not self.connecting:
                self.dial()
                if not self.in_service:
                    self.cut("not listed")
        elif not self.in_service and not self.attempts:
            for connection in list(self.connections):
                connection.close("retired")

    # Set-ups.

    def take(self, attempt: HostAttempt) -> None:
        self.attempts[attempt.session] = attempt
        connection = self.choose(attempt.driver_attempt.playback.number)
        if connection is not None:
            self.send(connection, attempt)
        elif self.pool.room() or self.connecting:
            self.waiting.append(attempt)
            if self.pool.room():
                self.dial()
        else:
            self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())

    def send(self, connection: HostConnection, attempt: HostAttempt) -> None:
        """Send it there, once what its viewer and the name server have written by now has been read."""
        attempt.connection = attempt.origin = connection
        connection.out[attempt.session] = attempt
        if self.pool.callbacks.unread(attempt.driver_attempt):
            self.pool.after_reading(lambda: self._write_when_list_is_read(connection, attempt, LIST_READINGS))
        else:
            self._write_when_list_is_read(connection, attempt, LIST_READINGS)

    def _write_when_list_is_read(
        self, connection: HostConnection, attempt: HostAttempt, readings: int
    ) -> None:
        """The answer that says that this host drains may lie unread in its socket, as after a standstill: the
        set-up then goes elsewhere by `drain`. One answer is read in a turn of the loop."""
        if readings and self.pool.callbacks.list_unread():
            self.pool.after_reading(lambda: self._write_when_list_is_read(connection, attempt, readings - 1))
        else:
            self.write(connection, attempt)

    def write(self, connection: HostConnection, attempt: HostAttempt) -> None:
        one, now = attempt.driver_attempt, self.pool.now()
        if attempt.connection is not connection or not self.pool.callbacks.wanted(one):
            return  # it has ended
        if now >= one.due:
            self.finish(attempt, BINARY_ENDINGS["not sent", None], api.Load())
            return
        message = self._set_up_message(attempt, now)
        if not self.pool.callbacks.may_write(one):
            self._return(attempt, "no_longer_allowed")
            return
        connection.carried.add(one.playback.number)
        self.pool.events.trace(
            "attempt_sent",
            session_name(attempt.session),
            attempt=one.place,
            host=self.name,
            connection=connection.name,
        )
        connection.write(message)

    @staticmethod
    def _set_up_message(attempt: HostAttempt, now: int) -> bytes:
        """The set-up as its host gets it. What fits in a viewer's line fits in it."""
        _, plan, title, description = attempt.sent
        parameters = {
            frames.CLASS: plan,
            frames.WAIT: str((attempt.driver_attempt.due - now) // MS).encode(),
            frames.TITLE: title,
            frames.RUNG: str(attempt.driver_attempt.rung).encode(),
            frames.DESCRIPTION: description,
        }
        return frames.frame(frames.SETUP, attempt.session, parameters)

    def forget(self, attempt: HostAttempt) -> None:
        if self.attempts.get(attempt.session) is attempt:
            del self.attempts[attempt.session]
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            self.dial_no_more()
        attempt.driver_attempt.handle = None  # or the two would hold each other until the collector comes
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
            self.pool.events.trace(
                "session_ended" if attempt.established else "attempt_ended",
                session_name(attempt.session),
                attempt=attempt.driver_attempt.place,
                host=self.name,
                cause=ending.value.replace(" ", "_"),
            )
            self.forget(attempt)
            self.pool.callbacks.ended(attempt.driver_attempt, ending, load)

    def give_up(self, attempt: HostAttempt) -> None:
        """The driver has ended the try."""
        connection = attempt.connection
        late = self.pool.now() >= attempt.driver_attempt.due
        if connection is not None and attempt.written:
            # Written first: a connection that is leaving is closed once nothing is out on it.
            message = frames.release(attempt.session)
            connection.send_on_session(message, RELEASE_REPEATED, gives_up=attempt.session)
        self.forget(attempt)
        if connection is not None and attempt.written:
            if late:
                # What answers nothing may answer nothing else on that connection either.
                connection.retire()
                self.suspect(connection)
        elif attempt.established:
            self._release_at_host(attempt)

    def _release_at_host(self, attempt: HostAttempt) -> None:
        message = frames.release(attempt.session)
        self.checks.release_sent(message, self.send_on_session(message, RELEASE_REPEATED))

    def _release_unwanted(self, attempt: HostAttempt) -> None:
        """A host may establish what was out on a connection that is lost, before it learns of the loss: it is
        released there once its request is over and cannot be sent there again."""
        due = attempt.driver_attempt.playback.abandon + UNWANTED_AFTER
        self.pool.later(max(0, due - self.pool.now()), partial(self._release_unless_known, attempt.session))

    def _release_unless_known(self, session: int) -> None:
        if session not in self.attempts and self.in_service:
            message = frames.release(session)
            self.checks.release_sent(message, self.send_on_session(message, RELEASE_REPEATED))

    def spares(self, connection: HostConnection) -> bool:
        """Whether it carries nothing, and is not the last that could tell of what stands here."""
        return (
            not connection.out
            and not connection.probes
            and not (len(self.connections) == 1 and self.has_sessions())
        )

    def send_on_session(self, message: bytes, repeat_within: int) -> HostConnection | None:
        """Send what concerns an established session, on any connection; which one, if any was open."""
        connections = self.open_connections() or [
            connection
            for connection in self.connections
            if connection.state == "leaving" and connection.usable
        ]
        if connections:
            connections[0].send_on_session(message, repeat_within)
            return connections[0]
        if self.in_service:
            self.backlog.append((message, repeat_within))
            if not self.connecting:
                self.dial()
        return None

    def received(self, connection: HostConnection, message: Frame) -> None:
        """One message has come."""
        self.last_received = self.pool.now()
        self.failures = 0
        self.messages.received(connection, message)

    def probe(self, session: int) -> None:
        """Probe it under this id."""
        self.probes.send(session)

    def watch(self, now: int) -> None:
        """Called now and then: what is stuck or silent is seen here."""
        for connection in list(self.connections):
            connect = self.pool.limits.connect
            silent = connection.stuck_since and now - connection.stuck_since >= connect
            endless = (
                connection.partial_since and now - connection.partial_since >= MESSAGE_PATIENCE * connect
            )
            if silent or endless:
                connection.close("not understood")
        for connection in [each for each in self.connections if each.state == "leaving"]:
            connection.retire()
        self.checks.watch(now)
        for connection in self.open_connections():
            if connection.received_any and not self.fresh(connection, now) and self.spares(connection):
                connection.close("retired")
