"""Releases on a desk: what gateways' words say of each step, the checks before the first, and the looks that
are kept for the report. What follows is decided in `steps` and `watching`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from burlmast.fleet import orders
from burlmast.fleet.coordinator_shell import Coordinator
from burlmast.fleet.messages import Heartbeat, Said
from burlmast.fleet.orders import Book, Refused
from burlmast.fleet.outs import GATEWAY, HOST, Limits, View
from burlmast.http1.client import Whole
from burlmast.http1.messages import split_address
from burlmast.release import steps, watching
from burlmast.release.plan import Plan, faults, whom
from burlmast.release.steps import Facts, Release, Say
from burlmast.release.watching import Evidence, Part, Spread, Terms

JSON = ((b"content-type", b"application/json"),)
S = 1_000_000_000
WORDS = {"halt": "operator halts", "resume": "operator resumes", "back": "operator goes back"}


class Start(msgspec.Struct, frozen=True):
    """An operator starts a release; the plan's settings are their JSON text."""

    request: str
    plan: Plan


class Look(msgspec.Struct, frozen=True):
    """What a leader saw at one moment of a release, for the report."""

    release: int
    at: int  # wall clock
    state: str
    step: int
    new: tuple[int, int] = (0, 0)  # asked and served since the look before, by those on the new version
    old: tuple[int, int] = (0, 0)
    gateways: int = 0  # out, by leave or without
    hosts: int = 0
    may_gateways: int = 0
    may_hosts: int = 0


class Seen:
    """What a leader remembers between two looks; lost with it, and then looks begin anew."""

    def __init__(self) -> None:
        self.key: tuple[object, ...] = ()  # of the step that it is of
        self.since = 0  # when this leader first saw the step
        self.counts: dict[str, dict[str, int]] = {}  # by life, as counted in the evidence
        self.spread = Spread()


