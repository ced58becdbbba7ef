"""A core that one soak has for itself: two on one core would halve what each counts as part of it."""

from __future__ import annotations

import contextlib
import fcntl
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path


@contextlib.contextmanager
def claimed_core() -> Iterator[int]:
    """Hold a core that no other soak on this machine holds; the highest one, shared, if all are held."""
    cores = sorted(os.sched_getaffinity(0), reverse=True)
    for core in cores:
        with Path(tempfile.gettempdir(), f"soak-core-{core}.lock").open("w") as lock:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            yield core
            return
    yield cores[0]
