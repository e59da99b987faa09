"""Arms against one of them: the same seeds meet the same crowd, so their differences are taken in pairs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy
from scipy import stats

from burlmast.experiment.cell import FIGURES, Result
from burlmast.experiment.plan import Arm, Cell

SURE = 0.95


class Gain(NamedTuple):
    """The mean difference to the arm compared with, and its confidence interval; none with fewer than two
    pairs."""

    mean: float
    low: float | None
    high: float | None
    pairs: int
    verdict: str  # better, worse, alike, unknown


class Row(NamedTuple):
    """One arm on one scenario."""

    scenario: str
    variant: str
    policy: str
    means: dict[str, float]
    gains: dict[str, Gain]  # empty for the arm compared with
    rules: dict[int, int]  # broken rules, and in how many of its days


def paired(ours: Sequence[float], theirs: Sequence[float], more_is_better: bool) -> Gain:
    """Student's interval of the mean of paired differences."""
    differences = numpy.asarray(ours, dtype=float) - numpy.asarray(theirs, dtype=float)
    if not len(differences):
        return Gain(0.0, None, None, 0, "unknown")
    mean = float(differences.mean())
    if len(differences) < 2:
        return Gain(mean, None, None, len(differences), "unknown")
    error = float(differences.std(ddof=1)) / len(differences) ** 0.5
    reach = float(stats.t.ppf((1 + SURE) / 2, len(differences) - 1)) * error
    low, high = mean - reach, mean + reach
    sided = "better" if (mean > 0) == more_is_better else "worse"
    return Gain(mean, low, high, len(differences), "alike" if low <= 0 <= high else sided)


def rows(cells: Sequence[Cell], results: Sequence[Result | None], against: Arm) -> list[Row]:
    """Every arm on every scenario, in the grid's order."""
    arms: dict[tuple[str, str, str], dict[int, Result]] = {}
    for cell, result in zip(cells, results, strict=True):
        arm = arms.setdefault(cell.arm, {})
        if result is not None:
            arm[cell.seed] = result
    found = []
    for (scenario, variant, policy), by_seed in arms.items():
        base = arms.get((scenario, against.variant, against.policy), {})
        own = (variant, policy) == (against.variant, against.policy)
        both = sorted(set(by_seed) & set(base))
        gains = {
            name: paired(
                [by_seed[seed].figures[name] for seed in both],
                [base[seed].figures[name] for seed in both],
                better,
            )
            for name, better in FIGURES.items()
            if not own
        }
        means = {
            name: float(numpy.mean([one.figures[name] for one in by_seed.values()])) if by_seed else 0.0
            for name in FIGURES
        }
        rules: dict[int, int] = {}
        for one in by_seed.values():
            for rule in one.rules:
                rules[rule] = rules.get(rule, 0) + 1
        found.append(Row(scenario, variant, policy, means, gains, dict(sorted(rules.items()))))
    return found
