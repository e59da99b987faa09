"""The gateway as a process: its loop, signals, listeners and clock, round one driver."""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from burlmast import api
from burlmast.api import Scope
from burlmast.edge.attendant import Attendant
from burlmast.edge.changing import ChangingDriver
from burlmast.edge.door import Door, ViewersGate
from burlmast.edge.driver import Policy
from burlmast.edge.hosts import HostsSide
from burlmast.edge.limits import Doorkeeper
from burlmast.edge.listing import ListSide
from burlmast.edge.operators import Operators
from burlmast.edge.playback import Attempt, Final, Playback, Wanted
from burlmast.edge.redial import Redial
from burlmast.edge.together import Alone, Together, Work
from burlmast.hostbook.keeper import Keeper
from burlmast.hostbook.shelf import Shelf
from burlmast.hostbook.snapshot import rows as rows_of
from burlmast.http1.client import Address, Pool
from burlmast.http1.messages import split_address
from burlmast.http1.server import Bounds, Server
from burlmast.logic import Gateway
from burlmast.settings.read import nanoseconds, terms
from burlmast.settings.sheets import Deployment
from burlmast.stitch.larder import Holder
from burlmast.stitch.programme import Known
from burlmast.stitch.reel import Reel
from burlmast.stitch.shell import Notices

FAULT_EXIT = 70  # EX_SOFTWARE of sysexits.h
# The collector looks at what is young, and by itself never at everything: that would stop the loop for as
# long as there are playbacks. What names itself in a circle is taken apart when it is over; a test counts it.
COLLECT = (2_000, 10, 1_000_000)
# asyncio's transports name themselves in a circle: 1.3 kB for each connection that is closed. So many of them
# are worth a look at everything.
COLLECT_AFTER_CLOSED = 5_000
Maker = Callable[[api.Terms, int, int], Policy]


