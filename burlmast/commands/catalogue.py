"""`burlmast catalogue`: which cells hold which part of a title's audience, as coordinators keep it."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn
from urllib.parse import quote

import click
import msgspec

from burlmast.catalogue import messages
from burlmast.catalogue.messages import AllAsked, AllGiven, Batch, Changed, Found, Standing, Wanted
from burlmast.catalogue.shards import PARTS_LIMIT, Key, Shard, digest, fault, told
from burlmast.commands.fleet import DESKS, ask, call, first, reason
from burlmast.commands.shared import say
from burlmast.http1.client import Address, Pool

TRIES = 5  # rounds of a change through all coordinators
PAUSE_S = 0.5
Desks = tuple[Address, ...]


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line of a file; without a `part` it stands for all `parts`, each one cell further on."""

    title: str
    home: int
    copies: int
    parts: int = 1
    part: int | None = None


class BadRow(Exception):
    """What is wrong, with its line."""


@click.group()
def catalogue() -> None:
    """The catalogue of shards: change it, look at it, see who lags behind."""


def spread(row: Row, cells: int) -> list[Shard]:
    """The shards that a row stands for; `fault` tells what is wrong with one."""
    if row.part is not None or not 0 <= row.home < cells:
        return [Shard(row.title, row.part or 0, row.parts, row.home, row.copies)]
    parts = range(max(1, min(row.parts, PARTS_LIMIT + 1)))
    return [Shard(row.title, part, row.parts, (row.home + part) % cells, row.copies) for part in parts]


def rows_of(raw: bytes) -> Iterator[tuple[int, Row]]:
    """Rows with their lines, or with their places in an array. Raises BadRow."""
    if raw.lstrip()[:1] == b"[":
        try:
            rows: list[msgspec.Raw] = msgspec.json.decode(raw, type=list[msgspec.Raw])
            for place, found in enumerate(rows):
                yield place + 1, _row(found, f"row {place + 1}")
        except msgspec.DecodeError as why:
            raise BadRow(f"not a JSON array: {why}") from None
        return
    for place, line in enumerate(raw.splitlines()):
        if line.strip():
            yield place + 1, _row(line, f"line {place + 1}")


def _row(raw: bytes | msgspec.Raw, where: str) -> Row:
    try:
        return msgspec.json.decode(raw, type=Row)
    except msgspec.MsgspecError as why:
        raise BadRow(f"{where}: {why}") from None


def read_rows(raw: bytes, cells: int) -> dict[Key, Shard]:
    """What a file says the catalogue is to be. Raises BadRow."""
    found: dict[Key, Shard] = {}
    lines: dict[Key, int] = {}
    parts: dict[str, tuple[int, int]] = {}
    for line, row in rows_of(raw):
        for one in spread(row, cells):
            wrong = fault(one, cells)
            if not wrong and one.key in found:
                wrong = f"{one.title}: part {one.part} stands in {lines[one.key]} already"
            if not wrong and parts.setdefault(one.title, (one.parts, line))[0] != one.parts:
                wrong = f"{one.title}: has {parts[one.title][0]} parts by {parts[one.title][1]}"
            if wrong:
                raise BadRow(f"{line}: {wrong}")
            found[one.key], lines[one.key] = one, line
    return found


def difference(there: dict[Key, Shard], wanted: dict[Key, Shard], add_only: bool) -> list[Batch]:
    """The changes by which what is there becomes what is wanted, in the file's order; those that take rows
    out come last."""
    put = [row for key, row in wanted.items() if there.get(key) != row]
    remove = [] if add_only else [key for key in there if key not in wanted]
    most = messages.ROWS_LIMIT
    batches = [Batch(tuple(put[n : n + most])) for n in range(0, len(put), most)]
    return batches + [Batch((), tuple(remove[n : n + most])) for n in range(0, len(remove), most)]


async def standings(pool: Pool, desks: Desks) -> list[Standing | str]:
    """What each coordinator says, or why it says nothing."""

    async def one(address: Address) -> Standing | str:
        status, body = await call(pool, address, messages.STATUS, within=5.0)
        if status != 200:
            return reason(status, body)
        try:
            return msgspec.json.decode(body, type=Standing)
        except msgspec.MsgspecError as why:
            return f"not understood: {why}"

    return list(await asyncio.gather(*(one(address) for address in desks)))


