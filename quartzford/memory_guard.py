"""Holds the memory of the whole process to its limit: it adapts the account to what the process really has.

The account of buffered bytes (BufferBudget) does not count connections, parsers, the list, or what the
allocator keeps. So the memory of the process is measured, and the account gets what the rest leaves of the
limit.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from quartzford.engine import BufferBudget
from quartzford.process_memory import NOT_MEASURED, MemoryUse, ProcessMemory

MB = 1024 * 1024
HEADROOM_SHARE = 1 / 16  # of the limit, that the account leaves free
RELEASE_SHARE = 1 / 8  # below the limit by as much, memory that was freed is returned to the system
CRITICAL_SHARE = 1 / 32  # below the limit by as much, connections are ended to free memory
MIN_ROOM_BYTES = 2 * MB  # for connections and buffers; a limit that leaves less can't be kept
RELEASE_STEP_BYTES = 256 * 1024  # by which memory in no account has to grow before it is returned again
ACT_INTERVAL_S = 0.05


class MemoryGuard:
    """Measures, and acts at two marks: near the limit free memory is returned, close to it clients are ended.

    peak: the most that was measured since the last `reset_peak`.
    """

    def __init__(
        self,
        memory: ProcessMemory,
        budget: BufferBudget,
        now: Callable[[], float],
        free_bytes: Callable[[int], object],
        promised_bytes: Callable[[int], int],
    ) -> None:
        """now: returns seconds on a monotonic clock. free_bytes: ends connections that hold so many bytes.

        promised_bytes: returns what partly received requests may still add where the account is exhausted; it
        is given the room for the account.
        """
        self._now = now
        self._memory = memory
        self._budget = budget
        self._free_bytes = free_bytes
        self._promised_bytes = promised_bytes
        self._limit = 0
        self._least_limit = int((memory.read().resident + MIN_ROOM_BYTES) / (1 - HEADROOM_SHARE))
        self._least_others = 0  # bytes of the process that were in no account after memory was last returned
        self._may_act_at = -math.inf  # no sooner, as both acts take time
        self.peak = NOT_MEASURED
        budget.on_intake = self.check

    def configure(self, limit: int) -> None:
        """Set the limit for the whole process, in bytes."""
        self._limit = max(limit, self._least_limit)
        self.check()

    def reset_peak(self) -> MemoryUse:
        """Return the peak, and begin a new one."""
        peak, self.peak = self.peak, NOT_MEASURED
        return peak

    def check(self) -> None:
        """Measure, and act if the process is near its limit."""
        use = self._measure()
        if not use.resident or not self._limit:
            return
        may_act = self._now() >= self._may_act_at
        if may_act and use.resident > self._limit * (1 - RELEASE_SHARE):
            use = self._release(use)
        others = use.resident - self._budget.used
        room = int(self._limit * (1 - HEADROOM_SHARE)) - others
        self._budget.measured_limit = max(0, room - self._promised_bytes(room))
        excess = use.resident - int(self._limit * (1 - CRITICAL_SHARE))
        if may_act and excess > 0:
            self._may_act_at = self._now() + ACT_INTERVAL_S
            self._free_bytes(excess)

    def _measure(self) -> MemoryUse:
        use = self._memory.read()
        self.peak = MemoryUse(*map(max, self.peak, use))
        return use

    def _release(self, use: MemoryUse) -> MemoryUse:
        """Return freed memory to the system if more is in no account than when that was last done."""
        if use.resident - self._budget.used < self._least_others + RELEASE_STEP_BYTES:
            return use
        self._may_act_at = self._now() + ACT_INTERVAL_S
        self._memory.release_free()
        use = self._memory.read()
        self._least_others = use.resident - self._budget.used
        return use