class Program(Attendant):
    """One gateway. It is the driver's outside and the hosts' ear."""

    def __init__(
        self,
        deployment: Deployment,
        number: int,
        list_address: Address | None,
        zone: int | None = None,
        maker: Maker = Gateway,
        seed: int | None = None,
        state: Path | None = None,
        together: Callable[[Program], Together] = Alone.of,
    ) -> None:
        """Must be made on a running loop. `maker` makes the decisions; others than `Gateway` are for
        trials. With a folder for its `state` it stitches notices; raises StoreFault where that cannot be
        used. `together` makes its part in a fleet of gateways."""
        self.deployment, self.number = deployment, number
        self._maker = maker
        zone = number % len(deployment.zones) if zone is None else zone
        edge = deployment.edge
        super().__init__()
        self.log = structlog.get_logger().bind(gateway=number)
        self.doorkeeper = Doorkeeper(edge.doorway)
        self.done: asyncio.Future[int] = self.loop.create_future()
        self.notices: Notices | None = None
        self._keeper: Keeper | None = None
        self.from_disk = False  # no list has been heard yet, and hosts are those that were on disk
        self.ready = False
        self.longest_stall = 0.0
        self.pool = Pool(connect_s=edge.connect_ms / 1000)
        self.door = Door(deployment, self.doorkeeper, self.now, self.arm)
        rungs = len(deployment.ladder.rates_kb)
        self.hosts = HostsSide(
            self.pool,
            self,
            lambda host: self.driver.address(host),
            self._rate,
            number,
            edge.probe_ms / 1000,
            self.loop.call_later,
            self._under,
        )
        self.together = together(self)
        self.door.titles = self.together.titles
        self.door.shut = lambda: self.together.closed
        self.door.shut_advice = lambda: self.together.advice
        self._zone, self._changes = zone, 0
        seed = secrets.randbits(63) if seed is None else seed
        self.list: ListSide | None = None
        if list_address is not None:
            redial = Redial(
                nanoseconds(edge.redial_ms),
                nanoseconds(edge.redial_longest_ms),
                nanoseconds(edge.list_quiet_ms),
                seed,
            )
            self.list = ListSide(
                self.pool,
                list_address,
                number,
                redial,
                self,
                deployment.allowed.must_ask,
                self.now,
                self.loop.call_later,
            )
        self._seed = seed
        segment = nanoseconds(edge.segment_ms)
        told = terms(deployment, number, zone)
        self.driver: ChangingDriver = ChangingDriver(
            lambda now: maker(told, seed, now),
            self,
            lambda: secrets.token_urlsafe(15),
            deployment.allowed.tries,
            int(edge.unheard_targets * segment),
            self._reel,
            self.now(),
        )
        self.door.driver = self.driver
        if state is not None:
            known = Known(
                None if edge.catalogue.on else [title.name for title in deployment.titles],
                [plan.name for plan in deployment.plans],
                rungs,
                deployment.fleet.cells,
            )
            self.notices = Notices(
                state / f"gateway-{number}",
                known,
                segment,
                edge.window,
                edge.ahead,
                edge.notices.tries,
                nanoseconds(edge.notices.again_ms),
                edge.notices.at_once,
                self.pool,
                self,
                self.now,
            )
            self.door.notices = self.notices
            self._keeper = Keeper(Shelf(state / f"gateway-{number}"), edge.hostbook.write_ms / 1000, self)
            self._start_from_disk(self._keeper.shelf, int(edge.hostbook.oldest_s * 1e9))
        self.operators = Operators(self)
        self.viewers = Server(self.door.application, Bounds(), ViewersGate(self.doorkeeper), self._door_fault)
        self.operators_server = Server(self.operators.application, Bounds())
        self._signals: list[int] = []
        self._collected_at = 0  # connections that had been closed when all garbage was collected last

    async def start(
        self, host: str, port: int, operators: tuple[str, int] = ("127.0.0.1", 0)
    ) -> tuple[int, int]:
        """Begin to listen; the ports of viewers and operators."""
        ops = await self.operators_server.listen(*operators)
        found = await self.viewers.listen(host, port)
        if self.list is not None and not self.deployment.allowed.must_ask:
            self.list.want()
        self.arm()
        self.together.start(f"{operators[0]}:{ops}")
        self._watch_loop(self.loop.time())
        # What has been made by now stays; collecting it again and again is what would stop the loop for
        # longest.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        self.log.info("started", viewers=found, operators=ops)
        return found, ops

    def handle_signals(self) -> None:
        """SIGTERM and SIGINT stop this gateway; the second one at once."""
        for one in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(one, self.stop)

    def _collect_closed(self) -> None:
        closed = self.viewers.closed + self.operators_server.closed
        if closed - self._collected_at >= COLLECT_AFTER_CLOSED:
            self._collected_at = closed
            gc.collect()

    def _watch_loop(self, due: float) -> None:
        self._collect_closed()
        late = self.loop.time() - due
        if late > max(self.longest_stall, 0.001):
            self.longest_stall = late
            if late > 0.5:
                self.log.warning("stood still", seconds=round(late, 3))
        self.loop.call_later(0.1, self._watch_loop, self.loop.time() + 0.1)

    # The list on disk.

    def _start_from_disk(self, shelf: Shelf, oldest: int) -> None:
        start = shelf.start(time.time_ns(), oldest)
        self.log.info("hosts on disk", what=start.line)
        if start.book is not None:
            self.from_disk = True
            where = {page.host: page.address for page in start.book.pages}
            # Every host counts as cold: what is on disk says where to ask, not what is so.
            self.listed(Scope.CACHED, tuple(rows_of(start.book)), where)

    @property
    def kept_hosts(self) -> int:
        """Hosts in the last snapshot that is on disk."""
        return self._keeper.kept if self._keeper is not None else 0

    def disk_trouble(self, what: str) -> None:
        """The list could not be kept."""
        self.log.error("hosts on disk", what=what)

    # Notices.

    def _reel(self, public: str, wanted: Wanted) -> Reel:
        plan, edge = self.deployment.plans[wanted.plan].name, self.deployment.edge
        if self.notices is None:
            return Reel(wanted.title_name, plan, nanoseconds(edge.segment_ms), edge.window, edge.ahead)
        return self.notices.reel(public, wanted.title_name, plan, wanted.viewer_name)

    def holders(self) -> list[Holder]:
        """Hosts as the decisions know them."""
        policy = self.driver.policy
        if not isinstance(policy, Gateway):
            return []
        ready = api.Standing.READY
        return [Holder(one.id, one.row.cell, one.row.standing is ready) for one in policy.hosts.values()]

    def room(self, host: int) -> float:
        """A host's room as the decisions reckon it."""
        policy = self.driver.policy
        found = policy.hosts.get(host) if isinstance(policy, Gateway) else None
        return policy.room(self.now(), found) if found is not None and isinstance(policy, Gateway) else 0.0

    def address(self, host: int) -> Address | None:
        """Where the list says that a host is."""
        found = self.driver.address(host)
        return split_address(found) if found else None

    def programme_acts(self, version: int) -> None:
        """Another version of the programme is in force."""
        self.together.programme(version)

    def store_trouble(self, what: str) -> None:
        """The disk under the notices, or what stood on it, is not well."""
        self.log.error("notices", what=what)

    # With others.

    def _rate(self, plan: int, rung: int) -> float:
        return self.deployment.ladder.rates_kb[rung] * self.deployment.plans[plan].scale

    def _under(self, one: Attempt) -> tuple[str, int, int, int] | None:
        return self.together.set_up(one.playback.public, one.host, one.place)

    def work(self) -> Work:
        """What there is to do, and what the decisions see; for the fleet, each beat."""
        driver, policy = self.driver, self.driver.policy
        asked = sum(
            self._rate(one.wanted.plan, one.rung) for one in driver.held.values() if one.state == "playing"
        )
        hosts = policy.hosts.values() if isinstance(policy, Gateway) else ()
        fallen = tuple(sorted(one.id for one in hosts if one.fell))
        busy = driver.asked + driver.playing
        counts, away = dict(driver.counts), sum(self.doorkeeper.turned_away.values())
        for what in ("asked", "rejected"):
            counts[what] = counts.get(what, 0) + away
        return Work(busy, self.ready, self._zone, asked, fallen, counts)

    def cut(self) -> None:
        """End what plays: its viewers ask another gateway."""
        for playback in [one for one in self.driver.held.values() if one.state == "playing"]:
            self.driver.leave(self.now(), playback)
        self.arm()

    def restate(self, rows: tuple[api.HostRow, ...]) -> None:
        """Rows of the list that are to be acted on otherwise now."""
        self._listed(Scope.CHANGES, rows, {}, by_list=False)

    def change_settings(self, deployment: Deployment) -> None:
        """From now on these are in force: what plays and what is asked goes over to decisions by them."""
        self.deployment, self._changes = deployment, self._changes + 1
        self.door.offer(deployment)
        told, seed = terms(deployment, self.number, self._zone), self._seed + self._changes
        started = risen(self.driver.policy, self.now())
        self.driver.change_policy(
            self.now(), lambda now: self._maker(told, seed, now), deployment.allowed.tries, started
        )
        self.arm()

    # The driver's outside.

    def open_attempt(self, one: Attempt) -> None:
        # Danger: it may have been held since before a stop of this process, or of its lease.
        if self.together.may_take():
            self.hosts.open_attempt(one)
        else:
            self.driver.ended(self.now(), one, api.Ending.MOOT, api.Load())

    def close_attempt(self, one: Attempt) -> None:
        self.hosts.close_attempt(one)

    def change_rung(self, one: Attempt, rung: int) -> None:
        self.together.act("stepped")
        self.hosts.change_rung(one, rung)

    def probe(self, host: int) -> None:
        self.hosts.probe(host)

    def keep_informed(self) -> None:
        if self.list is not None:
            self.list.want()

    def answer(self, playback: Playback, final: Final) -> None:
        took = self.now() - playback.abandon + playback.wanted.patience
        self.operators.answer_time.observe(took / 1e9)
        target = self.deployment.plans[playback.wanted.plan].startup_target_ms
        if final.kind == "plays" and took > nanoseconds(target):
            self.driver.counts["slow"] += 1
        if final.kind in ("rejected", "aborted"):
            self.together.act(final.kind)
        self.door.answer(playback, final)

    def over(self, playback: Playback) -> None:
        self.door.over(playback)
        never_shown = playback.state == "refused" and playback.public not in self.driver.shown
        if self.notices is not None and never_shown:
            self.notices.over(playback.public)

    def moved(self, now: int, playback: Playback) -> None:
        self.together.act("moved")
        self.driver.come_back(now, playback)

    def hidden(self, playback: Playback) -> None:
        if self.notices is not None:
            self.notices.over(playback.public)

    def remark(self, text: str) -> None:
        self.log.info("remark", text=text)

    def fault(self, event: object, why: Exception) -> None:
        self.log.error(
            "decisions failed", event_seen=repr(event), why=f"{type(why).__name__}: {why}", exc_info=why
        )
        # The answers are in the transports' buffers; they go out before the loop ends.
        self.viewers.stop_listening()
        self.loop.call_later(0.2, self._end, FAULT_EXIT)

    # The hosts' ear and the list's reader.

    def rung_stays(self, one: Attempt, rung: int) -> None:
        self.driver.rung_stays(self.now(), one, rung)
        self.arm()

    def listed(self, scope: Scope, rows: tuple[api.HostRow, ...], where: dict[int, str]) -> None:
        if scope is Scope.FAILED:
            self._listed(scope, rows, where)
        else:
            complete = scope is not Scope.CHANGES
            self.together.listed(complete, rows, lambda: self._listed(scope, rows, where))

    def _listed(
        self, scope: Scope, rows: tuple[api.HostRow, ...], where: dict[int, str], by_list: bool = True
    ) -> None:
        timed = self.timed(tuple(self.together.stands(row) for row in rows))
        if scope is not Scope.FAILED:
            if not self.ready:
                self.log.info("has a list", hosts=len(rows))
            self.ready = True
        if scope is Scope.COMPLETE:
            self.from_disk = False
        if self._keeper is not None and by_list and scope in (Scope.COMPLETE, Scope.CHANGES):
            self._keeper.heard(scope is Scope.COMPLETE, rows, where)
        leaving = [row for row in timed if row.standing is not api.Standing.READY]
        for row in leaving:
            self.log.info("host leaves", host=row.host, standing=row.standing.value)
        self.driver.listed(self.now(), scope, timed, where)
        if self.notices is not None:
            self.notices.left([row.host for row in leaving])
        self.arm()

    def list_trouble(self, what: str) -> None:
        """The list, or the way to it, is not well."""
        self.log.warning("list trouble", what=what)

    def _door_fault(self, why: Exception) -> None:
        self.log.error("door failed", why=f"{type(why).__name__}: {why}", exc_info=why)

    # The end.

    def stop(self) -> None:
        """Take nothing new, answer what is held, leave what plays until the stated time."""
        if self.door.closing:
            self._end(0)
            return
        self.log.info("stopping", held=self.driver.asked, playing=self.driver.playing)
        self.door.closing = True
        self.ready = False
        # The door stays open: what plays goes on reading its playlist, and new requests hear where they
        # stand.
        self._wind_down(self.loop.time() + self.deployment.edge.leave_after_ms / 1000)

    def _wind_down(self, until: float) -> None:
        busy = self.driver.asked or self.driver.playing
        if not busy or self.driver.failed or (self.loop.time() >= until and not self.driver.asked):
            self.loop.call_later(0.05, self._end, 0)
        else:
            self.loop.call_later(0.05, self._wind_down, until)

    def _end(self, code: int) -> None:
        if not self.done.done():
            self.done.set_result(code)

    def close(self) -> None:
        """Close every socket."""
        self.disarm()
        self.together.close()
        if self.list is not None:
            self.list.close()
        self.viewers.close()
        self.operators_server.close()
        if self.notices is not None:
            self.notices.close()
        if self._keeper is not None:
            self._keeper.close()
        self.pool.close()


