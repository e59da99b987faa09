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
