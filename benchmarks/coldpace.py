"""How far the sum of all gateways' set-ups at hosts that have just started goes over what they bear.

python benchmarks/coldpace.py [--starts 1000] [--gateways 1,8,20,30,200]

In virtual time. Each row is one number of gateways and one set of troubles: starts, what a host bears in the
span that counts (N), the most that any got over N in roots of N, how many got over N, over N + 2 roots + 2
and over N + 3 roots + 3, and the share of requests that play within the startup target. Counted are set-ups
as they arrive, from all gateways. `--load` is what is asked for over what the hosts' seats can play.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import count
from typing import Any, NamedTuple

from burlmast import api
from burlmast.api import Ending, HostRow, Listed, Scope, Standing
from burlmast.logic import Gateway

MS = 1_000_000
SECOND = 1000 * MS
HOSTS, CELLS, LENGTH = 30, 15, 30 * SECOND
LEAST = -99.0  # nothing came
TOLD, CONNECT = 1500 * MS, 250 * MS
TROUBLES = {
    "replaced": (),
    "held": ("held",),
    "gateways restart": ("restart",),
    "in place, heard late": ("in place",),
    "all": ("held", "restart", "in place"),
}
PLAN = api.Plan(1.0, 800 * MS, api.Repeat.FREELY, "all", 5 * SECOND, 0, 3, 0, 1.0)
TERMS = api.Terms(
    1, 0, 0, 10 * MS, (PLAN,), api.Ladder((300.0, 600.0, 1300.0, 3000.0), (0.2, 0.5, 0.75, 1.0)),
    api.Lineup(CELLS, 4, 8000.0, 60_000.0, (30,), False, False, True, SECOND, 6.0),
    api.Allowed(True, True, 3, False, 0, False, 10 * SECOND, CONNECT),
    api.HouseRules(0.5, 10 * SECOND, 3.0, 2 * SECOND, None, 0.0, 0),
)  # fmt: skip


class Result(NamedTuple):
    """A fleet's day: for each start the most over N, in roots of N; the limit; requests, those in time."""

    over: list[float]
    limit: float
    asked: int
    served: int


class Media:
    """A media host as it truly is."""

    def __init__(self, number: int, cell: int, started: int) -> None:
        self.number, self.cell, self.started = number, cell, started
        self.standing = Standing.READY
        self.playing = 0
        self.lately: deque[int] = deque()
        self.over = LEAST

    def row(self) -> HostRow:
        """As the list has it."""
        return HostRow(self.number, 0, 0, self.cell, self.standing, 1.0, self.started)


