"""Run one balancer: read EDGE_CONFIG, serve until SIGTERM, read it again on SIGHUP."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import sys

import uvloop

from quartzford.config import Config, ConfigError, read_config
from quartzford.node import Node

BIND_S = 5.0  # the address may still be held by the process that went before


def load() -> Config:
    path = os.environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            return read_config(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None


def reload(node: Node) -> None:
    """A file that can't be used leaves what is in force as it is."""
    try:
        config = load()
        node.reconfigure(config)
    except ConfigError as error:
        return node.log.line("reload", f"{error}; the settings in force stay")
    node.log.line("reload", f"in force, discovery at {config.discovery[0]}:{config.discovery[1]}")


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.terminate)
    give_up = loop.time() + BIND_S
    while True:
        try:
            await node.start()
            break
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > give_up:
                raise ConfigError(f"listen: {config.listen[0]}:{config.listen[1]}: {error}") from None
            await asyncio.sleep(0.05)
    await node.finished


def main() -> int:
    """Exit 0 after SIGTERM, 2 with one plain line when the configuration can't be used."""
    try:
        config = load()
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"quartzford: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
