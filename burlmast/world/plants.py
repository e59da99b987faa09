"""Decisions with one rule broken on purpose, to show that the audit sees it. Never a default of any
program."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from burlmast import api
from burlmast.api import Ending, Scope, Standing


class Decides(Protocol):
    """What is wrapped."""

    def begin(self, now: int) -> list[api.Action]:
        """The first actions."""

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        """The actions that an event asks for."""


Maker = Callable[[api.Terms, int, int], Decides]


class Plant:
    """Passes everything through; each rule's plant changes what it must."""

    def __init__(self, maker: Maker, terms: api.Terms, seed: int, now: int) -> None:
        self.terms, self.seed = terms, seed
        self.inner = maker(self.told(terms), seed, now)

    def told(self, terms: api.Terms) -> api.Terms:
        """The terms as the decisions hear them."""
        return terms

    def heard(self, event: api.Event) -> api.Event:
        """An event as the decisions hear it."""
        return event

    def done(self, actions: list[api.Action]) -> list[api.Action]:
        """The actions as they are carried out."""
        return actions

    def begin(self, now: int) -> list[api.Action]:
        return self.done(self.inner.begin(now))

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        return self.done(self.inner.take(now, self.heard(event)))

    def struck(self, pb: int, one_in: int) -> bool:
        """Whether this playback is one of those that the plant spoils."""
        return zlib.crc32(f"{self.seed}:{pb}".encode()) % one_in == 0


class Unanswered(Plant):
    """Rule 1: some requests are forgotten."""

    def done(self, actions: list[api.Action]) -> list[api.Action]:
        return [one for one in actions if not self.struck(getattr(one, "pb", -1), 12)]


class Doubled(Plant):
    """Rule 2: a second try goes out while the first is."""

    def __init__(self, maker: Maker, terms: api.Terms, seed: int, now: int) -> None:
        self.ready: list[api.HostRow] = []
        self.wanted: dict[int, api.Request] = {}
        super().__init__(maker, terms, seed, now)

    def heard(self, event: api.Event) -> api.Event:
        if isinstance(event, api.Listed):
            rows = {} if event.scope is not Scope.CHANGES else {row.host: row for row in self.ready}
            rows.update({row.host: row for row in event.rows})
            self.ready = [row for row in rows.values() if row.standing is Standing.READY]
        elif isinstance(event, api.Arrived):
            self.wanted[event.request.pb] = event.request
        return event

    def done(self, actions: list[api.Action]) -> list[api.Action]:
        found: list[api.Action] = []
        for one in actions:
            found.append(one)
            if isinstance(one, api.SetUp) and one.pb in self.wanted:
                request, cells = self.wanted.pop(one.pb), max(1, self.terms.lineup.cells)
                others = [
                    row.host
                    for row in self.ready
                    if row.host != one.host and (row.cell - request.home) % cells < request.copies
                ]
                found += [api.SetUp(one.pb, host, one.allow) for host in others[:1]]
        return found


class Deaf(Plant):
    """Rule 3: drains are not heard, and the emptied hosts are filled again."""

    def __init__(self, maker: Maker, terms: api.Terms, seed: int, now: int) -> None:
        self.leaving: dict[int, None] = {}
        super().__init__(maker, terms, seed, now)

    def heard(self, event: api.Event) -> api.Event:
        if isinstance(event, api.Listed):
            for row in event.rows:
                self.leaving.pop(row.host, None)
                if row.standing is Standing.DRAINING:
                    self.leaving[row.host] = None
            rows = tuple(row._replace(standing=Standing.READY) for row in event.rows)
            return api.Listed(event.scope, rows)
        return event

    def done(self, actions: list[api.Action]) -> list[api.Action]:
        return [
            one._replace(host=next(iter(self.leaving)))
            if isinstance(one, api.SetUp) and self.leaving and self.struck(one.pb, 3)
            else one
            for one in actions
        ]


class Hasty(Plant):
    """Rule 4: cold hosts are taken for warm ones, and filled first."""

    def __init__(self, maker: Maker, terms: api.Terms, seed: int, now: int) -> None:
        self.young: dict[int, api.HostRow] = {}
        super().__init__(maker, terms, seed, now)

    def told(self, terms: api.Terms) -> api.Terms:
        return replace(terms, rules=replace(terms.rules, warm_after=1))

    def heard(self, event: api.Event) -> api.Event:
        if isinstance(event, api.Listed):
            for row in event.rows:
                ready = row.standing is Standing.READY and row.started
                self.young.pop(row.host, None)
                if ready and event.scope is Scope.CHANGES:
                    self.young[row.host] = row
        elif isinstance(event, api.Ended) and event.ending is not Ending.SERVED:
            return event._replace(ending=Ending.ERROR)
        return event

    def done(self, actions: list[api.Action]) -> list[api.Action]:
        youngest = max(self.young.values(), key=lambda row: row.started, default=None)
        return [
            one._replace(host=youngest.host) if isinstance(one, api.SetUp) and youngest else one
            for one in actions
        ]


class Low(Plant):
    """Rule 5: everything starts at the lowest rung, floor or none."""

    def done(self, actions: list[api.Action]) -> list[api.Action]:
        found: list[api.Action] = []
        for one in actions:
            if isinstance(one, api.SetUp):
                found.append(api.SetRung(one.pb, 0))
            found.append(one)
        return found


class Tireless(Plant):
    """Rule 6: the budget for further tries is not known, and hosts that fail are tried again and again."""

    def __init__(self, maker: Maker, terms: api.Terms, seed: int, now: int) -> None:
        self.harmless: set[int] = set()
        super().__init__(maker, terms, seed, now)

    def heard(self, event: api.Event) -> api.Event:
        if isinstance(event, api.Arrived):
            plan = self.terms.plans[event.request.plan]
            if plan.repeat is api.Repeat.FREELY:
                self.harmless.add(event.request.pb)
        elif isinstance(event, api.Ended) and event.ending is Ending.ERROR and event.pb in self.harmless:
            return event._replace(ending=Ending.MOOT)
        return event

    def told(self, terms: api.Terms) -> api.Terms:
        rules = replace(terms.rules, further_free=None)
        return replace(terms, rules=rules, allowed=replace(terms.allowed, tries=max(8, terms.allowed.tries)))


PLANTS: dict[int, type[Plant]] = {1: Unanswered, 2: Doubled, 3: Deaf, 4: Hasty, 5: Low, 6: Tireless}


def plant(rule: int, maker: Maker) -> Maker:
    """A maker of decisions that break this rule. Raises KeyError for a rule that is not one of the six."""
    kind = PLANTS[rule]
    return lambda terms, seed, now: kind(maker, terms, seed, now)
