"""The pool of hosts: descriptors, the list of hosts, and the driver's attempts and probes. Nothing is decided
here but which connection carries what; how an attempt ended is said by the table of endings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from burlmast import api
from burlmast.api import Ending, Standing
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.edge.playback import Attempt
from burlmast.node import frames
from burlmast.node.eventlog import EventLog
from burlmast.node.host_connection import HostAttempt
from burlmast.node.host_interface import HostCallbacks, HostPoolLimits, SetupPayload
from burlmast.node.host_numbers import HostNumbers
from burlmast.node.isolation import for_each
from burlmast.node.media_host import MediaHost
from burlmast.node.names import Entry

MS = 1_000_000
WATCH_PERIOD = 250 * MS  # at most
CROSSING = 50 * MS  # what was written so lately may have crossed a close, by the protocol


class HostPool:
    """All hosts."""

    def __init__(
        self,
        limits: HostPoolLimits,
        callbacks: HostCallbacks,
        now: Callable[[], int],
        events: EventLog,
        numbers: HostNumbers,
    ) -> None:
        self._numbers = numbers
        self.limits, self.callbacks, self.now, self.events = limits, callbacks, now, events
        self._connection_names = 0
        self._loop = asyncio.get_running_loop()
        self.hosts: dict[int, MediaHost] = {}
        self.opened = 0
        self.closing = 0  # connections that are closed for writing and still read
        self._sessions = 0
        self._closed = False
        self._turning: list[MediaHost] = []
        self._restarted: list[MediaHost] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch()

    def next_connection_name(self) -> str:
        """The name of a connection in the log."""
        self._connection_names += 1
        return f"h{self._connection_names}"

    def next_probe(self) -> int:
        """The id of a probe or check."""
        self._sessions += 1
        return self._sessions

    def keep(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run this beside the rest."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def later(self, after: int, work: Callable[[], object]) -> asyncio.TimerHandle:
        """Call after so many nanoseconds."""
        return self._loop.call_later(after / 1e9, work)

    def after_reading(self, work: Callable[[], object]) -> None:
        """Call once all has been read that has come in by now."""
        # The loop polls its sockets before the first of the two, and reads them before the second.
        self._loop.call_soon(self._loop.call_soon, work)

    def room(self) -> bool:
        """Whether there is a descriptor for one more connection, if need be that of an idle one elsewhere."""
        if self.opened < self.limits.most:
            return True
        idle = [
            connection
            for host in self.hosts.values()
            for connection in host.connections
            if connection.usable and host.spares(connection)
        ]
        if idle:
            min(idle, key=lambda connection: (bool(connection.sessions), connection.used)).close("retired")
        return bool(idle)

    def list_changed(self, entries: list[Entry], gone: Callable[[Entry], bool]) -> None:
        """The list has changed so; `turn_away` follows once the decisions know."""
        for entry in entries:
            number = self._numbers.of(entry.name)
            host = self.hosts.get(number)
            if gone(entry):
                if host is not None:
                    self._turning.append(host)
                    host.remove("not listed")
                continue
            if host is None or host.address != entry.address:
                if host is not None:
                    self._turning.append(host)
                    host.remove("at another address")
                host = self.hosts[number] = MediaHost(self, number, entry.name, entry.address)
            host.in_service = True
            host.draining = entry.standing is Standing.DRAINING
            if host.draining:
                self._turning.append(host)

    def drain(self) -> None:
        """Once the decisions have heard of the list: nothing new to hosts that drain or are gone, and nothing
        to a cold process that was meant for the warm one."""
        restarted, self._restarted = self._restarted, []
        for host in restarted:
            host.return_unwritten()
        turning, self._turning = self._turning, []
        for host in turning:
            host.drain()
        for number, host in list(self.hosts.items()):
            dialled = host.connections or host.connecting or host.late
            if not (host.in_service or host.attempts or dialled):
                del self.hosts[number]

    def restarted(self, number: int, at: int) -> None:
        """A host has started again: what its earlier process had is over. `drain` follows once the decisions
        know."""
        host = self.hosts.get(number)
        if host is not None:
            self._restarted.append(host)
            host.restarted(at)

    def open_attempt(self, one: Attempt, sent: SetupPayload) -> None:
        """Send a set-up."""
        host = self.hosts.get(one.host)
        if host is None or not host.in_service:
            self.callbacks.ended(one, BINARY_ENDINGS["not sent", None], api.Load())
            return
        one.handle = attempt = HostAttempt(one, host, sent)
        host.take(attempt)

    def number_of(self, name: str) -> int | None:
        """The number of the host of this name; None where there is none."""
        number = self._numbers.find(name)
        return number if number in self.hosts else None

    def hand_over(self, one: Attempt, sent: SetupPayload) -> None:
        """What an earlier life of this gateway set up."""
        host = self.hosts.get(one.host)
        if host is None:
            self.callbacks.ended(one, BINARY_ENDS[41], api.Load())
            return
        one.handle = host.attempts[sent.session] = attempt = HostAttempt(one, host, sent)
        attempt.established = True
        host.keep_reachable()
        host.messages.handed_over(attempt)

    def close_attempt(self, one: Attempt) -> None:
        """The driver has ended the try."""
        if isinstance(one.handle, HostAttempt):
            one.handle.host.give_up(one.handle)

    def change_rung(self, one: Attempt, rung: int) -> None:
        """Tell the host."""
        attempt = one.handle
        if isinstance(attempt, HostAttempt):
            one.rung = rung
            message = frames.frame(frames.RATE, attempt.session, {frames.RUNG: str(rung).encode()})
            attempt.host.send_on_session(message, CROSSING)

    def probe(self, number: int) -> None:
        """Look after a host."""
        host = self.hosts.get(number)
        if host is None or not host.in_service:
            self.later(0, lambda: self.callbacks.probed(number, Ending.NO_CONNECTION, 0, api.Load()))
            return
        host.probe(self.next_probe())

    def close(self) -> None:
        """Close every connection, and dial no more."""
        self._closed = True
        for host in self.hosts.values():
            host.in_service = False
            for connection in [*host.connecting, *host.late]:
                connection.drop()
            for connection in list(host.connections):
                connection.close("shutdown")
        for task in self._tasks:
            task.cancel()

    def _watch(self) -> None:
        if self._closed:
            return
        self.later(min(self.limits.connect, WATCH_PERIOD), self._watch)
        now = self.now()
        hosts = list(self.hosts.values())
        for_each("watch_host", hosts, lambda host: host.watch(now), lambda host: host.name, self.events)
