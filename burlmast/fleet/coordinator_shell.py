"""A desk as a process: its listener, its disk and its calls to the other desks. What it answers is decided
in `register`, `orders` and `lease`."""

from __future__ import annotations

import asyncio
import math
import secrets
import sqlite3
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol, TypeVar

import msgspec
import structlog

from burlmast.fleet import going, orders, register
from burlmast.fleet.agreed_shell import AgreedValue, NoMajority
from burlmast.fleet.clock_shell import Clocks
from burlmast.fleet.coordinator_store import CoordinatorStore
from burlmast.fleet.lease import Ask, CoordinatorLeases
from burlmast.fleet.members import Members
from burlmast.fleet.members_shell import Mingling
from burlmast.fleet.messages import (
    LIVES_ASKED,
    Accept,
    Begin,
    Heartbeat,
    HeartbeatReply,
    Lives,
    Member,
    Prepare,
    Rows,
    Since,
    Status,
    Wanted,
)
from burlmast.fleet.orders import Book, Refused
from burlmast.fleet.register import Answer, Kept
from burlmast.fleet.sight import Sight
from burlmast.fleet.stamp import canonical, digest
from burlmast.http1.client import Address, Pool, Whole
from burlmast.http1.messages import split_address
from burlmast.http1.server import BodyBudget, Bounds, Exchange, Server
from burlmast.settings.read import BadSettings, parse
from burlmast.settings.sheets import Deployment

JSON = ((b"content-type", b"application/json"),)
BODY = 8 << 20  # bytes of one request
# Bytes of all unfinished bodies together, and of each what is not counted: heartbeats are always taken.
BODIES, BODY_FREE = 4 * BODY, 32 * 1024
FORGOTTEN = 3600 * 1_000_000_000  # nanoseconds after which a life that is not heard is shown no more
BEATS_HEARD = 3  # that a desk alone on a blank disk listens for gateways that know a book
REMOVED_AT_ONCE = 250  # rows kept no more that leave the disk in one piece: some milliseconds
REMOVED_PIECES = 8  # a beat, so that a store which is behind catches up
OVER = "done", "given up"  # states of releases
PEERS = 8  # gateways that an answer names
Words = TypeVar("Words")
Done = TypeVar("Done")


class Leads(Protocol):
    """The desk's part in drains and releases."""

    waits: dict[int, str]

    @property
    def leads(self) -> bool:
        """Whether this desk leads them."""

    async def run(self) -> None:
        """Until cancelled."""

    async def take(self, path: str, body: bytes) -> Callable[[Book], Book] | None:
        """The change that an operator's word asks for, None where the path is not for this. Raises Refused,
        NoMajority, msgspec.MsgspecError."""

    def recovered(self, book: Book) -> Book:
        """A book found at gateways after all desks lost their disks, as it is gone on with."""

    def shows(self, path: str) -> object | None:
        """What is to be seen under a path, None where nothing is."""


class Catalogue(Protocol):
    """The desk's part in the catalogue of shards."""

    @property
    def told(self) -> tuple[str, int]:
        """What replies to heartbeats say: its name, and the revision that this desk has."""

    @property
    def blind(self) -> str:
        """Why this desk does not know which cells hold what, in one line; "" where it does."""

    @property
    def spread(self) -> tuple[tuple[str, int, int], ...]:
        """What is held by which cells: a name for it, the first cell, how many in a row."""

    async def run(self) -> None:
        """Until cancelled."""

    def application(self, exchange: Exchange, path: str) -> bool:
        """Answer, if this is for the catalogue."""

    def begin(self) -> None:
        """The fleet begins here. Raises sqlite3.Error, OSError."""

    def close(self) -> None:
        """Let go of its file."""


