"""An experiment as one HTML file: figures, differences with their intervals, and plots."""

from __future__ import annotations

import io
import os
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
import numpy
from hdrh.histogram import HdrHistogram

from burlmast.experiment.cell import FIGURES, HOLDS, Result
from burlmast.experiment.compare import Row
from burlmast.experiment.plan import Cell, Plan

matplotlib.use("Agg")
# The same results draw the same bytes.
matplotlib.rcParams.update({"svg.hashsalt": "burlmast", "svg.fonttype": "none", "figure.autolayout": True})

PAGE = """<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{{ plan.name }}</title><style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 72em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; font-size: 13px; } td, th { border: 1px solid #bbb; padding: .2em .5em; }
td { text-align: right; } td.name { text-align: left; } .better { background: #dff3df; }
.worse { background: #f8dede; } svg { max-width: 100%; height: auto; }
</style></head><body><h1>{{ plan.name }}</h1><p>{{ plan.question }}</p>
<p>{{ done }} of {{ cells }} days played in the model ({{ plan.seeds }} seeds an arm). Differences are to
{{ plan.against.policy }}, {{ plan.against.variant }}, on the same seeds, with 95% intervals; coloured where
the interval leaves out 0.</p>
{% if given_up %}<h2>Given up</h2><ul>{% for cell, why in given_up %}
<li>{{ cell.arm | join(', ') }}, seed {{ cell.seed }}: {{ why }}</li>{% endfor %}
</ul>{% endif %}
{% for scenario, part in scenarios %}<h2>{{ scenario }}</h2>
<table><tr><th>settings</th><th>policy</th>{% for name in figures %}<th>{{ name }}</th>{% endfor %}
<th>rules broken (days)</th></tr>
{% for row in part %}<tr><td class="name">{{ row.variant }}</td><td class="name">{{ row.policy }}</td>
{% for name in figures %}{% set gain = row.gains.get(name) %}<td class="{{ gain.verdict if gain else '' }}">
{{ '%.4g' % row.means[name] }}{% if gain %}<br>{{ '%+.4g' % gain.mean }}{% if gain.low is not none %}
[{{ '%.3g' % gain.low }}, {{ '%.3g' % gain.high }}]{% endif %}{% endif %}</td>{% endfor %}
<td class="name">{% for rule, days in row.rules.items() %}{{ rule }} ({{ days }}) {% endfor %}</td></tr>
{% endfor %}</table>{% endfor %}
{% for title, svg in plots %}<h3>{{ title }}</h3>{{ svg | safe }}{% endfor %}
</body></html>
"""
Arms = dict[tuple[str, str], list[Result]]


def arms_of(cells: Sequence[Cell], results: Sequence[Result | None], scenario: str) -> Arms:
    """The finished days of each arm on a scenario."""
    found: Arms = {}
    for cell, result in zip(cells, results, strict=True):
        if cell.scenario == scenario and result is not None:
            found.setdefault((cell.variant, cell.policy), []).append(result)
    return found


def name_of(arm: tuple[str, str]) -> str:
    """An arm in a legend."""
    return ", ".join(arm)


def mean_over(days: Sequence[Result], of: Callable[[Result], Sequence[float]]) -> Any:
    """Second by second over the days, as far as the shortest goes."""
    each = [of(day) for day in days]
    shortest = min(len(one) for one in each)
    return numpy.mean([one[:shortest] for one in each], axis=0)


def service(days: Sequence[Result]) -> Any:
    """Revenue served in time over that asked for, each second of all days together."""
    both = numpy.sum([numpy.asarray(day.service) for day in days], axis=0)
    return both[:, 1] / numpy.maximum(both[:, 0], 1e-9)


def _service(axes: Any, arms: Arms) -> None:
    for arm, days in arms.items():
        axes.plot(service(days), label=name_of(arm))
    axes.set(xlabel="seconds", ylabel="revenue served in time / asked for", ylim=(0, 1))


def _links(axes: Any, arms: Arms) -> None:
    for arm, days in arms.items():
        axes.plot(mean_over(days, lambda day: [one.link_use for one in day.samples]), label=name_of(arm))
    axes.set(xlabel="seconds", ylabel="asked of links / given")


def _short(axes: Any, arms: Arms) -> None:
    for arm, days in arms.items():
        axes.plot(mean_over(days, lambda day: [one.short for one in day.samples]), label=name_of(arm))
    axes.set(xlabel="seconds", ylabel="part of hosts that are short", ylim=(0, 1))


