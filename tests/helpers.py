"""Settings, a gateway at its desk, and a plain model of the six rules that watches a whole fleet."""

from __future__ import annotations

import random
from dataclasses import replace

from burlmast import api
from burlmast.api import Ending, HostRow, Listed, Repeat, Request, Scope, Standing
from burlmast.logic import Gateway

MS = 1_000_000
SECOND = 1000 * MS
BEAT = 10 * MS
NEVER_RAN = (Ending.FULL, Ending.NO_CONNECTION, Ending.MOOT)
PLAN = api.Plan(1.0, 800 * MS, Repeat.FREELY, "all", 5 * SECOND, 0, 3, 0, 1.0)
TERMS = api.Terms(
    1, 0, 0, BEAT, (PLAN,), api.Ladder((200.0, 400.0, 900.0, 1800.0), (0.2, 0.5, 0.75, 1.0)),
    api.Lineup(4, 2, 8000.0, 24000.0, (30,), False, True, False, SECOND),
    api.Allowed(True, True, 3, False, 0, False, 10 * SECOND),
    api.HouseRules(0.4, 12 * SECOND, 3.0, 2 * SECOND, None, 0.0, 0),
)  # fmt: skip


def row(host: int, cell: int | None = None, standing: Standing = Standing.READY, started: int = 0) -> HostRow:
    return HostRow(host, 0, 0, host % 4 if cell is None else cell, standing, 1.0, started)


class Desk:
    """One gateway with a clock, for small tests; it starts warm."""

    def __init__(self, hosts: int = 4, **changes: object) -> None:
        self.terms = replace(TERMS, **changes)  # type: ignore[arg-type]
        self.now = 100 * SECOND
        self.gateway = Gateway(self.terms, 7 + self.terms.number, self.now)
        self.gateway.begin(self.now)
        self.listed(*(row(h) for h in range(hosts)), scope=Scope.COMPLETE)

    def take(self, event: api.Event, after: int = 0) -> list[api.Action]:
        self.now += after
        return self.gateway.take(self.now, event)

    def listed(self, *rows: HostRow, scope: Scope = Scope.CHANGES) -> None:
        self.take(Listed(scope, rows))

    def ask(self, pb: int, plan: int = 0, title: int = 1, patience: int = 3 * SECOND) -> list[api.Action]:
        return self.take(api.Arrived(Request(pb, plan, 3.0, 0, 4, title, pb, patience)))

    def play(self, pb: int, host: int, rung: int = 0) -> None:
        self.take(api.HandedOver(Request(pb, 0, 3.0, 0, 4, 1, pb, 0), host))
        self.take(api.Note(pb, 0, host, api.News.RUNG, rung))

    def end(self, pb: int, attempt: int, host: int, ending: Ending, final: bool = False) -> list[api.Action]:
        return self.take(api.Ended(pb, attempt, host, ending, 5 * MS, final, api.Load()))

    def tick(self, after: int = 0) -> list[api.Action]:
        return self.take(api.Bell(0), after)


