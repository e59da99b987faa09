"""The lease on the sessions of one host: up to when their ends are known to have arrived. Free of I/O.

A lease is renewed by evidence and runs out without it (Gray and Cheriton 1989). The evidence is what a host
writes and how it ends a connection. A session whose lease runs out is ended by the gateway, towards its host
and towards its viewer, whatever has become of the release that its host may have written.

A host writes a session's release on the connection of its set-up, failing that on any open one, and repeats
it on the next one that is opened (the platform's protocol, "Gateways to media hosts"). The page leaves open
whether it repeats all of them, or only those that it wrote on a connection that it has seen closed. A lease
rests on neither: each connection that may carry a release has to show that it passes bytes, and one that is
gone counts as closed at its host only if the host has closed it too. Times in nanoseconds on one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000
# A release that could not be sent is due at the viewer within 8 s of the session's end, by the protocol.
LEASE = 7_300 * MS
# After so long without a byte a connection is replaced, or checked: the evidence fits into what is left.
CHECK = 5_200 * MS
RENEW = 20_000 * MS  # the age at which a connection is replaced by a new one
RENEW_SOON = 3_000 * MS  # the same, after trouble with the host, and where many set-ups share the handshake
SET_UPS_SHARING = 16
TROUBLE_REMEMBERED = 8_000 * MS
REPEAT = 6_000 * MS  # so often a new connection lets a host repeat what it has written elsewhere
# A host writes what has lost its connection on any open one, which may be as dead: it may repeat sooner then.
REPEAT_AFTER_LOSS = 600 * MS
LOSS_RECENT = 2_500 * MS
CLOSE_ANSWERED = 250 * MS  # a host that lives closes its side as soon as it reads of this side's close
LOST_REMEMBERED = 30_000 * MS  # how long a host may go on holding a lost connection for open


class LinkState(Enum):
    """What a host may take a connection for, by what this side has seen of it."""

    OPEN = "open"
    CLOSING = "closed for writing by this side, read until its host closes it"
    CLOSED = "closed, as its host knows"
    LOST = "gone, and its host may hold it for open"


class LinkInput(Enum):
    """What happens to a connection."""

    RECEIVED = "its host has written on it"
    CLOSED_FOR_WRITING = "this side writes no more"
    ABORTED = "this side has closed it at once"
    ENDED_BY_HOST = "its host has closed it in order"
    RESET = "it was reset"
    GIVEN_UP = "its host has not closed it in time"


TRANSITIONS: dict[tuple[LinkState, LinkInput], LinkState] = {
    (LinkState.OPEN, LinkInput.RECEIVED): LinkState.OPEN,
    (LinkState.OPEN, LinkInput.CLOSED_FOR_WRITING): LinkState.CLOSING,
    (LinkState.OPEN, LinkInput.ABORTED): LinkState.CLOSED,
    (LinkState.OPEN, LinkInput.ENDED_BY_HOST): LinkState.CLOSED,
    (LinkState.OPEN, LinkInput.RESET): LinkState.LOST,  # perhaps on this side alone, by what lies between
    (LinkState.CLOSING, LinkInput.RECEIVED): LinkState.CLOSING,
    (LinkState.CLOSING, LinkInput.ABORTED): LinkState.CLOSED,
    (LinkState.CLOSING, LinkInput.ENDED_BY_HOST): LinkState.CLOSED,
    (LinkState.CLOSING, LinkInput.RESET): LinkState.CLOSED,  # a host may answer a close by a reset
    (LinkState.CLOSING, LinkInput.GIVEN_UP): LinkState.LOST,
}


class ImpossibleInput(Exception):
    """A connection in this state cannot meet this input."""


@dataclass(slots=True, eq=False)
class Link:
    """A connection to the host as far as the leases are concerned."""

    opened_at: int
    confirmed_at: int  # all that its host wrote on it before has come
    state: LinkState = LinkState.OPEN
    left_at: int = 0  # when it was first something else than OPEN
    ended_at: int = 0  # when it became CLOSED or LOST

    def take(self, happening: LinkInput, now: int) -> None:
        """Raises ImpossibleInput."""
        following = TRANSITIONS.get((self.state, happening))
        if following is None:
            raise ImpossibleInput(f"{self.state.name} {happening.name}")
        self.state = following
        if happening in (LinkInput.RECEIVED, LinkInput.ENDED_BY_HOST):
            self.confirmed_at = now
        if following is not LinkState.OPEN and not self.left_at:
            self.left_at = now
        if following in (LinkState.CLOSED, LinkState.LOST):
            self.ended_at = now


@dataclass(slots=True, eq=False)
class SessionLease:
    """The lease on one session."""

    since: int  # when it was established, or became known
    origin: Link | None = None  # the connection of its set-up; None: an earlier process held it
    doubted_at: int = 0  # when a release that may have been its own was ignored; 0: none was


@dataclass(slots=True)
class HostLease:
    """The connections that one host may hold for open."""

    links: list[Link] = field(default_factory=list)
    last_opened_at: int = 0  # when the last one came up
    last_ended_at: int = 0  # when the last one ended
    set_ups: int = 0  # sent since connections were last replaced
    troubled_at: int = 0  # when something was last lost or unanswered; 0: nothing was

    def opened(self, now: int) -> Link:
        """A connection has come up. That it did proves nothing but that its host writes there from now on."""
        # What has ended while there was no connection is written on this one first.
        link = Link(opened_at=now, confirmed_at=now if self.links else self.last_ended_at or now)
        self.links.append(link)
        self.last_opened_at = now
        return link

    def set_up_sent(self) -> None:
        """A set-up has been sent."""
        self.set_ups += 1

    def take(self, link: Link, happening: LinkInput, now: int) -> None:
        """Something has happened to a connection. Raises ImpossibleInput."""
        link.take(happening, now)
        if link.ended_at:
            self.last_ended_at = now
        if link.state is LinkState.LOST or happening is LinkInput.ABORTED:
            self.troubled_at = now
        if link.state is LinkState.CLOSED and link in self.links:
            self.links.remove(link)

    def known_closed(self, link: Link, now: int) -> None:
        """The host has sent what belongs to a lost connection on another one, so it knows of the loss."""
        if link.state is LinkState.LOST:
            link.state, link.ended_at = LinkState.CLOSED, now
            self.links.remove(link)

    def confirmed_at(self, session: SessionLease) -> int:
        """Up to when an end of this session would have been received."""
        origin = session.origin
        if origin is not None and origin.state is not LinkState.CLOSED:
            confirmed = max(session.since, origin.confirmed_at)
        else:
            since = max(session.since, origin.ended_at if origin is not None else 0)
            carriers = (max(since, link.confirmed_at) for link in self.links)
            confirmed = min(carriers, default=max(since, self.last_ended_at))
        return min(confirmed, session.doubted_at) if session.doubted_at else confirmed

    def depends_on(self, session: SessionLease, link: Link) -> bool:
        """Whether a host may write the end of this session on this connection."""
        origin = session.origin
        return origin is link or origin is None or origin.state is LinkState.CLOSED

    def expired(self, session: SessionLease, now: int) -> bool:
        """Whether the session has to be ended by this side."""
        return now - self.confirmed_at(session) >= LEASE

    def has_lost(self, now: int) -> bool:
        """Whether the host may hold a connection for open that passes nothing, and choose it for a session
        that has no other."""
        self.links = [
            link
            for link in self.links
            if link.state is not LinkState.LOST or now - link.ended_at < LOST_REMEMBERED
        ]
        return any(link.left_at and now - link.left_at >= CLOSE_ANSWERED for link in self.links)

    def renew_after(self, now: int) -> int:
        """The age at which a connection is replaced."""
        troubled = self.troubled_at and now - self.troubled_at < TROUBLE_REMEMBERED
        return RENEW_SOON if troubled or self.set_ups >= SET_UPS_SHARING else RENEW

    def outdated(self, now: int) -> list[Link]:
        """The open connections whose place a new one has to take."""
        age = self.renew_after(now)
        return [link for link in self.links if link.state is LinkState.OPEN and now - link.opened_at >= age]

    def repeat_due(self, now: int) -> bool:
        """Whether a new connection is needed for what a host repeats there."""
        lost = any(
            REPEAT_AFTER_LOSS <= now - link.left_at < LOSS_RECENT for link in self.links if link.left_at
        )
        return now - self.last_opened_at >= (REPEAT_AFTER_LOSS if lost else REPEAT)


def check_due(link: Link, now: int) -> bool:
    """Whether a connection has to show that it passes bytes."""
    return link.state is LinkState.OPEN and now - link.confirmed_at >= CHECK
