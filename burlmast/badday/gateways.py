"""Gateways and desks as processes of their own: started, killed, stopped and continued by their ids."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable

import msgspec

from burlmast.http1.client import Address
from burlmast.http1.messages import split_address
from burlmast.world.traffic import GatewayIs, Record


class NotStarted(Exception):
    """A gateway ended, or said nothing, before it was ready."""


class Ready(msgspec.Struct):
    """What a gateway says once it listens."""

    gateway: str = ""
    operators: str = ""
    desk: str = ""


class GatewayProcess:
    """One gateway."""

    READY_S = 30.0

    def __init__(
        self,
        number: int,
        command: list[str],
        record: Callable[[Record], None] = lambda record: None,
        log: str | None = None,
    ) -> None:
        """`command` follows the interpreter; `log` names a file that takes what it logs."""
        self.number, self.command, self.record, self.log = number, command, record, log
        self.process: asyncio.subprocess.Process | None = None
        self.address: Address = ("127.0.0.1", 0)
        self.url = self.operators = ""

    async def start(self) -> None:
        """Start it, on the port that it had before, if any. Raises NotStarted."""
        command = [*self.command, "--listen", f"127.0.0.1:{self.address[1]}"]
        sink = os.open(self.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if self.log else None
        try:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=sink if sink is not None else asyncio.subprocess.DEVNULL,
                stdin=asyncio.subprocess.DEVNULL,
            )
        finally:
            if sink is not None:
                os.close(sink)
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(self.READY_S):
                line = await self.process.stdout.readline()
            ready: Ready = msgspec.json.decode(line, type=Ready)
        except (TimeoutError, msgspec.MsgspecError) as why:
            await self.kill()
            raise NotStarted(f"gateway {self.number}: {why}") from None
        self.url, self.operators = ready.gateway or ready.desk, ready.operators
        self.address = split_address(self.url)
        self.record(GatewayIs(time.monotonic_ns(), self.number, "up"))

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals, state: str = "") -> None:
        """Send it a signal."""
        if self.process is not None and self.process.returncode is None:
            if state:
                self.record(GatewayIs(time.monotonic_ns(), self.number, state))
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it outright."""
        if self.process is not None:
            if self.process.returncode is None:
                self.record(GatewayIs(time.monotonic_ns(), self.number, "down"))
                self.process.kill()
            await self.process.wait()

    async def stop(self, within: float = 5.0) -> int:
        """Ask it to end; its exit code, or that of the kill after so many seconds."""
        if self.process is None:
            return 0
        if self.process.returncode is None:
            self.send(signal.SIGTERM)
            self.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(within):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
        return await self.process.wait()
