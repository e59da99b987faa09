"""A gateway's part in its fleet: the word to each desk, its ledger, its lease, and the orders it follows.

What is decided stands in `follow`, `lease` and `ledger`; here are sockets, files and timers.
"""

from __future__ import annotations

import asyncio
import secrets
import sqlite3
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, Protocol

import msgspec
import structlog

from burlmast import api
from burlmast.fleet import orders
from burlmast.fleet.clock_shell import Clocks
from burlmast.fleet.follow import Follower, choices
from burlmast.fleet.going import Consent, Going, Traveller
from burlmast.fleet.lease import Ask, GatewayLease
from burlmast.fleet.ledger import Ledger
from burlmast.fleet.ledger_shell import Files, FolderInUse, Lock, Scribe
from burlmast.fleet.members import Members
from burlmast.fleet.members_shell import WORD, Mingling
from burlmast.fleet.messages import Away, Heartbeat, HeartbeatReply, Inventory, ListedHost, Placed
from burlmast.fleet.orders import Book
from burlmast.fleet.outs import hosts_out
from burlmast.fleet.stamp import ListName, Stamp, canonical, digest
from burlmast.http1.client import Address, Pool, Whole
from burlmast.http1.messages import split_address
from burlmast.http1.server import Exchange
from burlmast.settings.live import needs_restart
from burlmast.settings.read import BadSettings, parse
from burlmast.settings.sheets import Deployment

JSON = ((b"content-type", b"application/json"),)
MS = 1_000_000


class Work(Protocol):
    """What a gateway has to do, and what it sees."""

    @property
    def busy(self) -> int:
        """Requests held and playbacks that play."""

    @property
    def ready(self) -> bool:
        """Whether it has a list."""

    @property
    def zone(self) -> int:
        """Its zone."""

    @property
    def asked(self) -> float:
        """kB/s of all that plays."""

    @property
    def fallen(self) -> tuple[int, ...]:
        """Hosts that failed it and have not served since."""

    @property
    def counts(self) -> dict[str, int]:
        """What became of requests in this life."""


class Around(Protocol):
    """What the gateway program gives."""

    def work(self) -> Work:
        """As of now."""

    def cut(self) -> None:
        """End what plays."""

    def restate(self, rows: tuple[api.HostRow, ...]) -> None:
        """These rows of the list stand otherwise now; see `FleetSide.stands`."""

    def address(self, host: int) -> Address | None:
        """Where the list says that a host is."""

    def change_settings(self, deployment: Deployment) -> None:
        """From now on these are in force."""


class Catalogue(Protocol):
    """The gateway's part of the catalogue of shards; handed in whole."""

    @property
    def told(self) -> tuple[str, int, int]:
        """What a heartbeat says of it."""

    def hear(self, coordinator: int, told: tuple[str, int]) -> None:
        """What the reply to one says."""

    def find(self, title: str, viewer: int) -> Any:
        """See `edge.together.Titles`."""

    def elsewhere(self, place: int) -> tuple[int, ...]:
        """See `edge.together.Titles`."""

    def figures(self) -> dict[str, float]:
        """Gauges by name."""

    def application(self, exchange: Exchange, path: str) -> bool:
        """Answer an operator, if this is for it."""

    def close(self) -> None:
        """It ends."""


class Standing(msgspec.Struct, frozen=True):
    """What a gateway keeps of the fleet on its disk."""

    book: Book = Book()
    in_force: int = 0
    settings: str = ""  # digest of those in force, empty for the own file
    epoch: int = 0
    let: bool = True  # a majority has let it act in this epoch
    life: str = ""
    going: Going = Going()


class Start(NamedTuple):
    """What a gateway of a fleet starts with."""

    own: Deployment
    deployment: Deployment  # in force from the start
    standing: Standing
    files: Files | None
    lock: Lock | None
    folder: Path
    trouble: str


