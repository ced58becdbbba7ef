"""Writes the last list to a file, atomically and beside the loop, and reads it at a start.

The file is replaced as a whole: written beside, flushed to the disk, renamed. A disk that is full or gone
costs a log line, not the service. Only what is told within WRITE_INTERVAL_S goes into one write.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from quartzford.atomic_file import remove_leftovers, replace_file
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

WRITE_INTERVAL_S = 2.0
REFRESH_INTERVAL_S = 30.0  # a list that goes on being confirmed is written with its new age so often


class StoredList(NamedTuple):
    """A snapshot's list, and what is in force of it at its age until the service has spoken."""

    listing: Listing
    in_force: Listing


class SnapshotWriter:
    """Keeps one file. table: the list as it stands; heard: whether the service confirms it now."""

    def __init__(
        self, path: str, rule: Rule, service: Callable[[], str], table: Callable[[], dict[str, Any]],
        confirmed: Callable[[], bool], clock: Clock, log: Log, loop: asyncio.AbstractEventLoop,
    ) -> None:  # fmt: skip
        self.path, self.rule, self.service, self.table, self.confirmed = path, rule, service, table, confirmed
        self.clock, self.log, self.loop = clock, log, loop
        self.timer: Handle | None = None
        self.writing: asyncio.Future[None] | None = None
        self.write_again = False  # the list changed while a write was on
        self.last_error = ""
        self.written = 0
        self.stopped = False

    # ---- at a start

    def read(self) -> StoredList | None:
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
            snapshot = decode(data)
            age = usable(snapshot, self.service(), now, self.rule)
            listing = read_listing(snapshot.table)
            if not listing.whole:
                raise SnapshotError("it is not a whole list")
            in_force = read_listing(aged(snapshot.table, now)) if self.rule.cold(age) else listing
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.log.line("snapshot", f"{self.path} is not used: {error}")
            return None
        how = ", its upstreams taken for cold" if self.rule.cold(age) else ""
        self.log.line("snapshot", f"{len(listing.entries)} upstreams of {age:.0f} s ago{how}")
        return StoredList(listing, in_force)

    # ---- while it serves

    def list_changed(self) -> None:
        """The list has changed."""
        if self.stopped:
            return
        if self.writing is not None:
            self.write_again = True
        elif self.timer is None:
            self.timer = self.clock.call_later(WRITE_INTERVAL_S, self._write)

    def refresh_age(self) -> None:
        """So often the age of an unchanged list is brought up to now."""
        if self.stopped:
            return
        if self.confirmed():
            self.list_changed()
        self.clock.call_later(REFRESH_INTERVAL_S, self.refresh_age)

    def _write(self) -> None:
        self.timer = None
        if self.stopped or not self.confirmed():
            return
        snapshot = Snapshot(self.service(), self.clock.unix_ms(), self.table())
        self.writing = self.loop.run_in_executor(None, replace, self.path, snapshot)
        self.writing.add_done_callback(self._written)

    def _written(self, done: asyncio.Future[None]) -> None:
        self.writing = None
        error = done.exception() if not done.cancelled() else None
        if error is None:
            self.written += 1
            self.last_error = ""
        elif (error_text := f"{self.path} can't be written: {error}") != self.last_error:
            self.last_error = error_text
            self.log.line("snapshot", error_text)
        if self.write_again:
            self.write_again = False
            self.list_changed()

    def stop(self) -> None:
        """Write nothing from now on; a write that is under way ends by itself."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()


def replace(path: str, snapshot: Snapshot) -> None:
    """The file is the old one or the new one, whenever the machine ends; OSError if it could not be."""
    data = encode(snapshot)
    with suppress(OSError):
        remove_leftovers(path)
    replace_file(path, data, synced=True)
