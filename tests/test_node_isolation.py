"""A failure at one connection or host ends neither the work for the others nor the timers after it."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path
from typing import Any

import pytest
from platform_standin import Platform, playing, run, until

from burlmast.edge import driver as module
from burlmast.node.eventlog import EventLog
from burlmast.node.isolation import for_each


def fails(*_: Any) -> None:
    raise OSError(107, "Transport endpoint is not connected")


def test_each_item_is_worked_on_though_one_fails_and_the_failure_is_recorded() -> None:
    lines: list[str] = []
    done: list[int] = []

    def work(item: int) -> None:
        if item == 1:
            fails()
        done.append(item)

    for_each("watch_host", range(4), work, lambda item: f"s-{item}", EventLog(lambda: 0, lines.append))
    assert done == [0, 2, 3] and len(lines) == 1
    assert lines[0].startswith("callback_failed callback=watch_host at=s-1 error=OSError")


def test_the_watch_goes_on_for_all_hosts_though_it_fails_at_one(tmp_path: Path) -> None:
    # Guards against review/1: one exception ended the watch over all hosts for good.
    async def work(one: Platform) -> None:
        hosts = list(one.program.hosts.hosts.values())
        calls = {host.name: 0 for host in hosts}

        def watched(host: Any) -> Any:
            def watch(now: int) -> None:
                calls[host.name] += 1
                if host is hosts[0]:
                    fails()

            return watch

        for host in hosts:
            host.watch = watched(host)  # type: ignore[method-assign]
        await until(lambda: min(calls.values()) >= 3)

    run(work, tmp_path)


def test_the_sweep_goes_on_for_all_viewers_though_it_fails_at_one(tmp_path: Path) -> None:
    # Guards against silent connections that are never closed, since the sweep ended at another one.
    async def work(one: Platform) -> None:
        await one.line()
        await until(lambda: one.program.listener.viewers)
        broken = next(iter(one.program.listener.viewers))
        broken.unsound = fails  # type: ignore[assignment,method-assign]
        silent = await one.line()
        assert await asyncio.wait_for(silent.reader.read(1), 4.0) == b"", "it is owed a close within 3 s"

    run(work, tmp_path)


def test_a_half_close_that_meets_an_unread_reset_raises_nothing(tmp_path: Path) -> None:
    # Guards against review/1: the half-close of a connection with an unread reset raised in the watch.
    async def work(one: Platform) -> None:
        _, host = await playing(one)
        connection = next(
            each
            for known in one.program.hosts.hosts.values()
            if known.name == host.name
            for each in known.connections
        )
        for link in host.links:
            raw = link.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            link.transport.abort()
        await asyncio.sleep(0)
        connection.transport.write_eof = fails
        connection._close_for_writing()
        await until(lambda: connection.state == "closed")
        assert one.program.hosts.closing == 0

    run(work, tmp_path)


@pytest.mark.parametrize("failing", [0, 1, 2])
def test_alarms_after_one_that_fails_still_ring(tmp_path: Path, failing: int) -> None:
    # Guards against due timers of the decisions that are dropped when a socket's side raises at one of them.
    async def work(one: Platform) -> None:
        driver, rung = one.program.driver, list[int]()

        def bell(now: int, token: int) -> None:
            if token == failing:
                fails()
            rung.append(token)

        driver._alarms.clear()
        driver._bell = bell  # type: ignore[method-assign]
        now = one.program.now()
        for token in range(3):
            driver._set(now, module.Alarm.BELL, token)
        rings = dict(module.RINGS)
        module.RINGS[module.Alarm.BELL] = lambda driver, now, token: driver._bell(now, token)
        try:
            driver.ring(now)
        finally:
            module.RINGS.update(rings)
        assert rung == [token for token in range(3) if token != failing]

    run(work, tmp_path)
