"""A fleet in virtual time: gateways that decide for real, hosts and links from `world`, viewers that come
again.

What hosts, viewers and the list see is recorded in the words of `world.traffic`, so that the audit that
judges a day on sockets judges this one too. Messages take a fixed time; nothing is lost on the way.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.api import Ending, News, Scope, Standing
from burlmast.model.engine import Engine
from burlmast.recall.core import Recall
from burlmast.world.box import Ailment, Box, Rack, true_rate
from burlmast.world.player import Habits, Player, Takings, Tariff
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

MS = 1_000_000
SECOND = 1000 * MS


class Decides(Protocol):
    """A gateway's decisions."""

    def begin(self, now: int) -> list[api.Action]:
        """The first actions."""

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        """The actions that an event asks for."""


Maker = Callable[[api.Terms, int, int], Decides]


class Title(NamedTuple):
    """A title, and which cells hold it."""

    name: str
    home: int
    copies: int


class Ground(NamedTuple):
    """What the world is made of beside the terms; nanoseconds, kB a second, requests a second."""

    terms: Callable[[int], api.Terms]
    gateways: int
    zones: int
    hosts: int
    titles: Sequence[Title]
    patience: Sequence[int]
    rate: float
    lasts: tuple[float, float]
    set_up: int
    way: int
    list_delay: int
    tell_every: int
    deliver_every: int
    honour: float = 1.0  # the part of viewers who heed advice
    start_patience: tuple[float, float] = (
        6.0,
        30.0,
    )  # seconds without a picture after which a viewer is gone
    stall_patience: tuple[float, float] = (3.0, 12.0)  # seconds of one stall
    pause: tuple[float, float] = (0.4, 1.4)  # seconds after which a viewer comes again by itself
    recall: bool = False  # advice by `burlmast.recall` in place of the decisions' own


class Viewer:
    """Somebody who wants a playback, over all the requests that this takes."""

    def __init__(
        self, number: int, plan: int, title: int, player: Player, takings: Takings, dice: random.Random
    ) -> None:
        self.number, self.plan, self.title, self.dice = number, plan, title, dice
        self.player, self.takings = player, takings
        self.visits = 0

    @property
    def top(self) -> int:
        """The highest rung that it can use."""
        return self.takings.top

    @property
    def left(self) -> int:
        """What it still wants to see, nanoseconds."""
        return max(0, int(self.player.habits.wants - self.player.seen))


class Playback:
    """One request as its gateway and its viewer have it."""

    def __init__(self, number: int, request: int, viewer: Viewer, asked: int, due: int, rung: int) -> None:
        self.number, self.request, self.viewer = number, request, viewer
        self.asked, self.due, self.rung = asked, due, rung
        self.state = "asked"  # asked, playing, over
        self.tries = 0
        self.stream: Stream | None = None


class Stream:
    """One setup try at a host, and what plays of it."""

    def __init__(self, seat: Seat, playback: Playback, attempt: int, host: int, sent: int) -> None:
        self.seat, self.playback, self.attempt, self.host, self.sent = seat, playback, attempt, host, sent
        self.name = f"{seat.life}-{playback.number}"
        self.key = f"{self.name}/{attempt}"
        self.came = self.flows = self.over = False
        self.rung = playback.rung  # in force at the host
        self.since = sent  # up to when its revenue has been counted
        self.looks = 0  # a look at the player that was set before another counts no more


