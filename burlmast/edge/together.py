"""What a gateway's program asks and tells of its part in a fleet, and the part of one that goes alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.http1.server import Exchange


class Work(NamedTuple):
    """What a gateway has to do, and what it sees."""

    busy: int  # requests held and playbacks that play
    ready: bool  # it has a list
    zone: int
    asked: float  # kB/s of all that plays
    fallen: tuple[int, ...]  # hosts that failed it and have not served since
    counts: dict[str, int]  # what became of requests in this life


Under = tuple[str, int, int, int]  # life, page, act, epoch


class NotHere(Protocol):
    """Why a title is not found; see `Titles`."""

    @property
    def why(self) -> str:
        """One line."""

    @property
    def surely(self) -> bool:
        """There is no such title; else it may be had later, or elsewhere."""

    @property
    def place(self) -> int:
        """Where it would be."""


class Titles(Protocol):
    """Titles that the settings do not name."""

    def find(self, title: str, viewer: int) -> tuple[int, int, int] | NotHere:
        """A title's number, first cell and copies for a viewer known by a number. Nothing is waited for."""

    def elsewhere(self, place: int) -> tuple[int, ...]:
        """Gateways that are to have what is there."""

    def figures(self) -> dict[str, float]:
        """Gauges by name."""


class Together(Protocol):
    """A gateway's part in a fleet; handed in whole."""

    @property
    def titles(self) -> Titles | None:
        """Titles that the settings do not name; None where there are no others."""

    def start(self, operators: str) -> None:
        """The program listens; its operators' listener is at this address."""

    def close(self) -> None:
        """It ends."""

    def may_take(self) -> bool:
        """Whether something new may be taken or sent at this very moment."""

    @property
    def closed(self) -> str:
        """Why nothing new is taken at the door at this very moment; empty where it is. What is held is
        answered all the same."""

    def stands(self, row: api.HostRow) -> api.HostRow:
        """A row of the list as it is to be acted on."""

    @property
    def shut_out(self) -> bool:
        """As `may_take`, asked by operators: nothing is counted or logged."""

    @property
    def advice(self) -> int:
        """When to ask again where it may not, nanoseconds."""

    def act(self, kind: str) -> int:
        """An act is done; its number."""

    def set_up(self, playback: str, host: int, attempt: int) -> Under | None:
        """A set-up is sent; what its host is told."""

    def listed(self, complete: bool, rows: tuple[api.HostRow, ...], then: Callable[[], None]) -> None:
        """The list has news; `then` takes it in, now or shortly."""

    def programme(self, version: int) -> None:
        """Another programme of notices is in force."""

    def application(self, exchange: Exchange, path: str) -> bool:
        """Answer on the operators' listener, if this is for the fleet."""


class Alone:
    """A gateway by itself."""

    advice = 0
    shut_out = False
    closed = ""
    titles: Titles | None = None

    @classmethod
    def of(cls, program: object) -> Together:
        """Of any program."""
        return cls()

    def start(self, operators: str) -> None:
        pass

    def close(self) -> None:
        pass

    def may_take(self) -> bool:
        return True

    def stands(self, row: api.HostRow) -> api.HostRow:
        return row

    def act(self, kind: str) -> int:
        return 0

    def set_up(self, playback: str, host: int, attempt: int) -> Under | None:
        return None

    def listed(self, complete: bool, rows: tuple[api.HostRow, ...], then: Callable[[], None]) -> None:
        then()

    def programme(self, version: int) -> None:
        pass

    def application(self, exchange: Exchange, path: str) -> bool:
        return False