class Fleet:
    """All gateways, a release of the hosts, and what else goes wrong."""

    def __init__(self, gateways: int, troubles: tuple[str, ...], load: float, seed: int) -> None:
        self.dice, self.troubles = random.Random(f"{gateways} {troubles} {seed}"), troubles
        self.terms = replace(TERMS, gateways=gateways)
        self.now, self.order = 1000 * SECOND, count()
        self.queue: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self.hosts = {n: Media(n, n % CELLS, 0) for n in range(HOSTS)}
        self.past: list[float] = []
        self.asked = self.served = 0
        self.out: dict[tuple[int, int], tuple[int, int, int]] = {}  # gateway and playback: host, place, life
        self.lives = dict.fromkeys(range(gateways), 0)
        self.gateways: dict[int, Gateway] = {}
        self.begun: dict[tuple[int, int], int] = {}
        self.names = count(1)
        rules = self.terms.rules
        self.limit = rules.fall_multiple * rules.cold_share * 30 / rules.warm_after * rules.fall_span
        for number in range(gateways):
            self.start(number)
        # Some gateways see several times the mean; all hosts together are asked for what they can carry.
        weights = [self.dice.paretovariate(1.5) for _ in range(gateways)]
        rate = HOSTS * 30 / 30 * load
        for number, weight in enumerate(weights):
            self.later(0, self.arrive, number, sum(weights) / weight / rate)
        for place in range(HOSTS):
            at = int(self.dice.uniform(4, 14) * SECOND)
            self.later(at, self.again if "in place" in troubles and place % 2 else self.replaced, place)
        if "restart" in troubles:
            for number in range(gateways):
                self.later(int(self.dice.uniform(3, 18) * SECOND), self.start, number)

    def later(self, after: float, work: Any, *what: Any) -> None:
        heapq.heappush(self.queue, (self.now + int(after), next(self.order), work, what))

    def run(self) -> Result:
        """Play the day."""
        end = self.now + LENGTH
        while self.queue and self.queue[0][0] <= end:
            self.now, _, work, what = heapq.heappop(self.queue)
            work(*what)
        over = self.past + [host.over for host in self.hosts.values() if host.started]
        return Result(over, self.limit, self.asked, self.served)

    # Gateways.

    def start(self, number: int) -> None:
        """A gateway begins, or begins again knowing the list alone."""
        self.lives[number] += 1
        for key in [key for key in self.out if key[0] == number]:
            self.hosts[self.out.pop(key)[0]].playing -= 1
        gateway = Gateway(replace(self.terms, number=number), self.dice.getrandbits(60), self.now)
        self.gateways[number] = gateway
        self.carry_out(number, gateway.begin(self.now))
        rows = tuple(host.row() for host in self.hosts.values() if host.standing is not Standing.GONE)
        self.hand(number, self.lives[number], Listed(Scope.CACHED, rows))

    def hand(self, number: int, life: int, event: api.Event) -> None:
        if self.lives[number] == life:
            self.carry_out(number, self.gateways[number].take(self.now, event))

    def carry_out(self, number: int, actions: list[api.Action]) -> None:
        life = self.lives[number]
        for action in actions:
            if isinstance(action, api.SetAlarm):
                self.later(max(action.after, MS), self.hand, number, life, api.Bell(action.token))
            elif isinstance(action, api.SetUp):
                self.send(number, life, action.pb, action.host)
            elif isinstance(action, api.Probe):
                self.later(20 * MS, self.probe, number, life, action.host)

    def arrive(self, number: int, mean: float) -> None:
        self.later(self.dice.expovariate(1 / mean) * SECOND, self.arrive, number, mean)
        if self.now < 1002 * SECOND:
            return
        pb, title = next(self.names), int(self.dice.paretovariate(0.9)) % 97
        self.asked += 1
        self.begun[number, pb] = self.now
        self.places = getattr(self, "places", {})
        self.places[number, pb] = 0
        request = api.Request(pb, 0, 3.0, title % CELLS, 3, title, pb, 3 * SECOND)
        self.hand(number, self.lives[number], api.Arrived(request))

    def send(self, number: int, life: int, pb: int, host: int) -> None:
        wait = self.dice.uniform(0, CONNECT) if "held" in self.troubles and self.dice.random() < 0.3 else MS
        self.later(wait, self.reach, number, life, pb, host, self.places.get((number, pb), 0))
        self.places[number, pb] = self.places.get((number, pb), 0) + 1

    # Hosts.

    def reach(self, number: int, life: int, pb: int, number_of: int, place: int) -> None:
        """A set-up arrives."""
        host, rules = self.hosts[number_of], self.terms.rules
        if host.standing is Standing.GONE or self.lives[number] != life:
            ended = api.Ended(pb, place, number_of, Ending.NO_CONNECTION, MS, False, api.Load())
            self.hand(number, life, ended)
            return
        age = self.now - host.started
        if host.started and age < rules.warm_after:
            host.lately.append(self.now)
            while self.now - host.lately[0] > rules.fall_span:
                host.lately.popleft()
            warm = rules.cold_share + (1 - rules.cold_share) * age / rules.warm_after
            bears = self.limit * warm / rules.cold_share
            host.over = max(host.over, (len(host.lately) - bears) / bears**0.5)
        host.playing += 1
        self.out[number, pb] = number_of, place, host.started
        self.served += self.now - self.begun[number, pb] <= PLAN.startup_target
        self.later(20 * MS, self.hand, number, life, api.Flowing(pb, place, number_of, 20 * MS))
        self.later(self.dice.expovariate(1 / 30) * SECOND, self.end, number, life, pb, Ending.SERVED)

    def end(self, number: int, life: int, pb: int, ending: Ending) -> None:
        if self.lives[number] == life and (number, pb) in self.out:
            host, place, _ = self.out.pop((number, pb))
            self.hosts[host].playing -= 1
            self.hand(number, life, api.Ended(pb, place, host, ending, MS, True, self.load(host)))

    def load(self, number: int) -> api.Load:
        host = self.hosts[number]
        return api.Load(float(host.playing), min(2.0, host.playing * 700 / 8000))

    def probe(self, number: int, life: int, host: int) -> None:
        gone = self.hosts[host].standing is Standing.GONE
        ending = Ending.NO_CONNECTION if gone else Ending.SERVED
        self.hand(number, life, api.Probed(host, ending, 20 * MS, api.Load() if gone else self.load(host)))

    def cut(self, host: int) -> None:
        """What played there is over, and its gateways see it."""
        for (number, pb), (where, _, _) in list(self.out.items()):
            if where == host:
                self.end(number, self.lives[number], pb, Ending.BROKEN)

    def tell(self, host: Media) -> None:
        """The list tells each gateway in its own time."""
        row = host.row()
        for number, life in self.lives.items():
            self.later(self.dice.uniform(0, TOLD), self.hand, number, life, Listed(Scope.CHANGES, (row,)))

    def replaced(self, number: int) -> None:
        old = self.hosts[number]
        old.standing = Standing.DRAINING
        self.tell(old)
        self.later(2 * SECOND, self.gone, old)

    def gone(self, old: Media) -> None:
        old.standing = Standing.GONE
        self.cut(old.number)
        self.tell(old)
        new = self.hosts[1000 + old.number] = Media(1000 + old.number, old.cell, self.now)
        self.tell(new)

    def again(self, number: int) -> None:
        """The same host as a new process: the list says so, late; who plays there sees it fall."""
        host = self.hosts[number]
        self.past += [host.over] if host.started else []
        host.started, host.over, host.lately = self.now, LEAST, deque()
        self.cut(number)
        self.tell(host)


