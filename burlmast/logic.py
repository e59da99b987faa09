"""All decisions of a gateway, with no wire, clock or thread of their own.

Call: `gateway = Gateway(terms, seed, now)`; `gateway.begin(now)` gives the first actions, then
`gateway.take(now, event)` those that each event asks for, to be carried out in their order. `now` is whole
nanoseconds and never goes back. The interface, terms, events and actions, is `burlmast/api.py`.

The design (docs/design.md) decides the ordinary path: `Gateway.tick` steps, `Gateway.place` sets up. Beside
it stand these mechanisms, six at most:
1. Others' part: what other gateways do at the same time is estimated, in notes, rooms and steps alike.
2. Setting aside: hosts that fail several times in a row get no set-ups until they have answered probes.
3. Cold pace: a host that may have started lately gets a share of set-ups that is safe whatever others send,
   until what it runs proves its age, or shows it to be no newcomer where few are asked for.
4. Tries and answers: a try that fails or stays out too long goes to the next holder, within terms and
   budget; where even the roomiest is told short, one more would lose more than it earns, and is rejected.
5. Uplinks by inference: hosts that are short though their links have room tell of an uplink.
6. Asking first: a host that told nothing lately is probed before more is put there.
"""

from __future__ import annotations

import zlib
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from math import isfinite
from statistics import harmonic_mean, median

from burlmast import api
from burlmast.api import Ending, News, Repeat, Scope, Standing
from burlmast.attempt_budget import AttemptBudget, remove_one

SECOND = 1_000_000_000
TICK = SECOND * 3 // 2  # the design's tick, open
WINDOW = 20  # room samples that a rise looks back on
QUIET = 20 * SECOND  # no rise on a link so long after a step down or a short note there
SHORT = 0.98  # hosts note a share under this; a note at or above it says that the shortage is over
FRESH = 5 * SECOND  # what a host told counts so long as news; hosts repeat a short share each second
MARGIN = 2  # the pace over what a host is usually asked for, for chance and for crowds
IN_A_ROW = 2  # failures that set a host aside, answers to probes that bring it back
LATER = 2**63  # later than any moment
TICK_TOKEN, ASK_TOKEN, PB_TOKEN = 0, 1, 2

NEVER_RAN = frozenset((Ending.FULL, Ending.NO_CONNECTION, Ending.MOOT))
STRIKING = frozenset((Ending.ERROR, Ending.TIMEOUT, Ending.NO_CONNECTION, Ending.BROKEN))
FALLING = STRIKING - {Ending.ERROR}  # the host may come back as a new process


class Pipe:
    """A link or an uplink: its told size, what it was last said to carry, and this gateway's part in that."""

    def __init__(self, size: float, gateway: Gateway) -> None:
        self.size, self.gateway = size, gateway
        self.own = 0.0
        self.changes: deque[tuple[int, float]] = deque(maxlen=256)
        self.asked: tuple[int, float] | None = None  # since when it holds, over the size

    def add(self, now: int, rate: float) -> None:
        self.own += rate
        self.changes.append((now, rate))

    def since(self, then: int) -> float:
        lately = []
        for at, rate in reversed(self.changes):
            if 0 < at < then:  # changes booked at 0 are older than all, wherever they stand
                break
            if at >= then:
                lately.append(rate)
        return sum(reversed(lately))

    def told(self, now: int) -> bool:
        return self.asked is not None and now - self.asked[0] < QUIET

    def used(self, now: int) -> float:
        if self.asked is None or not self.told(now):
            # Danger: with many gateways most links are strangers, and would all look empty.
            parts = self.gateway.parts
            return max(self.own, self.size * sum(parts) / max(1, len(parts)))
        at, part = self.asked
        return max(self.own, part * self.size + self.gateway.alike(now, now - at) * self.since(at))


class Rack:
    """Hosts behind one uplink."""

    def __init__(self, size: float, gateway: Gateway) -> None:
        self.uplink = Pipe(size, gateway)
        self.reports = False  # its uplink's use is reported, not inferred
        self.hosts: list[Host] = []

    def free(self, now: int) -> float:
        # Danger: the last report of a host that has gone would fill its rack for long.
        there = [host for host in self.hosts if host.row.standing is not Standing.GONE]
        by_links = self.uplink.size - sum(host.link.used(now) for host in there)
        if self.uplink.asked is None or not self.uplink.told(now):
            return by_links
        # Danger: what was inferred from a shortage outlives it; it fades into what the links say.
        faded = ((now - self.uplink.asked[0]) / QUIET) ** 2 if not self.reports else 0.0
        return (1 - faded) * (self.uplink.size - self.uplink.used(now)) + faded * by_links


