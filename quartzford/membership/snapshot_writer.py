"""Writes the snapshot of the last list to a file, atomically and in a thread, and reads it at startup.

The file is replaced as a whole: a temporary file is written, flushed to the disk and renamed. If the disk is
full or unavailable, the balancer logs one line and continues to serve; the newest list is written as soon as
the disk accepts writes again. All changes within WRITE_INTERVAL_S are combined into one write.
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
    validated_age_s,
)

WRITE_INTERVAL_S = 2.0
MAX_RETRY_DELAY_S = 16.0  # failed writes are retried after WRITE_INTERVAL_S, doubled up to this
HANG_THRESHOLD_S = 10.0  # a write that takes longer than this is logged
REFRESH_INTERVAL_S = 30.0  # how often an unchanged list is written with its new age


class StoredList(NamedTuple):
    """The list of a snapshot. cold: its upstreams count as just started until the service has answered."""

    listing: Listing
    cold: bool


class SnapshotWriter:
    """Writes one snapshot file.

    table: returns the current list; confirmed: returns whether the watch of the list is established.
    """

    def __init__(
        self,
        path: str,
        age_limits: SnapshotAgeLimits,
        service: Callable[[], str],
        table: Callable[[], dict[str, Any]],
        confirmed: Callable[[], bool],
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.path = path
        self.age_limits = age_limits
        self.service = service
        self.table = table
        self.confirmed = confirmed
        self.clock = clock
        self.log = log
        self.loop = loop
        self.timer: Handle | None = None
        self.writing = False
        self.write_started_at = -math.inf
        self.logged_hang_started_at = -math.inf  # the start of the write whose hang was logged
        self.write_pending = False  # the current list has not been written yet
        self.retry_delay_s = WRITE_INTERVAL_S
        self.failed_writes = 0  # consecutive failed writes
        self.last_error = ""
        self.write_count = 0
        self.stopped = False

    # ---- at startup

    def read(self) -> StoredList | None:
        """Return the list of the file, or None if it may not be used; the reason is logged."""
        try:
            data = Path(self.path).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            self.log.line("snapshot", f"{self.path} cannot be read: {error.strerror}")
            return None
        now = self.clock.unix_ms()
        try:
            snapshot = decode(data)
            age_s = validated_age_s(snapshot, self.service(), now, self.age_limits)
            listing = read_listing(snapshot.table)
            if not listing.complete:
                raise SnapshotError("it is not a complete list")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.log.line("snapshot", f"{self.path} is not used: {error}")
            return None
        cold = self.age_limits.is_cold(age_s)
        when = f"{age_s:.0f} s old" if age_s >= 0.0 else f"{-age_s:.0f} s in the future"
        how = ", upstreams treated as cold" if cold else ""
        self.log.line("snapshot", f"{len(listing.entries)} upstreams from a snapshot, {when}{how}")
        return StoredList(listing, cold)

    # ---- while the balancer serves

    def list_changed(self) -> None:
        """Schedule a write of the changed list; it stays pending until a write succeeds."""
        self.write_pending = True
        self._schedule_write(WRITE_INTERVAL_S)

    def _schedule_write(self, delay_s: float) -> None:
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
        taken_s = self.clock.now() - self.write_started_at
        if (
            self.writing
            and self.write_started_at > self.logged_hang_started_at
            and taken_s >= HANG_THRESHOLD_S
        ):
            self.logged_hang_started_at = self.write_started_at
            self.log.line(
                "snapshot", f"{self.path}: a write has taken {taken_s:.0f} s so far, the disk hangs"
            )

    def _write(self) -> None:
        self.timer = None
        if self.stopped:
            return
        if not self.confirmed():
            return self._schedule_write(WRITE_INTERVAL_S)
        self.write_pending = False
        snapshot = Snapshot(self.service(), self.clock.unix_ms(), self.table())
        self.writing = True
        self.write_started_at = self.clock.now()
        # Not in the event loop's executor: at its end, the process waits for the executor, even if a write
        # hangs because the disk is unavailable.
        thread = threading.Thread(
            target=self._write_in_thread, args=(snapshot,), name="snapshot", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:
            self._write_completed(str(error))

    def _write_in_thread(self, snapshot: Snapshot) -> None:
        """Write once, in the thread, and report the outcome to the event loop."""
        error_text = ""
        try:
            write_snapshot(self.path, snapshot)
        except Exception as error:  # any error must be reported, or no further write follows
            error_text = str(error) or repr(error)
        with suppress(RuntimeError):  # the event loop was closed in the meantime
            self.loop.call_soon_threadsafe(self._write_completed, error_text)

    def _write_completed(self, error_text: str) -> None:
        """Handle the end of a write. error_text: the reason of a failure, or "" if the write succeeded."""
        self.writing = False
        if error_text:
            self._record_failure(error_text)
        else:
            self._record_success()

    def _record_success(self) -> None:
        if self.failed_writes:
            self.log.line("snapshot", f"{self.path} was written again after {self.failed_writes} failures")
        self.write_count += 1
        self.failed_writes = 0
        self.last_error = ""
        self.retry_delay_s = WRITE_INTERVAL_S
        if self.write_pending:
            self._schedule_write(WRITE_INTERVAL_S)

    def _record_failure(self, error_text: str) -> None:
        """Keep the write pending; log only the first failure until a write succeeds, whatever the errors."""
        self.failed_writes += 1
        self.last_error = f"{self.path} cannot be written: {error_text}"
        if self.failed_writes == 1:
            self.log.line("snapshot", self.last_error)
        self.write_pending = True
        self._schedule_write(self.retry_delay_s)
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2.0 * self.retry_delay_s)

    def stop(self) -> None:
        """Start no further writes; a write in progress ends by itself or with the process."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()


def write_snapshot(path: str, snapshot: Snapshot) -> None:
    """Replace the snapshot file atomically: after a crash, it holds either the old or the new snapshot.

    Raises OSError if the file could not be replaced.
    """
    data = encode(snapshot)
    with suppress(OSError):
        remove_stale_temporary_files(path)
    replace_file(path, data, synced=True)
