"""The command line of `quartzford load`, and its conversion to LoadOptions."""

from __future__ import annotations

import argparse
from dataclasses import replace

from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour, RequestClass
from quartzford.load.options import MAX_LATENESS_MS, LoadOptions, Target
from quartzford.load.shapes import ShapeError, read_shape
from quartzford.load.trace import TraceError, TraceRow, read_trace

MAX_SHARE = 1e9  # exclusive bound of a share in --mix and --tenants; shares are relative to each other
MAX_PORT = 65535
MIN_SPEED, MAX_SPEED = 0.1, 100  # factors by which a replay is sped up
SHAPE_HELP = "parts joined by '+': constant:R ramp:A-B/S step:R@T burst:R@T+S sine:R/P surge:R@T+S"


class UsageError(Exception):
    """The command line is invalid or can't be carried out; the message gives the reason."""


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    argument_parser = argparse.ArgumentParser(prog="quartzford load", description="Open-loop load.")
    _add_arrivals(argument_parser)
    _add_clients(argument_parser)
    _add_replay(argument_parser)
    _add_outputs(argument_parser)
    return argument_parser


def _add_arrivals(argument_parser: argparse.ArgumentParser) -> None:
    add = argument_parser.add_argument
    add("--target", default="127.0.0.1:8080", metavar="HOST:PORT")
    add("--path", default="/api")
    add("--shape", default="constant:100", help=SHAPE_HELP)
    add("--seconds", type=float, default=10.0)
    add("--warm-up", type=float, default=0.0, help="initial seconds of the run that are not measured")
    add("--spacing", choices=("poisson", "fixed"), default="poisson")
    add("--seed", type=int, default=1)
    add("--workers", type=int, default=1, help="worker processes; each uses one CPU core")
    add("--mix", default="consulta=0.6,reserva=0.3,cobro=0.1", metavar="CLASS=SHARE,...")
    add("--tenants", default="", metavar="NAME=SHARE,...")
    add("--keys", type=int, default=0, help="number of session keys, drawn uniformly; 0: no keys")
    add("--size", type=int, default=0, help="size of request bodies in bytes, for requests that have a body")


def _add_clients(argument_parser: argparse.ArgumentParser) -> None:
    add = argument_parser.add_argument
    add("--tries", type=int, default=4, help="maximum attempts of a request, including the first")
    add("--wait-ms", type=float, default=0.0, help="wait before a retry, in milliseconds")
    add("--patience", default="0.30-0.55", help="attempt timeout as share of the deadline, or a range")
    add("--heeds", type=float, default=1.0, help="share of clients that follow Retry-After")
    add("--fresh", type=float, default=0.0, help="share of attempts that use a new connection")
    add("--connections", type=int, default=0, help="maximum connections of each worker; 0: no limit")
    add("--open", type=int, default=0, help="connections that each worker opens before its first request")


def _add_replay(argument_parser: argparse.ArgumentParser) -> None:
    add = argument_parser.add_argument
    add("--trace", metavar="FILE", help="replay this trace instead of a shape")
    add("--speed", type=float, default=1.0, help="factor by which the replay is sped up")
    think = "replay: requests of one tenant and key wait for the previous response and keep their gaps"
    add("--think", action="store_true", help=think)
    add("--closed", type=int, default=0, help="closed loop: clients of each worker")
    add("--make-trace", metavar="FILE", help="write the requests of the shape to a trace, and send nothing")


def _add_outputs(argument_parser: argparse.ArgumentParser) -> None:
    add = argument_parser.add_argument
    add("--late-ms", type=float, default=MAX_LATENESS_MS, help="limit of its own p99 lateness in ms")
    add("--books", metavar="HOST:PORT", help="list service of the stand-in fleet, for its account")
    add("--live", action="store_true", help="show the progress of the run in the terminal")
    add("--html", metavar="FILE", help="write the result as an HTML page")
    add("--json", metavar="FILE")


def load_options(options: argparse.Namespace) -> LoadOptions:
    """Return the options of the run that the parsed command line describes.

    Reads the trace file, if one is given. Raises UsageError if an option is invalid.
    """
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
        raise UsageError("--think: requires --trace")
    if options.closed < 0 or (options.closed and options.trace):
        raise UsageError("--closed: must be 0 or more, and excludes --trace")
    if not MIN_SPEED <= options.speed <= MAX_SPEED or options.workers < 1 or options.seconds <= 0:
        raise UsageError("--speed: 0.1 to 100; --workers: 1 or more; --seconds: above 0")


def _target(options: argparse.Namespace) -> Target:
    host, _, port = options.target.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise UsageError(f"--target: {options.target!r} is not host:port")
    return Target(host, int(port), options.path, options.connections, initial_connections=options.open)


def _request_classes(mix: str) -> tuple[RequestClass, ...]:
    default_classes = {request_class.name: request_class for request_class in DEFAULT_CLASSES}
    shares = _shares(mix, "--mix")
    return tuple(
        replace(default_classes.get(name, RequestClass(name)), share=share) for name, share in shares
    )


def _shares(text: str, option: str) -> tuple[tuple[str, float], ...]:
    """Return the names and shares of a text NAME=SHARE,NAME=SHARE.

    A name without a share gets share 1. Raises UsageError with the name of the option.
    """
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
    min_text, _, max_text = options.patience.partition("-")
    try:
        min_share, max_share = float(min_text), float(max_text or min_text)
    except ValueError:
        raise UsageError(f"--patience: {options.patience!r} is not LEAST-MOST") from None
    if not 0 < min_share <= max_share <= 1 or options.tries < 1:
        raise UsageError("--patience: shares of the deadline, above 0 and at most 1; --tries: 1 or more")
    return ClientBehaviour(
        max_attempts=options.tries,
        retry_wait_s=options.wait_ms / 1000.0,
        timeout_share=(min_share, max_share),
        retry_after_share=options.heeds,
        new_connection_share=options.fresh,
    )
