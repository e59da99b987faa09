"""What viewers, hosts and the list saw on their sockets. Times are whole nanoseconds of one monotonic
clock."""

from __future__ import annotations

from typing import NamedTuple


class Asked(NamedTuple):
    """A viewer sent a request; `patience` is the plan's abandon time."""

    at: int
    request: int
    gateway: int
    plan: int
    title: str
    top: int
    patience: int


class Answered(NamedTuple):
    """A viewer read an answer."""

    at: int
    request: int
    status: int
    playback: str
    rung: int


class Lost(NamedTuple):
    """A viewer's connection ended without an answer; `taken` where the request had been sent."""

    at: int
    request: int
    taken: bool


class GaveUp(NamedTuple):
    """A viewer waited past its abandon time and heard nothing."""

    at: int
    request: int


class TryCame(NamedTuple):
    """A host read a set-up."""

    at: int
    host: int
    gateway: int
    playback: str
    attempt: int
    plan: int
    title: str
    rung: int
    by: tuple[str, int, int, int] | None = None  # life, page, act and epoch of a gateway of a fleet


class TryOver(NamedTuple):
    """A host saw the end of a setup try or its stream; `proven` where it had said that nothing ran."""

    at: int
    host: int
    gateway: int
    playback: str
    attempt: int
    proven: bool
    how: str


class RungSet(NamedTuple):
    """A host was told another rung."""

    at: int
    host: int
    gateway: int
    playback: str
    plan: int
    rung: int


class Told(NamedTuple):
    """The list told a gateway what a host is."""

    at: int
    gateway: int
    host: int
    standing: str


class HostUp(NamedTuple):
    """A host's process began; a warm one has run for long."""

    at: int
    host: int
    places: int
    cold: bool
    zone: int = 0
    cell: int = 0


class GatewayIs(NamedTuple):
    """What was done to a gateway: up, down, stopped, continued."""

    at: int
    gateway: int
    state: str


Record = Asked | Answered | Lost | GaveUp | TryCame | TryOver | RungSet | Told | HostUp | GatewayIs
