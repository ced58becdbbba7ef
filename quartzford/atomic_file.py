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
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o666)
    try:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]
        if synced:
            os.fsync(descriptor)
    except OSError:
        with suppress(OSError):  # the first error is the one to tell
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


def _writer_of(name: str, target: str) -> int | None:
    """The process that a temporary file for the target belongs to; None where it is another file."""
    prefix = f"{target}."
    if not name.startswith(prefix) or not name.endswith(TEMPORARY_SUFFIX):
        return None
    middle = name[len(prefix) : -len(TEMPORARY_SUFFIX)]
    return int(middle) if middle.isascii() and middle.isdecimal() else None


def _is_running(process: int) -> bool:
    try:
        os.kill(process, 0)
    except (ProcessLookupError, OverflowError):
        return False
    except PermissionError:
        return True
    return True
