"""A day's verdict as lines for a person, and a day's script from a file."""

from __future__ import annotations

from burlmast.badday.day import Outcome
from burlmast.world.audit import Verdict
from burlmast.world.troubles import Day
from burlmast.world.visitor import Tally

SHOWN = 3


def as_text(day: Day, seed: int, outcome: Outcome) -> str:
    """What happened, what it came to, and the traffic that shows each broken rule."""
    lines = [f"day {day.name}, seed {seed}, {outcome.took_s:.1f} s, {len(day.troubles)} troubles"]
    for trouble in day.troubles:
        lines.append(f"  {trouble.start:5.1f} to {trouble.start + trouble.lasts:5.1f} s  {trouble.kind}")
    for one in day.capacity:
        lines.append(f"  capacity: {type(one.course).__name__.lower()}")
    return "\n".join([*lines, *verdict_lines(outcome.verdict), players_line(outcome.players)])


def players_line(players: Tally) -> str:
    """What the day came to for its viewers."""
    return "players: " + ", ".join(f"{name} {value}" for name, value in players._asdict().items())


def verdict_lines(verdict: Verdict) -> list[str]:
    """The verdict, and the traffic that shows each broken rule."""
    lines = [
        f"asked {verdict.asked}: plays {verdict.plays}, rejected {verdict.rejected}, "
        f"aborted {verdict.aborted}, unanswered {verdict.unanswered} "
        f"({verdict.excused} excused: their gateway was down or stopped)",
        f"revenue served in time {verdict.service:.3f} of that asked for, "
        f"{verdict.tries_a_request:.3f} tries a request, longest hold {verdict.longest_hold_ms:.0f} ms",
    ]
    if not verdict.broken:
        lines.append("the six rules held")
    for rule in verdict.rules:
        found = [one for one in verdict.broken if one.rule == rule]
        lines.append(f"rule {rule} BROKEN {len(found)} times")
        for one in found[:SHOWN]:
            lines.append(f"  {one.what}")
            lines += [f"    {line}" for line in one.lines]
    return lines
