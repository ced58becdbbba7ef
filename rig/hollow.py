"""Hollow balancers: many control sides of the program in one process, without client traffic.

    python -m rig.hollow

takes a plan as one line of JSON: first and count (their numbers), balancers (of the whole fleet), discovery
("host:port"), relays (list of "host:port", may be empty), seed, share ("nothing", "rows" or "module"). It
prints {"ready": count} and then takes lines: {"begin": T} lets all begin at that moment of the machine's
monotonic clock; {"cut": [first, last], "until": T} holds their connections back until then; {"read": 1}
answers with what each did since the last one, {"at", "cpu_s", "rss_mb", "stall_s", "sides": [[calls, bytes
in, bytes out, heard, in force], ...]}. A closed standard input or SIGTERM ends it.

Each has its own name, seed, draws, sockets and source address, and the program's own watch, policy of calls,
list and settings, put together by `quartzford.control.assemble`. What is shared hides a cost: `SHARES`.
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
from typing import Any, cast

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
STALL_PROBE_S = 0.05  # between two looks at how late the loop is
LISTEN_PORT = 9  # nobody listens; the address goes into a balancer's draws
SHARES = {
    "nothing": "nothing is shared but the interpreter and its libraries",
    "rows": "equal texts are parsed once in a process, and their rows kept once: hides the parsing and the "
    "rows' own memory of all but one",
    "module": "rows as above, and one decision module, registry and queue for a process: hides besides the "
    "memory of the module, its take-in and its timers of all but one; a balancer counts as having a version "
    "in force when it has heard it and that one module has it",
}


class SharedReader:
    """Reads equal texts once. Called from threads too."""

    def __init__(self) -> None:
        self.listings: OrderedDict[bytes, Listing] = OrderedDict()
        self.lock = threading.Lock()

    def __call__(self, text: bytes | dict[str, Any]) -> Listing:
        """As `read_listing`, by the text's digest."""
        if isinstance(text, dict):
            return read_listing(text)
        digest = hashlib.blake2b(text, digest_size=16).digest()
        with self.lock:
            found = self.listings.get(digest)
            if found is None:
                found = self.listings[digest] = read_listing(text)
                if len(self.listings) > MAX_CACHED_TEXTS:
                    self.listings.popitem(last=False)
        return found


class PartitionableLoop:
    """The event loop as one hollow balancer has it: its own source address, and a link that can be cut.

    A cut is as the rig's others: what stands holds its bytes back, what is new hangs until the cut ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, own: str) -> None:
        self._loop, self._own = loop, own
        self._open = asyncio.Event()
        self._open.set()
        self._transports: list[asyncio.Transport] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, factory: Callable[[], Any], host: str, port: int) -> Any:
        """As the loop's, from the balancer's own address."""
        await self._open.wait()
        made = await self._loop.create_connection(factory, host, port, local_addr=(self._own, 0))
        self._transports = [one for one in self._transports if not one.is_closing()]
        self._transports.append(made[0])
        return made

    def cut(self) -> None:
        """Nothing passes from now on."""
        self._open.clear()
        for one in self._transports:
            if not one.is_closing() and one.is_reading():
                one.pause_reading()

    def restore(self) -> None:
        """All passes again."""
        self._open.set()
        for one in self._transports:
            if not one.is_closing() and not one.is_reading():
                one.resume_reading()


class SharedModule:
    """One control side that takes lists in for all of a process."""

    def __init__(self, side: Any) -> None:
        self.side: ControlSide = side
        self.version = 0
        self.waiting: list[tuple[int, Meter]] = []
        side.meter = SharedModuleMeter(self)

    def heard(self, listing: Listing, meter: Meter) -> None:
        """A hollow balancer has heard of this; the first one's news are taken in."""
        self.waiting.append((listing.version, meter))
        if listing.version > self.version:
            self.version = listing.version
            self.side.listed(listing)
        elif not self.side.pending.waiting():
            self.adopted()

    def adopted(self) -> None:
        """All that was heard is in force."""
        waiting, self.waiting = self.waiting, []
        for version, meter in waiting:
            meter.adopted(version)


class SharedModuleMeter(Meter):
    """The meter of the control side that is shared."""

    def __init__(self, module: SharedModule) -> None:
        super().__init__()
        self.module = module

    def adopted(self, version: int) -> None:
        """Everybody's news are in force."""
        self.module.adopted()


class SharedModuleSink:
    """The sink of one hollow balancer whose module is shared."""

    def __init__(self, module: SharedModule, meter: Meter) -> None:
        self.module, self.meter = module, meter

    def listed(self, listing: Listing) -> None:
        """What the watch tells."""
        self.meter.told(listing.version)
        self.module.heard(listing, self.meter)


