"""A gateway's way out and back under a leave: a table of state, input, next state, effect. Free of I/O.

It goes out only with consent: a majority of desks has said, in answer to words from after it knew of the
leave, that the leave stands and its drain goes on, by what each has accepted for the register itself. So a
halt or a call back that a majority has taken stops every gateway that has not begun, whether it hears or not.
It comes back without consent: its place stays taken until it says that it is done.
"""

from __future__ import annotations

import msgspec

from burlmast.fleet.outs import GATEWAY, Leave, Outs

TABLE: dict[tuple[str, str], tuple[str, str]] = {
    # state, input: next state, effect
    ("in", "let"): ("draining", "shut"),
    ("in", "called back"): ("finishing", "keep"),
    ("draining", "empty"): ("out", "tell"),
    ("draining", "overdue, halt"): ("late", "tell"),
    ("draining", "overdue, go on"): ("out", "tell"),
    ("draining", "overdue, cut"): ("out", "cut"),
    ("late", "empty"): ("out", "tell"),
    ("late", "let"): ("draining", ""),  # an operator has looked, and says that it goes on
    ("out", "come back"): ("returning", "open"),
    ("draining", "called back"): ("returning", "open"),
    ("late", "called back"): ("returning", "open"),
    ("out", "called back"): ("returning", "open"),
    # Without a majority nobody could call it back; what is out comes back by itself.
    ("draining", "alone"): ("returning", "open"),
    ("late", "alone"): ("returning", "open"),
    ("out", "alone"): ("returning", "open"),
    ("returning", "warm"): ("finishing", "keep"),
    ("finishing", "kept"): ("in", "tell"),
    ("finishing", "not kept"): ("finishing", "keep"),
}


class Going(msgspec.Struct, frozen=True):
    """What a gateway keeps of leaves on its disk."""

    disk: str = ""  # the disk's own name: leaves are for it
    began: int = 0  # the last leave on which it has begun to go
    was_out: int = 0  # the last on which it has been out
    finished: int = 0  # it never goes again on one up to this


class Consent:
    """Whether a majority of desks lets one thing be done, by answers to words from after it was known."""

    def __init__(self, desks: int) -> None:
        self.majority = desks // 2 + 1
        self.what = 0  # the number of what is asked about; 0 for nothing
        self._since = 0
        self._yes: dict[int, int] = {}  # by desk, when the word was said that it answered so

    def about(self, now: int, what: int) -> bool:
        """Ask about this from now on; whether that is another thing than before."""
        if what == self.what:
            return False
        self.what, self._since, self._yes = what, now, {}
        return True

    def answered(self, desk: int, asked_at: int, what: int, yes: bool) -> None:
        """A desk's answer to a word of that time."""
        if what and what == self.what and asked_at >= self._since:
            if yes:
                self._yes[desk] = max(asked_at, self._yes.get(desk, 0))
            else:
                self._yes.pop(desk, None)

    def given(self, now: int, fresh: int) -> bool:
        """Whether a majority said so in answer to words of the last `fresh` nanoseconds."""
        return bool(self.what) and sum(1 for at in self._yes.values() if now - at <= fresh) >= self.majority


class Traveller:
    """One gateway's way. Times are nanoseconds of its own steady clock."""

    def __init__(self, number: int, kept: Going, alone: int) -> None:
        """`kept` from an earlier life, or with a name for a new disk; after `alone` without a majority it
        comes back by itself."""
        self.number, self.kept, self._alone = number, kept, alone
        self.state, self.why = "in", ""
        self.leave: Leave | None = None
        self.restarted = False  # since it began to go on the leave that it holds
        self._due = 0
        self._first = True

    @property
    def shut(self) -> bool:
        """Whether it takes nothing new."""
        return self.state in ("draining", "late", "out")

    def hear(self, now: int, outs: Outs) -> str:
        """A book's leaves; the effect."""
        leave = outs.of(GATEWAY, self.number)
        if leave is not None and (leave.disk != self.kept.disk or leave.number <= self.kept.finished):
            leave = None  # another disk's, or one that is over here
        first, self._first = self._first, False
        if leave is None:
            # Its place was vouched for, or the book that told of it is lost: it has no right to be out.
            self.leave = None
            return self.take(now, "called back") if self.shut else ""
        self.leave = leave
        if first and leave.number <= self.kept.began:
            return self._woken(now, leave)
        return self.take(now, "called back") if leave.back else ""

    def _woken(self, now: int, leave: Leave) -> str:
        """A new life, whose life before had begun to go."""
        self.restarted = True
        if leave.back or leave.then != "stay":
            if leave.then == "restart" and not leave.back:
                self.kept = msgspec.structs.replace(self.kept, was_out=leave.number)
            self.state = "returning"
            return ""
        self.state, self._due = "draining", now + int(leave.plays_ms * 1e6)
        return "shut"

    def take(self, now: int, happening: str, why: str = "") -> str:
        """What happened; the effect that the shell has to see to."""
        row = TABLE.get((self.state, happening))
        if row is None:
            return ""
        before, (self.state, effect) = self.state, row
        self.why = why
        number = self.leave.number if self.leave is not None else self.kept.began
        if self.state == "draining" and self.leave is not None:
            self._due = now + int(self.leave.plays_ms * 1e6)
            self.kept = msgspec.structs.replace(self.kept, began=max(number, self.kept.began))
        elif self.state == "out":
            self.kept = msgspec.structs.replace(self.kept, was_out=max(number, self.kept.was_out))
        elif self.state == "finishing" and before != "finishing":
            self.kept = msgspec.structs.replace(self.kept, finished=max(number, self.kept.finished))
            # Danger: its consent may still be fresh once it is in again.
            self.leave = None
        return effect

    def look(self, now: int, consent: bool, busy: bool, warm: bool, heard: int) -> str:
        """What time brings: `consent` for the leave, whether anything is held or plays, whether it could be
        called warm, and when a majority of desks last spoke; the effect."""
        leave = self.leave
        if self.shut and now - heard > self._alone:
            return self.take(now, "alone", "no majority of desks speaks")
        if self.state == "in" and leave is not None and consent and not leave.back:
            return self.take(now, "let")
        if self.state == "draining" and leave is not None:
            if not busy:
                return self.take(now, "empty")
            if now >= self._due:
                return self.take(now, f"overdue, {leave.late}", "playbacks are left, and the time is up")
        if self.state == "late":
            if not busy:
                return self.take(now, "empty")
            return self.take(now, "let") if consent else ""
        if self.state == "out" and leave is not None and leave.then == "back":
            return self.take(now, "come back")
        if self.state == "returning" and warm:
            return self.take(now, "warm")
        return ""


def lets(outs: Outs, gateway: int, disk: str, number: int) -> bool:
    """A desk's side: whether a leave stands, by the value that it accepted itself, and may be gone on."""
    leave = outs.of(GATEWAY, gateway)
    if leave is None or leave.number != number or leave.disk != disk or leave.back:
        return False
    drain = outs.drain(leave.drain)
    return drain is not None and drain.state == "going"
