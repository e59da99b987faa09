"""Delivers the ends of established sessions to viewers at least once. Free of I/O.

A session belongs to no connection: its end may be written on any of them, and a connection that takes bytes
need not be read by anyone. A viewer that has received an end says `released`; until it does, the end is sent
on one connection after another, in turn, and at once when the connection that carried it last is lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from burlmast.node.eventlog import EventLog
from burlmast.node.isolation import for_each

MS = 1_000_000
RESEND_AFTER = 200 * MS  # four connections are tried within the second that the protocol allows
# An end may overtake its session's answer on another connection; so long, while the answer may be held back.
RESEND_AFTER_UNPROVEN = 700 * MS
ANSWER_DELIVERED = 2_000 * MS  # after which an answer counts as delivered
SLOW_RESEND_AFTER = 500 * MS  # once that second is over, and on a connection that has carried it before
PROMPT = 1_000 * MS  # from a session's end until its viewer has to be released, by the protocol
SLOWEST_RESEND_AFTER = 2_500 * MS  # once an end that could not be sent would be late, by the protocol
LATE = 10_000 * MS
GIVE_UP_AFTER = 30_000 * MS  # a viewer that has acknowledged nothing for so long is gone
UNACKNOWLEDGED_KEPT = (
    1_000 * MS
)  # how long a message that wants no acknowledgement is kept for a lost connection
# Ends that were sent and not acknowledged, which a viewer need not do (PROTOCOL: "release heard (free)").
# The oldest of a connection is given up for the next; at 128 ends a second it has been sent for 8 s.
UNACKNOWLEDGED_MOST_OF_CONNECTION = 1024
UNACKNOWLEDGED_MOST = 4 * UNACKNOWLEDGED_MOST_OF_CONNECTION
RESENDS_MOST = 512  # in one go, those first that have been sent least often


class EndConnection(Protocol):
    """A viewers' connection as far as an end is concerned."""

    name: str
    sound: bool  # a message of right form has come on it
    established: int  # sessions that were answered on it
    acknowledged: int  # ends that were acknowledged on it
    last_received: int  # nanoseconds
    delivered_until: int  # all that was written before has been received, as an acknowledgement shows

    @property
    def usable(self) -> bool:
        """Whether something can be written on it."""

    def write(self, data: bytes) -> None:
        """Write, or lose the connection."""


class Timer(Protocol):
    """What a call to `later` returns."""

    def cancel(self) -> None:
        """Do not call."""


class Send(NamedTuple):
    """An end was written on a connection."""

    connection: EndConnection
    at: int  # nanoseconds


@dataclass(slots=True, eq=False)
class PendingEnd:
    """The end of a session that nobody is known to have received. Times in nanoseconds."""

    session: str
    message: bytes
    preferred: EndConnection | None  # the connection that asked for the session
    answered_at: int  # when the session's answer was written there; 0: there was none
    wants_acknowledgement: bool
    ended_at: int
    due: int  # when it is sent, again or for the first time
    sends: list[Send] = field(default_factory=list)

    def carried(self, connection: EndConnection) -> int | None:
        """When it was written on this connection last."""
        return next((send.at for send in reversed(self.sends) if send.connection is connection), None)

    @property
    def last_connection(self) -> EndConnection | None:
        """The connection that it was written on last."""
        return self.sends[-1].connection if self.sends else None

    def sent_on(self, connection: EndConnection) -> int | None:
        """When it was written on this connection."""
        return next((send.at for send in self.sends if send.connection is connection), None)

    def answer_delivered(self) -> bool:
        """Whether the viewer is known, or old enough, to have received the session's answer."""
        if not self.answered_at or self.preferred is None or not self.preferred.usable:
            return True
        proven = self.preferred.delivered_until > self.answered_at
        return proven or self.ended_at - self.answered_at >= ANSWER_DELIVERED


