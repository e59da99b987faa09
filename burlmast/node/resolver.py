"""Asks the name server over UDP. What to ask and when is `roster.Asking`'s."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from burlmast.node.names import Entry, Unsound, query, read_answer
from burlmast.node.roster import Asking


class Resolver(asyncio.DatagramProtocol):
    """The question to one name server after another, for as long as the gateway runs."""

    def __init__(
        self,
        address: tuple[str, int],
        seed: int,
        now: Callable[[], int],
        told: Callable[[int, list[Entry]], bool],
        same: Callable[[], None],
        trouble: Callable[[str], None],
    ) -> None:
        """`told` takes a serial and a whole list, and says whether it is not older than what is known;
        `same` hears of an answer that says what the last one said."""
        self._address, self._now, self._told, self._trouble = address, now, told, trouble
        self._same = same
        self._asking = Asking(seed)
        self._transport: asyncio.DatagramTransport | None = None
        self._last = b""
        self._loop = asyncio.get_running_loop()
        self._opening: asyncio.Task[None] | None = None
        self._closed = False

    def start(self) -> None:
        """Begin to ask."""
        self._due()

    def move(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on."""
        if address != self._address:
            self._address = address
            self._do(self._asking.take(self._now(), "moved"))

    def close(self) -> None:
        """Ask no more."""
        self._closed = True
        if self._transport is not None:
            self._transport.close()

    def _due(self) -> None:
        if self._closed:
            return
        self._do(self._asking.take(self._now(), "due"))
        self._loop.call_later(max(0.001, (self._asking.due - self._now()) / 1e9), self._due)

    def _do(self, what: str) -> None:
        if what == "ask" and self._transport is not None:
            self._transport.sendto(query(self._asking.number))
        elif what in ("ask", "ask afresh") and self._opening is None:
            self._opening = self._loop.create_task(self._open())

    async def _open(self) -> None:
        old, self._transport = self._transport, None
        if old is not None:
            old.close()
        try:
            # Connected, so that nobody else's datagram comes in and a closed port is heard of.
            self._transport, _ = await self._loop.create_datagram_endpoint(
                lambda: self, remote_addr=self._address
            )
        except OSError as why:
            self._trouble(f"no socket to the name server: {why}")
        finally:
            self._opening = None
        if self._transport is not None and not self._closed:
            self._transport.sendto(query(self._asking.number))

    def datagram_received(self, data: bytes, addr: object) -> None:
        """An answer, or something else."""
        number = self._asking.number
        if data[2:] == self._last and data[:2] == number.to_bytes(2, "big"):
            self._do(self._asking.take(self._now(), "answered"))
            self._same()
            return
        try:
            serial, entries = read_answer(data, number)
        except Unsound as why:
            self._trouble(f"name server: {why}")
            self._do(self._asking.take(self._now(), "unsound"))
            return
        if self._told(serial, entries):
            self._last = data[2:]
            self._do(self._asking.take(self._now(), "answered"))
        else:
            self._trouble(f"name server: an older list, {serial}")
            self._do(self._asking.take(self._now(), "unsound"))

    def error_received(self, exc: Exception) -> None:
        """The port is closed, or the like; the question is asked again when it falls due."""
        self._trouble(f"name server: {exc}")
