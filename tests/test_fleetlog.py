"""The command line of bench.fleetlog; tests/test_metrics.py tests what it computes."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import pytest

from bench import fleetlog


def write_log(folder: Path) -> None:
    """One balancer that hears of a server started at 10 s, and sends to it 1 s and 7 s later."""
    started = ["s1", "a", "std", 0, "ready", 1.0, 10_000.0]
    update = {"at": 10_000.0, "rows": [started], "missing": []}
    sends = [["s1", at, at, at + 5.0, "ok"] for at in (11_000.0, 17_000.0)]
    trace = {"at": 17_010.0, "id": "c1", "tries": sends}
    text = f"1.0 news: {json.dumps(update)}\n1.0 way: {json.dumps(trace)}\n"
    (folder / "n0.log").write_text(text)


@pytest.mark.parametrize(("arguments", "sends"), [((), 2), (("--cold-ms", "5000"), 1)])
def test_cold_servers_are_listed_by_what_they_got_while_they_were_cold(
    arguments: tuple[str, ...],
    sends: int,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    write_log(tmp_path)
    monkeypatch.setattr(sys, "argv", ["fleetlog", str(tmp_path), "--cold", "10", *arguments])
    assert fleetlog.main() == 0
    assert capsys.readouterr().out == f"s1: {sends} sends, 1.0 s after its start\n"
