"""What a gateway's program asks and tells of its part in a fleet, and the part of one that goes alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from burlmast import api
from burlmast.http1.server import Exchange

Under = tuple[str, int, int, int]  # life, page, act, epoch


class Together(Protocol):
    """A gateway's part in a fleet; handed in whole."""

    def start(self, operators: str) -> None:
        """The program listens; its operators' listener is at this address."""

    def close(self) -> None:
        """It ends."""

    def may_take(self) -> bool:
        """Whether something new may be taken or sent at this very moment."""

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