def _rungs(axes: Any, arms: Arms) -> None:
    bottom = numpy.zeros(len(arms))
    names = [name_of(arm) for arm in arms]
    played = [
        numpy.sum([one.playing for day in days for one in day.samples], axis=0) for days in arms.values()
    ]
    for rung in range(len(played[0])):
        part = numpy.asarray([one[rung] / max(1, one.sum()) for one in played])
        axes.barh(names, part, left=bottom, label=f"rung {rung}")
        bottom = bottom + part
    axes.set(xlabel="part of time played", xlim=(0, 1))


def _holds(axes: Any, arms: Arms) -> None:
    parts = [50, 75, 90, 95, 99, 99.9]
    for arm, days in arms.items():
        whole = HdrHistogram(*HOLDS)
        for day in days:
            whole.decode_and_add(day.holds)
        held = [whole.get_value_at_percentile(part) for part in parts]
        axes.plot([str(part) for part in parts], held, marker="o", label=name_of(arm))
    axes.set(xlabel="percentile", ylabel="milliseconds until an answer", yscale="log")


def _restarts(axes: Any, arms: Arms) -> None:
    for arm, days in arms.items():
        axes.plot(mean_over(days, lambda day: [one.gateways for one in day.samples]), label=name_of(arm))
    axes.set(xlabel="seconds", ylabel="gateways that run", ylim=(0, None))


PLOTS: dict[str, Callable[[Any, Arms], None]] = {
    "Service over time": _service,
    "Rungs": _rungs,
    "Use of links": _links,
    "Hosts that are short": _short,
    "Hold times": _holds,
    "Gateways that run": _restarts,
}


def plots(plan: Plan, results: Sequence[Result | None]) -> Iterator[tuple[str, str]]:
    """Titles and drawings, a scenario after the other."""
    from matplotlib.figure import Figure

    for scenario in dict.fromkeys(cell.scenario for cell in plan.cells):
        arms = arms_of(plan.cells, results, scenario)
        if not arms:
            continue
        for title, draw in PLOTS.items():
            figure = Figure(figsize=(9, 3.6))
            axes = figure.subplots()
            draw(axes, arms)
            axes.legend(fontsize="x-small")
            yield f"{title}: {scenario}", drawn(figure)


def gains(rows: Sequence[Row], figure: str = "earned") -> str:
    """Every arm's difference in one figure to the arm compared with, and its interval."""
    from matplotlib.figure import Figure

    told = [row for row in rows if row.gains]
    names = list(dict.fromkeys(name_of((row.variant, row.policy)) for row in told))
    scenarios = list(dict.fromkeys(row.scenario for row in told))
    drawing = Figure(figsize=(9, 0.8 + 0.5 * len(names)))
    axes = drawing.subplots()
    for turn, scenario in enumerate(scenarios):
        for row in told:
            if row.scenario == scenario:
                gain = row.gains[figure]
                reach = (gain.high - gain.mean) if gain.high is not None else 0.0
                place = names.index(name_of((row.variant, row.policy))) + 0.2 * turn
                first = row is next(one for one in told if one.scenario == scenario)
                label = scenario if first else None
                axes.errorbar(gain.mean, place, xerr=reach, fmt="o", color=f"C{turn}", label=label)
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_yticks(range(len(names)), names)
    axes.set(xlabel=f"{figure}: difference to the arm compared with, 95% interval")
    axes.invert_yaxis()
    axes.legend(fontsize="x-small")
    return drawn(drawing)


def drawn(figure: Any) -> str:
    """A drawing as SVG text."""
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def page(
    plan: Plan, results: Sequence[Result | None], rows: Sequence[Row], given_up: Sequence[tuple[Cell, str]]
) -> str:
    """The whole report."""
    names = dict.fromkeys(row.scenario for row in rows)
    scenarios = [(name, [row for row in rows if row.scenario == name]) for name in names]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(PAGE).render(
        plan=plan.statement,
        scenarios=scenarios,
        figures=list(FIGURES),
        plots=[("Revenue by the second, in pairs", gains(rows)), *plots(plan, results)],
        cells=len(plan.cells),
        done=sum(one is not None for one in results),
        given_up=given_up,
    )


def write(text: str, file: Path) -> None:
    """Write the report whole and swap it in. Raises OSError."""
    fresh = file.with_suffix(".new")
    fresh.write_text(text, encoding="utf-8")
    os.replace(fresh, file)