def play(what: tuple[int, str, float, int]) -> Result:
    """One day."""
    gateways, troubles, load, seed = what
    return Fleet(gateways, TROUBLES[troubles], load, seed).run()


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--starts", type=int, default=1000)
    parser.add_argument("--gateways", default="1,8,20,30,200")
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--jobs", type=int, default=4)
    told = parser.parse_args()
    days = -(-told.starts // HOSTS)
    print("| gateways | troubles | starts | N | most over N, in roots | over N | over 2 roots + 2 |", end="")
    print(" over 3 roots + 3 | in time |\n" + "| --- " * 9 + "|")
    with ProcessPoolExecutor(told.jobs) as pool:
        for gateways in map(int, told.gateways.split(",")):
            for troubles in TROUBLES:
                results = list(
                    pool.map(play, [(gateways, troubles, told.load, seed) for seed in range(days)])
                )
                over, limit = [one for day in results for one in day.over], results[0].limit
                root = limit**0.5
                beyond = [
                    sum(1 for one in over if one * root > edge * root + edge) / len(over)
                    for edge in (0, 2, 3)
                ]
                share = sum(day.served for day in results) / max(1, sum(day.asked for day in results))
                print(
                    f"| {gateways} | {troubles} | {len(over)} | {limit:.1f} | {max(over):.2f} | "
                    + " | ".join(f"{one:.4f}" for one in beyond)
                    + f" | {share:.3f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
