"""`burlmast coordinator` and `burlmast fleet`: the control processes and what operators ask of them."""

from __future__ import annotations

import asyncio
import secrets
import sqlite3
import time
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from burlmast.commands.shared import PLACE, say, settings, until_interrupted
from burlmast.fleet.ledger import Row, Shelf
from burlmast.fleet.ledger_shell import read_removed, read_rows
from burlmast.fleet.messages import LIVES_ASKED, Begin, Lives, Placed, Rows, Since, Status, Wanted
from burlmast.fleet.orders import Book, Order
from burlmast.fleet.status import moment, ranges
from burlmast.http1.client import Address, Pool, Whole
from burlmast.http1.messages import split_address

JSON = ((b"content-type", b"application/json"),)
DESKS = click.option(
    "--coordinator",
    "--desk",
    "desks",
    type=PLACE,
    multiple=True,
    required=True,
    help="A coordinator; repeat, in their order.",
)


@click.command()
@click.option("--settings", "file", type=click.Path(), required=True)
@click.option("--number", type=click.IntRange(0), default=0, show_default=True, help="This desk among all.")
@click.option("--listen", type=PLACE, default="127.0.0.1:0", show_default=True)
@click.option(
    "--coordinator",
    "--desk",
    "desks",
    type=PLACE,
    multiple=True,
    help="All coordinators in their order, this one among them.",
)
@click.option("--state", type=click.Path(file_okay=False), required=True, help="A folder for its disk.")
@click.option("--list", "list_address", type=PLACE, default=None, help="Tell the list of hosts that drain.")
@click.option("--begin", is_flag=True, help="A fleet begins with this one desk, if its disk is blank.")
@click.option("--ahead", type=float, default=0.0, hidden=True)
@click.option("--speed", type=float, default=1.0, hidden=True)
@click.option("--wall-speed", type=float, default=1.0, hidden=True)
@click.option("--generous", is_flag=True, hidden=True, help="For trials: grants whatever is asked.")
def coordinator(
    file: str,
    number: int,
    listen: Address,
    desks: tuple[Address, ...],
    state: str,
    list_address: Address | None,
    begin: bool,
    ahead: float,
    speed: float,
    wall_speed: float,
    generous: bool,
) -> None:
    """Run one coordinator until SIGTERM: it holds orders, gives leases and gathers ledgers. No gateway waits
    for it."""
    from burlmast.catalogue.coordinator_shell import CatalogueKeeper
    from burlmast.fleet.clock_shell import Clocks
    from burlmast.fleet.coordinator_shell import run

    deployment = settings(file)
    all_desks: list[Address | None] = [*desks] or [None]
    if number >= len(all_desks):
        raise click.UsageError(
            f"--number must be under the {len(all_desks)} coordinators named by --coordinator"
        )
    if len(all_desks) % 2 == 0:
        raise click.UsageError("an even number of coordinators bears no more than one less; name 1, 3 or 5")
    if begin and len(all_desks) > 1:
        raise click.UsageError("with several coordinators a fleet begins by `burlmast fleet begin`")
    clocks = Clocks(ahead, speed, wall_speed)
    words = deployment, number, all_desks, listen, Path(state), clocks, begin
    try:
        keepers = (
            lambda one: keeping(one, list_address, generous),
            lambda one: CatalogueKeeper(one, Path(state)),
        )
        work = run(*words, say, until_interrupted, *keepers)
        raise SystemExit(asyncio.run(work))
    except (OSError, sqlite3.Error) as why:
        click.echo(f"coordinator: {why}", err=True)
        raise SystemExit(1) from None


def keeping(desk: Any, list_address: Address | None, generous: bool) -> Any:
    """A desk's part in drains and releases."""
    from burlmast.edge.loads import read_load
    from burlmast.fleet.keeper_shell import Keeper
    from burlmast.fleet.outs import Limits
    from burlmast.release.shell import Releases

    async def tell(rows: dict[int, str]) -> None:
        assert list_address is not None
        body = msgspec.json.encode([{"host": host, "standing": how} for host, how in sorted(rows.items())])
        status, _, told = await Whole.of(
            desk.pool, list_address, b"POST", b"/v1/rows", JSON, body, within=desk.beat_s
        )
        if status != 200:
            raise ConnectionError(f"the list answers {status}: {told[:100]!r}")

    limits = (lambda found: Limits(1000, None, 1000, None, None, 0, -1.0)) if generous else None
    streams = lambda headers: read_load(headers).streams  # noqa: E731
    return Keeper(desk, streams, Releases(desk), tell if list_address is not None else None, limits)


