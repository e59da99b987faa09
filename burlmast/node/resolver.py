"""Asks the name server over UDP. What to ask and when is `query_schedule.QuerySchedule`'s."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import cast

from burlmast.node.descriptors import SHORTAGE
from burlmast.node.eventlog import EventLog
from burlmast.node.names import Entry, Unsound, query, read_answer
from burlmast.node.query_schedule import ANSWER_TAKEN_FOR, SOCKETS_MOST, Effect, Happening, QuerySchedule


class QuerySocket(asyncio.DatagramProtocol):
    """One socket to one address; what comes over it counts as long as the resolver keeps it."""

    def __init__(self, resolver: Resolver) -> None:
        self.resolver = resolver
        self.transport: asyncio.DatagramTransport | None = None
        self.last_query_at = 0  # nanoseconds
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def unread(self) -> bool:
        """Whether something lies in it that the loop has not read."""
        return self.transport is not None and not self.transport.is_closing() and bool(self._poll.poll(0))

    def datagram_received(self, data: bytes, addr: object) -> None:
        """An answer, or something else."""
        if self in self.resolver.sockets:
            self.resolver.received(data)

    def error_received(self, exc: Exception) -> None:
        """The port is closed, or the like; the next query goes out when it falls due."""
        if self in self.resolver.sockets:
            self.resolver.trouble(f"name server: {exc}")

    def ask(self, number: int, now: int) -> None:
        """Send a query."""
        if self.transport is not None:
            self.last_query_at = now
            self.transport.sendto(query(number))

    def close(self) -> None:
        """Receive nothing more."""
        if self.transport is not None:
            self.transport.close()


class Resolver:
    """Queries to one name server after another, for as long as the gateway runs."""

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
        self._schedule = QuerySchedule(seed)
        # The last one carries the queries; answers to earlier ones may still come on the others.
        self.sockets: list[QuerySocket] = []
        self._last_answer = b""
        self._newest_answered = 0  # when the newest query was sent whose answer has been taken
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
        self._close_sockets()
        self._do(self._schedule.take(self._now(), Happening.MOVED))
        return True

    def close(self) -> None:
        """Ask no more."""
        self._closed = True
        self._close_sockets()

    def unread(self) -> bool:
        """Whether an answer has come that the loop has not read."""
        return any(query_socket.unread() for query_socket in self.sockets)

    def _close_sockets(self) -> None:
        for query_socket in self.sockets:
            query_socket.close()
        self.sockets.clear()

    def _drop_expired(self) -> None:
        """Close sockets whose answers are not taken any more, but for the one that carries the queries."""
        oldest = self._now() - ANSWER_TAKEN_FOR
        for query_socket in self.sockets[:-1]:
            if query_socket.last_query_at < oldest:
                query_socket.close()
                self.sockets.remove(query_socket)

    def _due(self) -> None:
        if self._closed:
            return
        try:
            self._drop_expired()
            self._do(self._schedule.take(self._now(), Happening.DUE))
        finally:
            self._loop.call_later(max(0.001, (self._schedule.due - self._now()) / 1e9), self._due)

    def _do(self, effect: Effect) -> None:
        if effect is Effect.NOTHING:
            return
        if effect is Effect.QUERY and self.sockets:
            self._ask()
        elif self._opening is None:
            self._opening = self._loop.create_task(self._open())

    def _ask(self) -> None:
        self.sockets[-1].ask(self._schedule.number, self._now())

    async def _open(self) -> None:
        address, new_socket = self._address, QuerySocket(self)
        try:
            # Connected, so that nobody else's datagram comes in and a closed port is heard of.
            await self._loop.create_datagram_endpoint(lambda: new_socket, remote_addr=address)
        except OSError as why:
            self.trouble(f"no socket to the name server: {why}")
            if why.errno in SHORTAGE:
                self._shortage()
        finally:
            self._opening = None
        if self._closed or address != self._address:
            new_socket.close()
            if not self._closed:
                self._do(Effect.QUERY_ON_NEW_SOCKET)
            return
        if new_socket.transport is not None:
            self._use(new_socket)
        if self.sockets:
            self._ask()

    def _use(self, new_socket: QuerySocket) -> None:
        """Ask over this one from now on. Slow answers still come on those before it, which are kept."""
        self.sockets.append(new_socket)
        if len(self.sockets) > 1:
            self._events.record("name_server_socket_opened", sockets=len(self.sockets))
        if len(self.sockets) > SOCKETS_MOST:
            self.sockets.pop(0).close()

    def received(self, data: bytes) -> None:
        """An answer, or something else, from where is asked now."""
        number = int.from_bytes(data[:2], "big")
        asked_at = self._schedule.asked_at(number)
        if asked_at is None:
            self._reject("it answers no query, or one too long ago")
            return
        if data[2:] == self._last_answer:
            self._accept(asked_at)
            self._same(asked_at)
            return
        try:
            serial, entries = read_answer(data, number)
        except Unsound as why:
            self._reject(str(why))
            return
        if self._told(serial, entries, asked_at):
            self._last_answer = data[2:]
            self._accept(asked_at)
        elif asked_at < self._newest_answered:
            self._accept(asked_at)  # a later query's answer has overtaken this one
        else:
            self._reject(f"an older list, {serial}")

    def _accept(self, asked_at: int) -> None:
        self._newest_answered = max(self._newest_answered, asked_at)
        self._do(self._schedule.take(self._now(), Happening.ANSWERED))

    def _reject(self, reason: str) -> None:
        self.trouble(f"name server: {reason}")
        self._do(self._schedule.take(self._now(), Happening.UNSOUND))
