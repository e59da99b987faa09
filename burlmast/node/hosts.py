"""The media hosts' side: connections, set-ups on them, what stands, tests. Nothing is decided here but which
connection carries what; how it ended is said by the table of endings."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.api import Ending, News, Standing
from burlmast.edge.driver import Try
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.node import frames
from burlmast.node.descriptors import SHORTAGE
from burlmast.node.frames import Frame, FrameReader
from burlmast.node.names import Entry

MS = 1_000_000
# What stands and is over has to be released within 8 s of its end where nobody says so: the platform's word.
# A host that was silent for half of that is dialled; two failures in a row, and it is gone.
SILENT = 4_000 * MS
GONE_AFTER = 2
CROSSING = 50 * MS  # what was written so lately may have crossed a close: the platform's figure
CARRIED = 32  # set-ups on a connection after which a second answer to the first is no longer expected
BUFFER = bytearray(65536)  # one for all: what is read is taken out of it before anything else is read


class Sent(NamedTuple):
    """What a viewer sent and a host gets unchanged."""

    session: int
    plan: bytes
    title: bytes
    description: bytes


class Wired(NamedTuple):
    """What the socket side is told at start. Times in nanoseconds."""

    connect: int  # how long a connection may take to come up, and a test to be answered
    idle: int  # how long nothing may pass on a connection before its host closes it; 0: for ever
    most: int  # connections to all hosts together
    streams: int  # set-ups on one connection at most
    report: dict[str, str]


class Ear(Protocol):
    """Where the hosts' side tells what it hears; each call is one of the driver's, with the time put in."""

    def flowing(self, one: Try) -> None:
        """See `Driver.flowing`."""

    def ended(self, one: Try, ending: Ending, load: api.Load) -> None:
        """See `Driver.ended`."""

    def noted(self, one: Try, news: News, value: float) -> None:
        """See `Driver.noted`."""

    def probed(self, host: int, ending: Ending, took: int, load: api.Load) -> None:
        """See `Driver.probed`."""

    def wanted(self, one: Try) -> bool:
        """Whether its viewer is still there; False once the driver has been told that it is not."""

    def unread(self, one: Try) -> bool:
        """Whether its viewer has written what has not been read yet."""

    def shortage(self) -> None:
        """There was no descriptor for a connection."""

    def remark(self, text: str) -> None:
        """A line for the log."""


class Call:
    """A set-up as it is at the host."""

    __slots__ = ("description", "host", "link", "one", "origin", "sent", "session", "stood", "written")

    def __init__(self, one: Try, host: MediaHost, sent: Sent) -> None:
        self.one, self.host, self.sent, self.session = one, host, sent, sent.session
        self.link: Link | None = None  # the connection that carries it while it is out
        self.origin: Link | None = None  # the connection of its set-up
        self.written = self.stood = False  # its set-up was written; it has been answered
        self.description = ""


class Test(NamedTuple):
    """A test on its way."""

    began: int
    timer: asyncio.TimerHandle


class Link(asyncio.BufferedProtocol):
    """One connection to a host."""

    def __init__(self, host: MediaHost) -> None:
        self.host = host
        self.reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.out: dict[int, Call] = {}
        self.tests: dict[int, Test] = {}
        self.state = "coming"  # coming, open, leaving (nothing new), closed
        self.stuck_since = 0  # since when half a message is waited for
        self.used = host.side.now()  # when something last passed on it
        self.carried: deque[int] = deque(maxlen=CARRIED)  # playbacks whose set-ups it has carried lately
        self.said: deque[tuple[int, bytes]] = deque(maxlen=CARRIED)  # lately, of what stands
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def dial(self) -> None:
        """Come up, or say why not."""
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *self.host.address)
        except OSError as why:
            self.failed(why)

    def failed(self, why: OSError | None) -> None:
        """It did not come up; without a reason, in time."""
        # Danger: time may run out between the coming up and the return of what dialled; one of them counts.
        if self.state != "coming":
            return
        self.drop()
        if why is not None and why.errno in SHORTAGE:
            self.host.short_of_descriptors()
        else:
            self.host.unreachable(isinstance(why, ConnectionRefusedError))

    def drop(self) -> None:
        """It is waited for no longer."""
        if self.state == "coming":
            self.state = "closed"
            self.host.coming.pop(self, None)
            self.host.side.opened -= 1
            if self.timer is not None:
                self.timer.cancel()
            if self.task is not None and self.task is not asyncio.current_task():
                self.task.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state == "coming":
            self.state = "open"
            self.used = self.host.side.now()
            if self.timer is not None:
                self.timer.cancel()
            self.host.came_up(self)
        else:
            transport.abort()

    def get_buffer(self, sizehint: int) -> bytearray:
        return BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.state == "closed":
            return
        found, wrong = self.reader.feed(bytes(memoryview(BUFFER)[:nbytes]))
        self.used = self.host.side.now()
        self.stuck_since = self.host.side.now() if self.reader.partial else 0
        for one in found:
            self.host.heard_message(self, one)
        if wrong is not None:
            self.host.side.ear.remark(f"host {self.host.name}: {wrong}")
            self.close("not understood")

    def eof_received(self) -> bool:
        # Danger: the transport says so a turn of the loop later, and what is written until then is lost.
        self.close("connection lost")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.close("connection lost")

    @property
    def usable(self) -> bool:
        """Whether something can be written on it."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.used = self.host.side.now()
            self.transport.write(data)

    def say(self, data: bytes) -> None:
        """Write what concerns something that stands, and has to be said elsewhere if it crosses a close."""
        self.said.append((self.host.side.now(), data))
        self.write(data)

    def close(self, why: str) -> None:
        """What is out on it has ended so; what stands belongs to no connection."""
        if self.state == "closed":
            return
        self.state = "closed"
        self.host.links.pop(self, None)
        if self.transport is not None:
            self.transport.abort() if why == "not understood" else self.transport.close()
        self.host.lost(self, why)

    def retire(self) -> None:
        """It carries nothing new, and is closed once nothing is out on it."""
        if self.state == "open":
            self.state = "leaving"
        if self.state == "leaving" and not self.out and not self.tests:
            self.close("retired")


