"""What a host's messages do to its attempts and sessions: answers, refusals, releases, notes, replies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from burlmast import api
from burlmast.api import Ending
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.lease import MS
from burlmast.node import frames
from burlmast.node.eventlog import session_name
from burlmast.node.frames import Frame
from burlmast.node.host_checks import HostChecks
from burlmast.node.host_connection import HostAttempt, HostConnection, Pool
from burlmast.node.host_probes import HostProbes

ENDS_ESTABLISHED = frozenset((16, 31))  # causes that only an established session gets
UNKNOWN_REMEMBERED = 10_000 * MS  # releases of sessions that may be handed over yet
UNKNOWN_MOST = 256


class MessagingHost(Protocol):
    """A host as its messages see it."""

    name: str
    pool: Pool
    checks: HostChecks
    probes: HostProbes
    attempts: dict[int, HostAttempt]
    connections: dict[HostConnection, None]

    def forget(self, attempt: HostAttempt) -> None:
        """Nothing more is expected of the attempt."""

    def finish(self, attempt: HostAttempt, ending: Ending, load: api.Load) -> None:
        """The attempt, or the session that came of it, has ended."""

    def reopen(self, reason: str) -> None:
        """A release may have been lost."""


class HostMessages:
    """The messages of one host."""

    def __init__(self, host: MessagingHost) -> None:
        self.host = host
        self._unknown: dict[int, tuple[int | None, int]] = {}  # by session: a release's cause, and when

    def received(self, connection: HostConnection, message: Frame) -> None:
        """One message has come."""
        handler = HANDLERS.get(message.kind)
        if handler is not None:
            handler(self, connection, message)

    def _answered(self, connection: HostConnection, message: Frame) -> None:
        attempt = connection.out.pop(message.session, None)
        if attempt is None:
            return  # a second copy, or one ahead of its set-up
        attempt.connection = None
        connection.replied(attempt.written_at)
        if message.description is None:
            self.host.forget(attempt)
            self.host.pool.callbacks.log_line(f"host {self.host.name}: an answer without a description")
            connection.write(frames.release(attempt.session))
            self.host.pool.callbacks.ended(
                attempt.driver_attempt, BINARY_ENDINGS["not understood", None], api.Load()
            )
        else:
            attempt.establish(message.description)
            connection.sessions.add(attempt.session)
            self.host.pool.events.trace(
                "session_established",
                session_name(attempt.session),
                attempt=attempt.driver_attempt.place,
                host=self.host.name,
                connection=connection.name,
            )
            self.host.pool.callbacks.flowing(attempt.driver_attempt)
        if connection.state == "leaving":
            connection.retire()

    def _released(self, connection: HostConnection, message: Frame) -> None:
        attempt = self.host.attempts.get(message.session)
        if attempt is None:
            self._remember_unknown(message)
            self._ignore_release(connection, message, "unknown_session")
        elif attempt.driver_attempt.established:
            self._session_released(attempt, connection, message)
        elif attempt.connection is connection:
            self._refused(attempt, connection, message)
        else:
            if message.cause in ENDS_ESTABLISHED:  # its answer may be held back on the other connection
                attempt.doubted_at = attempt.doubted_at or self.host.pool.now()
            self._ignore_release(connection, message, "attempt_out_elsewhere")

    def _session_released(self, attempt: HostAttempt, connection: HostConnection, message: Frame) -> None:
        # What answers an earlier attempt may come twice, late; a session that was established goes on.
        cause = message.cause
        refusal = cause not in BINARY_ENDS and ("release", cause) in BINARY_ENDINGS
        earlier = (
            attempt.origin in self.host.connections
            and connection is not attempt.origin
            and connection.carried.may_repeat(attempt.driver_attempt.playback.number, cause)
        )
        if refusal or earlier:
            self._ignore_release(connection, message, "refusal" if refusal else "earlier_attempt")
            if not refusal:
                attempt.lease.doubted_at = attempt.lease.doubted_at or self.host.pool.now()
                self.host.reopen("release_ignored")
            return
        if connection is not attempt.origin:
            self.host.pool.events.record(
                "release_elsewhere",
                session=session_name(message.session),
                host=self.host.name,
                connection=connection.name,
                origin=attempt.origin.name if attempt.origin is not None else "",
                origin_state=attempt.origin.state if attempt.origin is not None else "",
            )
        load = message.load(self.host.pool.limits.report)
        self.host.finish(attempt, BINARY_ENDS.get(cause, BINARY_ENDS[None]), load)

    def _remember_unknown(self, message: Frame) -> None:
        """It may be handed over yet, after its end."""
        if message.cause in BINARY_ENDS:
            now = self.host.pool.now()
            self._unknown = {
                session: (cause, at)
                for session, (cause, at) in list(self._unknown.items())[-UNKNOWN_MOST:]
                if now - at < UNKNOWN_REMEMBERED
            }
            self._unknown[message.session] = message.cause, now

    def handed_over(self, attempt: HostAttempt) -> None:
        """A session is known from now on; whether it has ended by then was read before."""
        cause, at = self._unknown.pop(attempt.session, (None, 0))
        if at and self.host.pool.now() - at < UNKNOWN_REMEMBERED:
            self.host.pool.events.record(
                "release_before_hand_over", session=session_name(attempt.session), host=self.host.name
            )
            self.host.finish(attempt, BINARY_ENDS[cause], api.Load())

    def _refused(self, attempt: HostAttempt, connection: HostConnection, message: Frame) -> None:
        connection.replied(attempt.written_at)
        connection.carried.refused(attempt.driver_attempt.playback.number, message.cause)
        ending = BINARY_ENDINGS.get(("release", message.cause), BINARY_ENDINGS["release", None])
        self.host.finish(attempt, ending, message.load(self.host.pool.limits.report))

    def _ignore_release(self, connection: HostConnection, message: Frame, reason: str) -> None:
        session = session_name(message.session)
        fields = {
            "host": self.host.name,
            "connection": connection.name,
            "cause": message.cause,
            "reason": reason,
        }
        if reason == "unknown_session":  # a host repeats releases
            self.host.pool.events.trace("release_ignored", session, **fields)
        else:
            self.host.pool.events.record("release_ignored", session=session, **fields)

    def _noted(self, connection: HostConnection, message: Frame) -> None:
        attempt, note = self.host.attempts.get(message.session), message.note
        if attempt is not None and note is not None:
            self._renew_lease(attempt, connection)
            self.host.pool.callbacks.noted(attempt.driver_attempt, *note)

    def _renew_lease(self, attempt: HostAttempt, connection: HostConnection) -> None:
        """Its host holds it for established, and its connection for closed where this is another one."""
        if connection.link is None:
            return
        known = attempt.lease.origin_closed
        attempt.lease.noted(connection.link, self.host.pool.now())
        if attempt.lease.origin_closed and not known and attempt.lease.origin is not None:
            self.host.pool.events.record(
                "host_loss_known",
                host=self.host.name,
                connection=connection.name,
                session=session_name(attempt.session),
            )

    def _ponged(self, connection: HostConnection, message: Frame) -> None:
        if not self.host.probes.answered(connection, message):
            self.host.checks.answered(message.session, connection)
        if connection.state == "leaving":
            connection.retire()


HANDLERS: dict[int, Callable[[HostMessages, HostConnection, Frame], None]] = {
    frames.ANSWER: HostMessages._answered,
    frames.RELEASE: HostMessages._released,
    frames.NOTE: HostMessages._noted,
    frames.PONG: HostMessages._ponged,
}