def risen(policy: Policy, now: int) -> Callable[[api.HostRow], int]:
    """The latest moment at which each host may have started, as far as these decisions know."""

    def of(row: api.HostRow) -> int:
        host = policy.hosts.get(row.host) if isinstance(policy, Gateway) else None
        if host is None or host.fell:
            return now
        return max(row.started, min(host.risen, host.proven) if host.presumed else host.risen)

    return of


async def run(
    deployment: Deployment,
    number: int,
    list_address: Address | None,
    listen: tuple[str, int],
    operators: tuple[str, int],
    told: Callable[[dict[str, Any]], None],
    maker: Maker = Gateway,
    zone: int | None = None,
    seed: int | None = None,
    state: Path | None = None,
    together: Callable[[Program], Together] = Alone.of,
) -> int:
    """Run one gateway until it is stopped; the exit code. Raises OSError where it cannot listen, StoreFault
    where its state cannot be used."""
    program = Program(deployment, number, list_address, zone, maker, seed, state, together)
    try:
        viewers, ops = await program.start(*listen, operators)
        program.handle_signals()
        told(
            {
                "ready": True,
                "gateway": f"http://{listen[0]}:{viewers}",
                "operators": f"http://{operators[0]}:{ops}",
            }
        )
        code = await program.done
        program.log.info("ended", code=code)
        return code
    finally:
        program.close()
        await asyncio.sleep(0)
