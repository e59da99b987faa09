"""`burlmast release`: a new version out in waves, watched, with a halt and a way back."""

from __future__ import annotations

import secrets
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from burlmast.commands.drain import waits_of
from burlmast.commands.fleet import DESKS, ask, book_of, call, first, statuses
from burlmast.commands.shared import say
from burlmast.fleet.messages import Said, Status
from burlmast.fleet.orders import Book
from burlmast.fleet.stamp import digest
from burlmast.http1.client import Address, Pool
from burlmast.release import steps
from burlmast.release.plan import Plan, groups
from burlmast.release.steps import Release
from burlmast.settings.read import BadSettings, parse


@click.group()
def release() -> None:
    """Bring a new version out in waves, watched beside the old."""


def plan_of(file: str) -> Plan:
    """Read a plan, or end with 2 and one line."""
    from burlmast.release.read import read_plan

    try:
        return read_plan(file)
    except BadSettings as why:
        click.echo(str(why), err=True)
        raise SystemExit(2) from None


def with_names(plan: Plan) -> Plan:
    """A plan with the name of its settings in place of their text, for people."""
    if not plan.settings:
        return plan
    return msgspec.structs.replace(plan, settings=digest(parse(plan.settings)))


@release.command()
@click.argument("file", type=click.Path())
@DESKS
@click.option("--request", default="", help="Your own id: the same one again is no second release.")
def start(file: str, desks: tuple[Address, ...], request: str) -> None:
    """Start the release that FILE plans. Coordinator and gateways check it before its first step."""
    from burlmast.release.shell import Start

    request = request or secrets.token_hex(8)
    body = msgspec.json.encode(Start(request, plan_of(file)))
    told = ask(lambda pool: first(pool, desks, "/release/v1/start", body))
    book: Book = msgspec.json.decode(told, type=Book)
    mine = next(one for one in steps.all_of(book) if one.request == request)
    say({"release": mine.number, "name": mine.plan.name, "state": mine.state, "request": request})


def _word(word: str, text: str) -> None:
    @release.command(word, help=text)
    @click.argument("number", type=click.IntRange(0), default=0)
    @DESKS
    @click.option("--why", default="", help="A reason, for those who look at the status.")
    def command(number: int, desks: tuple[Address, ...], why: str) -> None:
        async def work(pool: Pool) -> bytes:
            chosen = number or newest(book_of(await statuses(pool, desks)))
            said = msgspec.json.encode(Said(chosen, word, why=why))
            return await first(pool, desks, "/release/v1/said", said)

        book: Book = msgspec.json.decode(ask(work), type=Book)
        found = [one for one in steps.all_of(book) if one.number == (number or newest(book))]
        say({"release": found[0].number, "state": found[0].state, "why": found[0].why})


def newest(book: Book) -> int:
    """The last release's number, 0 for none."""
    return max((one.number for one in steps.all_of(book)), default=0)


_word("halt", "Release NUMBER (the last one) goes no further until it is resumed or goes back.")
_word("resume", "Release NUMBER (the last one) goes on where it was halted.")
_word("back", "Release NUMBER (the last one) goes back to what was before.")


@release.command()
@DESKS
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
@click.option("--follow", is_flag=True, help="A live view, until the release rests.")
def status(desks: tuple[Address, ...], as_json: bool, follow: bool) -> None:
    """How the last release stands. Ends with 0 where it is done, with 1 otherwise."""
    found = ask(lambda pool: statuses(pool, desks))
    if as_json:
        book = book_of(found)
        say({"releases": book.releases, "evidence": book.evidence, "waits": waits_of(found)})
    elif follow:
        found = _follow(desks)
    else:
        click.echo("\n".join(lines(found)))
    releases = steps.all_of(book_of(found))
    raise SystemExit(0 if releases and releases[-1].state == "done" else 1)


def _follow(desks: tuple[Address, ...]) -> list[Status | str]:
    from rich.live import Live
    from rich.text import Text

    with Live(Text("asks the desks"), refresh_per_second=4) as live:
        while True:
            found: list[Status | str] = ask(lambda pool: statuses(pool, desks))
            live.update(Text("\n".join(lines(found))))
            releases = steps.all_of(book_of(found))
            if not releases or not releases[-1].moving:
                return found
            time.sleep(0.5)


def lines(found: list[Status | str]) -> list[str]:
    """For a terminal."""
    book, waits = book_of(found), waits_of(found)
    releases = steps.all_of(book)
    if not releases:
        return ["no releases"]
    one = releases[-1]
    told = [headline(one, book.gateways)]
    for entry in one.log[-8:]:
        told.append(f"  {time.strftime('%H:%M:%S', time.gmtime(entry.at / 1e9))}  {entry.state}: {entry.why}")
    for number in one.drains:
        if number in waits:
            told.append(f"  drain {number} waits: {waits[number]}")
    if book.evidence.get("release") == one.number:
        for what, (llr, new_bad, new, old_bad, old) in sorted(book.evidence["measures"].items()):
            told.append(
                f"  {what:9} new {new_bad:.0f} of {new:.0f}, old {old_bad:.0f} of {old:.0f}, test {llr:+.2f}"
            )
    held = {leave.subject: leave for leave in book.outs.leaves if leave.kind == "gateway"}
    if held:
        told.append("  out under leave: gateways " + ", ".join(map(str, sorted(held))))
    told += [f"  desk {place}: {one}" for place, one in enumerate(found) if isinstance(one, str)]
    return told


def headline(one: Release, gateways: int) -> str:
    """A release in a line."""
    waves = len(groups(one.plan, gateways)) - 1
    where = "canary" if one.step == 0 else f"wave {one.step} of {waves}"
    why = f": {one.why}" if one.why else ""
    return f"release {one.number} ({one.plan.name})  {one.state}  {where}, {len(one.touched)} touched{why}"


@release.command()
@click.argument("number", type=click.IntRange(0), default=0)
@DESKS
@click.option("--out", type=click.Path(dir_okay=False), required=True, help="Write one HTML page here.")
def report(number: int, desks: tuple[Address, ...], out: str) -> None:
    """Service over time beside the number out and the limits, of release NUMBER (the last one)."""
    from burlmast.release.report import write
    from burlmast.release.shell import Look

    async def work(pool: Pool) -> tuple[Any, ...]:
        book = book_of(await statuses(pool, desks))
        chosen = number or newest(book)
        looks: list[Look] = []
        for address in desks:
            status, told = await call(pool, address, f"/release/v1/looks/{chosen}", within=5.0)
            if status == 200:
                looks += msgspec.json.decode(told, type=list[Look])
        return steps.find(book, chosen), sorted(looks, key=lambda one: one.at), book.gateways

    one, looks, gateways = ask(work)
    if one is None:
        click.echo("release: there is none by this number", err=True)
        raise SystemExit(1)
    write(Path(out), one, looks, gateways)
    click.echo(headline(one, gateways))