def open_folder(folder: Path, own: Deployment) -> Start:
    """Read what an earlier life kept. A disk that gives nothing does not keep a gateway from serving.
    Raises FolderInUse where another process holds the folder."""
    files, lock, trouble, standing = None, None, "", Standing()
    try:
        lock = Lock(folder)
        files = Files(folder)
        trouble = files.damaged
        raw = files.named("standing")
        standing = msgspec.msgpack.decode(raw, type=Standing) if raw is not None else standing
    except FolderInUse:
        raise
    except (OSError, sqlite3.Error, msgspec.MsgspecError) as why:
        trouble = f"{folder}: {why}"
    deployment = own
    words = standing.in_force, standing.settings, standing.epoch
    for number, name in choices(standing.book, own_number(folder), *words):
        found = _kept_settings(files, name, own)
        if found is not None:
            deployment = found
            standing = msgspec.structs.replace(standing, in_force=number, settings=name)
            break
        trouble = trouble or f"{folder}: the settings of order {number} are not on this disk"
    return Start(own, deployment, standing, files, lock, folder, trouble)


def own_number(folder: Path) -> int:
    """The gateway's number by its folder, `gateway-N`."""
    return int(folder.name.rpartition("-")[2])


def _kept_settings(files: Files | None, name: str, own: Deployment) -> Deployment | None:
    if not name:
        return own
    raw = files.named(f"settings {name}") if files is not None else None
    try:
        return parse(raw.decode("utf-8")) if raw is not None else None
    except (BadSettings, UnicodeDecodeError):
        return None


