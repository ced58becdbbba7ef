"""Atomic file replacement: readers see the old content or the new, even after a kill or on a full disk.

The new content is written to a temporary file in the same folder, which is renamed over the old file. The
temporary file's name contains the writer's process id. Concurrent writers therefore use separate temporary
files, and a later process can recognize a file left behind by a killed process.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

TEMPORARY_SUFFIX = ".tmp"
FILE_MODE = 0o666  # before the umask is applied


def temporary_path(path: str) -> str:
    """Return the path of this process's temporary file for a target path: `PATH.PID.tmp`."""
    return f"{path}.{os.getpid()}{TEMPORARY_SUFFIX}"


def replace_file(path: str, data: bytes, *, synced: bool) -> None:
    """Replace a file's content. After an OSError the file has either the old content or the new.

    synced: wait until the data is on the disk, so that it survives a crash of the machine. Otherwise it
    survives only a crash of the process.
    """
    temporary = temporary_path(path)
    try:
        _write_file(temporary, data, synced)
        os.replace(temporary, path)
    except OSError:
        with suppress(OSError):
            os.unlink(temporary)
        raise
    if synced:
        _sync_folder(Path(path).parent)


def _write_file(path: str, data: bytes, synced: bool) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        unwritten = memoryview(data)
        while unwritten:
            written = os.write(descriptor, unwritten)
            unwritten = unwritten[written:]
        if synced:
            os.fsync(descriptor)
    except OSError:
        with suppress(OSError):  # the write error is reported, not one of close
            os.close(descriptor)
        raise
    os.close(descriptor)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def remove_stale_temporary_files(path: str) -> None:
    """Remove a target's temporary files whose writers no longer run. OSError if the folder can't be read."""
    target = Path(path)
    for name in os.listdir(target.parent):
        writer_pid = _writer_pid(name, target.name)
        if writer_pid is not None and not _is_running(writer_pid):
            with suppress(OSError):
                os.unlink(target.parent / name)


def _writer_pid(name: str, target_name: str) -> int | None:
    """Return the process id in the name of a target's temporary file; None for any other file name."""
    prefix = f"{target_name}."
    if not name.startswith(prefix) or not name.endswith(TEMPORARY_SUFFIX):
        return None
    process_id = name[len(prefix) : -len(TEMPORARY_SUFFIX)]
    return int(process_id) if process_id.isascii() and process_id.isdecimal() else None


def _is_running(process_id: int) -> bool:
    try:
        os.kill(process_id, 0)
    except (ProcessLookupError, OverflowError):
        return False
    except PermissionError:  # the process exists and belongs to another user
        return True
    return True
