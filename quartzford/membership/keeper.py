"""Writes the last list to a file, atomically and beside the loop, and reads it at a start.

The file is replaced as a whole: written beside, flushed to the disk, renamed. A disk that is full or gone
costs a log line, not the service. Only what is told within EVERY_S goes into one write.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from quartzford.engine import Clock, Handle, Log
from quartzford.membership.listing import Listing, read_listing
from quartzford.membership.snapshot import (
    Rule,
    Snapshot,
    SnapshotError,
    aged,
    decode,
    encode,
    usable,
)

EVERY_S = 2.0
CONFIRM_S = 30.0  # a list that goes on being confirmed is written with its new age so often


class Kept(NamedTuple):
    """A snapshot's list, and what is in force of it at its age until the service has spoken."""

    listing: Listing
    in_force: Listing


class Keeper:
    """Keeps one file. table: the list as it stands; heard: whether the service confirms it now."""

    def __init__(
        self, path: str, rule: Rule, service: Callable[[], str], table: Callable[[], dict[str, Any]],
        heard: Callable[[], bool], clock: Clock, log: Log, loop: asyncio.AbstractEventLoop,
    ) -> None:  # fmt: skip
        self.path, self.rule, self.service, self.table, self.heard = path, rule, service, table, heard
        self.clock, self.log, self.loop = clock, log, loop
        self.timer: Handle | None = None
        self.writing: asyncio.Future[None] | None = None
        self.again = False  # news came while a write was on
        self.failed = ""
        self.written = 0
        self.stopped = False

    # ---- at a start

    def read(self) -> Kept | None:
        """The list of the file, if it may be used; why not goes to the log."""
        try:
            data = Path(self.path).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            self.log.line("snapshot", f"{self.path} can't be read: {error.strerror}")
            return None
        now = self.clock.unix_ms()
        try:
            one = decode(data)
            age = usable(one, self.service(), now, self.rule)
            listing = read_listing(one.table)
            if not listing.whole:
                raise SnapshotError("it is not a whole list")
            in_force = read_listing(aged(one.table, now)) if self.rule.cold(age) else listing
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.log.line("snapshot", f"{self.path} is not used: {error}")
            return None
        how = ", its upstreams taken for cold" if self.rule.cold(age) else ""
        self.log.line("snapshot", f"{len(listing.entries)} upstreams of {age:.0f} s ago{how}")
        return Kept(listing, in_force)

    # ---- while it serves

    def news(self) -> None:
        """The list has changed."""
        if self.stopped:
            return
        if self.writing is not None:
            self.again = True
        elif self.timer is None:
            self.timer = self.clock.call_later(EVERY_S, self._write)

    def confirm(self) -> None:
        """So often the age of an unchanged list is brought up to now."""
        if self.stopped:
            return
        if self.heard():
            self.news()
        self.clock.call_later(CONFIRM_S, self.confirm)

    def _write(self) -> None:
        self.timer = None
        if self.stopped or not self.heard():
            return
        one = Snapshot(self.service(), self.clock.unix_ms(), self.table())
        self.writing = self.loop.run_in_executor(None, replace, self.path, one)
        self.writing.add_done_callback(self._written)

    def _written(self, done: asyncio.Future[None]) -> None:
        self.writing = None
        error = done.exception() if not done.cancelled() else None
        if error is None:
            self.written += 1
            self.failed = ""
        elif (said := f"{self.path} can't be written: {error}") != self.failed:
            self.failed = said
            self.log.line("snapshot", said)
        if self.again:
            self.again = False
            self.news()

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()


def replace(path: str, one: Snapshot) -> None:
    """The file is the old one or the new one, whenever the machine ends; OSError if it could not be."""
    beside = f"{path}.{os.getpid()}"
    try:
        with open(beside, "wb") as file:
            file.write(encode(one))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError:
        with suppress(OSError):
            os.unlink(beside)
        raise
    folder = os.open(str(Path(path).parent), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
