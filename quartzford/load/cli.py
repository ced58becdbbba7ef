"""`quartzford load`: drive a target, make and replay traces, compare two results.

Exit status: 0 measured; 1 measured, and a rule was broken by the books; 2 what was asked can't be done; 3
measured, but the instrument was not sound (late, out of descriptors or ports, a request was answered twice,
no word of a worker); 130 interrupted, what was measured is printed.
"""

from __future__ import annotations

import argparse
import json
import sys
import urllib.request
from dataclasses import replace
from pathlib import Path
from typing import Any

from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour, RequestClass
from quartzford.load.driver import Target
from quartzford.load.page import page
from quartzford.load.reconciliation import check_rules
from quartzford.load.run import LoadOptions, make_trace, play, show
from quartzford.load.shapes import ShapeError, read_shape
from quartzford.load.trace import TraceError, read_trace, write_trace

PERCENTILES = ("p50", "p90", "p99", "p99.9", "p99.99", "max")


class AskError(Exception):
    """What was asked can't be done; the text says why."""


def _pairs(text: str, what: str) -> tuple[tuple[str, float], ...]:
    """name=share,name=share"""
    out = []
    for part in text.split(","):
        name, _, share = part.partition("=")
        try:
            value = float(share) if share else 1.0
        except ValueError:
            raise AskError(f"{what}: {part!r} is not NAME=SHARE") from None
        if not name or not 0 < value < 1e9:
            raise AskError(f"{what}: {part!r} is not NAME=SHARE, with a share above 0")
        out.append((name, value))
    return tuple(out)


def _kinds(text: str) -> tuple[RequestClass, ...]:
    known = {kind.name: kind for kind in DEFAULT_CLASSES}
    return tuple(
        replace(known.get(name, RequestClass(name)), share=share) for name, share in _pairs(text, "--mix")
    )


def _manners(options: argparse.Namespace) -> ClientBehaviour:
    least, _, most = options.patience.partition("-")
    try:
        patience = (float(least), float(most or least))
    except ValueError:
        raise AskError(f"--patience: {options.patience!r} is not LEAST-MOST") from None
    if not 0 < patience[0] <= patience[1] <= 1 or options.tries < 1:
        raise AskError("--patience: shares of the deadline, above 0 and at most 1; --tries: 1 or more")
    return ClientBehaviour(options.tries, options.wait_ms / 1000.0, patience, options.heeds, options.fresh)


def _target(options: argparse.Namespace) -> Target:
    host, _, port = options.target.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise AskError(f"--target: {options.target!r} is not host:port")
    return Target(host, int(port), options.path, options.connections, initial_connections=options.open)


def _load(options: argparse.Namespace) -> LoadOptions:
    rows: tuple[Any, ...] = ()
    if options.trace:
        try:
            with open(options.trace, encoding="utf-8") as file:
                rows = tuple(read_trace(file))
        except (OSError, UnicodeDecodeError, TraceError) as error:
            raise AskError(f"--trace: {options.trace}: {error}") from None
    try:
        read_shape(options.shape)
    except ShapeError as error:
        raise AskError(f"--shape: {error}") from None
    if options.think and not options.trace:
        raise AskError("--think: goes with --trace")
    if options.closed < 0 or options.closed and options.trace:
        raise AskError("--closed: 0 or more clients, and no --trace")
    if not 0.1 <= options.speed <= 100 or options.workers < 1 or options.seconds <= 0:
        raise AskError("--speed: 0.1 to 100; --workers: 1 or more; --seconds: above 0")
    return LoadOptions(
        _target(options),
        options.shape,
        options.seconds,
        options.spacing,
        options.seed,
        options.workers,
        _kinds(options.mix),
        _pairs(options.tenants, "--tenants") if options.tenants else (),
        options.keys,
        options.size,
        _manners(options),
        rows,
        options.speed,
        options.late_ms,
        options.warm_up,
        options.think,
        options.closed,
        bool(options.books),
        options.live,
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="quartzford load", description="Open-loop load.")
    add = parser.add_argument
    add("--target", default="127.0.0.1:8080", metavar="HOST:PORT")
    add("--path", default="/api")
    shapes = "parts joined by '+': constant:R ramp:A-B/S step:R@T burst:R@T+S sine:R/P surge:R@T+S"
    add("--shape", default="constant:100", help=shapes)
    add("--seconds", type=float, default=10.0)
    add("--warm-up", type=float, default=0.0, help="seconds at the beginning that are played, not measured")
    add("--spacing", choices=("poisson", "fixed"), default="poisson")
    add("--seed", type=int, default=1)
    add("--workers", type=int, default=1, help="processes; each keeps a core busy")
    add("--mix", default="consulta=0.6,reserva=0.3,cobro=0.1", metavar="CLASS=SHARE,...")
    add("--tenants", default="", metavar="NAME=SHARE,...")
    add("--keys", type=int, default=0, help="so many keys, drawn evenly")
    add("--size", type=int, default=0, help="bytes of a body, where a request has one")
    add("--tries", type=int, default=4, help="of a request, the first included")
    add("--wait-ms", type=float, default=0.0, help="before a further try")
    add("--patience", default="0.30-0.55", help="share of the deadline after which a try is given up")
    add("--heeds", type=float, default=1.0, help="share of clients that follow Retry-After")
    add("--fresh", type=float, default=0.0, help="share of tries on a connection of their own")
    add("--connections", type=int, default=0, help="at most, of each worker; 0: as many as it takes")
    add("--open", type=int, default=0, help="connections of each worker that stand before the first request")
    add("--trace", metavar="FILE", help="replay this instead of a shape")
    add("--speed", type=float, default=1.0, help="of the replay")
    add(
        "--think", action="store_true", help="replay: a tenant's key waits for its answers, its gaps are kept"
    )
    add("--closed", type=int, default=0, help="so many clients of each worker that wait, instead of arrivals")
    add("--make-trace", metavar="FILE", help="write the trace that the shape makes, and send nothing")
    add("--late-ms", type=float, default=5.0, help="p99 of its own lateness that is borne")
    add("--books", metavar="HOST:PORT", help="stand-in nodos' padron: reconcile with what they saw")
    add("--live", action="store_true", help="show the run while it goes on")
    add("--html", metavar="FILE", help="write the result as a page")
    add("--json", metavar="FILE")
    return parser


