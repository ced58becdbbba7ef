"""Slopes: what each role costs by its sizes: python -m bench.slopes [--quick] [--json FILE] [--page FILE].

Each figure is measured in a process of its own at four sizes or more, fitted (bench/fit.py) and told with the
size that was kept out. One measurement at a time: two processes share the machine, the measured one and what
feeds it. Exit status: 0 all measured, 1 some group failed (it is named), 130 interrupted.
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

from bench import slopes_configuration, slopes_list, slopes_requests, slopes_services
from bench.common import report
from bench.slopes_page import digits, page, remarks
from bench.slopes_process import MeasurementError

ROW_BYTES = 165  # of a row in the lists that are made here
Group = Callable[[bool], list[dict[str, Any]]]


def _list(quick: bool) -> list[dict[str, Any]]:
    return slopes_list.figures(slopes_list.QUICK if quick else slopes_list.FULL)


def _configuration(quick: bool) -> list[dict[str, Any]]:
    return slopes_configuration.figures(slopes_configuration.QUICK if quick else slopes_configuration.FULL)


def _requests(quick: bool) -> list[dict[str, Any]]:
    return slopes_requests.figures(slopes_requests.QUICK if quick else slopes_requests.FULL)


def _role(role: slopes_services.Role, quick: bool) -> list[dict[str, Any]]:
    return slopes_services.role_figures(role, slopes_services.QUICK if quick else slopes_services.FULL)


def groups() -> dict[str, Group]:
    """What is measured, in this order."""
    found: dict[str, Group] = {"list": _list, "configuration": _configuration, "requests": _requests}
    return found | {role.name: partial(_role, role) for role in slopes_services.ROLES if role.is_available()}


def machine() -> dict[str, Any]:
    """The machine and what runs on it."""
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
    said = [
        "Memory of a balancer holds the interpreter and the module's arrays, some 42 MB before any list.",
        "The balancer's processor time at rest does not hold the kernel's part of other processes' work.",
    ]
    if (most := slopes_list.line_bytes_in_force()) < slopes_list.LINE_BYTES:
        said.append(
            f"membership/line_splitter.py refuses a list over {most:,} bytes, {most // ROW_BYTES:,} rows: "
            "its bound was raised in the processes that measure longer ones. As it stands, nobody gets them."
        )
    return said


def describe_figure(figure: dict[str, Any]) -> str:
    """A figure in one line."""
    target, kept = figure["at_target"], figure["kept_out"]
    how = "" if target["measured"] else ", reckoned"
    return (
        f"{figure['name']}: {digits(target['value'])} {figure['unit']} at {target['size']:,g} {figure['by']}"
        f"{how}; {figure['fit']['kind']}, {kept['error']:.0%} off at {kept['size']:,g}"
    )


def measure(quick: bool, only: list[str]) -> dict[str, Any]:
    """The result of all groups, or of those named."""
    begun = time.monotonic()
    result: dict[str, Any] = {"machine": machine(), "quick": quick, "figures": [], "failed": []}
    for name, group in groups().items():
        if only and name not in only:
            continue
        since = time.monotonic()
        try:
            found = group(quick)
        except (MeasurementError, RuntimeError, OSError, ValueError) as error:
            result["failed"].append({"group": name, "error": str(error).strip().splitlines()[-1]})
            print(f"{name}: FAILED: {error}", flush=True)
            continue
        result["figures"] += found
        print(f"{name}: {time.monotonic() - since:.0f} s", flush=True)
        for one in found:
            print(f"  {describe_figure(one)}", flush=True)
    result["machine"]["load_after"] = os.getloadavg()[0]
    return result | {"seconds": round(time.monotonic() - begun, 1), "notes": notes()}


def _interrupt(number: int, frame: Any) -> None:
    raise KeyboardInterrupt


def main() -> int:
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
        return 130
    report(result, options.json)
    if options.page:
        path = Path(options.page)
        kept = remarks(path.read_text(encoding="utf-8")) if path.exists() else ""
        path.write_text(page(result, kept), encoding="utf-8")
    return 1 if result["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
