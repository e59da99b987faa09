"""A coordinator's part in the catalogue of shards: its register, its rows on the disk, questions of gateways
and of other coordinators, changes of operators. How its rows stand to what is agreed on is decided in `head`,
what a slice taken from another coordinator comes to in `subscriber`."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from urllib.parse import unquote

import msgspec
import structlog

from burlmast.catalogue import head as heads
from burlmast.catalogue import messages
from burlmast.catalogue.head import Head, NotAHead, Step, name_of, write_head
from burlmast.catalogue.messages import (
    AllAsked,
    AllGiven,
    Batch,
    Changed,
    Found,
    GatewayStanding,
    SliceAsked,
    SlicesAsked,
    SlicesGiven,
    Standing,
    Wanted,
)
from burlmast.catalogue.pace import Pace
from burlmast.catalogue.shards import digest, fault, holders, slice_of, told
from burlmast.catalogue.store import CatalogueStore, Taken
from burlmast.catalogue.subscriber import Slice
from burlmast.fleet import register
from burlmast.fleet.agreed_shell import AgreedValue, NoMajority
from burlmast.fleet.coordinator_shell import Coordinator
from burlmast.fleet.messages import Accept, Prepare
from burlmast.fleet.orders import Refused
from burlmast.fleet.register import Answer
from burlmast.http1.client import Whole
from burlmast.http1.server import Exchange

JSON = ((b"content-type", b"application/json"),)
NAME = "catalogue"  # of its register on the disk
BODY = 8 << 20
ASKED_AT_ONCE = 64  # slices in a question to another coordinator
ROWS_AT_ONCE = 5_000  # for operators that read all of it
TRIES = 12  # of one change, where others change as well
BETWEEN_S = 0.005  # between two questions to others, so that heartbeats are answered meanwhile
PATIENCE = 10  # questions in a row that may bring nothing


def _head(raw: bytes) -> Head:
    """The register's value. Raises Refused."""
    try:
        return heads.read_head(raw)
    except NotAHead as why:
        raise Refused(str(why)) from None


