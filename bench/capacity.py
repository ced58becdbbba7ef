"""The capacity page's generated blocks: python -m bench.capacity [--write] [--calls].

Reads slopes.json, scale.json and capacity_calls.json in docs/measurements, as far as they exist, and
generates the blocks of docs/CAPACITY.md (bench/capacity_blocks.py). Without --write nothing is changed: the
command names the blocks that differ from the figures and exits with 1. --calls first runs `bench.callmodel`
at the target's size, which takes about half a minute, and writes capacity_calls.json. Exit status 2: a file
can't be used.
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from bench.callmodel import CALLS_PER_S, SERVICE_BEHAVIOURS
from bench.callmodel import Model as CallModel
from bench.capacity_blocks import blocks
from bench.capacity_figures import Figures, InputError
from bench.capacity_inputs import read_calls, read_scale, read_slopes
from bench.capacity_list_service import CALL_MODEL_SERVICES
from bench.capacity_model import MeasuredFigure, Model
from bench.capacity_page import PageError, replace_blocks, stale_blocks
from bench.capacity_target import DiscoveryProtocol, ProgramBounds, Target
from bench.common import ROOT
from quartzford.decision.workingset import MIN_SERVERS_IN_USE, TARGET_SEND_INTERVAL_MS
from quartzford.membership.call_policy import NOTIFY_BOUND_S, SHARED_FIRST_LINE_TIMEOUT_S, SMALL_FLEET_SIZE
from quartzford.membership.line_splitter import MAX_LINE_BYTES
from quartzford.node import DEFAULT_LISTS_PER_S

PAGE = Path("docs/CAPACITY.md")
MEASUREMENTS = Path("docs/measurements")
SLOPES, SCALE, CALLS = "slopes.json", "scale.json", "capacity_calls.json"
LOG_LINES_PER_S = 5.0  # README, log lines
EXIT_STALE, EXIT_UNUSABLE = 1, 2
COMMAND = "python -m bench.capacity --calls"

T = TypeVar("T")


def program_bounds() -> ProgramBounds:
    """The bounds in this checkout's code."""
    return ProgramBounds(
        calls_per_s=DEFAULT_LISTS_PER_S,
        spread_s=NOTIFY_BOUND_S - SHARED_FIRST_LINE_TIMEOUT_S,
        small_fleet=SMALL_FLEET_SIZE,
        line_bytes=MAX_LINE_BYTES,
        revisit_s=TARGET_SEND_INTERVAL_MS / 1000.0,
        min_working_set=MIN_SERVERS_IN_USE,
        log_lines_per_s=LOG_LINES_PER_S,
        relay=importlib.util.find_spec("quartzford.relay") is not None,
    )


def _read(path: Path, reader: Callable[[Any], T], default: T) -> T:
    """A file of figures as its reader returns it; the default where the file is not there."""
    try:
        text = path.read_text()
    except FileNotFoundError:
        return default
    try:
        return reader(json.loads(text))
    except ValueError as error:
        raise InputError(f"{path.name}: {error}") from None


def read_figures(folder: Path) -> Figures:
    """All figures in a folder of measurements; InputError if a file is not in the form that is read."""
    return Figures(
        slopes=_read(folder / SLOPES, read_slopes, {}),
        events=_read(folder / SCALE, read_scale, ()),
        calls=_read(folder / CALLS, read_calls, ()),
    )


def run_call_model(balancers: int) -> dict[str, Any]:
    """The policy in force with each balancer polling the list service itself, at one size."""
    rows = [
        CallModel("spread", service, balancers, until=6 * balancers / CALLS_PER_S + 40).run()
        for service in SERVICE_BEHAVIOURS
        if service.name in CALL_MODEL_SERVICES
    ]
    return {"command": COMMAND, "calls_per_s": CALLS_PER_S, "rows": rows}


def run(root: Path, write: bool) -> int:
    """Check or write the page under a root; the command's exit status."""
    path = root / PAGE
    try:
        figures = read_figures(root / MEASUREMENTS)
        generated = blocks(Model(figures, Target(), DiscoveryProtocol(), program_bounds()))
        text = path.read_text()
        stale = stale_blocks(text, generated)
        fresh = replace_blocks(text, generated)
    except (OSError, InputError, PageError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    _report_missing(figures)
    if write:
        path.write_text(fresh)
        print(f"capacity: {PAGE}: {len(stale)} of {len(generated)} blocks written anew")
        return 0
    for name in stale:
        print(
            f"capacity: {PAGE}: block {name} is not what the figures give; run with --write", file=sys.stderr
        )
    return EXIT_STALE if stale else 0


def _report_missing(figures: Figures) -> None:
    """Print the figures that the model uses and slopes.json does not have."""
    wanted = (figure.value for figure in MeasuredFigure)
    missing = sorted(f"{role}: {name}" for role, name in wanted if not figures.slope(role, name))
    if missing:
        print(f"capacity: {len(missing)} figures not measured: {'; '.join(missing)}")


def main(arguments: list[str] | None = None) -> int:
    """The command; arguments: those of the process unless given. Its exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity")
    parser.add_argument("--write", action="store_true", help="write the blocks into the page")
    parser.add_argument("--calls", action="store_true", help="play the model of calls first")
    options = parser.parse_args(arguments)
    if options.calls:
        played = run_call_model(Target().balancers)
        (ROOT / MEASUREMENTS / CALLS).write_text(json.dumps(played, indent=1) + "\n")
    return run(ROOT, options.write)


if __name__ == "__main__":
    sys.exit(main())
