"""A viewer over all its visits: asks, watches, rests as advised or as it likes, comes again, has had enough.

It decides for itself and sees only its answers; which gateway it asks next, whether it heeds advice and how
long it rests are drawn from its own chance. Free of I/O: whoever drives it carries out what it says.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from burlmast.world.crowd import Guest, Viewers, draw
from burlmast.world.player import Player, Takings, Tariff

SECOND = 1_000_000_000
WORTH_RETURNING = SECOND  # with less left to see it does not come again


class Comes(NamedTuple):
    """It comes again after so many nanoseconds."""

    after: int


class Visitor:
    """One viewer."""

    def __init__(self, guest: Guest, viewers: Viewers, tariff: Tariff, now: int) -> None:
        self.guest, self._viewers = guest, viewers
        self.dice = random.Random(guest.seed)
        self.player, self.takings = Player(now, guest.habits), Takings(tariff, guest.top)
        self.state = "coming"
        self.visits = 0
        self._playing = (0, 0)  # rung in force, and up to when its revenue is counted

    @property
    def left(self) -> int:
        """What it still wants to see, nanoseconds."""
        return max(0, int(self.player.habits.wants - self.player.seen))

    def asks(self, now: int, gateways: Sequence[int]) -> int | None:
        """It comes: the gateway that it asks, or None where it has left by now."""
        self.player.pass_to(now)
        if self.player.over:
            self.state = "away"
        if self.state not in ("coming", "resting"):
            return None
        self.state = "asking"
        self.visits += 1
        return self.dice.choice(gateways)

    def happen(self, now: int, happening: str, advice: int = 0) -> Comes | None:
        """Something came of its request or its playback; whether it comes again and when.

        `happening`: plays (told by `begins`), rejected (with advice in nanoseconds), aborted, unheard (it
        waited in vain), lost (its gateway broke off), broke (its stream ended early), done. What its state
        does not know changes nothing.
        """
        row = LIFE.get((self.state, happening))
        if row is None:
            return None
        self.state, effect = row
        return effect(self, now, advice) if effect is not None else None

    # Its stream, while it plays.

    def sees(self, now: int, rung: int, share: float) -> None:
        """The stream has this rung and share from now on."""
        if self.state != "watching":
            return
        before, since = self._playing
        self.takings.pass_time(now - since, before, self.player.share)
        if rung != before:
            self.takings.step()
        self._playing = rung, now
        self.player.shares(now, share)

    def begins(self, now: int, rung: int, share: float) -> None:
        """Its stream begins."""
        self.happen(now, "plays")
        if self.state == "watching":
            self.player.begins(now, share)
            self._playing = rung, now

    def _breaks(self, now: int, advice: int) -> Comes | None:
        self._count(now)
        self.player.breaks_off(now)
        return self._rests(now, advice)

    def _ends(self, now: int, advice: int) -> None:
        self._count(now)
        self.player.breaks_off(now)  # it ended before all was seen, if it is not done

    def _count(self, now: int) -> None:
        rung, since = self._playing
        self.player.pass_to(now)
        self.takings.pass_time(now - since, rung, self.player.share)
        self._playing = rung, now

    def _rests(self, now: int, advice: int) -> Comes | None:
        self.player.pass_to(now)
        tired = self.visits >= self._viewers.visits or self.player.over or self.left <= WORTH_RETURNING
        if tired:
            self.state = "away"
            return None
        heeds = advice > 0 and self.dice.random() < self._viewers.honour
        pause = int(draw(self.dice, self._viewers.pause) * SECOND)
        return Comes(max(advice, pause) if heeds else pause)


Effect = Callable[[Visitor, int, int], Comes | None]
# State and what happens give the next state and what is done about it; what has no row changes nothing.
LIFE: dict[tuple[str, str], tuple[str, Effect | None]] = {
    ("asking", "plays"): ("watching", None),
    ("asking", "rejected"): ("resting", Visitor._rests),
    ("asking", "unheard"): ("resting", Visitor._rests),
    ("asking", "lost"): ("resting", Visitor._rests),
    ("asking", "aborted"): ("away", None),  # it does not dare to ask again
    ("watching", "broke"): ("resting", Visitor._breaks),
    ("watching", "lost"): ("resting", Visitor._breaks),
    ("watching", "done"): ("away", Visitor._ends),
}


class Tally(NamedTuple):
    """What a day came to for its viewers."""

    viewers: int
    watched: float  # part of what they wanted to see
    earned: float  # revenue by the second over that of the best rung for all they wanted
    stalls_a_viewer: float
    left_early: int  # those out of patience


def tally(visitors: Sequence[Visitor]) -> Tally:
    """The sum over all of them."""
    count, wants = max(1, len(visitors)), [one.player.habits.wants for one in visitors]
    asked = sum(one.takings.worth(wanted) for one, wanted in zip(visitors, wants, strict=True))
    return Tally(
        len(visitors),
        round(sum(one.player.seen for one in visitors) / max(1, sum(wants)), 4),
        round(sum(one.takings.earned for one in visitors) / asked, 4) if asked else 0.0,
        round(sum(one.player.stalls for one in visitors) / count, 4),
        sum(one.player.state == "gone" for one in visitors),
    )
