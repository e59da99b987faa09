"""The media hosts' side: connections, set-ups on them, what stands, tests. Nothing is decided here but which
connection carries what; how it ended is said by the table of endings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from burlmast import api
from burlmast.api import Ending, News, Standing
from burlmast.edge.driver import Try
from burlmast.edge.endings import BINARY_ENDINGS, BINARY_ENDS
from burlmast.node import frames
from burlmast.node.frames import Frame, FrameReader
from burlmast.node.names import Entry

MS = 1_000_000
# What stands and is over has to be released within 8 s of its end where nobody says so: the platform's word.
# A host that was silent for half of that is dialled; two failures in a row, and it is gone.
SILENT = 4_000 * MS
GONE_AFTER = 2
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

    def remark(self, text: str) -> None:
        """A line for the log."""


class Call:
    """A set-up as it is at the host."""

    __slots__ = ("description", "host", "link", "one", "sent", "session")

    def __init__(self, one: Try, host: MediaHost, sent: Sent) -> None:
        self.one, self.host, self.sent, self.session = one, host, sent, sent.session
        self.link: Link | None = None  # the connection that carries it while it is out
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state == "coming":
            self.state = "open"
            self.host.came_up(self)
        else:
            transport.abort()

    def get_buffer(self, sizehint: int) -> bytearray:
        return BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.state == "closed":
            return
        found, wrong = self.reader.feed(bytes(memoryview(BUFFER)[:nbytes]))
        self.stuck_since = self.host.side.now() if self.reader.partial else 0
        for one in found:
            self.host.heard_message(self, one)
        if wrong is not None:
            self.host.side.ear.remark(f"host {self.host.name}: {wrong}")
            self.close("not understood")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.close("connection lost")

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self, why: str) -> None:
        """What is out on it has ended so; what stands belongs to no connection."""
        if self.state == "closed":
            return
        self.state = "closed"
        self.host.links.discard(self)
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
        self.links: set[Link] = set()  # never walked where order shows
        self.calls: dict[int, Call] = {}
        self.waiting: list[Call] = []  # for a connection
        self.tests: list[tuple[int, int]] = []  # tests that wait for one, and since when
        self.backlog: list[bytes] = []  # messages on what stands that wait for one
        self.coming = 0
        self.heard = side.now()
        self.failures = 0

    # Connections.

    def open_links(self) -> list[Link]:
        return [link for link in self.links if link.state == "open"]

    def choose(self) -> Link | None:
        """A connection with nothing out on it, so that one spoilt answer costs one set-up.

        Where there is no room for another, the one that carries least."""
        links = self.open_links()
        free = [link for link in links if not link.out]
        if free:
            return free[0]
        if self.side.room() or not links:
            return None
        least = min(links, key=lambda link: len(link.out))
        return least if len(least.out) < self.side.wired.streams else None

    def dial(self) -> None:
        if not self.listed:
            return
        self.coming += 1
        self.side.opened += 1
        self.side.keep(self._dial())

    async def _dial(self) -> None:
        link = Link(self)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.side.wired.connect / 1e9):
                await loop.create_connection(lambda: link, *self.address)
        except (OSError, TimeoutError) as why:
            link.state = "closed"
            self.coming -= 1
            self.side.opened -= 1
            self.unreachable(isinstance(why, ConnectionRefusedError))

    def came_up(self, link: Link) -> None:
        self.coming -= 1
        self.links.add(link)
        self.failures = 0
        self.heard = self.side.now()
        for data in self.backlog:
            link.write(data)
        self.backlog.clear()
        tests, self.tests = self.tests, []
        for session, began in tests:
            self._test_on(link, session, began)
        # One set-up to a connection; those that came in the meantime have connections of their own coming.
        while self.waiting and (not link.out or not self.coming):
            self.send(link, self.waiting.pop(0))

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
            self.finish(call, ending, api.Load())
        tests, link.tests = link.tests, {}
        for test in tests.values():
            test.timer.cancel()
            took = max(0, self.side.now() - test.began)
            self.side.ear.probed(self.number, Ending.BROKEN, took, api.Load())
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
        link = self.choose()
        if link is not None:
            self.send(link, call)
        elif self.side.room() or self.coming:
            self.waiting.append(call)
            if self.side.room():
                self.dial()
        else:
            self.finish(call, BINARY_ENDINGS["not sent", None], api.Load())

    def send(self, link: Link, call: Call) -> None:
        one = call.one
        left = max(0, one.due - self.side.now()) // MS
        _, plan, title, description = call.sent
        call.link = link
        link.out[call.session] = call
        link.write(
            frames.frame(
                frames.SETUP,
                call.session,
                {
                    frames.CLASS: plan,
                    frames.WAIT: str(left).encode(),
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
        link, standing = call.link, call.link is None and call not in self.waiting
        late = not standing and self.side.now() >= call.one.due
        self.forget(call)
        if link is not None:
            link.write(frames.release(call.session))
            if late:
                # Danger: what answers nothing may answer nothing else on that connection either.
                link.retire()
        elif standing:
            self.tell(frames.release(call.session))

    def tell(self, data: bytes) -> None:
        """Send what concerns something that stands, on any connection."""
        links = self.open_links() or [link for link in self.links if link.state == "leaving"]
        if links:
            links[0].write(data)
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
            call.description = message.description
            self.side.ear.flowing(call.one)
        if link.state == "leaving":
            link.retire()

    def _released(self, link: Link, message: Frame) -> None:
        call = self.calls.get(message.session)
        if call is None:
            return
        cause, load = message.cause, message.load(self.side.wired.report)
        if call.one.state == "flowing":
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
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch()

    def keep(self, work: asyncio._CoroutineLike[None]) -> None:
        """Run this beside the rest."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def later(self, after: int, work: Callable[[], object]) -> asyncio.TimerHandle:
        """Call after so many nanoseconds."""
        return self._loop.call_later(after / 1e9, work)

    def room(self) -> bool:
        """Whether there is a descriptor for one more connection."""
        return self.opened < self.wired.most

    def listed(self, entries: list[Entry], gone: Callable[[Entry], bool]) -> None:
        """The list has changed so."""
        for entry in entries:
            host = self.hosts.get(entry.number)
            if gone(entry):
                if host is not None:
                    host.listed = False
                    # Danger: a machine that goes for good says nothing, and its connections stay open.
                    host.cut("not listed")
                    host.keep_reachable()
            elif host is None or host.address != entry.address:
                if host is not None:
                    host.listed = False
                    host.cut("at another address")
                self.hosts[entry.number] = MediaHost(self, entry.number, entry.name, entry.address)
            if entry.number in self.hosts:
                self.hosts[entry.number].draining = entry.standing is Standing.DRAINING
        for number, host in list(self.hosts.items()):
            if not host.listed and not host.calls and not host.links and not host.coming:
                del self.hosts[number]

    def restarted(self, number: int, at: int) -> None:
        """A host has started again: what stood there before is over."""
        host = self.hosts.get(number)
        if host is not None:
            for call in [one for one in host.calls.values() if one.one.sent_at < at]:
                host.finish(call, BINARY_ENDS[41], api.Load())

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
        one.handle = host.calls[sent.session] = Call(one, host, sent)
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
