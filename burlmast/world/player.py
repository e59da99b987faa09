"""A player and what it earns, as plain values in continuous time. No socket, no clock of its own.

A stream delivers so many seconds of media a second: its share, at most 1. Below 1 the buffer runs down; an
empty one stalls the player until enough has come again. All times are nanoseconds; `Player.due` says when
it next changes by itself, and whoever drives it calls `Player.pass_to` then, or earlier when the share
changes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

SECOND = 1_000_000_000
NEVER = 1 << 62
ROUNDING = 1000  # nanoseconds
SHORT = 0.98  # under this share a shortage costs


class Habits(NamedTuple):
    """What a player needs and bears; nanoseconds of media or of waiting."""

    start_up: int  # media that must have come before it begins
    resume: int  # media that must have come before it goes on after a stall
    start_patience: int  # it leaves when it has not begun so long after asking
    stall_patience: int  # it leaves when one stall lasts so long
    wants: int  # media that it wants to see in all


class Tariff(NamedTuple):
    """What a second earns: revenue of the plan, part of it by rung, and what shortages and steps cost."""

    revenue: float
    earns: tuple[float, ...]
    stall_cost: float = 7.0  # of the revenue, for each part of the rate that is missing under `SHORT`
    switch_s: float = 0.5  # seconds of the plan's revenue for a step while it plays


class Takings:
    """Revenue by the second, against that of the best rung that the viewer can use."""

    def __init__(self, tariff: Tariff, top: int) -> None:
        self._tariff, self.top = tariff, top
        self.earned = 0.0

    def worth(self, time: int) -> float:
        """What so many nanoseconds would earn at the best rung."""
        return time / SECOND * self._tariff.revenue * self._tariff.earns[self.top]

    def pass_time(self, passed: int, rung: int, share: float) -> None:
        """A stretch in which a stream of this rung got this share; a share of 0 earns nothing."""
        seconds, tariff = passed / SECOND, self._tariff
        lost = tariff.stall_cost * max(0.0, SHORT - share)
        if share > 0:
            self.earned += seconds * tariff.revenue * tariff.earns[rung] * max(0.0, 1 - lost)

    def step(self) -> None:
        """The rung changed while it played."""
        self.earned -= self._tariff.switch_s * self._tariff.revenue


class Player:
    """One viewer's player, from its request to its end."""

    def __init__(self, now: int, habits: Habits) -> None:
        """Raises ValueError for a resume of nothing, with which a short stream would stall without end."""
        if habits.resume <= 0:
            raise ValueError("resume must be above 0")
        self.habits = habits
        self.state = "asking"
        self.buffer = 0.0  # nanoseconds of media held
        self.seen = 0.0  # nanoseconds of media played
        self.share = 0.0
        self.stalls = 0
        self.stalled = 0  # nanoseconds spent so
        self.breaks = 0
        self._since = now  # when it began to wait, in the states that wait
        self._at = now

    # What happens to it.

    def begins(self, now: int, share: float = 1.0) -> None:
        """Its stream begins."""
        self._happen(now, "begins")
        self.share = share

    def shares(self, now: int, share: float) -> None:
        """Its stream gets another share from now on."""
        self.pass_to(now)
        self.share = max(0.0, min(1.0, share))

    def breaks_off(self, now: int) -> None:
        """Its stream is lost; it plays on from its buffer until it asks again or has seen that out."""
        self._happen(now, "breaks")

    def pass_to(self, now: int) -> None:
        """Let time pass; whatever falls due on the way happens in its order."""
        while True:
            due, happening = self._next()
            if due > now:
                break
            self._flow(due)
            self._step(happening)
        self._flow(now)

    @property
    def due(self) -> int:
        """When it next changes by itself; `NEVER` if it does not."""
        return self._next()[0]

    @property
    def over(self) -> bool:
        """Whether it has left or seen all it wanted."""
        return self.state in ("gone", "done")

    # How it goes on.

    def _next(self) -> tuple[int, str]:
        """The next thing that happens by itself. At one instant leaving comes after all that keeps it."""
        found = [(due, place, what) for place, (what, due) in enumerate(self._coming()) if due < NEVER]
        due, _, what = min(found, default=(NEVER, 0, ""))
        return due, what

    def _coming(self) -> list[tuple[str, int]]:
        habits, rate = self.habits, self.share
        if self.state in ("starting", "stalled"):
            usual = habits.start_up if self.state == "starting" else habits.resume
            # What is still wanted may be less than what a start needs.
            needs = min(usual, habits.wants - self.seen)
            patience = habits.start_patience if self.state == "starting" else habits.stall_patience
            return [("filled", self._after(needs - self.buffer, rate)), ("impatient", self._since + patience)]
        if self.state == "asking":
            return [("impatient", self._since + habits.start_patience)]
        if self.state == "playing":
            seen = self._after(habits.wants - self.seen, 1.0)
            empty = self._after(self.buffer, 1.0 - rate) if rate < 1 else NEVER
            # Rounding must not make a stall of the last instant.
            return [("seen", seen), ("empty", empty if empty < seen - ROUNDING else NEVER)]
        return []

    def _after(self, amount: float, rate: float) -> int:
        if amount <= 0.5:
            return self._at
        return self._at + int(-(-amount // rate)) if rate > 1e-9 else NEVER

    def _flow(self, now: int) -> None:
        passed, self._at = max(0, now - self._at), max(now, self._at)
        if self.state in ("starting", "stalled", "playing"):
            self.buffer += passed * self.share
        if self.state == "playing":
            self.seen += passed
            self.buffer = max(0.0, self.buffer - passed)
        elif self.state == "stalled":
            self.stalled += passed

    def _happen(self, now: int, happening: str) -> None:
        self.pass_to(now)
        self._step(happening)

    def _step(self, happening: str) -> None:
        row = LIFE.get((self.state, happening))
        if row is None:
            return
        self.state, effect = row
        if effect is not None:
            effect(self)

    def _wait(self) -> None:
        self._since = self._at

    def _stall(self) -> None:
        self.stalls += 1
        self._wait()

    def _break(self) -> None:
        # A new stream begins at the place reached; what was held of the old one is of no use to it.
        self.breaks += 1
        self.share = self.buffer = 0.0
        self._wait()


# State and what happens give the next state and what is done about it; what has no row changes nothing.
LIFE: dict[tuple[str, str], tuple[str, Callable[[Player], None] | None]] = {
    ("asking", "begins"): ("starting", None),
    ("asking", "impatient"): ("gone", None),
    ("starting", "filled"): ("playing", None),
    ("starting", "impatient"): ("gone", None),
    ("starting", "breaks"): ("asking", Player._break),
    ("playing", "empty"): ("stalled", Player._stall),
    ("playing", "seen"): ("done", None),
    ("playing", "breaks"): ("asking", Player._break),
    ("stalled", "filled"): ("playing", None),
    ("stalled", "impatient"): ("gone", None),
    ("stalled", "breaks"): ("asking", Player._break),
}