@click.group()
def fleet() -> None:
    """Who acts on which version, orders, and the audit."""


def ask(work: Callable[[Pool], Awaitable[Any]]) -> Any:
    """Run something that asks desks; ends with 1 and one line where none answers."""

    async def run() -> Any:
        pool = Pool(connect_s=2.0)  # a person waits for a machine under load
        try:
            return await work(pool)
        finally:
            pool.close()

    return asyncio.run(run())


async def call(
    pool: Pool, address: Address, path: str, body: bytes | None = None, within: float = 20.0
) -> tuple[int, bytes]:
    """One call; status 0 where nothing answered."""
    method = b"GET" if body is None else b"POST"
    try:
        status, _, told = await Whole.of(pool, address, method, path.encode(), JSON, body or b"", within)
    except (ConnectionError, TimeoutError) as why:
        return 0, str(why).encode()
    return status, told


async def first(
    pool: Pool, desks: tuple[Address, ...], path: str, body: bytes | None = None, who: str = "fleet"
) -> bytes:
    """The first desk that answers well; ends with 1 and the last reason where none does."""
    last = "no desk answers"
    for address in desks:
        status, told = await call(pool, address, path, body)
        if status == 200:
            return told
        last = reason(status, told)
        if status in (400, 409):
            break  # another desk would say the same
    click.echo(f"{who}: {last}", err=True)
    raise SystemExit(1)


