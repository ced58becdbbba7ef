"""Assembles a relay from the watch on the source, the catalog, and the server that balancers call."""

from __future__ import annotations

import asyncio
import signal

from quartzford.engine import Clock, Log, LoopClock, StderrLog
from quartzford.membership.listing import Listing
from quartzford.relay.catalog import Catalog
from quartzford.relay.server import Server
from quartzford.relay.source import create_source_watch
from quartzford.settings.configuration import ConfigError
from quartzford.settings.operator_checks import split_address
from quartzford.settings.operator_settings import RelaySettings


class Relay:
    """A relay, from start to shutdown."""

    def __init__(
        self, settings: RelaySettings, clock: Clock, log: Log, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.catalog = Catalog()
        self.watch = create_source_watch(settings, self, clock, log, loop)
        self.server = Server(
            self.catalog,
            lambda: self.watch.last_line_at,
            self.watch.is_current,
            settings.list_bytes_per_s,
            settings.max_watchers(),
            clock,
            log,
            loop,
        )
        self._notify_scheduled = False

    async def start(self) -> None:
        """Listen and start the watch on the source. Raise OSError if the address is not available."""
        await self.server.listen(*split_address(self.settings.listen))
        self.watch.start()

    async def stop(self) -> None:
        """End all watches of clients gracefully, then the watch on the source."""
        self.log.line("relay", f"shutting down; ending {len(self.server.watchers)} watches")
        await self.server.stop()
        self.watch.stop()

    def listed(self, listing: Listing) -> None:
        """Apply a line from the source. Lines that arrive in one read are sent to watchers as one update."""
        previous_version = self.catalog.version
        previous_incarnation = self.catalog.incarnation
        if not self.catalog.apply(listing):
            return
        if previous_version is None:
            self.log.line("relay", f"version {listing.version}, {len(self.catalog.rows)} upstreams")
        elif self.catalog.incarnation != previous_incarnation:
            self.log.line(
                "relay", f"the source has restarted: version {listing.version} after {previous_version}"
            )
        if not self._notify_scheduled:
            self._notify_scheduled = True
            self.clock.call_soon(self._notify_watchers)

    def _notify_watchers(self) -> None:
        self._notify_scheduled = False
        self.server.catalog_changed()


async def run(settings: RelaySettings) -> None:
    """Run a relay until SIGTERM or SIGINT. Raise ConfigError if its address is not available."""
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    relay = Relay(settings, clock, StderrLog(clock.now), loop)
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        await relay.start()
    except OSError as error:
        raise ConfigError(f"relay.listen: {settings.listen!r}: {error.strerror or error}") from None
    await stop_requested.wait()
    await relay.stop()
