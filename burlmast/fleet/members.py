"""Who is there: membership in the manner of SWIM (Das, Gupta, Motivala 2002). Free of I/O.

Each period a member probes one other, round the list in an order of its own. Where no answer comes it probes
again and asks a few others to probe for it; where none of them gets one either, it suspects the other and
probes it beside its turn from then on, until it answers or has failed to so often that it is gone. A member
that hears that it is held gone says that it lives, with a higher incarnation. News is passed on with probes
and answers, each piece a bounded number of times, so that what a member sends in a period does not grow with
their number.

Departures. Suspicion is not passed on: with one message in five lost it filled all messages, and the live
were buried under it. The gone are probed now and then, so that halves that were apart find each other. A
member that hears nobody doubts itself first and waits longer (after Lifeguard, 2017): one that was stopped,
or is cut off alone, does not bury the fleet. Such a one asks nobody to help and nobody twice, and of its
suspects it probes two in a period, by turns: else a fleet that is late for any reason keeps itself late.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from math import ceil, log2
from typing import Any

import msgspec

ALIVE, SUSPECT, GONE = "alive", "suspect", "gone"
HELPERS = 3  # asked to probe for another
PIECES = 8  # of news in one message
SUSPECTS = 2  # probed in a period beside the one whose turn it is, by turns where there are more
DOUBTS = 4  # probes in a row unanswered, by whomever, from which on others are not asked to help
REVISIT = 5  # every so many probes one of the gone is probed, if there are any
GONE_KEPT = 100  # periods that the gone are remembered, times the logarithm of their number


class News(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one life of a member; `address` where it is spoken to."""

    name: str  # number and life
    address: str
    state: str
    incarnation: int


