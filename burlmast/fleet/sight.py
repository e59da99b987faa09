"""What a desk surely knows of gateways and media hosts, from which leaves are granted. Free of I/O.

Whatever is not surely well counts as out. A gateway's word counts by a token of this desk that it gives back,
so that a word that was a minute on its way is a minute old here, whenever it comes.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burlmast.fleet.messages import Heartbeat, Inventory, ListedHost
from burlmast.fleet.outs import GatewaySeen, HostSeen, Outs, View


class Ground(NamedTuple):
    """What the settings in force say of the deployment."""

    gateways: int
    zones: int
    cells: int
    racks: int
    link: float  # kB/s; times the weight where weights tell size
    by_weight: bool
    uplink: float
    titles: tuple[tuple[str, int, int], ...]
    warm_after: int  # nanoseconds


class Sight:
    """One desk's. Times are nanoseconds of its own steady clock but for `wall`."""

    def __init__(self, life: str, silent: int) -> None:
        """`life` names this run of the desk; a gateway whose word is older than `silent` counts as out."""
        self.life, self.silent = life, silent
        self.heard: dict[int, Heartbeat] = {}  # by gateway, the last of its newest life
        self._at: dict[int, int] = {}  # since when that word surely is
        self._over: set[str] = set()  # lives that another has followed on their disk
        self._lists: dict[str, tuple[ListedHost, ...]] = {}
        self._since: dict[tuple[int, int], int] = {}  # host and start: when it was first on a list here
        self._settled = False  # some list has been seen before
        self.plays: dict[int, int] = {}  # by their own word, hosts under leave

    def token(self, now: int) -> tuple[str, int]:
        """To be given back with the next word."""
        return self.life, now

    def hear(self, now: int, heartbeat: Heartbeat) -> None:
        """A gateway's word; one that was overtaken by a later one changes nothing."""
        ask = heartbeat.ask
        if ask.before:
            self._over.add(ask.before)
        known = self.heard.get(ask.gateway)
        if ask.life in self._over or (
            known is not None and known.ask.life == ask.life and known.ask.count >= ask.count
        ):
            return
        same = known is not None and known.ask.life == ask.life
        proven = heartbeat.echo[1] if heartbeat.echo[0] == self.life and heartbeat.echo[1] <= now else None
        self.heard[ask.gateway] = heartbeat
        if proven is not None:
            self._at[ask.gateway] = proven
        elif not same:
            self._at.pop(ask.gateway, None)

    def fresh(self, now: int, gateway: int) -> bool:
        """Whether a gateway's last word is surely from lately."""
        at = self._at.get(gateway)
        return at is not None and now - at <= self.silent

    # Lists.

    def lacks(self, now: int) -> dict[str, str]:
        """Lists in use that are not known here: their names, and a gateway's address that has it."""
        wanted: dict[str, str] = {}
        for number, heartbeat in sorted(self.heard.items()):
            name = heartbeat.stamp.hosts
            if name and name not in self._lists and self.fresh(now, number) and heartbeat.operators:
                wanted.setdefault(name, heartbeat.operators)
        return wanted

    def listed(self, now: int, inventory: Inventory) -> None:
        """A gateway's list."""
        used = {heartbeat.stamp.hosts for heartbeat in self.heard.values()}
        self._lists = {name: rows for name, rows in self._lists.items() if name in used}
        self._lists[inventory.name] = inventory.hosts
        for row in inventory.hosts:
            # What stood on the first list is believed by its start; what came since is watched from then on.
            self._since.setdefault((row.host, row.started), now if self._settled else -(1 << 62))
        self._settled = True

    def addresses(self) -> dict[int, str]:
        """Where hosts are, by any list."""
        return {row.host: row.address for rows in self._lists.values() for row in rows}

    def standings(self, now: int) -> dict[int, set[str]]:
        """How hosts stand on the lists in use."""
        used = {heartbeat.stamp.hosts for n, heartbeat in self.heard.items() if self.fresh(now, n)}
        found: dict[int, set[str]] = {}
        for name in sorted(used & self._lists.keys()):
            for row in self._lists[name]:
                found.setdefault(row.host, set()).add(row.standing)
        return found

    # What is so.

    def view(
        self,
        now: int,
        wall: int,
        ground: Ground,
        outs: Outs,
        gone: Mapping[str, str],
        overdue: frozenset[int] = frozenset(),
    ) -> View:
        """All of it. `gone` is what other members are held to be, by number and life."""
        gateways = {n: self._gateway(now, n, ground, gone) for n in range(ground.gateways)}
        lists = {heartbeat.stamp.hosts for n, heartbeat in self.heard.items() if self.fresh(now, n)} - {""}
        blind = ""
        missing = [name for name in lists if name not in self._lists]
        if missing or not lists:
            blind = "the list that gateways go by is not known here yet"
        hosts = self._hosts(now, wall, ground, lists - set(missing))
        asked = sum(heartbeat.away.asked for heartbeat in self.heard.values())
        return View(gateways, hosts, ground.titles, ground.cells, asked, ground.uplink, overdue, blind=blind)

    def _gateway(self, now: int, number: int, ground: Ground, gone: Mapping[str, str]) -> GatewaySeen:
        heartbeat = self.heard.get(number)
        if heartbeat is None:
            return GatewaySeen(number % ground.zones, "", False, "not heard")
        away, held = heartbeat.away, gone.get(f"{number}.{heartbeat.ask.life}", "")
        why = ""
        if not self.fresh(now, number):
            why = "silent"
        elif held in ("suspect", "gone"):
            why = f"held {held}"
        elif not heartbeat.fresh:
            why = "shut out"
        elif not away.ready:
            why = "has no list"
        elif not away.warm:
            why = "cold"
        elif away.state != "in":
            why = away.state
        state = away.state if self.fresh(now, number) else "silent"
        return GatewaySeen(
            away.zone,
            away.disk,
            not why,
            why,
            state,
            away.finished,
            away.was_out,
            heartbeat.book,
            why == "held suspect",
        )

    def _hosts(self, now: int, wall: int, ground: Ground, lists: set[str]) -> dict[int, HostSeen]:
        rows: dict[int, ListedHost] = {}
        whys: dict[int, str] = {}
        for name in sorted(lists):
            for row in self._lists[name]:
                rows[row.host] = row
                if row.standing != "ready":
                    whys[row.host] = row.standing
                elif self._cold(now, wall, ground, row):
                    whys.setdefault(row.host, "cold")
        for name in sorted(lists):  # who stands on one list and not on another may have gone
            there = {row.host for row in self._lists[name]}
            for host in rows.keys() - there:
                whys.setdefault(host, "not on every list")
        for host, by in self._fallen(now).items():
            whys.setdefault(host, f"failed gateway {by}")
        return {
            host: HostSeen(
                row.zone,
                row.cell % ground.racks,
                row.cell,
                host not in whys,
                whys.get(host, ""),
                ground.link * (row.weight if ground.by_weight else 1.0),
                self.plays.get(host),
                row.started,
            )
            for host, row in sorted(rows.items())
            if row.standing != "gone"
        }

    def _cold(self, now: int, wall: int, ground: Ground, row: ListedHost) -> bool:
        since = self._since.get((row.host, row.started), now)
        return now - since < ground.warm_after or (row.started > 0 and wall - row.started < ground.warm_after)

    def _fallen(self, now: int) -> dict[int, int]:
        """Hosts that failed two gateways, or half of them where there are fewer; and one of these."""
        speak = [n for n in sorted(self.heard) if self.fresh(now, n)]
        by: dict[int, list[int]] = {}
        for number in speak:
            for host in self.heard[number].away.fallen:
                by.setdefault(host, []).append(number)
        enough = min(2, max(1, len(speak) // 2))
        return {host: whom[0] for host, whom in sorted(by.items()) if len(whom) >= enough}
