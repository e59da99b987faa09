"""What the hosts' side is given and whom it calls: limits, callbacks, a set-up's payload."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.api import Ending, News
from burlmast.edge.playback import Attempt


class SetupPayload(NamedTuple):
    """What a viewer sent and a host gets unchanged."""

    session: int
    plan: bytes
    title: bytes
    description: bytes


class HostPoolLimits(NamedTuple):
    """What the socket side is told at start. Times in nanoseconds."""

    connect: int  # how long a connection may take to come up, and a probe to be answered
    idle: int  # how long nothing may pass on a connection before its host closes it; 0: for ever
    most: int  # connections to all hosts together
    streams: int  # set-ups on one connection at most
    report: dict[str, str]
    probes: bool  # whether hosts may be probed


class HostCallbacks(Protocol):
    """Where the hosts' side tells what it hears; each method is one of the driver's, the time put in."""

    def flowing(self, one: Attempt) -> None:
        """See `Driver.flowing`."""

    def ended(self, one: Attempt, ending: Ending, load: api.Load) -> None:
        """See `Driver.ended`."""

    def may_write(self, one: Attempt) -> bool:
        """See `Driver.may_write`."""

    def unsent(self, one: Attempt) -> None:
        """See `Driver.unsent`."""

    def noted(self, one: Attempt, news: News, value: float) -> None:
        """See `Driver.noted`."""

    def probed(self, host: int, ending: Ending, took: int, load: api.Load) -> None:
        """See `Driver.probed`."""

    def wanted(self, one: Attempt) -> bool:
        """Whether its viewer is still there; False once the driver has been told that it is not."""

    def unread(self, one: Attempt) -> bool:
        """Whether its viewer has written what has not been read yet."""

    def list_unread(self) -> bool:
        """Whether the name server has written something that was not read."""

    def shortage(self) -> None:
        """There was no descriptor for a connection."""

    def log_line(self, text: str) -> None:
        """A line for the log."""
