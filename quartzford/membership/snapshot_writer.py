"""Writes the last list to a file, atomically and in a thread, and reads it at a start.

The file is replaced as a whole: a temporary file is written, flushed to the disk and renamed. A disk that is
full or gone costs a log line, not the service: the newest list is written as soon as the disk takes it. All
changes within WRITE_INTERVAL_S go into one write.
"""

from __future__ import annotations

import asyncio
import math
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from quartzford.atomic_file import remove_stale_temporary_files, replace_file
from quartzford.engine import Clock, Handle, Log
from quartzford.membership.listing import Listing, read_listing
from quartzford.membership.snapshot import (
    Snapshot,
    SnapshotAgeLimits,
    SnapshotError,
    decode,
    encode,
    usable,
)

WRITE_INTERVAL_S = 2.0
MAX_RETRY_DELAY_S = 16.0  # a disk that fails is tried again after WRITE_INTERVAL_S, doubled up to this
HANG_S = 10.0
REFRESH_INTERVAL_S = 30.0  # a list that goes on being confirmed is written with its new age so often


class StoredList(NamedTuple):
    """A snapshot's list. cold: its upstreams count as just started until the service has spoken."""

    listing: Listing
    cold: bool


class SnapshotWriter:
    """Writes one snapshot file. table: the list as it stands; confirmed: whether a watch on it stands."""

    def __init__(
        self,
        path: str,
        rule: SnapshotAgeLimits,
        service: Callable[[], str],
        table: Callable[[], dict[str, Any]],
        confirmed: Callable[[], bool],
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.path = path
        self.rule = rule
        self.service = service
        self.table = table
        self.confirmed = confirmed
        self.clock = clock
        self.log = log
        self.loop = loop
        self.timer: Handle | None = None
        self.writing = False
        self.write_started = -math.inf
        self.hang_logged = -math.inf  # the start of the write whose hang was logged
        self.write_pending = False  # the list as it stands has to be written yet
        self.retry_s = WRITE_INTERVAL_S
        self.failed_writes = 0  # writes in a row
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
            if not listing.complete:
                raise SnapshotError("it is not a complete list")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.log.line("snapshot", f"{self.path} is not used: {error}")
            return None
        cold = self.rule.cold(age)
        when = f"{age:.0f} s ago" if age >= 0.0 else f"{-age:.0f} s from now"
        how = ", its upstreams taken for cold" if cold else ""
        self.log.line("snapshot", f"{len(listing.entries)} upstreams of {when}{how}")
        return StoredList(listing, cold)

    # ---- while it serves

    def list_changed(self) -> None:
        """The list has changed: a write is pending until one has succeeded."""
        self.write_pending = True
        self._write_in(WRITE_INTERVAL_S)

    def _write_in(self, delay_s: float) -> None:
        if not self.stopped and self.timer is None and not self.writing:
            self.timer = self.clock.call_later(delay_s, self._write)

    def refresh_age(self) -> None:
        """Write an unchanged list with its new age, every REFRESH_INTERVAL_S."""
        if self.stopped:
            return
        if self.confirmed():
            self.list_changed()
        self._check_for_hang()
        self.clock.call_later(REFRESH_INTERVAL_S, self.refresh_age)

    def _check_for_hang(self) -> None:
        taken_s = self.clock.now() - self.write_started
        if self.writing and self.write_started > self.hang_logged and taken_s >= HANG_S:
            self.hang_logged = self.write_started
            self.log.line("snapshot", f"{self.path} has been written for {taken_s:.0f} s: the disk hangs")

    def _write(self) -> None:
        self.timer = None
        if self.stopped:
            return
        if not self.confirmed():
            return self._write_in(WRITE_INTERVAL_S)
        self.write_pending = False
        snapshot = Snapshot(self.service(), self.clock.unix_ms(), self.table())
        self.writing = True
        self.write_started = self.clock.now()
        # A thread of its own: the loop's executor is waited for at the end of the process, also where a write
        # hangs in a disk that is gone.
        thread = threading.Thread(target=self._replace, args=(snapshot,), name="snapshot", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            self._written(str(error))

    def _replace(self, snapshot: Snapshot) -> None:
        """The thread: one write, whose outcome goes to the loop."""
        why = ""
        try:
            write_snapshot(self.path, snapshot)
        except Exception as error:  # whatever it is, the next write has to come
            why = str(error) or repr(error)
        with suppress(RuntimeError):  # the loop has ended meanwhile
            self.loop.call_soon_threadsafe(self._written, why)

    def _written(self, why: str) -> None:
        """A write has come to its end. why: it failed; "" where it did not."""
        self.writing = False
        if why:
            self._fail(why)
        else:
            self._succeeded()

    def _succeeded(self) -> None:
        if self.failed_writes:
            self.log.line("snapshot", f"{self.path} is written again, after {self.failed_writes} failures")
        self.written += 1
        self.failed_writes = 0
        self.last_error = ""
        self.retry_s = WRITE_INTERVAL_S
        if self.write_pending:
            self._write_in(WRITE_INTERVAL_S)

    def _fail(self, why: str) -> None:
        """The write stays pending. Logged once until one has succeeded, whatever the errors in between."""
        self.failed_writes += 1
        self.last_error = f"{self.path} can't be written: {why}"
        if self.failed_writes == 1:
            self.log.line("snapshot", self.last_error)
        self.write_pending = True
        self._write_in(self.retry_s)
        self.retry_s = min(MAX_RETRY_DELAY_S, 2.0 * self.retry_s)

    def stop(self) -> None:
        """Write nothing from now on; a write that is under way ends by itself, or with the process."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()


def write_snapshot(path: str, snapshot: Snapshot) -> None:
    """The file is the old one or the new one, whenever the machine ends; OSError if it could not be."""
    data = encode(snapshot)
    with suppress(OSError):
        remove_stale_temporary_files(path)
    replace_file(path, data, synced=True)
