"""The fleet's audit: ledgers against what hosts heard. Free of I/O; it shares no code with what writes
ledgers and gives orders, and reads their words in its own types.

A hole is not a finding: what a killed gateway did after its last range, and what a full disk did not take, is
stated as not known. A finding says that what is known cannot be.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import pairwise
from types import MappingProxyType

import msgspec


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """What acts rested on, as the ledger says."""

    build: str
    settings: str
    hosts: str
    programme: int
    order: int
    epoch: int


class Row(msgspec.Struct, frozen=True):
    """One line of a ledger, as it is told."""

    life: str
    n: int
    kind: str
    gateway: int
    at: int
    page: int = 0
    stamp: Stamp | None = None
    first: int = 0
    last: int = 0
    counts: dict[str, int] = {}
    why: str = ""
    before: str = ""


class Ordered(msgspec.Struct, frozen=True):
    """One order, as it is told."""

    number: int
    settings: str
    apart: bool = False
    part: tuple[int, ...] = ()


class Heard(msgspec.Struct, frozen=True, array_like=True):
    """A set-up as a host read it; `at` by the hosts' clock in nanoseconds, `rate` kB a second."""

    at: int
    host: int
    gateway: int
    playback: str
    attempt: int
    plan: int
    rung: int
    rate: float
    by: tuple[str, int, int, int] | None  # life, page, act, epoch
    late: bool = False  # the host refused it: its epoch was over


class Finding(msgspec.Struct, frozen=True):
    """Something that cannot be, and what shows it."""

    what: str
    gateway: int
    evidence: str


class Hole(msgspec.Struct, frozen=True):
    """Acts that are not known: `last` 0 has no known end."""

    gateway: int
    life: str
    first: int
    last: int
    why: str


class Verdict(msgspec.Struct, frozen=True):
    """What the audit found."""

    acts: int  # told by ledgers
    set_ups: int  # heard by hosts
    matched: int  # heard, and told
    in_holes: int  # heard, where the ledger says that it does not know
    unsigned: int  # heard, of gateways that go alone
    holes: tuple[Hole, ...]
    findings: tuple[Finding, ...]


class Life:
    """One life as its rows tell it."""

    def __init__(self, rows: Sequence[Row], removed: int = 0) -> None:
        """`removed` is the last row that is kept no more somewhere; one here may be among them."""
        self.rows = sorted(rows, key=lambda row: row.n)
        self.life, self.gateway = self.rows[0].life, self.rows[0].gateway
        self.before = next((row.before for row in self.rows if row.kind == "life"), "")
        self.pages = {row.page: row for row in self.rows if row.kind == "page"}
        self.ranges = [row for row in self.rows if row.kind in ("range", "gap")]
        self.end = next((row for row in self.rows if row.kind == "end"), None)
        self.last = max((row.last for row in self.ranges), default=0)
        start = self.rows[-1].n  # from here on there is no hole
        for row in reversed(self.rows):
            if row.n < start - 1:
                break
            start = row.n
        self.cut = 1 < start <= removed + 1
        if self.cut:  # what is kept no more somewhere may be here in part: of that nothing more is asked
            self.ranges = [row for row in self.ranges if row.n >= start]
        self.begins = start if self.cut else 1
        numbers = [row.n for row in self.rows if row.n >= self.begins]
        self.whole = numbers == list(range(self.begins, self.begins + len(numbers)))
        self.known = self.ranges[0].first if self.cut and self.ranges else 1  # the first act that is told

    def holds(self, act: int) -> Row | None:
        """The row that speaks of an act."""
        return next((row for row in self.ranges if row.first <= act <= row.last), None)


