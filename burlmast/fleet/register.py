"""One value that desks change by compare-and-set at a majority, without a log. Free of I/O.

After CASPaxos (Rystsov 2018): a change prepares a ballot at a majority, applies a function to the newest
value found there, and has the result accepted at a majority. Two departures. An acceptor takes a value only
under the ballot that it promised last itself, so that a promise of an earlier disk counts for nothing. And a
desk whose disk is blank votes only once it has been filled: by a ballot of its own that a majority of all
promised, not counting itself.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

Ballot = tuple[int, int]  # a counter and the desk that counts
NONE: Ballot = (0, -1)


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor keeps on its disk before it answers."""

    voting: bool = False
    promised: Ballot = NONE
    accepted: Ballot = NONE
    value: bytes = b""


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """An acceptor's answer; `ballot` is the one that it holds against a lower one."""

    yes: bool
    ballot: Ballot = NONE
    accepted: Ballot = NONE
    value: bytes = b""


def prepare(kept: Kept, ballot: Ballot) -> tuple[Kept, Answer]:
    """Promise to take nothing under a lower ballot; what is to be on disk, and then the answer."""
    if not kept.voting or ballot <= kept.promised:
        return kept, Answer(False, kept.promised)
    after = msgspec.structs.replace(kept, promised=ballot)
    return after, Answer(True, ballot, kept.accepted, kept.value)


def accept(kept: Kept, ballot: Ballot, value: bytes) -> tuple[Kept, Answer]:
    """Take a value, under just the ballot that was promised last."""
    # Danger: with `<` in place of `!=` a promise made by the disk before this one would count here.
    if not kept.voting or ballot != kept.promised:
        return kept, Answer(False, kept.promised)
    return msgspec.structs.replace(kept, accepted=ballot, value=value), Answer(True, ballot)


def fill(kept: Kept, ballot: Ballot, accepted: Ballot, value: bytes) -> Kept:
    """What a blank desk keeps once a majority of all, itself not counted, has promised its ballot."""
    if kept.voting:
        return kept
    return Kept(True, max(kept.promised, ballot), accepted, value)


def begin(kept: Kept, value: bytes) -> Kept:
    """An operator says that this desk belongs to a fleet that begins, with this value; see docs/fleet.md
    for when that is safe."""
    return kept if kept.voting else Kept(True, kept.promised, (1, -1), value)


def first(kept: Kept | None, older: Kept) -> Kept:
    """What a register begins with beside an `older` one of the same disk; None where the disk has never had
    it, and is to have it from now on."""
    return FIRST["none" if kept is None else "there", older.voting](kept or Kept())


# Danger: a disk that has had this register and lost it must not begin with a vote, so a blank disk is given
# one that is silent before the older register is filled.
FIRST: dict[tuple[str, bool], Callable[[Kept], Kept]] = {
    # the register, whether the older one votes: what it begins with
    ("there", True): lambda kept: kept,
    ("there", False): lambda kept: kept,
    ("none", False): lambda kept: kept,  # a blank disk, to be filled
    ("none", True): lambda kept: Kept(voting=True),  # a programme without it ran here: nothing was promised
}


class Round:
    """One change on its way, or the filling of a blank desk.

    `STEPS` says what each answer does; the shell sends what `wants` names and hands the answers in.
    """

    def __init__(
        self, desk: int, desks: int, ballot: Ballot, change: Callable[[bytes], bytes | None]
    ) -> None:
        """`change` makes the next value of the newest, or None where there is nothing to change."""
        self.desk, self.majority, self.ballot, self.change = desk, desks // 2 + 1, ballot, change
        self.state = "asking"  # asking, telling, done, lost, unchanged
        self.filling = False
        self.newest: tuple[Ballot, bytes] = (NONE, b"")
        self.value = b""
        self.highest = ballot  # the highest ballot that was held against this one
        self.yes: list[int] = []
        self.no: list[int] = []
        self.voters: list[int] = []
        self._desks = desks

    @property
    def over(self) -> bool:
        """Whether nothing more can come of it."""
        return self.state not in ("asking", "telling")

    def answered(self, desk: int, answer: Answer | None) -> None:
        """What a desk answered, None for nothing; an answer said again changes nothing."""
        if desk in self.yes or desk in self.no:
            return
        (self.yes if answer is not None and answer.yes else self.no).append(desk)
        if answer is not None:
            self.highest = max(self.highest, answer.ballot)
            if answer.yes and self.state == "asking":
                self.newest = max(self.newest, (answer.accepted, answer.value))
        if len(self.yes) >= self.majority:
            self._enough()
        elif len(self.no) > self._desks - self.majority:
            self.state = "lost"

    def _enough(self) -> None:
        self.state, effect = STEPS[self.state, self.filling]
        if effect is not None:
            effect(self)

    def _tell(self) -> None:
        changed = self.change(self.newest[1])
        if changed is None:
            self.state = "unchanged"
            return
        # Only those that promised are told: see `accept`.
        self.value, self.voters = changed, list(self.yes)
        self.yes, self.no = [], [one for one in range(self._desks) if one not in self.voters]


STEPS: dict[tuple[str, bool], tuple[str, Callable[[Any], None] | None]] = {
    ("asking", False): ("telling", Round._tell),
    ("asking", True): ("done", None),
    ("telling", False): ("done", None),
    ("done", False): ("done", None),
    ("done", True): ("done", None),
}
