"""The record of a request, its set-up attempts and its session. Free of I/O; `driver.py` changes it."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple, Protocol

from burlmast.api import Ending


class Wanted(NamedTuple):
    """A request for a playback as the door has checked it; times in nanoseconds."""

    plan: int
    floor: int
    top: int
    home: int
    copies: int
    title: int
    title_name: str
    viewer: int
    patience: int
    returned: bool
    lasts: int
    viewer_name: str = ""


class Shown(Protocol):
    """What a playback's viewer is shown of it, by the front that the playback came through."""

    def begin(self, now: int, host: str, rung: int) -> None:
        """It plays at a host's address."""

    def step(self, now: int, rung: int) -> None:
        """Its rung changes."""

    def end(self, now: int) -> None:
        """Nothing more comes of it."""


class Final(NamedTuple):
    """The one answer to a request; `wait` is advice in nanoseconds, 0 for none."""

    kind: str  # plays, rejected, aborted, cut
    wait: int = 0


class AttemptState(Enum):
    """What has become of a set-up attempt."""

    DECIDED = "decided: nothing of it has been written yet"
    WRITTEN = "its set-up has been written to its host"
    ESTABLISHED = "its host has answered: the session stands"
    ENDED = "nothing more comes of it"


class Attempt:
    """A set-up attempt and, once it is established, the session that came of it. Times in nanoseconds."""

    __slots__ = (
        "decided_at",
        "due",
        "ending",
        "handle",
        "host",
        "place",
        "playback",
        "rung",
        "state",
        "written_at",
    )

    def __init__(self, playback: Playback, place: int, host: int, decided_at: int) -> None:
        self.playback, self.place, self.host, self.decided_at = playback, place, host, decided_at
        self.due = decided_at  # until when it is waited for
        self.state = AttemptState.DECIDED
        self.rung = playback.rung
        self.ending: Ending | None = None
        self.handle: Any = None  # the shell's
        self.written_at = 0  # when its set-up was written to its host; 0: it was not

    @property
    def out(self) -> bool:
        """Whether its host's answer is waited for, or yet to be asked for."""
        return self.state in (AttemptState.DECIDED, AttemptState.WRITTEN)

    @property
    def established(self) -> bool:
        """Whether its session stands."""
        return self.state is AttemptState.ESTABLISHED

    @property
    def written(self) -> bool:
        """Whether its set-up has been written, whatever has become of it since."""
        return self.written_at > 0


class Playback:
    """A request for a playback and what plays of it."""

    __slots__ = (
        "abandon",
        "heard",
        "number",
        "public",
        "reply",
        "rung",
        "state",
        "timeline",
        "tries",
        "wanted",
    )

    def __init__(
        self, number: int, public: str, wanted: Wanted, now: int, timeline: Shown, reply: Any
    ) -> None:
        self.number, self.public, self.wanted, self.reply = number, public, wanted, reply
        self.state = "asked"
        self.rung = wanted.floor  # until the decisions say otherwise
        self.tries: list[Attempt] = []
        self.timeline = timeline
        self.abandon = now + wanted.patience
        self.heard = now

    @property
    def out(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.tries if attempt.state is not AttemptState.ENDED]
