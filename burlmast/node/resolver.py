"""Asks the name server over UDP. What to ask and when is `roster.Asking`'s."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from burlmast.node.descriptors import SHORTAGE
from burlmast.node.eventlog import EventLog
from burlmast.node.names import Entry, Unsound, query, read_answer
from burlmast.node.roster import Asking


class Question(asyncio.DatagramProtocol):
    """One socket to one address; what comes over it counts as long as it is the resolver's."""

    def __init__(self, resolver: Resolver) -> None:
        self.resolver = resolver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """An answer, or something else."""
        if self.resolver.question is self:
            self.resolver.heard(data)

    def error_received(self, exc: Exception) -> None:
        """The port is closed, or the like; the question is asked again when it falls due."""
        if self.resolver.question is self:
            self.resolver.trouble(f"name server: {exc}")

    def ask(self, number: int) -> None:
        """Send the question."""
        if self.transport is not None:
            self.transport.sendto(query(number))

    def close(self) -> None:
        """Hear nothing more."""
        if self.transport is not None:
            self.transport.close()


class Resolver:
    """The question to one name server after another, for as long as the gateway runs."""

    def __init__(
        self,
        address: tuple[str, int],
        seed: int,
        now: Callable[[], int],
        told: Callable[[int, list[Entry], int], bool],
        same: Callable[[int], None],
        trouble: Callable[[str], None],
        shortage: Callable[[], object],
        events: EventLog,
    ) -> None:
        """`told` takes a serial, a whole list and when it was asked for, and says whether it is not older
        than what is known; `same` takes when an answer was asked for that says what the last one said;
        `shortage` hears that there is no descriptor."""
        self._address, self._now, self._told, self.trouble = address, now, told, trouble
        self._same, self._shortage, self._events = same, shortage, events
        self._asking = Asking(seed)
        self.question: Question | None = None
        self._last = b""
        self._loop = asyncio.get_running_loop()
        self._opening: asyncio.Task[None] | None = None
        self._closed = False

    def start(self) -> None:
        """Begin to ask."""
        self._due()

    def move(self, address: tuple[str, int]) -> bool:
        """Ask at another address from now on; False where it is the same. The old one's word ends here."""
        if address == self._address:
            return False
        self._address = address
        self._leave()
        self._do(self._asking.take(self._now(), "moved"))
        return True

    def close(self) -> None:
        """Ask no more."""
        self._closed = True
        self._leave()

    def _leave(self) -> None:
        old, self.question = self.question, None
        if old is not None:
            old.close()

    def _due(self) -> None:
        if self._closed:
            return
        self._do(self._asking.take(self._now(), "due"))
        self._loop.call_later(max(0.001, (self._asking.due - self._now()) / 1e9), self._due)

    def _do(self, what: str) -> None:
        if what == "ask" and self.question is not None:
            self.question.ask(self._asking.number)
        elif what in ("ask", "ask afresh") and self._opening is None:
            self._opening = self._loop.create_task(self._open())

    async def _open(self) -> None:
        address, fresh = self._address, Question(self)
        try:
            # Connected, so that nobody else's datagram comes in and a closed port is heard of.
            await self._loop.create_datagram_endpoint(lambda: fresh, remote_addr=address)
        except OSError as why:
            self.trouble(f"no socket to the name server: {why}")
            if why.errno in SHORTAGE:
                self._shortage()
        finally:
            self._opening = None
        if self._closed or address != self._address:
            fresh.close()
            if not self._closed:
                self._do("ask afresh")
            return
        if fresh.transport is not None:
            if self.question is not None:
                self._events.record(
                    "name_server_socket_replaced", questions_waiting=self._asking.waiting(self._now())
                )
            # The old socket is given up only for a new one, or a shortage would leave none.
            self._leave()
            self.question = fresh
        if self.question is not None:
            self.question.ask(self._asking.number)

    def heard(self, data: bytes) -> None:
        """An answer, or something else, from where is asked now."""
        number = int.from_bytes(data[:2], "big")
        asked_at = self._asking.asked_at(number)
        if asked_at is None:
            number, asked_at = self._asking.number, self._now()
        elif data[2:] == self._last:
            self._do(self._asking.take(self._now(), "answered"))
            self._same(asked_at)
            return
        try:
            serial, entries = read_answer(data, number)
        except Unsound as why:
            self.trouble(f"name server: {why}")
            self._do(self._asking.take(self._now(), "unsound"))
            return
        if self._told(serial, entries, asked_at):
            self._last = data[2:]
            self._do(self._asking.take(self._now(), "answered"))
        else:
            self.trouble(f"name server: an older list, {serial}")
            self._do(self._asking.take(self._now(), "unsound"))