class Words(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message: a probe, an answer, or a plea to probe for the sender."""

    kind: str  # probe, answer, plead
    sender: str
    count: int  # names the probe that it is of
    target: str = ""  # of a plea, and of the answer that comes of one
    news: tuple[News, ...] = ()


class Send(msgspec.Struct, frozen=True):
    """A message to carry."""

    address: str
    words: Words


class Member:
    """Another member as this one knows it."""

    __slots__ = ("address", "failures", "incarnation", "name", "since", "spread", "state")

    def __init__(self, name: str, address: str, state: str, incarnation: int, since: int) -> None:
        self.name, self.address, self.state = name, address, state
        self.incarnation, self.since = incarnation, since
        self.spread = 0  # how often its news has been passed on
        self.failures = 0  # probes in a row that it did not answer, to nobody


# Of what is known and what is heard: whether the heard takes its place. The incarnation decides first.
TABLE: dict[tuple[str, str], str] = {
    # known, heard with the same incarnation: what is known then
    (ALIVE, ALIVE): ALIVE,
    (ALIVE, SUSPECT): SUSPECT,
    (ALIVE, GONE): GONE,
    (SUSPECT, ALIVE): SUSPECT,  # cleared by an answer, or by a higher incarnation
    (SUSPECT, SUSPECT): SUSPECT,
    (SUSPECT, GONE): GONE,
    (GONE, ALIVE): GONE,
    (GONE, SUSPECT): GONE,
    (GONE, GONE): GONE,
}


class Probe:
    """A probe on its way."""

    __slots__ = ("asked", "began", "count", "for_whom", "member")

    def __init__(self, member: Member, began: int, count: int, for_whom: tuple[str, str, int] | None) -> None:
        self.member, self.began, self.count = member, began, count
        self.asked = False  # others were, too
        self.for_whom = for_whom  # who pleaded, where, and by which count


class Members:
    """One member's view. Times are nanoseconds of its own steady clock."""

    def __init__(
        self,
        name: str,
        address: str,
        now: int,
        period: int,
        patience: int,
        seed: int,
        remark: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`period` nanoseconds between two probes; `patience` probes in a row unanswered make a member
        gone."""
        self.name, self.address, self.period, self.patience = name, address, period, patience
        self.incarnation = 0
        self.others: dict[str, Member] = {}
        self._round: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._count = self._draws = 0
        self._seed, self._remark = seed, remark
        self._next = now + self._chance(period)
        self._probed_so_far = 0
        self.doubt = 0  # of itself: probes in a row, of whomever, that nobody answered

    def _chance(self, below: int) -> int:
        self._draws += 1
        return zlib.crc32(f"{self._seed}:{self._draws}".encode()) * below >> 32

    # What is known.

    def there(self) -> list[Member]:
        """All that are not held gone, by name."""
        return [one for _, one in sorted(self.others.items()) if one.state != GONE]

    def state(self, name: str) -> str:
        """What a member is held to be; empty for one never heard of."""
        return self.others[name].state if name in self.others else ""

    def joined(self, now: int, name: str, address: str) -> None:
        """Heard of from elsewhere (a desk): alive, unless more is known."""
        if name != self.name and name not in self.others:
            one = self.others[name] = Member(name, address, ALIVE, 0, now)
            one.spread = 1 << 30  # the desks tell the others, too

    # Time.

    def tick(self, now: int) -> list[Send]:
        """What is due; a few times a period does."""
        out: list[Send] = []
        for count, probe in list(self._probes.items()):
            if now - probe.began >= self.period:
                del self._probes[count]
                if probe.for_whom is None:
                    self._unanswered(now, probe.member)
            elif not probe.asked and probe.for_whom is None and now - probe.began >= self.period // 3:
                probe.asked = True
                # Danger: where a machine or a network is late, all who ask again make it later.
                doubts = self.doubt >= DOUBTS
                if not doubts or probe.member.state != SUSPECT:
                    out.append(self._say(probe.member.address, "probe", count, about=probe.member))
                out += [] if doubts else self._plead(probe)
        remembered = GONE_KEPT * self.period * ceil(log2(len(self.others) + 2))
        for one in list(self.others.values()):
            if one.state == GONE and now - one.since >= remembered:
                del self.others[one.name]
        if now >= self._next:
            self._next = max(self._next + self.period, now + self.period // 2)
            out += self._probe(now)
        return out

    def _probe(self, now: int) -> list[Send]:
        there = self.there()
        suspects = [one for one in there if one.state == SUSPECT]
        if len(suspects) > SUSPECTS:
            first = self._probed_so_far * SUSPECTS % len(suspects)
            suspects = (suspects + suspects)[first : first + SUSPECTS]
        out = [self._start(now, one, None) for one in suspects]
        gone = [one for _, one in sorted(self.others.items()) if one.state == GONE]
        self._probed_so_far += 1
        if gone and (self._probed_so_far % REVISIT == 0 or not there):
            out.append(self._start(now, gone[self._chance(len(gone))], None))
        if not there:
            return out
        self._round = [name for name in self._round if self.state(name) in (ALIVE, SUSPECT)]
        if not self._round:
            names = [one.name for one in there]
            while names:  # an order of its own for each round: nobody is probed by all at once
                self._round.append(names.pop(self._chance(len(names))))
        member = self.others[self._round.pop()]
        return [*out, self._start(now, member, None)] if member.state == ALIVE else out

    def _start(self, now: int, member: Member, for_whom: tuple[str, str, int] | None) -> Send:
        self._count += 1
        self._probes[self._count] = Probe(member, now, self._count, for_whom)
        return self._say(member.address, "probe", self._count, about=member)

    def _plead(self, probe: Probe) -> list[Send]:
        able = [one for one in self.there() if one is not probe.member and one.state == ALIVE]
        out = []
        for _ in range(min(HELPERS, len(able))):
            helper = able.pop(self._chance(len(able)))
            out.append(self._say(helper.address, "plead", probe.count, probe.member.name))
        return out

    def _unanswered(self, now: int, one: Member) -> None:
        self.doubt += 1
        one.failures += 1
        if one.state == ALIVE:
            self._hold(now, one, SUSPECT, one.incarnation)
        elif one.state == SUSPECT and one.failures >= self.patience * (1 + min(self.doubt // 4, 4)):
            self._hold(now, one, GONE, one.incarnation)

    # Messages.

    def _say(
        self, address: str, kind: str, count: int, target: str = "", about: Member | None = None
    ) -> Send:
        return Send(address, Words(kind, self.name, count, target, self._news(about)))

    def _news(self, about: Member | None) -> tuple[News, ...]:
        most = 3 * ceil(log2(len(self.others) + 2))
        fresh = sorted(
            (
                one
                for one in self.others.values()
                if one.spread < most and one is not about and one.state != SUSPECT
            ),
            key=lambda one: (one.spread, one.name),
        )[: PIECES - 2]
        # Who is held gone hears of it from whoever speaks to it, and can speak up.
        first = [about] if about is not None and about.state == GONE else []
        for one in fresh:
            one.spread += 1
        told = [News(one.name, one.address, one.state, one.incarnation) for one in [*first, *fresh]]
        return (News(self.name, self.address, ALIVE, self.incarnation), *told)

    def take(self, now: int, words: Words) -> list[Send]:
        """A message came; the answers to carry."""
        for news in words.news:
            self.hear(now, news)
        address = next((news.address for news in words.news if news.name == words.sender), "")
        effect = KINDS.get(words.kind)
        return effect(self, now, words, address) if effect is not None and address else []

    def _probed(self, now: int, words: Words, address: str) -> list[Send]:
        return [self._say(address, "answer", words.count, about=self.others.get(words.sender))]

    def _pleaded(self, now: int, words: Words, address: str) -> list[Send]:
        target = self.others.get(words.target)
        if target is None:
            return []
        return [self._start(now, target, (words.sender, address, words.count))]

    def _answered(self, now: int, words: Words, address: str) -> list[Send]:
        probe = self._probes.pop(words.count, None)
        if probe is None:
            return []
        if words.sender != probe.member.name and words.target != probe.member.name:
            self._probes[words.count] = probe  # of another's probe: a count is no proof by itself
            return []
        if probe.for_whom is not None:
            _, back, count = probe.for_whom
            return [self._say(back, "answer", count, probe.member.name)]
        self.doubt = probe.member.failures = 0
        if probe.member.state == SUSPECT:
            self._hold(now, probe.member, ALIVE, probe.member.incarnation)
        return []

    def hear(self, now: int, news: News) -> None:
        """News of a member, from whoever."""
        if news.state not in (ALIVE, SUSPECT, GONE):
            return
        if news.name == self.name:
            if news.state == GONE and news.incarnation >= self.incarnation:
                self.incarnation = news.incarnation + 1  # it is told with every word of ours
            return
        known = self.others.get(news.name)
        if known is None:
            if news.state != GONE:  # who is gone and was never known need not be remembered
                self.others[news.name] = Member(news.name, news.address, news.state, news.incarnation, now)
            return
        if news.incarnation < known.incarnation:
            return
        state = news.state if news.incarnation > known.incarnation else TABLE[known.state, news.state]
        if state != known.state or news.incarnation != known.incarnation:
            known.address = news.address or known.address
            self._hold(now, known, state, news.incarnation)

    def _hold(self, now: int, one: Member, state: str, incarnation: int) -> None:
        if state != one.state:
            one.since = now
            if GONE in (state, one.state):
                self._remark(f"{one.name} {'is held gone' if state == GONE else 'is back'}")
        if GONE in (state, one.state) or incarnation != one.incarnation:
            one.spread = 0  # there is something to pass on
        one.state, one.incarnation = state, incarnation
        if state == ALIVE:
            one.failures = 0


KINDS: dict[str, Callable[[Any, int, Words, str], list[Send]]] = {
    "probe": Members._probed,
    "plead": Members._pleaded,
    "answer": Members._answered,
}