def of(actions: list[api.Action], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


class Try:
    """A setup try as the model sees it."""

    def __init__(self, host: int, sent: int, due: int) -> None:
        self.host, self.sent, self.due = host, sent, due
        self.ending: Ending | None = None
        self.flows = False


class Model:
    """A fleet on a beat, with troubles, that complains of each action the rules do not allow."""

    def __init__(self, seed: int, terms: api.Terms) -> None:
        self.dice = random.Random(seed)
        self.terms, self.now = terms, 100 * SECOND
        self.started = dict.fromkeys(range(8), 0)
        self.standing = dict.fromkeys(range(8), Standing.READY)
        self.asked: dict[tuple[int, int], tuple[Request, int]] = {}
        self.answered: dict[tuple[int, int], int] = {}
        self.tries: dict[tuple[int, int], list[Try]] = {}
        self.told: dict[tuple[int, int], int] = {}  # gateway, host: told draining or gone when
        self.aware: dict[int, list[int]] = {host: [] for host in self.started}  # sends that answer for a fall
        self.knows: dict[tuple[int, int], int] = {}  # gateway, host: which start it answers for
        self.further: dict[int, list[int]] = {}
        self.taken: dict[int, list[int]] = {}
        self.bells: list[tuple[int, int, int]] = []
        self.gateways: dict[int, Gateway] = {}
        self.probes: list[tuple[int, int]] = []
        self.next_pb = 1
        self.sent = self.finals = 0
        for number in range(terms.gateways):
            self.start(number, dict(self.started))
            for _ in range(4):
                self.hand_over(number)

    def start(self, number: int, list_starts: dict[int, int]) -> None:
        for key in [key for key in self.asked if key[0] == number]:
            del self.asked[key], self.tries[key]
            self.answered.pop(key, None)
        self.bells = [bell for bell in self.bells if bell[1] != number]
        self.further[number], self.taken[number] = [], []
        gateway = Gateway(replace(self.terms, number=number), self.dice.getrandbits(60), self.now)
        self.gateways[number] = gateway
        self.carry_out(number, gateway.begin(self.now))
        for host, started in self.started.items():
            self.knows[number, host] = started
            self.told.pop((number, host), None)
        rows = tuple(row(host, started=started) for host, started in list_starts.items())
        self.hand(number, Listed(Scope.CACHED, rows))

    def hand_over(self, number: int) -> None:
        plan, host = self.dice.randrange(len(self.terms.plans)), self.dice.randrange(8)
        title = self.next_pb % 3
        # More than the seats, too: an earlier life may have left them.
        request = Request(self.next_pb, plan, 3.0, 0, 4, title, 1, SECOND)
        self.asked[number, request.pb] = request, self.now
        self.tries[number, request.pb] = [Try(host, self.now, self.now)]
        self.tries[number, request.pb][0].flows = True
        self.hand(number, api.HandedOver(request, host))
        self.next_pb += 1

    def hand(self, number: int, event: api.Event) -> None:
        self.carry_out(number, self.gateways[number].take(self.now, event))

    def carry_out(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetUp(pb, host, allow):
                    self.send(number, pb, host, allow)
                case api.SetRung(pb, rung):
                    request = self.asked[number, pb][0]
                    assert self.terms.plans[request.plan].floor <= rung <= request.top, "rule 5: rung"
                case api.Reject(pb, _):
                    self.answer(number, pb)
                    plan = self.terms.plans[self.asked[number, pb][0].plan]
                    risky = [t for t in self.tries[number, pb] if t.ending not in NEVER_RAN]
                    sure = plan.repeat is Repeat.FREELY or not risky
                    group = plan.repeat is Repeat.WITHIN_GROUP and plan.repeat_group == "all"
                    assert sure or group, "rule 2: rejected what may have run"
                case api.Abort(pb):
                    self.answer(number, pb)
                case api.CallOff(pb, attempt):
                    one = self.tries[number, pb][attempt]
                    one.due = min(one.due, self.now + self.dice.randint(0, 40) * MS)
                case api.SetAlarm(after, token):
                    self.bells.append((self.now + max(after, BEAT), number, token))
                case api.Probe(host):
                    self.probes.append((number, host))
                case _:
                    assert isinstance(action, api.KeepInformed)

    def answer(self, number: int, pb: int) -> None:
        assert (number, pb) not in self.answered, "rule 1: answered twice"
        assert self.now <= self.asked[number, pb][1], "rule 1: answered late"
        self.answered[number, pb] = self.now
        self.finals += 1

    def send(self, number: int, pb: int, host: int, allow: int) -> None:
        request, deadline = self.asked[number, pb]
        plan, rules, earlier = self.terms.plans[request.plan], self.terms.rules, self.tries[number, pb]
        self.sent += 1
        assert (number, pb) not in self.answered, "rule 1: sent after the answer"
        assert all(t.ending is not None for t in earlier), "rule 2: two tries out"
        assert len(earlier) < self.terms.allowed.tries
        assert (host % 4 - request.home) % 4 < request.copies, "sent to a host without the title"
        for one in earlier:
            if one.ending not in NEVER_RAN and plan.repeat is not Repeat.FREELY:
                assert plan.repeat is Repeat.WITHIN_GROUP, "rule 2: sent again though it may have run"
                assert plan.repeat_group == "all" or host % 4 == one.host % 4, "rule 2: outside the group"
                assert self.now - one.sent <= plan.repeat_span, "rule 2: outside the span"
        told = self.told.get((number, host))
        assert told is None or self.now - told <= SECOND, "rule 3"
        self.count_cold(number, host)
        title = [key for key in self.tries if key[0] == number and self.asked[key][0].title == request.title]
        same = [key for key in title if self.asked[key][0].plan == request.plan]
        held = sum(1 for key in same for t in self.tries[key] if t.ending is None)
        assert not plan.seats or held < plan.seats, "rule 5: seats"
        if earlier and rules.further_free is not None:
            self.further[number].append(self.now)
            lately = [sum(1 for t in log[number] if self.now - t <= rules.further_span) for log in
                      (self.further, self.taken)]  # fmt: skip
            assert lately[0] <= rules.further_free + rules.further_ratio * lately[1], "rule 6"
        due = min(self.now + allow if allow > 0 else deadline, deadline)
        self.tries[number, pb].append(Try(host, self.now, max(due, self.now + BEAT)))

    def count_cold(self, number: int, host: int) -> None:
        rules, started = self.terms.rules, self.started[host]
        if not started or self.now - started >= rules.warm_after or self.knows.get((number, host)) != started:
            return
        self.aware[host].append(self.now)
        lately = sum(1 for at in self.aware[host] if at >= started and self.now - at <= rules.fall_span)
        pace = rules.cold_share * self.terms.lineup.streams_by_kind[0] / rules.warm_after
        assert lately <= rules.fall_multiple * pace * rules.fall_span, "rule 4: a cold host is pushed over"

    def beat(self) -> None:
        self.now += BEAT
        dice = self.dice
        for bell in sorted(bell for bell in self.bells if bell[0] <= self.now):
            self.bells.remove(bell)
            self.hand(bell[1], api.Bell(bell[2]))
        asked, self.probes = self.probes, []
        for number, host in asked:
            ending = dice.choice((Ending.SERVED, Ending.SERVED, Ending.TIMEOUT, Ending.NO_CONNECTION))
            if ending is not Ending.SERVED:
                self.knows[number, host] = self.started[host]
            self.hand(number, api.Probed(host, ending, MS, self.load(host)))
        if dice.random() < 0.25:
            self.arrive(dice.randrange(self.terms.gateways))
        for key in list(self.tries):
            if key in self.tries and self.tries[key] and self.tries[key][-1].ending is None:
                self.outcome(key, self.tries[key][-1])
        if dice.random() < 0.004:
            self.trouble()
        if dice.random() < 0.02:
            self.leave()
        for key, (_, deadline) in self.asked.items():
            flows = self.tries[key] and self.tries[key][-1].flows
            assert key in self.answered or flows or self.now <= deadline + 4 * BEAT, "rule 1: no answer"

    def leave(self) -> None:
        """A viewer gives up; its tries end later all the same."""
        waits = [
            key
            for key in self.asked
            if key not in self.answered and not any(t.flows for t in self.tries[key])
        ]
        if waits:
            key = self.dice.choice(waits)
            self.answered[key] = self.now  # nothing is owed, and nothing may be said
            for one in self.tries[key]:
                one.due = min(one.due, self.now + self.dice.randint(1, 100) * MS)
            self.hand(key[0], api.ViewerLeft(key[1]))

    def arrive(self, number: int) -> None:
        plan = self.dice.randrange(len(self.terms.plans))
        patience = self.dice.choice((5 * MS, 300 * MS, 3 * SECOND))
        top, copies = self.dice.uniform(self.terms.plans[plan].floor, 3), self.dice.choice((0, 1, 3, 4))
        home, title = self.dice.randrange(4), self.dice.randrange(3)
        request = Request(self.next_pb, plan, top, home, copies, title, 1, patience)
        self.next_pb += 1
        self.asked[number, request.pb] = request, self.now + patience
        self.tries[number, request.pb] = []
        self.taken[number].append(self.now)
        self.hand(number, api.Arrived(request))

    def load(self, host: int) -> api.Load:
        """What runs there of what was sent since it started."""
        since = self.started[host]
        there = [t for tries in self.tries.values() for t in tries if t.host == host and t.sent >= since]
        return api.Load(float(sum(1 for t in there if t.ending is None)), 0.4)

    def outcome(self, key: tuple[int, int], one: Try) -> None:
        dice, place = self.dice, len(self.tries[key]) - 1
        over = one.flows or key in self.answered
        if not one.flows and self.now < one.due and dice.random() < 0.05 and key not in self.answered:
            one.flows = True
            self.hand(key[0], api.Flowing(key[1], place, one.host, self.now - one.sent))
            return
        if one.flows:
            ending = Ending.SERVED if dice.random() < 0.002 else None
        elif self.now >= one.due:
            ending = Ending.CALLED_OFF if key in self.answered else Ending.TIMEOUT
        else:
            ending = dice.choice(list(Ending)[1:6]) if dice.random() < 0.03 else None
        if ending is not None:
            one.ending = ending
            if ending in (Ending.BROKEN, Ending.NO_CONNECTION, Ending.TIMEOUT):
                self.knows[key[0], one.host] = self.started[one.host]
            event = api.Ended(key[1], place, one.host, ending, self.now - one.sent, over, self.load(one.host))
            self.hand(key[0], event)

    def trouble(self) -> None:
        dice, host = self.dice, self.dice.randrange(8)
        what = dice.randrange(4)
        if what == 0:  # a host restarts; some gateways are told, others only see it fail
            self.started[host] = self.now
            for number in range(self.terms.gateways):
                if dice.random() < 0.5:
                    self.knows[number, host] = self.now
                    rows = (row(host, started=self.now),)
                    self.hand(number, Listed(Scope.CHANGES, rows))
                    self.told.pop((number, host), None)
        elif what == 1:  # a gateway starts again with an old list
            self.start(dice.randrange(self.terms.gateways), dict.fromkeys(range(8), 0))
        else:
            number, draining = dice.randrange(self.terms.gateways), dice.random() < 0.5
            standing = Standing.DRAINING if draining else dice.choice((Standing.GONE, Standing.READY))
            self.told.pop((number, host), None)
            if standing is not Standing.READY:
                self.told[number, host] = self.now
            started = self.started[host] if self.knows.get((number, host)) == self.started[host] else 0
            self.hand(number, Listed(Scope.CHANGES, (row(host, None, standing, started),)))
