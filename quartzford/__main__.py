"""The command line. With no argument: one balancer as the platform runs it, until SIGTERM.

Modules that a subcommand needs are imported only by it: the run without one stays small.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from quartzford.engine import print_error
from quartzford.node import Node, start_listening
from quartzford.settings.configuration import CONFIG_VARIABLE, Config, ConfigError, load_config

if TYPE_CHECKING:
    import argparse

METRICS_INTERVAL_VARIABLE = "QUARTZFORD_COUNTS_S"
EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


def load_configuration() -> Config:
    """The configuration that the environment names; ConfigError where it can't be used."""
    return load_config(os.environ.get(CONFIG_VARIABLE, ""))


def reload_configuration(node: Node) -> None:
    """SIGHUP: read the configuration again. A file that can't be used leaves what is in force as it is."""
    reloads = node.engine.request_counters.reloads
    try:
        config = load_configuration()
        node.reconfigure(config)
    except ConfigError as error:
        reloads["failed"] += 1
        node.log.line("reload", f"{error}; the settings in force stay")
        return
    reloads["ok"] += 1
    node.log.line("reload", f"in force, discovery at {config.discovery[0]}:{config.discovery[1]}")


async def run(config: Config) -> None:
    """One balancer until it has shut down; ConfigError where it can't start."""
    loop = asyncio.get_running_loop()
    # The platform keeps $TMPDIR between a process and the one that replaces it.
    folder = os.environ.get("TMPDIR", "") if config.admin is not None else ""
    node = Node(config, loop, folder=folder)
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, node)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.terminate)
    report_metrics(node)
    await start_listening(node)
    await node.finished


def report_metrics(node: Node) -> None:
    """Write the node's metrics at the interval that the environment sets, if any: for experiments."""
    interval = os.environ.get(METRICS_INTERVAL_VARIABLE)
    if not interval:
        return
    from quartzford.metrics import MetricsReporter, parse_interval_s

    MetricsReporter(node, parse_interval_s(interval))


def run_command(arguments: list[str]) -> int:
    """Run a subcommand; its exit status. ConfigError where a file that it is given can't be used."""
    if arguments[0] == "load":
        from quartzford.load.cli import main as load

        return load(arguments[1:])
    if arguments[0] == "demo":
        from quartzford.demo import main as demo

        return demo(arguments[1:])
    options = parse_arguments(arguments)
    from quartzford.settings.operator_checks import OperatorError

    try:
        run_with_operator_file(options)
    except OperatorError as error:
        raise ConfigError(str(error)) from None
    return EXIT_OK


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """The subcommand and its options; exits with the usage where there is no such subcommand."""
    import argparse

    parser = argparse.ArgumentParser(prog="quartzford", description="A balancer that has to hold.")
    commands = parser.add_subparsers(dest="command", required=True)
    serving = commands.add_parser("serve", help="run a balancer with what an operator's file switches on")
    serving.add_argument("--operator", required=True, metavar="FILE")
    relaying = commands.add_parser("relay", help="pass a list service's lists on to thousands of balancers")
    relaying.add_argument("--operator", required=True, metavar="FILE")
    checking = commands.add_parser("check", help="say whether an operator's file can be used, and why not")
    checking.add_argument("file", metavar="FILE")
    commands.add_parser("load", help="drive a balancer with open-loop load, and measure", add_help=False)
    commands.add_parser(
        "demo", help="a balancer, upstreams with faults, a surge, and the report", add_help=False
    )
    return parser.parse_args(arguments)


def run_with_operator_file(options: argparse.Namespace) -> None:
    """`check`, `relay` or `serve`; OperatorError where the operator's file can't be used."""
    from quartzford.serve import serve
    from quartzford.settings.operator_checks import OperatorError
    from quartzford.settings.operator_file import load_operator_settings

    if options.command == "check":
        load_operator_settings(options.file)
        print(f"{options.file}: can be used")
        return
    if options.command == "serve":
        uvloop.run(serve(options.operator))
        return
    settings = load_operator_settings(options.operator).relay
    if settings is None:
        raise OperatorError(f"{options.operator}: no section [relay]")
    from quartzford.relay.relay import run as run_relay

    uvloop.run(run_relay(settings))


def main() -> int:
    """Exit 0 after SIGTERM, 2 with one plain line when a configuration can't be used."""
    try:
        if len(sys.argv) > 1:
            return run_command(sys.argv[1:])
        uvloop.run(run(load_configuration()))
    except ConfigError as error:
        print_error(f"quartzford: {error}")
        return EXIT_BAD_CONFIGURATION
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
