"""Decides when a connection to a host is no longer relied on for the releases of sessions. Free of I/O.

A host writes a session's release on the connection of its set-up as long as it holds that for open, and
repeats it only on the next connection that is opened (the platform's protocol, "Gateways to media hosts").
A connection that is up proves nothing about what passes on it, and bytes on one prove nothing about another.
So a connection that falls behind the others is closed, which its host learns, and a new one is opened where
a release may have been lost. Times in nanoseconds on one clock.
"""

from __future__ import annotations

MS = 1_000_000
# A session whose release could not be sent is due within 8 s of its end: two checks fit into that.
HOST_SILENT = 4_000 * MS
CHECK_REPLY = 1_250 * MS  # for the reply to a check
CHECKS_FAILED = 2  # in a row, and the host is gone
CONNECTION_BEHIND = 2_500 * MS  # by which others may be ahead in what was received
SUSPECT_BEHIND = 250 * MS  # the same, once something has gone unanswered
SESSION_UNVERIFIED = 4_000 * MS  # since when a lost release of a session could not have shown
SESSION_UNANCHORED = 2_000 * MS  # the same, where its own connection was lost
JUST_UNANCHORED = 600 * MS  # the same, for a time after the loss: its host may not know of it yet
JUST_UNANCHORED_FOR = 2_500 * MS
UNANCHORED_FOR = 8_000 * MS  # how long the loss of a connection hastens checks
TROUBLE_REMEMBERED = 30_000 * MS
SUSPECT_AGAIN = 1_000 * MS  # between checks of a host whose connections are suspect


def is_behind(received: int, suspect_since: int, received_elsewhere: int) -> bool:
    """Whether a connection has carried nothing for so long that others have to take its place.

    `received` is when it last carried something, `suspect_since` when something went unanswered on it (0:
    nothing did), `received_elsewhere` when another connection to the same host last did.
    """
    if suspect_since > received:
        return received_elsewhere - suspect_since >= SUSPECT_BEHIND
    return received_elsewhere - received >= CONNECTION_BEHIND


def is_silent(now: int, last_received: int) -> bool:
    """Whether a host has to be checked."""
    return now - last_received >= HOST_SILENT


def is_gone(now: int, last_received: int, failed_checks: int) -> bool:
    """Whether what stands at a host that is silent is over."""
    return failed_checks >= CHECKS_FAILED and now - last_received >= HOST_SILENT


def verification_due(now: int, verified_at: int, connection_lost_at: int) -> bool:
    """Whether a release may have been lost unseen; `connection_lost_at` is 0 while its connection stands."""
    lost_for = now - connection_lost_at if connection_lost_at else UNANCHORED_FOR
    if lost_for < JUST_UNANCHORED_FOR:
        return now - verified_at >= JUST_UNANCHORED
    return now - verified_at >= (SESSION_UNANCHORED if lost_for < UNANCHORED_FOR else SESSION_UNVERIFIED)


class VerificationBudget:
    """How many connections may be opened for sessions whose own connection shows no fault.

    A handshake costs its host: they are a tenth of the set-ups, and none while nothing fails anywhere.
    """

    EARNED_BY_SET_UP = 0.1
    MOST = 3.0

    def __init__(self) -> None:
        self._tokens = self.MOST
        self._trouble_at: int | None = None

    def earn(self) -> None:
        """A set-up was sent."""
        self._tokens = min(self.MOST, self._tokens + self.EARNED_BY_SET_UP)

    def note_trouble(self, now: int) -> None:
        """A connection was lost, or something went unanswered, at whichever host."""
        self._trouble_at = now

    def spend(self, now: int) -> bool:
        """Whether a connection may be opened; if so, it is counted."""
        troubled = self._trouble_at is not None and now - self._trouble_at < TROUBLE_REMEMBERED
        return troubled and self.spend_always()

    def spend_always(self) -> bool:
        """The same, though nothing fails elsewhere."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
