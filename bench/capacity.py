"""The capacity page's generated blocks: python -m bench.capacity [--write] [--calls].

Reads slopes.json, scale.json and capacity_calls.json in docs/measurements, as far as they are there, and
works out the blocks of docs/CAPACITY.md (bench/capacity_model.py). Without --write nothing is changed, and
the command ends with 1 and the blocks' names where page and figures part. --calls plays `bench.callmodel` at
the target's size first, some half a minute, and writes capacity_calls.json. Exit 2: a file can't be used.
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from bench import capacity_page as page
from bench.callmodel import CALLS_PER_S, SERVICE_BEHAVIOURS, Model
from bench.capacity_inputs import (
    DiscoveryProtocol,
    Figures,
    InputError,
    ProgramBounds,
    Target,
    read_calls,
    read_scale,
    read_slopes,
)
from bench.capacity_list_service import CALL_MODEL_SERVICES
from bench.capacity_model import MeasuredFigure
from bench.capacity_model import Model as Capacity
from bench.common import ROOT
from quartzford.decision.workingset import LEAST, MEET_MS
from quartzford.membership.call_policy import NOTIFY_BOUND_S, QUEUE_S, SMALL
from quartzford.membership.line_splitter import MAX_LINE_BYTES
from quartzford.node import LISTS_PER_S

PAGE = Path("docs/CAPACITY.md")
SLOPES, SCALE, CALLS = "slopes.json", "scale.json", "capacity_calls.json"
LOG_LINES_PER_S = 5.0  # README, log lines
COMMAND = "python -m bench.capacity --calls"

T = TypeVar("T")


def program_bounds() -> ProgramBounds:
    """The bounds in this checkout's code."""
    return ProgramBounds(
        calls_per_s=LISTS_PER_S,
        spread_s=NOTIFY_BOUND_S - QUEUE_S,
        small_fleet=SMALL,
        line_bytes=MAX_LINE_BYTES,
        revisit_s=MEET_MS / 1000.0,
        min_working_set=LEAST,
        log_lines_per_s=LOG_LINES_PER_S,
        relay=importlib.util.find_spec("quartzford.relay") is not None,
    )


def _read(path: Path, reader: Callable[[Any], T], nothing: T) -> T:
    """A file of figures; nothing where it is not there."""
    try:
        text = path.read_text()
    except FileNotFoundError:
        return nothing
    try:
        return reader(json.loads(text))
    except ValueError as error:
        raise InputError(f"{path.name}: {error}") from None


def read_figures(folder: Path) -> Figures:
    """All figures in a folder of measurements."""
    return Figures(
        slopes=_read(folder / SLOPES, read_slopes, {}),
        events=_read(folder / SCALE, read_scale, ()),
        calls=_read(folder / CALLS, read_calls, ()),
    )


def run_call_model(balancers: int) -> dict[str, Any]:
    """The policy in force with each balancer asking the list service itself, at one size."""
    rows = [
        Model("spread", service, balancers, until=6 * balancers / CALLS_PER_S + 40).run()
        for service in SERVICE_BEHAVIOURS
        if service.name in CALL_MODEL_SERVICES
    ]
    return {"command": COMMAND, "calls_per_s": CALLS_PER_S, "rows": rows}


def run(root: Path, write: bool) -> int:
    """Check or write the page under a root; the command's exit status."""
    path = root / PAGE
    try:
        figures = read_figures(root / "docs" / "measurements")
        blocks = page.blocks(Capacity(figures, Target(), DiscoveryProtocol(), program_bounds()))
        text = path.read_text()
        stale_blocks, fresh = page.stale_blocks(text, blocks), page.replace_blocks(text, blocks)
    except (OSError, InputError, page.PageError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    wanted = (figure.value for figure in MeasuredFigure)
    missing = sorted(f"{role}: {name}" for role, name in wanted if not figures.slope(role, name))
    if missing:
        print(f"capacity: {len(missing)} figures not measured: {'; '.join(missing)}")
    if write:
        path.write_text(fresh)
        print(f"capacity: {PAGE}: {len(stale_blocks)} of {len(blocks)} blocks written anew")
        return 0
    for name in stale_blocks:
        print(
            f"capacity: {PAGE}: block {name} is not what the figures give; run with --write", file=sys.stderr
        )
    return 1 if stale_blocks else 0


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.capacity")
    parser.add_argument("--write", action="store_true", help="write the blocks into the page")
    parser.add_argument("--calls", action="store_true", help="play the model of calls first")
    options = parser.parse_args(arguments)
    if options.calls:
        played = run_call_model(Target().balancers)
        (ROOT / "docs" / "measurements" / CALLS).write_text(json.dumps(played, indent=1) + "\n")
    return run(ROOT, options.write)


if __name__ == "__main__":
    sys.exit(main())
