"""Two events that cross, in the worst order: the stand-ins and the loop force it, no sleep does."""

from __future__ import annotations

import asyncio
import errno
import json
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from platform_standin import (
    ID,
    SETTINGS,
    Gate,
    Host,
    Line,
    Platform,
    answer,
    asked,
    name_server,
    playing,
    release,
    reply,
    run,
    set_ups,
    until,
)  # fmt: skip

from burlmast.api import Listed
from burlmast.logic import EVENTS, Gateway
from burlmast.node import frames
from burlmast.node.frames import Frame
from burlmast.node.host_connection import CLOSING_LEAST, CLOSING_PART, READ_ON, HostConnection
from burlmast.node.lines import Line as Message
from burlmast.node.lines import LineReader
from burlmast.node.media_host import MediaHost

OTHER = "00000000000000aa"
SESSION = int(ID, 16)
UNSENT_RELEASED_WITHIN = 8.05  # seconds, by the protocol: the session may have ended as its host hung
PATIENT = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "connectTimeoutMs": 3000.0}}


def known(one: Platform, host: Host) -> MediaHost:
    """What the gateway holds of this host."""
    return next(found for found in one.program.hosts.hosts.values() if found.name == host.name)


async def through(one: Platform) -> None:
    """Wait until what has been sent to any host by now has been read there."""
    for host in one.hosts:
        pings = len(host.of(frames.PING))
        known(one, host).probe(10_000 + pings)
        await until(lambda host=host, pings=pings: len(host.of(frames.PING)) > pings)


def read(raw: bytes) -> Message:
    (found,), _ = LineReader().feed(raw)
    return found


def given_up(name: str) -> bytes:
    return json.dumps({"type": "release", "id": name, "fields": {}, "cause": 16}).encode() + b"\n"


def hang_up(line: Line) -> None:
    """Close at once; a transport would do so a turn of the loop later."""
    line.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


# Clients that have gone.


@pytest.mark.parametrize("how", ["close", "half-close", "reset", "release"])
def test_a_set_up_and_its_end_that_come_together_reach_no_host(tmp_path: Path, how: str) -> None:
    async def work(one: Platform) -> None:
        other, _ = await playing(one, OTHER)  # a connection to the host is open and free
        gone = socket.create_connection(("127.0.0.1", one.program.port))
        before = len(one.program.listener.viewers)
        await until(lambda: len(one.program.listener.viewers) > before)
        gone.send(asked(ID) + (given_up(ID) if how == "release" else b""))
        if how == "reset":
            gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        if how in ("close", "reset"):
            gone.close()
        elif how == "half-close":
            gone.shutdown(socket.SHUT_WR)
        await until(lambda: how == "release" or len(one.program.listener.viewers) == before)
        other.say("ping", "00")
        assert (await other.hear())["type"] == "pong"
        await through(one)
        assert not set_ups(one) and ID not in one.program.listener.known
        gone.close()

    run(work, tmp_path, 1)


