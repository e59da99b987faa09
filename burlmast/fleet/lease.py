"""Who may act in which epoch: leases that a majority of desks gives, both sides. Free of I/O.

Versions of one epoch act side by side; those of two never at one time. A gateway acts in an epoch while a
majority of desks has said so lately, by its own clock counted from when it asked. A desk says so only once
nobody can act in an earlier epoch by what it said itself, by its own clock counted from when it answered.
Any two majorities share a desk, so one of the two gateways is not let in. Both clocks need only run at
speeds that differ from true time by a stated most.

Settings without a lease may be acted on for any time: there a desk waits until each gateway of the fleet has
said that it acts in no earlier epoch.
"""

from __future__ import annotations

import msgspec


class Ask(msgspec.Struct, frozen=True, omit_defaults=True):
    """A gateway asks to act in an epoch, and says in which it acts until it hears."""

    gateway: int
    life: str
    count: int  # of its asks; what comes late is known by it
    epoch: int  # in which it acts or wants to; in an earlier one it acts no more
    free: bool  # it acts there without a lease
    length: int  # nanoseconds; 0: its settings need no lease
    ready: int = 0  # the last order for which it has all it needs
    before: str = ""  # the life before, which is over: this one holds its files


class Given(msgspec.Struct, frozen=True, omit_defaults=True):
    """A desk's answer; `barred` is the epoch that has taken the asked one's place."""

    yes: bool
    epoch: int
    length: int = 0
    barred: int = 0
    why: str = ""


class Called(msgspec.Struct, frozen=True):
    """The last order whose versions must not mix, as a desk knows it; times in nanoseconds."""

    epoch: int = 0
    leased: bool = False  # all that may be in force before it needs a lease
    longest: int = 0  # the longest lease of that
    within: int = 0  # how long those that are not ready are waited for
    without: tuple[int, ...] = ()  # gateways that an operator vouches not to run


class Hold:
    """What a desk knows of one life of a gateway."""

    __slots__ = ("count", "epoch", "free", "gave_free", "heard", "ready", "until")

    def __init__(self) -> None:
        self.count, self.epoch, self.ready = -1, 0, 0
        self.free = self.gave_free = False  # acts without a lease; may, by what this desk gave
        self.until = 0  # by this desk's clock, when the last that was given is over
        self.heard = 0  # by this desk's clock, when it last asked


class CoordinatorLeases:
    """One desk's side. Times are nanoseconds of its own steady clock."""

    def __init__(self, now: int, gateways: int, drift: float, floor: int = 0) -> None:
        """`drift` is the part by which clocks may differ in speed; `floor` the highest epoch given, from
        disk."""
        self.began, self.gateways, self.drift, self.floor = now, gateways, drift, floor
        self._least = 0  # the epoch of the book by which a lost disk was filled
        self.holds: dict[tuple[int, str], Hold] = {}
        self._learnt: dict[int, int] = {}  # epoch: when this desk first heard of it
        self.switched = 0  # the epoch for which this desk has stopped to give earlier ones

    def lost(self, epoch: int) -> None:
        """This desk's disk was lost, and filled by a book of this epoch. It may have let somebody act there,
        so it gives nothing earlier; it may not have, so it lets nobody in before the earlier are out."""
        self._least = epoch

    def take(self, now: int, ask: Ask, called: Called) -> Given:
        """Answer a gateway. `floor` must be on the disk before a higher one is answered."""
        hold = self._heard(now, ask)
        lowest = max(self.floor, self._least, self._switch(now, called))
        if ask.epoch < lowest:
            return Given(False, ask.epoch, 0, lowest, f"order {lowest} has taken its place, and must not mix")
        if ask.epoch > self.floor:
            waits = self._waits_for(now, ask.epoch, called)
            if waits:
                return Given(False, ask.epoch, why=waits)
            self.floor = ask.epoch
        if ask.length:
            hold.until = max(hold.until, now + int(ask.length * (1 + self.drift)))
        else:
            hold.gave_free = True
        return Given(True, ask.epoch, ask.length)

    def _heard(self, now: int, ask: Ask) -> Hold:
        if ask.before:
            self.holds.pop((ask.gateway, ask.before), None)
        hold = self.holds.setdefault((ask.gateway, ask.life), Hold())
        if ask.count > hold.count:  # a late word must not undo what was heard since
            if ask.epoch > hold.epoch or (ask.length and not ask.free):
                hold.gave_free = False
            hold.count, hold.epoch, hold.free, hold.ready = ask.count, ask.epoch, ask.free, ask.ready
            hold.heard = now
        return hold

    def _switch(self, now: int, called: Called) -> int:
        """The epoch for which this desk gives nothing earlier: all are ready for it, or its time is up and
        most of those that speak are."""
        if called.epoch > self.switched:
            since = self._learnt.setdefault(called.epoch, now)
            spoke = {key[0]: hold for key, hold in sorted(self.holds.items()) if hold.heard >= since}
            ready = {gateway for gateway, hold in spoke.items() if hold.ready >= called.epoch}
            # Danger: a version that few can use would shut out the whole fleet.
            most = 2 * len(ready) > len(spoke)
            if len(ready | set(called.without)) >= self.gateways or (most and now - since >= called.within):
                self.switched = called.epoch
        return self.switched

    def _waits_for(self, now: int, epoch: int, called: Called) -> str:
        """Who may still act in an earlier epoch; empty for nobody."""
        if epoch > self.switched:
            return "not all are ready, and its time is not up"
        # Danger: a desk that has just started does not know what it gave before.
        if now - self.began < int(called.longest * (1 + self.drift)):
            return "this desk has just started, and what it gave before may be in use"
        for gateway, life in sorted(self.holds):
            hold = self.holds[gateway, life]
            if hold.epoch >= epoch or gateway in called.without:
                continue
            if hold.free or hold.gave_free:
                return f"gateway {gateway} may act without a lease"
            if now < hold.until:
                return f"gateway {gateway} may act until its lease is over"
        if not called.leased:
            heard = {gateway for gateway, _ in self.holds} | set(called.without)
            missing = [one for one in range(self.gateways) if one not in heard]
            if missing:
                return f"gateway {missing[0]} has not been heard, and may act without a lease"
        return ""


