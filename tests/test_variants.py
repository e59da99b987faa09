"""The script that varies a site, on a small made one."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / "deploy/sites/vary.py"
SITE = """name = "made"

[allow]
max_attempts = 3

[rules]
fall_ms = 2000

[prices]
probe = 1

[load]
quiet = [0.1, 0.2]

[[tier]]
name = "one"

[tier.conn]
streams = 32

[[tier.kind]]
name = "std"
cold_s = [1, 2]

[[class]]
name = "own"

[fam]
rungs = 4

[[fam.class]]
scale = 1

[[trouble]]
name = "slow"
"""


def vary(site: Path, name: str, place: Path) -> subprocess.CompletedProcess[str]:
    script = place / "vary.py"
    script.write_text(SCRIPT.read_text())
    words = [sys.executable, str(script), str(site), name]
    return subprocess.run(words, capture_output=True, text=True, timeout=20, check=False)


@pytest.mark.parametrize("name", ["stalls", "exams"])
def test_a_variant_is_the_site_with_the_difference_and_its_companions(tmp_path: Path, name: str) -> None:
    (tmp_path / "made").mkdir()
    site = tmp_path / "made" / "made.toml"
    site.write_text(SITE)
    (site.parent / "real.json").write_text("{}")
    done = vary(site, name, tmp_path)
    assert done.returncode == 0, done.stderr
    found = tomllib.loads((tmp_path / name / f"{name}.toml").read_text())
    assert found["name"] == name and found["trouble"] == [{"name": "slow"}]
    assert len(found["class"]) == len(found["fam"]["class"]) >= 2
    assert "own" not in {one["name"] for one in found["class"]}
    assert found["load"]["quiet"] == [0.1, 0.2], "the rest stays"
    assert found["tier"][0]["kind"][0]["cold_s"] != [1, 2]
    assert (tmp_path / name / "real.json").read_text() == "{}"


def test_without_the_site_it_ends_with_2_and_one_line(tmp_path: Path) -> None:
    (tmp_path / "bare.toml").write_text('name = "bare"\n')
    for site in ("none.toml", "bare.toml"):
        done = vary(tmp_path / site, "stalls", tmp_path)
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and not done.stdout
