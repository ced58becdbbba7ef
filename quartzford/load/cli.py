"""`quartzford load`: send load to a target, make and replay traces, compare two results.

Exit status:
0: the run was measured.
1: the run was measured, and the servers' account shows that a rule was broken.
2: the command line is invalid, or a file or an address that it names can't be used.
3: the run was measured, but the measurements are unreliable: the generator was late, it ran out of
descriptors or ports, a request was answered twice, or a worker returned no result.
130: the run was interrupted. The measurements up to the interruption are printed.
"""

from __future__ import annotations

import json
import sys
import urllib.request
from pathlib import Path
from typing import Any

from quartzford.load.cli_options import UsageError, load_options, parser
from quartzford.load.comparison import compare
from quartzford.load.options import LoadOptions
from quartzford.load.page import page
from quartzford.load.plan import make_trace
from quartzford.load.reconciliation import check_rules
from quartzford.load.result import RESULT_VERSION, format_result
from quartzford.load.run import play
from quartzford.load.trace import write_trace

EXIT_SUCCESS = 0
EXIT_RULE_BROKEN = 1
EXIT_USAGE = 2
EXIT_UNRELIABLE = 3
EXIT_INTERRUPTED = 130
ACCOUNT_VERSION = 1
ACCOUNT_TIMEOUT_S = 30.0


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    try:
        if arguments[:1] == ["compare"]:
            return _compare_files(arguments[1:])
        options = parser().parse_args(arguments)
        load = load_options(options)
        if options.make_trace:
            with open(options.make_trace, "w", encoding="utf-8") as file:
                file.writelines(write_trace(make_trace(load)))
            return EXIT_SUCCESS
        result = run(load, options.live)
        if options.books:
            reconcile(result, fetch_account(options.books), load)
    except KeyboardInterrupt:
        print("quartzford: interrupted before the first request", file=sys.stderr)
        return EXIT_INTERRUPTED
    except (UsageError, OSError) as error:
        print(f"quartzford: {error}", file=sys.stderr)
        return EXIT_USAGE
    print(format_result(result), flush=True)
    write_result(result, options.json, options.html)
    return exit_status(result)


def run(load: LoadOptions, live: bool) -> dict[str, Any]:
    """Run the load and return its result. live: show the live view during the run.

    Raises UsageError if live is set and the package rich is not installed.
    """

    def report_start() -> None:
        print("playing; Ctrl-C ends it", file=sys.stderr, flush=True)

    if not live:
        return play(load, report_start)
    try:
        from quartzford.load.live import View
    except ImportError:
        raise UsageError("--live: the package rich is not installed: pip install .[load]") from None
    with View() as view:
        return play(load, report_start, view.show)


def fetch_account(address: str) -> dict[str, Any]:
    """Return the account of a stand-in fleet: the requests and drains that its servers recorded.

    address: host:port of the fleet's list service. Raises UsageError if the account can't be read or has
    another version.
    """
    try:
        with urllib.request.urlopen(f"http://{address}/books", timeout=ACCOUNT_TIMEOUT_S) as response:
            account: dict[str, Any] = json.load(response)
        if account["version"] != ACCOUNT_VERSION:
            raise ValueError(f"version {account['version']!r}")
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UsageError(f"--books: {address}: {error}") from None
    return account


def reconcile(result: dict[str, Any], account: dict[str, Any], load: LoadOptions) -> None:
    """Check the attempt log against the servers' account.

    The verdict is stored in the result under "rules". The attempt log is removed from the result.
    """
    record = result["record"]
    unexpected_responses = record["counts"].get("answered twice", 0)
    attempts = record.pop("book")
    result["rules"] = check_rules(account, attempts, load.request_classes, unexpected_responses)


def write_result(result: dict[str, Any], json_path: str | None, html_path: str | None) -> None:
    """Write a result to a JSON file and to an HTML page; a path that is None or empty is skipped."""
    if json_path:
        Path(json_path).write_text(json.dumps(result) + "\n")
    if html_path:
        Path(html_path).write_text(page(result), encoding="utf-8")


def exit_status(result: dict[str, Any]) -> int:
    """Return the exit status for a result, as the module's docstring lists them."""
    if result["interrupted"]:
        return EXIT_INTERRUPTED
    if result["trouble"]:
        return EXIT_UNRELIABLE
    if result["rules"] and not result["rules"]["kept"]:
        return EXIT_RULE_BROKEN
    return EXIT_SUCCESS


def _compare_files(paths: list[str]) -> int:
    if len(paths) != 2:
        raise UsageError("compare: expected the paths of two results")
    first, second = (_read_result(path) for path in paths)
    print(compare(first, second))
    return EXIT_SUCCESS


def _read_result(path: str) -> dict[str, Any]:
    try:
        result: dict[str, Any] = json.loads(Path(path).read_text())
        if result["version"] != RESULT_VERSION:
            raise ValueError(f"version {result['version']!r}")
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UsageError(f"compare: {path}: {error}") from None
    return result