class GatewayLease:
    """One gateway's side. Times are nanoseconds of its own steady clock."""

    def __init__(self, desks: int, drift: float, length: int, epoch: int) -> None:
        """`length` 0: the settings in force need no lease."""
        self.majority, self.drift, self.length, self.epoch = desks // 2 + 1, drift, length, epoch
        self.free = not length  # acts without a lease
        self._until: dict[int, int] = {}  # by desk, in this epoch
        self._free_by: set[int] = set()  # desks that know that it may act here without a lease
        self._since = 0  # asks up to then said something else of its need
        self._barred: dict[int, int] = {}  # by desk, the epoch that has taken this one's place
        self.why = ""

    def fresh(self, now: int) -> bool:
        """Whether it may act in its epoch now."""
        return self.free or sum(1 for until in self._until.values() if until > now) >= self.majority

    def until(self, now: int) -> int:
        """When it may act no longer by what it holds now; `now` where it may not."""
        times = sorted(self._until.values(), reverse=True)
        return max(now, times[self.majority - 1]) if len(times) >= self.majority else now

    def answered(self, desk: int, now: int, asked_at: int, given: Given) -> None:
        """A desk's answer to what was asked at that time."""
        if given.epoch != self.epoch:
            return  # of an ask from before the move
        if not given.yes:
            self.why = given.why
            if given.barred > self.epoch:
                self._barred[desk] = given.barred
            return
        self._barred.pop(desk, None)
        if given.length:
            until = asked_at + int(given.length * (1 - self.drift))
            self._until[desk] = max(self._until.get(desk, 0), until)
        elif asked_at > self._since:
            self._free_by.add(desk)
        if not self.length:
            self.free = self.free or len(self._free_by) >= self.majority
        elif sum(1 for one in self._until.values() if one > now) >= self.majority:
            # What needed no lease before acts on until the lease is there, and is held to it from then on.
            self.free, self._free_by = False, set()

    def may_act(self, now: int, epoch: int) -> bool:
        """Whether something new may be done now by settings of this epoch; asked before each act."""
        return epoch == self.epoch and self.fresh(now)

    def barred(self) -> int:
        """The epoch that has taken this one's place at a majority of desks, 0 for none."""
        if len(self._barred) < self.majority:
            return 0
        return max(self._barred.values())

    def move(self, epoch: int) -> None:
        """From now on it acts in a later epoch alone, and not before a majority lets it."""
        if epoch > self.epoch:
            self.epoch, self.free, self.why = epoch, False, "the new order's lease is not there yet"
            self._until, self._barred, self._free_by = {}, {}, set()

    def needs(self, now: int, length: int) -> None:
        """The settings in force from now on have this lease; 0 for none."""
        if bool(length) != bool(self.length):
            # Danger: desks that count on a lease let others in when it is over. Who gives one up is free only
            # once a majority has been told, by words from now on.
            self._since, self._free_by = now, set()
        self.length = length
