"""A media host without its sockets: links, uplinks, places, cold starts and what ails it. Free of I/O."""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import dataclass, field

from burlmast import api
from burlmast.world.capacity import Change

SETTLED = 0.999  # a smoothed share above this is a whole one


@dataclass
class Ailment:
    """What a trouble makes of a host; the plain values are those of health."""

    errors: float = 0.0  # part of set-ups that fail at once
    full: bool = False
    mute: bool = False  # takes what comes and answers nothing
    slow: float = 1.0  # times slower
    ageing: float = 0.0  # times slower per second
    link: float = 1.0  # times less
    neighbour: float = 0.0  # part of the link that another program takes
    neighbour_turn: float = 0.0  # seconds on or off; 0 is always on
    late: float = 0.0  # seconds by which reports are later


@dataclass
class Course:
    """What the courses of a day leave of a link's capacity; several multiply."""

    parts: dict[int, float] = field(default_factory=dict)

    @property
    def part(self) -> float:
        """The part that is given now."""
        return math.prod(self.parts.values())


@dataclass
class Rack:
    """Hosts behind one uplink, kB a second."""

    uplink: float
    less: float = 1.0
    boxes: list[Box] = field(default_factory=list)
    course: Course = field(default_factory=Course)

    def asked(self) -> float:
        """What is asked of the uplink over what it gives."""
        return sum(box.asked_kb() for box in self.boxes) / max(
            1.0, self.uplink / self.less * self.course.part
        )


class Courses:
    """The courses of a fleet's links and uplinks, over all the lives of its hosts."""

    def __init__(self, racks: list[Rack]) -> None:
        self._racks = racks
        self._hosts: dict[int, Course] = {}

    def of(self, number: int) -> Course:
        """That of a host's link."""
        return self._hosts.setdefault(number, Course())

    def gives(self, change: Change) -> None:
        """A link or uplink gives another part of its capacity from now on."""
        hosts = change.kind == "hosts"
        course = self.of(host_id(change.number)) if hosts else self._racks[change.number].course
        course.parts[change.place] = change.part


class Box:
    """One host's process."""

    def __init__(
        self,
        number: int,
        rack: Rack,
        link: float,
        places: int,
        cold_share: float,
        warm_after: int,
        started: int,
    ) -> None:
        """`started` is on the caller's clock in nanoseconds; far in the past makes a warm host."""
        self.number, self.rack, self.link, self.places = number, rack, link, places
        self._cold_share, self._warm_after = cold_share, warm_after
        self.started = started
        self.ails = Ailment()
        self.course = Course()
        self.noise = 0.0  # part by which what it reports is off
        self.smooth = 0  # time constant in nanoseconds over which the shares that it reports are smoothed
        self._delivered: tuple[int, float] | None = None  # when, the share as it is reported
        self.ails_since = started
        self.rates: dict[str, float] = {}
        self.draining = False
        self._draws = self._reports = 0
        self.bears: tuple[float, int] = 1.0, 0  # times its pace, and within what span, that push it over
        self._came: deque[int] = deque(maxlen=1024)
        self._history: deque[tuple[int, float]] = deque(maxlen=256)
        rack.boxes.append(self)

    def leave(self) -> None:
        """The process is gone."""
        self.rates.clear()
        if self in self.rack.boxes:
            self.rack.boxes.remove(self)

    def warmed(self, now: int) -> float:
        """The part of its capacity that it has by now."""
        part = (now - self.started) / self._warm_after if self._warm_after else 1.0
        return min(1.0, self._cold_share + (1 - self._cold_share) * max(0.0, part))

    def asked_kb(self) -> float:
        """kB a second that its streams want."""
        return sum(self.rates.values())

    def link_now(self, now: int) -> float:
        """kB a second that its link gives now."""
        given = self.link / self.ails.link * self.warmed(now) * self.course.part
        turn = int(self.ails.neighbour_turn * 1e9)
        if self.ails.neighbour and (not turn or (now // turn) % 2 == 0):
            given *= 1 - self.ails.neighbour
        return max(1.0, given)

    def link_asked(self, now: int) -> float:
        """What is asked of its link over what the link gives."""
        return self.asked_kb() / self.link_now(now)

    def share(self, now: int) -> float:
        """The part of its rate that every stream here gets."""
        most = max(self.link_asked(now), self.rack.asked())
        return 1.0 if most <= 1 else 1 / most

    def load(self, now: int) -> api.Load:
        """What it reports of itself."""
        link, uplink = self._told(self.link_asked(now)), self._told(self.rack.asked())
        return api.Load(float(len(self.rates)), link, uplink)

    def told_share(self, share: float) -> float:
        """A share as it reports it."""
        return share if share >= 1 else min(1.0, self._told(share))

    def delivered(self, now: int) -> float:
        """The share lately, smoothed; to be asked for at each delivery."""
        share = self.share(now)
        if self.smooth and self._delivered is not None:
            then, before = self._delivered
            share += (before - share) * math.exp((then - now) / self.smooth)
            share = 1.0 if share > SETTLED else share
        self._delivered = now, share
        return share

    def _told(self, figure: float) -> float:
        if self.noise:
            self._reports += 1
            drawn = zlib.crc32(f"{self.number}:report:{self._reports}".encode()) / 2**32
            figure *= 1 + self.noise * (2 * drawn - 1)
        return round(figure, 4)

    def refuses(self) -> str:
        """Why a set-up is turned away before any work, or nothing."""
        if self.draining:
            return "draining"
        return "full" if self.ails.full or len(self.rates) >= self.places else ""

    def pushed_over(self, now: int) -> bool:
        """Whether this further set-up is more than a cold process bears."""
        multiple, span = self.bears
        if not span or now - self.started >= self._warm_after:
            return False
        self._came.append(now)
        lately = [at for at in self._came if now - at < span]
        pace = self.places * self.warmed(lately[0]) / self._warm_after
        return len(lately) > max(1.0, multiple * pace * span)

    def fails(self) -> bool:
        """Whether the next set-up fails at once."""
        self._draws += 1
        return zlib.crc32(f"{self.number}:{self.started}:{self._draws}".encode()) / 2**32 < self.ails.errors

    def slowness(self, now: int) -> float:
        """How many times longer a set-up takes."""
        return self.ails.slow + self.ails.ageing * (now - self.ails_since) / 1e9

    def remember(self, now: int) -> None:
        """Keep the share as it is now, for those who hear of it late."""
        self._history.append((now, self.delivered(now)))

    def share_then(self, then: int) -> float:
        """The share as it was."""
        found = 1.0
        for at, share in self._history:
            if at > then:
                break
            found = share
        return found


def host_id(place: int) -> int:
    """The id of the machine that was the nth of its fleet to be started, from 0."""
    return 1000 + 37 * place


def host_place(number: int) -> int:
    """The place of a machine with this id among those that were started."""
    return (number - 1000) // 37


def true_rate(title: str, rate: float, vary: float = 0.15) -> float:
    """What a title's rung really takes: above or below the ladder, the same for all."""
    return rate * (1 + vary * (2 * zlib.crc32(title.encode()) / 2**32 - 1))
