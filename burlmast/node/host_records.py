"""What a connection to a host remembers of the attempts that it carried and of what was written on it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

CARRIED = 32  # set-ups on a connection after which a second answer to the first is no longer expected
NO_CAUSE = -1  # of a release that names none
ENDED, CANCELLED = 16, 31  # causes of a release that only an established session gets


class SentLately(NamedTuple):
    """A message that a lost connection may not have delivered."""

    message: bytes
    repeat_until: int  # nanoseconds
    gives_up: int = (
        0  # the session whose set-up it gives up: not repeated once it is set up there again; or 0
    )


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

    def __bool__(self) -> bool:
        return bool(self._causes)

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
