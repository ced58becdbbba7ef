"""Hollow balancers: many control sides of the program in one process, without client traffic.

    python -m rig.hollow

reads a plan as one line of JSON: first and count (their numbers), balancers (in the complete fleet),
discovery ("host:port"), relays (list of "host:port", may be empty), seed, share ("nothing", "rows" or
"module"). It prints {"ready": count} and then reads commands, one a line: {"begin": T} starts all of them at
that time of the machine's monotonic clock; {"cut": [first, last], "until": T} holds their connections back
until then; {"read": 1} is answered with what each has done, {"at", "cpu_s", "rss_mb", "stall_s", "sides":
[[calls, bytes in, bytes out, versions received, versions applied], ...]}, the last two since the command
before. Closing standard input or SIGTERM ends the process.

Each hollow balancer has its own name, seed, random draws, sockets and source address, and the program's own
watch, call policy, list and settings, put together by `quartzford.control.assemble`. What hollow balancers
share hides a cost: see `SHARES`.
"""

from __future__ import annotations

import asyncio
import gc
import hashlib
import json
import signal
import sys
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from time import monotonic
from typing import Any, NamedTuple, cast

import uvloop

from quartzford.control import ControlSide, assemble
from quartzford.decision.columns import load_arrays
from quartzford.engine import LoopClock, StderrLog
from quartzford.membership import list_call, list_watch
from quartzford.membership.listing import Listing, read_listing
from quartzford.settings.configuration import Config, read_config
from quartzford.settings.operator_checks import split_address
from rig.meter import Meter, install
from rig.processes import balancer_address
from standins.site import config

EMPTY_LIST = {"seq": 0, "whole": True, "hosts": []}
MAX_CACHED_TEXTS = 32
STALL_PROBE_S = 0.05  # between two checks of how late the event loop is
PAGE_BYTES = 4096
MAX_LINE_BYTES = 2**24
LISTEN_PORT = 9  # nobody listens there; the address goes into a balancer's random draws
SHARES = {
    "nothing": "nothing is shared but the interpreter and its libraries",
    "rows": "equal texts are parsed once in a process, and their rows kept once: hides the parsing and the "
    "rows' own memory of all but one",
    "module": "rows as above, and one decision module, registry and queue for a process: hides besides the "
    "memory of the module, its take-in and its timers of all but one; a balancer counts as having a version "
    "in force when it has heard it and that one module has it",
}


class SharedReader:
    """Parses equal texts once. Called from threads too."""

    def __init__(self) -> None:
        self.listings: OrderedDict[bytes, Listing] = OrderedDict()
        self.lock = threading.Lock()

    def __call__(self, text: bytes | dict[str, Any]) -> Listing:
        """Do what `read_listing` does, by the digest of the text."""
        if isinstance(text, dict):
            return read_listing(text)
        digest = hashlib.blake2b(text, digest_size=16).digest()
        with self.lock:
            listing = self.listings.get(digest)
            if listing is None:
                listing = self.listings[digest] = read_listing(text)
                if len(self.listings) > MAX_CACHED_TEXTS:
                    self.listings.popitem(last=False)
        return listing


class PartitionableLoop:
    """The event loop as one hollow balancer sees it: its own source address, and a link that can be cut.

    A cut works as it does in the fault proxy: existing connections hold their bytes back, new ones hang until
    the cut ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, source_address: str) -> None:
        self._loop, self._source_address = loop, source_address
        self._open = asyncio.Event()
        self._open.set()
        self._transports: list[asyncio.Transport] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, factory: Callable[[], Any], host: str, port: int) -> Any:
        """Connect as the event loop does, from the balancer's own address."""
        await self._open.wait()
        local_addr = (self._source_address, 0)
        connection = await self._loop.create_connection(factory, host, port, local_addr=local_addr)
        self._transports = [transport for transport in self._transports if not transport.is_closing()]
        self._transports.append(connection[0])
        return connection

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self._open.clear()
        for transport in self._transports:
            if not transport.is_closing() and transport.is_reading():
                transport.pause_reading()

    def restore(self) -> None:
        """Let everything pass again."""
        self._open.set()
        for transport in self._transports:
            if not transport.is_closing() and not transport.is_reading():
                transport.resume_reading()


class AwaitedVersion(NamedTuple):
    """A version that the shared module has not applied yet, and the meter of who received it."""

    version: int
    meter: Meter


class SharedModule:
    """One control side that applies endpoint lists for all hollow balancers of a process."""

    def __init__(self, side: Any) -> None:
        self.side: ControlSide = side
        self.version = 0
        self.awaited: list[AwaitedVersion] = []
        side.meter = SharedModuleMeter(self)

    def receive(self, listing: Listing, meter: Meter) -> None:
        """Take what a hollow balancer received; only the first to receive a version has it applied."""
        self.awaited.append(AwaitedVersion(listing.version, meter))
        if listing.version > self.version:
            self.version = listing.version
            self.side.listed(listing)
        elif not self.side.pending.has_chunks():
            self.all_applied()

    def all_applied(self) -> None:
        """Record that everything received so far is applied."""
        awaited, self.awaited = self.awaited, []
        for version, meter in awaited:
            meter.version_applied(version)


class SharedModuleMeter(Meter):
    """The meter of the control side that is shared."""

    def __init__(self, module: SharedModule) -> None:
        super().__init__()
        self.module = module

    def version_applied(self, version: int) -> None:
        """Record it for every hollow balancer that waits for it."""
        self.module.all_applied()


