"""`quartzford load`: drive a target, make and replay traces, compare two results.

Exit status: 0 measured; 1 measured, and a rule was broken according to the servers' account; 2 what the
command line asks for can't be done; 3 measured, but the measurements can't be relied on (the generator was
late, or out of descriptors or ports, a request was answered twice, a worker gave no result); 130 interrupted:
what was measured until then is printed.
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
from quartzford.load.result import RESULT_VERSION, show
from quartzford.load.run import play
from quartzford.load.trace import write_trace

EXIT_SUCCESS = 0
EXIT_RULE_BROKEN = 1
EXIT_USAGE = 2
EXIT_UNSOUND = 3
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
    print(show(result), flush=True)
    write_result(result, options.json, options.html)
    return exit_status(result)


def run(load: LoadOptions, live: bool) -> dict[str, Any]:
    """Play a run and return its result. live: show it while it goes on."""

    def started() -> None:
        print("playing; Ctrl-C ends it", file=sys.stderr, flush=True)

    if not live:
        return play(load, started)
    try:
        from quartzford.load.live import View
    except ImportError:
        raise UsageError("--live: the package rich is wanted: pip install .[load]") from None
    with View() as view:
        return play(load, started, view.show)


def fetch_account(address: str) -> dict[str, Any]:
    """Return what the servers of a stand-in fleet saw. address: host:port of its list service."""
    try:
        with urllib.request.urlopen(f"http://{address}/books", timeout=ACCOUNT_TIMEOUT_S) as response:
            account: dict[str, Any] = json.load(response)
        if account["version"] != ACCOUNT_VERSION:
            raise ValueError(f"version {account['version']!r}")
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UsageError(f"--books: {address}: {error}") from None
    return account


def reconcile(result: dict[str, Any], account: dict[str, Any], load: LoadOptions) -> None:
    """Compare the attempt log with the servers' account, and put the verdict into the result in its place."""
    record = result["record"]
    unexpected_responses = record["counts"].get("answered twice", 0)
    attempts = record.pop("book")
    result["rules"] = check_rules(account, attempts, load.request_classes, unexpected_responses)


def write_result(result: dict[str, Any], json_path: str | None, html_path: str | None) -> None:
    """Write a result to the files that are given."""
    if json_path:
        Path(json_path).write_text(json.dumps(result) + "\n")
    if html_path:
        Path(html_path).write_text(page(result), encoding="utf-8")


def exit_status(result: dict[str, Any]) -> int:
    """Return the exit status that tells a result's kind."""
    if result["interrupted"]:
        return EXIT_INTERRUPTED
    if result["trouble"]:
        return EXIT_UNSOUND
    if result["rules"] and not result["rules"]["kept"]:
        return EXIT_RULE_BROKEN
    return EXIT_SUCCESS


def _compare_files(paths: list[str]) -> int:
    if len(paths) != 2:
        raise UsageError("compare: two results are wanted")
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