def audit(
    rows: Iterable[Row],
    heard: Sequence[Heard],
    ordered: Sequence[Ordered],
    contradictions: Sequence[Row] = (),
    rates: Callable[[str], Mapping[tuple[int, int], float] | None] = lambda settings: None,
    slack: int = 0,
    removed: Mapping[str, int] = MappingProxyType({}),
) -> Verdict:
    """Judge. `rates` gives the rate of each plan's rung by the settings' digest, where they are known;
    `slack` nanoseconds are what hosts' clocks may differ by; `removed` says of lives up to which row they are
    kept no more: holes, and no findings."""
    by_life: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        by_life[row.life].append(row)
    lives = {name: Life(found, removed.get(name, 0)) for name, found in sorted(by_life.items())}
    findings: list[Finding] = []
    holes: list[Hole] = []
    for row in contradictions:
        told = f"life {row.life}, row {row.n} was told twice, each time something else ({row.kind})"
        findings.append(Finding("two ledgers under one life", row.gateway, told))
    for one in lives.values():
        _of_itself(one, ordered, findings, holes)
    matched, in_holes, unsigned = _against_hosts(lives, heard, rates, findings, removed)
    _one_at_a_time(lives, heard, findings)
    _apart(heard, slack, findings)
    acts = sum(row.last - row.first + 1 for one in lives.values() for row in one.ranges)
    return Verdict(
        acts, len(heard), matched, in_holes, unsigned, tuple(holes), tuple(sorted(set(findings), key=_order))
    )


def _order(one: Finding) -> tuple[str, int, str]:
    return one.what, one.gateway, one.evidence


def _of_itself(one: Life, ordered: Sequence[Ordered], findings: list[Finding], holes: list[Hole]) -> None:
    """What a ledger contradicts by itself."""
    next_act = one.known
    if one.cut:
        why = f"its rows up to {one.begins - 1} are kept no more"
        holes.append(Hole(one.gateway, one.life, 1, one.known - 1, why))
    for row in one.ranges:
        if row.first != next_act and one.whole:
            kind = "a range is missing" if row.first > next_act else "ranges overlap"
            told = f"life {one.life}, row {row.n} begins with act {row.first}, expected {next_act}"
            findings.append(Finding(kind, one.gateway, told))
        next_act = row.last + 1
        if row.kind == "range" and sum(row.counts.values()) != row.last - row.first + 1:
            told = f"life {one.life}, row {row.n} counts {row.counts} for acts {row.first} to {row.last}"
            findings.append(Finding("counts do not add up", one.gateway, told))
        if row.kind == "gap":
            holes.append(Hole(one.gateway, one.life, row.first, row.last, row.why))
        if row.page and row.page not in one.pages and one.whole and not one.cut:
            told = f"life {one.life}, row {row.n} stands under page {row.page}, which was never written"
            findings.append(Finding("acts under a page that is not there", one.gateway, told))
    if one.end is None:
        why = "the life has no end row: killed, or running"
        holes.append(Hole(one.gateway, one.life, one.last + 1, 0, why))
    elif one.end.last > one.last and (one.ranges or not one.cut):
        told = f"life {one.life} ends with act {one.end.last}, its ranges with {one.last}"
        findings.append(Finding("a range is missing", one.gateway, told))
    known = {order.number: order for order in ordered}
    acted_under = {row.page for row in one.ranges}
    for number, page in sorted(one.pages.items()):
        stamp = page.stamp
        order = known.get(stamp.order) if stamp is not None else None
        if stamp is None or number not in acted_under or order is None:
            continue
        where = f"life {one.life}, page {number}: order {stamp.order}"
        if order.settings and order.settings != stamp.settings:
            told = f"{where} is settings {order.settings[:12]}, the stamp says {stamp.settings[:12]}"
            findings.append(Finding("a stamp that was never in force", one.gateway, told))
        if order.part and one.gateway not in order.part:
            findings.append(Finding("a stamp that was never in force", one.gateway, f"{where} is not for it"))
        # A long book lacks older orders, and may lack the one that began an old epoch.
        began = [other.number for other in ordered if other.apart and other.number <= stamp.order]
        whole, epoch = began or ordered[0].number == 1, max(began, default=0)
        if whole and stamp.epoch != epoch:
            told = f"{where} is of epoch {epoch}, the stamp says {stamp.epoch}"
            findings.append(Finding("a stamp that was never in force", one.gateway, told))


