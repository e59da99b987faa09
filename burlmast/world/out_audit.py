"""Judges how many gateways and media hosts were out at once, from what askers saw at their doors and what the
list told. It reads nothing that the fleet says or believes of leaves.

A gateway is surely out between two askings that it answered so, with none between them that it took; a host
between the moment at which the list told the last gateway that it leaves, and the first telling that it is
back. What lies at the edges is given to the fleet, so that what is found here has been.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from burlmast.world.traffic import GatewayIs, Record, Told

AWAY = ("draining", "gone")


class Seen(NamedTuple):
    """One asking at a gateway's door. `out`: it said that it is being drained. Times in nanoseconds."""

    asked: int
    answered: int
    gateway: int
    out: bool


class Span(NamedTuple):
    """Somebody was out; `end` is when that was last known."""

    who: int
    start: int
    end: int


class Crowd(NamedTuple):
    """The most that were out at one time, when, and who."""

    number: int
    at: int
    who: tuple[int, ...]


def gateways_out(seen: Iterable[Seen]) -> list[Span]:
    """When gateways were surely out."""
    by: dict[int, list[Seen]] = defaultdict(list)
    for one in sorted(seen, key=lambda one: one.answered):
        by[one.gateway].append(one)
    spans: list[Span] = []
    for number, askings in sorted(by.items()):
        start = None
        end = 0
        for one in askings:
            if not one.out:
                if start is not None and end > start:
                    spans.append(Span(number, start, end))
                start = None
            elif start is None:
                start, end = one.answered, one.answered
            else:
                end = max(end, one.asked)
        if start is not None and end > start:
            spans.append(Span(number, start, end))
    return spans


def hosts_out(records: Iterable[Record]) -> list[Span]:
    """When hosts were out by all that the list told to all gateways that it told anything of them."""
    away: dict[int, dict[int, int]] = defaultdict(dict)
    spans: list[Span] = []
    listeners: set[int] = set()
    for one in records:
        if type(one) is not Told:
            continue
        listeners.add(one.gateway)
        if one.standing in AWAY:
            away[one.host].setdefault(one.gateway, one.at)
        elif away.get(one.host):
            spans += _span(one.host, away.pop(one.host), listeners, one.at)
    end = 1 << 62
    for host, told in sorted(away.items()):
        spans += _span(host, told, listeners, end)
    return spans


def _span(host: int, told: dict[int, int], listeners: set[int], end: int) -> list[Span]:
    if told.keys() != listeners:
        return []
    return [Span(host, max(told.values()), end)]


def down(records: Iterable[Record], known_after: int) -> list[Span]:
    """When gateways were down by what was done to them, from `known_after` nanoseconds on."""
    spans: list[Span] = []
    since: dict[int, int] = {}
    for one in records:
        if type(one) is not GatewayIs:
            continue
        if one.state in ("down", "stopped"):
            since.setdefault(one.gateway, one.at)
        elif one.gateway in since:
            start = since.pop(one.gateway) + known_after
            if start < one.at:
                spans.append(Span(one.gateway, start, one.at))
    return [*spans, *(Span(who, at + known_after, 1 << 62) for who, at in sorted(since.items()))]


def most(spans: Iterable[Span]) -> Crowd:
    """The most at one time."""
    moves = sorted((at, way, span.who) for span in spans for at, way in ((span.start, 1), (span.end, -1)))
    here: dict[int, int] = defaultdict(int)
    found = Crowd(0, 0, ())
    for at, way, who in moves:
        here[who] += way
        there = tuple(sorted(one for one, times in here.items() if times > 0))
        if len(there) > found.number:
            found = Crowd(len(there), at, there)
    return found


def went(out: Iterable[Span], lost: Iterable[Span]) -> Crowd:
    """The most, of both kinds, that were out at a moment at which one more went: what is lost afterwards is
    nobody's fault, who goes beside what is known to be lost is."""
    out, lost = list(out), list(lost)
    found = Crowd(0, 0, ())
    for one in out:
        there = {two.who for two in [*out, *lost] if two.start <= one.start <= two.end}
        if len(there) > found.number:
            found = Crowd(len(there), one.start, tuple(sorted(there)))
    return found
