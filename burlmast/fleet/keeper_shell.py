"""A desk's part in drains and releases: it takes the lead where nobody has it, looks at the fleet, and has
each step taken by a change of the register. What follows from what is decided in `outs`, `leading` and the
release room; here are sockets and timers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from burlmast.fleet import outs as outs_module
from burlmast.fleet.coordinator_shell import Coordinator
from burlmast.fleet.leading import Leading, holds, taken
from burlmast.fleet.messages import Asked, Inventory, Said
from burlmast.fleet.orders import Book, Refused, jot, put, standing
from burlmast.fleet.outs import GATEWAY, HOST, SAID, Drain, Leave, Limits, View
from burlmast.fleet.sight import Ground
from burlmast.http1.client import Whole
from burlmast.http1.messages import split_address
from burlmast.settings.read import BadSettings, parse
from burlmast.settings.sheets import Deployment

MS = 1_000_000
PATIENCE = 5  # beats that a lead may be silent before another desk takes it
Headers = list[tuple[bytes, bytes]]


class More(Protocol):
    """What is done beside drains, by the same lead: releases."""

    def work(self, book: Book) -> bool:
        """Whether there is any."""

    def see(self, now: int, book: Book, view: View, limits: Limits) -> None:
        """Look at what has happened since the last look, before steps are taken."""

    def step(self, now: int, book: Book, view: View, limits: Limits) -> Book:
        """The book after what follows now; asked more than once for one look."""

    def stepped(self, book: Book) -> None:
        """The book is so now."""

    async def take(self, path: str, body: bytes) -> Callable[[Book], Book] | None:
        """The change that an operator's word asks for, None where the path is another's. Raises Refused,
        NoMajority, msgspec.MsgspecError."""

    def recovered(self, book: Book) -> Book:
        """A book found at gateways after all desks lost their disks, as it is gone on with."""

    def shows(self, path: str) -> object | None:
        """What is to be seen under a path, None where nothing is."""


class Keeper:
    """Made on a running loop, after its desk."""

    def __init__(
        self,
        desk: Coordinator,
        streams: Callable[[Headers], float | None],
        more: More | None = None,
        tell_list: Callable[[dict[int, str]], Awaitable[None]] | None = None,
        limits: Callable[[Deployment], Limits] | None = None,
    ) -> None:
        """`streams` reads of a host's answer how many play there; `tell_list` has the list say how hosts are
        to stand; `limits` are those of the settings, but for trials."""
        self._limits = limits or limits_of
        self.desk, self.more, self._streams, self._tell_list = desk, more, streams, tell_list
        self._beat = int(desk.beat_s * 1e9)
        self.leading = Leading(desk.number, self._beat, PATIENCE * self._beat)
        # A desk that has just started has heard nobody yet: it doubts itself until then.
        self._looked = desk.clocks.steady()
        self._doubts = self._looked + desk.sight.silent // 2
        self.waits: dict[int, str] = {}
        self._since: dict[
            tuple[int, str, int, str], int
        ] = {}  # leaves: when this desk first led with them so
        self._parsed: dict[str, Deployment] = {}

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            await asyncio.sleep(self.desk.beat_s / 2)
            await self.desk.quietly(self.look)

    @property
    def leads(self) -> bool:
        """Whether this desk leads, as far as it knows."""
        return self.leading.term > 0

    def _work(self, book: Book) -> bool:
        busy = any(one.state in ("going", "back") for one in book.outs.drains)
        return bool(busy or book.outs.leaves or (self.more is not None and self.more.work(book)))

    async def look(self) -> None:
        """Take the lead if it is this desk's turn, and the next step if it leads. Raises NoMajority."""
        desk, now = self.desk, self.desk.clocks.steady()
        if not desk.kept.voting:
            return
        if now - self._looked > desk.sight.silent // 2:
            # Danger: a desk that stood still takes the whole fleet for silent.
            self._doubts = now + desk.sight.silent
        self._looked = now
        await self._see_lists()
        what = self.leading.look(now, desk.learned.lead, self._work(desk.learned))
        if what == "take":
            seen = desk.learned.lead

            def take(book: Book) -> Book:
                lead = taken(book.lead, seen, desk.number)
                return book if lead is None else jot(book, lead=lead)

            book = await desk.change(take)
            if book.lead.desk == desk.number and book.lead.term == seen.term + 1:
                self.leading.took(desk.clocks.steady(), book.lead)
                desk.log.info("leads", term=book.lead.term)
        if not self.leads:
            self.waits = {}
            return
        if now < self._doubts:
            return
        await self._see_hosts(desk.learned)
        await self._step(what == "renew")
        await self._restart(desk.learned)
        await self._say(desk.learned)

    # What is seen.

    async def _see_lists(self) -> None:
        desk, sight = self.desk, self.desk.sight
        for name, address in sight.lacks(desk.clocks.steady()).items():
            told = await self._get(address, "/fleet/v1/hosts")
            if told is not None:
                found: Inventory = msgspec.json.decode(told, type=Inventory)
                sight.listed(desk.clocks.steady(), found)
                if found.name != name:
                    desk.log.debug("the list has moved on", name=name)

    async def _see_hosts(self, book: Book) -> None:
        hosts, where = self.mark(book), self.desk.sight.addresses()
        asked = [host for host in hosts if host in where]
        found = await asyncio.gather(*(self._plays(where[host]) for host in asked))
        self.desk.sight.plays = {
            host: plays for host, plays in zip(asked, found, strict=True) if plays is not None
        }

    def mark(self, book: Book) -> list[int]:
        """Take down since when this desk leads with each leave; the hosts under leave."""
        now, leaves = self.desk.clocks.steady(), book.outs.leaves
        held = {
            (one.number, one.kind, one.subject, what)
            for one in leaves
            for what in (_plays(book, one), f"ran {one.ran}")
        }
        self._since = {key: self._since.get(key, now) for key in held}
        return sorted(one.subject for one in leaves if one.kind == HOST)

    async def _get(self, address: str, path: str) -> bytes | None:
        try:
            status, _, told = await Whole.of(
                self.desk.pool, split_address(address), b"GET", path.encode(), within=self.desk.beat_s
            )
        except (ConnectionError, TimeoutError, OSError):
            return None
        return told if status == 200 else None

    async def _plays(self, address: str) -> int | None:
        try:
            status, headers, _ = await Whole.of(
                self.desk.pool, split_address(address), b"GET", b"/v1/load", within=self.desk.beat_s
            )
        except (ConnectionError, TimeoutError, OSError) as why:
            self.desk.log.debug("a host does not say what plays there", host=address, why=str(why))
            return None
        found = self._streams(headers) if status == 200 else None
        return None if found is None else int(found)

    def view(self, book: Book) -> tuple[View, Limits]:
        """What is so, by all that this desk knows now."""
        desk, now = self.desk, self.desk.clocks.steady()
        versions: list[Deployment] = []
        blind = ""
        for name, _ in standing(book.orders, (), book.base_lease_ms):
            found = desk.deployment if not name else self._settings(name)
            if found is None:
                blind = f"settings {name[:12]} are not on this desk yet"
            else:
                versions.append(found)
        terms = versions or [desk.deployment]
        limits = self._limits(terms[0])
        for one in terms[1:]:
            limits = limits.strictest(self._limits(one))
        hosts = [one for one in book.outs.leaves if one.kind == HOST]
        overdue = frozenset(
            one.subject for one in hosts if self._since_was(now, one, _plays(book, one), one.plays_ms)
        )
        restart = terms[0].edge.fleet.out.restart_ms
        stalled = frozenset(
            (one.kind, one.subject)
            for one in book.outs.leaves
            if one.ran and self._since_was(now, one, f"ran {one.ran}", restart)
        )
        gone = desk.mingling.states() if desk.mingling is not None else {}
        ground = ground_of(terms[0])
        if desk.catalogue is not None and any(one.edge.catalogue.on for one in terms):
            blind = blind or desk.catalogue.blind
            ground = ground._replace(titles=ground.titles + desk.catalogue.spread)
        view = desk.sight.view(now, desk.clocks.wall(), ground, book.outs, gone, overdue)
        view = view._replace(stalled=stalled)
        return (view._replace(blind=blind) if blind else view), limits

    def _since_was(self, now: int, leave: Leave, what: str, longer_ms: float) -> bool:
        """Whether this desk has led with a leave in this standing for longer."""
        since = self._since.get((leave.number, leave.kind, leave.subject, what))
        return since is not None and now - since >= longer_ms * MS

    def _settings(self, name: str) -> Deployment | None:
        if name not in self._parsed:
            raw = self.desk.store.settings(name)
            if raw is None:
                return None
            try:
                self._parsed[name] = parse(raw.decode("utf-8"))
            except (BadSettings, UnicodeDecodeError):
                return None
        return self._parsed[name]

    # Steps.

    async def _restart(self, book: Book) -> None:
        """Begin the restarts that are due: each is in the register before it is begun, and never begun twice
        by itself."""
        desk, by = self.desk, f"{self.desk.number}, term {self.leading.term}"
        for leave, drain in outs_module.to_restart(book.outs):
            after = msgspec.structs.replace(leave, ran=by)

            def begin(book: Book, leave: Leave = leave) -> Book:
                due = [one for one, _ in outs_module.to_restart(book.outs)]
                if not holds(book.lead, desk.number, self.leading.term) or leave not in due:
                    return book
                return put(book, outs=outs_module.begun(book.outs, leave, by))

            if after in (await desk.change(begin)).outs.leaves:
                desk.spawn(self._command(leave, drain))

    async def _command(self, leave: Leave, drain: Drain) -> None:
        words = [one.replace(f"{{{leave.kind}}}", str(leave.subject)) for one in drain.command]
        desk = self.desk
        desk.log.info("restarts", kind=leave.kind, subject=leave.subject, command=words)
        try:
            process = await asyncio.create_subprocess_exec(
                *words, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL
            )
            code = await process.wait()
            why = f"its command ended with {code}" if code else ""
        except OSError as trouble:
            why = f"its command could not be begun: {trouble}"
        if not why:
            return
        why = f"the restart of {leave.kind} {leave.subject} failed: {why}"

        def halt(book: Book) -> Book:
            one = book.outs.drain(drain.number)
            if one is None or one.state != "going":
                return book
            return put(book, outs=outs_module.change(book.outs, drain.number, state="halted", why=why))

        await desk.quietly(lambda: desk.change(halt))

    async def _step(self, renew: bool) -> None:
        desk, term = self.desk, self.leading.term

        def step(book: Book) -> Book:
            if not holds(book.lead, desk.number, term):
                return book  # another leads: whatever this desk was about to do has no effect
            after = self.advanced(book)
            if after is book and not renew:
                return book
            beat = msgspec.structs.replace(book.lead, beat=book.lead.beat + 1)
            return jot(book, lead=beat) if after is book else msgspec.structs.replace(after, lead=beat)

        if self.more is not None:
            self.more.see(desk.clocks.steady(), desk.learned, *self.view(desk.learned))
        if step(desk.learned) is desk.learned:
            return
        book = await desk.change(step)
        if self.more is not None:
            self.more.stepped(book)
        if holds(book.lead, desk.number, term):
            self.leading.said(desk.clocks.steady())

    def advanced(self, book: Book) -> Book:
        """The book after what follows now from what this desk sees."""
        view, limits = self.view(book)
        outs, self.waits = outs_module.advance(book.outs, book.at + 1, view, limits)
        after = book if outs == book.outs else put(book, outs=outs)
        if self.more is None:
            return after
        return self.more.step(self.desk.clocks.steady(), after, view, limits)

    async def _say(self, book: Book) -> None:
        """Have the list say how hosts under leave stand, until it does."""
        if self._tell_list is None:
            return
        standings = self.desk.sight.standings(self.desk.clocks.steady())
        rows = outs_module.to_be_told(book.outs.leaves, standings)
        if rows:
            await self._tell_list(rows)

    # Operators.

    async def take(self, path: str, body: bytes) -> Callable[[Book], Book] | None:
        """The change that an operator's word asks for; None where the path is not for this. Raises Refused,
        NoMajority, msgspec.MsgspecError."""
        if path == "/fleet/v1/drain":
            asked: Asked = msgspec.json.decode(body, type=Asked)
            return lambda book: self._asked(book, asked)
        if path == "/fleet/v1/said":
            said: Said = msgspec.json.decode(body, type=Said)
            return lambda book: said_of_drain(book, said)
        return await self.more.take(path, body) if self.more is not None else None

    def recovered(self, book: Book) -> Book:
        """See `coordinator_shell.Leads`."""
        return self.more.recovered(book) if self.more is not None else book

    def shows(self, path: str) -> object | None:
        """What is to be seen under a path, None where nothing is."""
        return self.more.shows(path) if self.more is not None else None

    def _asked(self, book: Book, asked: Asked) -> Book:
        if any(one.request == asked.request for one in book.outs.drains):
            return book
        subjects = self._subjects(book, asked)
        terms = self.desk.deployment.edge.fleet
        plays = terms.out.plays_ms if asked.plays_ms is None else asked.plays_ms
        words = (book.at + 1, asked.request, asked.kind, subjects, plays, asked.late, asked.then)
        drain = Drain(*words, command=asked.command)
        return put(book, outs=outs_module.ask(book.outs, drain))

    def _zone(self, name: str) -> int | None:
        zones = self.desk.deployment.zones
        if name in zones:
            return zones.index(name)
        if name.isdecimal() and int(name) < len(zones):
            return int(name)
        if name:
            raise Refused(f"there is no zone {name!r}; there are {', '.join(zones)}")
        return None

    def _subjects(self, book: Book, asked: Asked) -> tuple[int, ...]:
        view, _ = self.view(book)
        zone = self._zone(asked.zone_name)
        if asked.kind == GATEWAY:
            strangers = [one for one in asked.subjects if not 0 <= one < book.gateways]
            if strangers:
                raise Refused(f"gateway {strangers[0]} is not of this fleet of {book.gateways}")
            found = {n for n, one in view.gateways.items() if one.zone == zone} | set(asked.subjects)
        elif asked.kind == HOST:
            strangers = [one for one in asked.subjects if one not in view.hosts]
            if strangers and view.blind:
                raise Refused(f"{view.blind}; ask again shortly")
            if strangers:
                raise Refused(f"host {strangers[0]} is on no gateway's list")
            found = set(asked.subjects) | {
                n
                for n, one in view.hosts.items()
                if (asked.rack is not None and one.rack == asked.rack) or one.zone == zone
            }
        else:
            raise Refused(f"there is no kind {asked.kind!r} to drain")
        if not found:
            raise Refused("nobody is there to be drained by these words")
        return tuple(sorted(found))