class MediaHost:
    """One host: its connections, and what is out or stands there."""

    def __init__(self, side: HostsSide, number: int, name: str, address: tuple[str, int]) -> None:
        self.side, self.number, self.name, self.address = side, number, name, address
        self.listed, self.draining = True, False
        self.links: dict[Link, None] = {}
        self.calls: dict[int, Call] = {}
        self.waiting: list[Call] = []  # for a connection
        self.tests: list[tuple[int, int]] = []  # tests that wait for one, and since when
        self.backlog: list[bytes] = []  # messages on what stands that wait for one
        self.coming: dict[Link, None] = {}  # connections that are waited for
        self.heard = side.now()
        self.failures = 0

    # Connections.

    def open_links(self) -> list[Link]:
        return [link for link in self.links if link.state == "open" and link.usable]

    def fresh(self, link: Link, now: int) -> bool:
        """Whether its host does not close it for being idle while something is on its way there."""
        # Danger: a set-up that crosses such a close may have run, and an unsafe one is lost.
        idle = self.side.wired.idle
        return idle <= 0 or now - link.used < max(idle - self.side.wired.connect, idle // 2)

    def choose(self, playback: int) -> Link | None:
        """A connection with nothing out on it, so that one spoilt answer costs one set-up.

        Where there is no room for another, the one that carries least. Never one that has carried an earlier
        attempt of the playback, whose answer may come again."""
        now = self.side.now()
        links = [link for link in self.open_links() if playback not in link.carried and self.fresh(link, now)]
        free = [link for link in links if not link.out]
        if free:
            return max(free, key=lambda link: link.used)
        if self.side.room() or not links:
            return None
        least = min(links, key=lambda link: len(link.out))
        return least if len(least.out) < self.side.wired.streams else None

    def dial(self) -> None:
        if self.listed:
            link = Link(self)
            self.coming[link] = None
            self.side.opened += 1
            link.timer = self.side.later(self.side.wired.connect, lambda: link.failed(None))
            link.task = self.side.keep(link.dial())

    def came_up(self, link: Link) -> None:
        self.coming.pop(link, None)
        self.links[link] = None
        self.failures = 0
        self.heard = self.side.now()
        for data in self.backlog:
            link.say(data)
        self.backlog.clear()
        tests, self.tests = self.tests, []
        for session, began in tests:
            self._test_on(link, session, began)
        # One set-up to a connection; those that came in the meantime have connections of their own coming.
        while self.waiting and (not link.out or not self.coming) and link.state == "open":
            call = self.waiting.pop(0)
            if len(link.out) < self.side.wired.streams:
                self.send(link, call)
            else:
                self.finish(call, BINARY_ENDINGS["not sent", None], api.Load())

    def short_of_descriptors(self) -> None:
        """No connection could be tried: that tells nothing of the host. It is tried again soon."""
        self.side.ear.remark(f"host {self.name}: no descriptor for a connection")
        self.side.ear.shortage()
        tests, self.tests = self.tests, []
        for _, began in tests:
            self.side.ear.probed(self.number, Ending.MOOT, max(0, self.side.now() - began), api.Load())
        if not self.coming:
            self.side.later(self.side.wired.connect // 8, self.dial_again)

    def dial_again(self) -> None:
        """For what waits yet, or stands and has no connection."""
        if self.coming or not (self.waiting or self.backlog or (self.stands() and not self.links)):
            return
        link = self.choose(self.waiting[0].one.playback.number) if self.waiting else None
        if link is not None:
            self.send(link, self.waiting.pop(0))
        elif self.side.room():
            self.dial()

    def turn_away(self) -> None:
        """Nothing new may go to it: what was not sent goes elsewhere, and tests of one that is gone end."""
        for call in [one for one in self.calls.values() if not one.written and not one.stood]:
            self.finish(call, BINARY_ENDINGS["not sent", None], api.Load())
        if self.listed:
            return
        tests, self.tests = self.tests, []
        for _, began in tests:
            took = max(0, self.side.now() - began)
            self.side.ear.probed(self.number, Ending.NO_CONNECTION, took, api.Load())
        for call in [one for one in self.calls.values() if not one.stood]:
            if call.link is not None:
                call.link.write(frames.release(call.session))
            self.finish(call, Ending.BROKEN, api.Load())
        self.keep_reachable()

    def dismiss(self, why: str) -> None:
        """The list has dropped it, or has it elsewhere: nothing is waited for at this address any more."""
        self.listed = False
        # Danger: the address may be another host's by now, and what comes up there would carry what waits.
        for link in list(self.coming):
            link.drop()
        # Danger: a machine that goes for good says nothing, and its connections stay open.
        self.cut(why)

    def unreachable(self, refused: bool) -> None:
        """No connection came up; where it was refused the process is dead, and what stood there with it."""
        self.failures += 1
        if self.coming:  # the others say what becomes of what waits
            waiting = [self.waiting.pop(0)] if self.waiting else []
        else:
            waiting, self.waiting = self.waiting, []
        for call in waiting:
            self.finish(call, BINARY_ENDINGS["no connection", None], api.Load())
        if not self.coming and not self.open_links():
            tests, self.tests = self.tests, []
            for _, began in tests:
                self.side.ear.probed(
                    self.number, Ending.NO_CONNECTION, max(0, self.side.now() - began), api.Load()
                )
        silent = not self.open_links() or self.side.now() - self.heard >= SILENT
        # Danger: a host that drains refuses connections and plays on; the list says when it is gone.
        if not self.draining and (refused or (self.failures >= GONE_AFTER and silent)):
            self.cut("refused" if refused else "silent")

    def cut(self, why: str) -> None:
        """What stood here is over."""
        standing = [call for call in self.calls.values() if call.one.state == "flowing"]
        if standing:
            self.side.ear.remark(f"host {self.name}: {why}, {len(standing)} playbacks cut")
        self.backlog.clear()
        for call in standing:
            self.finish(call, BINARY_ENDS[41], api.Load())

    def lost(self, link: Link, why: str) -> None:
        self.side.opened -= 1
        out, link.out = link.out, {}
        ending = BINARY_ENDINGS.get((why, None), Ending.BROKEN)
        for call in out.values():
            call.link = None
            self.finish(call, ending if call.written else BINARY_ENDINGS["not sent", None], api.Load())
        tests, link.tests = link.tests, {}
        for test in tests.values():
            test.timer.cancel()
            took = max(0, self.side.now() - test.began)
            self.side.ear.probed(self.number, Ending.BROKEN, took, api.Load())
        said, link.said = link.said, deque(maxlen=CARRIED)
        for at, data in said if why == "connection lost" else ():
            if self.side.now() - at < CROSSING:
                self.tell(data)
        if why == "connection lost" and self.stands() and not self.coming:
            # Danger: a process that dies may reset one connection at once and another seconds later.
            self.dial()
        self.keep_reachable()

    def stands(self) -> bool:
        """Whether something plays here."""
        return any(call.one.state == "flowing" for call in self.calls.values())

    def keep_reachable(self) -> None:
        """What stands here is told of on any connection: there has to be one."""
        if self.stands():
            if not self.links and not self.coming:
                self.dial()
                if not self.listed:
                    self.cut("not listed")
        elif not self.listed and not self.calls:
            for link in list(self.links):
                link.close("retired")

    # Set-ups.

    def take(self, call: Call) -> None:
        self.calls[call.session] = call
        link = self.choose(call.one.playback.number)
        if link is not None:
            self.send(link, call)
        elif self.side.room() or self.coming:
            self.waiting.append(call)
            if self.side.room():
                self.dial()
        else:
            self.finish(call, BINARY_ENDINGS["not sent", None], api.Load())

    def send(self, link: Link, call: Call) -> None:
        """Send it there, once what its viewer has written by now has been read."""
        call.link = call.origin = link
        link.out[call.session] = call
        link.carried.append(call.one.playback.number)
        if self.side.ear.unread(call.one):
            self.side.after_reading(lambda: self.write(link, call))
        else:
            self.write(link, call)

    def write(self, link: Link, call: Call) -> None:
        one, now = call.one, self.side.now()
        if call.link is not link or not self.side.ear.wanted(one):
            return  # it has ended
        if now >= one.due:
            self.finish(call, BINARY_ENDINGS["not sent", None], api.Load())
            return
        _, plan, title, description = call.sent
        call.written = True
        link.write(
            frames.frame(
                frames.SETUP,
                call.session,
                {
                    frames.CLASS: plan,
                    frames.WAIT: str((one.due - now) // MS).encode(),
                    frames.TITLE: title,
                    frames.RUNG: str(one.rung).encode(),
                    frames.DESCRIPTION: description,
                },
            )
        )

    def forget(self, call: Call) -> None:
        if self.calls.get(call.session) is call:
            del self.calls[call.session]
        if call in self.waiting:
            self.waiting.remove(call)
        call.one.handle = None  # or the two would hold each other until the collector comes
        call.origin = None
        link, call.link = call.link, None
        if link is not None:
            if link.out.get(call.session) is call:
                del link.out[call.session]
            if link.state == "leaving":
                link.retire()

    def finish(self, call: Call, ending: Ending, load: api.Load) -> None:
        if self.calls.get(call.session) is call:
            self.forget(call)
            self.side.ear.ended(call.one, ending, load)

    def give_up(self, call: Call) -> None:
        """The driver has ended the try."""
        link = call.link
        late = self.side.now() >= call.one.due
        self.forget(call)
        if link is not None and call.written:
            link.write(frames.release(call.session))
            if late:
                # Danger: what answers nothing may answer nothing else on that connection either.
                link.retire()
        elif call.stood:
            self.tell(frames.release(call.session))

    def spares(self, link: Link) -> bool:
        """Whether it carries nothing, and is not the last that could tell of what stands here."""
        return not link.out and not link.tests and not (len(self.links) == 1 and self.stands())

    def tell(self, data: bytes) -> None:
        """Send what concerns something that stands, on any connection."""
        links = self.open_links() or [link for link in self.links if link.state == "leaving" and link.usable]
        if links:
            links[0].say(data)
        elif self.listed:
            self.backlog.append(data)
            if not self.coming:
                self.dial()

    # Messages.

    def heard_message(self, link: Link, message: Frame) -> None:
        self.heard = self.side.now()
        self.failures = 0
        found = HEARD.get(message.kind)
        if found is not None:
            found(self, link, message)

    def _answered(self, link: Link, message: Frame) -> None:
        call = link.out.pop(message.session, None)
        if call is None:
            return  # a second copy, or one ahead of its set-up
        call.link = None
        if message.description is None:
            self.forget(call)
            self.side.ear.remark(f"host {self.name}: an answer without a description")
            link.write(frames.release(call.session))
            self.side.ear.ended(call.one, BINARY_ENDINGS["not understood", None], api.Load())
        else:
            call.description, call.stood = message.description, True
            self.side.ear.flowing(call.one)
        if link.state == "leaving":
            link.retire()

    def _released(self, link: Link, message: Frame) -> None:
        call = self.calls.get(message.session)
        if call is None:
            return
        cause, load = message.cause, message.load(self.side.wired.report)
        if call.one.state == "flowing":
            # Danger: what answers an earlier attempt may be said twice, late; what plays now plays on.
            refusal = cause not in BINARY_ENDS and ("release", cause) in BINARY_ENDINGS
            earlier = (
                call.origin in self.links
                and link is not call.origin
                and call.one.playback.number in link.carried
            )
            if not refusal and not earlier:
                self.finish(call, BINARY_ENDS.get(cause, BINARY_ENDS[None]), load)
        elif call.link is link:
            none = BINARY_ENDINGS["release", None]
            self.finish(call, BINARY_ENDINGS.get(("release", cause), none), load)

    def _noted(self, link: Link, message: Frame) -> None:
        call, note = self.calls.get(message.session), message.note
        if call is not None and note is not None:
            self.side.ear.noted(call.one, *note)

    def _ponged(self, link: Link, message: Frame) -> None:
        test = link.tests.pop(message.session, None)
        if test is not None:
            test.timer.cancel()
            ending = Ending.SERVED if message.cause == 1 else Ending.ERROR
            load = message.load(self.side.wired.report)
            self.side.ear.probed(self.number, ending, max(0, self.side.now() - test.began), load)
        if link.state == "leaving":
            link.retire()

    # Tests.

    def test(self, session: int) -> None:
        links = self.open_links()
        if links:
            self._test_on(min(links, key=lambda link: len(link.out)), session, self.side.now())
        elif self.side.room() or self.coming:
            self.tests.append((session, self.side.now()))
            if not self.coming:
                self.dial()
        else:
            self.side.later(0, lambda: self.side.ear.probed(self.number, Ending.MOOT, 0, api.Load()))

    def _test_on(self, link: Link, session: int, began: int) -> None:
        left = self.side.wired.connect - (self.side.now() - began)
        timer = self.side.later(max(0, left), lambda: self._test_late(link, session))
        link.tests[session] = Test(began, timer)
        link.write(frames.frame(frames.PING, session, {frames.CAUSE: b"\x01"}))

    def _test_late(self, link: Link, session: int) -> None:
        test = link.tests.pop(session, None)
        if test is not None:
            link.retire()
            took = max(0, self.side.now() - test.began)
            self.side.ear.probed(self.number, Ending.TIMEOUT, took, api.Load())

    def watch(self, now: int) -> None:
        """Called now and then: what is stuck or silent is seen here."""
        for link in list(self.links):
            if link.stuck_since and now - link.stuck_since >= self.side.wired.connect:
                link.close("not understood")
        if not self.stands():
            self.heard = now
        elif not self.links and not self.coming:
            # Danger: the list may have dropped it while a connection was still hoped for.
            self.keep_reachable()
        elif now - self.heard >= SILENT and not self.coming:
            self.dial()
        for link in self.open_links():
            if not self.fresh(link, now) and self.spares(link):
                link.close("retired")


HEARD: dict[int, Callable[[MediaHost, Link, Frame], None]] = {
    frames.ANSWER: MediaHost._answered,
    frames.RELEASE: MediaHost._released,
    frames.NOTE: MediaHost._noted,
    frames.PONG: MediaHost._ponged,
}


class HostsSide:
    """All hosts."""

    def __init__(self, wired: Wired, ear: Ear, now: Callable[[], int]) -> None:
        self.wired, self.ear, self.now = wired, ear, now
        self._loop = asyncio.get_running_loop()
        self.hosts: dict[int, MediaHost] = {}
        self.opened = 0
        self._sessions = 0
        self._closed = False
        self._turning: list[MediaHost] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch()

    def keep(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run this beside the rest."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def later(self, after: int, work: Callable[[], object]) -> asyncio.TimerHandle:
        """Call after so many nanoseconds."""
        return self._loop.call_later(after / 1e9, work)

    def after_reading(self, work: Callable[[], object]) -> None:
        """Call once all has been read that has come in by now."""
        # The loop polls its sockets before the first of the two, and reads them before the second.
        self._loop.call_soon(self._loop.call_soon, work)

    def room(self) -> bool:
        """Whether there is a descriptor for one more connection, if need be that of an idle one elsewhere."""
        if self.opened < self.wired.most:
            return True
        idle = [link for host in self.hosts.values() for link in host.open_links() if host.spares(link)]
        if idle:
            min(idle, key=lambda link: link.used).close("retired")
        return bool(idle)

    def listed(self, entries: list[Entry], gone: Callable[[Entry], bool]) -> None:
        """The list has changed so; `turn_away` follows once the decisions know."""
        for entry in entries:
            host = self.hosts.get(entry.number)
            if gone(entry):
                if host is not None:
                    self._turning.append(host)
                    host.dismiss("not listed")
                continue
            if host is None or host.address != entry.address:
                if host is not None:
                    self._turning.append(host)
                    host.dismiss("at another address")
                host = self.hosts[entry.number] = MediaHost(self, entry.number, entry.name, entry.address)
            host.listed = True
            host.draining = entry.standing is Standing.DRAINING
            if host.draining:
                self._turning.append(host)

    def turn_away(self) -> None:
        """Once the decisions have heard of the list: nothing new to hosts that drain or are gone."""
        turning, self._turning = self._turning, []
        for host in turning:
            host.turn_away()
        for number, host in list(self.hosts.items()):
            if not host.listed and not host.calls and not host.links and not host.coming:
                del self.hosts[number]

    def restarted(self, number: int, at: int) -> None:
        """A host has started again: what stood there before is over."""
        host = self.hosts.get(number)
        if host is not None:
            for call in [one for one in host.calls.values() if one.one.sent_at < at]:
                # Danger: what was meant for the warm process may be too much for the cold one.
                unsent = not call.written and not call.stood
                host.finish(call, BINARY_ENDINGS["not sent", None] if unsent else BINARY_ENDS[41], api.Load())

    def open_try(self, one: Try, sent: Sent) -> None:
        """Send a set-up."""
        host = self.hosts.get(one.host)
        if host is None or not host.listed:
            self.ear.ended(one, BINARY_ENDINGS["not sent", None], api.Load())
            return
        one.handle = call = Call(one, host, sent)
        host.take(call)

    def stands(self, one: Try, sent: Sent) -> None:
        """What an earlier life of this gateway set up."""
        host = self.hosts.get(one.host)
        if host is None:
            self.ear.ended(one, BINARY_ENDS[41], api.Load())
            return
        one.handle = host.calls[sent.session] = call = Call(one, host, sent)
        call.stood = True
        host.keep_reachable()

    def close_try(self, one: Try) -> None:
        """The driver has ended the try."""
        if isinstance(one.handle, Call):
            one.handle.host.give_up(one.handle)

    def change_rung(self, one: Try, rung: int) -> None:
        """Tell the host."""
        call = one.handle
        if isinstance(call, Call):
            one.rung = rung
            call.host.tell(frames.frame(frames.RATE, call.session, {frames.RUNG: str(rung).encode()}))

    def probe(self, number: int) -> None:
        """Look after a host."""
        host = self.hosts.get(number)
        if host is None or not host.listed:
            self.later(0, lambda: self.ear.probed(number, Ending.NO_CONNECTION, 0, api.Load()))
            return
        self._sessions += 1
        host.test(self._sessions)

    def close(self) -> None:
        """Close every connection, and dial no more."""
        self._closed = True
        for host in self.hosts.values():
            host.listed = False
            for link in list(host.coming):
                link.drop()
            for link in list(host.links):
                link.close("retired")
        for task in self._tasks:
            task.cancel()

    def _watch(self) -> None:
        if self._closed:
            return
        now = self.now()
        for host in list(self.hosts.values()):
            host.watch(now)
        self.later(self.wired.connect, self._watch)