class Coordinator:
    """One desk. Made on a running loop."""

    keeper: Leads | None = None
    catalogue: Catalogue | None = None

    def __init__(
        self, deployment: Deployment, number: int, desks: list[Address | None], folder: Path, clocks: Clocks
    ) -> None:
        """`desks` are all of them in their order, this one among them. Raises OSError, sqlite3.Error."""
        self.deployment, self.number, self.desks, self.clocks = deployment, number, desks, clocks
        self.log = structlog.get_logger().bind(desk=number)
        self.store = CoordinatorStore(folder)
        if self.store.damaged:
            self.log.error("laid aside, damaged", file=self.store.damaged)
        self.learned = Book()
        terms = deployment.edge.fleet
        self.leases = CoordinatorLeases(clocks.steady(), deployment.gateways, terms.drift, self.store.floor())
        self.leases.lost(self.store.least())
        self.beat_s = terms.beat_ms / 1000
        self.members: dict[tuple[int, str], tuple[int, Heartbeat]] = {}
        self.sight = Sight(secrets.token_hex(8), int(terms.out.silent_beats * terms.beat_ms * 1e6))
        self._accepted = b"", Book()  # the register's value here, and as read
        self.pool = Pool(connect_s=min(0.5, self.beat_s))
        self.agreed = AgreedValue(
            "/fleet/v1",
            number,
            len(desks),
            self.beat_s,
            self.store.register(),
            self.store.keep_register,
            lambda other, path, body: self.call(other, path, body, Answer),
        )
        self.server = Server(
            self.application, Bounds(body=BODY, body_free=BODY_FREE, idle_s=120.0), BodyBudget(BODIES)
        )
        self.loop = asyncio.get_running_loop()
        self._reads = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self.mingling: Mingling | None = None
        self._stores: dict[int, str] = {}  # of the other desks, by their names
        self.waits = ""
        self.begins = False  # alone, on a blank disk: as the book that gateways know, or as a new fleet

    async def start(self, host: str, port: int) -> int:
        """Listen; the port. Raises OSError."""
        found = await self.server.listen(host, port)
        terms = self.deployment.edge.fleet
        members = Members(
            f"desk.{self.number}",
            f"{host}:{found}",
            self.clocks.steady(),
            int(terms.probe_ms * 1e6),
            terms.probes,
            self.number,
            lambda text: self.log.info("member", what=text),
        )
        words = self.pool, self.beat_s, self.clocks.steady, self.spawn
        self.mingling = Mingling(members, self, *words)
        for desk, address in enumerate(self.desks):
            if address is not None:
                self.mingling.met(f"desk.{desk}", address)
        self.spawn(self.mingling.run())
        self.spawn(self._look_after())
        if self.keeper is not None:
            self.spawn(self.keeper.run())
        if self.catalogue is not None:
            self.spawn(self.catalogue.run())
        self.log.info("started", port=found, voting=self.kept.voting)
        return found

    def spawn(self, work: Any) -> None:
        """See that it is done; it ends with the desk."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop."""
        for task in list(self._tasks):
            task.cancel()
        self.server.close()
        self.pool.close()
        self.store.close()
        if self.catalogue is not None:
            self.catalogue.close()

    # Requests.

    def application(self, exchange: Exchange) -> None:
        """Answer a gateway, a desk or an operator."""
        path = exchange.target.split(b"?", 1)[0].decode("ascii", "replace")
        post: dict[str, Callable[[Exchange, bytes], None]] = {
            "/fleet/v1/hello": self._heartbeat,
            "/fleet/v1/prepare": self._prepare,
            "/fleet/v1/accept": self._accept,
            "/fleet/v1/learn": self._learn,
            "/fleet/v1/settings": self._put_settings,
            "/fleet/v1/rows": self._rows,
            "/fleet/v1/removed": self._removed,
            "/fleet/v1/order": self._order,
            "/fleet/v1/begin": self._begin,
            "/fleet/v1/word": self._word,
        }
        if self.catalogue is not None and self.catalogue.application(exchange, path):
            return
        if exchange.method == b"POST" and path in post:
            take = post[path]
            exchange.collect(BODY, lambda body: self.guarded(exchange, take, body))
        elif exchange.method == b"POST" and self.keeper is not None:
            exchange.collect(BODY, lambda body: self.guarded(exchange, self._say(path), body))
        elif exchange.method != b"GET":
            exchange.refuse(405 if path in post else 404, "there is nothing here for that method")
        elif path.startswith("/fleet/v1/settings/"):
            body = self.store.settings(path.rpartition("/")[2])
            if body is None:
                exchange.refuse(404, "these settings are not here")
            else:
                exchange.respond(200, JSON, body)
        elif path == "/fleet/v1/book":
            exchange.json(200, self.learned)
        elif path == "/fleet/v1/status":
            exchange.json(200, self.status())
        elif path == "/fleet/v1/contradictions":
            exchange.json(200, self.store.contradictions())
        else:
            shown = self.keeper.shows(path) if self.keeper is not None else None
            if shown is None:
                exchange.refuse(404, "there is nothing here")
            else:
                exchange.json(200, shown)

    def guarded(self, exchange: Exchange, take: Callable[[Exchange, bytes], None], body: bytes) -> None:
        """Take a body; what goes wrong is answered."""
        try:
            take(exchange, body)
        except (msgspec.MsgspecError, RecursionError) as why:
            exchange.refuse(400, f"not understood: {why}")
        except Refused as why:
            exchange.refuse(409, str(why))
        except (sqlite3.Error, OSError) as why:
            # Danger: what is not on the disk must not be answered as if it were.
            self.log.error("the disk does not take it", why=str(why))
            exchange.refuse(507, f"this desk's disk: {why}")

    def _heartbeat(self, exchange: Exchange, body: bytes) -> None:
        heartbeat: Heartbeat = msgspec.json.decode(body, type=Heartbeat)
        if heartbeat.fleet and self.learned.fleet and heartbeat.fleet != self.learned.fleet:
            exchange.refuse(409, f"this is fleet {self.learned.fleet}, not {heartbeat.fleet}")
            return
        now = self.clocks.steady()
        ask = heartbeat.ask
        if heartbeat.rows:
            self.store.take(heartbeat.rows)
        known = self.members.get((ask.gateway, ask.life))
        if known is None or known[1].ask.count < ask.count:  # a late word undoes nothing
            self.members[ask.gateway, ask.life] = now, heartbeat
        self.sight.hear(now, heartbeat)
        if self.mingling is not None and heartbeat.operators:
            self.mingling.met(f"{ask.gateway}.{ask.life}", split_address(heartbeat.operators))
        if not self.kept.voting:
            exchange.refuse(503, "this desk's disk is blank; it waits to be filled")
            return
        floor = self.leases.floor
        given = self.leases.take(now, ask, orders.called(self.learned))
        if self.leases.floor != floor:
            self.store.keep_floor(self.leases.floor)
        if ask.epoch >= self.leases.floor:
            self.waits = given.why  # empty once the newest epoch is given
        have = {life: self.store.upto(life) for life in heartbeat.has}
        book = self.learned if self.learned.at > heartbeat.book or not heartbeat.fleet else None
        taken = self.accepted
        lets = (
            orders.lets(taken, ask.gateway, heartbeat.wants[0]),
            going.lets(taken.outs, ask.gateway, heartbeat.away.disk, heartbeat.wants[1]),
        )
        token = self.sight.token(now)
        shards = self.catalogue.told if self.catalogue is not None else ("", 0)
        exchange.json(200, HeartbeatReply(given, book, have, self._peers(now, ask), lets, token, shards))

    @property
    def kept(self) -> Kept:
        """The registry's register, as this disk has it."""
        return self.agreed.kept

    @property
    def accepted(self) -> Book:
        """What this desk has accepted for the register itself; a majority of such answers is never behind
        what a majority has taken."""
        if self._accepted[0] is not self.kept.value:
            self._accepted = self.kept.value, orders.read_book(self.kept.value)
        return self._accepted[1]

    def _peers(self, now: int, ask: Ask) -> tuple[tuple[int, str, str], ...]:
        """Others that a gateway may not know, a few an answer and others with each, so that what is sent does
        not grow with the fleet."""
        lately = now - int(10 * self.beat_s * 1e9)
        there = [
            (number, life, heartbeat.operators)
            for (number, life), (at, heartbeat) in sorted(self.members.items())
            if at >= lately and heartbeat.operators
        ]
        if len(there) <= PEERS:
            return tuple(there)
        first = (ask.count * PEERS + ask.gateway) % len(there)
        return tuple((there + there)[first : first + PEERS])

    def _prepare(self, exchange: Exchange, body: bytes) -> None:
        words: Prepare = msgspec.json.decode(body, type=Prepare)
        exchange.json(200, self.agreed.prepare(words.ballot))

    def _accept(self, exchange: Exchange, body: bytes) -> None:
        words: Accept = msgspec.json.decode(body, type=Accept)
        exchange.json(200, self.agreed.accept(words.ballot, words.value))

    def _learn(self, exchange: Exchange, body: bytes) -> None:
        self._learned(orders.read_book(body))
        exchange.json(200, {"book": self.learned.number})

    def _word(self, exchange: Exchange, body: bytes) -> None:
        if self.mingling is not None:
            self.mingling.take(exchange, body)

    @property
    def book(self) -> Book:
        """The orders as this desk has learned them."""
        return self.learned

    def hear(self, book: Book) -> None:
        """A book that another member knows; it was taken by a majority, or nobody would know it."""
        # Gateways are not told of each move of the lead: theirs may be the same revision, and behind in that.
        if book.fleet == self.learned.fleet and book.at > self.learned.at:
            self._learned(book)

    def _learned(self, book: Book) -> None:
        if book.moved > self.learned.moved or (book.fleet and not self.learned.fleet):
            if book.number != self.learned.number or not self.learned.fleet:
                self.log.info("has a book of orders", fleet=book.fleet, order=book.number)
            self.learned = book

    def _put_settings(self, exchange: Exchange, body: bytes) -> None:
        exchange.json(200, {"digest": self._keep_settings(body)})

    def _keep_settings(self, body: bytes) -> str:
        try:
            found = parse(body.decode("utf-8"))
        except (BadSettings, UnicodeDecodeError) as why:
            raise Refused(str(why)) from None
        plain, name = canonical(found), digest(found)
        self.store.keep_settings(name, plain)
        return name

    def _rows(self, exchange: Exchange, body: bytes) -> None:
        since: Since = msgspec.json.decode(body, type=Since)
        rows, upto = self.store.since(since.after if since.store == self.store.name else 0)
        removed, pages = self.store.removed(row.life for row in rows)
        before = self.store.removed_before
        exchange.json(200, Rows(tuple(rows), self.store.name, upto, removed, tuple(pages), before))

    def _removed(self, exchange: Exchange, body: bytes) -> None:
        lives: Lives = msgspec.json.decode(body, type=Lives)
        exchange.json(200, self.store.removed(lives.lives[:LIVES_ASKED])[0])

    def _order(self, exchange: Exchange, body: bytes) -> None:
        wanted: Wanted = msgspec.json.decode(body, type=Wanted)
        mine = lambda book: next((one for one in book.orders if one.request == wanted.request), None)  # noqa: E731
        self.spawn(self.answer(exchange, self.order(wanted), mine))

    def _say(self, path: str) -> Callable[[Exchange, bytes], None]:
        """An operator's word on drains and releases."""

        async def changed(body: bytes) -> Book:
            change = await self.keeper.take(path, body) if self.keeper is not None else None
            if change is None:
                raise Refused(f"there is nothing at {path}")
            return await self.change(change)

        def take(exchange: Exchange, body: bytes) -> None:
            self.spawn(self.answer(exchange, changed(body), lambda book: book))

        return take

    async def answer(self, exchange: Exchange, work: Awaitable[Done], told: Callable[[Done], object]) -> None:
        """Answer with what comes of a change, or why nothing does."""
        try:
            done = await work
        except (msgspec.MsgspecError, RecursionError) as why:
            exchange.refuse(400, f"not understood: {why}")
        except Refused as why:
            exchange.refuse(409, str(why))
        except NoMajority as why:
            exchange.refuse(503, str(why))
        except (sqlite3.Error, OSError) as why:
            exchange.refuse(507, f"this desk's disk: {why}")
        else:
            exchange.json(200, told(done))

    def _begin(self, exchange: Exchange, body: bytes) -> None:
        book: Book = msgspec.json.decode(body, type=Begin).book
        if self.kept.voting:
            raise Refused(f"this desk belongs to fleet {self.learned.fleet or '(not heard yet)'} already")
        self._begins(book)
        exchange.json(200, self.learned)

    def _begins(self, book: Book) -> None:
        if self.catalogue is not None:
            self.catalogue.begin()
        self._votes(register.begin(self.kept, orders.write_book(book)))
        self._learned(book)

    def _votes(self, kept: Kept) -> None:
        """A blank disk is filled; from now on this desk votes and gives leases."""
        epoch = orders.read_book(kept.value).epoch
        self.store.keep_least(epoch)
        self.agreed.hold(kept)
        self.leases.lost(epoch)

    def status(self) -> Status:
        """All that this desk knows."""
        now = self.clocks.steady()
        members = tuple(
            Member(
                number,
                life,
                heartbeat.operators,
                heartbeat.stamp,
                heartbeat.state,
                heartbeat.why,
                heartbeat.stamp.order,
                heartbeat.fresh,
                heartbeat.left,
                round((now - at) / 1e9, 3),
                heartbeat.acts,
                heartbeat.away.state,
            )
            for (number, life), (at, heartbeat) in sorted(self.members.items())
        )
        return Status(
            self.number,
            len(self.desks),
            self.kept.voting,
            self.leases.floor,
            self.learned,
            members,
            self.store.rows,
            self.store.contradicting(),
            self.waits,
            self.mingling.states() if self.mingling is not None else {},
            dict(self.keeper.waits) if self.keeper is not None else {},
            self.keeper.leads if self.keeper is not None else False,
            self.store.removed_before,
        )

    # Changes.

    async def order(self, wanted: Wanted) -> Book:
        """Give an order. Raises Refused, NoMajority."""
        terms = self.deployment.edge.fleet
        if wanted.undo:
            return await self.change(
                lambda book: orders.withdraw(book, wanted.undo, wanted.request, self.clocks.wall())
            )
        name, found = await self.settings_kept(wanted.settings)
        order = orders.Order(
            0,
            wanted.request,
            name,
            found.edge.fleet.lease_ms,
            wanted.apart,
            wanted.part,
            wanted.without,
            wanted.within_ms or terms.within_ms,
            self.clocks.wall(),
        )
        return await self.change(lambda book: orders.give(book, order, wanted.after))

    async def settings_kept(self, text: str) -> tuple[str, Deployment]:
        """Settings that a majority of desks keeps from now on: their name, and as read. Raises Refused,
        NoMajority."""
        name = self._keep_settings(text.encode("utf-8"))
        found = parse(text)
        if found.gateways != self.deployment.gateways:
            raise Refused(
                f"they are for {found.gateways} gateways, and this fleet has {self.deployment.gateways}"
            )
        plain = self.store.settings(name) or b""
        kept = await self.everywhere("/fleet/v1/settings", plain)
        if 1 + sum(1 for one in kept if one is not None) < len(self.desks) // 2 + 1:
            raise NoMajority("a majority of desks does not keep the settings; nothing is ordered")
        return name, found

    async def change(self, change: Callable[[Book], Book]) -> Book:
        """Change the register's value; the book then, the same where `change` gives back what it was given.
        Raises Refused, NoMajority."""
        refused: list[Refused] = []
        found = [Book()]

        def apply(raw: bytes) -> bytes | None:
            refused.clear()
            book = orders.read_book(raw)
            if book.fleet == self.learned.fleet and book.moved < self.learned.moved:
                # A majority must know what one took; some disk went back, and what is known here stands.
                self.log.error("the register went back", to=book.moved, known=self.learned.moved)
                book = self.learned
            try:
                found[0] = change(book)
            except Refused as why:
                refused.append(why)
                return None
            # Danger: a book that one desk alone has taken may come to nothing. Unless it is known to be a
            # majority's it is said again, though nothing is changed.
            agreed = book.fleet == self.learned.fleet and book.moved <= self.learned.moved
            same = found[0] is book and orders.write_book(book) == raw
            return None if agreed and same else orders.write_book(found[0])

        one = await self.agreed.change(apply)
        if refused:
            raise refused[0]
        self._learned(found[0])
        if one.state == "done":
            self.spawn(self._tell(one.value))
        return found[0]

    async def _tell(self, value: bytes) -> None:
        await self.everywhere("/fleet/v1/learn", value)

    async def call(self, desk: int, path: str, body: bytes, kind: type[Words]) -> Words:
        """What another desk answers. Raises ConnectionError, TimeoutError, msgspec.MsgspecError."""
        address = self.desks[desk]
        if address is None:
            raise ConnectionError("no address")
        status, _, told = await Whole.of(
            self.pool, address, b"POST", path.encode(), JSON, body, within=self.beat_s
        )
        if status != 200:
            raise ConnectionError(f"status {status}")
        return msgspec.json.decode(told, type=kind)

    async def everywhere(self, path: str, body: bytes, enough: int | None = None) -> list[object | None]:
        """Tell all other desks; what each answered, None for nothing. With `enough`, only until so many have
        answered well: the others hear it all the same, and nobody waits for the slowest."""

        async def one(desk: int) -> object | None:
            try:
                return await self.call(desk, path, body, object)
            except (ConnectionError, TimeoutError, msgspec.MsgspecError):
                return None

        waiting: set[asyncio.Task[object | None]] = set()
        for desk in range(len(self.desks)):
            if desk != self.number:
                task = self.loop.create_task(one(desk))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                waiting.add(task)
        found: list[object | None] = []
        while waiting and (enough is None or sum(1 for told in found if told is not None) < enough):
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            found += [task.result() for task in done]
        return found

    # What it looks after by itself.

    async def _look_after(self) -> None:
        while True:
            # Danger: every restart of a gateway is another life, and they would pile up over the years.
            old = self.clocks.steady() - FORGOTTEN
            self.members = {key: one for key, one in self.members.items() if one[0] >= old}
            for work in (self._fill, self._read, self._sync_rows, self._sync_settings, self._ages):
                await self.quietly(work)
            await asyncio.sleep(self.beat_s * (0.75 + self.agreed.pause(0) / self.beat_s))

    async def quietly(self, work: Callable[[], Awaitable[object]]) -> None:
        """Do it; what goes wrong is logged, and tried again by who asked."""
        try:
            await work()
        except (ConnectionError, TimeoutError, NoMajority, Refused):
            pass  # the next beat tries again
        except (sqlite3.Error, OSError, msgspec.MsgspecError) as why:
            self.log.error("could not be looked after", what=work.__name__, why=str(why))

    async def _fill(self) -> None:
        """A blank disk is filled by the others: a ballot of its own that a majority of all promises."""
        if self.kept.voting:
            return
        if len(self.desks) == 1:
            await self._begin_alone()
            return
        kept = await self.agreed.fill()
        if kept is not None:
            self._votes(kept)
            self.log.warning("filled by the others", accepted=kept.accepted)

    def _gateways(self) -> list[Address]:
        return [
            split_address(heartbeat.operators)
            for _, heartbeat in self.members.values()
            if heartbeat.operators
        ]

    async def _begin_alone(self) -> None:
        """One desk on a blank disk: gateways that are of a fleet already know its book."""
        since = self.clocks.steady() - self.leases.began
        if not self.begins or since < BEATS_HEARD * self.beat_s * 1e9:
            return
        known = Book()
        for address in self._gateways():
            with suppress(ConnectionError, TimeoutError, Refused):
                _, _, told = await Whole.of(self.pool, address, b"GET", b"/fleet/v1/book", within=self.beat_s)
                known = max(known, orders.read_book(told), key=lambda one: (bool(one.fleet), one.at))
        if known.fleet:
            self.log.warning("goes on with the book of the gateways", fleet=known.fleet, order=known.number)
        known = self.keeper.recovered(known) if known.fleet and self.keeper is not None else known
        book = known if known.fleet else first_book(self.deployment, time.time_ns())
        self._begins(book)

    async def _read(self) -> None:
        """Learn what a majority holds, where this desk may have missed it."""
        held = orders.read_book(self.kept.value)
        if self.kept.voting and (held.moved > self.learned.moved or not self.learned.fleet):
            one = await self.agreed.change(lambda raw: raw)
            self._learned(orders.read_book(one.value))
        elif self.kept.voting and len(self.desks) > 1:
            desk = [one for one in range(len(self.desks)) if one != self.number]
            self._reads += 1
            other = desk[self._reads % len(desk)]
            address = self.desks[other]
            if address is not None:
                _, _, told = await Whole.of(self.pool, address, b"GET", b"/fleet/v1/book", within=self.beat_s)
                book = orders.read_book(told)
                if book.fleet == self.learned.fleet:
                    self._learned(book)

    async def _sync_rows(self) -> None:
        """Rows that another desk has and this one lacks."""
        for desk in range(len(self.desks)):
            if desk != self.number:
                store = self._stores.get(desk, "")
                words = msgspec.json.encode(Since(store, self.store.read_of(store)))
                try:
                    told = await self.call(desk, "/fleet/v1/rows", words, Rows)
                except (ConnectionError, TimeoutError):
                    continue
                self._stores[desk] = told.store
                if told.store == store and told.rows:  # else it is asked again from where it had been read
                    self.store.take(told.rows, told.store, told.upto, told.removed, told.pages)

    async def _ages(self) -> None:
        self.store.ages(self.clocks.steady(), self.clocks.wall())
        hours = math.ceil(24 * self.deployment.edge.fleet.keep_days)
        running = [one.get("number", 0) for one in self.learned.releases if one.get("state") not in OVER]
        for _ in range(REMOVED_PIECES if hours else 0):
            if self.store.remove(hours, REMOVED_AT_ONCE, running) < REMOVED_AT_ONCE:
                break
            await asyncio.sleep(0)  # heartbeats go between

    async def _sync_settings(self) -> None:
        """Settings that an order names and this disk lacks, from whoever has them."""
        names = {one.settings for one in self.learned.orders if one.settings}
        for name in sorted(one for one in names if self.store.settings(one) is None):
            others = [one for place, one in enumerate(self.desks) if place != self.number and one is not None]
            gateways = [
                split_address(heartbeat.operators)
                for _, heartbeat in self.members.values()
                if heartbeat.operators
            ]
            for address in [*others, *gateways]:
                target = f"/fleet/v1/settings/{name}".encode()
                try:
                    status, _, body = await Whole.of(self.pool, address, b"GET", target, within=self.beat_s)
                except (ConnectionError, TimeoutError):
                    continue
                if status == 200 and self._keep_settings(body) == name:
                    break


async def run(
    deployment: Deployment,
    number: int,
    desks: list[Address | None],
    listen: Address,
    folder: Path,
    clocks: Clocks,
    begin: bool,
    told: Callable[[dict[str, Any]], None],
    until: Callable[[], Awaitable[None]],
    keeper: Callable[[Coordinator], Leads],
    catalogue: Callable[[Coordinator], Catalogue] | None = None,
) -> int:
    """Run one desk until it is stopped; the exit code. `keeper` makes its part in drains and releases,
    `catalogue` that in the catalogue of shards. Raises OSError, sqlite3.Error."""
    desk = Coordinator(deployment, number, desks, folder, clocks)
    desk.keeper = keeper(desk)
    desk.catalogue = catalogue(desk) if catalogue is not None else None
    desk.begins = begin
    try:
        port = await desk.start(*listen)
        told({"ready": True, "desk": f"http://{listen[0]}:{port}", "number": number})
        await until()
        return 0
    finally:
        desk.close()
        await asyncio.sleep(0)


def first_book(deployment: Deployment, wall: int) -> Book:
    """The book of a fleet that begins."""
    name = f"{deployment.name}-{wall // 1_000_000_000:x}"
    return Book(name, deployment.gateways, deployment.edge.fleet.lease_ms)
