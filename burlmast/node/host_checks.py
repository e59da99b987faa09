"""Sees to it that the releases of a host's sessions arrive: checks, and connections opened and replaced.

What is due is decided in `burlmast.liveness`; this module carries it out for one host.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import NamedTuple, Protocol

from burlmast import lease, liveness
from burlmast.node import frames
from burlmast.node.host_connection import HostAttempt, HostConnection, Pool

UNUSED_FOR = 2_000 * liveness.MS
STOPPED = 1_000 * liveness.MS  # between two calls of `watch`, which are regular: the process was stopped
READ_AFTER_STOP = 500 * liveness.MS  # for what has come in the meantime to be read
REFUSAL_REMEMBERED = 10_000 * liveness.MS  # how long a host that refused a connection may be draining
REOPEN_PATIENCE = 4  # times the settings' time for a connection, where others carry the requests
RELEASE_REPEATED = 8_000 * liveness.MS  # how long the release that a gateway sends may be repeated
CROSSED = 200 * liveness.MS
RELEASE_REPEAT_AFTER = tuple(after * liveness.MS for after in (300, 1_000, 2_500, 6_000))


class SentCheck(NamedTuple):
    """A check on its way."""

    connection: HostConnection
    timer: asyncio.TimerHandle
    sent_at: int  # nanoseconds


class CheckedHost(Protocol):
    """A host as its checks see it."""

    name: str
    pool: Pool
    draining: bool
    lease: lease.HostLease
    last_received: int
    failures: int
    connections: dict[HostConnection, None]
    connecting: dict[HostConnection, None]

    def open_connections(self) -> list[HostConnection]:
        """Those that something new may be written on."""

    def established(self) -> Iterable[HostAttempt]:
        """The attempts whose sessions stand."""

    def dial(self, wait: int = 0, for_check: bool = False) -> None:
        """Open a connection; `wait` is how long it may take to come up, 0 for the time of the settings."""

    def keep_reachable(self) -> None:
        """Where sessions stand there has to be a connection."""

    def cut(self, why: str) -> None:
        """What stands there is over."""

    def end_unconfirmed(self, attempt: HostAttempt) -> None:
        """A session whose release may have been lost is ended, towards its host and its viewer."""


class HostChecks:
    """The checks of one host."""

    def __init__(self, host: CheckedHost) -> None:
        self.host = host
        self.reopen_since = 0  # since when a connection that is newer than this is needed; 0: none is
        self._pings = False  # whether that connection carries a check
        self._watched_at = self._resumed_at = 0
        self._failed_at = 0  # when a check of the host last failed
        self._refused_at = 0  # when the host last refused a connection; 0: never
        self._checked_at = 0
        self._replies: dict[int, SentCheck] = {}  # the checks that are out
        self._releases: list[tuple[bytes, int, HostConnection | None]] = []  # sent, when, and where

    # New connections.

    def reopen(self, reason: str, pings: bool = False, patient: bool = True) -> None:
        """Open a connection after a release may have been lost: its host repeats it there.

        `pings`: it carries a check; `patient`: it may come up late where others carry the requests."""
        if not any(True for _ in self.host.established()):
            return
        if not self.reopen_since:
            self.host.pool.events.record("host_reopen", host=self.host.name, reason=reason)
        self.reopen_since = self.host.pool.now()
        self._pings |= pings
        self._dial(patient)

    def _dial(self, patient: bool = True) -> None:
        pool = self.host.pool
        if self.host.connecting or not pool.room():
            return
        late = REOPEN_PATIENCE * pool.limits.connect if patient and self.host.open_connections() else 0
        self.host.dial(late, for_check=True)

    def connected(self, connection: HostConnection) -> None:
        """A connection has come up: what its host could not deliver before comes on it."""
        now = self.host.pool.now()
        if now - self.host.last_received < liveness.HOST_SILENT:
            self.host.failures = 0  # a host that says nothing may still take connections
        self._replace_quiet()
        self._repeat_releases(connection, now)
        if connection.dialled_at < self.reopen_since:
            return
        self.reopen_since = 0
        pings, self._pings = self._pings, False
        if pings:
            self._ping(connection)

    def refused(self) -> None:
        """The host has refused a connection: perhaps it drains, and the list says so later."""
        self._refused_at = self.host.pool.now()

    # Leases.

    def _leases(self) -> list[lease.SessionLease]:
        return [attempt.lease for attempt in self.host.established()]

    def _replaceable(self, now: int) -> bool:
        """Whether open connections may be replaced by new ones: a host that drains refuses those."""
        host = self.host
        refuses = self._refused_at and now - self._refused_at < REFUSAL_REMEMBERED
        return not (host.draining or refuses)

    def _replace_quiet(self) -> None:
        """Where nothing may be checked, connections that are quiet are replaced: their host repeats what it
        wrote there once it sees them closed."""
        for connection in self._to_replace(self.host.pool.now()):
            connection.replace()

    def _to_replace(self, now: int) -> list[HostConnection]:
        if self.host.pool.limits.probes or not self._replaceable(now):
            return []
        links = self.host.lease.to_check(self._leases(), now)
        return [each for each in self.host.connections if each.link in links]

    def _close_unused(self, now: int) -> None:
        """A connection that was opened for what its host repeats has served once that may have come.

        Where the end of a session may come on any connection none is closed: whether it came there would be
        unknown from then on."""
        if any(self.host.lease.depends_on_all(each) for each in self._leases()):
            return
        for connection in list(self.host.connections):
            unused = connection.for_check and not connection.carried and not connection.sessions
            old = now - connection.dialled_at >= UNUSED_FOR
            if unused and old and any(other.carried for other in self.host.open_connections()):
                connection.replace()

    def _renew(self, now: int) -> None:
        """See that what confirms the sessions comes in time, and that a host may repeat what did not."""
        self._close_unused(now)
        replace = self.host.pool.room() and self._to_replace(now)
        if replace or self.host.lease.repeat_due(self._leases(), now):
            self._dial()

    def _check(self, now: int) -> None:
        checked = {check.connection for check in self._replies.values()}
        due = self.host.lease.to_check(self._leases(), now)
        for connection in self.host.connections:
            if connection.link in due and connection not in checked:
                self._ping(connection)

    def _end_expired(self, now: int) -> None:
        if now - self._resumed_at < READ_AFTER_STOP:
            return
        for attempt in list(self.host.established()):
            if self.host.lease.expired(attempt.lease, now):
                self.host.end_unconfirmed(attempt)

    # Checks.

    def suspect(self, connection: HostConnection) -> None:
        """Something went unanswered on it."""
        now = self.host.pool.now()
        if not connection.suspect_since and connection.sessions:
            self.host.pool.events.record(
                "host_connection_suspect",
                host=self.host.name,
                connection=connection.name,
                silent_ms=(now - connection.received_at) // liveness.MS,
                sessions=len(connection.sessions),
            )
        connection.suspect_since = connection.suspect_since or now
        if connection.sessions and now - self._checked_at >= liveness.SUSPECT_AGAIN:
            self._checked_at = now
            self._ping(connection)  # a slow answer is no sign that the connection passes nothing
            self.reopen("unanswered")

    def _ping(self, connection: HostConnection) -> None:
        pool = self.host.pool
        if not pool.limits.probes:
            return
        session = pool.next_probe()
        timer = pool.later(liveness.CHECK_REPLY, lambda: self._not_answered(session))
        self._replies[session] = SentCheck(connection, timer, pool.now())
        connection.write(frames.frame(frames.PING, session, {frames.CAUSE: b"\x00"}))

    def answered(self, session: int, connection: HostConnection) -> None:
        """A reply has come on this connection, perhaps to a check."""
        check = self._replies.get(session)
        if check is not None and check.connection is connection:
            del self._replies[session]
            check.timer.cancel()
            connection.replied(check.sent_at)

    def _not_answered(self, session: int) -> None:
        connection = self._replies.pop(session).connection
        host, now = self.host, self.host.pool.now()
        if now - connection.received_at >= liveness.CHECK_REPLY:
            self.suspect(connection)
        if now - max(host.last_received, self._failed_at) < liveness.CHECK_REPLY:
            return
        self._failed_at = now
        host.failures += 1
        host.pool.events.record("host_check_unanswered", host=host.name, failures=host.failures)
        if not host.draining and liveness.is_gone(now, host.last_received, host.failures):
            host.cut("silent")

    # Now and then.

    def watch(self, now: int) -> None:
        """Called now and then."""
        if now - self._watched_at >= STOPPED and now - self._resumed_at >= lease.LEASE:
            self._resumed_at = now
        self._watched_at = now
        self.host.lease.forget_ended(now)
        if not any(True for _ in self.host.established()):
            self.host.last_received = now
            self.reopen_since = 0
            return
        self._close_those_behind()
        self._check(now)
        if not self.host.connections and not self.host.connecting:
            # The list may have dropped it while a connection was still hoped for.
            self.host.keep_reachable()
        elif self._host_silent(now):
            self.reopen("silent", pings=True, patient=False)
        elif self.reopen_since:
            self._dial()
        else:
            self._renew(now)
        self._end_expired(now)

    def _host_silent(self, now: int) -> bool:
        """Whether the host has answered nothing, a check of an open connection among it."""
        unanswered = bool(self.host.failures) or not self.host.open_connections()
        return unanswered and not self._replies and liveness.is_silent(now, self.host.last_received)

    def _close_those_behind(self) -> None:
        for connection in [each for each in self.host.connections if each.sessions]:
            others = [
                other.heard_at for other in self.host.connections if other.carried and other is not connection
            ]
            if not liveness.is_behind(
                connection.received_at, connection.suspect_since, max(others, default=0)
            ):
                continue
            if self.host.pool.limits.probes and connection.suspect_since <= connection.received_at:
                # It may only be idle: its sessions would depend on others without need.
                self._check_behind(connection)
            else:
                self.host.pool.events.record(
                    "host_connection_behind",
                    host=self.host.name,
                    connection=connection.name,
                    sessions=len(connection.sessions),
                )
                connection.replace()

    def _check_behind(self, connection: HostConnection) -> None:
        """Others carry bytes and it does not: it is asked."""
        now = self.host.pool.now()
        link = connection.link
        on_it = [each for each in self._leases() if each.origin is link]
        checked = any(check.connection is connection for check in self._replies.values())
        if link is None or not on_it or checked:
            return
        if now - max(link.confirmed_at, link.opened_at) >= liveness.CONNECTION_BEHIND:
            self._ping(connection)

    # Releases that the gateway sends.

    def release_sent(self, message: bytes, connection: HostConnection | None) -> None:
        """A session's release was written there; nothing says that it has arrived."""
        now = self.host.pool.now()
        self._releases = [each for each in self._releases if now - each[1] < RELEASE_REPEATED]
        self._releases.append((message, now, connection))
        for after in RELEASE_REPEAT_AFTER:
            self.host.pool.later(after, partial(self._repeat_release, message, now, connection))

    def _repeat_release(self, message: bytes, sent_at: int, first: HostConnection | None) -> None:
        connections = self.host.open_connections()
        # Another one, if there is one; else the first again, and a new one if it is silent.
        chosen = max(connections, key=lambda each: (each is not first, each.received_at), default=None)
        if chosen is not None:
            chosen.write(message)
        # What was read just after the release was sent may have been on its way long before.
        silent = chosen is None or (chosen is first and chosen.received_at < sent_at + CROSSED)
        if silent and not self.host.connecting and self.host.pool.room():
            self.host.dial(for_check=True)

    def _repeat_releases(self, connection: HostConnection, now: int) -> None:
        for message, at, first in self._releases:
            if now - at < RELEASE_REPEATED and first is not None and first is not connection:
                connection.write(message)