class FleetSide:
    """One gateway among its fleet; made on a running loop."""

    catalogue: Catalogue | None = None

    def __init__(
        self,
        number: int,
        start: Start,
        desks: list[Address],
        pool: Pool,
        around: Around,
        clocks: Clocks,
        build: str,
        seed: int,
    ) -> None:
        """`desks` in the order in which all know them."""
        self.number, self.desks, self.clocks, self._start = number, desks, clocks, start
        self._pool, self._around = pool, around
        self.log = structlog.get_logger().bind(gateway=number)
        terms = start.own.edge.fleet
        self._beat_s = terms.beat_ms / 1000
        self.life = secrets.token_hex(8)
        self.before = start.standing.life
        self.settings, self._settings_name = start.deployment, start.standing.settings
        self._digest = digest(start.deployment)
        self.follower = Follower(
            number,
            start.standing.book,
            start.standing.in_force,
            int(terms.again_ms * MS),
            int(terms.again_longest_ms * MS),
            seed,
        )
        length = self._length(start.deployment)
        self.lease = GatewayLease(len(desks), terms.drift, length, start.standing.epoch)
        self.lease.free = self.lease.free and start.standing.let
        self._epoch_in_force = orders.epoch_at(self.book, start.standing.in_force)
        self.ledger = Ledger(self.life, number, self.before, clocks.wall())
        self.scribe = Scribe(
            start.files,
            self.ledger,
            terms.ledger_ms / 1000,
            terms.slow_disk_ms / 1000,
            terms.placed,
            clocks.wall,
            self._trouble,
        )
        self._list = ListName()
        self._rows: dict[int, api.HostRow] = {}  # as the list says
        self._hosts_out: dict[int, str] = {}
        kept = start.standing.going
        kept = kept if kept.disk else Going(secrets.token_hex(8))
        self.traveller = Traveller(number, kept, int(terms.out.alone_ms * MS))
        self._going_kept = Going()  # as it is on the disk
        self._began = clocks.steady()
        self._worked: tuple[int, Work] | None = None
        self._heard = [clocks.steady() for _ in desks]
        self._tokens = [("", 0) for _ in desks]
        self._consents = Consent(len(desks)), Consent(len(desks))  # for a watched order, for a leave
        self._consent_ns = int(2 * terms.beat_ms * MS)
        self._programme = 0
        self._build = build
        self._announced: Stamp | None = None
        self.operators = ""
        self._have: list[dict[str, int]] = [{} for _ in desks]
        self._asks = 0
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._known = asyncio.Event()  # the disk knows in which epoch this gateway acts
        self._known.set()
        self._hurry = [asyncio.Event() for _ in desks]
        self._was_fresh = True
        self._let = start.standing.let
        self._unread = ""
        self._reading = False
        self.mingling: Mingling | None = None
        self.turned_away = 0
        if start.trouble:
            self._trouble(start.trouble)

    @staticmethod
    def _length(deployment: Deployment) -> int:
        return int(deployment.edge.fleet.lease_ms * MS)

    def _trouble(self, what: str) -> None:
        self.log.error("fleet", what=what)

    def start(self, operators: str) -> None:
        """Begin to speak with the desks."""
        self.operators = operators
        self.scribe.start()
        self._keep_standing()
        self._turn(lambda: None)
        for desk in range(len(self.desks)):
            self._spawn(self._speak(desk))
        self._spawn(self._look_after())
        terms = self._start.own.edge.fleet
        members = Members(
            f"{self.number}.{self.life}",
            operators,
            self.clocks.steady(),
            int(terms.probe_ms * MS),
            terms.probes,
            zlib.crc32(self.life.encode()),
            lambda text: self.log.info("member", what=text),
        )
        words = self._pool, self._beat_s, self.clocks.steady, self._spawn
        self.mingling = Mingling(members, self, *words)
        for desk, address in enumerate(self.desks):
            self.mingling.met(f"desk.{desk}", address)
        self._spawn(self.mingling.run())
        if not self.follower.caught_up:
            self._do(self.follower.take(self.clocks.steady(), "ordered"))
        self._hear_outs()

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop; the ledger's last rows are on the disk when this returns."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        if self.catalogue is not None:
            self.catalogue.close()
        self.scribe.close()
        if self._start.lock is not None:
            self._start.lock.close()

    # The gateway's acts.

    def may_take(self) -> bool:
        """Whether a request may be taken, or a set-up sent, at this very moment."""
        # Danger: a process that was stopped for longer than its lease asks here before any timer rings.
        fresh = self.may_act(self.clocks.steady())
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self.log.warning("takes requests again" if fresh else "shut out", why=self.lease.why)
        if not fresh:
            self.turned_away += 1
        return fresh

    @property
    def files(self) -> Files | None:
        """The gateway's disk; None where it gives nothing."""
        return self._start.files

    @property
    def titles(self) -> Catalogue | None:
        """Titles that the settings do not name; None without a catalogue."""
        return self.catalogue

    @property
    def closed(self) -> str:
        """Why nothing new is taken at the door; empty where it is."""
        if not self.may_take():
            return "this gateway may not act until it has caught up with the others"
        return "this gateway is being drained" if self.traveller.shut else ""

    @property
    def shut_out(self) -> bool:
        """Whether it takes nothing new now."""
        return self.traveller.shut or not self.may_act(self.clocks.steady())

    @property
    def advice(self) -> int:
        """When to come again, nanoseconds, for those that a gateway without lease sends away."""
        return int(self._beat_s * 1e9)

    def act(self, kind: str) -> int:
        """An act is done; its number."""
        return self.ledger.act(kind)

    def set_up(self, playback: str, host: int, attempt: int) -> tuple[str, int, int, int]:
        """A set-up is sent; what the host is told of it."""
        act, page = self.ledger.act("set up"), self.ledger.page
        self.scribe.placed(Placed(playback, self.life, act, page, host, self.clocks.wall(), attempt))
        return self.life, page, act, self.lease.epoch

    # Stamps.

    def stamp(self) -> Stamp:
        """What acts rest on once the ledger has it."""
        return Stamp(
            self._build,
            self._digest,
            self._list.name,
            self._programme,
            self.follower.in_force,
            self._epoch_in_force,
        )

    def listed(self, complete: bool, rows: Any, then: Callable[[], None]) -> None:
        """News of the list; `then` once the ledger can say so."""
        self._list.heard(complete, rows)
        self._rows = {} if complete else self._rows
        self._rows.update({row.host: row for row in rows})
        self._turn(then, hosts=self._list.name)

    def programme(self, version: int) -> None:
        """Another programme of notices is in force."""
        self._programme = version
        self._turn(lambda: None, programme=version)

    def _turn(self, then: Callable[[], None], **changes: Any) -> None:
        # What comes after a page that is still on its way to the disk rests on that one.
        stamp = msgspec.structs.replace(self._announced or self.stamp(), **changes)
        if stamp == self._announced and not self.scribe.waits:
            then()
            return
        self._announced = stamp
        self.scribe.turn(self.ledger.announce(stamp, self.clocks.wall()), then)

    # The word to the desks.

    async def _speak(self, desk: int) -> None:
        wait = self._beat_s * (self.number % 16) / 64  # a fleet that starts together does not speak at once
        while not self._closed:
            try:
                async with asyncio.timeout(wait):
                    await self._hurry[desk].wait()
            except TimeoutError:
                pass
            self._hurry[desk].clear()
            try:
                await self._heartbeat(desk)
            except (ConnectionError, TimeoutError, msgspec.MsgspecError, sqlite3.Error, LookupError) as why:
                self.log.debug("desk", desk=desk, why=str(why))
            # A gateway that is shut out, or has a new order at hand, looks sooner: viewers are sent away.
            wait = self._beat_s if self.may_act(self.clocks.steady()) else self._beat_s / 4

    async def _heartbeat(self, desk: int) -> None:
        have = self._have[desk]
        rows: list[Any] = []
        if any(count > have.get(life, 0) for life, count in self.scribe.has.items()) and have:
            rows = await self.scribe.rows(have)
        await self._known.wait()
        now, lease = self.clocks.steady(), self.lease
        fresh = self.may_act(now)
        self._asks += 1
        ask = Ask(
            self.number,
            self.life,
            self._asks,
            lease.epoch,
            lease.free,
            lease.length,
            self.follower.ready,
            self.before,
        )
        wants = self.follower.watched, self._wanted_leave()
        for consent, what in zip(self._consents, wants, strict=True):
            consent.about(now, what)
        left = 0.0 if lease.free else (lease.until(now) - now) / 1e9
        heartbeat = Heartbeat(
            ask,
            self.operators,
            self.stamp(),
            "shut out" if not fresh else self.follower.state,
            self.follower.why or ("" if fresh else lease.why),
            self.book.at,
            self.ledger.acts,
            fresh,
            left,
            self.book.fleet,
            self.scribe.has,
            tuple(rows),
            self._away(now),
            wants,
            self._tokens[desk],
            self.catalogue.told if self.catalogue is not None else ("", 0, 0),
        )
        body = msgspec.json.encode(heartbeat)
        status, _, told = await Whole.of(
            self._pool, self.desks[desk], b"POST", b"/fleet/v1/hello", JSON, body, within=self._beat_s
        )
        if status != 200:
            raise ConnectionError(f"status {status}: {told[:200]!r}")
        reply: HeartbeatReply = msgspec.json.decode(told, type=HeartbeatReply)
        self._have[desk] = {life: 0 for life in self.scribe.has} | reply.have
        for number, life, address in reply.peers:
            if self.mingling is not None:
                self.mingling.met(f"{number}.{life}", split_address(address))
        self.lease.answered(desk, self.clocks.steady(), now, reply.given)
        self._heard[desk] = max(self._heard[desk], now)
        self._tokens[desk] = reply.token
        for consent, what, yes in zip(self._consents, wants, reply.lets, strict=True):
            consent.answered(desk, now, what, yes)
        if self.catalogue is not None:
            self.catalogue.hear(desk, reply.catalogue)
        if reply.book is not None:
            self.hear(reply.book)
        self._look()

    def may_act(self, now: int) -> bool:
        """As `may_take`, without counting or a word in the log."""
        return self.lease.may_act(now, self._epoch_in_force)

    @property
    def book(self) -> Book:
        """The orders as this gateway knows them."""
        return self.follower.book

    def hear(self, book: Book) -> None:
        """A book of orders, from a desk or a gateway."""
        before = self.book
        effect = self.follower.hear(self.clocks.steady(), book)
        if self.book != before:
            self._keep_standing()
            self._hasten()
            self._hear_outs()
        self._do(effect)

    # Leaves.

    def _wanted_leave(self) -> int:
        leave = self.traveller.leave
        asks = leave is not None and not leave.back and self.traveller.state in ("in", "late")
        return leave.number if leave is not None and asks else 0

    def _away(self, now: int) -> Away:
        if self._worked is None or now - self._worked[0] >= self._beat_s * 5e8:
            self._worked = now, self._around.work()  # one look for all desks: it goes over all that plays
        work, kept, traveller = self._worked[1], self._going_kept, self.traveller
        leave = traveller.leave.number if traveller.leave is not None else 0
        told = traveller.state, traveller.why, leave, kept.finished, kept.was_out
        warm = work.ready and now - self._began >= self.settings.rules.warm_after_ms * MS
        return Away(kept.disk, *told, work.zone, work.ready, warm, work.asked, work.fallen, work.counts)

    def _hear_outs(self) -> None:
        outs = self.book.outs
        self._travels(self.traveller.hear(self.clocks.steady(), outs))
        before, self._hosts_out = self._hosts_out, hosts_out(outs.leaves)
        moved = {host for host, _ in before.items() ^ self._hosts_out.items()}
        rows = tuple(self._rows[host] for host in sorted(moved) if host in self._rows)
        if rows:
            self._around.restate(rows)

    def stands(self, row: api.HostRow) -> api.HostRow:
        """A row as it is to be acted on: a host under leave is draining, whatever the list says yet."""
        how = self._hosts_out.get(row.host)
        if how is None or row.standing is api.Standing.GONE:
            return row
        return row._replace(standing=api.Standing(how))

    def _travel(self) -> None:
        """Whether time, consent or what plays moves this gateway on its way out or back."""
        if self.traveller.leave is None and self.traveller.state == "in":
            return
        now, work = self.clocks.steady(), self._around.work()
        majority = sorted(self._heard, reverse=True)[len(self._heard) // 2]
        warm = work.ready and now - self._began >= self.settings.rules.warm_after_ms * MS
        consent = self._wanted_leave() == self._consents[1].what and self._consents[1].given(
            now, self._consent_ns
        )
        self._travels(self.traveller.look(now, consent, bool(work.busy), warm, majority))

    def _travels(self, effect: str) -> None:
        if not effect:
            return
        state, why = self.traveller.state, self.traveller.why
        self.log.info("leave", state=state, why=why)
        if effect == "cut":
            self._around.cut()
        self._hasten()
        self._spawn(self._keep_going())

    async def _keep_going(self) -> None:
        state = self.traveller.state
        why = await self._keep_now()
        # What is said to be over must be so for every later life on this disk.
        if state == "finishing" and self.traveller.state == "finishing":
            if why:
                await asyncio.sleep(self._beat_s)
            self._travels(self.traveller.take(self.clocks.steady(), "not kept" if why else "kept", why))

    def _hasten(self) -> None:
        for one in self._hurry:
            one.set()

    def _look(self) -> None:
        """Whether what was heard changes what this gateway may do."""
        barred = self.lease.barred()
        if barred and barred <= self.book.number and barred > self.lease.epoch:
            self.log.warning("acts in the earlier epoch no more", epoch=barred)
            self.lease.move(barred)
            # Danger: desks believe a gateway that asks for the new epoch; the disk must know by then.
            self._known.clear()
            self._spawn(self._moved())
        if self.lease.fresh(self.clocks.steady()) and not self._let:
            self._let = True
            self._keep_standing()
        now, consent = self.clocks.steady(), self._consents[0]
        lets = consent.what == self.follower.watched and consent.given(now, self._consent_ns)
        if self.follower.may_take(self.lease.epoch, lets):
            self._do(self.follower.take(self.clocks.steady(), "let"))

    async def _moved(self) -> None:
        self._let = False
        await self._keep_now()
        self._known.set()
        self._hasten()

    # Orders.

    def _do(self, effect: str) -> None:
        if effect == "fetch":
            self._spawn(self._fetch(self.follower.taking))
        elif effect == "check":
            self._check()
        elif effect == "keep":
            self._spawn(self._keep())
        elif effect == "look":
            self._hasten()
            self._look()
        elif effect == "take":
            self._take()

    async def _fetch(self, number: int) -> None:
        order = self.follower.order
        name = order.settings if order is not None else ""
        found = self._start.own if not name else await self._find(name)
        if number != self.follower.taking or self.follower.state != "fetching":
            return
        now = self.clocks.steady()
        if found is None and self._unread:
            self._do(self.follower.take(now, "unusable", f"this build cannot read them: {self._unread}"))
        elif found is None:
            self._do(self.follower.take(now, "not had", "no desk and no gateway gives these settings"))
        else:
            self._pending, self._pending_name = found, name
            self._do(self.follower.take(now, "got"))

    async def _find(self, name: str) -> Deployment | None:
        self._unread = ""
        if self._start.files is not None:
            try:
                raw = await self.scribe.ask(lambda files: files.named(f"settings {name}"))
                if isinstance(raw, bytes):
                    return parse(raw.decode("utf-8"))
            except (sqlite3.Error, BadSettings, UnicodeDecodeError):
                pass
        there = self.mingling.members.there() if self.mingling is not None else []
        for address in [*self.desks, *(split_address(one.address) for one in there)]:
            target = f"/fleet/v1/settings/{name}".encode()
            try:
                status, _, body = await Whole.of(self._pool, address, b"GET", target, within=self._beat_s)
                if status == 200 and digest(found := parse(body.decode("utf-8"))) == name:
                    return found
            except (ConnectionError, TimeoutError, UnicodeDecodeError):
                continue
            except BadSettings as why:
                self.log.warning("settings of the order cannot be read by this build", why=str(why))
                self._unread = str(why)
        return None

    def _check(self) -> None:
        why = needs_restart(self.settings, self._pending)
        now = self.clocks.steady()
        if why:
            self._spawn(self._keep_for_restart())
            self._do(self.follower.take(now, "unusable", why))
        else:
            self._do(self.follower.take(now, "usable"))

    async def _keep_for_restart(self) -> None:
        await self._keep_settings(self._pending_name, self._pending)

    async def _keep(self) -> None:
        why = await self._keep_settings(self._pending_name, self._pending)
        now = self.clocks.steady()
        self._do(self.follower.take(now, "not kept" if why else "kept", why))

    async def _keep_settings(self, name: str, found: Deployment) -> str:
        if not name:
            return ""
        body = canonical(found)
        try:
            await self.scribe.ask(lambda files: files.keep(f"settings {name}", body))
        except (sqlite3.Error, LookupError) as why:
            return f"the disk does not take them: {why}"
        return ""

    def _take(self) -> None:
        number, found, name = self.follower.taking, self._pending, self._pending_name
        epoch = orders.epoch_at(self.book, number)
        settings = digest(found)

        def taken() -> None:
            same = settings == self._digest
            self.settings, self._settings_name, self._digest = found, name, settings
            self._epoch_in_force = epoch
            self.lease.needs(self.clocks.steady(), self._length(found))
            if not same:  # an order back may find one that had not gone
                self._around.change_settings(found)
            self.log.info("order in force", order=number, settings=settings[:12])
            self._do(self.follower.take(self.clocks.steady(), "taken"))
            self._keep_standing()
            self._hasten()

        self._turn(taken, settings=settings, order=number, epoch=epoch)

    # The disk.

    def _standing(self) -> Standing:
        return Standing(
            self.book,
            self.follower.in_force,
            self._settings_name,
            self.lease.epoch,
            self._let,
            self.life,
            self.traveller.kept,
        )

    def _keep_standing(self) -> None:
        self._spawn(self._keep_now())

    async def _keep_now(self) -> str:
        """Why it could not be kept, empty where it is on the disk."""
        standing = self._standing()
        try:
            body = msgspec.msgpack.encode(standing)
            await self.scribe.ask(lambda files: files.keep("standing", body))
        except (sqlite3.Error, LookupError) as why:
            self._trouble(f"what is in force is not kept: {why}")
            return str(why)
        self._going_kept = standing.going
        return ""

    async def _look_after(self) -> None:
        while not self._closed:
            await asyncio.sleep(self._beat_s / 4)
            self._do(self.follower.ring(self.clocks.steady()))
            self._look()
            self._travel()

    # The operators' listener.

    def application(self, exchange: Exchange, path: str) -> bool:
        """Answer a desk, a gateway or an operator, if this is for them."""
        mingling = self.mingling
        if self.catalogue is not None and self.catalogue.application(exchange, path):
            return True
        if path == "/fleet/v1/word" and exchange.method == b"POST" and mingling is not None:
            exchange.collect(WORD, lambda body: mingling.take(exchange, body))
            return True
        if path == "/fleet/v1/readable" and exchange.method == b"POST":
            exchange.collect(1 << 20, lambda body: exchange.json(200, {"why": self._unusable(body)}))
            return True
        if exchange.method != b"GET" or not path.startswith("/fleet/v1/"):
            return False
        what = path.removeprefix("/fleet/v1/")
        if what == "status":
            stamp, now = self.stamp(), self.clocks.steady()
            told = {
                "gateway": self.number,
                "life": self.life,
                "state": self.follower.state,
                "why": self.follower.why,
                "stamp": stamp,
                "fresh": self.may_act(now),
                "book": self.book.at,
                "way": self.traveller.state,
                "leave": self.traveller.leave,
                "acts": self.ledger.acts,
                "turned_away": self.turned_away,
                "ledger": self.scribe.failing,
                "members": self.mingling.states() if self.mingling is not None else {},
            }
            exchange.json(200, told)
        elif what == "hosts":
            exchange.json(200, self._inventory())
        elif what == "book":
            exchange.json(200, self.book)
        elif what.startswith("settings/"):
            self._spawn(self._give(exchange, f"settings {what.removeprefix('settings/')}"))
        elif what.startswith("playback/"):
            self._spawn(self._tell(exchange, what.removeprefix("playback/")))
        else:
            return False
        return True

    def _unusable(self, body: bytes) -> str:
        """Why this gateway, as it runs, cannot take settings; empty where it can."""
        try:
            found = parse(body.decode("utf-8"))
        except (BadSettings, UnicodeDecodeError) as why:
            return f"this build cannot read them: {why}"
        return needs_restart(self.settings, found)

    def _inventory(self) -> Inventory:
        rows = []
        for host, row in sorted(self._rows.items()):
            where = self._around.address(host)
            told = f"{where[0]}:{where[1]}" if where is not None else ""
            rows.append(
                ListedHost(host, row.zone, row.cell, row.standing.value, row.weight, row.started, told)
            )
        return Inventory(self._list.name, tuple(rows))

    async def _give(self, exchange: Exchange, name: str) -> None:
        try:
            body = await self.scribe.ask(lambda files: files.named(name))
        except (sqlite3.Error, LookupError):
            body = None
        if isinstance(body, bytes):
            exchange.respond(200, JSON, body)
        else:
            exchange.refuse(404, "these settings are not here")

    async def _tell(self, exchange: Exchange, playback: str) -> None:
        try:
            found = await self.scribe.find(playback)
        except (sqlite3.Error, LookupError) as why:
            exchange.refuse(507, f"this gateway's ledger: {why}")
            return
        exchange.json(200, found)