def reason(status: int, told: bytes) -> str:
    """Why a call did not do, in one line."""
    try:
        found = msgspec.json.decode(told)
        return str(found["error"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return f"no answer: {told.decode('utf-8', 'replace')}" if not status else f"status {status}"


@fleet.command()
@DESKS
@click.option("--settings", "file", type=click.Path(), required=True, help="The gateways' own file.")
@click.option("--anew", is_flag=True, help="Although gateways know the book of a fleet.")
def begin(desks: tuple[Address, ...], file: str, anew: bool) -> None:
    """A fleet begins: every desk must answer, and every disk must be blank.

    Where gateways speak that know a book, all desks have lost their disks: it goes on with the latest.
    """
    from burlmast.fleet.coordinator_shell import first_book
    from burlmast.release.steps import recovered

    book = first_book(settings(file), time.time_ns())

    async def work(pool: Pool) -> int:
        nonlocal book
        speakers: set[str] = set()
        for address in desks:
            status, told = await call(pool, address, "/fleet/v1/status")
            found = msgspec.json.decode(told, type=Status) if status == 200 else None
            if found is None or found.voting:
                why = reason(status, told) if found is None else "belongs to a fleet already"
                click.echo(f"fleet: desk {address[0]}:{address[1]}: {why}; nothing has begun", err=True)
                return 1
            speakers |= {one.operators for one in found.members if one.operators}
        for speaker in sorted(speakers) if not anew else ():
            status, told = await call(pool, split_address(speaker), "/fleet/v1/book", within=3.0)
            known: Book = msgspec.json.decode(told, type=Book) if status == 200 else Book()
            if known.fleet and (not book.at or known.at > book.at):
                book = known
        book = recovered(book) if book.orders or book.at else book
        for address in desks:
            status, told = await call(pool, address, "/fleet/v1/begin", msgspec.json.encode(Begin(book)))
            if status != 200:
                click.echo(f"fleet: desk {address[0]}:{address[1]}: {reason(status, told)}", err=True)
                return 1
        say({"fleet": book.fleet, "order": book.number, "gateways": book.gateways, "desks": len(desks)})
        return 0

    raise SystemExit(ask(work))


@fleet.command()
@click.argument("file", type=click.Path())
@DESKS
@click.option("--apart", is_flag=True, help="The new version must not act beside the old one.")
@click.option("--part", type=click.IntRange(0), multiple=True, help="A gateway; repeat. All by default.")
@click.option("--without", type=click.IntRange(0), multiple=True, help="A gateway that surely does not run.")
@click.option("--within", type=click.FloatRange(0), default=0.0, help="Seconds until it must be in force.")
@click.option("--after", type=click.IntRange(0), default=None, help="Only if this is still the last order.")
@click.option("--request", default="", help="Your own id: the same one again gives no second order.")
def order(
    file: str,
    desks: tuple[Address, ...],
    apart: bool,
    part: tuple[int, ...],
    without: tuple[int, ...],
    within: float,
    after: int | None,
    request: str,
) -> None:
    """Order the settings in FILE for the fleet or a part of it. They are checked first."""
    found = settings(file)
    wanted = Wanted(
        request or secrets.token_hex(8),
        msgspec.json.encode(found).decode("utf-8"),
        apart,
        part,
        without,
        within * 1000,
        after,
    )
    _order(desks, wanted)


@fleet.command()
@click.argument("number", type=click.IntRange(1))
@DESKS
@click.option("--request", default="", help="Your own id: the same one again gives no second order.")
def withdraw(number: int, desks: tuple[Address, ...], request: str) -> None:
    """Put back what was in force before order NUMBER, by an order of its own."""
    _order(desks, Wanted(request or secrets.token_hex(8), undo=number))


def _order(desks: tuple[Address, ...], wanted: Wanted) -> None:
    told = ask(lambda pool: first(pool, desks, "/fleet/v1/order", msgspec.json.encode(wanted)))
    given: Order = msgspec.json.decode(told, type=Order)
    say({"order": given.number, "settings": given.settings, "apart": given.apart, "request": given.request})


async def statuses(pool: Pool, desks: tuple[Address, ...]) -> list[Status | str]:
    """What each desk says, or why it says nothing."""

    async def one(address: Address) -> Status | str:
        status, told = await call(pool, address, "/fleet/v1/status", within=3.0)
        if status != 200:
            return reason(status, told)
        try:
            return msgspec.json.decode(told, type=Status)
        except msgspec.MsgspecError as why:
            return f"not understood: {why}"

    return list(await asyncio.gather(*(one(address) for address in desks)))


@fleet.command()
@DESKS
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def status(desks: tuple[Address, ...], as_json: bool) -> None:
    """Who is there, on which version, and what keeps the others. Ends with 1 where somebody lags."""
    from burlmast.fleet.status import lines, summary

    found = ask(lambda pool: statuses(pool, desks))
    told = summary(found, time.time_ns())
    if as_json:
        say(told)
    else:
        click.echo("\n".join(lines(told)))
    raise SystemExit(0 if told.well else 1)


def book_of(found: list[Status | str]) -> Book:
    """The latest book that a desk has."""
    books = [one.book for one in found if isinstance(one, Status)]
    return max(books, key=lambda one: one.moved, default=Book())


class Gathered(NamedTuple):
    """What is told of the fleet's ledgers."""

    rows: list[Row]
    contradictions: list[Row]
    troubles: list[str]  # what is not told: desks that did not answer, rows that are kept no more
    removed: dict[str, int]  # of these lives: up to which row some desk or disk keeps them no more


async def rows_of(pool: Pool, desks: tuple[Address, ...]) -> Gathered:
    """All rows that desks have gathered."""
    shelf = Shelf()
    silent: list[str] = []
    contradictions: list[Row] = []
    removed: dict[str, int] = {}
    for address in desks:
        since, before = Since(), 0
        while True:
            status, told = await call(pool, address, "/fleet/v1/rows", msgspec.json.encode(since))
            if status != 200:
                silent.append(f"desk {address[0]}:{address[1]}: {reason(status, told)}")
                break
            found: Rows = msgspec.json.decode(told, type=Rows)
            shelf.take([*found.pages, *found.rows])
            removed |= {life: max(n, removed.get(life, 0)) for life, n in found.removed.items()}
            before = found.before
            since = Since(found.store, found.upto)
            if not found.rows:
                break
        if before:
            silent.append(
                f"desk {address[0]}:{address[1]}: rows that came before {moment(before)}, kept no more"
            )
        status, told = await call(pool, address, "/fleet/v1/contradictions")
        if status == 200:
            contradictions += msgspec.json.decode(told, type=list[Row])
    contradictions += [late for _, late in shelf.contradictions]
    rows = [row for life in sorted(shelf.lives) for row in shelf.of(life)]
    return Gathered(rows, contradictions, silent, removed)


async def removed_of(pool: Pool, desks: tuple[Address, ...], lives: list[str]) -> dict[str, int]:
    """Of lives that no desk tells any row of: up to which row they are kept no more."""
    removed: dict[str, int] = {}
    for address in desks:
        for first in range(0, len(lives), LIVES_ASKED):
            words = msgspec.json.encode(Lives(tuple(lives[first : first + LIVES_ASKED])))
            status, told = await call(pool, address, "/fleet/v1/removed", words)
            if status == 200:
                found: dict[str, int] = msgspec.json.decode(told, type=dict[str, int])
                removed |= {life: max(n, removed.get(life, 0)) for life, n in found.items()}
    return removed


STATE = click.option(
    "--state",
    type=click.Path(file_okay=False, exists=True),
    default=None,
    help="The gateways' folder, read beside what desks have.",
)


async def gather(pool: Pool, desks: tuple[Address, ...], state: str | None) -> Gathered:
    """As `rows_of`, with the ledgers in a folder."""
    rows, contradictions, troubles, removed = await rows_of(pool, desks)
    if state is not None:
        folders = sorted(Path(state).glob("gateway-*"))
        there, more = read_rows(folders)
        removed |= {life: max(n, removed.get(life, 0)) for life, n in read_removed(folders).items()}
        shelf = Shelf()
        shelf.take([*rows, *there])
        contradictions += [late for _, late in shelf.contradictions]
        rows, troubles = [row for life in sorted(shelf.lives) for row in shelf.of(life)], troubles + more
    return Gathered(rows, contradictions, troubles, removed)


@fleet.command()
@DESKS
@STATE
@click.option("--version", default="", help="Under settings whose digest begins so, or an order's number.")
@click.option("--gateway", type=click.IntRange(0), default=None)
@click.option(
    "--between",
    nargs=2,
    type=click.DateTime(),
    default=None,
    help="Two moments by the gateways' clocks, UTC.",
)
def acted(
    desks: tuple[Address, ...],
    state: str | None,
    version: str,
    gateway: int | None,
    between: tuple[datetime, datetime] | None,
) -> None:
    """Who acted under what: ranges and counts, a JSON line each, and the holes among them."""
    rows, _, troubles, removed = ask(lambda pool: gather(pool, desks, state))
    for trouble in troubles:
        click.echo(f"fleet: {trouble}", err=True)
    span = None
    if between is not None:
        first, last = (int(one.replace(tzinfo=UTC).timestamp() * 1e9) for one in between)
        span = first, last
    for line in ranges(rows, version, gateway, span, removed):
        say(line)


# Public names of playbacks may begin with "-" and hold an "h".
@fleet.command(context_settings={"ignore_unknown_options": True, "help_option_names": ["--help"]})
@click.argument("name")
@DESKS
def playback(name: str, desks: tuple[Address, ...]) -> None:
    """By whom playback NAME was placed, under which stamp, on which host. Ends with 1 where nobody knows."""

    async def work(pool: Pool) -> int:
        found = await statuses(pool, desks)
        addresses = {line.operators for one in found if isinstance(one, Status) for line in one.members}
        rows = (await rows_of(pool, desks)).rows
        pages = {(row.life, row.page): row for row in rows if row.kind == "page"}
        silent, told = [], 0
        for operators in sorted(one for one in addresses if one):
            status, raw = await call(pool, split_address(operators), f"/fleet/v1/playback/{name}", within=3.0)
            if status != 200:
                silent.append(operators)
                continue
            known: list[Placed] = msgspec.json.decode(raw, type=list[Placed])
            for placed in known:
                page = pages.get((placed.life, placed.page))
                stamp = page.stamp if page is not None else None
                gateway = page.gateway if page is not None else None
                say({"gateway": gateway, **msgspec.structs.asdict(placed), "stamp": stamp})
                told += 1
        for operators in silent:
            click.echo(
                f"fleet: the gateway at {operators} does not answer; what it placed is not known", err=True
            )
        return 0 if told else 1

    raise SystemExit(ask(work))


@fleet.command("audit")
@DESKS
@STATE
@click.option(
    "--heard", type=click.Path(exists=True, dir_okay=False), multiple=True, help="JSON lines of hosts."
)
@click.option("--host", "hosts", type=PLACE, multiple=True, help="A host that tells what it heard; repeat.")
@click.option("--slack", type=click.FloatRange(0), default=0.0, help="Seconds hosts' clocks may differ by.")
@click.option("--page", type=click.Path(dir_okay=False), default=None, help="Write one HTML page here.")
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def audit_command(
    desks: tuple[Address, ...],
    state: str | None,
    heard: tuple[str, ...],
    hosts: tuple[Address, ...],
    slack: float,
    page: str | None,
    as_json: bool,
) -> None:
    """Ledgers against what hosts heard. Ends with 1 where something cannot be, each with its evidence."""
    from burlmast.fleet.status import rates_of
    from burlmast.world import fleet_audit

    set_ups: list[fleet_audit.Heard] = []
    for file in heard:
        try:
            lines = Path(file).read_bytes().splitlines()
            set_ups += [msgspec.json.decode(line, type=fleet_audit.Heard) for line in lines if line]
        except (OSError, msgspec.MsgspecError) as why:
            click.echo(f"fleet: {file}: {why}", err=True)
            raise SystemExit(2) from None

    async def work(pool: Pool) -> tuple[Any, ...]:
        found = await statuses(pool, desks)
        rows, contradictions, troubles, removed = await gather(pool, desks, state)
        for host in hosts:
            status, told = await call(pool, host, "/v1/heard")
            if status != 200:
                troubles.append(f"host {host[0]}:{host[1]}: {reason(status, told)}")
            else:
                set_ups.extend(msgspec.json.decode(told, type=list[fleet_audit.Heard]))
        told_of = {row.life for row in rows} | set(removed)
        unknown = sorted({one.by[0] for one in set_ups if one.by is not None} - told_of)
        removed |= await removed_of(pool, desks, unknown)
        names = {row.stamp.settings for row in rows if row.stamp is not None}
        bodies = {}
        for name in sorted(names):
            for address in desks:
                status, told = await call(pool, address, f"/fleet/v1/settings/{name}", within=3.0)
                if status == 200:
                    bodies[name] = told
                    break
        return found, rows, contradictions, troubles, removed, bodies

    found, rows, contradictions, troubles, removed, bodies = ask(work)
    book = book_of(found)
    told = msgspec.convert([msgspec.to_builtins(row) for row in rows], list[fleet_audit.Row])
    late = msgspec.convert([msgspec.to_builtins(row) for row in contradictions], list[fleet_audit.Row])
    ordered = msgspec.convert([msgspec.to_builtins(one) for one in book.orders], list[fleet_audit.Ordered])
    rates = rates_of(bodies)
    verdict = fleet_audit.audit(told, set_ups, ordered, late, rates.get, int(slack * 1e9), removed)
    if page is not None:
        from burlmast.fleet.page import write

        write(Path(page), rows, book, verdict)
    if as_json:
        say({"verdict": verdict, "not read": troubles})
    else:
        for line in audit_lines(verdict, troubles):
            click.echo(line)
    raise SystemExit(1 if verdict.findings else 0)


def audit_lines(verdict: Any, troubles: list[str]) -> list[str]:
    """For a terminal."""
    lines = [
        f"{verdict.acts} acts in ledgers; hosts heard {verdict.set_ups} set-ups: {verdict.matched} told, "
        f"{verdict.in_holes} in holes, {verdict.unsigned} of gateways that go alone"
    ]
    lines += [f"not read: {one}" for one in troubles]
    for hole in verdict.holes:
        upto = hole.last or "its end"
        lines.append(
            f"hole: gateway {hole.gateway}, life {hole.life}, acts {hole.first} to {upto}: {hole.why}"
        )
    lines += [f"FOUND {one.what}: gateway {one.gateway}: {one.evidence}" for one in verdict.findings]
    return [*lines, f"{len(verdict.findings)} findings"]