class Releases:
    """See `keeper_shell.More`."""

    def __init__(self, desk: Coordinator) -> None:
        self.desk = desk
        self._seen: dict[int, Seen] = {}
        self._now: dict[str, tuple[int, dict[str, int]]] = {}  # by life: gateway, and counts as of this look
        self._tried = ""  # names the look that is being put into the evidence
        self._looks = self._looked_at = 0

    def work(self, book: Book) -> bool:
        """Whether a release moves by itself."""
        return any(one.moving for one in steps.all_of(book))

    # Looks.

    def see(self, now: int, book: Book, view: View, limits: Limits) -> None:
        """Take down what gateways have counted, once a beat."""
        if self._tried and evidence_of(book).mark == self._tried:
            self._counted(book)  # the change by which it went in was done, though nobody said so
        self._tried = ""
        if now - self._looked_at < self.desk.beat_s * S:
            return
        sight = self.desk.sight
        before = self._now
        self._now = {
            heartbeat.ask.life: (number, dict(heartbeat.away.counts))
            for number, heartbeat in sight.heard.items()
            if sight.fresh(now, number)
        }
        self._looked_at, self._looks = now, self._looks + 1
        self._tried = f"{sight.life}:{self._looks}"
        for release in steps.all_of(book):
            if release.moving:
                self._keep_look(release, book, view, limits, before)

    def stepped(self, book: Book) -> None:
        """The book is so now: what was looked at is counted."""
        if self._tried and evidence_of(book).mark == self._tried:
            self._counted(book)
            self._tried = ""

    def _counted(self, book: Book) -> None:
        for release in steps.all_of(book):
            seen = self._seen.get(release.number)
            if seen is not None:
                on_it, _, _ = self._who(release, book)
                seen.spread.look(
                    {
                        life: watching.difference(seen.counts[life], counts)
                        for life, (number, counts) in sorted(self._now.items())
                        if number not in on_it and life in seen.counts
                    }
                )
                seen.counts |= {life: counts for life, (_, counts) in self._now.items()}

    def _keep_look(
        self,
        release: Release,
        book: Book,
        view: View,
        limits: Limits,
        before: dict[str, tuple[int, dict[str, int]]],
    ) -> None:
        served = {True: (0, 0), False: (0, 0)}
        on_it, _, _ = self._who(release, book)
        for life, (number, counts) in self._now.items():
            if life in before:
                more = watching.difference(before[life][1], counts)
                asked, plays = served[number in on_it]
                served[number in on_it] = asked + more.get("asked", 0), plays + more.get("plays", 0)
        look = Look(
            release.number,
            self.desk.clocks.wall(),
            release.state,
            release.step,
            served[True],
            served[False],
            len(out_now(book, view, GATEWAY)),
            len(out_now(book, view, HOST)),
            limits.gateways,
            limits.hosts,
        )
        self.desk.store.keep_look(release.number, msgspec.msgpack.encode(look))

    # Steps.

    def step(self, now: int, book: Book, view: View, limits: Limits) -> Book:
        """The book after what follows now."""
        for release in steps.all_of(book):
            if release.moving:
                book = self._step(now, book, release, view, limits)
        return book

    def _step(self, now: int, book: Book, release: Release, view: View, limits: Limits) -> Book:
        seen = self._seen.setdefault(release.number, Seen())
        key = (release.state, release.step, len(release.back), len(release.log), release.log[-1:])
        if seen.key != key:
            seen.key, seen.since = key, now
            if release.state == "watching":
                seen.spread = Spread()
        evidence = evidence_of(book)
        if release.state in ("wave", "watching"):
            evidence = self._looked(seen, release, book, evidence)
        facts = self._facts(now, seen, release, book, view, limits, evidence)
        happening, why = steps.what_follows(release, facts, book.gateways)
        say = Say(why, self.desk.clocks.wall(), self.desk.number)
        if happening:
            return steps.take(book, release.number, happening, say)
        if evidence != evidence_of(book):
            return orders.jot(book, evidence=msgspec.to_builtins(evidence))
        return book

    def _looked(self, seen: Seen, release: Release, book: Book, evidence: Evidence) -> Evidence:
        if not self._tried or evidence.mark == self._tried:
            return evidence  # this look is in it already
        on_it, _, _ = self._who(release, book)
        begun = [(n, life, counts) for life, (n, counts) in sorted(self._now.items()) if life in seen.counts]
        parts = [
            Part(n in on_it, watching.difference(seen.counts[life], counts)) for n, life, counts in begun
        ]
        found = watching.look(evidence, parts, seen.spread.by_measure(), terms_of(release.plan))
        return msgspec.structs.replace(found, release=release.number, step=release.step, mark=self._tried)

    def _facts(
        self,
        now: int,
        seen: Seen,
        release: Release,
        book: Book,
        view: View,
        limits: Limits,
        evidence: Evidence,
    ) -> Facts:
        plan, took = release.plan, (now - seen.since) / S
        on_it, off_it, left = self._who(release, book)
        known = frozenset(n for n, one in view.gateways.items() if one.state != "silent" and one.disk)
        watch = plan.watch
        least = watch.canary_s if release.step == 0 else watch.wave_s
        enough = watching.seen(evidence) >= watch.least
        held = {one.subject for one in book.outs.leaves if one.kind == GATEWAY}
        out = [n for n in out_now(book, view, GATEWAY) if n in held or not view.gateways[n].doubted]
        drains = [book.outs.drain(number) for number in release.drains]
        halted = [one.why for one in drains if one is not None and one.state == "halted"]
        mine = evidence.release == release.number
        return Facts(
            on_it,
            off_it,
            known,
            overdue=took >= plan.lag_s and not (plan.command and self._moves(release, book)),
            watched=took >= least and enough,
            starved=took >= least * watch.longest and not enough,
            harm=watching.verdict(evidence, terms_of(plan)) if mine else "",
            halted_drain=halted[0] if halted else "",
            too_many=_too_many(out, limits, view) if len(out) > limits.gateways else "",
            left=left,
        )

    @staticmethod
    def _moves(release: Release, book: Book) -> bool:
        """Whether a drain of it goes on: how long that takes is for the leaves to say."""
        return any((one := book.outs.drain(number)) and one.state == "going" for number in release.drains)

    def _who(self, release: Release, book: Book) -> tuple[frozenset[int], frozenset[int], dict[int, str]]:
        """Who acts on the new version, who on what was before, and who cannot take it and why."""
        on_it: set[int] = set()
        off_it: set[int] = set()
        left: dict[int, str] = {}
        now = self.desk.clocks.steady()
        for number in whom(release.plan, book.gateways):
            heartbeat = self.desk.sight.heard.get(number)
            if heartbeat is None:
                continue
            fresh = self.desk.sight.fresh(now, number)
            if heartbeat.state in ("left behind", "cannot keep"):
                left[number] = heartbeat.why
            new = self._acts(release, book, number, heartbeat)
            # Who was on it and is silent now comes up with it; who is to go back has to be heard.
            if new or (new is not None and fresh):
                (on_it if new else off_it).add(number)
        return frozenset(on_it), frozenset(off_it), left

    @staticmethod
    def _acts(release: Release, book: Book, number: int, heartbeat: Heartbeat) -> bool | None:
        """Whether a gateway acts on the new version; None where it is between the two."""
        if release.plan.settings:
            order = orders.wanted(book, number)
            followed = heartbeat.stamp.order == (order.number if order is not None else 0)
            new = heartbeat.stamp.settings == release.digest
            return new if heartbeat.state == "in force" and (new or followed) else None
        if book.outs.of(GATEWAY, number) is not None:
            return None  # between the two
        out, back = steps.restarted(book, release)
        return number in out and number not in back

    # Operators.

    async def take(self, path: str, body: bytes) -> Callable[[Book], Book] | None:
        """The change that an operator's word asks for, None where the path is another's."""
        if path == "/release/v1/start":
            return await self._start(msgspec.json.decode(body, type=Start))
        if path == "/release/v1/said":
            said: Said = msgspec.json.decode(body, type=Said)
            return lambda book: self._said(book, said)
        return None

    def _said(self, book: Book, said: Said) -> Book:
        release = steps.find(book, said.number)
        if release is None:
            raise Refused(f"there is no release {said.number}")
        why = said.why or f"{said.word} by an operator"
        say = Say(why, self.desk.clocks.wall(), self.desk.number)
        after = steps.take(book, said.number, WORDS.get(said.word, ""), say)
        if after is book and release.state not in ("halted", "going back"):
            raise Refused(f"release {said.number} is {release.state}, and cannot be told: {said.word}")
        return after

    async def _start(self, start: Start) -> Callable[[Book], Book]:
        plan, gateways = start.plan, self.desk.deployment.gateways
        for key, what in faults(plan, gateways):
            raise Refused(f"{key}: {what}")
        release = Release(0, start.request, plan)
        if plan.settings:
            name, found = await self.desk.settings_kept(plan.settings)
            await self._readable(plan, plan.settings)
            plan = msgspec.structs.replace(plan, settings=name)
            lease = found.edge.fleet.lease_ms
            release = msgspec.structs.replace(release, plan=plan, digest=name, lease_ms=lease)
        return lambda book: steps.start(book, release)

    async def _readable(self, plan: Plan, text: str) -> None:
        """Each gateway that is heard says that it can take these settings as it runs, before the first step.
        Raises Refused."""
        now, sight = self.desk.clocks.steady(), self.desk.sight
        wanted = [n for n in whom(plan, self.desk.deployment.gateways) if sight.fresh(now, n)]

        async def one(number: int) -> str:
            try:
                status, _, told = await Whole.of(
                    self.desk.pool,
                    split_address(sight.heard[number].operators),
                    b"POST",
                    b"/fleet/v1/readable",
                    JSON,
                    text.encode("utf-8"),
                    within=2.0 + 2 * self.desk.beat_s,  # an operator waits for it, once
                )
            except (ConnectionError, TimeoutError, OSError) as why:
                return f"no answer: {why}"
            return str(msgspec.json.decode(told)["why"]) if status == 200 else f"status {status}"

        for number, why in zip(wanted, await asyncio.gather(*map(one, wanted)), strict=True):
            if why:
                raise Refused(f"gateway {number}: {why}; nothing has begun")

    def recovered(self, book: Book) -> Book:
        """See `steps.recovered`."""
        return steps.recovered(book)

    def shows(self, path: str) -> object | None:
        """The looks of a release."""
        number = path.removeprefix("/release/v1/looks/")
        if number == path or not number.isdecimal():
            return None
        return [msgspec.msgpack.decode(one, type=Look) for one in self.desk.store.looks(int(number))]


def terms_of(plan: Plan) -> Terms:
    """Of the test, as the plan says."""
    watch = plan.watch
    return Terms(watch.worse, watch.false_alarm, watch.miss, watch.compare)


def evidence_of(book: Book) -> Evidence:
    """What the watch that goes on has seen."""
    return msgspec.convert(book.evidence, type=Evidence) if book.evidence else NOTHING


NOTHING = Evidence()


def out_now(book: Book, view: View, kind: str) -> list[int]:
    """Who is out, by leave or without."""
    seen = view.gateways if kind == GATEWAY else view.hosts
    lost = {n for n, one in seen.items() if not one.well}
    return sorted(lost | {one.subject for one in book.outs.leaves if one.kind == kind})


def _too_many(out: list[int], limits: Limits, view: View) -> str:
    told = ", ".join(f"{n} ({view.gateways[n].why or 'under leave'})" for n in out[:4])
    return f"{len(out)} gateways are out where {limits.gateways} may be: {told}"
