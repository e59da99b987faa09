"""`burlmast fleet drain`: who is to go out, why they wait, and the way back."""

from __future__ import annotations

import secrets
import shlex
from collections.abc import Callable
from typing import Any

import click
import msgspec

from burlmast.commands.fleet import DESKS, ask, book_of, first, fleet, statuses
from burlmast.commands.shared import say
from burlmast.fleet.messages import Asked, Said, Status
from burlmast.fleet.orders import Book
from burlmast.fleet.outs import Drain, Leave
from burlmast.http1.client import Address

Command = Callable[..., None]


@fleet.group()
def drain() -> None:
    """Take gateways and media hosts out, as many at once as the settings allow."""


def terms(command: Command) -> Command:
    """What all kinds of drains may be told."""
    options = [
        DESKS,
        click.option(
            "--plays", type=click.FloatRange(0), default=None, help="Seconds that what plays may go on."
        ),
        click.option(
            "--late",
            type=click.Choice(["halt", "go on", "cut"]),
            default="halt",
            show_default=True,
            help="What to do where something plays when that is up.",
        ),
        click.option(
            "--then",
            type=click.Choice(["stay", "back", "restart"]),
            default="stay",
            show_default=True,
            help="Once out: stay until called back, come back at once, or wait to be restarted.",
        ),
        click.option(
            "--command",
            default="",
            help="With --then restart: run by the leading desk for each that is out; {gateway} or {host}.",
        ),
        click.option("--request", default="", help="Your own id: the same one again is no second drain."),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def _drain(
    desks: tuple[Address, ...],
    kind: str,
    plays: float | None,
    late: str,
    then: str,
    command: str,
    request: str,
    **whom: Any,
) -> None:
    if command and then != "restart":
        raise click.UsageError("--command goes with --then restart")
    request = request or secrets.token_hex(8)
    plays_ms = None if plays is None else plays * 1000
    asked = Asked(
        request, kind, plays_ms=plays_ms, late=late, then=then, command=tuple(shlex.split(command)), **whom
    )
    told = ask(lambda pool: first(pool, desks, "/fleet/v1/drain", msgspec.json.encode(asked)))
    book: Book = msgspec.json.decode(told, type=Book)
    mine = next(one for one in book.outs.drains if one.request == request)
    say({"drain": mine.number, "kind": kind, "subjects": mine.subjects, "request": request})


@drain.command()
@click.argument("numbers", type=click.IntRange(0), nargs=-1, required=True)
@terms
def gateway(numbers: tuple[int, ...], desks: tuple[Address, ...], **words: Any) -> None:
    """Drain gateways by number."""
    _drain(desks, "gateway", subjects=numbers, **words)


@drain.command()
@click.argument("hosts", type=click.IntRange(0), nargs=-1, required=True)
@terms
def host(hosts: tuple[int, ...], desks: tuple[Address, ...], **words: Any) -> None:
    """Drain media hosts by their ids on the list."""
    _drain(desks, "host", subjects=hosts, **words)


@drain.command()
@click.argument("number", type=click.IntRange(0))
@terms
def rack(number: int, desks: tuple[Address, ...], **words: Any) -> None:
    """Drain all media hosts of a rack."""
    _drain(desks, "host", rack=number, **words)


@drain.command()
@click.argument("name")
@click.option("--of", type=click.Choice(["both", "gateways", "hosts"]), default="both", show_default=True)
@terms
def zone(name: str, of: str, desks: tuple[Address, ...], request: str, **words: Any) -> None:
    """Drain a zone, by its name in the settings or its place: gateways, hosts, or both by a drain each."""
    request = request or secrets.token_hex(8)
    for kind in ("gateway", "host"):
        if of in ("both", f"{kind}s"):
            _drain(desks, kind, zone_name=name, request=f"{request}-{kind}", **words)


@drain.command()
@DESKS
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def status(desks: tuple[Address, ...], as_json: bool) -> None:
    """All drains, who is out under which leave, and for whom the rest waits."""
    found = ask(lambda pool: statuses(pool, desks))
    book = book_of(found)
    waits = waits_of(found)
    if as_json:
        say({"outs": book.outs, "waits": waits, "lead": book.lead})
        return
    for one in book.outs.drains:
        click.echo(drain_line(one, waits.get(one.number, "")))
    for leave in book.outs.leaves:
        click.echo(leave_line(leave))
    if not book.outs.drains:
        click.echo("no drains")


def waits_of(found: list[Status | str]) -> dict[int, str]:
    """For what each drain waits, by the desk that leads."""
    return next((one.waits_for for one in found if isinstance(one, Status) and one.leads), {})


def drain_line(one: Drain, waits: str) -> str:
    """For a terminal."""
    state = {"back": "called back"}.get(one.state, one.state)
    gone = f"{len(one.done)} of {len(one.subjects)} {one.kind}s have been out"
    why = f": {one.why}" if one.why else f"; waits: {waits}" if waits else ""
    return f"drain {one.number}  {state}  {gone}{why}"


def leave_line(leave: Leave) -> str:
    """For a terminal."""
    state = "called back" if leave.back else "out" if leave.out else "going"
    return f"  {leave.kind} {leave.subject}  {state} under leave {leave.number} of drain {leave.drain}"


def _said(desks: tuple[Address, ...], said: Said) -> None:
    told = ask(lambda pool: first(pool, desks, "/fleet/v1/said", msgspec.json.encode(said)))
    book: Book = msgspec.json.decode(told, type=Book)
    one = book.outs.drain(said.number)
    say({"drain": one.number, "state": one.state} if one is not None else {"vouched": said.subject})


def _word(word: str, text: str) -> None:
    @drain.command(word, help=text)
    @click.argument("number", type=click.IntRange(1))
    @DESKS
    @click.option("--why", default="", help="A reason, for those who look at the status.")
    def command(number: int, desks: tuple[Address, ...], why: str) -> None:
        _said(desks, Said(number, word, why=why or f"{word} by an operator"))


_word("halt", "Drain NUMBER goes no further: nobody begins to go; who is out stays out.")
_word("resume", "Drain NUMBER goes on.")
_word("back", "Drain NUMBER is called back: who is out comes back, and nobody goes.")


@drain.command()
@click.argument("kind", type=click.Choice(["gateway", "host"]))
@click.argument("subject", type=click.IntRange(0))
@DESKS
def vouch(kind: str, subject: int, desks: tuple[Address, ...]) -> None:
    """Vouch that one is in, or gone for good, and give its place free: where a gateway's disk was lost, or a
    host is not replaced."""
    _said(desks, Said(kind=kind, subject=subject))