class CatalogueKeeper:
    """One coordinator's; made on a running loop, after its coordinator and before that is started."""

    def __init__(self, desk: Coordinator, folder: Path) -> None:
        """Raises OSError, sqlite3.Error."""
        self.desk, self.terms = desk, desk.deployment.edge.catalogue
        self.log = structlog.get_logger().bind(desk=desk.number)
        self.store = CatalogueStore(folder, self.terms.slices)
        if self.store.damaged:
            self.log.error("laid aside, damaged", file=self.store.damaged)
        had = desk.store.second_register(NAME)
        kept = register.first(had, desk.kept)
        keep = partial(desk.store.keep_second_register, NAME)
        if had is None:
            # Danger: it must be on the disk before the older register is filled; see `register.FIRST`.
            keep(kept)
        self.agreed = AgreedValue(
            messages.AGREED,
            desk.number,
            len(desk.desks),
            desk.beat_s,
            kept,
            keep,
            lambda other, path, body: desk.call(other, path, body, Answer),
        )
        self.head = Head()  # as it is known that a majority holds it
        self.state, self.why = "level", ""
        self.counts: Counter[str] = Counter()
        self.pace = Pace(desk.clocks.steady(), self.terms.whole_a_second)
        self._reads = self._turns = 0
        self._changing, self._levelling = asyncio.Lock(), asyncio.Lock()
        self._moved = asyncio.Event()

    # What the coordinator asks of it.

    @property
    def told(self) -> tuple[str, int]:
        """What replies to heartbeats say."""
        return (self.store.line, self.store.applied) if self.store.applied else ("", 0)

    @property
    def blind(self) -> str:
        """Why this coordinator does not know which cells hold what."""
        if not self.agreed.kept.voting:
            return "this desk does not know yet whether there is a catalogue of shards"
        try:
            there = self.head.line or _head(self.agreed.kept.value).line
        except Refused as why:
            return str(why)
        lacks = there and (self.store.line != there or not self.store.applied)
        return "the catalogue of shards is not on this desk yet" if lacks else ""

    @property
    def spread(self) -> tuple[tuple[str, int, int], ...]:
        """What is held by which cells, without a walk through all rows."""
        return tuple(
            (f"(any of {count} shards of the catalogue from cell {home} on)", home, copies)
            for (home, copies), count in sorted(self.store.spread.items())
        )

    def begin(self) -> None:
        """The fleet begins here. Raises sqlite3.Error, OSError."""
        self.agreed.hold(register.begin(self.agreed.kept, b""))

    def close(self) -> None:
        """Let go of its file."""
        self.store.close()

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            self._moved.clear()
            for work in (self._fill, self._read, self._level):
                await self.desk.quietly(work)
            try:
                async with asyncio.timeout(self.desk.beat_s * 0.75 + self.agreed.pause(0)):
                    await self._moved.wait()
            except TimeoutError:
                pass

    # Requests.

    def application(self, exchange: Exchange, path: str) -> bool:
        """Answer a gateway, a coordinator or an operator, if this is for the catalogue."""
        if not path.startswith(messages.STATUS):
            return False
        post: dict[str, Callable[[Exchange, bytes], None]] = {
            messages.ASK: self._ask,
            messages.CHANGE: self._change,
            messages.BATCH: self._keep_batch,
            messages.HEAD: self._heard,
            messages.ALL: self._all,
            f"{messages.AGREED}/prepare": self._prepare,
            f"{messages.AGREED}/accept": self._accept,
        }
        if exchange.method == b"POST" and path in post:
            take = post[path]
            exchange.collect(BODY, lambda body: self.desk.guarded(exchange, take, body))
        elif exchange.method != b"GET":
            exchange.refuse(405 if path in post else 404, "there is nothing here for that method")
        elif path == messages.STATUS:
            exchange.json(200, self.standing())
        elif path == messages.HEAD:
            exchange.json(200, self.head)
        elif path.startswith(f"{messages.BATCH}/"):
            batch = self.store.batch(path.rpartition("/")[2])
            if batch is None:
                exchange.refuse(404, "this change is not here")
            else:
                exchange.json(200, batch)
        elif path.startswith(messages.FIND):
            exchange.json(200, self.find(unquote(path.removeprefix(messages.FIND))))
        else:
            exchange.refuse(404, "there is nothing here")
        return True

    def _prepare(self, exchange: Exchange, body: bytes) -> None:
        words: Prepare = msgspec.json.decode(body, type=Prepare)
        exchange.json(200, self.agreed.prepare(words.ballot))

    def _accept(self, exchange: Exchange, body: bytes) -> None:
        words: Accept = msgspec.json.decode(body, type=Accept)
        exchange.json(200, self.agreed.accept(words.ballot, words.value))

    def _heard(self, exchange: Exchange, body: bytes) -> None:
        self._learn(msgspec.json.decode(body, type=Head))
        exchange.json(200, {"revision": self.head.revision})

    def _keep_batch(self, exchange: Exchange, body: bytes) -> None:
        batch: Batch = msgspec.json.decode(body, type=Batch)
        name = name_of(batch)
        self.store.keep_batch(name, batch)
        exchange.json(200, {"batch": name})

    def _ask(self, exchange: Exchange, body: bytes) -> None:
        asked: SlicesAsked = msgspec.json.decode(body, type=SlicesAsked)
        if not self.store.applied:
            exchange.refuse(503, "the catalogue is not here yet", ((b"retry-after", b"1"),))
            return
        if asked.cut and asked.cut != self.store.slices:
            # Danger: it would take titles that fall into other slices here for titles that are not there.
            raise Refused(f"the catalogue is cut into {self.store.slices} slices, not {asked.cut}")
        if asked.line != self.store.line:
            raise Refused(f"this is the catalogue {self.store.line}, not {asked.line}")
        now = self.desk.clocks.steady()
        found = self.store.news(asked.slices, self.terms.piece, lambda: self.pace.take(now))
        if found.put_off:
            self.counts["put off"] += 1
            if not found.slices:
                # Danger: one who is told "later" at once asks again at once.
                exchange.refuse(503, "too many ask for whole slices", ((b"retry-after", b"1"),))
                return
        self.counts["answers"] += 1
        exchange.json(200, SlicesGiven(self.store.line, self.store.applied, found.slices, found.later))

    def _all(self, exchange: Exchange, body: bytes) -> None:
        asked: AllAsked = msgspec.json.decode(body, type=AllAsked)
        if self.store.line and not self.store.applied:
            exchange.refuse(503, "the catalogue is not here yet", ((b"retry-after", b"1"),))
            return
        rows = self.store.all_rows(asked.after, ROWS_AT_ONCE)
        after = None
        if len(rows) == ROWS_AT_ONCE:
            after = (slice_of(rows[-1].key, self.terms.slices), *rows[-1].key)
        exchange.json(200, AllGiven(self.store.line, self.store.applied, tuple(rows), after))

    def find(self, title: str) -> Found:
        """A title's rows here, and whose part each is of."""
        rows = tuple(self.store.of(title))
        terms, deployment = self.terms, self.desk.deployment
        ground = terms.slices, deployment.gateways, len(deployment.zones), terms.copies
        gateways = tuple(holders(slice_of(one.key, terms.slices), *ground) for one in rows)
        return Found(title, self.store.line, self.store.applied, rows, gateways)

    def standing(self) -> Standing:
        """All that this coordinator knows of the catalogue."""
        desk, now = self.desk, self.desk.clocks.steady()
        newest: dict[int, tuple[int, tuple[str, int, int]]] = {}
        for (gateway, _), (at, heartbeat) in sorted(desk.members.items()):
            if gateway not in newest or at > newest[gateway][0]:
                newest[gateway] = at, heartbeat.catalogue
        return Standing(
            desk.number,
            self.agreed.kept.voting,
            self.state,
            self.why,
            self.store.line,
            self.head.revision,
            self.store.applied,
            max(0, self.head.revision - self.store.applied),
            self.store.shards,
            told(self.store.digest),
            self.terms.slices,
            desk.deployment.fleet.cells,
            self.pace.given(now),
            dict(sorted(self.counts.items())),
            tuple(
                GatewayStanding(gateway, *catalogue, round((now - at) / 1e9, 3))
                for gateway, (at, catalogue) in sorted(newest.items())
            ),
        )

    # Changes.

    def _change(self, exchange: Exchange, body: bytes) -> None:
        if len(body) > messages.BATCH_LIMIT:
            raise Refused(f"a change is {messages.BATCH_LIMIT} bytes at most")
        wanted: Wanted = msgspec.json.decode(body, type=Wanted)
        self._check(wanted)
        self.desk.spawn(self.desk.answer(exchange, self.change(wanted), lambda done: done))

    def _check(self, wanted: Wanted) -> None:
        """Raises Refused."""
        if not self.terms.on:
            raise Refused("edge.catalogue.on is not set in this desk's settings")
        batch, keys = wanted.batch, {one.key for one in wanted.batch.put} | {*wanted.batch.remove}
        if not wanted.request:
            raise Refused("a change has a request's id")
        if not 0 < len(batch.put) + len(batch.remove) <= messages.ROWS_LIMIT:
            raise Refused(f"a change is 1 to {messages.ROWS_LIMIT} rows")
        if len(keys) < len(batch.put) + len(batch.remove):
            raise Refused("a title's part stands twice in the change")
        for one in batch.put:
            wrong = fault(one, self.desk.deployment.fleet.cells)
            if wrong:
                raise Refused(wrong)

    async def change(self, wanted: Wanted) -> Changed:
        """Make a change, once by its request. Raises Refused, NoMajority, sqlite3.Error, OSError."""
        self._check(wanted)
        if self.state == "apart":
            raise NoMajority("this desk takes the catalogue from the others; ask another desk")
        async with self._changing:
            name = name_of(wanted.batch)
            self.store.keep_batch(name, wanted.batch)
            others = len(self.desk.desks) // 2  # of a majority
            body = msgspec.json.encode(wanted.batch)
            kept = await self.desk.everywhere(messages.BATCH, body, others)
            if 1 + sum(1 for one in kept if one is not None) < len(self.desk.desks) // 2 + 1:
                raise NoMajority("a majority of desks does not keep the change; nothing is changed")
            for attempt in range(TRIES):
                await self._level()
                done = await self._try(wanted, name)
                if done is not None:
                    return done
                await asyncio.sleep(self.agreed.pause(attempt))
        why = self.why or "others change it"
        raise NoMajority(f"this desk's rows are not level with the catalogue: {why}")

    async def _try(self, wanted: Wanted, name: str) -> Changed | None:
        """One change of the register, or of nothing where the head is not the one that rows here stand at."""
        made: list[Step] = []
        store = self.store
        # Above all that is known of an earlier one. Danger: a store at 0 is sure of nothing, and would begin
        # again and again.
        known = max(store.applied, 1, *(one.catalogue[1] for _, one in self.desk.members.values()))
        begins = secrets.token_hex(6), known + 1

        def after(empty: bool) -> tuple[str, int]:
            if empty:
                return told(digest(wanted.batch.put)), len(wanted.batch.put)
            found = store.reckon(wanted.batch)
            return told(found.digest), found.shards

        def apply(raw: bytes) -> bytes:
            here = store.line, store.applied, store.furthest
            found = heads.propose(_head(raw), wanted.request, name, here, begins, after)
            made[:] = [] if found.step is None else [found.step]
            return raw if found.head == _head(raw) else write_head(found.head)

        one = await self.agreed.change(apply)
        head = _head(one.value)
        self._learn(head)
        if not made:
            return None
        self.desk.spawn(self.desk.everywhere(messages.HEAD, one.value))
        await self._level()
        self.counts["changes"] += 1
        return Changed(head.line, made[0].revision, made[0].shards)

    # What it looks after by itself.

    def _learn(self, head: Head) -> None:
        """A head that a majority has taken."""
        if heads.newer(head, self.head):
            self.head = head
            self._moved.set()

    async def _fill(self) -> None:
        """A blank disk is filled by the others."""
        kept = await self.agreed.fill() if len(self.desk.desks) > 1 else None
        if kept is not None:
            self.agreed.hold(kept)
            self.log.warning("filled by the others", what=NAME, accepted=kept.accepted)

    async def _read(self) -> None:
        """Learn what a majority holds, where this coordinator may have missed it."""
        desk, others = self.desk, [n for n in range(len(self.desk.desks)) if n != self.desk.number]
        if heads.newer(_head(self.agreed.kept.value), self.head):
            one = await self.agreed.change(lambda raw: raw)
            self._learn(_head(one.value))
        elif others:
            self._reads += 1
            address = desk.desks[others[self._reads % len(others)]]
            if address is not None:
                status, _, body = await Whole.of(
                    desk.pool, address, b"GET", messages.HEAD.encode(), within=desk.beat_s
                )
                if status == 200:  # else it does not know the catalogue
                    self._learn(msgspec.json.decode(body, type=Head))

    async def _level(self) -> None:
        """Bring rows here to the head, as far as it goes."""
        async with self._levelling:
            while True:
                store, head = self.store, self.head
                rows = store.line, store.applied, store.furthest, told(store.digest), store.shards
                effect = self._step(heads.stands(head, *rows))
                if not effect or not await self._do(effect, head):
                    return

    def _step(self, happened: str) -> str:
        row = heads.STEPS.get((self.state, happened))
        if row is None:
            return ""
        state, effect = row
        if state != self.state:
            self.state = state
            self.log.info(
                "catalogue", what=state, why=happened, head=self.head.revision, applied=self.store.applied
            )
        return effect

    async def _do(self, effect: str, head: Head) -> bool:
        """An effect of `head.STEPS`; whether to look again at once."""
        if effect == "doubt":
            self.counts["wrong digests"] += 1
            self.why = "its rows had another digest than the catalogue"
            self.log.error("catalogue", what=self.why, revision=head.revision)
            self.store.doubt(head.line)
            return False  # danger: where the others' rows are wrong, too, it would go on without end
        if effect == "take slices":
            return await self._take_slices(head, head.steps[0].revision - 1)
        step = heads.named(head, self.store.applied + 1)
        assert step is not None
        batch = await self._batch(step.batch)
        if batch is None:
            self._step("batch not had")
            return await self._take_slices(head, step.revision)
        self._step("batch had")
        self.why = ""
        self.store.apply(step.revision, batch)
        self.counts["applied"] += 1
        self.store.purge_batches(one.batch for one in head.steps)
        rows = told(self.store.digest), self.store.shards
        if self.store.furthest <= step.revision and rows != (step.digest, step.shards):
            return await self._do(self._step("wrong digest"), head)
        return True

    async def _batch(self, name: str) -> Batch | None:
        """A change by its digest, from this disk or another's."""
        found = self.store.batch(name)
        if found is not None and name_of(found) == name:
            return found
        others = [one for n, one in enumerate(self.desk.desks) if n != self.desk.number and one is not None]
        for address in others:
            target = f"{messages.BATCH}/{name}".encode()
            try:
                status, _, body = await Whole.of(
                    self.desk.pool, address, b"GET", target, within=self.terms.within_ms / 1000
                )
                found = msgspec.json.decode(body, type=Batch) if status == 200 else None
            except (ConnectionError, TimeoutError, msgspec.MsgspecError):
                continue
            # Danger: rows that nobody has agreed on would come in under a revision that was.
            if found is not None and name_of(found) == name:
                self.store.keep_batch(name, found)
                await asyncio.sleep(BETWEEN_S)
                return found
        return None

    async def _take_slices(self, head: Head, enough: int) -> bool:
        """Slices as they are at a revision or later, from others; whether all are here."""
        store = self.store
        if store.line != head.line or not store.applied:
            if heads.from_the_first(head) and head.steps[0].revision > 1:
                store.begin(head.line, head.steps[0].revision - 1)
                self._step("slices had")
                return True
            if store.line != head.line:
                store.doubt(head.line)
        self._turns += 1
        others = [n for n in range(len(self.desk.desks)) if n != self.desk.number]
        for other in (
            others[self._turns % len(others) :] + others[: self._turns % len(others)] if others else ()
        ):
            try:
                await self._take_from(other, head.line, enough)
            except (ConnectionError, TimeoutError, msgspec.MsgspecError) as why:
                self.log.info("catalogue", what="no slices", of=other, why=str(why))
                continue
            store.settle()
            self.why = ""
            self._step("slices had")
            return True
        self.why = "no other desk gives the slices that lack"
        self._step("slices not had")
        return False

    async def _take_from(self, other: int, line: str, enough: int) -> None:
        """Raises ConnectionError, TimeoutError, msgspec.MsgspecError where not all are to be had there."""
        store = self.store
        taking: dict[int, Slice] = {}
        whole: set[int] = set()
        lacking = [place for place in range(store.slices) if store.revision(place) < enough]
        idle, wrong = 0, self.counts["wrong slices"]
        while lacking:
            places, rest = lacking[:ASKED_AT_ONCE], lacking[ASKED_AT_ONCE:]
            for place in places:
                if place not in taking:
                    taking[place] = self._as_held(place)
            asked = tuple(SliceAsked(one, taking[one].since, taking[one].gathered_to) for one in places)
            given = await self._ask_other(other, SlicesAsked(line, asked, store.slices))
            left = places
            if given is not None:
                if given.line != line or given.revision < enough:
                    raise ConnectionError(f"it is at {given.revision} itself, short of {enough}")
                left = self._taken(places, given, taking, whole)
            if self.counts["wrong slices"] - wrong > PATIENCE:
                raise ConnectionError("its slices have other digests than it says")
            idle = 0 if given is not None and (given.slices or len(left) < len(places)) else idle + 1
            if idle > PATIENCE:
                raise ConnectionError("it gives nothing more")
            lacking = [*rest, *left]
            await asyncio.sleep(self.desk.beat_s / 2 if idle else BETWEEN_S)

    async def _ask_other(self, other: int, words: SlicesAsked) -> SlicesGiven | None:
        """None where it puts this off. Raises ConnectionError, TimeoutError, msgspec.MsgspecError."""
        address = self.desk.desks[other]
        if address is None:
            raise ConnectionError("no address")
        target, body = messages.ASK.encode(), msgspec.json.encode(words)
        within = self.terms.within_ms / 1000
        status, _, found = await Whole.of(self.desk.pool, address, b"POST", target, JSON, body, within)
        if status == 503:
            return None
        if status != 200:
            raise ConnectionError(f"status {status}")
        return msgspec.json.decode(found, type=SlicesGiven)

    def _as_held(self, place: int) -> Slice:
        """A slice with what is sure to be in it."""
        found = Slice(place, True)
        if self.store.revision(place):
            found.state, found.rows = "held", self.store.rows(place)
            found.digest, found.revision = self.store.slice_digest(place), self.store.revision(place)
        return found

    def _taken(
        self, places: list[int], given: SlicesGiven, taking: dict[int, Slice], whole: set[int]
    ) -> list[int]:
        """Keep what has come; the slices that are to be asked for again."""
        later, done = {*given.later}, []
        for news in given.slices:
            held = taking.get(news.place)
            if held is None or news.place not in places:
                continue
            happened = held.take(news) if news.revision >= held.since else ""
            if happened == "wrong":
                self.counts["wrong slices"] += 1
            if news.whole and happened:
                whole.add(news.place)
            # One that moved while it came in pieces is right only with the difference from its first piece.
            if happened == "difference" or (happened == "end" and held.asked_from == news.revision):
                done.append(held)
            later.add(news.place)
        unchanged = []
        for place in places:
            if place not in later:
                held = taking[place]
                if held.revision == self.store.revision(place):
                    unchanged.append(place)
                    del taking[place]
                else:
                    done.append(held)
        for held in done:
            later.discard(held.place)
            del taking[held.place]
        found = [Taken(one.place, one.rows, one.revision, one.place in whole) for one in done]
        self.store.put_slices(found, unchanged, given.revision)
        return [place for place in places if place in later]
