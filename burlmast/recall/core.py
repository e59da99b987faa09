"""Advice to rejected viewers, free of I/O.

Viewers who were rejected together and are told the same come again together. This spreads them, by the
gateway's own chance, over the time in which it expects room: those told before and not yet due, over the
pace at which playbacks have lately begun here. It changes only when viewers come again; rejections stay
where the decisions put them.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable

SEEN = 20  # playbacks begun that the pace is worked out from
LATELY = 4  # times the longest advice: what began before that says nothing of now
SOONEST = (3, 4)  # part of the longest advice under which nobody is told to come


class Recall:
    """One gateway's advice; its state is a few seconds long, so a restart loses nothing that lasts."""

    def __init__(self, longest: int, seed: int) -> None:
        """`longest` is the longest advice that viewers heed, nanoseconds."""
        self.longest, self._seed, self._draws = longest, seed, 0
        self.state = "calm"
        self.begun: deque[int] = deque(maxlen=SEEN)
        self.told: deque[int] = deque(maxlen=4096)  # when those who were advised are due

    def chance(self) -> float:
        """The next draw, 0 to 1."""
        self._draws += 1
        return zlib.crc32(f"{self._seed}:{self._draws}".encode()) / 2**32

    def played(self, now: int) -> None:
        """A playback has begun: there was room."""
        self.begun.append(now)
        self._step(now, "room")

    def advise(self, now: int) -> int:
        """How long a viewer rejected now is told to stay away, nanoseconds."""
        happening = "rejected" if self.pace(now) else "rejected, no room"
        wait = self._step(now, happening)
        self.told.append(now + wait)
        return wait

    def pace(self, now: int) -> float:
        """Playbacks begun a nanosecond, lately; 0 where none has."""
        lately = [at for at in self.begun if now - at <= LATELY * self.longest]
        if len(lately) < 2:
            return 0.0
        return len(lately) / max(1, now - lately[0])

    def waiting(self, now: int) -> int:
        """Viewers who were advised and are not due yet."""
        return sum(1 for due in self.told if due > now)

    def _step(self, now: int, happening: str) -> int:
        self.state, effect = TABLE[self.state, happening]
        return effect(self, now) if effect else 0

    def _spread(self, now: int) -> int:
        """Somewhere in the time that those who wait, and this one, need at the pace seen."""
        room = (self.waiting(now) + 1) / self.pace(now)
        soonest = self.longest * SOONEST[0] // SOONEST[1]
        whole = min(float(self.longest), max(room, float(soonest)))
        return soonest + int(self.chance() * (whole - soonest))

    def _far(self, now: int) -> int:
        """Nothing says when there will be room: in the later half of the longest advice."""
        return self.longest // 2 + int(self.chance() * self.longest / 2)


# State and what happens give the next state and how the advice is found.
TABLE: dict[tuple[str, str], tuple[str, Callable[[Recall, int], int] | None]] = {
    ("calm", "room"): ("calm", None),
    ("calm", "rejected"): ("pressed", Recall._spread),
    ("calm", "rejected, no room"): ("shut", Recall._far),
    ("pressed", "room"): ("calm", None),
    ("pressed", "rejected"): ("pressed", Recall._spread),
    ("pressed", "rejected, no room"): ("shut", Recall._far),
    ("shut", "room"): ("pressed", None),
    ("shut", "rejected"): ("pressed", Recall._spread),
    ("shut", "rejected, no room"): ("shut", Recall._far),
}
