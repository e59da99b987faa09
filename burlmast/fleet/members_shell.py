"""Carries the words of membership between gateways and desks, and what each says of the book it knows."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

import msgspec

from burlmast.fleet.members import Members, Send
from burlmast.fleet.messages import Carried
from burlmast.fleet.orders import Book, Refused, read_book
from burlmast.http1.client import Address, Pool, Whole
from burlmast.http1.messages import split_address
from burlmast.http1.server import Exchange

JSON = ((b"content-type", b"application/json"),)
WORD = 65536  # bytes of a word at most


class Around(Protocol):
    """The process among the members."""

    @property
    def book(self) -> Book:
        """The orders as it knows them."""

    def hear(self, book: Book) -> None:
        """A book that another knows."""


class Mingling:
    """One process among the members; made on a running loop."""

    def __init__(
        self,
        members: Members,
        around: Around,
        pool: Pool,
        within_s: float,
        steady: Callable[[], int],
        spawn: Callable[[Awaitable[None]], None],
    ) -> None:
        """`within_s` is how long a word may take, `steady` the clock of `members`."""
        self.members, self._around, self._pool = members, around, pool
        self._within, self._steady, self._spawn = within_s, steady, spawn
        self._reading = False

    async def run(self) -> None:
        """Probe the others until cancelled."""
        while True:
            self._carry(self.members.tick(self._steady()))
            await asyncio.sleep(self.members.period / 5e9)

    def met(self, name: str, address: Address) -> None:
        """Somebody else says that this one is there."""
        self.members.joined(self._steady(), name, f"{address[0]}:{address[1]}")

    def states(self) -> dict[str, str]:
        """What each other member is held to be."""
        return {name: one.state for name, one in sorted(self.members.others.items())}

    def take(self, exchange: Exchange, body: bytes) -> None:
        """A word came."""
        try:
            carried: Carried = msgspec.json.decode(body, type=Carried)
            back = split_address(carried.back)
        except (msgspec.MsgspecError, RecursionError, ValueError) as why:
            exchange.refuse(400, f"not understood: {why}")
            return
        exchange.respond(204)
        self._carry(self.members.take(self._steady(), carried.words))
        if carried.book > self._around.book.at and not self._reading:
            self._spawn(self._read(back))

    def _carry(self, sends: list[Send]) -> None:
        for send in sends:
            words = Carried(send.words, self._around.book.at, self.members.address)
            self._spawn(self._post(split_address(send.address), msgspec.json.encode(words)))

    async def _post(self, address: Address, body: bytes) -> None:
        with suppress(ConnectionError, TimeoutError, OSError):  # what is lost the probes see to
            await Whole.of(self._pool, address, b"POST", b"/fleet/v1/word", JSON, body, within=self._within)

    async def _read(self, address: Address) -> None:
        """Another knows of a later order, which nobody has told here yet."""
        self._reading = True
        try:
            with suppress(ConnectionError, TimeoutError, Refused):
                call: Any = Whole.of(self._pool, address, b"GET", b"/fleet/v1/book", within=self._within)
                status, _, told = await call
                if status == 200:
                    self._around.hear(read_book(told))
        finally:
            self._reading = False
