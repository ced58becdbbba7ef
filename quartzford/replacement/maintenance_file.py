"""Who is out by hand, on file: for a successor that the process before can no longer tell.

A ban holds until it is called off, over an upgrade too, also where the old process hangs or is killed while
its successor starts. The file lies under $TMPDIR, which the platform empties at each start but a replacement.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from contextlib import suppress

import msgspec

from quartzford.atomic_file import remove_stale_temporary_files, replace_file
from quartzford.engine import Clock, Handle, Log

FILE_FORMAT = 1
MAX_FILE_BYTES = 1024 * 1024
WRITE_RETRY_S = 1.0


class MaintenanceRecord(msgspec.Struct):
    """The file's form."""

    format: int
    out: list[str]


class MaintenanceFile:
    """Keeps the file up to date for the time of one process."""

    def __init__(self, path: str, clock: Clock, log: Log) -> None:
        self.path, self.clock, self.log = path, clock, log
        self.names: Set[str] = frozenset()
        self.failed = 0  # writes in a row
        self.timer: Handle | None = None
        self.stopped = False

    def read(self) -> list[str]:
        """Names; none where there is no file, or one that can't be used, which is logged."""
        try:
            return read_maintenance_file(self.path)
        except FileNotFoundError:
            return []
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            self.log.line("replacement", f"{self.path} is not used, who is out by hand is unknown: {error}")
            return []

    def save(self, names: Set[str]) -> None:
        """Write the names, now and, where that fails, every RETRY_S as they are then."""
        self.names = names
        self._write()

    def _write(self) -> None:
        self._cancel_retry()
        try:
            write_maintenance_file(self.path, self.names)
        except OSError as error:
            return self._fail(error)
        if self.failed:
            self.log.line("replacement", f"who is out by hand is on file, after {self.failed} failures")
        self.failed = 0

    def _fail(self, error: OSError) -> None:
        self.failed += 1
        if self.failed == 1:
            self.log.line("replacement", f"who is out by hand could not go on file: {error}")
        if not self.stopped:
            self.timer = self.clock.call_later(WRITE_RETRY_S, self._write)

    def _cancel_retry(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def stop(self) -> None:
        """The process ends: what is still owed to the file is tried a last time."""
        self.stopped = True
        if self.timer is not None:
            self._write()


def read_maintenance_file(path: str) -> list[str]:
    """Names. OSError where the file can't be read; ValueError or MsgspecError where it is no such page."""
    with open(path, "rb") as file:
        page: MaintenanceRecord = msgspec.json.decode(file.read(MAX_FILE_BYTES), type=MaintenanceRecord)
    if page.format != FILE_FORMAT:
        raise ValueError(f"format {page.format} is not {FILE_FORMAT}")
    return page.out


def write_maintenance_file(path: str, names: Iterable[str]) -> None:
    """Whole or not at all: a reader sees the page before or this one. OSError where it can't be written.

    It is not waited for the disk: the file has to outlive the process, not the machine.
    """
    with suppress(OSError):
        remove_stale_temporary_files(path)
    replace_file(path, msgspec.json.encode(MaintenanceRecord(FILE_FORMAT, sorted(names))), synced=False)
