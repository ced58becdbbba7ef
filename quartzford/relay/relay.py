"""A relay put together: the watch on the source, the catalog, and the server that balancers call."""

from __future__ import annotations

import asyncio
import signal

from quartzford.engine import Clock, Log, LoopClock, StderrLog
from quartzford.membership.listing import Listing
from quartzford.relay.catalog import Catalog
from quartzford.relay.server import Server
from quartzford.relay.source import follow
from quartzford.settings.configuration import ConfigError
from quartzford.settings.operator_checks import split_address
from quartzford.settings.operator_settings import RelaySettings


class Relay:
    """One relay, from its start to its end."""

    def __init__(
        self, settings: RelaySettings, clock: Clock, log: Log, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.catalog = Catalog()
        self.watch = follow(settings, self, clock, log, loop)
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
        """Listen, and begin the watch on the source; OSError where the address can't be had."""
        await self.server.listen(*split_address(self.settings.listen))
        self.watch.start()

    async def stop(self) -> None:
        """End all watches gracefully, and the one on the source."""
        self.log.line("relay", f"ends; {len(self.server.watchers)} watches are ended")
        await self.server.stop()
        self.watch.stop()

    def listed(self, listing: Listing) -> None:
        """Take a line of the source. What came in one read is sent to watchers as one update."""
        before = self.catalog.version
        incarnation = self.catalog.incarnation
        if not self.catalog.apply(listing):
            return
        if before is None:
            self.log.line("relay", f"version {listing.version}, {len(self.catalog.rows)} upstreams")
        elif self.catalog.incarnation != incarnation:
            self.log.line("relay", f"the source has begun again: version {listing.version} after {before}")
        if not self._notify_scheduled:
            self._notify_scheduled = True
            self.clock.call_soon(self._notify_watchers)

    def _notify_watchers(self) -> None:
        self._notify_scheduled = False
        self.server.catalog_changed()


async def run(settings: RelaySettings) -> None:
    """Run a relay until SIGTERM or SIGINT; ConfigError where its address can't be had."""
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    relay = Relay(settings, clock, StderrLog(clock.now), loop)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    try:
        await relay.start()
    except OSError as error:
        raise ConfigError(f"relay.listen: {settings.listen!r}: {error.strerror or error}") from None
    await ended.wait()
    await relay.stop()