class EndDelivery:
    """The ends that are not known to have been received."""

    def __init__(
        self,
        connections: Callable[[], Iterable[EndConnection]],
        now: Callable[[], int],
        later: Callable[[float, Callable[[], None]], Timer],
        events: EventLog,
    ) -> None:
        """`connections` are those that are open; `later` calls after so many seconds."""
        self._connections, self._now, self._later, self._events = connections, now, later, events
        self._timer: Timer | None = None
        self._closed = False
        self.pending: dict[str, PendingEnd] = {}
        # Those that have been sent, oldest first: all, and by the connection that asked.
        self._sent: dict[str, PendingEnd] = {}
        self._sent_for: dict[EndConnection | None, dict[str, PendingEnd]] = {}

    def send(
        self,
        session: str,
        message: bytes,
        preferred: EndConnection | None,
        answered_at: int = 0,
        wants_acknowledgement: bool = True,
        ended_at: int = 0,
    ) -> None:
        """Send the end of a session until it is acknowledged; `ended_at`: its earliest time, 0 for now."""
        now = self._now()
        ended_at = ended_at or now
        end = PendingEnd(session, message, preferred, answered_at, wants_acknowledgement, ended_at, now)
        self._remove(session)
        self.pending[session] = end
        self._send(end, "ended")
        self._arm()

    def acknowledge(self, session: str, connection: EndConnection) -> None:
        """A viewer has received the end of this session."""
        end = self._remove(session)
        if end is None:
            return
        connection.acknowledged += 1
        connection.delivered_until = max(connection.delivered_until, end.sent_on(connection) or 0)
        fields = {"connection": connection.name, "sends": len(end.sends)}
        if len(end.sends) > 1:
            self._events.record("end_acknowledged", session=session, **fields)
        else:
            self._events.trace("end_acknowledged", session, **fields)

    def connection_made(self) -> None:
        """A connection is new: ends that found none before go out."""
        now = self._now()
        for end in list(self.pending.values()):
            if end.due <= now:
                self._send(end, "new_connection")

    def connection_lost(self, connection: EndConnection) -> None:
        """What this connection carried last may not have arrived."""
        for end in list(self.pending.values()):
            if end.last_connection is connection:
                end.due = self._now()
                self._send(end, "connection_lost")

    def close(self) -> None:
        """Send nothing more."""
        self._closed = True
        self.pending.clear()
        self._sent.clear()
        self._sent_for.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _arm(self) -> None:
        if self._timer is not None or not self.pending or self._closed:
            return
        now = self._now()
        ahead = [end.due - now for end in self.pending.values() if end.due > now]
        self._timer = self._later(min((*ahead, RESEND_AFTER)) / 1e9, self._fire)

    def _fire(self) -> None:
        self._timer = None
        now = self._now()
        for end in list(self.pending.values()):
            if self._expired(end, now):
                self._remove(end.session)
        due = [end for end in self.pending.values() if end.wants_acknowledgement and end.due <= now]
        resends = sorted(due, key=lambda end: (len(end.sends), end.due))[:RESENDS_MOST]
        self._arm()
        for_each(
            "resend_end",
            resends,
            lambda end: self._send(end, "not_acknowledged"),
            lambda end: end.session,
            self._events,
        )

    def _remove(self, session: str) -> PendingEnd | None:
        end = self.pending.pop(session, None)
        if end is not None and self._sent.pop(session, None) is not None:
            sent_for = self._sent_for[end.preferred]
            del sent_for[session]
            if not sent_for:
                del self._sent_for[end.preferred]
        return end

    def _note_first_send(self, end: PendingEnd) -> None:
        """Keep it until it is acknowledged; where too many are kept, the oldest of them go."""
        self._sent[end.session] = end
        sent_for = self._sent_for.setdefault(end.preferred, {})
        sent_for[end.session] = end
        if len(sent_for) > UNACKNOWLEDGED_MOST_OF_CONNECTION:
            self._displace(next(iter(sent_for.values())), "too_many_of_connection")
        elif len(self._sent) > UNACKNOWLEDGED_MOST:
            self._displace(next(iter(self._sent.values())), "too_many")

    def _displace(self, end: PendingEnd, reason: str) -> None:
        self._remove(end.session)
        self._events.record("end_displaced", session=end.session, sends=len(end.sends), reason=reason)

    def _expired(self, end: PendingEnd, now: int) -> bool:
        age = now - end.ended_at
        if not end.wants_acknowledgement and end.sends:
            return age >= UNACKNOWLEDGED_KEPT
        if age < GIVE_UP_AFTER:
            return False
        self._events.record("end_given_up", session=end.session, sends=len(end.sends))
        return True

    def _send(self, end: PendingEnd, reason: str) -> None:
        if self._closed:
            return
        connection = self._choose(end)
        if connection is None:
            if not end.sends and reason == "ended":
                self._events.record("end_without_connection", session=end.session, pending=len(self.pending))
            return
        now = self._now()
        if not end.sends:
            self._note_first_send(end)
        end.sends.append(Send(connection, now))
        end.due = now + _resend_after(end, now)
        self._log_send(end, connection, reason)
        connection.write(end.message)

    def _choose(self, end: PendingEnd) -> EndConnection | None:
        """The connection that asked, else the one that is most likely read by whom the session belongs to;
        once each has carried it, the one whose turn is longest ago: what it carried may have been lost."""
        if not end.sends and end.preferred is not None and end.preferred.usable:
            return end.preferred
        usable = [connection for connection in self._connections() if connection.usable]
        last_sent = {connection: end.carried(connection) for connection in usable}
        untried = [connection for connection, at in last_sent.items() if at is None]
        if untried or not end.wants_acknowledgement:
            return max(untried, key=_likely_read, default=None)
        now = self._now()
        waiting = {
            connection: at
            for connection, at in last_sent.items()
            if at is not None and now - at >= SLOW_RESEND_AFTER
        }
        return min(waiting, key=lambda connection: waiting[connection], default=None)

    def _log_send(self, end: PendingEnd, connection: EndConnection, reason: str) -> None:
        fields = {"connection": connection.name, "sends": len(end.sends), "reason": reason}
        if connection is end.preferred:
            self._events.trace("end_sent", end.session, **fields)
        else:
            self._events.record("end_sent_elsewhere", session=end.session, **fields)


def _resend_after(end: PendingEnd, now: int) -> int:
    if not end.wants_acknowledgement:
        return UNACKNOWLEDGED_KEPT
    if now - end.ended_at >= LATE:
        return SLOWEST_RESEND_AFTER
    if now - end.ended_at >= PROMPT:
        return SLOW_RESEND_AFTER
    if len(end.sends) > 1 or end.answer_delivered():
        return RESEND_AFTER
    return max(RESEND_AFTER, end.ended_at + RESEND_AFTER_UNPROVEN - now)


def _likely_read(connection: EndConnection) -> tuple[int, bool, bool, bool, int]:
    """How likely a connection passes bytes and its client passes on the ends of others' sessions."""
    return (
        connection.delivered_until,
        connection.acknowledged > 0,
        connection.established > 0,
        connection.sound,
        connection.last_received,
    )
