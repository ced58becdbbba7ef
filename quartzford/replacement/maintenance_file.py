"""File of the endpoints in maintenance, for a successor that gets no state from a predecessor.

An endpoint stays in maintenance until an operator returns it to service. This includes upgrades in which the
predecessor hangs or is killed while its successor starts. The file is in $TMPDIR, which the platform empties
at each start except a replacement.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from contextlib import suppress
from pathlib import Path

import msgspec

from quartzford.atomic_file import remove_stale_temporary_files, replace_file
from quartzford.engine import Clock, Handle, Log
from quartzford.replacement.errors import MaintenanceFileError

FILE_FORMAT = 1
MAX_FILE_BYTES = 1024 * 1024
WRITE_RETRY_S = 1.0


class MaintenanceRecord(msgspec.Struct):
    """The file's content, in JSON. endpoints: names of the endpoints in maintenance."""

    format: int
    endpoints: list[str] = msgspec.field(name="out")


class MaintenanceFile:
    """Reads the maintenance file and keeps it up to date while the process runs."""

    def __init__(self, path: str, clock: Clock, log: Log) -> None:
        self.path = path
        self.clock = clock
        self.log = log
        self._endpoints: Set[str] = frozenset()
        self._failed_writes = 0  # consecutive failures
        self._retry: Handle | None = None
        self._stopped = False

    def read(self) -> list[str]:
        """Return the endpoints in the file; none if it is missing or cannot be used. The latter is logged."""
        try:
            return read_maintenance_file(self.path)
        except FileNotFoundError:
            return []
        except (OSError, MaintenanceFileError) as error:
            self.log.line(
                "replacement", f"{self.path} is not used, the endpoints in maintenance are unknown: {error}"
            )
            return []

    def save(self, endpoints: Set[str]) -> None:
        """Write the endpoints. On failure, retry every WRITE_RETRY_S with the set's content at that time."""
        self._endpoints = endpoints
        self._write()

    def _write(self) -> None:
        self._cancel_retry()
        try:
            write_maintenance_file(self.path, self._endpoints)
        except OSError as error:
            self._write_failed(error)
            return
        if self._failed_writes:
            self.log.line(
                "replacement",
                f"the endpoints in maintenance are written to file after {self._failed_writes} failures",
            )
        self._failed_writes = 0

    def _write_failed(self, error: OSError) -> None:
        self._failed_writes += 1
        if self._failed_writes == 1:
            self.log.line("replacement", f"the endpoints in maintenance cannot be written to file: {error}")
        if not self._stopped:
            self._retry = self.clock.call_later(WRITE_RETRY_S, self._write)

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def stop(self) -> None:
        """Stop because the process exits. A failed write is retried one last time."""
        self._stopped = True
        if self._retry is not None:
            self._write()


def read_maintenance_file(path: str) -> list[str]:
    """Return the endpoints in the file.

    Raise OSError if the file cannot be read, MaintenanceFileError if its content cannot be decoded.
    """
    with Path(path).open("rb") as file:
        data = file.read(MAX_FILE_BYTES)
    try:
        record: MaintenanceRecord = msgspec.json.decode(data, type=MaintenanceRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MaintenanceFileError(str(error)) from None
    if record.format != FILE_FORMAT:
        raise MaintenanceFileError(f"format {record.format} is not {FILE_FORMAT}")
    return record.endpoints


def write_maintenance_file(path: str, endpoints: Iterable[str]) -> None:
    """Replace the file atomically: a reader sees the old or the new content. Raise OSError on failure.

    The file is not synced to the disk, because it has to survive the process but not the machine.
    """
    with suppress(OSError):
        remove_stale_temporary_files(path)
    record = MaintenanceRecord(FILE_FORMAT, sorted(endpoints))
    replace_file(path, msgspec.json.encode(record), synced=False)
