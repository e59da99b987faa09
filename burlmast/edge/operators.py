"""The operators' listener: metrics and health, apart from the viewers'."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from burlmast.http1.server import Exchange
from burlmast.stitch.programme import Refused

if TYPE_CHECKING:
    from burlmast.edge.program import Program

PROGRAMME_LIMIT = 1 << 20
TEXT = ((b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),)


class Figures(Collector):
    """Reads the driver's and the doorkeeper's own counts when they are asked for."""

    def __init__(self, program: Program) -> None:
        self._program = program

    def collect(self) -> Iterator[Metric]:
        driver, doorkeeper = self._program.driver, self._program.doorkeeper
        happened = CounterMetricFamily("burlmast_happened", "What happened, by kind", labels=["what"])
        for what, count in sorted(driver.counts.items()):
            happened.add_metric([what], count)
        yield happened
        away = CounterMetricFamily(
            "burlmast_turned_away", "Sent away by this program's limits", labels=["limit"]
        )
        for what, count in sorted(doorkeeper.turned_away.items()):
            away.add_metric([what], count)
        yield away
        notices = self._program.notices
        stitched = CounterMetricFamily("burlmast_notices", "Notices, by what came of them", labels=["what"])
        stitched.add_metric(["rejected for want of one"], self._program.door.lacking)
        for counts in (notices.counts, notices.larder.counts) if notices is not None else ():
            for what, count in sorted(counts.items()):
                stitched.add_metric([what], count)
        yield stitched
        titles = self._program.together.titles
        figures = titles.figures() if titles is not None else {}
        for name, value in figures.items():
            yield GaugeMetricFamily(f"burlmast_catalogue_{name}", "See docs/catalogue.md", value)
        if titles is not None:
            unknown = self._program.door.unknown
            yield CounterMetricFamily(
                "burlmast_catalogue_not_here", "Rejected: a title not here yet", unknown
            )
        shut_out = int(self._program.together.shut_out)
        for name, text, value in (
            ("burlmast_held", "Requests that are owed an answer", driver.asked),
            ("burlmast_playing", "Playbacks that play", driver.playing),
            ("burlmast_connections", "Viewers' connections", doorkeeper.connections.taken),
            (
                "burlmast_longest_hold_seconds",
                "Longest time from request to answer",
                driver.longest_hold / 1e9,
            ),
            ("burlmast_shut_out", "1 where it may not act until it has caught up", shut_out),
            ("burlmast_longest_stall_seconds", "Longest time the loop was late", self._program.longest_stall),
        ):
            yield GaugeMetricFamily(name, text, value)


class Operators:
    """`GET /metrics`, `/healthz` (the process runs) and `/readyz` (it has a list and takes requests;
    a gateway of a fleet that is shut out does not)."""

    def __init__(self, program: Program) -> None:
        self._program = program
        self.registry = CollectorRegistry()
        self.registry.register(Figures(program))
        self.answer_time = Histogram(
            "burlmast_answer_seconds",
            "From request to answer",
            buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
            registry=self.registry,
        )

    def application(self, exchange: Exchange) -> None:
        """Answer an operator."""
        path = exchange.target.split(b"?", 1)[0]
        if self._program.together.application(exchange, path.decode("ascii", "replace")):
            return
        if path == b"/v1/programme" and exchange.method == b"PUT":
            exchange.collect(PROGRAMME_LIMIT, lambda body: self._put(exchange, body))
        elif exchange.method not in (b"GET", b"HEAD"):
            exchange.refuse(405, "use GET here", ((b"allow", b"GET, HEAD"),))
        elif path == b"/metrics":
            exchange.respond(200, TEXT, generate_latest(self.registry))
        elif path == b"/healthz":
            exchange.json(200, {"runs": True})
        elif path == b"/readyz":
            ready = self._program.ready and not self._program.together.shut_out
            exchange.json(200 if ready else 503, {"ready": ready})
        elif path == b"/v1/programme" and self._program.notices is not None:
            exchange.json(200, self._program.notices.register.in_force)
        else:
            exchange.refuse(404, "there is nothing here")

    def _put(self, exchange: Exchange, body: bytes) -> None:
        """A change of programme: 200 once it is in force and on the disk, else what is in force."""
        notices = self._program.notices
        if notices is None:
            exchange.refuse(404, "this gateway was started without --state and stitches nothing")
            return

        def answer(refused: Refused | None) -> None:
            if refused is None:
                exchange.json(200, {"in_force": notices.register.in_force.version})
            else:
                exchange.json(refused.status, {"error": refused.why, "in_force": refused.in_force})

        notices.put(body, answer)