class Seat:
    """One gateway's place: its process comes and goes."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.life = f"g{number}.0"
        self.lives = 0
        self.policy: Decides | None = None
        self.recall = Recall(1, 0)
        self.playbacks: dict[int, Playback] = {}
        self.count = 0
        self.stopped: list[tuple[Callable[..., None], tuple[object, ...]]] | None = None

    def start(self) -> None:
        """The process begins, with the list as it is told now."""
        fleet = self.fleet
        self.lives += 1
        self.life = f"g{self.number}.{self.lives}"
        self.playbacks = {}
        fleet.record(GatewayIs(fleet.now, self.number, "up"))
        seed = fleet.dice.getrandbits(60)
        self.policy = fleet.maker(fleet.ground.terms(self.number), seed, fleet.now)
        self.recall = Recall(max(1, fleet.terms.allowed.longest_advice), seed)
        self.carry_out(self.policy.begin(fleet.now))
        self.hear(api.Listed(Scope.CACHED, tuple(fleet.told_rows.values())))

    def hear(self, event: api.Event) -> None:
        """Hand an event to the decisions."""
        if self.policy is not None:
            self.carry_out(self.policy.take(self.fleet.now, event))

    def when_runs(self, life: str, call: Callable[..., None], *words: object) -> None:
        """Call now if this life runs; once it goes on if it stands still; never if it is over."""
        if self.policy is None or life != self.life:
            return
        if self.stopped is not None:
            self.stopped.append((call, words))
        else:
            call(*words)

    def carry_out(self, actions: list[api.Action]) -> None:
        """Do what was decided."""
        for action in actions:
            match action:
                case api.SetUp(pb, host, allow):
                    self.fleet.send(self, pb, host, allow)
                case api.SetRung(pb, rung):
                    self.fleet.set_rung(self, pb, rung)
                case api.Reject(pb, wait):
                    self.fleet.answer(self, pb, 503, wait)
                case api.Abort(pb):
                    self.fleet.answer(self, pb, 502, 0)
                case api.CallOff(pb, attempt):
                    playback = self.playbacks.get(pb)
                    stream = playback.stream if playback else None
                    if stream is not None and stream.attempt == attempt and not stream.flows:
                        self.fleet.end(stream, Ending.CALLED_OFF, "closed")
                case api.SetAlarm(after, token):
                    engine = self.fleet.engine
                    engine.after(max(after, 1), self.when_runs, self.life, self.hear, api.Bell(token))
                case api.Probe(host):
                    self.fleet.probe(self, host)
                case _:
                    pass


class Fleet:
    """Everything at once."""

    VISITS = 4

    def __init__(self, ground: Ground, maker: Maker, seed: int, record: Callable[[Record], None]) -> None:
        self.ground, self.maker, self.record = ground, maker, record
        self.dice = random.Random(seed)
        # Far from 0, so that hosts that have run for long have started after it.
        self.engine = Engine(1_000_000 * SECOND)
        terms = ground.terms(0)
        self.terms = terms
        self.racks = [Rack(terms.lineup.uplink) for _ in range(max(1, terms.lineup.racks))]
        self.boxes: dict[int, Box] = {}
        self.streams: dict[int, dict[str, Stream]] = {}
        self.rows: dict[int, api.HostRow] = {}
        self.told_rows: dict[int, api.HostRow] = {}
        self.seats = [Seat(self, number) for number in range(ground.gateways)]
        self.rate, self.until = ground.rate, 0
        self.list_delay = ground.list_delay
        self.crowd: tuple[float, int] | None = None
        self._requests = self._viewers = 0
        self.viewers: list[Viewer] = []
        self._short: dict[tuple[int, int], bool] = {}
        self._next_host = 0
        self._news: dict[int, dict[int, api.HostRow]] = {}
        weights = [1 / (place + 1) ** 0.7 for place in range(len(ground.titles))]
        self._weights = weights

    @property
    def now(self) -> int:
        """Virtual time, nanoseconds."""
        return self.engine.now

    # Hosts.

    def begin(self, lasts: int) -> None:
        """Hosts warm, gateways up, viewers coming for so long."""
        for place in range(self.ground.hosts):
            self.add_host(place % self.terms.lineup.cells, cold=False)
        self.told_rows = dict(self.rows)
        for seat in self.seats:
            seat.start()
        settle = self.terms.rules.fall_span + 200 * MS
        self.until = self.now + settle + lasts
        self.engine.after(settle, self._arrive)

    def add_host(self, cell: int, cold: bool, number: int | None = None) -> int:
        """A host's process begins; a new machine unless `number` names one."""
        if number is None:
            number, self._next_host = 1000 + 37 * self._next_host, self._next_host + 1
        lineup, rules = self.terms.lineup, self.terms.rules
        kinds = lineup.streams_by_kind
        kind = (number - 1000) // 37 % len(kinds)
        link = lineup.link_per_weight * kinds[kind] * len(kinds) / sum(kinds)
        started = self.now if cold else self.now - 10 * max(1, rules.warm_after)
        rack = self.racks[cell % len(self.racks)]
        box = Box(
            number,
            rack,
            true_rate(f"link {number}", link, 0.2),
            kinds[kind],
            rules.cold_share,
            rules.warm_after,
            started,
        )
        box.bears = rules.fall_multiple, rules.fall_span
        self.boxes[number], self.streams[number] = box, {}
        zone = cell % self.ground.zones
        self.rows[number] = api.HostRow(number, zone, kind, cell, Standing.READY, 1.0, started)
        self.record(HostUp(self.now, number, kinds[kind], cold, zone, cell))
        first = self.dice.randrange(self.ground.deliver_every)
        self.engine.after(first, self._deliver, box)
        self.engine.after(self.dice.randrange(self.ground.tell_every), self._tell, box)
        return number

    def crash(self, number: int) -> None:
        """The process dies; every stream there breaks."""
        box = self.boxes.pop(number, None)
        if box is None:
            return
        box.leave()
        for stream in list(self.streams.pop(number).values()):
            self.end(stream, Ending.BROKEN, "crash")
        self.stands(number, Standing.GONE)

    def revive(self, number: int) -> None:
        """The process starts again, cold."""
        if number not in self.boxes:
            self.add_host(self.rows[number].cell, True, number)
            self.stands(number, Standing.READY)

    def drain(self, number: int) -> None:
        """It takes nothing new."""
        if number in self.boxes:
            self.boxes[number].draining = True
            self.stands(number, Standing.DRAINING)

    def ail(self, number: int, **ailments: object) -> None:
        """Change what ails a host; with none named it is well."""
        box = self.boxes.get(number)
        if box is not None:
            for name, value in (ailments or vars(Ailment())).items():
                setattr(box.ails, name, value)
            box.ails_since = self.now

    def stands(self, number: int, standing: Standing) -> None:
        """The list will say so."""
        self.rows[number] = self.rows[number]._replace(standing=standing)
        due = self.now + self.list_delay
        if due not in self._news:
            self._news[due] = {}
            self.engine.at(due, self._push, due)
        self._news[due][number] = self.rows[number]

    def _push(self, due: int) -> None:
        """What changed at one instant is told in one piece, as a list does."""
        rows = self._news.pop(due)
        self.told_rows.update(rows)
        news = api.Listed(Scope.CHANGES, tuple(rows.values()))
        for seat in self.seats:
            if seat.policy is not None:
                for row in news.rows:
                    self.record(Told(self.now, seat.number, row.host, row.standing.value))
                seat.when_runs(seat.life, seat.hear, news)

    # Setup tries.

    def send(self, seat: Seat, pb: int, host: int, allow: int) -> None:
        """A set-up leaves its gateway."""
        playback = seat.playbacks.get(pb)
        if playback is None or playback.state != "asked":
            return
        stream = Stream(seat, playback, playback.tries, host, self.now)
        playback.tries += 1
        playback.stream = stream
        if stream.attempt >= self.terms.allowed.tries:
            self.engine.after(0, self.end, stream, Ending.MOOT, "")
            return
        due = min(playback.due, self.now + allow) if allow > 0 else playback.due
        self.engine.at(due, self._too_late, stream)
        self.engine.after(self.ground.way, self._come, stream)

    def _too_late(self, stream: Stream) -> None:
        if not stream.flows:
            self.end(stream, Ending.TIMEOUT, "closed")

    def _come(self, stream: Stream) -> None:
        if stream.over:
            return
        box, playback, viewer = self.boxes.get(stream.host), stream.playback, stream.playback.viewer
        if box is None:
            self.engine.after(self.ground.way, self.end, stream, Ending.NO_CONNECTION, "")
            return
        title = self.ground.titles[viewer.title].name
        words = (stream.host, stream.seat.number, stream.name, stream.attempt)
        self.record(TryCame(self.now, *words, viewer.plan, title, playback.rung))
        stream.came = True
        self.streams[stream.host][stream.key] = stream
        if box.pushed_over(self.now):
            self.crash(stream.host)
        elif box.ails.mute:
            pass
        elif box.refuses():
            self.end(stream, Ending.FULL, "refused")
        elif box.fails():
            self.end(stream, Ending.ERROR, "error")
        else:
            box.rates[stream.key] = self._rate(playback)
            self.engine.after(int(self.ground.set_up * box.slowness(self.now)), self._flow, stream, box)

    def _rate(self, playback: Playback) -> float:
        viewer = playback.viewer
        told = self.terms.ladder.rates[playback.rung] * self.terms.plans[viewer.plan].scale
        return true_rate(self.ground.titles[viewer.title].name, told)

    def _flow(self, stream: Stream, box: Box) -> None:
        if stream.over or self.boxes.get(stream.host) is not box:
            return
        if box.ails.mute:
            self.engine.after(200 * MS, self._flow, stream, box)
            return
        self.engine.after(self.ground.way, stream.seat.when_runs, stream.seat.life, self._plays, stream, box)

    def _plays(self, stream: Stream, box: Box) -> None:
        playback, seat = stream.playback, stream.seat
        if stream.over or playback.state != "asked":
            return
        stream.flows = True
        playback.state = "playing"
        load = box.load(self.now)
        for news, value in ((News.LINK, load.link), (News.UPLINK, load.uplink)):
            if value is not None:
                seat.hear(api.Note(playback.number, stream.attempt, stream.host, news, value))
        words = (playback.number, stream.attempt, stream.host)
        self.record(Answered(self.now, playback.request, 201, stream.name, playback.rung))
        seat.recall.played(self.now)
        seat.hear(api.Flowing(*words, self.now - stream.sent))
        stream.since = self.now
        playback.viewer.player.begins(self.now, box.share(self.now))
        self._look_later(stream)

    def _look_later(self, stream: Stream) -> None:
        stream.looks += 1
        self.engine.at(stream.playback.viewer.player.due, self._look, stream, stream.looks)

    def _look(self, stream: Stream, look: int) -> None:
        """The player was to change by itself now."""
        if stream.over or look != stream.looks:
            return
        player, playback = stream.playback.viewer.player, stream.playback
        player.pass_to(self.now)
        if player.state == "done":
            self.end(stream, Ending.SERVED, "served")
        elif player.state == "gone":
            seat = stream.seat
            seat.when_runs(seat.life, seat.hear, api.ViewerLeft(playback.number))
            self.end(stream, Ending.CALLED_OFF, "closed")
        else:
            self._look_later(stream)

    def _count_revenue(self, stream: Stream) -> None:
        viewer = stream.playback.viewer
        viewer.takings.pass_time(self.now - stream.since, stream.rung, viewer.player.share)
        stream.since = self.now

    def end(self, stream: Stream, ending: Ending, how: str) -> None:
        """A try or its stream is over, for its host at once and for its gateway when it runs."""
        if stream.over:
            return
        stream.over = True
        if stream.flows:
            self._count_revenue(stream)
            stream.playback.viewer.player.breaks_off(self.now)  # where it had not seen all, or left
        box = self.boxes.get(stream.host)
        load = api.Load()
        if stream.came:
            self.streams.get(stream.host, {}).pop(stream.key, None)
            if box is not None:
                box.rates.pop(stream.key, None)
                load = box.load(self.now) if ending in (Ending.FULL, Ending.SERVED, Ending.ERROR) else load
            words = (stream.host, stream.seat.number, stream.name, stream.attempt)
            self.record(TryOver(self.now, *words, ending is Ending.FULL, how))
        way = self.ground.way if how in ("refused", "error", "crash", "served") else 0
        self.engine.after(way, stream.seat.when_runs, stream.seat.life, self._ended, stream, ending, load)

    def _ended(self, stream: Stream, ending: Ending, load: api.Load) -> None:
        playback, seat = stream.playback, stream.seat
        final = playback.state != "asked"
        broke = playback.state == "playing"
        if broke:
            playback.state = "over"
        words = (playback.number, stream.attempt, stream.host, ending, self.now - stream.sent)
        seat.hear(api.Ended(*words, final, load))
        if playback.state == "over":
            seat.playbacks.pop(playback.number, None)
            if broke and playback.viewer.left > SECOND:
                self._again(playback.viewer, 0)

    def set_rung(self, seat: Seat, pb: int, rung: int) -> None:
        """The decisions set a rung; for what plays the host hears of it."""
        playback = seat.playbacks.get(pb)
        if playback is None:
            return
        playback.rung = rung
        stream = playback.stream
        if stream is not None and stream.flows and not stream.over:
            self.engine.after(self.ground.way, self._rung_comes, stream, rung)

    def _rung_comes(self, stream: Stream, rung: int) -> None:
        box = self.boxes.get(stream.host)
        if box is not None and not stream.over and not box.ails.mute:
            viewer = stream.playback.viewer
            words = (stream.host, stream.seat.number, stream.name, viewer.plan, rung)
            self.record(RungSet(self.now, *words))
            box.rates[stream.key] = self._rate(stream.playback)
            self._count_revenue(stream)
            stream.rung = rung
            viewer.takings.step()

    def probe(self, seat: Seat, host: int) -> None:
        """A probe leaves its gateway."""
        self.engine.after(2 * self.ground.way, self._probed, seat, seat.life, host, self.now)

    def _probed(self, seat: Seat, life: str, host: int, sent: int) -> None:
        box = self.boxes.get(host)
        ending, load, wait = Ending.SERVED, api.Load(), 0
        if box is None:
            ending = Ending.NO_CONNECTION
        elif box.ails.mute:
            ending, wait = Ending.TIMEOUT, 250 * MS
        else:
            load = box.load(self.now)
        event = api.Probed(host, ending, self.now + wait - sent, load)
        self.engine.after(wait, seat.when_runs, life, seat.hear, event)

    # What hosts tell.

    def _speakers(self, box: Box) -> list[Stream]:
        found: dict[int, Stream] = {}
        for stream in self.streams.get(box.number, {}).values():
            if stream.flows:
                found.setdefault(stream.seat.number, stream)
        return list(found.values())

    def _note(self, stream: Stream, news: News, value: float) -> None:
        if not stream.over:
            words = (stream.playback.number, stream.attempt, stream.host, news, value)
            stream.seat.when_runs(stream.seat.life, stream.seat.hear, api.Note(*words))

    def _deliver(self, box: Box) -> None:
        if self.boxes.get(box.number) is not box:
            return
        share, lag = box.share(self.now), self.terms.lineup.note_lag + int(box.ails.late * SECOND)
        # Players feel a change of share at the next of these moments.
        for stream in self.streams.get(box.number, {}).values():
            if stream.flows:
                self._count_revenue(stream)
                stream.playback.viewer.player.shares(self.now, 0.0 if box.ails.mute else share)
                self._look_later(stream)
        for stream in self._speakers(box) if not box.ails.mute else ():
            key = box.number, stream.seat.number
            if share < 0.98 or self._short.get(key):
                self._short[key] = share < 0.98
                self.engine.after(lag, self._note, stream, News.SHARE, share)
        self.engine.after(self.ground.deliver_every, self._deliver, box)

    def _tell(self, box: Box) -> None:
        if self.boxes.get(box.number) is not box:
            return
        load, lag = box.load(self.now), self.terms.lineup.note_lag + int(box.ails.late * SECOND)
        for stream in self._speakers(box) if not box.ails.mute else ():
            for news, value in ((News.LINK, load.link), (News.UPLINK, load.uplink)):
                if value is not None:
                    self.engine.after(lag, self._note, stream, news, value)
        self.engine.after(self.ground.tell_every, self._tell, box)

    # Viewers.

    def _arrive(self) -> None:
        if self.now >= self.until:
            return
        dice = self.dice
        self._viewers += 1
        plan = dice.randrange(len(self.terms.plans))
        title = dice.choices(range(len(self.ground.titles)), self._weights)[0]
        crowd_draw, crowd_title = dice.random(), dice.random()
        if self.crowd is not None and crowd_draw < self.crowd[0]:
            title = len(self.ground.titles) - 1 - int(crowd_title * self.crowd[1])
        terms = self.terms.plans[plan]
        top = min(terms.top, len(self.terms.ladder.rates) - 1)
        if dice.random() < 0.3:
            top = max(terms.floor, top - 1)
        lasts = int(dice.uniform(*self.ground.lasts) * SECOND)
        own = random.Random(dice.getrandbits(60))
        habits = Habits(
            SECOND,
            2 * SECOND,
            int(own.uniform(*self.ground.start_patience) * SECOND),
            int(own.uniform(*self.ground.stall_patience) * SECOND),
            lasts,
        )
        takings = Takings(Tariff(terms.revenue, self.terms.ladder.earns), top)
        viewer = Viewer(self._viewers, plan, title, Player(self.now, habits), takings, own)
        self.viewers.append(viewer)
        self._ask(viewer)
        self.engine.after(int(dice.expovariate(self.rate) * SECOND), self._arrive)

    def _ask(self, viewer: Viewer) -> None:
        viewer.player.pass_to(self.now)
        if viewer.player.over:
            return  # it would not wait so long
        viewer.visits += 1
        self._requests += 1
        seat = viewer.dice.choice(self.seats)
        request, patience = self._requests, self.ground.patience[viewer.plan]
        title = self.ground.titles[viewer.title]
        words = (request, seat.number, viewer.plan, title.name, viewer.top, patience)
        self.record(Asked(self.now, *words))
        if seat.policy is None:
            self.record(Lost(self.now, request, False))
            self._again(viewer, 0)
            return
        playback = Playback(
            0, request, viewer, self.now, self.now + patience, self.terms.plans[viewer.plan].floor
        )
        seat.when_runs(seat.life, self._take, seat, playback)
        self.engine.after(patience + 300 * MS, self._give_up, seat, seat.life, playback)

    def _take(self, seat: Seat, playback: Playback) -> None:
        if playback.state != "asked":
            return
        seat.count += 1
        playback.number = seat.count
        # The gateway's clock for a request begins when it takes it.
        patience = self.ground.patience[playback.viewer.plan]
        playback.due = self.now + patience
        seat.playbacks[playback.number] = playback
        viewer, title = playback.viewer, self.ground.titles[playback.viewer.title]
        request = api.Request(
            playback.number,
            viewer.plan,
            float(viewer.top),
            title.home,
            title.copies,
            viewer.title + 1,
            viewer.number,
            patience,
            False,
            viewer.visits > 1,
            viewer.left,
        )
        seat.hear(api.Arrived(request))

    def answer(self, seat: Seat, pb: int, status: int, wait: int) -> None:
        """A request is rejected or aborted."""
        playback = seat.playbacks.get(pb)
        if playback is None or playback.state != "asked":
            return
        playback.state = "over"
        self.record(Answered(self.now, playback.request, status, f"{seat.life}-{pb}", 0))
        if playback.stream is None or playback.stream.over:
            seat.playbacks.pop(pb, None)
        if status == 503:
            self._again(
                playback.viewer, seat.recall.advise(self.now) if wait and self.ground.recall else wait
            )

    def _give_up(self, seat: Seat, life: str, playback: Playback) -> None:
        if playback.state == "asked":
            playback.state = "over"
            self.record(GaveUp(self.now, playback.request))
            if playback.number:
                seat.when_runs(life, seat.hear, api.ViewerLeft(playback.number))
            if playback.stream is not None:
                self.end(playback.stream, Ending.CALLED_OFF, "closed")
            self._again(playback.viewer, 0)

    def _again(self, viewer: Viewer, advice: int) -> None:
        if viewer.visits < self.VISITS and self.now < self.until:
            heeds = advice and viewer.dice.random() < self.ground.honour
            pause = int(viewer.dice.uniform(*self.ground.pause) * SECOND)
            self.engine.after(max(advice, pause) if heeds else pause, self._ask, viewer)

    def watched(self) -> float:
        """The part of what viewers wanted to watch that they did."""
        wanted = sum(viewer.player.habits.wants for viewer in self.viewers)
        return sum(viewer.player.seen for viewer in self.viewers) / max(1, wanted)

    def earned(self) -> float:
        """Revenue by the second over that of the best rung for all that viewers wanted to watch."""
        asked = sum(viewer.takings.worth(viewer.player.habits.wants) for viewer in self.viewers)
        return sum(viewer.takings.earned for viewer in self.viewers) / asked if asked else 0.0

    # Gateways.

    def kill(self, number: int) -> None:
        """A gateway's process ends outright; what it held is lost and what it played ends."""
        seat = self.seats[number]
        if seat.policy is None:
            return
        self.record(GatewayIs(self.now, number, "down"))
        lost, seat.playbacks = list(seat.playbacks.values()), {}
        seat.policy, seat.stopped = None, None
        for playback in lost:
            state, playback.state = playback.state, "over"
            if state == "asked":
                self.record(Lost(self.now, playback.request, True))
            if playback.stream is not None:
                self.end(playback.stream, Ending.BROKEN, "closed")
            if state != "over" and playback.viewer.left > SECOND:
                self._again(playback.viewer, 0)

    def stop(self, number: int) -> None:
        """It stands still; what comes waits."""
        seat = self.seats[number]
        if seat.policy is not None and seat.stopped is None:
            self.record(GatewayIs(self.now, number, "stopped"))
            seat.stopped = []

    def go_on(self, number: int) -> None:
        """It runs again and finds what has come, in its order."""
        seat = self.seats[number]
        if seat.stopped is not None:
            self.record(GatewayIs(self.now, number, "continued"))
            waiting, seat.stopped = seat.stopped, None
            for call, words in waiting:
                call(*words)
