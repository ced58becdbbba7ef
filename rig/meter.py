"""Counts what a balancer's control side does: calls, bytes both ways, when a version was heard and in force.

`install` wraps the program's own classes from outside, alike in a real balancer's process (by the gate, where
QUARTZFORD_RIG_METER names a file) and in one of hollow balancers, so that both are measured by one rule.
Bytes are counted at the transport, without the headers of IP and TCP. Times are of the machine's monotonic
clock, in seconds.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any

from quartzford.control import ControlSide
from quartzford.membership import list_call
from quartzford.membership.listing import Listing

METER_VARIABLE = "QUARTZFORD_RIG_METER"  # read by the gate


class Meter:
    """One control side's counts. say: takes each new state as a line of text."""

    def __init__(self, say: Callable[[str], object] | None = None) -> None:
        self.say = say
        self.calls = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.heard: list[tuple[float, int]] = []  # when, which version
        self.in_force: list[tuple[float, int]] = []

    def counted(self) -> None:
        """Counts have changed."""
        if self.say is not None:
            self.say(f"counts {monotonic():.6f} {self.calls} {self.bytes_in} {self.bytes_out}\n")

    def told(self, version: int) -> None:
        """A line of this version has been read."""
        self.heard.append((monotonic(), version))
        if self.say is not None:
            self.say(f"heard {monotonic():.6f} {version}\n")

    def adopted(self, version: int) -> None:
        """The decision module has all of this version."""
        self.in_force.append((monotonic(), version))
        if self.say is not None:
            self.say(f"in_force {monotonic():.6f} {version}\n")


class CountingTransport:
    """A transport that counts what is written."""

    def __init__(self, transport: asyncio.Transport, meter: Meter) -> None:
        self._transport, self._meter = transport, meter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Count, then pass on."""
        self._meter.bytes_out += len(data)
        self._meter.counted()
        self._transport.write(data)


def _of(call: list_call.ListCall) -> Meter | None:
    owner: Any = call.owner
    return getattr(owner.sink, "meter", None)


def _wrap_calls() -> None:
    begin, connected, received = (
        list_call.ListCall.__init__,
        list_call.ListCall.connection_made,
        list_call.ListCall.data_received,
    )

    @functools.wraps(begin)
    def init(self: list_call.ListCall, owner: Any, *rest: Any, **named: Any) -> None:
        meter = getattr(owner.sink, "meter", None)
        if meter is not None:
            meter.calls += 1
            meter.counted()
        begin(self, owner, *rest, **named)

    @functools.wraps(connected)
    def made(self: list_call.ListCall, transport: Any) -> None:
        meter = _of(self)
        connected(self, transport if meter is None else CountingTransport(transport, meter))

    @functools.wraps(received)
    def data(self: list_call.ListCall, data: bytes) -> None:
        meter = _of(self)
        if meter is not None:
            meter.bytes_in += len(data)
            meter.counted()
        received(self, data)

    list_call.ListCall.__init__ = init  # type: ignore[method-assign]
    list_call.ListCall.connection_made = made  # type: ignore[method-assign]
    list_call.ListCall.data_received = data  # type: ignore[method-assign]


def _wrap_sides(make: Callable[[], Meter]) -> None:
    begin, listed, adopt = ControlSide.__init__, ControlSide.listed, ControlSide._apply

    @functools.wraps(begin)
    def init(self: Any, *rest: Any, **named: Any) -> None:
        self.meter = make()
        begin(self, *rest, **named)

    @functools.wraps(listed)
    def heard(self: Any, listing: Listing) -> None:
        self.meter.told(listing.version)
        listed(self, listing)

    @functools.wraps(adopt)
    def adopted(self: Any, listing: Listing, how: str) -> None:
        adopt(self, listing, how)
        if not self.pending.waiting():
            self.meter.adopted(listing.version)

    ControlSide.__init__ = init  # type: ignore[method-assign]
    ControlSide.listed = heard  # type: ignore[method-assign]
    ControlSide._apply = adopted  # type: ignore[method-assign]


def install(make: Callable[[], Meter]) -> None:
    """From now on every control side made in this process has a meter; once in a process."""
    _wrap_calls()
    _wrap_sides(make)


def install_to_file(path: str) -> None:
    """The same for a real balancer: each new state is a line of the file."""
    file = open(path, "a", buffering=1)  # noqa: SIM115 - it is open until the process ends
    install(lambda: Meter(file.write))


class MeterLog:
    """What a real balancer's meter wrote: counts over time, versions heard and in force."""

    def __init__(self, path: Path) -> None:
        self.counts: list[tuple[float, int, int, int]] = []
        self.heard: list[tuple[float, int]] = []
        self.in_force: list[tuple[float, int]] = []
        for line in path.read_text().splitlines() if path.exists() else ():
            kind, at, *values = line.split()
            if kind == "counts":
                calls, bytes_in, bytes_out = map(int, values)
                self.counts.append((float(at), calls, bytes_in, bytes_out))
            else:
                getattr(self, kind).append((float(at), int(values[0])))

    def counts_at(self, moment: float) -> tuple[int, int, int]:
        """Calls, bytes in, bytes out up to a moment."""
        found = (0, 0, 0)
        for at, *values in self.counts:
            if at > moment:
                break
            found = (values[0], values[1], values[2])
        return found
