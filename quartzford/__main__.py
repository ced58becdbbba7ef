"""The command line. With no argument: one balancer as the platform runs it, until SIGTERM."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop

from quartzford.engine import print_error
from quartzford.node import Node, start_listening
from quartzford.settings.configuration import Config, ConfigError, load_config


def load() -> Config:
    return load_config(os.environ.get("EDGE_CONFIG", ""))


def reload(node: Node) -> None:
    """A file that can't be used leaves what is in force as it is."""
    try:
        config = load()
        node.reconfigure(config)
    except ConfigError as error:
        node.engine.request_counters.reloads["failed"] += 1
        return node.log.line("reload", f"{error}; the settings in force stay")
    node.engine.request_counters.reloads["ok"] += 1
    node.log.line("reload", f"in force, discovery at {config.discovery[0]}:{config.discovery[1]}")


async def run(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # The platform keeps $TMPDIR between a process and the one that replaces it.
    folder = os.environ.get("TMPDIR", "") if config.admin is not None else ""
    node = Node(config, loop, folder=folder)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.terminate)
    span = os.environ.get("QUARTZFORD_COUNTS_S")
    if span:
        from quartzford.metrics import MetricsReporter, interval_of  # for experiments alone

        MetricsReporter(node, interval_of(span))
    await start_listening(node)
    await node.finished


def command(arguments: list[str]) -> int:
    """A subcommand; its exit status. What it needs is imported only now: the platform's run stays lean."""
    import argparse

    if arguments[0] == "load":
        from quartzford.load.cli import main as load

        return load(arguments[1:])
    if arguments[0] == "demo":
        from quartzford.demo import main as demo

        return demo(arguments[1:])
    from quartzford.serve import serve
    from quartzford.settings.operator_checks import OperatorError
    from quartzford.settings.operator_file import load_operator_settings

    parser = argparse.ArgumentParser(prog="quartzford", description="A balancer that has to hold.")
    commands = parser.add_subparsers(dest="command", required=True)
    serving = commands.add_parser("serve", help="run a balancer with what an operator's file switches on")
    serving.add_argument("--operator", required=True, metavar="FILE")
    relaying = commands.add_parser("relay", help="pass a list service's lists on to thousands of balancers")
    relaying.add_argument("--operator", required=True, metavar="FILE")
    checking = commands.add_parser("check", help="say whether an operator's file can be used, and why not")
    checking.add_argument("file", metavar="FILE")
    commands.add_parser("load", help="drive a balancer with open-loop load, and measure", add_help=False)
    commands.add_parser("demo", help="a balancer, nodos in trouble, a surge, and the report", add_help=False)
    options = parser.parse_args(arguments)
    try:
        if options.command == "check":
            load_operator_settings(options.file)
            print(f"{options.file}: can be used")
        elif options.command == "relay":
            settings = load_operator_settings(options.operator).relay
            if settings is None:
                raise OperatorError(f"{options.operator}: no section [relay]")
            from quartzford.relay.relay import run as relay

            uvloop.run(relay(settings))
        else:
            uvloop.run(serve(options.operator))
    except OperatorError as error:
        raise ConfigError(str(error)) from None
    return 0


def main() -> int:
    """Exit 0 after SIGTERM, 2 with one plain line when a configuration can't be used."""
    try:
        if len(sys.argv) > 1:
            return command(sys.argv[1:])
        else:
            uvloop.run(run(load()))
    except ConfigError as error:
        print_error(f"quartzford: {error}")
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
