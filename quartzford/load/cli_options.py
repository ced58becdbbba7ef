"""The command line of `quartzford load`, and the LoadOptions that it stands for."""

from __future__ import annotations

import argparse
from dataclasses import replace

from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour, RequestClass
from quartzford.load.options import MAX_LATENESS_MS, LoadOptions, Target
from quartzford.load.shapes import ShapeError, read_shape
from quartzford.load.trace import TraceError, TraceRow, read_trace

MAX_SHARE = 1e9
MAX_PORT = 65535
MIN_SPEED, MAX_SPEED = 0.1, 100
SHAPE_HELP = "parts joined by '+': constant:R ramp:A-B/S step:R@T burst:R@T+S sine:R/P surge:R@T+S"


class UsageError(Exception):
    """What the command line asks for can't be done; the text says why."""


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    result = argparse.ArgumentParser(prog="quartzford load", description="Open-loop load.")
    _add_arrivals(result)
    _add_clients(result)
    _add_replay(result)
    _add_outputs(result)
    return result


def _add_arrivals(result: argparse.ArgumentParser) -> None:
    add = result.add_argument
    add("--target", default="127.0.0.1:8080", metavar="HOST:PORT")
    add("--path", default="/api")
    add("--shape", default="constant:100", help=SHAPE_HELP)
    add("--seconds", type=float, default=10.0)
    add("--warm-up", type=float, default=0.0, help="seconds at the beginning that are played, not measured")
    add("--spacing", choices=("poisson", "fixed"), default="poisson")
    add("--seed", type=int, default=1)
    add("--workers", type=int, default=1, help="processes; each keeps a core busy")
    add("--mix", default="consulta=0.6,reserva=0.3,cobro=0.1", metavar="CLASS=SHARE,...")
    add("--tenants", default="", metavar="NAME=SHARE,...")
    add("--keys", type=int, default=0, help="so many keys, drawn evenly")
    add("--size", type=int, default=0, help="bytes of a body, where a request has one")


def _add_clients(result: argparse.ArgumentParser) -> None:
    add = result.add_argument
    add("--tries", type=int, default=4, help="of a request, the first included")
    add("--wait-ms", type=float, default=0.0, help="before a further try")
    add("--patience", default="0.30-0.55", help="share of the deadline after which a try is given up")
    add("--heeds", type=float, default=1.0, help="share of clients that follow Retry-After")
    add("--fresh", type=float, default=0.0, help="share of tries on a connection of their own")
    add("--connections", type=int, default=0, help="at most, of each worker; 0: as many as it takes")
    add("--open", type=int, default=0, help="connections of each worker that stand before the first request")


def _add_replay(result: argparse.ArgumentParser) -> None:
    add = result.add_argument
    add("--trace", metavar="FILE", help="replay this instead of a shape")
    add("--speed", type=float, default=1.0, help="of the replay")
    think = "replay: a tenant's key waits for its answers, its gaps are kept"
    add("--think", action="store_true", help=think)
    add("--closed", type=int, default=0, help="so many clients of each worker that wait, instead of arrivals")
    add("--make-trace", metavar="FILE", help="write the trace that the shape makes, and send nothing")


def _add_outputs(result: argparse.ArgumentParser) -> None:
    add = result.add_argument
    add("--late-ms", type=float, default=MAX_LATENESS_MS, help="p99 of its own lateness that is borne")
    add("--books", metavar="HOST:PORT", help="stand-in nodos' padron: reconcile with what they saw")
    add("--live", action="store_true", help="show the run while it goes on")
    add("--html", metavar="FILE", help="write the result as a page")
    add("--json", metavar="FILE")


def load_options(options: argparse.Namespace) -> LoadOptions:
    """Check the command line and return what is to be played; reads the trace. Raises UsageError."""
    rows = _trace_rows(options.trace) if options.trace else ()
    _check(options)
    return LoadOptions(
        target=_target(options),
        shape=options.shape,
        seconds=options.seconds,
        spacing=options.spacing,
        seed=options.seed,
        workers=options.workers,
        request_classes=_request_classes(options.mix),
        tenants=_shares(options.tenants, "--tenants") if options.tenants else (),
        keys=options.keys,
        size=options.size,
        behaviour=_behaviour(options),
        rows=rows,
        speed=options.speed,
        max_lateness_ms=options.late_ms,
        warm_up_s=options.warm_up,
        keep_think_times=options.think,
        closed_clients=options.closed,
        keep_attempt_log=bool(options.books),
        report_progress=options.live,
    )


def _trace_rows(path: str) -> tuple[TraceRow, ...]:
    try:
        with open(path, encoding="utf-8") as file:
            return tuple(read_trace(file))
    except (OSError, UnicodeDecodeError, TraceError) as error:
        raise UsageError(f"--trace: {path}: {error}") from None


def _check(options: argparse.Namespace) -> None:
    try:
        read_shape(options.shape)
    except ShapeError as error:
        raise UsageError(f"--shape: {error}") from None
    if options.think and not options.trace:
        raise UsageError("--think: goes with --trace")
    if options.closed < 0 or (options.closed and options.trace):
        raise UsageError("--closed: 0 or more clients, and no --trace")
    if not MIN_SPEED <= options.speed <= MAX_SPEED or options.workers < 1 or options.seconds <= 0:
        raise UsageError("--speed: 0.1 to 100; --workers: 1 or more; --seconds: above 0")


def _target(options: argparse.Namespace) -> Target:
    host, _, port = options.target.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise UsageError(f"--target: {options.target!r} is not host:port")
    return Target(host, int(port), options.path, options.connections, initial_connections=options.open)


def _request_classes(mix: str) -> tuple[RequestClass, ...]:
    known = {one.name: one for one in DEFAULT_CLASSES}
    shares = _shares(mix, "--mix")
    return tuple(replace(known.get(name, RequestClass(name)), share=share) for name, share in shares)


def _shares(text: str, option: str) -> tuple[tuple[str, float], ...]:
    """Read NAME=SHARE,NAME=SHARE; a share that is left out is 1."""
    shares = []
    for part in text.split(","):
        name, _, share_text = part.partition("=")
        try:
            share = float(share_text) if share_text else 1.0
        except ValueError:
            raise UsageError(f"{option}: {part!r} is not NAME=SHARE") from None
        if not name or not 0 < share < MAX_SHARE:
            raise UsageError(f"{option}: {part!r} is not NAME=SHARE, with a share above 0")
        shares.append((name, share))
    return tuple(shares)


def _behaviour(options: argparse.Namespace) -> ClientBehaviour:
    least_text, _, most_text = options.patience.partition("-")
    try:
        least, most = float(least_text), float(most_text or least_text)
    except ValueError:
        raise UsageError(f"--patience: {options.patience!r} is not LEAST-MOST") from None
    if not 0 < least <= most <= 1 or options.tries < 1:
        raise UsageError("--patience: shares of the deadline, above 0 and at most 1; --tries: 1 or more")
    return ClientBehaviour(
        max_attempts=options.tries,
        retry_wait_s=options.wait_ms / 1000.0,
        timeout_share=(least, most),
        retry_after_share=options.heeds,
        new_connection_share=options.fresh,
    )
