"""The demo, whole: a fleet, a balancer, a surge with trouble, and books that agree."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_demo_runs_and_its_books_agree(tmp_path: Path) -> None:
    page, result = tmp_path / "d.html", tmp_path / "d.json"
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "quartzford",
            "demo",
            "--quiet",
            "--seconds",
            "9",
            "--html",
            str(page),
            "--json",
            str(result),
        ],
        cwd=ROOT,
        capture_output=True,
        timeout=200,
        check=False,
    )
    # 3: a slow machine makes the generator late, which is said; the rules hold all the same.
    assert done.returncode in (0, 3), (done.stdout, done.stderr)
    verdict = json.loads(result.read_text())["rules"]
    assert verdict["kept"] and verdict["runs"] > 1000 and verdict["drains"] == 3, verdict
    assert "Rules: kept" in page.read_text() and b"drain breaches 0" in done.stdout
