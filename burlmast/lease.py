"""The lease on the sessions of one host: up to when their ends are known to have arrived. Free of I/O.

A lease is renewed by evidence and runs out without it (Gray and Cheriton 1989). A session whose lease runs
out is ended by the gateway, towards its host and towards its viewer, whatever has become of the release that
its host may have written. `HostLease.confirmed_at` is the one function that says what counts as evidence.

A host writes a session's release on the connection of its set-up, failing that on any open one, and repeats
it on the next one that is opened (the platform's protocol, "Gateways to media hosts"). Between the two may
stand a box that drops, holds or delays what passes, and closes or resets either side on its own. So:

* A reply to something that was sent at a time shows that all has come which its host had written on that
  connection before that time. Other bytes do not say when they were written: they may have been held since
  the burst of bytes before them, and show that all has come which was written before that one.
* A message about a session shows that it was established when the message was written.
* How a connection ends shows nothing, nor does another one that comes up: the host may hold the first for
  open, and repeat nothing. That a host repeats makes an end arrive sooner; no lease rests on it.

Times in nanoseconds on one clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000
# A release that could not be sent is due at the viewer within 8 s of the session's end, by the protocol.
LEASE = 7_300 * MS
# At this age the evidence is renewed: a reply, or what a host repeats, fits into what is left.
CHECK = 5_200 * MS
BURST = 100 * MS  # bytes that come closer together may have been held together
NOTES_REGULAR = 2  # notes after which a host is expected to go on with them
GAPS_SILENT = 2  # times the longest gap between a session's notes, after which they have stopped
# A host writes what has lost its connection on any open one, which may be as dead: it may repeat sooner then.
REPEAT_AFTER_LOSS = 600 * MS
LOSS_RECENT = 2_500 * MS
# How long after its end a connection may be held for open by its host: the settings' idle time follows the
# last message that the host writes there, and a session that is not confirmed is released by then.
HELD_OPEN_BEYOND_IDLE = 10_000 * MS


class LinkState(Enum):
    """What a host probably takes a connection for. It guides what is opened, and is no evidence."""

    OPEN = "open"
    CLOSING = "closed for writing by this side, read until its host closes it"
    CLOSED = "closed, and its host seems to know"
    LOST = "gone, and its host may hold it for open"


class LinkInput(Enum):
    """What happens to a connection."""

    RECEIVED = "its host has written on it"
    CLOSED_FOR_WRITING = "this side writes no more"
    ABORTED = "this side has closed it at once"
    ENDED_BY_HOST = "it was closed in order from the other side"
    RESET = "it was reset"
    GIVEN_UP = "its host has not closed it in time"


TRANSITIONS: dict[tuple[LinkState, LinkInput], LinkState] = {
    (LinkState.OPEN, LinkInput.RECEIVED): LinkState.OPEN,
    (LinkState.OPEN, LinkInput.CLOSED_FOR_WRITING): LinkState.CLOSING,
    (LinkState.OPEN, LinkInput.ABORTED): LinkState.CLOSED,
    (LinkState.OPEN, LinkInput.ENDED_BY_HOST): LinkState.CLOSED,
    (LinkState.OPEN, LinkInput.RESET): LinkState.LOST,
    (LinkState.CLOSING, LinkInput.RECEIVED): LinkState.CLOSING,
    (LinkState.CLOSING, LinkInput.ABORTED): LinkState.CLOSED,
    (LinkState.CLOSING, LinkInput.ENDED_BY_HOST): LinkState.CLOSED,
    (LinkState.CLOSING, LinkInput.RESET): LinkState.CLOSED,
    (LinkState.CLOSING, LinkInput.GIVEN_UP): LinkState.LOST,
}


class ImpossibleInput(Exception):
    """A connection in this state cannot meet this input."""


@dataclass(slots=True, eq=False)
class Link:
    """A connection to the host as far as the leases are concerned."""

    opened_at: int
    confirmed_at: int = 0  # all that its host wrote on it before has come; 0: nothing is known
    state: LinkState = LinkState.OPEN
    received_at: int = 0  # when its host's bytes were read last; 0: none have come
    left_at: int = 0  # when it was first something else than OPEN
    ended_at: int = 0  # when it became CLOSED or LOST
    expected_end: bool = True  # whether this side began to close it

    def take(self, happening: LinkInput, now: int) -> None:
        """Raises ImpossibleInput."""
        following = TRANSITIONS.get((self.state, happening))
        if following is None:
            raise ImpossibleInput(f"{self.state.name} {happening.name}")
        if happening is LinkInput.RECEIVED:
            self._received(now)
        if self.state is LinkState.OPEN and following is not LinkState.OPEN:
            self.left_at = now
            self.expected_end = happening is LinkInput.CLOSED_FOR_WRITING
        self.state = following
        if following in (LinkState.CLOSED, LinkState.LOST):
            self.ended_at = now

    def _received(self, now: int) -> None:
        """What comes in one burst may have been held since the burst before: a box holds all that follows."""
        if now - self.received_at >= BURST:
            self.confirmed_at = max(self.confirmed_at, self.received_at)
        self.received_at = now

    def replied(self, sent_at: int) -> None:
        """A reply has come on it to what was sent there at this time."""
        self.confirmed_at = max(self.confirmed_at, sent_at)


@dataclass(slots=True, eq=False)
class SessionLease:
    """The lease on one session."""

    established_at: int  # when it is known to have been established last; at first, when its set-up was sent
    origin: Link | None = None  # the connection of its set-up; None: an earlier process held it
    origin_closed: bool = False  # whether its host has shown that it holds that connection for closed
    noted_at: int = 0  # when a message about it has come last, whenever that was written; 0: none has
    notes: int = 0
    longest_gap: int = 0  # between two of them, and before the first
    doubted_at: int = 0  # when a release that may have been its own was ignored; 0: none was

    def noted(self, link: Link, now: int) -> None:
        """A message about it has come on this connection, behind all that is confirmed there."""
        self.longest_gap = max(self.longest_gap, now - (self.noted_at or self.established_at))
        self.noted_at = now
        self.notes += 1
        self.established_at = max(self.established_at, link.confirmed_at)
        if self.origin is not link and (self.origin is None or self.origin.ended_at):
            self.origin_closed = True

    def fallen_silent(self, now: int) -> bool:
        """Whether its host has stopped its regular notes: its release may have been lost, though what comes
        behind it on the same connection arrives."""
        regular = self.notes >= NOTES_REGULAR
        return regular and now - self.noted_at >= max(LEASE, GAPS_SILENT * self.longest_gap)


@dataclass(slots=True)
class HostLease:
    """The connections that one host may hold for open."""

    idle: int = 0  # nanoseconds after which a host closes a connection where nothing passes; 0: never
    links: list[Link] = field(default_factory=list)
    last_opened_at: int = 0  # when the last one came up

    def opened(self, now: int) -> Link:
        """A connection has come up, which proves nothing: what is known of the others holds for it too, since
        its host has not written on it before."""
        link = Link(opened_at=now, confirmed_at=min((each.confirmed_at for each in self.links), default=0))
        self.links.append(link)
        self.last_opened_at = now
        return link

    def lost_unseen(self, now: int) -> None:
        """The host may hold a connection for open that this side has never seen: a dial that was dropped."""
        self.links.append(Link(opened_at=now, state=LinkState.CLOSED, left_at=now, ended_at=now))

    def take(self, link: Link, happening: LinkInput, now: int) -> None:
        """Something has happened to a connection. Raises ImpossibleInput."""
        link.take(happening, now)

    # Evidence.

    def confirmed_at(self, session: SessionLease) -> int:
        """Up to when an end of this session would have been received."""
        confirmed = max(session.established_at, self._confirmed_by_links(session))
        return min(confirmed, session.doubted_at) if session.doubted_at else confirmed

    def _confirmed_by_links(self, session: SessionLease) -> int:
        """The same, by what has come on every connection that its host may write the end on; 0: nothing."""
        return min((link.confirmed_at for link in self.carriers(session)), default=0)

    def carriers(self, session: SessionLease) -> list[Link]:
        """The connections on which its host may write the end of a session: its own, as long as it is open
        here, and after that every one that the host may hold for open."""
        origin = session.origin
        if origin is not None and not origin.ended_at:
            return [origin]
        return [link for link in self.links if not (link is origin and session.origin_closed)]

    def depends_on_all(self, session: SessionLease) -> bool:
        """Whether a session has no connection of its own."""
        return session.origin is None or bool(session.origin.ended_at)

    def to_check(self, sessions: Iterable[SessionLease], now: int) -> list[Link]:
        """The open connections whose replies renew the lease of a session that needs it."""
        due: dict[Link, None] = {}
        for session in sessions:
            if now - self.confirmed_at(session) >= CHECK:
                due.update((link, None) for link in self.carriers(session) if link.state is LinkState.OPEN)
        return [link for link in due if now - link.confirmed_at >= CHECK]

    def expired(self, session: SessionLease, now: int) -> bool:
        """Whether the session has to be ended by this side."""
        return now - self.confirmed_at(session) >= LEASE or session.fallen_silent(now)

    def forget_ended(self, now: int) -> None:
        """Forget the connections that the host has closed by now as idle."""
        if self.idle > 0:
            held = self.idle + HELD_OPEN_BEYOND_IDLE
            self.links = [link for link in self.links if not link.ended_at or now - link.ended_at < held]

    # What is opened, so that what a host repeats arrives soon.

    def silent(self, sessions: Iterable[SessionLease], now: int) -> list[SessionLease]:
        """The sessions of which nothing has come lately: their ends may have been lost."""
        return [each for each in sessions if now - max(each.established_at, each.noted_at) >= CHECK]

    def repeat_due(self, sessions: Iterable[SessionLease], now: int) -> bool:
        """Whether a new connection is needed for what a host repeats there."""
        leases = list(sessions)
        origins = [each.origin for each in leases]
        lost = any(
            REPEAT_AFTER_LOSS <= now - link.left_at < LOSS_RECENT
            and (link.state is not LinkState.CLOSED or (link in origins and not link.expected_end))
            for link in self.links
            if link.left_at
        )
        if lost:
            return now - self.last_opened_at >= REPEAT_AFTER_LOSS
        return bool(self.silent(leases, now)) and now - self.last_opened_at >= CHECK