class Host:
    """A media host as this gateway knows it."""

    def __init__(self, row: api.HostRow, rack: Rack) -> None:
        self.id, self.row, self.rack = row.host, row, rack
        self.link = Pipe(0.0, rack.uplink.gateway)
        self.state, self.places = "trusted", 1
        self.risen = 0  # the latest moment at which it may have started, as far as is known
        self.presumed = False  # that it may have risen lately is known only from how old our list may be
        self.settled = False  # it has told since our start that it runs as much as others do
        self.proven = LATER  # what it runs shows that it has risen before
        self.fell = False  # it failed in a way that a restart explains, and has not served since
        self.in_a_row = 0  # failures, or, set aside, answers to probes
        self.probing = False
        self.askers: list[Playback] = []  # those who wait for its answer
        self.left = LATER  # when the list first called it gone
        self.full = -QUIET  # when it last turned a setup try away
        self.streams: tuple[int, float] = (-QUIET, 0.0)  # when told, what ran there
        self.share: tuple[int, float] | None = None  # when the note came, the share
        self.stepped = -QUIET
        self.spared: deque[tuple[int, float]] = deque(maxlen=WINDOW)  # drops left to others, less those made
        self.sent: deque[int] = deque(maxlen=256)
        self.playbacks: dict[int, Playback] = {}


class Playback:
    """A request and, later, what plays of it."""

    def __init__(self, now: int, request: api.Request, plan: api.Plan, ladder: api.Ladder) -> None:
        self.id, self.request, self.plan, self.title = request.pb, request, plan, request.title
        self.state = "held"
        self.arrived, self.abandon = now, now + request.patience
        top = int(request.top) if isfinite(request.top) else plan.floor
        self.top = max(plan.floor, min(top, plan.top, len(ladder.rates) - 1))
        self.rung = plan.floor
        self.host: Host | None = None
        self.tries: list[Host] = []
        self.maybe_ran: list[tuple[int, Host]] = []  # tries that may have run: when sent, where
        # When the last try was decided; once it is written, when that was.
        self.sent_at, self.asked = 0, False  # asked: a host was, before the first try
        self.risen_then = 0  # when its host may have started, as it was known when its last try was decided
        self.rooms: deque[float] = deque(maxlen=WINDOW)
        self.ladder = ladder

    def rate(self, rung: int) -> float:
        return self.ladder.rates[rung] * self.plan.scale

    def gain(self, rung: int) -> float:
        """Revenue a kB of the step from the rung below."""
        earns = self.ladder.earns
        return self.plan.revenue * (earns[rung] - earns[rung - 1]) / (self.rate(rung) - self.rate(rung - 1))


