"""Counts what a balancer's control side does: calls, bytes both ways, versions received and applied.

`install` wraps the program's own classes from outside. A real balancer's process does so at the start
barrier, where QUARTZFORD_RIG_METER names a file, and a process of hollow balancers for all of them, so that
both kinds are measured by one rule. Bytes are counted at the transport, without the headers of IP and TCP.
Times are seconds on the machine's monotonic clock.

A file's lines are `counts TIME CALLS BYTES_IN BYTES_OUT`, `heard TIME VERSION` for a version received, and
`in_force TIME VERSION` for a version that the decision module has applied.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any, NamedTuple

from quartzford.control import ControlSide
from quartzford.membership import list_call
from quartzford.membership.listing import Listing

METER_VARIABLE = "QUARTZFORD_RIG_METER"  # read at the start barrier


class VersionTime(NamedTuple):
    """When a version of the endpoint list was received or applied."""

    at: float
    version: int


class Counts(NamedTuple):
    """What a control side has done up to a moment."""

    calls: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class Meter:
    """One control side's counts. write_line: takes each new state as a line of text."""

    def __init__(self, write_line: Callable[[str], object] | None = None) -> None:
        self.write_line = write_line
        self.calls = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.received: list[VersionTime] = []
        self.applied: list[VersionTime] = []

    def counts_changed(self) -> None:
        """Write the counts as they are now."""
        if self.write_line is not None:
            self.write_line(f"counts {monotonic():.6f} {self.calls} {self.bytes_in} {self.bytes_out}\n")

    def version_received(self, version: int) -> None:
        """Record that an update of this version has been read."""
        self.received.append(VersionTime(monotonic(), version))
        if self.write_line is not None:
            self.write_line(f"heard {monotonic():.6f} {version}\n")

    def version_applied(self, version: int) -> None:
        """Record that the decision module has all of this version."""
        self.applied.append(VersionTime(monotonic(), version))
        if self.write_line is not None:
            self.write_line(f"in_force {monotonic():.6f} {version}\n")


class CountingTransport:
    """A transport that counts what is written."""

    def __init__(self, transport: asyncio.Transport, meter: Meter) -> None:
        self._transport, self._meter = transport, meter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Count the bytes and pass them on."""
        self._meter.bytes_out += len(data)
        self._meter.counts_changed()
        self._transport.write(data)


def _meter_of(call: list_call.ListCall) -> Meter | None:
    owner: Any = call.owner
    return getattr(owner.sink, "meter", None)


def _wrap_call_start() -> None:
    begin = list_call.ListCall.__init__

    @functools.wraps(begin)
    def counted_init(self: list_call.ListCall, owner: Any, *arguments: Any, **options: Any) -> None:
        meter = getattr(owner.sink, "meter", None)
        if meter is not None:
            meter.calls += 1
            meter.counts_changed()
        begin(self, owner, *arguments, **options)

    list_call.ListCall.__init__ = counted_init  # type: ignore[method-assign]


def _wrap_call_bytes() -> None:
    connection_made = list_call.ListCall.connection_made
    data_received = list_call.ListCall.data_received

    @functools.wraps(connection_made)
    def counted_connection(self: list_call.ListCall, transport: Any) -> None:
        meter = _meter_of(self)
        connection_made(self, transport if meter is None else CountingTransport(transport, meter))

    @functools.wraps(data_received)
    def counted_data(self: list_call.ListCall, data: bytes) -> None:
        meter = _meter_of(self)
        if meter is not None:
            meter.bytes_in += len(data)
            meter.counts_changed()
        data_received(self, data)

    list_call.ListCall.connection_made = counted_connection  # type: ignore[method-assign]
    list_call.ListCall.data_received = counted_data  # type: ignore[method-assign]


def _wrap_control_side(make_meter: Callable[[], Meter]) -> None:
    begin, listed, apply = ControlSide.__init__, ControlSide.listed, ControlSide._apply

    @functools.wraps(begin)
    def metered_init(self: Any, *arguments: Any, **options: Any) -> None:
        self.meter = make_meter()
        begin(self, *arguments, **options)

    @functools.wraps(listed)
    def metered_listed(self: Any, listing: Listing) -> None:
        self.meter.version_received(listing.version)
        listed(self, listing)

    @functools.wraps(apply)
    def metered_apply(self: Any, listing: Listing, kind: str) -> None:
        apply(self, listing, kind)
        if not self.pending.has_chunks():
            self.meter.version_applied(listing.version)

    ControlSide.__init__ = metered_init  # type: ignore[method-assign]
    ControlSide.listed = metered_listed  # type: ignore[method-assign]
    ControlSide._apply = metered_apply  # type: ignore[method-assign]


def install(make_meter: Callable[[], Meter]) -> None:
    """Give a meter to every control side made in this process from now on. Call it once in a process."""
    _wrap_call_start()
    _wrap_call_bytes()
    _wrap_control_side(make_meter)


def install_to_file(path: str) -> None:
    """Do the same for a real balancer: each new state is a line of the file."""
    file = open(path, "a", buffering=1)  # noqa: SIM115 - it is open until the process ends
    install(lambda: Meter(file.write))


class TimedCounts(NamedTuple):
    """A control side's counts at a moment."""

    at: float
    counts: Counts


class MeterLog:
    """What a real balancer's meter wrote: counts over time, versions received and applied."""

    def __init__(self, path: Path) -> None:
        self.counts: list[TimedCounts] = []
        self.received: list[VersionTime] = []
        self.applied: list[VersionTime] = []
        for line in path.read_text().splitlines() if path.exists() else ():
            self._read_line(line)

    def _read_line(self, line: str) -> None:
        kind, at, *values = line.split()
        if kind == "counts":
            self.counts.append(TimedCounts(float(at), Counts(*map(int, values))))
            return
        versions = {"heard": self.received, "in_force": self.applied}[kind]
        versions.append(VersionTime(float(at), int(values[0])))

    def counts_at(self, moment: float) -> Counts:
        """Return the counts up to a moment."""
        latest = Counts()
        for at, counts in self.counts:
            if at > moment:
                break
            latest = counts
        return latest
