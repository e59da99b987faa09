"""Holds those on the new version against those on the old, at the same time. Free of I/O.

Of the bad things that happen to requests, the part that falls on the new version says whether it is worse: as
many as its part of the requests where both are alike, more where it does `worse` times as badly. What strikes
both alike moves nothing. Wald's sequential test (1945) adds up the likelihood of the two, event by event, so
that looking often costs nothing: it is over the upper bound by chance at most `false_alarm` of times, and one
that is just `worse` stays under it at most `miss` of times once there are events enough.

Two departures. Bad things come in bursts, and gateways differ: how far those on the old version differ among
themselves, beyond chance, is estimated, and the likelihood is divided by it. And the sum is kept from falling
far, so that a version that was well for long and then fails is found nearly as fast as at first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import log
from typing import NamedTuple

import msgspec

# Of what is compared: the counts that are bad, and the count of what they are a part of.
MEASURES: dict[str, tuple[tuple[str, ...], str]] = {
    "unserved": (("rejected", "aborted", "cut"), "asked"),
    "rejected": (("rejected",), "asked"),
    "aborted": (("aborted", "cut"), "asked"),
    "slow": (("slow",), "asked"),
    "tries": (("further tries",), "asked"),
    "short": (("short",), "plays"),
}


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Of one measure since a watch began."""

    llr: float = 0.0  # the sum of the test
    new_bad: float = 0.0
    new: float = 0.0
    old_bad: float = 0.0
    old: float = 0.0


class Evidence(msgspec.Struct, frozen=True):
    """What a watch has seen, kept with the release so that the next leader goes on with it."""

    release: int = 0
    step: int = 0
    measures: dict[str, Count] = {}
    mark: str = ""  # of the last look that is in it


class Part(NamedTuple):
    """What one gateway did between two looks."""

    new: bool
    counts: Mapping[str, int]


class Terms(NamedTuple):
    """Of the test."""

    worse: float
    false_alarm: float
    miss: float
    compare: tuple[str, ...]

    @property
    def upper(self) -> float:
        """Over it the version is harmful; the measures share the chance of a false alarm."""
        return log((1 - self.miss) * len(self.compare) / self.false_alarm)

    @property
    def lower(self) -> float:
        """The sum is not let under it: twice as far as Wald's lower bound, or each return from it would be
        another chance of a false alarm."""
        return 2 * log(self.miss)


def difference(before: Mapping[str, int], after: Mapping[str, int]) -> dict[str, int]:
    """What was counted between two looks."""
    return {what: max(0, count - before.get(what, 0)) for what, count in after.items()}


def look(evidence: Evidence, parts: Iterable[Part], spread: Mapping[str, float], terms: Terms) -> Evidence:
    """One more look. `spread` is, by measure, how many times more than by chance gateways on the old version
    differ; see `Spread`."""
    parts = list(parts)
    found = {}
    for what in terms.compare:
        count = evidence.measures.get(what, Count())
        new, old, new_bad, old_bad = 0.0, 0.0, 0.0, 0.0
        for one in parts:
            failed, seen = bad_of(what, one.counts)
            if one.new:
                new, new_bad = new + seen, new_bad + failed
            else:
                old, old_bad = old + seen, old_bad + failed
        llr = count.llr
        if new and old:
            llr += likelihood(new_bad, old_bad, new, old, terms.worse) / max(1.0, spread.get(what, 1.0))
        found[what] = Count(
            max(terms.lower, llr),
            count.new_bad + new_bad,
            count.new + new,
            count.old_bad + old_bad,
            count.old + old,
        )
    return msgspec.structs.replace(evidence, measures=found)


def likelihood(new_bad: float, old_bad: float, new: float, old: float, worse: float) -> float:
    """How much more likely these are where the new version does `worse` times as badly, as a logarithm."""
    alike = new / (new + old)
    harmed = worse * new / (worse * new + old)
    return new_bad * log(harmed / alike) + old_bad * log((1 - harmed) / (1 - alike))


def verdict(evidence: Evidence, terms: Terms) -> str:
    """What is worse, in one line; empty where nothing is known to be."""
    for what in terms.compare:
        count = evidence.measures.get(what, Count())
        if count.llr >= terms.upper:
            new, old = share(count.new_bad, count.new), share(count.old_bad, count.old)
            return (
                f"{what} is {new} with the new version ({count.new_bad:.0f} of {count.new:.0f}) and {old} "
                f"with the old ({count.old_bad:.0f} of {count.old:.0f}) at the same time"
            )
    return ""


def share(bad: float, of: float) -> str:
    """For people."""
    return f"{bad / of:.3f}" if of else "nothing"


def seen(evidence: Evidence) -> float:
    """Requests by the new version in this watch."""
    return max(
        (one.new for what, one in evidence.measures.items() if MEASURES[what][1] == "asked"), default=0
    )


class Spread:
    """How far gateways on the old version differ in a measure, as a multiple of chance (Pearson's statistic
    over its degrees of freedom): 1 where only chance tells them apart. Looked at twice: within each look,
    which finds bursts, and over all looks, which finds gateways that fare otherwise than the rest."""

    PRIOR, WEIGHT = 2.0, 10.0  # what is believed before anything is seen, and for how many degrees

    def __init__(self) -> None:
        self._chi: dict[str, float] = {}
        self._degrees: dict[str, float] = {}
        self._all: dict[tuple[str, str], tuple[float, float]] = {}

    def look(self, parts: Mapping[str, Mapping[str, int]]) -> None:
        """What each on the old version did between two looks."""
        for what in MEASURES:
            cells = [bad_of(what, counts) for counts in parts.values()]
            chi, degrees = pearson(cells)
            self._chi[what] = self._chi.get(what, 0.0) + chi
            self._degrees[what] = self._degrees.get(what, 0.0) + degrees
            for who, (bad, of) in zip(parts, cells, strict=True):
                before = self._all.get((what, who), (0.0, 0.0))
                self._all[what, who] = before[0] + bad, before[1] + of

    def by_measure(self) -> dict[str, float]:
        """For `look`."""
        return {what: self._one(what) for what in MEASURES}

    def _one(self, what: str) -> float:
        within = self._believed(self._chi.get(what, 0.0), self._degrees.get(what, 0.0))
        chi, degrees = pearson([cell for (name, _), cell in self._all.items() if name == what])
        return max(1.0, within, self._believed(chi, degrees))

    def _believed(self, chi: float, degrees: float) -> float:
        return (self.PRIOR * self.WEIGHT + chi) / (self.WEIGHT + degrees)


def bad_of(what: str, counts: Mapping[str, int]) -> tuple[float, float]:
    """Of a measure: the bad, and what they are a part of."""
    bad, of = MEASURES[what]
    failed = sum(counts.get(name, 0) for name in bad)
    return float(failed), float(max(counts.get(of, 0), failed if of == "asked" else 0))


def pearson(cells: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """Pearson's statistic of bad counts around their common rate, and its degrees of freedom; none where
    nothing bad was seen."""
    cells = [cell for cell in cells if cell[1] > 0]
    bad, of = sum(cell[0] for cell in cells), sum(cell[1] for cell in cells)
    if len(cells) < 2 or not bad:
        return 0.0, 0.0
    rate = bad / of
    return sum((cell[0] - rate * cell[1]) ** 2 / (rate * cell[1]) for cell in cells), len(cells) - 1.0
