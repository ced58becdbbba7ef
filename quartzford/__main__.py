"""The command line. Without arguments it runs one balancer, as the platform does, until SIGTERM.

Each subcommand imports the modules that it needs itself, which keeps a run without a subcommand small.
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
from quartzford.process_memory import ProcessMemory
from quartzford.settings.configuration import CONFIG_VARIABLE, Config, ConfigError, load_config

if TYPE_CHECKING:
    import argparse

METRICS_INTERVAL_VARIABLE = "QUARTZFORD_COUNTS_S"
EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


def load_configuration() -> Config:
    """Load the configuration that the environment names. Raises ConfigError if it is invalid."""
    return load_config(os.environ.get(CONFIG_VARIABLE, ""))


def reload_configuration(node: Node) -> None:
    """Handle SIGHUP: read the configuration again. If it is invalid, the current settings stay in force."""
    reloads = node.engine.request_counters.reloads
    try:
        config = load_configuration()
        node.reconfigure(config)
    except ConfigError as error:
        reloads["failed"] += 1
        node.log.line("reload", f"{error}; keeping the current settings")
        return
    reloads["ok"] += 1
    node.log.line("reload", f"settings in force, discovery at {config.discovery[0]}:{config.discovery[1]}")


async def run(config: Config) -> None:
    """Run one balancer until it has shut down. Raises ConfigError if it can't start."""
    loop = asyncio.get_running_loop()
    # $TMPDIR persists from a process to its successor on the platform.
    folder = os.environ.get("TMPDIR", "") if config.admin is not None else ""
    node = Node(config, loop, folder=folder, memory=ProcessMemory())
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, node)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.terminate)
    report_metrics(node)
    await start_listening(node)
    await node.finished


def report_metrics(node: Node) -> None:
    """Write the node's metrics for experiments, if the environment sets an interval."""
    interval = os.environ.get(METRICS_INTERVAL_VARIABLE)
    if not interval:
        return
    from quartzford.metrics import MetricsReporter, parse_interval_s

    MetricsReporter(node, parse_interval_s(interval))


def run_command(arguments: list[str]) -> int:
    """Run a subcommand and return its exit status. Raises ConfigError if a file that it names is invalid."""
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
    """Parse the subcommand and its options. An unknown subcommand prints the usage and exits."""
    import argparse

    parser = argparse.ArgumentParser(prog="quartzford", description="A load balancer for HTTP services.")
    commands = parser.add_subparsers(dest="command", required=True)
    serving = commands.add_parser("serve", help="run a balancer with the features of an operator's file")
    serving.add_argument("--operator", required=True, metavar="FILE")
    relaying = commands.add_parser(
        "relay", help="relay a list service's endpoint lists to thousands of balancers"
    )
    relaying.add_argument("--operator", required=True, metavar="FILE")
    checking = commands.add_parser("check", help="validate an operator's file")
    checking.add_argument("file", metavar="FILE")
    commands.add_parser("load", help="send open-loop load to a balancer and measure it", add_help=False)
    commands.add_parser(
        "demo", help="run a balancer with faulty upstreams and a load surge, and report", add_help=False
    )
    return parser.parse_args(arguments)


def run_with_operator_file(options: argparse.Namespace) -> None:
    """Run `check`, `relay` or `serve`. Raises OperatorError if the operator's file is invalid."""
    from quartzford.serve import serve
    from quartzford.settings.operator_checks import OperatorError
    from quartzford.settings.operator_file import load_operator_settings

    if options.command == "check":
        load_operator_settings(options.file)
        print(f"{options.file}: valid")
        return
    if options.command == "serve":
        uvloop.run(serve(options.operator))
        return
    settings = load_operator_settings(options.operator).relay
    if settings is None:
        raise OperatorError(f"{options.operator}: section [relay] is missing")
    from quartzford.relay.relay import run as run_relay

    uvloop.run(run_relay(settings))


def main() -> int:
    """Return 0 after SIGTERM; print one line and return 2 if a configuration is invalid."""
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