def compare(first: dict[str, Any], second: dict[str, Any]) -> str:
    """Two results side by side, the second as a ratio to the first."""
    lines = [f"{'':28}{'A':>12}{'B':>12}{'B/A':>9}"]

    def row(name: str, a: float, b: float) -> None:
        lines.append(f"{name:28}{a:12.3f}{b:12.3f}{b / a if a else float('nan'):9.3f}")

    row("ended a second", first["rate"], second["rate"])
    for key in ("latency_ms", "service_ms"):
        for p in PERCENTILES:
            if p in first[key]["all"] and p in second[key]["all"]:
                row(f"{key} {p}", first[key]["all"][p], second[key]["all"][p])
    for name in first["goodput"]:
        row(f"goodput {name}", first["goodput"][name], second["goodput"][name])
    for name, result in (("A", first), ("B", second)):
        lines += [f"! {name}: {text}" for text in result["trouble"]]
    return "\n".join(lines)


def _compare(paths: list[str]) -> int:
    if len(paths) != 2:
        raise AskError("compare: two results are wanted")
    results = []
    for path in paths:
        try:
            result = json.loads(Path(path).read_text())
            if result["version"] != 1:
                raise ValueError(f"version {result['version']!r}")
            results.append(result)
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise AskError(f"compare: {path}: {error}") from None
    print(compare(*results))
    return 0


def run(load: LoadOptions, live: bool) -> dict[str, Any]:
    """Play it, shown while it goes on if that is wanted."""

    def begun() -> None:
        print("playing; Ctrl-C ends it", file=sys.stderr, flush=True)

    if not live:
        return play(load, begun)
    try:
        from quartzford.load.live import View
    except ImportError:
        raise AskError("--live: the package rich is wanted: pip install .[load]") from None
    with View() as view:
        return play(load, begun, view.show)


def fetch(address: str) -> dict[str, Any]:
    """The account of a stand-in fleet, from its padron's port."""
    try:
        with urllib.request.urlopen(f"http://{address}/books", timeout=30) as answer:
            account: dict[str, Any] = json.load(answer)
        if account["version"] != 1:
            raise ValueError(f"version {account['version']!r}")
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise AskError(f"--books: {address}: {error}") from None
    return account


def reconcile(result: dict[str, Any], account: dict[str, Any], load: LoadOptions) -> None:
    """Lay the clients' books beside the nodos', and put the verdict into the result."""
    record = result["record"]
    twice = record["counts"].get("answered twice", 0)
    result["rules"] = check_rules(account, record.pop("book"), load.request_classes, twice)


def keep(result: dict[str, Any], as_json: str | None, as_html: str | None) -> None:
    if as_json:
        Path(as_json).write_text(json.dumps(result) + "\n")
    if as_html:
        Path(as_html).write_text(page(result), encoding="utf-8")


def status_of(result: dict[str, Any]) -> int:
    if result["interrupted"]:
        return 130
    if result["trouble"]:
        return 3
    return 1 if result["rules"] and not result["rules"]["kept"] else 0


def main(arguments: list[str]) -> int:
    try:
        if arguments[:1] == ["compare"]:
            return _compare(arguments[1:])
        options = _parser().parse_args(arguments)
        load = _load(options)
        if options.make_trace:
            with open(options.make_trace, "w", encoding="utf-8") as file:
                file.writelines(write_trace(make_trace(load)))
            return 0
        result = run(load, options.live)
        if options.books:
            reconcile(result, fetch(options.books), load)
    except KeyboardInterrupt:
        print("quartzford: interrupted before the first request", file=sys.stderr)
        return 130
    except (AskError, OSError) as error:
        print(f"quartzford: {error}", file=sys.stderr)
        return 2
    print(show(result), flush=True)
    keep(result, options.json, options.html)
    return status_of(result)