def said_of_drain(book: Book, said: Said) -> Book:
    """The book after an operator's word on a drain. Raises Refused."""
    if said.kind:
        if book.outs.of(said.kind, said.subject) is None:
            raise Refused(f"{said.kind} {said.subject} holds no leave")
        return put(book, outs=outs_module.vouched(book.outs, said.kind, said.subject))
    drain = book.outs.drain(said.number)
    if drain is None:
        raise Refused(f"there is no drain {said.number}")
    state = SAID.get((drain.state, said.word))
    if state is None:
        raise Refused(f"drain {said.number} is {drain.state}, and cannot be told: {said.word}")
    if state == drain.state:
        return book
    outs = outs_module.change(book.outs, drain.number, state=state, why=said.why)
    if state == "going":
        outs = outs_module.resumed(outs, drain.number)
    if state == "back":
        outs = outs_module.called_back(outs, drain.number, book.at + 1)
    return put(book, outs=outs)


def _plays(book: Book, leave: Leave) -> str:
    """In which standing of its drain what plays at a holder goes on: it begins anew when that is resumed."""
    drain = book.outs.drain(leave.drain)
    return f"plays {drain.state if drain is not None else ''}"


def limits_of(found: Deployment) -> Limits:
    """How many may be out, as settings say."""
    terms = found.edge.fleet.out
    return Limits(
        terms.gateways,
        terms.gateways_zone,
        terms.hosts,
        terms.hosts_zone,
        terms.hosts_rack,
        terms.holders,
        terms.spare,
    )


def ground_of(found: Deployment) -> Ground:
    """The deployment, as settings say."""
    fleet = found.fleet
    return Ground(
        found.gateways,
        len(found.zones),
        fleet.cells,
        fleet.racks,
        fleet.link_kb,
        fleet.weights_tell_size,
        fleet.uplink_kb,
        tuple((one.name, one.home, one.copies) for one in found.titles),
        int(found.rules.warm_after_ms * MS),
    )
