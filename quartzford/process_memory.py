"""The memory of this process by the system's account, and the return of freed memory to the system."""

from __future__ import annotations

import ctypes
import os
from contextlib import suppress
from typing import NamedTuple

STATM = "/proc/self/statm"  # Linux, proc(5): sizes in pages; the second is resident, the third shared
MAX_STATM_BYTES = 128


class MemoryUse(NamedTuple):
    """resident: of everything, in bytes. anonymous: of it, what is not mapped from files."""

    resident: int
    anonymous: int


NOT_MEASURED = MemoryUse(0, 0)


class ProcessMemory:
    """Reads this process's memory. Where the system does not tell it, every reading is NOT_MEASURED."""

    def __init__(self) -> None:
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        try:
            self._descriptor = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = -1
        self._trim = getattr(ctypes.CDLL(None), "malloc_trim", None)  # glibc alone has it

    def read(self) -> MemoryUse:
        """Return the present use; NOT_MEASURED after an error."""
        try:
            fields = os.pread(self._descriptor, MAX_STATM_BYTES, 0).split()
            resident, shared = int(fields[1]), int(fields[2])
        except (OSError, IndexError, ValueError):
            return NOT_MEASURED
        return MemoryUse(resident * self._page_bytes, (resident - shared) * self._page_bytes)

    def release_free(self) -> None:
        """Return memory to the system that the allocator keeps for later, where the allocator can do that."""
        if self._trim is not None:
            self._trim(0)

    def close(self) -> None:
        """Close the descriptor; later readings are NOT_MEASURED."""
        if self._descriptor >= 0:
            with suppress(OSError):
                os.close(self._descriptor)
            self._descriptor = -1
