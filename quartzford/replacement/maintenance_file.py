"""The endpoints that operators took out for maintenance, on file for a successor without a predecessor.

An endpoint stays out until an operator puts it back, over an upgrade too, also where the predecessor hangs or
is killed while its successor starts. The file lies under $TMPDIR, which the platform empties at each start
but a replacement.
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
    """The file's content, in JSON. endpoints: names of those that are out."""

    format: int
    endpoints: list[str] = msgspec.field(name="out")


class MaintenanceFile:
    """Keeps the file up to date for the time of one process."""

    def __init__(self, path: str, clock: Clock, log: Log) -> None:
        self.path = path
        self.clock = clock
        self.log = log
        self._endpoints: Set[str] = frozenset()
        self._failed_writes = 0  # in a row
        self._retry: Handle | None = None
        self._stopped = False

    def read(self) -> list[str]:
        """The endpoints on file; none where there is no file, or one that can't be used, which is logged."""
        try:
            return read_maintenance_file(self.path)
        except FileNotFoundError:
            return []
        except (OSError, MaintenanceFileError) as error:
            self.log.line(
                "replacement", f"{self.path} is not used, endpoints in maintenance are unknown: {error}"
            )
            return []

    def save(self, endpoints: Set[str]) -> None:
        """Write the endpoints now and, where that fails, every WRITE_RETRY_S what the set holds by then."""
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
                "replacement", f"endpoints in maintenance are on file, after {self._failed_writes} failures"
            )
        self._failed_writes = 0

    def _write_failed(self, error: OSError) -> None:
        self._failed_writes += 1
        if self._failed_writes == 1:
            self.log.line("replacement", f"endpoints in maintenance could not be written to file: {error}")
        if not self._stopped:
            self._retry = self.clock.call_later(WRITE_RETRY_S, self._write)

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def stop(self) -> None:
        """End with the process: a write that failed is retried once more."""
        self._stopped = True
        if self._retry is not None:
            self._write()


def read_maintenance_file(path: str) -> list[str]:
    """The endpoints on file. OSError where it can't be read, MaintenanceFileError where its content can't."""
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
    """Replace the file as a whole: a reader sees the old content or the new. OSError where that fails.

    It is not synced to the disk: the file has to outlive the process, not the machine.
    """
    with suppress(OSError):
        remove_stale_temporary_files(path)
    record = MaintenanceRecord(FILE_FORMAT, sorted(endpoints))
    replace_file(path, msgspec.json.encode(record), synced=False)
