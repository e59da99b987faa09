"""One HTML page of a release: service over time by version, beside the number out and the limits."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape
from io import StringIO
from pathlib import Path
from typing import Any

from burlmast.release.plan import groups
from burlmast.release.shell import Look
from burlmast.release.steps import Release

PAGE = """<!doctype html><meta charset="utf-8"><title>{title}</title>
<style>body{{font:14px/1.5 sans-serif;max-width:60em;margin:2em auto}}
td,th{{padding:.1em .8em;text-align:left}}
svg{{max-width:100%}}</style>
<h1>{title}</h1><p>{state}</p>{plot}
<h2>Steps</h2><table><tr><th>UTC</th><th>state</th><th>why</th><th>desk</th></tr>{rows}</table>
<h2>Gateways by step</h2><ol start="0">{groups}</ol>
"""


def write(file: Path, release: Release, looks: Sequence[Look], gateways: int) -> None:
    """Write the page. Raises OSError."""
    from datetime import UTC, datetime

    rows = "".join(
        f"<tr><td>{datetime.fromtimestamp(one.at / 1e9, UTC):%H:%M:%S}</td><td>{escape(one.state)}</td>"
        f"<td>{escape(one.why)}</td><td>{one.desk}</td></tr>"
        for one in release.log
    )
    whom = "".join(f"<li>{', '.join(map(str, one))}</li>" for one in groups(release.plan, gateways))
    told = {
        "title": escape(f"Release {release.number}: {release.plan.name}"),
        "state": escape(f"{release.state}: {release.why}"),
        "plot": plot(release, looks),
        "rows": rows,
        "groups": whom,
    }
    file.write_text(PAGE.format(**told), encoding="utf-8")


def plot(release: Release, looks: Sequence[Look]) -> str:
    """Two panels over one time, as SVG."""
    if len(looks) < 2:
        return "<p>Too few looks were kept for a plot.</p>"
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot
    from matplotlib.ticker import MaxNLocator

    zero = looks[0].at
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 5.5))
    for name, key in (("new version", "new"), ("old version", "old")):
        times, parts = service(looks, key)
        upper.plot([(at - zero) / 1e9 for at in times], parts, label=name)
    upper.set_ylabel("part of requests that play")
    upper.set_ylim(-0.02, 1.02)
    upper.legend(loc="center left", bbox_to_anchor=(1.01, 0.5))
    at = [(one.at - zero) / 1e9 for one in looks]
    for what, style in (("gateways", "C0"), ("hosts", "C1")):
        lower.step(at, [getattr(one, what) for one in looks], style, where="post", label=f"{what} out")
        limit = [getattr(one, f"may_{what}") for one in looks]
        lower.step(at, limit, style, where="post", linestyle="--", label=f"{what} that may be")
    lower.set_xlabel("seconds")
    lower.set_ylabel("out at once")
    most = max(max(one.gateways, one.hosts, one.may_gateways, one.may_hosts) for one in looks)
    lower.set_ylim(-0.2, most + 0.5)
    lower.yaxis.set_major_locator(MaxNLocator(integer=True))
    lower.legend(loc="center left", bbox_to_anchor=(1.01, 0.5))
    for entry in release.log:
        for panel in (upper, lower):
            panel.axvline((entry.at - zero) / 1e9, color="0.8", linewidth=0.8)
    out: Any = StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    text = str(out.getvalue())
    return text[text.index("<svg") :]


def service(looks: Sequence[Look], key: str, least: int = 10) -> tuple[list[int], list[float]]:
    """The part that plays, over as many looks as it takes to see `least` requests."""
    times: list[int] = []
    parts: list[float] = []
    asked = played = 0
    for one in looks:
        more, plays = getattr(one, key)
        asked, played = asked + more, played + plays
        if asked >= least:
            times.append(one.at)
            parts.append(min(1.0, played / asked))
            asked = played = 0
    return times, parts
