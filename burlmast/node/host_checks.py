"""Sees to it that the releases of a host's sessions arrive: checks, and connections opened and replaced.

What is due is decided in `burlmast.liveness`; this module carries it out for one host.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import Protocol

from burlmast import liveness
from burlmast.node import frames
from burlmast.node.eventlog import session_name
from burlmast.node.host_connection import HostAttempt, HostConnection, Pool

REOPEN_PATIENCE = 4  # times the settings' time for a connection, where others carry the requests
RELEASE_REPEATED = 8_000 * liveness.MS  # how long the release that a gateway sends may be repeated
RELEASE_REPEAT_AFTER = tuple(after * liveness.MS for after in (300, 1_000, 2_500, 6_000))


class CheckedHost(Protocol):
    """A host as its checks see it."""

    name: str
    pool: Pool
    draining: bool
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


class HostChecks:
    """The checks of one host."""

    def __init__(self, host: CheckedHost) -> None:
        self.host = host
        self.reopen_since = 0  # since when a connection that is newer than this is needed; 0: none is
        self._replaces = False  # whether that connection takes the place of the older ones
        self._pings = False  # whether it carries a check
        self._checked_at = 0
        self._replies: dict[int, asyncio.TimerHandle] = {}  # timers of the checks that are out
        self._releases: list[tuple[bytes, int, HostConnection | None]] = []  # sent, when, and where

    # New connections.

    def reopen(self, reason: str, replaces: bool = False, pings: bool = False, patient: bool = True) -> None:
        """Open a connection after a release may have been lost: its host repeats it there.

        `replaces`: it takes the place of the older ones; `pings`: it carries a check; `patient`: it may come
        up late where others carry the requests."""
        if not any(True for _ in self.host.established()):
            return
        if not self.reopen_since:
            self.host.pool.events.record("host_reopen", host=self.host.name, reason=reason)
        self.reopen_since = self.host.pool.now()
        self._replaces |= replaces
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
        for attempt in self.host.established():
            attempt.verified_at = now
        self._repeat_releases(connection, now)
        if connection.dialled_at < self.reopen_since:
            return
        self.reopen_since = 0
        pings, self._pings = self._pings, False
        replaces, self._replaces = self._replaces, False
        if pings:
            self._ping(connection)
        connection.replaces_others = replaces

    def received(self, connection: HostConnection) -> None:
        """A host has written on a connection."""
        if connection.replaces_others:
            connection.replaces_others = False
            for other in list(self.host.connections):
                if other.sessions and other.dialled_at < connection.dialled_at:
                    other.replace()

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
        self.host.pool.verification.note_trouble(now)
        if connection.sessions and now - self._checked_at >= liveness.SUSPECT_AGAIN:
            self._checked_at = now
            self.reopen("unanswered")

    def _ping(self, connection: HostConnection) -> None:
        pool = self.host.pool
        if not pool.limits.probes:
            self.host.last_received = pool.now()  # that it takes a connection has to do for a sign of life
            return
        session = pool.next_probe()
        self._replies[session] = pool.later(liveness.CHECK_REPLY, lambda: self._not_answered(session))
        connection.write(frames.frame(frames.PING, session, {frames.CAUSE: b"\x00"}))

    def answered(self, session: int) -> bool:
        """A reply has come; whether it was one to a check."""
        timer = self._replies.pop(session, None)
        if timer is not None:
            timer.cancel()
        return timer is not None

    def _not_answered(self, session: int) -> None:
        del self._replies[session]
        host, now = self.host, self.host.pool.now()
        if now - host.last_received < liveness.CHECK_REPLY:
            return
        host.failures += 1
        host.pool.events.record("host_check_unanswered", host=host.name, failures=host.failures)
        if not host.draining and liveness.is_gone(now, host.last_received, host.failures):
            host.cut("silent")

    # Now and then.

    def watch(self, now: int) -> None:
        """Called now and then."""
        established = list(self.host.established())
        if not established:
            self.host.last_received = now
            self.reopen_since = 0
            return
        self._close_those_behind()
        if not self.host.connections and not self.host.connecting:
            # The list may have dropped it while a connection was still hoped for.
            self.host.keep_reachable()
        elif liveness.is_silent(now, self.host.last_received) and not self._replies:
            self.reopen("silent", replaces=True, pings=True, patient=False)
        elif self.reopen_since:
            self._dial()
        else:
            self._verify(established, now)

    def _close_those_behind(self) -> None:
        for connection in [each for each in self.host.connections if each.sessions]:
            others = [other.heard_at for other in self.host.connections if other is not connection]
            if liveness.is_behind(connection.received_at, connection.suspect_since, max(others, default=0)):
                self.host.pool.events.record(
                    "host_connection_behind",
                    host=self.host.name,
                    connection=connection.name,
                    sessions=len(connection.sessions),
                )
                self.host.pool.verification.note_trouble(self.host.pool.now())
                connection.replace()

    def _verify(self, established: list[HostAttempt], now: int) -> None:
        due = [
            attempt
            for attempt in established
            if liveness.verification_due(now, attempt.verified_at, attempt.connection_lost_at)
        ]
        if not due:
            return
        unanchored = [attempt for attempt in due if attempt.connection_lost_at]
        if unanchored or self.host.pool.verification.spend(now):
            session = session_name((unanchored or due)[0].session)
            self.host.pool.events.trace("session_verified", session, host=self.host.name, sessions=len(due))
            self.reopen("unverified", replaces=True)

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
        if connections:
            # Another one, if there is one; else the first again, and one that replaces it if it is silent.
            chosen = max(connections, key=lambda each: (each is not first, each.received_at))
            chosen.write(message)
            silent = chosen is first and chosen.received_at < sent_at and not self.host.connecting
            if silent and self.host.pool.verification.spend_always():
                self.host.dial(for_check=True)

    def _repeat_releases(self, connection: HostConnection, now: int) -> None:
        for message, at, first in self._releases:
            if now - at < RELEASE_REPEATED and first is not None and first is not connection:
                connection.write(message)