def test_a_wrong_set_up_that_is_given_up_at_once_gets_its_refusal_all_the_same(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line = await one.line()
        line.raw(asked(ID).replace(b"paid", b"none") + given_up(ID) + asked(OTHER))
        told = [await line.hear(), await line.hear()]
        assert [(m["id"], m["type"]) for m in told] == [(ID, "release"), (OTHER, "answer")]

    run(work, tmp_path, 1)


def test_a_hand_over_and_its_end_that_come_together_end_what_plays_at_the_host(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line = await one.line()
        line.raw(asked(ID).replace(b"home:0", b"at:s-0;home:0") + given_up(ID))
        await until(lambda: one.hosts[0].of(frames.RELEASE))
        assert not one.program.listener.known and not one.program.driver.held

    run(work, tmp_path, 1)


def test_a_set_up_that_crossed_a_close_and_comes_again_plays_once(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, _ = await playing(one, OTHER)
        (viewer,) = one.program.listener.viewers
        line.raw(asked(ID))
        viewer.close("test")  # it lay in the socket, and is never read
        assert await line.hear() == {}
        again = await one.line()
        again.raw(asked(ID))
        assert (await again.hear())["type"] == "answer"
        again.raw(asked(ID))  # once more than it should
        assert (await again.hear())["type"] == "release"
        assert len(set_ups(one)) == 1 and OTHER in one.program.listener.known

    run(work, tmp_path, 1)


@pytest.mark.parametrize("how", ["close", "release"])
def test_no_further_attempt_begins_once_the_viewers_end_is_in_the_socket(tmp_path: Path, how: str) -> None:
    async def work(one: Platform) -> None:
        other, _ = await playing(one, OTHER)
        line = await one.line()
        loop = asyncio.get_running_loop()

        def refuse(message: Frame) -> bytes:
            # The refusal lies in the gateway's socket first, the viewer's end second, before it reads either.
            loop.call_soon(lambda: hang_up(line) if how == "close" else line.say("release", cause=16))
            return release(message.session, 34)

        for host in one.hosts:
            host.does = refuse
        line.set_up()
        await until(lambda: set_ups(one) and ID not in one.program.listener.known)
        await through(one)
        assert len(set_ups(one)) == 1 and other

    run(work, tmp_path, 2)


@pytest.mark.parametrize("last", ["paused", "unsent"])
def test_the_close_of_a_viewer_that_reads_nothing_is_seen(tmp_path: Path, last: str) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda message: b""
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(("127.0.0.1", one.program.port))
        slow.send(asked(ID))
        await until(lambda: set_ups(one))
        (viewer,) = one.program.listener.viewers
        assert viewer.transport is not None
        if last == "paused":
            viewer.pause_writing()  # as the transport does over its high water
        else:
            viewer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            viewer.write(b" " * 100_000)
            assert viewer.transport.get_write_buffer_size()
        slow.shutdown(socket.SHUT_WR)
        await until(lambda: one.host_of().of(frames.RELEASE))
        assert ID not in one.program.listener.known
        await until(lambda: not one.program.listener.viewers), "it keeps no descriptor"
        slow.close()

    run(work, tmp_path)


def test_an_answer_that_crosses_the_viewers_close_is_released_at_its_host(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line = await one.line()
        loop = asyncio.get_running_loop()

        def say(message: Frame) -> bytes:
            loop.call_soon(hang_up, line)
            return answer(message)

        for host in one.hosts:
            host.does = say
        line.set_up()
        await until(lambda: set_ups(one) and one.host_of().of(frames.RELEASE))
        assert not one.program.driver.held and ID not in one.program.listener.known

    run(work, tmp_path)


# Attempts that wait for a connection.


@pytest.mark.parametrize("news", ["gone", "draining", "moved"])
def test_what_waits_for_a_connection_goes_elsewhere_once_the_list_says_so(tmp_path: Path, news: str) -> None:
    async def work(one: Platform) -> None:
        first, second = one.hosts
        gate = Gate(first.port)
        two = Gate(second.port)
        two.open.set()
        line = await one.line()
        for number in range(40):  # the list has both; sooner or later one of them waits at the first
            name = f"{number:016x}"
            line.set_up(name, key=f"{number:x}", left="2900")
            await until(lambda name=name: gate.held or set_ups(one, name))
            if gate.held:
                break
            await line.hear()
        assert gate.held
        third = Host("s-9")
        await third.start()
        one.hosts.append(third)
        one.names.serial += 1
        if news == "gone":
            del one.names.rows[first.name]
        elif news == "draining":
            one.names.rows[first.name] = first.port, 1
        else:
            one.names.rows[first.name] = third.port, 0
        assert (await line.hear())["type"] == "answer", "it does not wait for the connection's time"
        gate.open.set()
        await until(lambda: not known(one, second).connecting)
        assert not set_ups(one, name) or set_ups(one, name)[0][0] is not first
        line.say("ping", "00")
        await line.hear()
        assert not first.of(frames.SETUP)

    plan = {**SETTINGS["requestClasses"][0], "goalTimeMs": 30_000.0, "hardLimitMs": 3000.0}
    settings = {**PATIENT, "requestClasses": [plan]}
    run(work, tmp_path, 2, settings=settings)


def test_what_is_out_at_a_host_that_is_gone_is_waited_for_no_longer(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        for host in one.hosts:
            host.does = lambda message: b""
        line = await one.line()
        line.set_up()
        await until(lambda: set_ups(one))
        silent = one.host_of()
        for host in one.hosts:
            host.does = answer
        one.names.serial += 1
        del one.names.rows[silent.name]
        assert (await line.hear())["type"] == "answer"
        assert {host for host, _ in set_ups(one)} != {silent}
        await until(lambda: silent.of(frames.RELEASE))

    settings = {**SETTINGS, "requestClasses": [{**SETTINGS["requestClasses"][0], "goalTimeMs": 30_000.0}]}
    run(work, tmp_path, settings=settings)


def test_a_dial_whose_time_runs_out_as_it_comes_up_counts_once(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        loop: Any = asyncio.get_running_loop()
        real, late = loop.call_soon, [True]

        def call_soon(work: Any, *more: Any, **named: Any) -> Any:
            made = getattr(work, "__name__", "") == "connection_made"
            if made and isinstance(getattr(work, "__self__", None), HostConnection) and late:
                late.clear()
                time.sleep(SETTINGS["allowed"]["connectTimeoutMs"] / 1000 + 0.01)  # the loop was busy
            return real(work, *more, **named)

        loop.call_soon = call_soon
        line = await one.line()
        line.set_up()
        assert (await line.hear())["type"] == "answer" and not late
        hosts = list(one.program.hosts.hosts.values())
        await until(lambda: not any(host.connecting for host in hosts))
        assert one.program.hosts.opened == sum(len(host.connections) for host in hosts)
        assert all(link.state == "open" for host in hosts for link in host.connections)

    run(work, tmp_path, 1)


def test_dials_that_nothing_waits_for_any_more_are_given_up(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        (host,) = one.hosts
        gate = Gate(host.port)
        line = await one.line()
        names = [f"{number:016x}" for number in range(40)]
        line.raw(b"".join(asked(name) for name in names))
        await until(lambda: gate.held == 40)
        line.raw(b"".join(given_up(name) for name in names))
        await until(lambda: not one.program.listener.known)
        gate.open.set()
        line.set_up()
        assert (await line.hear())["type"] == "answer"
        await through(one)
        assert len(host.links) == 1 == one.program.hosts.opened

    run(work, tmp_path, 1, settings=PATIENT)


def test_a_loop_that_was_busy_takes_no_connection_for_late(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        (host,) = one.hosts
        at, loop = known(one, host), asyncio.get_running_loop()
        real, busy = at.dial, SETTINGS["allowed"]["connectTimeoutMs"] / 1000 + 0.05

        def dial() -> None:
            real()
            loop.call_soon(time.sleep, busy)  # once the dial is on its way nothing else is done

        at.dial = dial  # type: ignore[method-assign]
        line = await one.line()
        line.set_up()
        assert (await line.hear())["type"] == "answer"
        assert len(host.of(frames.SETUP)) == 1 and not one.program.driver.counts["ended no connection"]

    plan = {**SETTINGS["requestClasses"][0], "goalTimeMs": 30_000.0}
    run(work, tmp_path, 1, settings={**SETTINGS, "requestClasses": [plan]})


# Answers that come twice.


def test_a_late_second_refusal_ends_neither_the_next_attempt_nor_what_plays(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        (host,) = one.hosts
        first: list[asyncio.StreamWriter] = []

        def does(message: Frame) -> bytes:
            if not first:
                first.append(host.links[-1])
                return release(message.session, 34)
            first[0].write(release(message.session, 34))  # again, while the second attempt is out
            return b""

        host.does = does
        line = await one.line()
        line.set_up()
        await until(lambda: len(set_ups(one)) == 2)
        await through(one)
        await through(one)
        assert len(set_ups(one)) == 2, "a third would have run beside the second"
        host.links[-1].write(answer(set_ups(one)[1][1]))
        assert (await line.hear())["type"] == "answer"
        for cause in (34, 47, 41):
            first[0].write(release(SESSION, cause))
        await through(one)
        await through(one)
        assert ID in one.program.listener.known
        host.links[-1].write(release(SESSION, 16))
        assert (await line.hear())["cause"] == 16

    run(work, tmp_path, 1)


def test_no_set_up_goes_where_the_host_is_about_to_close_for_idleness(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        at = known(one, host)
        (old,) = at.connections
        old.used -= 1_900_000_000  # nothing has passed for most of the 2 s
        line.set_up(OTHER)
        assert (await line.hear())["type"] == "answer"
        assert host.carried[0][1] is not host.carried[1][1] and OTHER in one.program.listener.known
        old.used -= 1_900_000_000
        at.watch(one.program.now())
        assert old not in at.connections, "the one that is left tells of what stands"

    settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "idleCloseMs": 2000.0}}
    run(work, tmp_path, 1, settings=settings)


@pytest.mark.parametrize("after", [0.0, 0.3])
def test_a_release_that_crosses_its_hosts_close_is_said_again(tmp_path: Path, after: float) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        (carrier,) = host.links
        gateway = known(one, host)
        (link,) = gateway.connections
        # The gateway writes the release on a connection that the host resets before it reads.
        carrier.transport.pause_reading()
        line.say("release", cause=16)
        await until(lambda: link.sent_lately)
        await asyncio.sleep(after)
        carrier.transport.abort()
        await until(lambda: host.of(frames.RELEASE))
        assert host.of(frames.RELEASE)[0].session == SESSION

    run(work, tmp_path, 1)


@pytest.mark.parametrize("dial", ["comes up late", "does not come up"])
def test_an_end_lost_with_its_connection_arrives_though_the_next_dial_fails(
    tmp_path: Path, dial: str
) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        for held in known(one, host).connections:
            held.state = "leaving"  # so that the second session comes on a connection of its own
        other = await one.line()
        other.set_up(OTHER)
        assert (await other.hear())["type"] == "answer"
        gate = Gate(host.port)
        carrier = next(writer for session, writer in host.carried if session == SESSION)
        host.to_repeat.append(release(SESSION, 16))  # it was written, and is lost with the connection
        began = time.monotonic()
        carrier.transport.abort()
        await until(lambda: gate.held)
        if dial == "comes up late":
            await asyncio.sleep(2 * SETTINGS["allowed"]["connectTimeoutMs"] / 1000)
        else:
            await until(lambda: gate.held > 1)
        gate.open.set()
        assert (await line.hear())["id"] == ID
        assert dial != "comes up late" or time.monotonic() - began <= 1.05, "the protocol's limit and slack"
        assert OTHER in one.program.listener.known

    run(work, tmp_path, 1)


def test_an_end_repeated_on_a_connection_that_a_hung_host_takes_late_arrives(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        at, connect = known(one, host), SETTINGS["allowed"]["connectTimeoutMs"] / 1000
        (lost,) = at.connections
        host.awake.clear()
        host.to_repeat.append(release(SESSION, 16))  # it was written, and is lost with its connection
        host.links[0].transport.abort()
        await until(lambda: lost.state == "closed" and len(at.connections) == 1)
        (taken_late,) = at.connections
        at.dial()
        await until(lambda: len(at.connections) == 2)
        at.probes.send_on(taken_late, 7, one.program.now())
        await until(lambda: taken_late.state != "open")
        await asyncio.sleep(2 * connect)
        host.awake.set()
        assert (await line.hear())["id"] == ID

    run(work, tmp_path, 1)


def test_an_end_that_a_hung_host_writes_late_on_a_retired_connection_arrives(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        at, connect = known(one, host), SETTINGS["allowed"]["connectTimeoutMs"] / 1000
        (origin,) = at.connections
        at.dial()
        await until(lambda: len(at.connections) == len(host.links) == 2)
        (second,) = [each for each in at.connections if each is not origin]
        at.probes.send_on(second, 7, one.program.now())
        await until(lambda: not second.probes)
        host.carried[0][1].transport.abort()  # its session's own connection
        await until(lambda: origin.state == "closed" and len(at.connections) == 2)
        hung = host.links[0]
        hung.transport.pause_reading()
        at.probes.send_on(second, 8, one.program.now())
        await until(lambda: second.state != "open")
        await asyncio.sleep(2 * connect)
        began = time.monotonic()
        hung.write(release(SESSION, 16))
        assert (await line.hear())["id"] == ID
        assert time.monotonic() - began <= 1.0

    run(work, tmp_path, 1)


def test_an_end_behind_half_a_message_on_a_connection_that_is_retired_arrives(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        at = known(one, host)
        at.dial()
        await until(lambda: len(at.connections) == len(host.links) == 2)
        (other,) = [each for each in at.connections if not each.sessions]
        whole = answer(Frame(frames.SETUP, 7, {}))
        for writer in host.links:
            if writer is not host.carried[0][1]:
                writer.write(whole[: len(whole) // 2] + release(SESSION, 16))
        host.to_repeat.append(release(SESSION, 16))
        await until(lambda: other.reader.partial)
        other.retire()
        began = time.monotonic()
        assert (await line.hear())["id"] == ID
        assert time.monotonic() - began <= 1.0

    run(work, tmp_path, 1)


def test_an_end_that_crosses_the_gateways_close_of_an_idle_connection_arrives(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        at = known(one, host)
        (old,) = at.connections
        at.dial()
        await until(lambda: len(at.connections) == 2)
        host.end(ID)  # it lies in the socket when the gateway closes the connection
        old.close("retired")
        assert (await line.hear())["id"] == ID
        await until(lambda: old.state == "closed" and len(host.links) == 1)
        assert one.program.hosts.opened == 1 and one.program.hosts.closing == 0

    run(work, tmp_path, 1)


def test_a_host_that_does_not_close_its_side_holds_few_descriptors_and_none_for_long(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        most = max(CLOSING_LEAST, one.program.hosts.limits.most // CLOSING_PART)
        at = known(one, host)
        (old,) = at.connections
        at.dial()
        await until(lambda: len(at.connections) == 2)
        host.links[0].transport.pause_reading()  # it hangs
        old.close("retired")
        assert old.state == "closing"
        await until(lambda: len(at.connections) == 2)  # another, on which it repeats what it released
        assert old.state == "closing", "what is held back on the way may come yet"
        one.program.hosts.closing += most
        (spare, _) = at.connections
        spare.close("retired")
        assert spare.state == "closed", "no more than these are read on"
        one.program.hosts.closing -= most
        await line.hear_end(ID, UNSENT_RELEASED_WITHIN)  # its release may lie unread at the host
        await until(lambda: old.state == "closed" and one.program.hosts.closing == 0, READ_ON / 1e9 + 1)
        assert one.program.hosts.opened == len(at.connections) + len(at.connecting)

    run(work, tmp_path, 1)


def test_an_end_written_on_a_connection_that_comes_up_after_its_dial_ran_out_of_time_arrives(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        loop = asyncio.get_running_loop()
        at_once = loop.create_connection

        async def late(factory: Any, address: str, port: int) -> Any:
            raw = socket.socket()
            raw.setblocking(False)
            await loop.sock_connect(raw, (address, port))
            await asyncio.sleep(0.4)
            return await at_once(factory, sock=raw)

        monkeypatch.setattr(loop, "create_connection", late)
        host.to_repeat.append(release(SESSION, 16))  # once, on the next connection that is opened
        host.links[0].close()
        ended = await line.hear()
        assert (ended["id"], ended["cause"]) == (ID, 16), "as its host has released it, not cut"

    run(work, tmp_path, 1)


def test_a_release_to_a_host_is_repeated_elsewhere_though_its_connection_brought_bytes_just_after(
    tmp_path: Path,
) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        host.links[0].transport.pause_reading()  # what the gateway writes there is lost
        line.say("release", ID, cause=16)
        await until(lambda: ID not in one.program.listener.known)
        parameters = {frames.NEWS: b"wire", frames.FIGURE: b"0.5"}
        host.links[0].write(frames.frame(frames.NOTE, SESSION, parameters))
        await until(lambda: any(message.session == SESSION for message in host.of(frames.RELEASE)))

    run(work, tmp_path, 1)


def test_a_set_up_whose_connection_is_lost_is_released_at_its_host_once_its_request_is_over(
    tmp_path: Path,
) -> None:
    async def work(one: Platform) -> None:
        line, host = await one.line(), one.hosts[0]
        host.does = lambda message: b""
        line.set_up(ID, left="600")
        await until(lambda: host.of(frames.SETUP))
        host.links[0].transport.abort()
        assert (await line.hear())["type"] == "release"
        await until(lambda: any(message.session == SESSION for message in host.of(frames.RELEASE)), 3)

    run(work, tmp_path, 1)


def test_no_set_up_is_lost_on_a_connection_that_its_host_has_closed(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        (link,) = known(one, host).connections
        assert link.transport is not None
        seen: list[str] = []
        real = one.program.hosts.callbacks.ended

        def ended(attempt: Any, ending: Any, load: Any) -> None:
            seen.append(ending.value)
            real(attempt, ending, load)

        one.program.hosts.callbacks.ended = ended  # type: ignore[method-assign]
        # As after an EOF or an error: the transport is closing, and says so only in the loop's next turn.
        link.transport.close()
        one.program.listener.received(next(iter(one.program.listener.viewers)), read(asked(OTHER)))
        assert (await line.hear())["id"] == OTHER
        assert seen == [] and len(set_ups(one, OTHER)) == 1

    run(work, tmp_path, 1)


def test_what_waits_for_a_host_that_starts_anew_is_not_sent_to_the_cold_process(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        (host,) = one.hosts
        gate = Gate(host.port)
        line = await one.line()
        line.set_up(left="2900")
        await until(lambda: gate.held)
        at = known(one, host)
        (call,) = at.attempts.values()
        one.program.hosts.restarted(at.number, one.program.now() + 1)
        one.program.hosts.drain()  # what was not written is decided anew once the decisions know
        assert call.driver_attempt.ending is not None and call.driver_attempt.ending.value == "moot"

    run(work, tmp_path, 1, settings=PATIENT)


# Descriptors.


def test_room_is_not_made_by_closing_a_connection_whose_set_up_was_not_read_yet(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, _ = await playing(one)
        other, _ = await playing(one, OTHER)
        third = "00000000000000bb"
        line.raw(asked(third))  # it lies in the socket, and the connection has been idle longest
        assert one.program.listener.make_room()
        assert (await line.hear())["id"] == third and await other.hear() == {}

    run(work, tmp_path, 1)


def test_a_burst_of_silent_viewers_never_goes_over_the_share_and_a_real_one_is_served(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        listener, most = one.program.listener, one.program.configuration.parts.viewers
        seen, connected = [0], listener.connected

        def watched(viewer: Any) -> None:
            connected(viewer)
            seen[0] = max(seen[0], len(listener.viewers))

        listener.connected = watched  # type: ignore[method-assign]
        crowd = [socket.socket() for _ in range(3 * most)]
        for idle in crowd:
            idle.setblocking(False)
            idle.connect_ex(("127.0.0.1", one.program.port))
        line = await one.line()
        line.set_up()
        assert (await line.hear())["type"] == "answer"
        assert most <= seen[0] <= most + 8
        for idle in crowd:
            idle.close()

    run(work, tmp_path, 1)


def none_left(port: int, times: int) -> list[int]:
    """So many dials to this port find no descriptor; what is left of them."""
    loop: Any = asyncio.get_running_loop()
    real, left = loop.create_connection, list(range(times))

    async def dial(made: Any, host: str, to: int) -> Any:
        if left and to == port:
            left.pop()
            raise OSError(errno.EMFILE, "none left")
        return await real(made, host, to)

    loop.create_connection = dial
    return left


def test_a_shortage_of_descriptors_is_no_failure_of_the_host(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        idle = await one.line()
        for each in (idle, line):
            each.say("ping", "00")
            assert (await each.hear())["type"] == "pong"
        left = none_left(host.port, 1)
        host.links[0].transport.abort()  # what stands is reached for again: a dial, and none is left
        await until(lambda: not left and host.links)
        assert ID in one.program.listener.known
        assert await idle.hear() == {}, "an idle viewer makes room"
        line.set_up(OTHER)
        assert (await line.hear())["type"] == "answer"

    run(work, tmp_path, 1)


def test_what_waits_for_a_descriptor_is_sent_when_there_is_one(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        left = none_left(one.hosts[0].port, 2)
        line = await one.line()
        line.set_up()
        assert (await line.hear())["type"] == "answer" and not left
        assert len(set_ups(one)) == 1

    run(work, tmp_path, 1)


def test_idle_connections_to_other_hosts_make_room_for_one_that_is_needed(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        first, second, third = one.hosts
        one.program.hosts.limits = one.program.hosts.limits._replace(most=2)
        for host in (first, second):
            known(one, host).dial()
        await until(lambda: first.links and second.links)
        for host in (first, second):
            host.does = lambda message: release(message.session, 34)
        line = await one.line()
        line.set_up()
        assert (await line.hear())["type"] == "answer" and third.links
        assert one.program.hosts.opened <= 2

    run(work, tmp_path, 3)


# The list.


def test_a_move_while_the_socket_opens_asks_the_new_address_at_once(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        new, address = await name_server(2)
        new.rows = dict(one.names.rows)
        one.names.spoil = lambda raw: None
        loop: Any = asyncio.get_running_loop()
        real, gate, held = loop.create_datagram_endpoint, asyncio.Event(), []

        async def create(*what: Any, **named: Any) -> Any:
            held.append(named["remote_addr"])
            await gate.wait()
            return await real(*what, **named)

        loop.create_datagram_endpoint = create
        await until(lambda: held)
        before = one.names.asked
        one.write(address[1])
        one.program.read_again()
        gate.set()
        await until(lambda: new.asked)
        assert held[-1] == address and one.names.asked == before
        await until(lambda: one.program.roster.serial == 2)
        new.transport.close()

    run(work, tmp_path)


def test_what_an_old_address_says_after_a_move_changes_nothing(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        new, address = await name_server(2)
        new.rows = dict(one.names.rows)
        kept: list[tuple[bytes, Any]] = []
        real = one.names.datagram_received
        one.names.datagram_received = lambda data, addr: kept.append((data, addr))  # type: ignore[method-assign]
        await until(lambda: kept)
        # The answer lies in the socket when the move comes: a list with no host at all, and a late serial.
        data, addr = kept[-1]
        one.names.transport.sendto(reply(data, 99, {}), addr)
        one.write(address[1])
        one.program.read_again()
        await until(lambda: new.asked and one.program.roster.serial == 2)
        assert len(one.program.roster.entries) == 4 and real

    run(work, tmp_path)


def test_the_old_socket_is_kept_while_no_new_one_is_to_be_had(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        await until(lambda: one.names.asked)
        loop: Any = asyncio.get_running_loop()
        real, tried = loop.create_datagram_endpoint, []

        async def create(*what: Any, **named: Any) -> Any:
            tried.append(1)
            raise OSError(errno.EMFILE, "none left")

        loop.create_datagram_endpoint = create
        one.names.spoil = lambda raw: None
        await until(lambda: len(tried) > 1)
        one.names.spoil = lambda raw: raw
        one.names.serial = 5
        await until(lambda: one.program.roster.serial == 5)
        loop.create_datagram_endpoint = real

    run(work, tmp_path)


def test_a_host_at_anothers_address_is_another_host(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)
        one.names.serial += 1
        del one.names.rows[host.name]
        one.names.rows["s-next"] = host.port, 0
        assert (await line.hear())["cause"] == 41
        (new,) = [h for h in one.program.hosts.hosts.values() if h.name == "s-next"]
        assert not new.attempts and not new.connections
        before = len(host.of(frames.SETUP))
        line.set_up(OTHER)
        assert (await line.hear())["type"] == "answer"
        assert len(host.of(frames.SETUP)) == before + 1 and len(new.connections) == 1

    run(work, tmp_path, 1)


# A fall of the decisions.


def test_what_comes_while_no_decisions_stand_is_refused_and_later_ones_serve(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work(one: Platform) -> None:
        line, _ = await playing(one)
        falls = [1, 2]

        class Falling(Gateway):
            """Falls at its list, twice."""

            def listed(self, now: int, event: Any) -> None:
                if falls:
                    falls.pop()
                    raise RuntimeError("planted")
                super().listed(now, event)

        monkeypatch.setattr("burlmast.node.program.Gateway", Falling)
        monkeypatch.setitem(EVENTS, Listed, lambda gateway, now, event: gateway.listed(now, event))
        one.program.driver.policy.take = lambda *_: [][0]  # type: ignore[method-assign]
        line.raw(asked(OTHER))
        assert {(await line.hear())["id"] for _ in range(2)} == {ID, OTHER}
        line.set_up("00000000000000bb")
        assert await line.hear() == {"type": "release", "id": "00000000000000bb", "fields": {}, "cause": 34}
        await until(lambda: not falls and one.program.listener.driver is not None)
        line.set_up("00000000000000cc")
        assert (await line.hear())["type"] == "answer"

    run(work, tmp_path)


def test_what_is_read_with_a_fall_is_answered_and_hosts_hear_of_what_played(tmp_path: Path) -> None:
    async def work(one: Platform) -> None:
        line, host = await playing(one)

        def fall(*_: object) -> list[Any]:
            raise RuntimeError("planted")

        one.program.driver.policy.take = fall  # type: ignore[method-assign]
        names = [f"{number:016x}" for number in (1, 2, 3)]
        line.raw(b"".join(asked(name) for name in names))
        told = [await line.hear() for _ in range(4)]
        assert {message["id"] for message in told} == {ID, *names}
        # It may be repeated: nothing says that the first has arrived.
        await until(lambda: {m.session for m in host.of(frames.RELEASE)} == {SESSION})
        played = {message["id"] for message in told if message["type"] == "answer"}
        assert set(one.program.listener.known) == played and not one.program.driver.failed

    run(work, tmp_path)
