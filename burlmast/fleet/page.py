"""One HTML page of the record: a lane a gateway, stamps over time, outages, orders and their deadlines."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from burlmast.fleet.ledger import Row
from burlmast.fleet.orders import Book

WIDTH = 1000
LANE = 34
COLOURS = ("#4c78a8", "#f58518", "#54a24b", "#b279a2", "#e45756", "#72b7b2", "#9d755d", "#eeca3b")

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Fleet {{ book.fleet }}</title><style>
body { font: 14px system-ui, sans-serif; margin: 2em; color: #222; max-width: 70em }
svg { width: 100%; height: auto; background: #fafafa; border: 1px solid #ddd }
table { border-collapse: collapse }
td, th { padding: .2em .8em; text-align: left; border-bottom: 1px solid #ddd }
.found { color: #a00 } .hole { color: #850 }
</style></head><body>
<h1>Fleet {{ book.fleet or "(none)" }}</h1>
<p>{{ verdict.acts }} acts in ledgers; hosts heard {{ verdict.set_ups }} set-ups, {{ verdict.matched }} of
them told, {{ verdict.in_holes }} in holes. Times are the gateways' wall clocks, which may differ; what came
first is told by numbers.</p>
<svg viewBox="0 0 {{ width + 140 }} {{ height }}" role="img" aria-label="Stamps over time, a lane a gateway">
{% for lane in lanes %}<text x="4" y="{{ lane.y + 20 }}" font-size="13">gateway {{ lane.gateway }}</text>
{% for bar in lane.bars %}<rect x="{{ bar.x }}" y="{{ lane.y + 6 }}" width="{{ bar.w }}" height="20"
 fill="{{ bar.colour }}"{% if bar.hole %} fill-opacity="0.35" stroke="#850" stroke-dasharray="3 2"{% endif %}>
<title>{{ bar.told }}</title></rect>{% endfor %}
{% endfor %}{% for mark in marks %}<line x1="{{ mark.x }}" x2="{{ mark.x }}" y1="0" y2="{{ height }}"
 stroke="#333" {% if mark.due %}stroke-dasharray="4 3"{% endif %}>
<title>{{ mark.told }}</title></line>{% endfor %}
</svg>
<p>{% for one in legend %}<span style="color:{{ one[0] }}">&#9632;</span> {{ one[1] }} &nbsp; {% endfor %}
Solid lines: orders; dashed: until when they must be in force. Pale bars: not known.</p>
<h2>Orders</h2><table>
<tr><th>number</th><th>settings</th><th>side by side</th><th>for</th><th>undoes</th></tr>
{% for one in book.orders %}<tr><td>{{ one.number }}</td><td>{{ one.settings[:12] or "own files" }}</td>
<td>{{ "no" if one.apart else "yes" }}</td><td>{{ one.part | join(", ") or "all" }}</td>
<td>{{ one.undoes or "" }}</td></tr>{% endfor %}</table>
<h2>Findings: {{ verdict.findings | length }}</h2>
<ul>{% for one in verdict.findings %}<li class="found"><b>{{ one.what }}</b>, gateway {{ one.gateway }}:
{{ one.evidence }}</li>{% endfor %}</ul>
<h2>Holes: {{ verdict.holes | length }}</h2>
<ul>{% for one in verdict.holes %}<li class="hole">gateway {{ one.gateway }}, life {{ one.life }}, acts
{{ one.first }} to {{ one.last or "its end" }}: {{ one.why }}</li>{% endfor %}</ul>
</body></html>
"""


def write(file: Path, rows: Sequence[Row], book: Book, verdict: Any) -> None:
    """Write the page. Raises OSError, and ModuleNotFoundError without jinja2."""
    import jinja2

    environment = jinja2.Environment(autoescape=True, trim_blocks=True)
    lanes, legend, span = lanes_of(rows)
    marks = []
    for order in book.orders:
        for at, due in ((order.given_at, False), (order.given_at + int(order.within_ms * 1e6), True)):
            if span[0] <= at <= span[1]:
                told = f"order {order.number}" + (" must be in force" if due else " given")
                marks.append({"x": place(at, span), "due": due, "told": told})
    told = environment.from_string(PAGE).render(
        book=book,
        verdict=verdict,
        lanes=lanes,
        legend=legend,
        marks=marks,
        width=WIDTH,
        height=LANE * max(1, len(lanes)) + 8,
    )
    file.write_text(told, encoding="utf-8")


def place(at: int, span: tuple[int, int]) -> float:
    """Where a moment stands."""
    return round(110 + WIDTH * (at - span[0]) / max(1, span[1] - span[0]), 2)


def lanes_of(
    rows: Sequence[Row],
) -> tuple[list[dict[str, Any]], list[tuple[str, str]], tuple[int, int]]:
    """Bars of each gateway's lives and pages, the colours of orders, and the time that they span."""
    times = [row.at for row in rows] or [0, 1]
    span = min(times), max(max(times), min(times) + 1)
    orders = sorted({row.stamp.order for row in rows if row.stamp is not None})
    colour = {order: COLOURS[n % len(COLOURS)] for n, order in enumerate(orders)}
    by_life: dict[str, list[Row]] = {}
    for row in sorted(rows, key=lambda row: (row.life, row.n)):
        by_life.setdefault(row.life, []).append(row)
    lanes: dict[int, dict[str, Any]] = {}
    for gateway in sorted({row.gateway for row in rows}):
        lanes[gateway] = {"gateway": gateway, "y": LANE * len(lanes), "bars": []}
    for life, found in by_life.items():
        pages = [row for row in found if row.kind == "page"]
        for n, page in enumerate(pages):
            until = pages[n + 1].at if n + 1 < len(pages) else found[-1].at
            stamp = page.stamp
            if stamp is None:
                continue
            told = (
                f"life {life}, order {stamp.order}, settings {stamp.settings[:12]}, build {stamp.build[:8]}"
            )
            x = place(page.at, span)
            wide = max(1.0, place(until, span) - x)
            bar = {"x": x, "w": wide, "colour": colour[stamp.order], "told": told, "hole": False}
            lanes[page.gateway]["bars"].append(bar)
        for n, row in enumerate(found):
            if row.kind == "gap":
                began = found[n - 1].at if n else row.at
                x = place(began, span)
                told = f"acts {row.first} to {row.last} not known: {row.why}"
                wide = max(2.0, place(row.at, span) - x)
                bar = {"x": x, "w": wide, "colour": "#ddd", "told": told, "hole": True}
                lanes[row.gateway]["bars"].append(bar)
    legend = [(colour[order], f"order {order}" if order else "own files") for order in orders]
    return list(lanes.values()), legend, span