async def change(pool: Pool, desks: Desks, batch: Batch) -> Changed:
    """One change, asked for under one request until it is in; ends with 1 where it is not."""
    body = msgspec.json.encode(Wanted(secrets.token_hex(8), batch))
    last = "no coordinator answers"
    for attempt in range(TRIES):
        for address in desks:
            status, found = await call(pool, address, messages.CHANGE, body)
            if status == 200:
                return msgspec.json.decode(found, type=Changed)
            last = reason(status, found)
            if status in (400, 409):
                _ends(last)
        if attempt + 1 < TRIES:
            await asyncio.sleep(PAUSE_S)
    _ends(last)


def _ends(why: str, code: int = 1) -> NoReturn:
    click.echo(f"catalogue: {why}", err=True)
    raise SystemExit(code)


async def best(pool: Pool, desks: Desks) -> tuple[Address, Standing]:
    """A coordinator whose rows are level, of those the furthest; ends with 1 where there is none."""
    found = await standings(pool, desks)
    level = [
        (one.applied, -n)
        for n, one in enumerate(found)
        if isinstance(one, Standing) and one.state == "level" and one.voting
    ]
    if not level:
        whys = [one if isinstance(one, str) else f"{one.state}: {one.why or 'waits'}" for one in found]
        _ends(f"no coordinator is level with the catalogue; {whys[0]}")
    place = -max(level)[1]
    chosen = found[place]
    assert isinstance(chosen, Standing)
    return desks[place], chosen


async def all_rows(pool: Pool, address: Address) -> dict[Key, Shard]:
    """All rows at one revision; ends with 1 where others change it all the time."""
    for _ in range(TRIES):
        rows: dict[Key, Shard] = {}
        asked, at = AllAsked(), None
        while True:
            status, body = await call(pool, address, messages.ALL, msgspec.json.encode(asked))
            if status != 200:
                _ends(reason(status, body))
            given: AllGiven = msgspec.json.decode(body, type=AllGiven)
            if at not in (None, (given.line, given.revision)):
                break
            at = given.line, given.revision
            rows |= {one.key: one for one in given.shards}
            if given.after is None:
                return rows
            asked = AllAsked(given.after)
    _ends("others change the catalogue meanwhile; nothing is changed")


@catalogue.command()
@click.argument("file", type=click.Path())
@DESKS
@click.option("--add-only", is_flag=True, help="Take nothing out.")
def load(file: str, desks: Desks, add_only: bool) -> None:
    """Make the catalogue what FILE says: JSON lines, or an array, of title, home, copies and, for a title in
    parts, parts and part. Nothing is changed where a row is wrong."""
    try:
        raw = Path(file).read_bytes()
    except OSError as why:
        _ends(str(why), 2)

    async def work(pool: Pool) -> dict[str, object]:
        address, standing = await best(pool, desks)
        try:
            wanted = read_rows(raw, standing.cells)
        except BadRow as why:
            _ends(f"{file}: {why}", 2)
        there = await all_rows(pool, address)
        batches = difference(there, wanted, add_only)
        line, revision = standing.line, standing.applied
        order = (address, *(one for one in desks if one != address))
        for batch in batches:
            done = await change(pool, order, batch)
            line, revision = done.line, done.revision
        after = there | wanted if add_only else wanted
        return {
            "line": line,
            "revision": revision,
            "changes": len(batches),
            "put": sum(len(one.put) for one in batches),
            "removed": sum(len(one.remove) for one in batches),
            "shards": len(after),
            "digest": told(digest(after.values())),
        }

    say(ask(work))


async def _find(pool: Pool, desks: Desks, title: str) -> Found:
    body = await first(pool, desks, messages.FIND + quote(title, safe=""), who="catalogue")
    return msgspec.json.decode(body, type=Found)


