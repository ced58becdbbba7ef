"""Slopes: what each role costs by its sizes: python -m bench.slopes [--quick] [--json FILE] [--page FILE].

Each figure is measured in a process of its own at four sizes or more, fitted (bench/fit.py), and printed with
the error at the size that was kept out. One measurement at a time: two processes share the machine, the
measured one and what feeds it. Exit status: 0 if all was measured, 1 if a group failed (it is named), 130 if
interrupted.
"""

from __future__ import annotations

import argparse
import os
import platform
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from importlib import metadata
from pathlib import Path
from typing import Any

from bench import slopes_configuration, slopes_idle, slopes_list, slopes_requests, slopes_services
from bench.common import report
from bench.slopes_node import LINE_BYTES, line_bytes_in_force
from bench.slopes_page import format_number, page, remarks
from bench.slopes_process import MeasurementError
from bench.slopes_roles import ROLES, Role

ROW_BYTES = 165  # of a row in the lists that are made here
EXIT_FAILED, EXIT_INTERRUPTED = 1, 130
Group = Callable[[bool], list[dict[str, Any]]]


def _list(quick: bool) -> list[dict[str, Any]]:
    sizes = slopes_list.QUICK if quick else slopes_list.FULL
    return [*slopes_list.figures(sizes), *slopes_idle.figures(sizes), *slopes_list.byte_figures()]


def _configuration(quick: bool) -> list[dict[str, Any]]:
    return slopes_configuration.figures(slopes_configuration.QUICK if quick else slopes_configuration.FULL)


def _requests(quick: bool) -> list[dict[str, Any]]:
    return slopes_requests.figures(slopes_requests.QUICK if quick else slopes_requests.FULL)


def _role(role: Role, quick: bool) -> list[dict[str, Any]]:
    return slopes_services.figures(role, slopes_services.QUICK if quick else slopes_services.FULL)


def groups() -> dict[str, Group]:
    """The groups of figures by name, in the order in which they are measured; quick: at small sizes."""
    found: dict[str, Group] = {"list": _list, "configuration": _configuration, "requests": _requests}
    return found | {role.name: partial(_role, role) for role in ROLES if role.is_available()}


def machine() -> dict[str, Any]:
    """The machine, and the versions that the figures depend on."""
    rows = Path("/proc/cpuinfo").read_text().splitlines()
    model = next((row.partition(":")[2].strip() for row in rows if row.startswith("model name")), "")
    try:
        orjson = metadata.version("orjson")
    except metadata.PackageNotFoundError:
        orjson = ""
    return {
        "cpu": model or platform.machine(),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "orjson": orjson,
        "load_before": os.getloadavg()[0],
    }


def notes() -> list[str]:
    """What a reader of the figures has to know."""
    lines = [
        "Memory of a balancer holds the interpreter and the module's arrays, some 42 MB before any list.",
        "The balancer's processor time at rest does not hold the kernel's part of other processes' work.",
    ]
    longest = line_bytes_in_force()
    if longest < LINE_BYTES:
        bound = f"{longest:,} bytes, {longest // ROW_BYTES:,} rows"
        lines.append(
            f"membership/line_splitter.py refuses a list over {bound}: "
            "its bound was raised in the processes that measure longer ones. As it stands, nobody gets them."
        )
    return lines


def describe_figure(figure: dict[str, Any]) -> str:
    """A figure in one line."""
    target, kept = figure["at_target"], figure["kept_out"]
    value = f"{format_number(target['value'])} {figure['unit']}"
    origin = "" if target["measured"] else ", reckoned"
    return (
        f"{figure['name']}: {value} at {target['size']:,g} {figure['by']}{origin}; "
        f"{figure['fit']['kind']}, {kept['error']:.0%} off at {kept['size']:,g}"
    )


def measure(quick: bool, only: list[str]) -> dict[str, Any]:
    """The result of all groups, or of those named; a group that fails is named in it."""
    begun = time.monotonic()
    result: dict[str, Any] = {"machine": machine(), "quick": quick, "figures": [], "failed": []}
    for name, group in groups().items():
        if not only or name in only:
            _measure_group(name, group, quick, result)
    result["machine"]["load_after"] = os.getloadavg()[0]
    return result | {"seconds": round(time.monotonic() - begun, 1), "notes": notes()}


def _measure_group(name: str, group: Group, quick: bool, result: dict[str, Any]) -> None:
    """Add a group's figures, or its failure, to the result, and print them."""
    begun = time.monotonic()
    try:
        figures = group(quick)
    except (MeasurementError, RuntimeError, OSError, ValueError) as error:
        result["failed"].append({"group": name, "error": str(error).strip().splitlines()[-1]})
        print(f"{name}: FAILED: {error}", flush=True)
        return
    result["figures"] += figures
    print(f"{name}: {time.monotonic() - begun:.0f} s", flush=True)
    for figure in figures:
        print(f"  {describe_figure(figure)}", flush=True)


def _interrupt(number: int, frame: Any) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """The command; its exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.slopes")
    parser.add_argument("--quick", action="store_true", help="small sizes, under two minutes")
    parser.add_argument("--only", action="append", default=[], choices=list(groups()), help="of the groups")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--page", metavar="FILE", help="write the result as a page")
    options = parser.parse_args()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    try:
        result = measure(options.quick, options.only)
    except KeyboardInterrupt:
        print("interrupted: nothing is written", file=sys.stderr)
        return EXIT_INTERRUPTED
    report(result, options.json)
    if options.page:
        path = Path(options.page)
        kept = remarks(path.read_text(encoding="utf-8")) if path.exists() else ""
        path.write_text(page(result, kept), encoding="utf-8")
    return EXIT_FAILED if result["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
