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
from burlmast.world.box import Ailment, Box, Courses, Rack, host_id, host_place, true_rate
from burlmast.world.crowd import Guest, Market, Viewers
from burlmast.world.player import SHORT, Tariff
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
from burlmast.world.visitor import Comes, Visitor

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
    """What the world is made of beside the terms; nanoseconds."""

    terms: Callable[[int], api.Terms]
    gateways: int
    zones: int
    hosts: int
    titles: Sequence[Title]
    patience: Sequence[int]
    market: Market
    tariffs: Sequence[Tariff]
    set_up: int
    way: int
    list_delay: int
    tell_every: int
    deliver_every: int
    tell_uplinks: bool = True
    smooth: int = 0
    recall: bool = False  # advice by `burlmast.recall` in place of the decisions' own


class Playback:
    """One request as its gateway and its viewer have it."""

    def __init__(self, number: int, request: int, viewer: Visitor, asked: int, due: int, rung: int) -> None:
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
        self.unread = True
        self.told: dict[int, Standing] = {}
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
        self.unread = True  # it has not read the list in this life
        self.told = {}
        if fleet.list_fails:
            self.hear(api.Listed(Scope.FAILED, ()))
        else:
            fleet.first_list(self)

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

    def __init__(
        self,
        ground: Ground,
        maker: Maker,
        seed: int,
        record: Callable[[Record], None],
        viewers: Viewers | None = None,
        noise: float = 0.0,
    ) -> None:
        """`viewers` says how those behave that come; `noise` is the part by which hosts' reports are off."""
        self.ground, self.maker, self.record = ground, maker, record
        self.habits, self.noise = viewers or Viewers(), noise
        self.dice = random.Random(seed)
        # Far from 0, so that hosts that have run for long have started after it.
        self.engine = Engine(1_000_000 * SECOND)
        terms = ground.terms(0)
        self.terms = terms
        self.racks = [Rack(terms.lineup.uplink) for _ in range(max(1, terms.lineup.racks))]
        self.courses = Courses(self.racks)
        self.boxes: dict[int, Box] = {}
        self.streams: dict[int, dict[str, Stream]] = {}
        self.rows: dict[int, api.HostRow] = {}
        self.told_rows: dict[int, api.HostRow] = {}
        self.seats = [Seat(self, number) for number in range(ground.gateways)]
        self.until = 0
        self.list_delay = ground.list_delay
        self.list_fails = False
        self._requests = 0
        self.viewers: list[Visitor] = []
        self._short: dict[tuple[int, int], bool] = {}
        self._next_host = 0
        self._news: dict[int, dict[int, api.HostRow]] = {}

    @property
    def now(self) -> int:
        """Virtual time, nanoseconds."""
        return self.engine.now

    # Hosts.

    def begin(self, lasts: int, guests: Sequence[Guest]) -> int:
        """Hosts warm, gateways up, these viewers coming; the instant at which the day starts."""
        for place in range(self.ground.hosts):
            self.add_host(place % self.terms.lineup.cells, cold=False)
        self.told_rows = dict(self.rows)
        for seat in self.seats:
            seat.start()
        settle = self.terms.rules.fall_span + 200 * MS
        start = self.now + settle
        self.until = start + lasts
        for guest in guests:
            self.engine.at(start + guest.at, self._arrive, guest)
        return start

    def add_host(self, cell: int, cold: bool, number: int | None = None) -> int:
        """A host's process begins; a new machine unless `number` names one."""
        if number is None:
            number, self._next_host = host_id(self._next_host), self._next_host + 1
        lineup, rules = self.terms.lineup, self.terms.rules
        kinds = lineup.streams_by_kind
        kind = host_place(number) % len(kinds)
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
        box.smooth = self.ground.smooth
        box.noise, box.course = self.noise, self.courses.of(number)
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
        if not self.list_fails:
            self.told_rows.update(rows)
            self._tell_all(Scope.CHANGES, rows)

    def fail_list(self) -> None:
        """The list answers nobody; a gateway that starts now knows no host."""
        self.list_fails = True
        for seat in self.seats:
            seat.when_runs(seat.life, seat.hear, api.Listed(Scope.FAILED, ()))

    def mend_list(self) -> None:
        """It answers again, and each gateway reads it whole."""
        self.list_fails = False
        late = {number for rows in self._news.values() for number in rows}
        changed = {n: row for n, row in self.rows.items() if n not in late and self.told_rows.get(n) != row}
        self.told_rows.update(changed)
        self._tell_all(Scope.COMPLETE, self.told_rows)

    def first_list(self, seat: Seat) -> None:
        """A gateway that starts reads the whole list."""
        seat.told = {number: row.standing for number, row in self.told_rows.items()}
        seat.unread = False
        seat.hear(api.Listed(Scope.CACHED, tuple(self.told_rows.values())))

    def _tell_all(self, scope: Scope, rows: dict[int, api.HostRow]) -> None:
        for seat in self.seats:
            if seat.policy is not None:
                self._hear_list(seat, scope, rows)

    def _hear_list(self, seat: Seat, scope: Scope, rows: dict[int, api.HostRow]) -> None:
        for row in rows.values():
            if seat.told.get(row.host) != row.standing:
                seat.told[row.host] = row.standing
                self.record(Told(self.now, seat.number, row.host, row.standing.value))
        scope = Scope.CACHED if seat.unread and scope is Scope.COMPLETE else scope
        seat.unread = False
        seat.when_runs(seat.life, seat.hear, api.Listed(scope, tuple(rows.values())))

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
        title = self.ground.titles[viewer.guest.title].name
        words = (stream.host, stream.seat.number, stream.name, stream.attempt)
        self.record(TryCame(self.now, *words, viewer.guest.plan, title, playback.rung))
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
        told = self.terms.ladder.rates[playback.rung] * self.terms.plans[viewer.guest.plan].scale
        return true_rate(self.ground.titles[viewer.guest.title].name, told)

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
        load = self.told(box)
        for news, value in ((News.LINK, load.link), (News.UPLINK, load.uplink)):
            if value is not None:
                seat.hear(api.Note(playback.number, stream.attempt, stream.host, news, value))
        words = (playback.number, stream.attempt, stream.host)
        self.record(Answered(self.now, playback.request, 201, stream.name, playback.rung))
        seat.recall.played(self.now)
        seat.hear(api.Flowing(*words, self.now - stream.sent))
        playback.viewer.begins(self.now, stream.rung, box.share(self.now))
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

    def end(self, stream: Stream, ending: Ending, how: str) -> None:
        """A try or its stream is over, for its host at once and for its gateway when it runs."""
        if stream.over:
            return
        stream.over = True
        if stream.flows:
            viewer = stream.playback.viewer
            over = viewer.player.over or ending is Ending.SERVED
            self._comes(viewer, viewer.happen(self.now, "done" if over else "broke"))
        box = self.boxes.get(stream.host)
        load = api.Load()
        if stream.came:
            self.streams.get(stream.host, {}).pop(stream.key, None)
            if box is not None:
                box.rates.pop(stream.key, None)
                load = self.told(box) if ending in (Ending.FULL, Ending.SERVED, Ending.ERROR) else load
            words = (stream.host, stream.seat.number, stream.name, stream.attempt)
            self.record(TryOver(self.now, *words, ending is Ending.FULL, how))
        way = self.ground.way if how in ("refused", "error", "crash", "served") else 0
        self.engine.after(way, stream.seat.when_runs, stream.seat.life, self._ended, stream, ending, load)

    def _ended(self, stream: Stream, ending: Ending, load: api.Load) -> None:
        playback, seat = stream.playback, stream.seat
        final = playback.state != "asked"
        if playback.state == "playing":
            playback.state = "over"
        words = (playback.number, stream.attempt, stream.host, ending, self.now - stream.sent)
        seat.hear(api.Ended(*words, final, load))
        if playback.state == "over":
            seat.playbacks.pop(playback.number, None)

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
            words = (stream.host, stream.seat.number, stream.name, viewer.guest.plan, rung)
            self.record(RungSet(self.now, *words))
            box.rates[stream.key] = self._rate(stream.playback)
            stream.rung = rung
            viewer.sees(self.now, rung, viewer.player.share)

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
            load = self.told(box)
        event = api.Probed(host, ending, self.now + wait - sent, load)
        self.engine.after(wait, seat.when_runs, life, seat.hear, event)

    # What hosts tell.

    def told(self, box: Box) -> api.Load:
        """What a host says of its load now."""
        load = box.load(self.now)
        return load if self.ground.tell_uplinks else load._replace(uplink=None)

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
                stream.playback.viewer.sees(self.now, stream.rung, 0.0 if box.ails.mute else share)
                self._look_later(stream)
        told = box.delivered(self.now)
        for stream in self._speakers(box) if not box.ails.mute else ():
            key = box.number, stream.seat.number
            if told < SHORT or self._short.get(key):
                self._short[key] = told < SHORT
                self.engine.after(lag, self._note, stream, News.SHARE, box.told_share(told))
        self.engine.after(self.ground.deliver_every, self._deliver, box)

    def _tell(self, box: Box) -> None:
        if self.boxes.get(box.number) is not box:
            return
        load, lag = self.told(box), self.terms.lineup.note_lag + int(box.ails.late * SECOND)
        for stream in self._speakers(box) if not box.ails.mute else ():
            for news, value in ((News.LINK, load.link), (News.UPLINK, load.uplink)):
                if value is not None:
                    self.engine.after(lag, self._note, stream, news, value)
        self.engine.after(self.ground.tell_every, self._tell, box)

    # Viewers.

    def _arrive(self, guest: Guest) -> None:
        viewer = Visitor(guest, self.habits, self.ground.tariffs[guest.plan], self.now)
        self.viewers.append(viewer)
        self._ask(viewer)

    def _comes(self, viewer: Visitor, comes: Comes | None) -> None:
        if comes is not None and self.now < self.until:
            self.engine.after(comes.after, self._ask, viewer)

    def _ask(self, viewer: Visitor) -> None:
        number = viewer.asks(self.now, range(len(self.seats)))
        if number is None:
            return
        self._requests += 1
        guest, seat = viewer.guest, self.seats[number]
        request, patience = self._requests, self.ground.patience[guest.plan]
        title = self.ground.titles[guest.title]
        words = (request, seat.number, guest.plan, title.name, guest.top, patience)
        self.record(Asked(self.now, *words))
        if seat.policy is None:
            self.record(Lost(self.now, request, False))
            self._comes(viewer, viewer.happen(self.now, "lost"))
            return
        floor = self.terms.plans[guest.plan].floor
        playback = Playback(0, request, viewer, self.now, self.now + patience, floor)
        seat.when_runs(seat.life, self._take, seat, playback)
        self.engine.after(patience + 300 * MS, self._give_up, seat, seat.life, playback)

    def _take(self, seat: Seat, playback: Playback) -> None:
        if playback.state != "asked":
            return
        seat.count += 1
        playback.number = seat.count
        # The gateway's clock for a request begins when it takes it.
        viewer, guest = playback.viewer, playback.viewer.guest
        patience, title = self.ground.patience[guest.plan], self.ground.titles[guest.title]
        playback.due = self.now + patience
        seat.playbacks[playback.number] = playback
        request = api.Request(
            playback.number,
            guest.plan,
            float(guest.top),
            title.home,
            title.copies,
            guest.title + 1,
            guest.number,
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
        advice = seat.recall.advise(self.now) if wait and self.ground.recall else wait
        happening = "rejected" if status == 503 else "aborted"
        self._comes(playback.viewer, playback.viewer.happen(self.now, happening, advice))

    def _give_up(self, seat: Seat, life: str, playback: Playback) -> None:
        if playback.state == "asked":
            playback.state = "over"
            self.record(GaveUp(self.now, playback.request))
            if playback.number:
                seat.when_runs(life, seat.hear, api.ViewerLeft(playback.number))
            if playback.stream is not None:
                self.end(playback.stream, Ending.CALLED_OFF, "closed")
            self._comes(playback.viewer, playback.viewer.happen(self.now, "unheard"))

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
            if state == "asked":
                self._comes(playback.viewer, playback.viewer.happen(self.now, "lost"))

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