class Gateway:
    """One gateway's decisions."""

    def __init__(self, terms: api.Terms, seed: int, now: int) -> None:
        self.terms, self.seed, self.draws, self.began = terms, seed, 0, now
        self.hosts: dict[int, Host] = {}
        self.racks = [Rack(terms.lineup.uplink, self) for _ in range(max(1, terms.lineup.racks))]
        self.cells: dict[int, list[Host]] = {}
        self.busy: dict[int, Host] = {}  # hosts that a tick has to look after
        self.parts: deque[float] = deque(maxlen=WINDOW)  # what links were lately said to carry, over the size
        self.counted = False  # hosts tell how many streams they run
        self.crowds: deque[float] = deque(maxlen=WINDOW)  # streams that hosts lately said they run
        self.arrivals: deque[tuple[int, float]] = deque(maxlen=WINDOW)  # when, part of others there
        self.usual: tuple[float, int, float, list[int]] | None = (
            None  # what `alike` makes of the samples, this event
        )
        self.playbacks: dict[int, Playback] = {}
        self.took: deque[int] = deque(maxlen=WINDOW)
        self.budget = AttemptBudget(terms.rules, terms.beat)
        self.out: list[api.Action] = []

    def chance(self) -> float:
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32

    def begin(self, now: int) -> list[api.Action]:
        first = TICK // 2 + int(TICK * self.chance() / 2)  # gateways that start together do not step together
        asking = [api.KeepInformed()] if self.terms.allowed.must_ask else []
        return [api.SetAlarm(first, TICK_TOKEN), *asking]

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        self.out, self.usual = [], None
        if type(event) in EVENTS:
            EVENTS[type(event)](self, now, event)
        return self.out

    def step(self, now: int, thing: Playback | Host, happening: str | None) -> None:
        """Read the table until nothing more follows."""
        while happening:
            row = TABLE.get((thing.state, happening)) or TABLE.get(("any", happening))
            thing.state, effect = row or (thing.state, None)
            happening = effect(self, now, thing) if effect else None

    # Events.

    def listed(self, now: int, event: api.Listed) -> None:
        if event.scope is Scope.FAILED:
            wait = self.terms.allowed.ask_within // 4
            self.out.append(api.SetAlarm(wait // 2 + int(wait * self.chance() / 2), ASK_TOKEN))
            return
        lineup, named = self.terms.lineup, {row.host for row in event.rows}
        for row in event.rows:
            host = self.hosts.get(row.host)
            if host is None or host not in host.rack.hosts:
                host = self.hosts[row.host] = host or Host(row, self.racks[row.cell % len(self.racks)])
                # A gateway that starts knows only its last list, and a host may have restarted since.
                host.presumed = event.scope is Scope.CACHED
                host.risen = now if host.presumed else row.started
                host.rack.hosts.append(host)
                self.cells.setdefault(row.cell, []).append(host)
            elif row.started > host.row.started:
                host.risen, host.presumed = max(host.risen, row.started), False
                host.fell, host.link.asked, host.share = False, None, None
            host.row, host.places = row, dict(enumerate(lineup.streams_by_kind)).get(row.kind, 1)
        if event.scope is not Scope.CHANGES:
            for host in self.hosts.values():
                if host.id not in named:
                    host.row = host.row._replace(standing=Standing.GONE)
        for host in list(self.hosts.values()):
            host.left = min(host.left, now) if host.row.standing is Standing.GONE else LATER
            # Danger: what is forgotten too early comes back without the failure that made it cold.
            if now - host.left >= self.terms.rules.warm_after and not (host.playbacks or host.probing):
                self.part_with(host)
        # Where weights tell nothing of size, kinds are compared by the streams they run.
        ready = [host for host in self.hosts.values() if host.row.standing is Standing.READY]
        mean = sum(host.places for host in ready) / max(1, len(ready))
        for host in self.hosts.values():
            weight = host.row.weight if lineup.weights_tell_size else host.places / (mean or 1.0)
            host.link.size = lineup.link_per_weight * weight

    def part_with(self, host: Host) -> None:
        del self.hosts[host.id]
        for those in (host.rack.hosts, *self.cells.values()):
            if host in those:
                those.remove(host)

    def arrived(self, now: int, event: api.Arrived) -> None:
        request = event.request
        if request.pb in self.playbacks:
            return
        if request.plan >= len(self.terms.plans):
            self.out.append(api.Reject(request.pb, 0))
            return
        pb = Playback(now, request, self.terms.plans[request.plan], self.terms.ladder)
        self.playbacks[pb.id] = pb
        # Between all others' requests for a title going to one of its holders, and each to one of its own.
        self.arrivals.append((now, len(self.holders(request)) ** 0.5 / max(1, len(self.hosts))))
        self.usual = None
        self.budget.take_request(now)
        self.out.append(api.SetAlarm(max(0, request.patience - 3 * self.terms.beat), PB_TOKEN + pb.id))
        self.step(now, pb, "again")

    def handed_over(self, now: int, event: api.HandedOver) -> None:
        request = event.request
        if request.pb in self.playbacks or request.plan >= len(self.terms.plans):
            return
        # At a host that is not listed nothing is sent, but what it plays holds its seat.
        row = api.HostRow(event.host, 0, 0, 0, Standing.GONE, 1.0, 0)
        host = self.hosts.setdefault(event.host, Host(row, self.racks[0]))
        pb = Playback(now, request, self.terms.plans[request.plan], self.terms.ladder)
        self.playbacks[pb.id] = pb
        pb.state = "playing"
        pb.tries.append(host)
        # Danger: what played before is no change of ours; as one it would deepen every early short note.
        self.settle(0, pb, host)
        # What it plays for us was set up under the pace, and beyond a share and a turn that takes time.
        span, budget = self.pace(host)
        each = self.terms.gateways / max(budget, 1.0)
        age = int(max(0, len(host.playbacks) - 1 - int(1 / each)) * span * each)
        host.risen = max(host.row.started, min(host.risen, now - age))

    def flowing(self, now: int, event: api.Flowing) -> None:
        pb = self.playbacks.get(event.pb)
        if pb and pb.host and pb.state == "trying" and event.attempt == len(pb.tries) - 1:
            self.took.append(event.took)
            self.step(now, pb, "flowing")
            self.step(now, pb.host, "good")

    def ended(self, now: int, event: api.Ended) -> None:
        pb, host = self.playbacks.get(event.pb), self.hosts.get(event.host)
        if host:
            self.loaded(now, host, event.load)
        if pb is None or host is None or pb.host is not host or event.attempt != len(pb.tries) - 1:
            return
        host.full = now if event.ending is Ending.FULL else host.full
        if event.ending not in NEVER_RAN:
            pb.maybe_ran.append((pb.sent_at, host))
        self.unsettle(now, pb)
        host.fell = host.fell or event.ending in FALLING
        if event.ending in STRIKING:
            self.step(now, host, "bad")
        self.step(now, pb, "over" if event.final else "failed")

    def unsent(self, now: int, event: api.Unsent) -> None:
        """What was decided is taken back, and decided anew by what is true now."""
        pb = self.playbacks.get(event.pb)
        if pb is None or pb.host is None or event.attempt != len(pb.tries) - 1:
            return
        remove_one(pb.host.sent, pb.sent_at)
        if len(pb.tries) > 1:
            self.budget.take_back(pb.sent_at)
        pb.tries.pop()
        self.unsettle(now, pb)
        self.step(now, pb, "failed")

    def noted(self, now: int, event: api.Note) -> None:
        pb, host = self.playbacks.get(event.pb), self.hosts.get(event.host)
        if pb is None or host is None or pb.host is not host or not isfinite(event.value) or event.value < 0:
            return
        lag = self.terms.lineup.note_lag if pb.state == "playing" else 0
        if event.news is News.SHARE:
            host.share = (now, event.value) if event.value < SHORT else None
            host.stepped = now if host.share else host.stepped
        elif event.news is News.LINK:
            self.carries(now, now - lag, host, event.value)
        elif event.news is News.UPLINK:
            host.rack.uplink.asked, host.rack.reports = (now - lag, event.value), True
        elif pb.plan.floor <= event.value <= pb.top:
            self.account(0, pb, int(event.value))

    def left(self, now: int, event: api.ViewerLeft) -> None:
        if event.pb in self.playbacks:
            self.step(now, self.playbacks[event.pb], "left")

    def rung_bell(self, now: int, event: api.Bell) -> None:
        if event.token == TICK_TOKEN:
            self.tick(now)
        elif event.token == ASK_TOKEN:
            self.out.append(api.KeepInformed())
        elif event.token - PB_TOKEN in self.playbacks:
            pb = self.playbacks[event.token - PB_TOKEN]
            self.step(now, pb, "abandon" if now >= pb.abandon - 4 * self.terms.beat else "again")

    def probed(self, now: int, event: api.Probed) -> None:
        host = self.hosts.get(event.host)
        if host is None:
            return
        host.probing = False
        self.loaded(now, host, event.load)
        if event.ending is Ending.SERVED:
            self.step(now, host, "proof")
        else:
            host.full, host.fell = now, host.fell or event.ending in FALLING
            self.step(now, host, "bad")
        waiting, host.askers = host.askers, []
        for pb in waiting:
            self.step(now, pb, "again")

    def loaded(self, now: int, host: Host, load: api.Load) -> None:
        sound = [value if value is not None and isfinite(value) and value >= 0 else None for value in load]
        streams, link, uplink = sound
        if streams is not None:
            self.counted = True
            self.crowd(now, host, streams)
        if link is not None:
            self.carries(now, now, host, link)
        if uplink is not None:
            host.rack.uplink.asked, host.rack.reports = (now, uplink), True

    def carries(self, now: int, at: int, host: Host, link: float) -> None:
        host.link.asked = (at, link)
        self.parts.append(link)
        held = sum(len(one.playbacks) for one in self.busy.values())
        if not self.counted and held:
            # Where hosts do not tell their streams, as many as ours would make up what is asked.
            usual = sum(one.link.own for one in self.busy.values()) / held
            self.crowd(now, host, link * host.link.size / max(usual, self.terms.ladder.rates[0]))

    def crowd(self, now: int, host: Host, streams: float) -> None:
        host.streams = (now, streams)
        self.crowds.append(streams)
        self.usual = None
        if host.presumed and self.counted:
            # What runs there came no faster than it falls over: since when so many can have come.
            rules, cold = self.terms.rules, min(self.terms.rules.cold_share, 0.99)
            part = max(0.0, streams - self.pace(host)[1]) / max(1.0, rules.fall_multiple * host.places)
            age = ((cold**2 + 2 * (1 - cold) * part) ** 0.5 - cold) / (1 - cold) * rules.warm_after
            host.proven = max(host.row.started, min(host.proven, now - int(age)))
        # Danger: a newcomer is empty, and all of us would prefer it; what runs as much as others do is none.
        host.settled = host.settled or streams >= max(1.0, median(self.crowds) / 2)

    # The account.

    def seen(self, now: int) -> int:
        """Over how long the arrivals that are kept have come."""
        return now - (self.arrivals[0][0] if len(self.arrivals) == WINDOW else self.began)

    def alike(self, now: int, span: int) -> float:
        """How many gateways, this one too, do in such a span what this one does."""
        if self.usual is None:  # asked for each link that is looked at
            crowd = min(self.terms.gateways, 1 + median(self.crowds)) if self.crowds else self.terms.gateways
            since = self.seen(now)
            holding = (
                sum(part for _, part in self.arrivals) / max(1, len(self.arrivals)) * self.terms.gateways
            )
            self.usual = crowd, since, holding, [at for at, _ in self.arrivals]
        crowd, since, holding, times = self.usual
        # Danger: when everybody comes at once, a rate over the last twenty requests is minutes old.
        lately = len(times) - bisect_right(times, now - span) - 2
        requests = max(lately, len(times) * span / max(1, since))
        return 1 + min((crowd - 1) * min(1.0, requests), requests * holding)

    def carry(self, now: int, host: Host, rate: float) -> None:
        host.link.add(now, rate)
        host.rack.uplink.add(now, rate)

    def settle(self, now: int, pb: Playback, host: Host) -> None:
        pb.host = host
        host.playbacks[pb.id] = pb
        self.busy[host.id] = host
        self.carry(now, host, pb.rate(pb.rung))

    def unsettle(self, now: int, pb: Playback) -> None:
        host, pb.host = pb.host, None
        if host:
            del host.playbacks[pb.id]
            self.carry(now, host, -pb.rate(pb.rung))

    def account(self, now: int, pb: Playback, rung: int) -> None:
        if pb.host:
            self.carry(now, pb.host, pb.rate(rung) - pb.rate(pb.rung))
        pb.rung = rung

    def room(self, now: int, host: Host) -> float:
        size = host.link.size
        if now - host.risen < self.terms.rules.warm_after:
            cold = self.terms.rules.cold_share
            size *= cold + (1 - cold) * (now - host.risen) / self.terms.rules.warm_after
        room = min(size - host.link.used(now), host.rack.free(now))
        share = self.share(now, host)
        return room if share >= SHORT else min(room, (share - 1) * size)

    # Setting up.

    def pace(self, host: Host) -> tuple[int, float]:
        """The span that counts and what all gateways together may send to a cold host in it."""
        rules = self.terms.rules
        capacity = rules.cold_share * host.places / max(1, rules.warm_after)
        # Sends bunch up on the way, where they wait for connections: ours keep to a longer span.
        wait = self.terms.allowed.connect + 5 * self.terms.beat
        return rules.fall_span + wait, rules.fall_multiple * capacity * rules.fall_span

    def pace_allows(self, now: int, host: Host, booked: int = LATER) -> bool:
        """Mechanism 3. `booked` is when the try itself was, if it was."""
        risen = min(host.risen, host.proven) if host.presumed else host.risen
        if not host.fell and now - risen >= self.terms.rules.warm_after:
            return True
        span, budget = self.pace(host)
        lately = sum(1 for at in host.sent if now - at < span)
        lately -= booked in host.sent and now - booked < span
        if host.presumed and host.settled and not host.fell and not lately and self.few(now, host):
            return True
        share, rest = divmod(int(budget), self.terms.gateways) if budget >= 1 else (0, 0)
        # What equal shares leave goes round in turns, a set-up each, so short that a span touches no more of
        # them than are left; where only one is, a whole span passes before the next.
        length = span // 4 if rest < 2 else span // (rest - 1)
        turn, into = divmod(now // length, 5) if rest < 2 else (now // length, 0)
        mine = rest and not into and (self.terms.number - turn - host.id) % self.terms.gateways == 0
        if now - self.began < span:
            # Danger: an earlier life of this gateway may have spent the share of this span, or this turn.
            share, mine = 0, mine and now % length < now - self.began
        return lately < share + bool(mine)

    def few(self, now: int, host: Host) -> bool:
        """All gateways together ask a usual host far less than this one could take if it were cold."""
        span, budget = self.pace(host)
        since = self.seen(now)
        mine = len(self.arrivals) * span / max(since, 1)
        return MARGIN * mine * self.terms.gateways / max(1, len(self.hosts)) <= budget

    def may_try(self, now: int, pb: Playback) -> bool:
        plan, rules = pb.plan, self.terms.rules
        if len(pb.tries) >= self.terms.allowed.tries or now >= pb.abandon - self.terms.beat:
            return False
        if pb.tries and rules.further_free is not None:
            left = self.budget.left(now)
            # What is spent on a cheap playback lacks for a dear one a moment later.
            dear = plan.revenue >= max(one.revenue for one in self.terms.plans)
            if left < 1 or (left < 2 and not dear and rules.further_free >= 2):
                return False
        return self.seat_free(pb)

    def seat_free(self, pb: Playback) -> bool:
        """Whether the playback may be one more of its title and plan."""
        plan = pb.plan
        if plan.seats <= 0:  # most plans have none, and a gateway may hold thousands of playbacks
            return True
        alike = [one for one in self.playbacks.values() if one.plan is plan and one.host and one is not pb]
        return sum(1 for one in alike if one.title == pb.title) < plan.seats

    def may_send(self, now: int, pb: Playback, host: Host) -> bool:
        plan, row = pb.plan, host.row
        for sent_at, earlier in pb.maybe_ran if plan.repeat is not Repeat.FREELY else ():
            same = {"zone": row.zone == earlier.row.zone, "cell": row.cell == earlier.row.cell}
            timely = now - sent_at < plan.repeat_span - 2 * self.terms.beat
            if plan.repeat is Repeat.NEVER or not (timely and same.get(plan.repeat_group, True)):
                return False
        return row.standing is Standing.READY

    def holders(self, request: api.Request) -> list[Host]:
        cells = max(1, self.terms.lineup.cells)
        places = range(request.home, request.home + min(request.copies, cells))
        return [host for place in places for host in self.cells.get(place % cells, ())]

    def place(self, now: int, pb: Playback) -> str:
        """The design's placement: most room by the own account, ties by the shared hash."""
        holders = self.holders(pb.request) if self.may_try(now, pb) else ()
        able = [host for host in holders if self.may_send(now, pb, host)]
        paced = [host for host in able if self.pace_allows(now, host)]
        # Danger: asking holder after holder takes time, and a silent one an eighth of the target. Hosts that
        # tell in answers too are asked once: what all holders tell at a start fills uplinks untold.
        early = now < pb.arrived + (pb.plan.startup_target // 4 if not self.terms.lineup.reports else 0)
        early = not pb.tries and (early or not pb.asked)
        # Danger: after a start all hosts are unsure, and probes beyond what a host takes count as failures.
        unsure = [
            one for one in able if one.presumed and one.streams[0] < self.began and self.stale(now, one)
        ]
        if not paced and not (early and unsure and not pb.asked):
            # Danger: a rejection for want of a turn sends the viewer round again; a turn comes soon.
            return "wait" if able and now < pb.arrived + pb.plan.startup_target else "abandon"
        (*_, room, _), _, host = max((self.rank(now, pb, host), host.id, host) for host in paced or unsure)
        if self.at_the_brim(now, host):
            return "abandon"
        if early and self.stale(now, host):
            pb.asked = True
            host.askers.append(pb)
            self.ask(now, host)
            return "ask"
        self.set_up(now, pb, host, self.first_rung(now, pb, host, room))
        return "sent"

    def at_the_brim(self, now: int, host: Host) -> bool:
        """Told short, where a missing point costs more than one: one more there loses more than it earns."""
        pipes = (host.link, host.rack.uplink) if host.rack.reports else (host.link,)
        told = [pipe.asked[1] for pipe in pipes if pipe.asked and now - pipe.asked[0] < FRESH]
        short = max(told, default=0.0) * SHORT > 1 or self.share(now, host) < SHORT
        return short and self.terms.lineup.stall * SHORT > 1

    def rank(self, now: int, pb: Playback, host: Host) -> tuple[float, ...]:
        room = self.room(now, host)
        # Danger: a host out of places on an idle link looks roomier than any link that is short.
        full = host.streams[1] >= host.places and now - host.streams[0] < QUIET
        full = full or now - host.full < TICK or host.probing
        # Rooms that differ by less than reports do are ties: the own zone first.
        near = room // (host.link.size / 8 or 1.0)
        tie = zlib.crc32(f"{pb.title}:{host.id}".encode())
        home = host.row.zone == self.terms.zone
        return host not in pb.tries, host.state == "trusted", not full, near, home, room, tie

    def first_rung(self, now: int, pb: Playback, host: Host, room: float) -> int:
        # Danger: where uplinks say nothing, rooms of strangers are wrong as often as links in use are short.
        used = [other for other in self.busy.values() if other.playbacks and other is not host]
        room *= 1 - sum(1 for other in used if other.share) / max(1, len(used))
        # Danger: all gateways see the same room and would each spend all of it on their next playback.
        claims = self.alike(now, 2 * self.terms.lineup.note_lag)
        rung = pb.plan.floor
        while rung < pb.top and pb.rate(rung + 1) <= room / claims:
            rung += 1
        return rung

    def set_up(self, now: int, pb: Playback, host: Host, rung: int) -> None:
        if rung != pb.rung:
            self.put(now, pb, rung)
        self.settle(now, pb, host)
        if pb.tries:
            self.budget.book(now)
        pb.tries.append(host)
        pb.sent_at, pb.risen_then = now, host.risen
        host.sent.append(now)
        self.out.append(api.SetUp(pb.id, host.id, self.allowance(now, pb)))

    # Writing what was decided.

    def authorize(self, now: int, pb: int, attempt: int) -> bool:
        """Whether a setup try may be written now, by what is true now; if so it counts as sent now.

        A decision and its write are up to a connect timeout, or a standstill of this process, apart. If the
        try is refused, `api.Unsent` has to follow. Who writes at once, as the simulator, need not ask."""
        playback = self.playbacks.get(pb)
        if playback is None or playback.state != "trying" or attempt != len(playback.tries) - 1:
            return False
        host = playback.tries[-1]
        allowed = (
            self.may_send(now, playback, host)
            and self.seat_free(playback)
            and self.budget_holds(now, playback)
            and self.pace_holds(now, playback, host)
        )
        if allowed:
            self.book_write(now, playback, host)
        return allowed

    def budget_holds(self, now: int, pb: Playback) -> bool:
        """Whether a further try still has room in the window that ends now."""
        return len(pb.tries) == 1 or self.budget.left(now, booked=pb.sent_at) >= 1

    def pace_holds(self, now: int, pb: Playback, host: Host) -> bool:
        """The pace's span allows for the usual wait; beyond it, or once the host has started again, the pace
        is asked again. What is on its way as a host fails serves to tell whether it is well."""
        waited = now - pb.sent_at
        usual = self.terms.allowed.connect + 4 * self.terms.beat
        if waited <= usual and pb.risen_then == host.risen:
            return True
        return self.pace_allows(now, host, booked=pb.sent_at)

    def book_write(self, now: int, pb: Playback, host: Host) -> None:
        """The accounts of what was sent hold the time of the write."""
        remove_one(host.sent, pb.sent_at)
        host.sent.append(now)
        if len(pb.tries) > 1:
            self.budget.move(pb.sent_at, now)
        pb.sent_at = now

    def stale(self, now: int, host: Host) -> bool:
        """Mechanism 6."""
        able = self.terms.allowed.probes and self.terms.lineup.tells and not host.probing
        return able and now - max(host.link.asked[0] if host.link.asked else -QUIET, host.streams[0]) >= FRESH

    def ask(self, now: int, host: Host) -> None:
        host.probing = True
        self.busy[host.id] = host
        self.out.append(api.Probe(host.id))

    def look_again(self, now: int, pb: Playback) -> None:
        # Danger: a turn is shorter than a tick, and the startup target may be too.
        self.out.append(api.SetAlarm(pb.plan.startup_target // 8, PB_TOKEN + pb.id))

    def allowance(self, now: int, pb: Playback) -> int:
        left = max(1, pb.abandon - now - self.terms.beat)
        if pb.plan.repeat is not Repeat.FREELY or len(pb.tries) >= self.terms.allowed.tries:
            return left
        usual = 4 * int(median(self.took)) if self.took else 0
        return min(left, max(usual, pb.plan.startup_target // 2))

    def answer(self, now: int, pb: Playback) -> None:
        """The final answer to a request that is given up: a rejection wherever the terms allow one."""
        plan, out, allowed = pb.plan, pb.host is not None, self.terms.allowed
        if out and allowed.call_off:
            self.out.append(api.CallOff(pb.id, len(pb.tries) - 1))
        barred = plan.repeat is Repeat.NEVER or plan.repeat_group != "all" or out
        if (out or pb.maybe_ran) and plan.repeat is not Repeat.FREELY and barred:
            self.out.append(api.Abort(pb.id))
        else:
            self.out.append(api.Reject(pb.id, allowed.longest_advice if allowed.advice else 0))
        self.drop(now, pb)

    def drop(self, now: int, pb: Playback) -> None:
        if pb.host is None:
            self.playbacks.pop(pb.id, None)

    # Judging hosts.

    def count(self, now: int, host: Host) -> str | None:
        host.in_a_row += 1
        return "enough" if host.in_a_row >= IN_A_ROW else None

    def recount(self, now: int, host: Host) -> None:
        host.in_a_row = 0
        self.busy[host.id] = host

    def clear(self, now: int, host: Host) -> None:
        host.in_a_row = 0
        if host.fell:  # it may be a new process: nothing says since when
            host.fell, host.presumed, host.risen = False, False, now

    # Stepping what plays.

    def tick(self, now: int) -> None:
        self.out.append(api.SetAlarm(TICK, TICK_TOKEN))
        for host in list(self.busy.values()):
            # Danger: once the last playback leaves a short host nothing says that the shortage is over.
            host.share = host.share if host.share and now - host.share[0] <= FRESH else None
            self.blame_uplink(now, host.rack)
            if not (host.playbacks or host.share or host.probing or host.state == "aside"):
                del self.busy[host.id]
        for host in self.busy.values():
            if host.state == "aside" and not self.terms.allowed.probes:
                self.step(now, host, "proof")
            elif host.state == "aside" and not host.probing and host.row.standing is Standing.READY:
                self.ask(now, host)
            playing = [pb for pb in host.playbacks.values() if pb.state == "playing"]
            room, share = self.room(now, host), self.share(now, host)
            for pb in playing:
                pb.rooms.append(pb.rate(pb.rung) * share if host.share else pb.rate(pb.rung) + max(0.0, room))
            if host.share and share < SHORT:
                self.drop_some(now, host, playing, (1 - share) * host.link.own)
            elif playing and not host.share and now - host.stepped >= QUIET:
                self.rise(now, host, playing)

    def drop_some(self, now: int, host: Host, playing: list[Playback], need: float) -> None:
        """Dearest kB first; where less than a step is left to take, by chance."""
        # Danger: a link short by a tenth whose playbacks all drop, here or everywhere, is left half empty.
        wanted = host.link.own - need
        able = [pb for pb in playing if pb.rung > pb.plan.floor]
        for pb in sorted(able, key=lambda pb: pb.gain(pb.rung)):
            step = pb.rate(pb.rung) - pb.rate(pb.rung - 1)
            if need >= step or self.chance() < need / step:
                self.put(now, pb, pb.rung - 1)
                host.stepped = now
            if need < step:
                # Danger: the others, by their own chance, take what this gateway did not; not twice.
                host.spared.append((now, wanted - host.link.own))
                break
            need -= step

    def blame_uplink(self, now: int, rack: Rack) -> None:
        """Where nobody reports uplinks, hosts of one rack that are short together tell of theirs."""
        playing = [host for host in rack.hosts if host.playbacks and not rack.reports]
        shares = sorted(host.share for host in playing if host.share)
        # A gateway that plays on one host of the rack alone takes the word of the link itself.
        links = [
            host.link for host in playing if host.link.told(now) and host.link.used(now) < host.link.size
        ]
        alone = len(playing) == len(links) == 1
        if 2 * len(shares) >= len(playing) and len(shares) > (not alone):
            middle = median(share for _, share in shares)
            rack.uplink.asked = (shares[-1][0] - self.terms.lineup.note_lag, 1 / max(middle, 0.1))

    def share(self, now: int, host: Host) -> float:
        """Mechanism 1: the noted share as it would be with what has changed since then."""
        if host.share is None:
            return 1.0
        start = host.share[0] - 2 * self.terms.lineup.note_lag
        then = host.link.own - host.link.since(start)
        left = host.link.own + sum(rate for at, rate in host.spared if at >= start)
        return min(1.0, host.share[1] * max(then, 0.0) / left) if left > 0 else 1.0

    def rise(self, now: int, host: Host, playing: list[Playback]) -> None:
        able = [pb for pb in playing if pb.rung < pb.top and harmonic_mean(pb.rooms) > pb.rate(pb.rung + 1)]
        if able:
            pb = max(able, key=lambda pb: pb.gain(pb.rung + 1))
            # Danger: every gateway that plays there sees the same room in the same tick.
            step = pb.rate(pb.rung + 1) - pb.rate(pb.rung)
            streams = host.streams[1] if now - host.streams[0] < QUIET else median(self.crowds or [0.0])
            crowd = max(1.0, streams / len(playing))
            behind = min(float(self.terms.gateways), crowd * len(host.rack.hosts))
            crowd = min(float(self.terms.gateways), crowd)
            room = min((host.link.size - host.link.used(now)) / crowd, host.rack.free(now) / behind)
            lucky = self.chance() * step < room
            if lucky and self.stale(now, host):
                self.ask(now, host)
            elif lucky and (host.link.told(now) or self.terms.gateways == 1 or now - self.began >= QUIET):
                # Danger: a gateway that has just started sees its own part alone, and all of them would rise.
                self.put(now, pb, pb.rung + 1)
                host.stepped = now

    def put(self, now: int, pb: Playback, rung: int) -> None:
        self.account(now, pb, rung)
        self.out.append(api.SetRung(pb.id, rung))


EVENTS: dict[type, Callable[..., None]] = {
    api.Listed: Gateway.listed,
    api.Arrived: Gateway.arrived,
    api.HandedOver: Gateway.handed_over,
    api.Flowing: Gateway.flowing,
    api.Ended: Gateway.ended,
    api.Unsent: Gateway.unsent,
    api.Note: Gateway.noted,
    api.ViewerLeft: Gateway.left,
    api.Bell: Gateway.rung_bell,
    api.Probed: Gateway.probed,
}

# State and input give the next state and an effect; what the effect returns is the next input.
TABLE: dict[tuple[str, str], tuple[str, Callable[..., str | None] | None]] = {
    ("held", "again"): ("held", Gateway.place),
    ("held", "sent"): ("trying", None),
    ("held", "wait"): ("held", Gateway.look_again),
    ("held", "ask"): ("asking", Gateway.look_again),
    ("held", "abandon"): ("over", Gateway.answer),
    ("asking", "again"): ("held", Gateway.place),
    ("asking", "abandon"): ("over", Gateway.answer),
    ("trying", "flowing"): ("playing", None),
    ("trying", "failed"): ("held", Gateway.place),
    ("trying", "abandon"): ("over", Gateway.answer),
    ("any", "failed"): ("over", Gateway.drop),
    ("any", "over"): ("over", Gateway.drop),
    ("any", "left"): ("over", Gateway.drop),
    ("trusted", "good"): ("trusted", Gateway.clear),
    ("trusted", "bad"): ("trusted", Gateway.count),
    ("trusted", "enough"): ("aside", Gateway.recount),
    ("aside", "good"): ("trusted", Gateway.clear),
    ("aside", "proof"): ("aside", Gateway.count),
    ("aside", "bad"): ("aside", Gateway.recount),
    ("aside", "enough"): ("trusted", Gateway.clear),
}
