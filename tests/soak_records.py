"""What viewers and hosts of the soak saw of each request and session, in seconds of the monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak_peers import Viewer


@dataclass
class RequestRecord:
    """What a viewer saw of one request and the session that came of it."""

    name: str
    sent: float
    deadline: float
    connection: Viewer
    handed_over: float = 0.0  # when it was last handed over to a new process; 0: never
    cancelled: bool = False  # by its viewer, or with its connection
    answers: list[tuple[float, str]] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    voided: bool = False  # the gateway was killed while it was out, as the protocol allows


@dataclass
class SessionRecord:
    """What a host did with one session."""

    name: str
    host: str
    established: float
    ended: float = 0.0  # when it ended here
    released: float = 0.0  # when its release was written; 0: it could not be
    ended_by_gateway: bool = False
