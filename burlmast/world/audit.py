"""Judges the six rules from the traffic that viewers, hosts and the list saw. It reads nothing of a
gateway's own.

The rules bind a gateway that runs. A request to one that was killed before it answered is excused; the time
for which one was stopped by a signal is added to what it had to keep.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

import msgspec

from burlmast.api import Repeat
from burlmast.world.traffic import (
    Answered,
    Asked,
    GatewayIs,
    GaveUp,
    HostUp,
    Lost,
    Record,
    RungSet,
    Told,
    TryCame,
    TryOver,
)

SECOND = 1_000_000_000
FOREVER = 1 << 62


class PlanRules(NamedTuple):
    """What the audit has to know of a plan; times in nanoseconds."""

    revenue: float
    startup_target: int
    repeat: Repeat
    repeat_group: str
    repeat_span: int
    floor: int
    seats: int


class Rulebook(NamedTuple):
    """The figures of the six rules, and how far two observers on one machine may differ."""

    plans: tuple[PlanRules, ...]
    earns: tuple[float, ...]
    grace: int
    cold_share: float
    warm_after: int
    fall_multiple: float
    fall_span: int
    further_free: float | None
    further_ratio: float
    further_span: int
    tolerance: int = SECOND // 4


class Broken(msgspec.Struct):
    """A rule that was broken, and the few lines of traffic that show it."""

    rule: int
    what: str
    lines: list[str]


class Verdict(msgspec.Struct):
    """What a day came to."""

    broken: list[Broken]
    asked: int
    plays: int
    rejected: int
    aborted: int
    unanswered: int
    excused: int
    tries: int
    service: float
    tries_a_request: float
    longest_hold_ms: float

    @property
    def rules(self) -> list[int]:
        """The rules that were broken, each once."""
        return sorted({one.rule for one in self.broken})


class Spell(NamedTuple):
    """A setup try as its host saw it, from its coming to its end."""

    came: TryCame
    end: int
    proven: bool
    how: str


class Audit:
    """Holds one day's traffic."""

    LINES = 6

    def __init__(self, records: Iterable[Record], book: Rulebook) -> None:
        self.book = book
        self.records = sorted(records, key=lambda one: one.at)
        self.origin = self.records[0].at if self.records else 0
        self.broken: list[Broken] = []
        self._by: dict[type, list] = defaultdict(list)  # type: ignore[type-arg]
        for record in self.records:
            self._by[type(record)].append(record)
        self._stops = self._pauses()
        self._lives = self._gateway_lives()
        self._spells = self._find_spells()
        self.excused = 0

    # What the traffic is read into.

    def _pauses(self) -> dict[int, list[tuple[int, int]]]:
        found: dict[int, list[tuple[int, int]]] = defaultdict(list)
        since: dict[int, int] = {}
        for one in self._by[GatewayIs]:
            if one.state == "stopped":
                since[one.gateway] = one.at
            elif one.gateway in since:
                found[one.gateway].append((since.pop(one.gateway), one.at))
        for gateway, at in since.items():
            found[gateway].append((at, FOREVER))
        return found

    def _gateway_lives(self) -> dict[int, list[tuple[int, int]]]:
        found: dict[int, list[tuple[int, int]]] = defaultdict(list)
        since: dict[int, int] = {}
        for one in self._by[GatewayIs]:
            if one.state == "up":
                since[one.gateway] = one.at
            elif one.state == "down" and one.gateway in since:
                found[one.gateway].append((since.pop(one.gateway), one.at))
        for gateway, at in since.items():
            found[gateway].append((at, FOREVER))
        return found

    def _find_spells(self) -> list[Spell]:
        ends: dict[tuple[int, int, str, int], TryOver] = {}
        for over in self._by[TryOver]:
            ends.setdefault((over.host, over.gateway, over.playback, over.attempt), over)
        spells = []
        for came in self._by[TryCame]:
            over = ends.get((came.host, came.gateway, came.playback, came.attempt))
            spells.append(
                Spell(came, over.at, over.proven, over.how) if over else Spell(came, FOREVER, False, "")
            )
        return spells

    def stopped(self, gateway: int, since: int, until: int) -> int:
        """For how long the gateway was stopped between the two, with a tolerance where it was."""
        pauses = self._stops.get(gateway, ())
        times = [min(until, end) - max(since, begin) for begin, end in pauses]
        total = sum(time for time in times if time > 0)
        return total + self.book.tolerance if total else 0

    def killed(self, gateway: int, since: int, until: int) -> bool:
        """Whether the gateway was down at some time between the two."""
        slack = self.book.tolerance
        return not any(
            begin <= since + slack and until <= end - slack for begin, end in self._lives.get(gateway, ())
        )

    def say(self, rule: int, what: str, *records: Record) -> None:
        """A rule is broken."""
        self.broken.append(Broken(rule, what, [self.line(one) for one in records[: self.LINES]]))

    def line(self, record: Record) -> str:
        """One line of traffic, in seconds from the day's start."""
        fields = " ".join(
            f"{name}={value}" for name, value in zip(record._fields, record, strict=True) if name != "at"
        )
        return f"{(record.at - self.origin) / 1e9:8.3f} {type(record).__name__} {fields}"

    # The rules.

    def judge(self) -> Verdict:
        """All six, and the day's figures."""
        self.one_answer()
        self.one_try()
        self.drains()
        self.cold_hosts()
        self.floors()
        self.seats()
        self.further_tries()
        return self.figures()

    def one_answer(self) -> None:
        """Rule 1."""
        answers: dict[int, list[Answered]] = defaultdict(list)
        for one in self._by[Answered]:
            answers[one.request].append(one)
        lost = {one.request: one for one in self._by[Lost]}
        gave_up = {one.request: one for one in self._by[GaveUp]}
        for asked in self._by[Asked]:
            found = answers.get(asked.request, [])
            if len(found) > 1:
                self.say(1, "a request was answered twice", asked, *found)
            elif found:
                took = found[0].at - asked.at
                late = took - asked.patience - self.book.tolerance
                if late > 0 and late > self.stopped(asked.gateway, asked.at, found[0].at):
                    self.say(1, f"a request was answered after {took / 1e9:.3f} s", asked, found[0])
            else:
                end = lost.get(asked.request) or gave_up.get(asked.request)
                if isinstance(end, Lost) and not end.taken:
                    self.excused += 1  # no gateway took it
                elif (
                    end is None
                    or self.killed(asked.gateway, asked.at, end.at)
                    or self.stopped(asked.gateway, asked.at, end.at)
                ):
                    self.excused += 1
                else:
                    self.say(1, "a request that was taken got no answer", asked, end, *self._likely(asked))

    def _likely(self, asked: Asked) -> list[TryCame]:
        """Tries that may be this request's: an answer that never came names no playback."""
        wanted = asked.gateway, asked.plan, asked.title
        came = [
            spell.came for spell in self._spells if asked.at <= spell.came.at <= asked.at + asked.patience
        ]
        return [one for one in came if (one.gateway, one.plan, one.title) == wanted][:2]

    def one_try(self) -> None:
        """Rule 2."""
        groups: dict[str, list[Spell]] = defaultdict(list)
        for spell in self._spells:
            groups[spell.came.playback].append(spell)
        rejected = {one.playback: one for one in self._by[Answered] if one.status == 503 and one.playback}
        for playback, spells in groups.items():
            spells.sort(key=lambda spell: spell.came.attempt)
            for earlier, later in pairwise(spells):
                # An end that the host made was seen there first; one that the gateway made may be seen late.
                slack = self.book.tolerance if earlier.how == "closed" else 0
                if earlier.end - later.came.at > slack:
                    self.say(2, "two setup tries were out at once", earlier.came, later.came)
            plan = self.book.plans[spells[0].came.plan]
            if plan.repeat is Repeat.FREELY:
                continue
            risky = [spell for spell in spells if not spell.proven]
            for earlier in risky:
                for later in spells:
                    if later.came.attempt <= earlier.came.attempt:
                        continue
                    if plan.repeat is Repeat.NEVER:
                        self.say(2, "sent again though it may have run", earlier.came, later.came)
                    elif later.came.at - earlier.came.at > plan.repeat_span + self.book.tolerance:
                        self.say(2, "sent again too late for its plan", earlier.came, later.came)
                    elif not self._same_group(plan.repeat_group, earlier.came.host, later.came.host):
                        self.say(2, f"sent again in another {plan.repeat_group}", earlier.came, later.came)
            bound = plan.repeat is Repeat.NEVER or plan.repeat_group != "all"
            if bound and risky and playback in rejected:
                self.say(2, "rejected though it may have run", risky[0].came, rejected[playback])

    def _same_group(self, group: str, one: int, other: int) -> bool:
        if group == "all":
            return True
        places = {up.host: up.zone if group == "zone" else up.cell for up in self._by[HostUp]}
        return one in places and other in places and places[one] == places[other]

    def drains(self) -> None:
        """Rule 3."""
        told: dict[tuple[int, int], list[Told]] = defaultdict(list)
        for one in self._by[Told]:
            told[one.gateway, one.host].append(one)
        for spell in self._spells:
            came = spell.came
            news = told.get((came.gateway, came.host), [])
            last = bisect_right([one.at for one in news], came.at) - 1
            if last < 0 or news[last].standing == "ready":
                continue
            first = last
            while first and news[first - 1].standing != "ready":
                first -= 1
            since = news[first]
            if not any(begin <= since.at and came.at <= end for begin, end in self._lives[came.gateway]):
                continue  # another life of this gateway was told
            over = came.at - since.at - self.book.grace - self.book.tolerance
            if over > self.stopped(came.gateway, since.at, came.at):
                self.say(
                    3, f"a set-up {(came.at - since.at) / 1e9:.3f} s after the drain was told", since, came
                )

    def cold_hosts(self) -> None:
        """Rule 4: all gateways together."""
        book = self.book
        sends: dict[int, list[TryCame]] = defaultdict(list)
        for spell in self._spells:
            sends[spell.came.host].append(spell.came)
        for up in self._by[HostUp]:
            if not up.cold:
                continue
            mine = [one for one in sends[up.host] if up.at <= one.at < up.at + book.warm_after]
            times = [one.at for one in mine]
            for place, first in enumerate(mine):
                within = bisect_left(times, first.at + book.fall_span) - place
                warmed = book.cold_share + (1 - book.cold_share) * (first.at - up.at) / book.warm_after
                most = book.fall_multiple * up.places * warmed / book.warm_after * book.fall_span
                if within > max(most, 1):
                    what = f"{within} set-ups within the span at a cold host that bears {most:.1f}"
                    self.say(4, what, up, *mine[place : place + 4])
                    break

    def floors(self) -> None:
        """Rule 5, rungs."""
        for one in (*self._by[TryCame], *self._by[RungSet]):
            if one.rung < self.book.plans[one.plan].floor:
                self.say(5, "a rung under the plan's floor", one)

    def seats(self) -> None:
        """Rule 5, seats: a gateway's tries and streams of one title and plan."""
        groups: dict[tuple[int, int, str, int], list[Spell]] = defaultdict(list)
        for spell in self._spells:
            came = spell.came
            if self.book.plans[came.plan].seats:
                groups[came.gateway, self._life(came), came.title, came.plan].append(spell)
        for (gateway, _, _, plan), spells in groups.items():
            seats = self.book.plans[plan].seats
            for spell in spells:
                at = spell.came.at
                there = [one for one in spells if one.came.at <= at < one.end - self.book.tolerance]
                if len(there) > seats and not self.stopped(gateway, at - self.book.tolerance, at):
                    what = f"{len(there)} playbacks of one title in a plan with {seats} seats"
                    self.say(5, what, *[one.came for one in there])
                    break

    def further_tries(self) -> None:
        """Rule 6: for each life of each gateway."""
        book = self.book
        if book.further_free is None:
            return
        asked: dict[int, list[int]] = defaultdict(list)
        for one in self._by[Asked]:
            asked[one.gateway].append(one.at)
        groups: dict[tuple[int, int], list[TryCame]] = defaultdict(list)
        for spell in self._spells:
            if spell.came.attempt > 0:
                groups[spell.came.gateway, self._life(spell.came)].append(spell.came)
        for (gateway, _), further in groups.items():
            times = [one.at for one in further]
            for place, last in enumerate(further):
                begin = last.at - book.further_span
                count = place + 1 - bisect_left(times, begin + book.tolerance)
                # Requests that lay in the socket while the gateway stood still count from when it took them.
                since = begin - book.tolerance - self.stopped(gateway, begin, last.at)
                took = bisect_right(asked[gateway], last.at) - bisect_left(asked[gateway], since)
                if count > book.further_free + book.further_ratio * took:
                    what = f"{count} further tries in a window with {took} requests"
                    self.say(6, what, *further[max(0, place - 3) : place + 1])
                    break

    def _life(self, came: TryCame) -> int:
        lives = self._lives.get(came.gateway, [])
        return bisect_right([begin for begin, _ in lives], came.at)

    # Figures.

    def figures(self) -> Verdict:
        """Service, tries and holds."""
        asked = {one.request: one for one in self._by[Asked]}
        answered = {one.request: one for one in self._by[Answered]}
        wanted = got = 0.0
        longest = 0
        statuses: dict[int, int] = defaultdict(int)
        for request, one in asked.items():
            plan = self.book.plans[one.plan]
            wanted += plan.revenue * self.book.earns[min(one.top, len(self.book.earns) - 1)]
            answer = answered.get(request)
            if answer is None:
                continue
            statuses[answer.status] += 1
            took = answer.at - one.at
            longest = max(longest, took)
            if answer.status == 201 and took <= plan.startup_target:
                got += plan.revenue * self.book.earns[answer.rung]
        tries = len(self._spells)
        return Verdict(
            self.broken,
            len(asked),
            statuses[201],
            statuses[503],
            statuses[502],
            len(asked) - sum(statuses.values()),
            self.excused,
            tries,
            round(got / wanted, 4) if wanted else 0.0,
            round(tries / len(asked), 4) if asked else 0.0,
            round(longest / 1e6, 1),
        )


def audit(records: Iterable[Record], book: Rulebook) -> Verdict:
    """The verdict on a day's traffic."""
    return Audit(records, book).judge()
