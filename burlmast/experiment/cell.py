"""One cell played in the model, and what is kept of it."""

from __future__ import annotations

from collections import defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from burlmast.experiment.plan import Cell
from burlmast.model.day import Played, Sample, play
from burlmast.model.ground import ground
from burlmast.model.policies import POLICIES
from burlmast.settings.scenes import rulebook
from burlmast.world.audit import Rulebook
from burlmast.world.traffic import Answered, Asked, GatewayIs, Record

SECOND = 1_000_000_000
HOLDS = 1, 60_000, 3  # milliseconds, digits


class Result(msgspec.Struct, frozen=True):
    """What came of a cell. Holds no wall time: the same cell has the same bytes anywhere."""

    figures: dict[str, float]
    rules: tuple[int, ...]  # broken ones
    service: tuple[tuple[float, float], ...]  # each second: revenue asked for, revenue served in time
    samples: tuple[Sample, ...]
    restarts: tuple[tuple[float, int, str], ...]  # when, which gateway, what it became
    holds: bytes  # an encoded HdrHistogram of milliseconds until an answer


# What can be compared, and whether more of it is better.
FIGURES = {
    "service": True,
    "earned": True,
    "watched": True,
    "stalls_a_viewer": False,
    "left_early": False,
    "rejected": False,
    "unanswered": False,
    "tries_a_request": False,
    "hold_p99_ms": False,
}


def run(cell: Cell) -> Result:
    """Play a cell."""
    book = rulebook(cell.deployment)
    played = play(ground(cell.deployment), cell.day, cell.seed, POLICIES[cell.policy], book)
    return result(played, book, int(cell.day.lasts))


def result(played: Played, book: Rulebook, seconds: int) -> Result:
    """What is kept of a played day of so many seconds."""
    verdict, players = played.verdict, played.players
    asked = {one.request: one for one in played.records if isinstance(one, Asked)}
    start = min((one.at for one in asked.values()), default=0)
    holds = HdrHistogram(*HOLDS)
    for one in played.records:
        if isinstance(one, Answered):
            holds.record_value(max(1, (one.at - asked[one.request].at) // 1_000_000))
    figures = {
        "service": verdict.service,
        "earned": players.earned,
        "watched": players.watched,
        "stalls_a_viewer": players.stalls_a_viewer,
        "left_early": players.left_early / max(1, players.viewers),
        "rejected": verdict.rejected / max(1, verdict.asked),
        "unanswered": verdict.unanswered / max(1, verdict.asked),
        "tries_a_request": verdict.tries_a_request,
        "hold_p99_ms": holds.get_value_at_percentile(99),
        "viewers": players.viewers,
        "asked": verdict.asked,
    }
    restarts = tuple(
        ((one.at - start) / SECOND, one.gateway, one.state)
        for one in played.records
        if isinstance(one, GatewayIs) and one.at >= start
    )
    by_second = served_by_second(played.records, asked, book, start, seconds)
    encoded = holds.encode()
    return Result(figures, tuple(verdict.rules), by_second, tuple(played.samples), restarts, encoded)


def served_by_second(
    records: list[Record], asked: dict[int, Asked], book: Rulebook, start: int, seconds: int
) -> tuple[tuple[float, float], ...]:
    """Revenue asked for and served in time, by the second in which it was asked for."""
    sums: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for one in asked.values():
        plan = book.plans[one.plan]
        sums[(one.at - start) // SECOND][0] += plan.revenue * book.earns[min(one.top, len(book.earns) - 1)]
    for answer in records:
        if isinstance(answer, Answered) and answer.status == 201:
            one = asked[answer.request]
            plan = book.plans[one.plan]
            if answer.at - one.at <= plan.startup_target:
                sums[(one.at - start) // SECOND][1] += plan.revenue * book.earns[answer.rung]
    return tuple((round(sums[at][0], 6), round(sums[at][1], 6)) for at in range(seconds))
