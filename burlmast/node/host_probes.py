"""The probes of one host: those that wait for a connection, those on their way, and what comes of each."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.api import Ending
from burlmast.node import frames
from burlmast.node.frames import Frame
from burlmast.node.host_connection import HostConnection, Pool
from burlmast.node.host_records import SentProbe


class ProbedHost(Protocol):
    """A host as its probes see it."""

    number: int
    pool: Pool
    connecting: dict[HostConnection, None]

    def open_connections(self) -> list[HostConnection]:
        """Those that something new may be written on."""

    def dial(self, wait: int = 0, for_check: bool = False) -> None:
        """Open a connection."""

    def suspect(self, connection: HostConnection) -> None:
        """Something went unanswered on this connection."""


class WaitingProbe(NamedTuple):
    """A probe that waits for a connection."""

    session: int
    began: int  # nanoseconds


class HostProbes:
    """The probes of one host; each ends in one report to the driver."""

    def __init__(self, host: ProbedHost) -> None:
        self._host = host
        self._waiting: list[WaitingProbe] = []

    @property
    def waiting(self) -> bool:
        """Whether a probe waits for a connection."""
        return bool(self._waiting)

    def send(self, session: int) -> None:
        """Probe under this id, on a connection that carries little or on a new one."""
        pool, connections = self._host.pool, self._host.open_connections()
        if connections:
            chosen = min(connections, key=lambda each: (len(each.out), each.received_at))
            self.send_on(chosen, session, pool.now())
        elif pool.room() or self._host.connecting:
            self._waiting.append(WaitingProbe(session, pool.now()))
            if not self._host.connecting:
                self._host.dial()
        else:
            began = pool.now()
            pool.later(0, lambda: self._report(began, Ending.MOOT))

    def connected(self, connection: HostConnection) -> None:
        """A connection has come up: what waits is written there."""
        waiting, self._waiting = self._waiting, []
        for probe in waiting:
            self.send_on(connection, probe.session, probe.began)

    def end_waiting(self, ending: Ending) -> None:
        """No connection comes up for what waits."""
        waiting, self._waiting = self._waiting, []
        for probe in waiting:
            self._report(probe.began, ending)

    def lost(self, connection: HostConnection) -> None:
        """A connection is closed: what was on its way there is not answered."""
        probes, connection.probes = connection.probes, {}
        for probe in probes.values():
            probe.timer.cancel()
            self._report(probe.began, Ending.BROKEN)

    def answered(self, connection: HostConnection, message: Frame) -> bool:
        """A reply has come; whether it was one to a probe."""
        probe = connection.probes.pop(message.session, None)
        if probe is None:
            return False
        probe.timer.cancel()
        connection.replied(probe.began)
        ending = Ending.SERVED if message.cause == 1 else Ending.ERROR
        self._report(probe.began, ending, message.load(self._host.pool.limits.report))
        return True

    def send_on(self, connection: HostConnection, session: int, began: int) -> None:
        """Probe on this connection; the time for the reply counts from `began`, in nanoseconds."""
        pool = self._host.pool
        left = pool.limits.connect - (pool.now() - began)
        timer = pool.later(max(0, left), lambda: self._late(connection, session))
        connection.probes[session] = SentProbe(began, timer)
        connection.write(frames.frame(frames.PING, session, {frames.CAUSE: b"\x01"}))

    def _late(self, connection: HostConnection, session: int) -> None:
        probe = connection.probes.pop(session, None)
        if probe is not None:
            connection.retire()
            self._host.suspect(connection)
            self._report(probe.began, Ending.TIMEOUT)

    def _report(self, began: int, ending: Ending, load: api.Load | None = None) -> None:
        pool = self._host.pool
        took = max(0, pool.now() - began)
        pool.callbacks.probed(self._host.number, ending, took, load or api.Load())