class HollowBalancer:
    """One hollow balancer."""

    def __init__(self, side: ControlSide, network: PartitionableLoop, module: SharedModule | None) -> None:
        self.side, self.network, self.module = side, network, module
        self.meter: Meter = cast(Any, side).meter
        if module is not None:
            side.watch.sink = SharedModuleSink(module, self.meter)

    def begin(self) -> None:
        """As a balancer that knows nothing yet."""
        if self.module is None:
            self.side.begin(read_listing(EMPTY_LIST))
            self.side.engine.start()
        else:
            self.side.watch.version = EMPTY_LIST["seq"]  # type: ignore[assignment]
            self.side.watch.start()

    def figures(self) -> list[Any]:
        """Counts as they stand, and the moments since the last time."""
        meter = self.meter
        heard, meter.heard = meter.heard, []
        in_force, meter.in_force = meter.in_force, []
        return [meter.calls, meter.bytes_in, meter.bytes_out, heard, in_force]


class HollowBalancers:
    """All of a process."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self.plan, self.loop = plan, asyncio.get_running_loop()
        self.stall = 0.0
        self.probed = monotonic()
        if plan["share"] not in SHARES:
            raise ValueError(f"share: {plan['share']!r} is not one of {', '.join(SHARES)}")
        if plan["share"] != "nothing":
            reader = SharedReader()
            list_watch.__dict__["read_listing"] = list_call.__dict__["read_listing"] = reader
        clock = LoopClock(self.loop)
        self.clock, self.log = clock, StderrLog(clock.now)
        self.base = self._config()
        module = None
        if plan["share"] == "module":
            module = SharedModule(self._side(self.base, self.loop))
            module.side.engine.start()
        numbers = range(plan["first"], plan["first"] + plan["count"])
        self.members = [self._hollow(number, module) for number in numbers]

    def _config(self) -> Config:
        """What all have alike: the settings are one object."""
        table = config(LISTEN_PORT, 1, EMPTY_LIST)
        table["discovery"] = self.plan["discovery"]
        table["settings"] |= {"nInstances": self.plan["balancers"], "registryMode": "subscribe"}
        return read_config(json.dumps(table))

    def _side(self, one: Config, loop: Any) -> ControlSide:
        relays = [split_address(text) for text in self.plan["relays"]]
        return assemble(one, loop, self.clock, self.log, relays=relays)

    def _hollow(self, number: int, module: SharedModule | None) -> HollowBalancer:
        own, network = balancer_address(number), PartitionableLoop(self.loop, balancer_address(number))
        seed = self.plan["seed"] * 1_000_003 + number * 101
        one = replace(self.base, name=f"n{number}", listen=(own, LISTEN_PORT), seed=seed)
        return HollowBalancer(self._side(one, network), network, module)

    def begin(self, at: float) -> None:
        """All at that moment, as far as one process can."""
        self.loop.call_later(max(0.0, at - monotonic()), self._begin)
        self.probed = monotonic()
        self._probe()

    def _begin(self) -> None:
        for one in self.members:
            one.begin()

    def _probe(self) -> None:
        now = monotonic()
        self.stall, self.probed = max(self.stall, now - self.probed - STALL_PROBE_S), now
        self.loop.call_later(STALL_PROBE_S, self._probe)

    def cut(self, first: int, last: int, until: float) -> None:
        """These of the fleet's numbers, as far as they are here."""
        begin = self.plan["first"]
        for one in self.members[max(0, first - begin) : max(0, last - begin)]:
            one.network.cut()
            self.loop.call_later(max(0.0, until - monotonic()), one.network.restore)

    def read(self) -> dict[str, Any]:
        """What all did since the last time."""
        stall, self.stall = self.stall, 0.0
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "at": monotonic(),
            "cpu_s": time.process_time(),
            "rss_mb": pages * 4096 / 1e6,
            "stall_s": round(stall, 4),
            "sides": [one.figures() for one in self.members],
        }


async def run() -> None:
    """Until standard input is closed, or SIGTERM."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it says when
    loop.add_signal_handler(signal.SIGTERM, reader.feed_eof)
    load_arrays()
    hollows = HollowBalancers(json.loads(await reader.readline()))
    gc.freeze()  # what stands for the whole run isn't looked through again
    print(json.dumps({"ready": len(hollows.members)}), flush=True)
    while line := await reader.readline():
        told = json.loads(line)
        if "begin" in told:
            hollows.begin(told["begin"])
        if "cut" in told:
            hollows.cut(told["cut"][0], told["cut"][1], told["until"])
        if "read" in told:
            print(json.dumps(hollows.read()), flush=True)
    for one in hollows.members:
        one.side.stop()


def main() -> int:
    """The command line."""
    install(Meter)
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