@catalogue.command()
@click.argument("title")
@DESKS
@click.option("--home", type=click.IntRange(0), required=True, help="The first cell that holds it.")
@click.option("--copies", type=click.IntRange(1), required=True, help="How many cells in a row hold it.")
@click.option(
    "--parts", type=click.IntRange(1, 1000), default=1, show_default=True, help="Each one cell further on."
)
def put(title: str, desks: Desks, home: int, copies: int, parts: int) -> None:
    """Put TITLE into the catalogue, or in place of what stands there under its name."""

    async def work(pool: Pool) -> Changed:
        address, standing = await best(pool, desks)
        rows = spread(Row(title, home, copies, parts), standing.cells)
        wrong = next((found for found in (fault(one, standing.cells) for one in rows) if found), "")
        if wrong:
            _ends(wrong, 2)
        there = await _find(pool, (address,), title)
        keys = {one.key for one in rows}
        gone = tuple(one.key for one in there.shards if one.key not in keys)
        order = (address, *(one for one in desks if one != address))
        return await change(pool, order, Batch(tuple(rows), gone))

    say(ask(work))


@catalogue.command()
@click.argument("title")
@DESKS
def remove(title: str, desks: Desks) -> None:
    """Take TITLE out of the catalogue, with all its parts. Ends with 1 where it is not there."""

    async def work(pool: Pool) -> Changed:
        address, _ = await best(pool, desks)
        there = await _find(pool, (address,), title)
        if not there.shards:
            _ends(f"there is no {title!r} in the catalogue")
        order = (address, *(one for one in desks if one != address))
        done: Changed | None = None
        keys = [one.key for one in there.shards]
        for n in range(0, len(keys), messages.ROWS_LIMIT):
            done = await change(pool, order, Batch((), tuple(keys[n : n + messages.ROWS_LIMIT])))
        assert done is not None
        return done

    say(ask(work))


@catalogue.command()
@click.argument("title")
@DESKS
def find(title: str, desks: Desks) -> None:
    """Which cells hold TITLE, and which gateways keep its rows. Ends with 1 where it is not there."""
    found: Found = ask(lambda pool: _find(pool, desks, title))
    say(found)
    raise SystemExit(0 if found.shards else 1)


def summary(found: list[Standing | str], desks: Desks) -> tuple[list[str], bool]:
    """Lines for a terminal, and whether all are level."""
    lines: list[str] = []
    known = [one for one in found if isinstance(one, Standing)]
    head = max((max(one.head, one.applied) for one in known), default=0)
    line = next((one.line for one in known if max(one.head, one.applied) == head), "")
    well = len(known) == len(found)
    for (host, port), one in zip(desks, found, strict=True):
        if isinstance(one, str):
            lines.append(f"coordinator {host}:{port}  {one}")
            continue
        behind = head - one.applied
        well = well and not behind and one.state == "level" and one.voting
        note = "" if one.voting else "  its disk is blank"
        lines.append(
            f"coordinator {one.coordinator}  {one.state}  revision {one.applied}"
            f"{f' of {head}' if behind else ''}  {one.shards} shards  {one.digest[:12]}  "
            f"{one.given} whole slices/s{note}{f'  {one.why}' if one.why else ''}"
        )
    level = {(one.digest, one.shards) for one in known if one.applied == head}
    if len(level) > 1:
        lines.append("coordinators at one revision hold other rows")
        well = False
    heard: dict[int, tuple[float, str, int, int]] = {}
    for one in known:
        for gateway in one.gateways:
            now = gateway.age, gateway.line, gateway.revision, gateway.lacking
            heard[gateway.gateway] = min(heard.get(gateway.gateway, now), now)
    late = {n: one for n, one in heard.items() if (one[1], one[2], one[3]) != (line, head, 0)}
    late = late if line else {}
    lines.append(
        f"catalogue {line or '(not begun)'}  revision {head}  "
        f"{len(heard) - len(late)} of {len(heard)} gateways level"
    )
    for n, (age, name, revision, lacking) in sorted(late.items()):
        other = f" of {name or 'none'}" if name != line else ""
        lines.append(f"gateway {n}  revision {revision}{other}  {lacking} slices lacking  heard {age} s ago")
    return lines, well and not late


@catalogue.command()
@DESKS
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def status(desks: Desks, as_json: bool) -> None:
    """How coordinators and gateways stand to the catalogue's last revision. Ends with 1 where one lags."""
    found: list[Standing | str] = ask(lambda pool: standings(pool, desks))
    lines, well = summary(found, desks)
    if as_json:
        say({"well": well, "coordinators": found})
    else:
        click.echo("\n".join(lines))
    raise SystemExit(0 if well else 1)
