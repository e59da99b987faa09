"""What all commands share: reading settings, addresses, one JSON line, the wait for a signal."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Any

import click
import msgspec

from burlmast.settings.read import BadSettings, read
from burlmast.settings.sheets import Deployment


def say(value: object) -> None:
    """One JSON line."""
    click.echo(msgspec.json.encode(value).decode("utf-8"))
    sys.stdout.flush()


def settings(file: str) -> Deployment:
    """Read settings, or end with 2 and one line."""
    try:
        return read(file)
    except BadSettings as why:
        click.echo(str(why), err=True)
        raise SystemExit(2) from None


class Place(click.ParamType[tuple[str, int]]):
    """`name:port`, port 0 for any that is free."""

    name = "name:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        if isinstance(value, tuple):
            return value
        name, _, port = str(value).removeprefix("http://").rstrip("/").rpartition(":")
        if not name or not port.isdecimal() or int(port) > 65535:
            self.fail(f"{value!r} is not name:port", param, ctx)
        return name, int(port)


PLACE = Place()


async def until_interrupted() -> None:
    """Return at SIGINT or SIGTERM."""
    done = asyncio.Event()
    for one in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(one, done.set)
    await done.wait()
