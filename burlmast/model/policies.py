"""Decisions that the model can play by: the product's, parts of it left out, and plain baselines.

Baselines and ablations are there for comparison only; no program places by them.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from dataclasses import replace

from burlmast import api
from burlmast.api import Ending, Repeat, Scope, Standing
from burlmast.logic import NEVER_RAN, Gateway, Host, Playback, Rack
from burlmast.model.fleet import Decides

Maker = Callable[[api.Terms, int, int], Decides]


# Parts left out. Each row of docs/design.md's list of measured choices has its name here.


class NotesAsTold(Gateway):
    """Late notes are not read against own steps."""

    def share(self, now: int, host: Host) -> float:
        return host.share[1] if host.share else 1.0


class Surely(Gateway):
    """What is drawn by chance happens for certain while `certain` holds."""

    certain = False

    def chance(self) -> float:
        return 0.0 if self.certain else super().chance()


class DropsTogether(Surely):
    """Every gateway that plays on a short link drops."""

    def drop_some(self, now: int, host: Host, playing: list[Playback], need: float) -> None:
        self.certain = True
        super().drop_some(now, host, playing, need)
        self.certain = False


class RisesTogether(Surely):
    """Every gateway that sees room rises."""

    def rise(self, now: int, host: Host, playing: list[Playback]) -> None:
        self.certain = True
        super().rise(now, host, playing)
        self.certain = False


class NoQuietAfterRise(Gateway):
    """The next rise need not wait."""

    def rise(self, now: int, host: Host, playing: list[Playback]) -> None:
        stepped = host.stepped
        super().rise(now, host, playing)
        host.stepped = stepped


class NeverAsks(Gateway):
    """No host is asked before more goes there."""

    def stale(self, now: int, host: Host) -> bool:
        return False


class NoInferredUplinks(Gateway):
    """Shortages tell nothing of uplinks."""

    def blame_uplink(self, now: int, rack: Rack) -> None:
        pass


class OneTry(Gateway):
    """No further tries."""

    def __init__(self, terms: api.Terms, seed: int, now: int) -> None:
        super().__init__(replace(terms, allowed=replace(terms.allowed, tries=1)), seed, now)


# Baselines.


class Baseline:
    """Picks among the holders that the list says are ready, at one rung, and lets everything play on."""

    def __init__(self, terms: api.Terms, seed: int, now: int) -> None:
        self.terms, self._seed, self._draws = terms, seed, 0
        self._rows: dict[int, api.HostRow] = {}
        self._cells: dict[int, list[int]] = {}
        self._asked: dict[int, tuple[api.Request, int]] = {}  # and when its abandon time is
        self._tried: dict[int, list[int]] = {}
        self.streams: dict[int, int] = {}  # own ones by host

    def begin(self, now: int) -> list[api.Action]:
        """Nothing to do yet."""
        return []

    def take(self, now: int, event: api.Event) -> list[api.Action]:
        """The actions that an event asks for."""
        match event:
            case api.Listed(scope, rows) if scope is not Scope.FAILED:
                self._listed(rows)
            case api.Arrived(request):
                self._asked[request.pb] = request, now + request.patience
                self._tried[request.pb] = []
                alarm = api.SetAlarm(max(0, request.patience - 3 * self.terms.beat), request.pb)
                return [alarm, *self._send(now, request)]
            case api.Flowing(pb):
                self._asked.pop(pb, None)
            case api.Ended():
                return self._ended(now, event)
            case api.ViewerLeft(pb) | api.Bell(pb):
                return self._over(pb, isinstance(event, api.Bell))
        return []

    def chance(self) -> float:
        """0 to under 1."""
        self._draws += 1
        return zlib.crc32(f"{self._seed}:{self._draws}".encode()) / 2**32

    def pick(self, able: Sequence[int]) -> int:
        """One of the hosts that may be tried."""
        raise NotImplementedError

    def rung(self, request: api.Request) -> int:
        """The rung to play at."""
        return self.terms.plans[request.plan].floor

    def _listed(self, rows: Sequence[api.HostRow]) -> None:
        for row in rows:
            if row.host not in self._rows:
                self._cells.setdefault(row.cell, []).append(row.host)
            self._rows[row.host] = row

    def _send(self, now: int, request: api.Request) -> list[api.Action]:
        tried = self._tried[request.pb]
        cells = self.terms.lineup.cells
        places = range(request.home, request.home + min(request.copies, cells))
        able = [host for place in places for host in self._cells.get(place % cells, ())]
        able = [h for h in able if self._rows[h].standing is Standing.READY and h not in tried]
        if not able or len(tried) >= self.terms.allowed.tries:
            self._asked.pop(request.pb, None)
            return [api.Reject(request.pb, self.terms.allowed.longest_advice)]
        host = self.pick(able)
        tried.append(host)
        self.streams[host] = self.streams.get(host, 0) + 1
        left = self._asked[request.pb][1] - now - self.terms.beat
        return [api.SetRung(request.pb, self.rung(request)), api.SetUp(request.pb, host, max(1, left))]

    def _ended(self, now: int, event: api.Ended) -> list[api.Action]:
        self.streams[event.host] = max(0, self.streams.get(event.host, 0) - 1)
        asked = self._asked.get(event.pb)
        if asked is None:
            return []
        request = asked[0]
        freely = self.terms.plans[request.plan].repeat is Repeat.FREELY
        if event.ending in NEVER_RAN or (freely and event.ending is Ending.ERROR):
            return self._send(now, request)
        return self._over(event.pb, True)

    def _over(self, pb: int, owed: bool) -> list[api.Action]:
        asked = self._asked.pop(pb, None)
        if asked is None or not owed:
            return []
        tries = self._tried[pb]
        calling_off: list[api.Action] = [api.CallOff(pb, len(tries) - 1)] if tries else []
        return [*calling_off, api.Abort(pb)]


class RandomHolder(Baseline):
    """A holder by chance."""

    def pick(self, able: Sequence[int]) -> int:
        return able[int(self.chance() * len(able))]


class LeastStreams(Baseline):
    """The holder on which this gateway plays least."""

    def pick(self, able: Sequence[int]) -> int:
        return min(able, key=lambda host: (self.streams.get(host, 0), host))


class RoundRobin(Baseline):
    """One holder after another."""

    def pick(self, able: Sequence[int]) -> int:
        self._draws += 1
        return able[self._draws % len(able)]


class AtTheTop(Baseline):
    """The highest rung that the viewer can use."""

    def rung(self, request: api.Request) -> int:
        plan = self.terms.plans[request.plan]
        return max(plan.floor, min(int(request.top), plan.top, len(self.terms.ladder.rates) - 1))


class LeastStreamsTop(AtTheTop, LeastStreams):
    """Least streams at the highest rung."""


class RoundRobinTop(AtTheTop, RoundRobin):
    """Round robin at the highest rung."""


ABLATIONS: dict[str, Maker] = {
    "notes as told": NotesAsTold,
    "drops together": DropsTogether,
    "rises together": RisesTogether,
    "no quiet after a rise": NoQuietAfterRise,
    "never asks": NeverAsks,
    "no inferred uplinks": NoInferredUplinks,
    "one try": OneTry,
}
BASELINES: dict[str, Maker] = {
    "random lowest": RandomHolder,
    "least streams lowest": LeastStreams,
    "round robin lowest": RoundRobin,
    "least streams top": LeastStreamsTop,
    "round robin top": RoundRobinTop,
}
POLICIES: dict[str, Maker] = {"llama": Gateway, **ABLATIONS, **BASELINES}