def _against_hosts(
    lives: Mapping[str, Life],
    heard: Sequence[Heard],
    rates: Callable[[str], Mapping[tuple[int, int], float] | None],
    findings: list[Finding],
    removed: Mapping[str, int],
) -> tuple[int, int, int]:
    matched = in_holes = unsigned = 0
    seen: dict[tuple[str, int], Heard] = {}
    in_range: dict[tuple[str, int], int] = defaultdict(int)
    for one in heard:
        if one.by is None:
            unsigned += 1
            continue
        life, page, act, _ = one.by
        where = f"host {one.host} heard playback {one.playback} as act {act} of life {life}, page {page}"
        twin = seen.setdefault((life, act), one)
        if twin is not one and (twin.playback, twin.attempt) != (one.playback, one.attempt):
            told = f"{where}, and as that act playback {twin.playback} at host {twin.host}"
            findings.append(Finding("one act, two set-ups", one.gateway, told))
        ledger = lives.get(life)
        if ledger is None and removed.get(life, 0):
            in_holes += 1
            continue
        if ledger is None:
            findings.append(Finding("a life without a ledger", one.gateway, where))
            continue
        if ledger.gateway != one.gateway:
            told = f"{where}; that life's ledger is of gateway {ledger.gateway}"
            findings.append(Finding("a life under two numbers", one.gateway, told))
        row = ledger.holds(act)
        if row is None:
            if (ledger.end is None and act > ledger.last) or (
                ledger.cut and (act < ledger.known or not ledger.ranges)
            ):
                in_holes += 1
            elif ledger.whole:
                findings.append(Finding("a set-up that no range tells", one.gateway, where))
            else:
                in_holes += 1
            continue
        if row.page != page:
            told = f"{where}; the ledger has act {act} under page {row.page}"
            findings.append(Finding("acted under another page than it says", one.gateway, told))
            continue
        if row.kind == "gap":
            in_holes += 1
            continue
        matched += 1
        in_range[life, row.n] += twin is one
        if in_range[life, row.n] > row.counts.get("set up", 0):
            told = f"{where}; row {row.n} counts {row.counts.get('set up', 0)} set-ups, hosts heard more"
            findings.append(Finding("a count that hosts contradict", one.gateway, told))
        stamp = ledger.pages[page].stamp if page in ledger.pages else None
        table = rates(stamp.settings) if stamp is not None else None
        expected = table.get((one.plan, one.rung)) if table is not None else None
        if stamp is not None and expected is not None and abs(expected - one.rate) > 1e-6 * expected:
            told = f"{where} at {one.rate:g} kB/s; settings {stamp.settings[:12]} say {expected:g}"
            findings.append(Finding("acts on another version than it says", one.gateway, told))
    return matched, in_holes, unsigned


def _one_at_a_time(lives: Mapping[str, Life], heard: Sequence[Heard], findings: list[Finding]) -> None:
    """A life that goes on after the next one under its number has begun."""
    spans: dict[int, dict[str, tuple[int, int]]] = defaultdict(dict)
    for one in heard:
        if one.by is not None and not one.late:
            first, last = spans[one.gateway].get(one.by[0], (one.at, one.at))
            spans[one.gateway][one.by[0]] = min(first, one.at), max(last, one.at)
    for gateway, found in sorted(spans.items()):
        order = sorted(found, key=lambda life: found[life])
        for early, late in pairwise(order):
            if found[early][1] > found[late][0]:
                told = f"hosts heard life {early} after life {late} had begun"
                findings.append(Finding("two lives with one number", gateway, told))


def _apart(heard: Sequence[Heard], slack: int, findings: list[Finding]) -> None:
    """A set-up that was sent under an earlier epoch after one under a later one, anywhere. Where the host
    refused it it did no harm, but its gateway should have been shut out."""
    began: dict[int, Heard] = {}
    for one in sorted(heard, key=lambda one: one.at):
        if one.by is None:
            continue
        epoch = one.by[3]
        began.setdefault(epoch, one)
        later = [other for at, other in began.items() if at > epoch and one.at > other.at + slack]
        if later:
            other = min(later, key=lambda first: first.at)
            after = (one.at - other.at) / 1e6
            told = (
                f"host {one.host} heard playback {one.playback} of life {one.by[0]} under epoch {epoch}, "
                f"{after:.1f} ms after host {other.host} heard one under a later epoch"
                + (", and refused it" if one.late else "")
            )
            findings.append(Finding("acted under an order that must not mix", one.gateway, told))
