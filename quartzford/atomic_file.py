"""Replaces a file as a whole: readers see the old content or the new, also after a kill or on a full disk.

The new content goes to a temporary file in the same folder, which is renamed over the old one. Its name holds
the writer's process id: processes that write the same file at once don't meet in it, and whoever comes later
can tell that a process was killed and left its own behind.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

TEMPORARY_SUFFIX = ".tmp"
FILE_MODE = 0o666  # less the umask


def temporary_path(path: str) -> str:
    """Where this process prepares what will lie at a path: `PATH.PID.tmp`."""
    return f"{path}.{os.getpid()}{TEMPORARY_SUFFIX}"


def replace_file(path: str, data: bytes, *, synced: bool) -> None:
    """Replace a file's content; OSError where that failed, with the old content still there or the new one.

    synced: wait until the disk has it, so that it outlives the machine. Without that it outlives the process.
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
        with suppress(OSError):  # the first error is the one to report
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
    """Remove the temporary files of processes that have ended. OSError where the folder can't be read."""
    target = Path(path)
    for name in os.listdir(target.parent):
        writer = _writer_of(name, target.name)
        if writer is not None and not _is_running(writer):
            with suppress(OSError):
                os.unlink(target.parent / name)


def _writer_of(name: str, target_name: str) -> int | None:
    """The process id in the name of a temporary file for the target; None where it is another file's name."""
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
    except PermissionError:  # it belongs to another user
        return True
    return True
