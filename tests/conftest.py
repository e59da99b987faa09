"""Generated inputs are the same in every run; tests of KNOWN-RED.txt run and are printed, and may fail."""

from __future__ import annotations

from pathlib import Path

import known_red
import pytest
from hypothesis import settings

settings.register_profile("seeded", derandomize=True, database=None)
settings.load_profile("seeded")

ROOT = Path(__file__).parent.parent


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests of the list, and fail where it names one that does not exist."""
    listed = known_red.read(ROOT / "KNOWN-RED.txt")
    for item in items:
        entry = listed.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=f"KNOWN-RED: {entry.seen}", strict=False))
    collected = {item.nodeid for item in items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    selected = bool(config.option.keyword or any("::" in argument for argument in config.args))
    missing = [name for name in listed if name not in collected and name.partition("::")[0] in files]
    if missing and not selected:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {', '.join(missing)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each test of the list with what it did."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            if "KNOWN-RED" in str(getattr(report, "wasxfail", "")):
                terminalreporter.write_line(f"KNOWN-RED {outcome}: {report.nodeid}")
