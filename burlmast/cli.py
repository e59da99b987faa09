"""The command line: parse, call, print, exit code."""

from __future__ import annotations

import asyncio
import logging
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import msgspec
import structlog

import burlmast.commands.drain  # noqa: F401  its commands join `fleet`
from burlmast.commands.catalogue import catalogue
from burlmast.commands.fleet import coordinator, fleet
from burlmast.commands.release import plan_of, release, with_names
from burlmast.commands.shared import PLACE, say, settings, until_interrupted
from burlmast.settings.read import BadSettings, evaluate
from burlmast.settings.sheets import Deployment
from burlmast.world.troubles import Day

SAMPLE = "deploy/samples/training.jsonnet"


def log_to_stderr(form: str, level: str) -> None:
    """Send log lines to standard error, as JSON lines or for a console."""
    last: Any = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer()
    steps: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if form == "json":
        steps.append(structlog.processors.dict_tracebacks)
    structlog.configure(
        processors=[*steps, last],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log", "form", type=click.Choice(["json", "console"]), default="json", show_default=True)
@click.option(
    "--level", type=click.Choice(["debug", "info", "warning", "error"]), default="info", show_default=True
)
def main(form: str, level: str) -> None:
    """A session front that places and shapes video playbacks on streaming servers."""
    log_to_stderr(form, level)


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Print the settings, or the plan of a release, in FILE as they are read; 2 where something is wrong."""
    from burlmast.release.read import is_plan

    try:
        read: Any = settings(file) if not is_plan(file) else with_names(plan_of(file))
    except BadSettings as why:
        click.echo(str(why), err=True)
        raise SystemExit(2) from None
    found = msgspec.json.format(msgspec.json.encode(read), indent=2)
    click.echo(found.decode("utf-8"))


@main.command()
@click.option("--settings", "file", type=click.Path(), required=True)
@click.option(
    "--number", type=click.IntRange(0), default=0, show_default=True, help="This gateway among all."
)
@click.option("--zone", type=click.IntRange(0), default=None, help="Its zone's place in the settings.")
@click.option("--listen", type=PLACE, default="127.0.0.1:0", show_default=True, help="For viewers.")
@click.option(
    "--operators", type=PLACE, default="127.0.0.1:0", show_default=True, help="For metrics and health."
)
@click.option("--list", "list_address", type=PLACE, default=None, help="The list service.")
@click.option("--seed", type=int, default=None, help="Fixes the gateway's chance, for trials.")
@click.option("--plant", type=click.IntRange(1, 6), default=None, hidden=True)
@click.option(
    "--state", type=click.Path(file_okay=False), default=None, help="A folder; with it notices are stitched."
)
@click.option(
    "--fleet", "desks", type=PLACE, multiple=True, help="A desk of its fleet; repeat, in their order."
)
@click.option("--ahead", type=float, default=0.0, hidden=True)
@click.option("--speed", type=float, default=1.0, hidden=True)
@click.option("--wall-speed", type=float, default=1.0, hidden=True)
@click.option("--fleet-plant", type=click.IntRange(1, 9), default=None, hidden=True)
def edge(
    file: str,
    number: int,
    zone: int | None,
    listen: tuple[str, int],
    operators: tuple[str, int],
    list_address: tuple[str, int] | None,
    seed: int | None,
    plant: int | None,
    state: str | None,
    desks: tuple[tuple[str, int], ...],
    ahead: float,
    speed: float,
    wall_speed: float,
    fleet_plant: int | None,
) -> None:
    """Run one gateway until SIGTERM."""
    from burlmast.edge.program import Program, run
    from burlmast.edge.together import Alone, Together
    from burlmast.fleet.ledger_shell import FolderInUse
    from burlmast.logic import Gateway
    from burlmast.stitch.store import StoreFault
    from burlmast.world.plants import plant as planted

    deployment = settings(file)
    if number >= deployment.gateways:
        raise click.UsageError(f"--number must be under the {deployment.gateways} gateways of the settings")
    if desks and not state:
        raise click.UsageError("--fleet needs --state, a folder for the ledger")
    maker = planted(plant, Gateway) if plant else Gateway
    try:
        folder = Path(state) if state else None
        together: Callable[[Program], Together] = Alone.of
        if desks and folder is not None:
            from burlmast.catalogue.join import with_catalogue
            from burlmast.fleet.clock_shell import Clocks
            from burlmast.fleet.join import joining

            clocks = Clocks(ahead, speed, wall_speed)
            deployment, joined = joining(deployment, number, folder, desks, clocks, fleet_plant)
            together = with_catalogue(joined, deployment, desks)
        listens = (list_address, listen, operators)
        code = asyncio.run(run(deployment, number, *listens, say, maker, zone, seed, folder, together))
    except (StoreFault, FolderInUse) as why:
        click.echo(f"edge: {why}", err=True)
        raise SystemExit(1) from None
    except OSError as why:
        click.echo(f"edge: cannot listen: {why}", err=True)
        raise SystemExit(1) from None
    raise SystemExit(code)


@main.command()
@click.option("--settings", "file", type=click.Path(), default=SAMPLE, show_default=True)
@click.option(
    "--gateways", type=click.IntRange(1, 64), default=None, help="In place of the settings' number."
)
@click.option("--hosts", type=click.IntRange(1, 1000), default=None, help="In place of the settings' number.")
@click.option(
    "--logs", type=click.Path(file_okay=False), default=None, help="A folder for the gateways' logs."
)
@click.option(
    "--state", type=click.Path(file_okay=False), default=None, help="A folder; with it notices are stitched."
)
def up(file: str, gateways: int | None, hosts: int | None, logs: str | None, state: str | None) -> None:
    """Start list, stand-in hosts and gateways on loopback; one JSON line says where. Ends when
    interrupted."""
    raise SystemExit(asyncio.run(_up(file, gateways, hosts, logs, state)))


async def _up(file: str, gateways: int | None, hosts: int | None, logs: str | None, state: str | None) -> int:
    from burlmast.badday.town import Town

    deployment = sized(file, gateways, hosts)
    folder = Path(logs) if logs else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    options = ("--state", state) if state else ()
    with file_of(deployment) as written:
        town = Town(deployment, written, deployment.gateways, options=options, logs=folder)
        return await _run_town(town)


async def _run_town(town: Any) -> int:
    from burlmast.badday.gateways import NotStarted

    deployment = town.deployment
    try:
        await town.start()
        say(
            {
                "ready": True,
                "list": f"http://127.0.0.1:{town.list_port}",
                "hosts": [f"http://{host.address}" for host in town.fleet.hosts.values()],
                "gateways": [one.url for one in town.gateways],
                "operators": [one.operators for one in town.gateways],
                "titles": [title.name for title in deployment.titles],
                "plans": [plan.name for plan in deployment.plans],
            }
        )
        await until_interrupted()
        return 0
    except (OSError, NotStarted) as why:
        click.echo(f"up: {why}", err=True)
        return 1
    finally:
        await town.close()


def sized(file: str, gateways: int | None, hosts: int | None) -> Deployment:
    """The deployment in a file, with other numbers where they are given."""
    from burlmast.settings.scenes import resized

    return resized(settings(file), gateways, hosts)


@contextmanager
def file_of(deployment: Deployment) -> Iterator[str]:
    """A file of our own that gateways read just this deployment from; it is gone afterwards."""
    # Danger: what is removed here must never be a file that somebody named.
    with tempfile.NamedTemporaryFile("wb", prefix="burlmast-", suffix=".json") as out:
        out.write(msgspec.json.encode(deployment))
        out.flush()
        yield out.name


@main.command("list")
@click.option("--listen", type=PLACE, default="127.0.0.1:0", show_default=True)
@click.option(
    "--delay",
    type=click.FloatRange(0),
    default=0.3,
    show_default=True,
    help="Seconds until a change is told.",
)
@click.option(
    "--rows", type=click.Path(exists=True, dir_okay=False), default=None, help="JSON rows to start with."
)
def list_service(listen: tuple[str, int], delay: float, rows: str | None) -> None:
    """Run a stand-in list service; rows are changed by POST /v1/rows."""
    raise SystemExit(asyncio.run(_list(listen, delay, rows)))


async def _list(listen: tuple[str, int], delay: float, rows: str | None) -> int:
    from burlmast.standin.listservice import ListService

    service = ListService(delay=delay)
    if rows:
        try:
            service.set_all(msgspec.json.decode(Path(rows).read_bytes(), type=list[dict[str, object]]))
        except (msgspec.MsgspecError, KeyError, ValueError) as why:
            click.echo(f"list: {rows}: not rows: {why}", err=True)
            return 2
    port = await service.start(listen[1])
    say({"ready": True, "list": f"http://127.0.0.1:{port}"})
    await until_interrupted()
    service.close()
    return 0


@main.command()
@click.option("--settings", "file", type=click.Path(), default=SAMPLE, show_default=True)
@click.option("--count", type=click.IntRange(1, 1000), default=None, help="In place of the settings' number.")
@click.option("--list", "list_address", type=PLACE, default=None, help="A list service to tell of them.")
def host(file: str, count: int | None, list_address: tuple[str, int] | None) -> None:
    """Run stand-in media hosts in one process; their racks share uplinks."""
    raise SystemExit(asyncio.run(_host(file, count, list_address)))


async def _host(file: str, count: int | None, list_address: tuple[str, int] | None) -> int:
    from burlmast.http1.client import Pool, Whole
    from burlmast.standin.mediahost import Fleet

    deployment = settings(file)
    if count:
        stand_ins = msgspec.structs.replace(deployment.stand_ins, hosts=count)
        deployment = msgspec.structs.replace(deployment, stand_ins=stand_ins)
    fleet = Fleet(deployment)
    await fleet.start()
    rows = list(fleet.rows.values())
    if list_address is not None:
        pool = Pool()
        try:
            body = msgspec.json.encode(rows)
            await Whole.of(pool, list_address, b"POST", b"/v1/rows", body=body)
        except (ConnectionError, TimeoutError) as why:
            click.echo(f"host: the list at {list_address[0]}:{list_address[1]}: {why}", err=True)
            return 1
        finally:
            pool.close()
    say({"ready": True, "hosts": [f"http://{row['address']}" for row in rows], "rows": rows})
    await until_interrupted()
    fleet.close()
    return 0


def scene(
    name: str, file: str | None, gateways: int | None = None, hosts: int | None = None, bench: bool = False
) -> tuple[Day, Deployment]:
    """A day and its deployment. Ends with 2 and one line where it cannot be played."""
    from burlmast.settings.scenes import fitting, read_day
    from burlmast.world.troubles import DAYS, NotADay

    try:
        day = read_bench_day(name) if bench else DAYS.get(name) or read_day(name)
        beside = str(Path(name).parent / day.settings) if day.settings else SAMPLE
        deployment = sized(file or beside, gateways or day.gateways, hosts or day.hosts)
        return fitting(day, deployment), deployment
    except NotADay as why:
        click.echo(f"{name}: {why}", err=True)
        raise SystemExit(2) from None


def read_bench_day(file: str) -> Day:
    """The kinds of trouble of a bench day. Raises NotADay."""
    from burlmast.world.benchday import from_bench
    from burlmast.world.troubles import NotADay

    try:
        day, left_out = from_bench(Path(file).read_bytes())
    except OSError as why:
        raise NotADay(why.strerror or str(why)) from None
    for kind in left_out:
        click.echo(f"{file}: {kind}: sockets here cannot show it; left out", err=True)
    return day


# What days have in common, in virtual time and on sockets.
SEED = click.option("--seed", type=int, default=1, show_default=True)
SETTINGS = click.option(
    "--settings",
    "file",
    type=click.Path(),
    default=None,
    help="In place of the scenario's own or the sample.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON line.")


@main.command("bad-day")
@click.argument("name", default="standard")
@click.option(
    "--bench", is_flag=True, help="NAME is a day file of the bench; its kinds of trouble are played."
)
@SEED
@SETTINGS
@JSON
@click.option("--plant", type=click.IntRange(1, 6), default=None, help="Break this rule on purpose.")
@click.option(
    "--logs", type=click.Path(file_okay=False), default=None, help="A folder for the gateways' logs."
)
@click.option(
    "--programme", type=click.Path(), default=None, help="Notices (Jsonnet) that gateways stitch meanwhile."
)
def bad_day(
    name: str,
    bench: bool,
    seed: int,
    file: str | None,
    as_json: bool,
    plant: int | None,
    logs: str | None,
    programme: str | None,
) -> None:
    """Play the day NAME (standard, short, quiet, or a scenario's file) and judge it from the traffic.

    Ends with 0 where the six rules held, with 1 where one was broken, with 2 where the day cannot be played.
    """
    from burlmast.badday.day import Untaken, run_day
    from burlmast.badday.gateways import NotStarted
    from burlmast.badday.report import as_text

    day, deployment = scene(name, file, bench=bench)
    folder = Path(logs) if logs else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    try:
        stated = evaluate(programme).encode("utf-8") if programme else None
        with file_of(deployment) as written:
            outcome = asyncio.run(run_day(deployment, written, day, seed, plant, folder, stated))
    except (OSError, NotStarted, Untaken, BadSettings) as why:
        click.echo(f"bad-day: {why}", err=True)
        raise SystemExit(2) from None
    if as_json:
        told = {"verdict": outcome.verdict, "players": outcome.players._asdict()}
        say({"day": day.name, "seed": seed, "took_s": round(outcome.took_s, 1), **told})
    else:
        click.echo(as_text(day, seed, outcome))
    raise SystemExit(1 if outcome.verdict.broken else 0)


@main.group()
def model() -> None:
    """Fleets in virtual time."""


@model.command("run")
@click.argument("name", default="standard")
@SEED
@SETTINGS
@click.option(
    "--gateways", type=click.IntRange(1, 1000), default=None, help="In place of the settings' number."
)
@click.option(
    "--hosts", type=click.IntRange(1, 10000), default=None, help="In place of the settings' number."
)
@JSON
def model_run(
    name: str, seed: int, file: str | None, gateways: int | None, hosts: int | None, as_json: bool
) -> None:
    """Play the day NAME in virtual time and judge it; exit codes are those of bad-day.

    The same words print the same line.
    """
    from burlmast.badday.report import players_line, verdict_lines
    from burlmast.logic import Gateway
    from burlmast.model.day import play
    from burlmast.model.ground import ground
    from burlmast.settings.scenes import rulebook

    day, deployment = scene(name, file, gateways, hosts)
    played = play(ground(deployment), day, seed, Gateway, rulebook(deployment))
    verdict, players = played.verdict, played.players._asdict()
    if as_json:
        say({"day": day.name, "seed": seed, "verdict": verdict, "players": players})
    else:
        click.echo("\n".join([f"day {day.name}, seed {seed}, in virtual time", *verdict_lines(verdict)]))
        click.echo(players_line(played.players))
    raise SystemExit(1 if verdict.broken else 0)


@main.command()
@click.argument("url", type=PLACE)
@click.argument("title")
@click.option("--plan", default=None, help="The plan's name; the sample's first by default.")
@click.option(
    "--lasts", type=click.FloatRange(0.1), default=10.0, show_default=True, help="Seconds to watch."
)
@click.option("--top", type=click.IntRange(0), default=255, help="The highest rung to use.")
def watch(url: tuple[str, int], title: str, plan: str | None, lasts: float, top: int) -> None:
    """Play one playback of TITLE at the gateway at URL and show rung, buffer and host."""
    from burlmast.standin.watch import watch as play

    raise SystemExit(asyncio.run(play(url, title, plan or "explainer", lasts, top, click.echo)))


@main.command()
@click.argument("file", type=click.Path())
@click.option(
    "--out", type=click.Path(file_okay=False), default=None, help="A folder; the file's own name by default."
)
@click.option(
    "--processes", type=click.IntRange(1, 256), default=None, help="The machine's cores by default."
)
@click.option("--quiet", is_flag=True, help="No progress bar.")
def experiment(file: str, out: str | None, processes: int | None, quiet: bool) -> None:
    """Play the grid that FILE states, compare its arms in pairs and write a report.

    Finished days are kept in the folder's ledger: a run that was ended at any moment goes on where it was.
    Ends with 0, with 1 where days had to be given up, with 2 where the grid cannot be played.
    """
    import os

    try:
        from rich.console import Console
        from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

        from burlmast.experiment import columns, compare, report
    except ModuleNotFoundError as why:
        click.echo(f"experiment: {why}; install burlmast[experiment]", err=True)
        raise SystemExit(2) from None
    from burlmast.experiment.ledger import InUse, Ledger
    from burlmast.experiment.plan import BadPlan, code_digest, read_plan
    from burlmast.experiment.roster import Roster
    from burlmast.experiment.run import Sweep

    folder = Path(out) if out else Path("experiments") / Path(file).stem
    try:
        plan = read_plan(file)
        ledger = Ledger(folder / "ledger.blx")
    except (BadPlan, InUse, OSError) as why:
        click.echo(f"experiment: {why}", err=True)
        raise SystemExit(2) from None
    if ledger.skipped:
        click.echo(f"experiment: {ledger.skipped} damaged bytes of the ledger are left out", err=True)
    sweep = Sweep(plan.cells, code_digest(), ledger, processes or os.cpu_count() or 1)
    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
        disable=quiet,
    )
    try:
        with bar:
            task = bar.add_task(plan.statement.name, total=len(plan.cells))

            def show(roster: Roster) -> None:
                bar.update(task, completed=roster.count(("done", "given up")))

            show(sweep.roster)
            sweep.run(show)
    except KeyboardInterrupt:
        done = sweep.roster.count(("done",))
        click.echo(f"experiment: {done} of {len(plan.cells)} are kept; the same command goes on", err=True)
        raise SystemExit(130) from None
    except OSError as why:
        click.echo(f"experiment: {why}; what is on disk is kept", err=True)
        raise SystemExit(2) from None
    finally:
        ledger.close()
    results, given_up = sweep.results(), sweep.given_up()
    rows = compare.rows(plan.cells, results, plan.statement.against)
    columns.write(plan.cells, results, folder / "results.parquet")
    report.write(report.page(plan, results, rows, given_up), folder / "report.html")
    for row in rows:
        told = [f"{row.scenario}: {row.variant}, {row.policy}:"]
        for name in ("earned", "service"):
            gain = row.gains.get(name)
            told.append(
                f"{name} {row.means[name]:.4f}" + (f" {gain.mean:+.4f} {gain.verdict}" if gain else "")
            )
        if row.rules:
            told.append("rules broken: " + ", ".join(map(str, row.rules)))
        click.echo("  ".join(told))
    for cell, cause in given_up:
        click.echo(f"given up: {', '.join(cell.arm)}, seed {cell.seed}: {cause}", err=True)
    click.echo(str(folder / "report.html"))
    raise SystemExit(1 if given_up else 0)


@main.group()
def notices() -> None:
    """What viewers were given of the programme's notices."""


@notices.command("heard")
@click.option("--state", type=click.Path(file_okay=False), required=True, help="The folder given to edge.")
@click.option("--playback", default="", help="Of this playback alone.")
@click.option("--notice", default="", help="Of this notice alone.")
@click.option("--viewer", default="", help="By this viewer alone.")
def notices_heard(state: str, playback: str, notice: str, viewer: str) -> None:
    """Print the record, a JSON line each, of every gateway that kept its state there."""
    from burlmast.stitch.store import StoreFault, read_heard

    folders = sorted(Path(state).glob("gateway-*"))
    if not folders:
        click.echo(f"notices: {state}: no gateway has kept anything there", err=True)
        raise SystemExit(2)
    for folder in folders:
        try:
            rows = read_heard(folder, playback, notice, viewer)
        except StoreFault as why:
            click.echo(f"notices: {why}", err=True)
            raise SystemExit(2) from None
        for row in rows:
            say({"gateway": folder.name, **row._asdict()})


@notices.command("put")
@click.argument("file", type=click.Path())
@click.option(
    "--to", type=PLACE, required=True, multiple=True, help="A gateway's operators' listener; repeat."
)
def notices_put(file: str, to: tuple[tuple[str, int], ...]) -> None:
    """State the programme in FILE (Jsonnet) to gateways; 1 where one of them did not take it."""
    try:
        raw = evaluate(file).encode("utf-8")
    except BadSettings as why:
        click.echo(str(why), err=True)
        raise SystemExit(2) from None
    raise SystemExit(asyncio.run(_put(raw, to)))


async def _put(raw: bytes, to: tuple[tuple[str, int], ...]) -> int:
    from burlmast.http1.client import Pool, Whole

    pool, code = Pool(), 0
    for address in to:
        where = f"{address[0]}:{address[1]}"
        headers = ((b"content-type", b"application/json"),)
        try:
            status, _, told = await Whole.of(pool, address, b"PUT", b"/v1/programme", headers, raw)
        except (ConnectionError, TimeoutError) as why:
            status, told = 0, msgspec.json.encode({"error": str(why)})
        say({"gateway": where, "status": status, **msgspec.json.decode(told)})
        code = code if status == 200 else 1
    pool.close()
    return code


main.add_command(coordinator)
main.add_command(coordinator, "desk")  # its name of before, for one release
main.add_command(fleet)
main.add_command(catalogue)
main.add_command(release)
