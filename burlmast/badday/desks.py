"""The desks of a day's fleet as processes, and the relays on every link by which gateways and desks reach
them."""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
from contextlib import suppress
from functools import cache
from itertools import count
from pathlib import Path

import msgspec

from burlmast.badday.gateways import GatewayProcess, NotStarted
from burlmast.fleet.coordinator_shell import first_book
from burlmast.fleet.messages import Begin, Wanted
from burlmast.http1.client import Pool, Whole
from burlmast.settings.sheets import Deployment
from burlmast.standin.relay import Link, State

JSON = ((b"content-type", b"application/json"),)


class Quarters:
    """Desks and links of one day."""

    def __init__(self, deployment: Deployment, settings: str, state: Path, desks: int) -> None:
        """Must be made on a running loop."""
        self.deployment, self.settings, self.state = deployment, settings, state
        self.desks: list[GatewayProcess] = []
        self.links: dict[tuple[str, int], Link] = {}  # who reaches which desk
        self.ports = [free_port() for _ in range(desks)]
        self._versions = 0

    async def ways(self, who: str, own: int | None = None) -> list[str]:
        """The addresses by which somebody reaches each desk; its own is plain."""
        found = []
        for number, port in enumerate(self.ports):
            if number != own:
                link = self.links[who, number] = Link(("127.0.0.1", port))
                port = await link.start()
            found.append(f"127.0.0.1:{port}")
        return found

    async def start(self) -> None:
        """Start the desks, and let a fleet begin. Raises OSError, NotStarted."""
        for number, port in enumerate(self.ports):
            command = ["-m", "burlmast", "desk", "--settings", self.settings, "--number", str(number)]
            command += ["--state", str(self.state / f"desk-{number}")]
            for way in await self.ways(f"desk {number}", number):
                command += ["--desk", way]
            one = GatewayProcess(number, command)
            one.address = "127.0.0.1", port
            self.desks.append(one)
        await asyncio.gather(*(one.start() for one in self.desks))
        book = msgspec.json.encode(Begin(first_book(self.deployment, 1)))
        pool = Pool()
        try:
            for one in self.desks:
                status, _, told = await Whole.of(pool, one.address, b"POST", b"/fleet/v1/begin", JSON, book)
                if status != 200:
                    raise NotStarted(f"desk {one.number}: {told.decode('utf-8', 'replace')}")
        finally:
            pool.close()

    async def order(self, apart: bool, within: float) -> None:
        """Another version, by whichever desk takes the order; nothing where none does."""
        self._versions += 1
        plans = self.deployment.plans
        dearer = msgspec.structs.replace(plans[0], revenue=plans[0].revenue + self._versions / 1000)
        other = msgspec.structs.replace(self.deployment, plans=(dearer, *plans[1:]))
        wanted = Wanted(
            secrets.token_hex(8),
            msgspec.json.encode(other).decode("utf-8"),
            apart,
            within_ms=within * 1000,
        )
        pool = Pool()
        try:
            for one in self.desks:
                with suppress(ConnectionError, TimeoutError):
                    status, _, _ = await Whole.of(
                        pool, one.address, b"POST", b"/fleet/v1/order", JSON, msgspec.json.encode(wanted)
                    )
                    if status == 200:
                        return
        finally:
            pool.close()

    def put(self, gateways: list[int], state: State) -> None:
        """Change the links of these gateways to all desks."""
        for (who, _), link in self.links.items():
            if who in [f"gateway {number}" for number in gateways]:
                link.put(state)

    async def close(self) -> None:
        """End all of it."""
        await asyncio.gather(*(one.stop() for one in self.desks))
        for link in self.links.values():
            link.close()


SHARES, SHARE = 40, 500  # of the ports under those that connections are given


class Ports:
    """The share of this process: its first port is held, so that no other process takes the share."""

    def __init__(self) -> None:
        for place in range(SHARES):
            self._first = 10_000 + (os.getpid() + place) % SHARES * SHARE
            self._held = socket.socket()
            with suppress(OSError):
                self._held.bind(("127.0.0.1", self._first))
                break
            self._held.close()
        self._next = count(1)

    def free(self) -> int:
        """One that nobody listens on now."""
        while True:
            with socket.socket() as one, suppress(OSError):
                one.bind(("127.0.0.1", self._first + next(self._next) % SHARE))
                return int(one.getsockname()[1])


@cache
def ports() -> Ports:
    """Those of this process."""
    return Ports()


def free_port() -> int:
    """A port that nobody listens on now, that no connection is given by itself, and that no other process
    takes meanwhile: who listens there again after a restart must find it free."""
    return ports().free()
