"""The faults of the soak, by their kind in a schedule."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from platform_standin import NameServer, Node
from soak_peers import SoakHost, bad_set_up
from soak_schedule import HANDED_OVER_AFTER, KILL_GRACE, Fault

from burlmast.standin.relay import DEAF, SILENT, WELL, State

if TYPE_CHECKING:
    from node_soak import Soak


async def sigterm(soak: Soak, fault: Fault, host: SoakHost) -> None:
    """SIGTERM, perhaps again, SIGKILL at the earliest time of the protocol, and a new start."""
    if soak.killing:
        return
    soak.killing = True
    for _ in range(1 + fault.target % 3):
        soak.node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
        if fault.target % 2:
            soak.node.process.send_signal(signal.SIGHUP)
    kill_at = min(soak.schedule.deadline_ms, 3000) / 1000 + KILL_GRACE - 0.05 * (1 + fault.target % 3)
    await asyncio.sleep(kill_at)
    if soak.node.process.poll() is not None:
        soak.broken.append("crash: it has ended after SIGTERM, before SIGKILL")
    soak.taking = False
    killed = time.monotonic()
    soak.kills.append(killed)
    soak.check_at_kill(killed)
    soak.node.process.kill()
    for viewer in [one for one in soak.viewers if not one.closed and soak.relayed(one)]:
        # The relay may hold back that its gateway has died; the front gives these up.
        soak.closed_by_us.add(viewer)
        viewer.transport.abort()
    soak.check_log()
    soak.configuration()
    soak.node.end()
    soak.node = Node(soak.path)
    await soak.start_up()
    soak.restarts += 1
    soak.hand_over()
    soak.killing, soak.taking = False, True


async def signals(soak: Soak, fault: Fault, host: SoakHost) -> None:
    if soak.killing:
        return
    for _ in range(4):
        soak.configuration()
        soak.node.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.02)


async def sigstop(soak: Soak, fault: Fault, host: SoakHost) -> None:
    if soak.killing:
        return
    soak.node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(min(fault.lasts, 0.6))
    soak.node.process.send_signal(signal.SIGCONT)


def put_viewer_link(soak: Soak, state: State) -> None:
    """The link from viewers does this from now on."""
    soak.link.put(state)
    soak.holding_since = 0.0 if state.up else soak.holding_since or time.monotonic()


async def viewer_link(soak: Soak, fault: Fault, host: SoakHost, state: State = SILENT) -> None:
    began = time.monotonic()
    put_viewer_link(soak, state)
    await asyncio.sleep(fault.lasts)
    put_viewer_link(soak, WELL)
    soak.held.append((began, time.monotonic()))


async def viewer_link_deaf(soak: Soak, fault: Fault, host: SoakHost) -> None:
    await viewer_link(soak, fault, host, DEAF)


async def viewer_link_reset(soak: Soak, fault: Fault, host: SoakHost) -> None:
    began = time.monotonic()
    put_viewer_link(soak, SILENT)
    await asyncio.sleep(min(fault.lasts, 0.5))
    soak.held.append((began, time.monotonic()))
    for viewer in soak.viewers:
        if soak.relayed(viewer):
            soak.closed_by_us.add(viewer)
    soak.link.reset()
    put_viewer_link(soak, WELL)


async def viewers_leave(soak: Soak, fault: Fault, host: SoakHost) -> None:
    """Idle connections are closed by the front; what was handed over so lately does not count yet."""
    now = time.monotonic()
    for viewer in [one for one in soak.viewers if not one.closed and not one.open]:
        if now - viewer.handed_over < HANDED_OVER_AFTER:
            continue
        soak.closed_by_us.add(viewer)
        viewer.transport.close()


async def host_hangs(soak: Soak, fault: Fault, host: SoakHost) -> None:
    host.hang(fault.lasts)


async def host_resets(soak: Soak, fault: Fault, host: SoakHost) -> None:
    host.when_awake(lambda: host.drop_connections(reset=True))


async def host_closes(soak: Soak, fault: Fault, host: SoakHost) -> None:
    host.when_awake(lambda: host.drop_connections(reset=False))


async def host_link(
    soak: Soak, fault: Fault, host: SoakHost, state: State = SILENT, ends: bool = False
) -> None:
    """What passes between the gateway and a host is held back, and lost if the link is reset."""
    assert host.link is not None
    began = time.monotonic()
    host.link.put(state)
    await asyncio.sleep(fault.lasts)
    if ends:
        host.link.reset()
    host.link.put(WELL)
    host.cut.append((began, time.monotonic()))


async def host_link_deaf(soak: Soak, fault: Fault, host: SoakHost) -> None:
    await host_link(soak, fault, host, DEAF)


async def host_link_reset(soak: Soak, fault: Fault, host: SoakHost) -> None:
    await host_link(soak, fault, host, SILENT, ends=True)


async def host_link_late(soak: Soak, fault: Fault, host: SoakHost) -> None:
    await host_link(soak, fault, host, State(delay_s=0.15))


async def host_spoils(soak: Soak, fault: Fault, host: SoakHost) -> None:
    host.spoils = True


async def host_replaced(soak: Soak, fault: Fault, host: SoakHost) -> None:
    """It dies, and another comes up under a new id at its address."""
    if len([one for one in soak.hosts if not one.dead and one.name not in soak.gone]) < 2:
        return
    host.die()
    await asyncio.sleep(0.1)
    new = await soak.add_host(host.port)
    soak.names.rows.pop(host.name, None)
    soak.names.rows[new.name] = new.port, 0
    soak.change_list(host.name)


async def host_drains(soak: Soak, fault: Fault, host: SoakHost) -> None:
    ready = [one for one in soak.hosts if not one.dead and one.name not in soak.gone]
    if len(ready) < 2 or host not in ready:
        return
    soak.names.rows[host.name] = host.port, 1
    soak.change_list(host.name)


async def names_silent(soak: Soak, fault: Fault, host: SoakHost) -> None:
    soak.names_down, real = True, soak.names.spoil
    soak.names.spoil = lambda raw: None
    await asyncio.sleep(fault.lasts)
    soak.names.spoil, soak.names_down = real, False
    soak.names_back = time.monotonic()


async def names_slow(soak: Soak, fault: Fault, host: SoakHost) -> None:
    loop, received = asyncio.get_running_loop(), NameServer.datagram_received

    def slowly(data: bytes, addr: Any) -> None:
        loop.call_later(0.6, received, soak.names, data, addr)

    soak.names.datagram_received = slowly  # type: ignore[method-assign]
    soak.names_down = True
    await asyncio.sleep(fault.lasts)
    del soak.names.datagram_received
    soak.names_down, soak.names_back = False, time.monotonic()


async def bad_clients(soak: Soak, fault: Fault, host: SoakHost) -> None:
    loop = asyncio.get_running_loop()
    number = 150 if soak.schedule.crowd else 12
    for place in range(number):
        try:
            transport, _ = await loop.create_connection(asyncio.Protocol, "127.0.0.1", soak.port)
        except OSError:
            return
        soak.bad.append(transport)
        kind = place % 5
        if kind == 0:
            transport.write(b"\x00\xff not a line\n")
        elif kind == 1:
            transport.write(b'{"type":"setup","id":"')
        elif kind == 2:
            names = [f"{place << 20 | number:016x}" for number in range(40)]
            transport.write(b"".join(bad_set_up(name) for name in names))
        elif kind == 3 and soak.requests:
            transport.write(bad_set_up(soak.chance.choice(list(soak.requests))))
        if place % 7 == 0:
            transport.abort()


async def health_checks(soak: Soak, fault: Fault, host: SoakHost) -> None:
    for _ in range(10):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", soak.port)
            writer.write(b'{"type":"ping","id":"00","fields":{},"cause":0}\n')
            await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)


async def slow_viewer(soak: Soak, fault: Fault, host: SoakHost) -> None:
    usable = [viewer for viewer in soak.viewers if not viewer.closed]
    if len(usable) > 1:
        usable[0].transport.pause_reading()
        usable[0].paused = True
        await asyncio.sleep(min(fault.lasts, 0.5))
        usable[0].paused = False
        if not usable[0].closed:
            usable[0].transport.resume_reading()


FAULTS: dict[str, Callable[[Soak, Fault, SoakHost], Coroutine[Any, Any, None]]] = {
    "sigterm": sigterm,
    "sighup": signals,
    "sigstop": sigstop,
    "viewer link silent": viewer_link,
    "viewer link deaf": viewer_link_deaf,
    "viewer link reset": viewer_link_reset,
    "viewers leave": viewers_leave,
    "host hangs": host_hangs,
    "host resets": host_resets,
    "host closes": host_closes,
    "host replaced": host_replaced,
    "host drains": host_drains,
    "host link silent": host_link,
    "host link deaf": host_link_deaf,
    "host link reset": host_link_reset,
    "host link late": host_link_late,
    "host spoils": host_spoils,
    "names silent": names_silent,
    "names slow": names_slow,
    "bad clients": bad_clients,
    "health checks": health_checks,
    "slow viewer": slow_viewer,
}