class SharedModuleSink:
    """The sink of one hollow balancer's watch where the decision module is shared."""

    def __init__(self, module: SharedModule, meter: Meter) -> None:
        self.module, self.meter = module, meter

    def listed(self, listing: Listing) -> None:
        """Pass an update from the watch on to the shared module."""
        self.meter.version_received(listing.version)
        self.module.receive(listing, self.meter)


class HollowBalancer:
    """One hollow balancer: a control side with a link of its own."""

    def __init__(self, side: ControlSide, network: PartitionableLoop, module: SharedModule | None) -> None:
        self.side, self.network, self.module = side, network, module
        self.meter: Meter = cast(Any, side).meter
        if module is not None:
            side.watch.sink = SharedModuleSink(module, self.meter)

    def begin(self) -> None:
        """Start as a balancer that has no list yet."""
        if self.module is None:
            self.side.begin(read_listing(EMPTY_LIST))
            self.side.engine.start()
        else:
            self.side.watch.version = EMPTY_LIST["seq"]  # type: ignore[assignment]
            self.side.watch.start()

    def take_counts(self) -> list[Any]:
        """Return the counts as they are, and the versions received and applied since the last call."""
        meter = self.meter
        received, meter.received = meter.received, []
        applied, meter.applied = meter.applied, []
        return [meter.calls, meter.bytes_in, meter.bytes_out, received, applied]


class HollowBalancers:
    """All hollow balancers of a process."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self.plan, self.loop = plan, asyncio.get_running_loop()
        self.longest_stall_s = 0.0
        self.probed_at = monotonic()
        if plan["share"] not in SHARES:
            raise ValueError(f"share: {plan['share']!r} is not one of {', '.join(SHARES)}")
        if plan["share"] != "nothing":
            reader = SharedReader()
            list_watch.__dict__["read_listing"] = list_call.__dict__["read_listing"] = reader
        self.clock = LoopClock(self.loop)
        self.log = StderrLog(self.clock.now)
        self.configuration = self._configuration()
        module = None
        if plan["share"] == "module":
            module = SharedModule(self._control_side(self.configuration, self.loop))
            module.side.engine.start()
        numbers = range(plan["first"], plan["first"] + plan["count"])
        self.members = [self._hollow_balancer(number, module) for number in numbers]

    def _configuration(self) -> Config:
        """Return what all have in common, so that the settings are one object."""
        table = config(LISTEN_PORT, 1, EMPTY_LIST)
        table["discovery"] = self.plan["discovery"]
        table["settings"] |= {"nInstances": self.plan["balancers"], "registryMode": "subscribe"}
        return read_config(json.dumps(table))

    def _control_side(self, configuration: Config, loop: Any) -> ControlSide:
        relays = [split_address(text) for text in self.plan["relays"]]
        return assemble(configuration, loop, self.clock, self.log, relays=relays)

    def _hollow_balancer(self, number: int, module: SharedModule | None) -> HollowBalancer:
        source_address = balancer_address(number)
        network = PartitionableLoop(self.loop, source_address)
        seed = self.plan["seed"] * 1_000_003 + number * 101
        listen = (source_address, LISTEN_PORT)
        configuration = replace(self.configuration, name=f"n{number}", listen=listen, seed=seed)
        return HollowBalancer(self._control_side(configuration, network), network, module)

    def begin(self, at: float) -> None:
        """Start all of them at that time of the monotonic clock, as closely as one process can."""
        self.loop.call_later(max(0.0, at - monotonic()), self._begin)
        self.probed_at = monotonic()
        self._probe()

    def _begin(self) -> None:
        for member in self.members:
            member.begin()

    def _probe(self) -> None:
        now = monotonic()
        self.longest_stall_s = max(self.longest_stall_s, now - self.probed_at - STALL_PROBE_S)
        self.probed_at = now
        self.loop.call_later(STALL_PROBE_S, self._probe)

    def cut(self, first: int, last: int, until: float) -> None:
        """Cut off those of the fleet's numbers from `first` to before `last` that are in this process."""
        begin = self.plan["first"]
        for member in self.members[max(0, first - begin) : max(0, last - begin)]:
            member.network.cut()
            self.loop.call_later(max(0.0, until - monotonic()), member.network.restore)

    def read(self) -> dict[str, Any]:
        """Return what all have done, and this process's own use of the machine."""
        stall_s, self.longest_stall_s = self.longest_stall_s, 0.0
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "at": monotonic(),
            "cpu_s": time.process_time(),
            "rss_mb": pages * PAGE_BYTES / 1e6,
            "stall_s": round(stall_s, 4),
            "sides": [member.take_counts() for member in self.members],
        }

    def execute(self, command: dict[str, Any]) -> None:
        """Carry out one command; a reading is printed."""
        if "begin" in command:
            self.begin(command["begin"])
        if "cut" in command:
            self.cut(command["cut"][0], command["cut"][1], command["until"])
        if "read" in command:
            print(json.dumps(self.read()), flush=True)


async def run() -> None:
    """Serve the plan on standard input until that is closed, or SIGTERM."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the process that started this one ends it
    loop.add_signal_handler(signal.SIGTERM, reader.feed_eof)
    load_arrays()
    hollow_balancers = HollowBalancers(json.loads(await reader.readline()))
    gc.freeze()  # what lives for the complete run needs no further collection
    print(json.dumps({"ready": len(hollow_balancers.members)}), flush=True)
    while line := await reader.readline():
        hollow_balancers.execute(json.loads(line))
    for member in hollow_balancers.members:
        member.side.stop()


def main() -> int:
    """Run until standard input is closed; return the exit status."""
    install(Meter)
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
