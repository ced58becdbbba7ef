"""The access log as a trace: the requests that this balancer took, so that they can be played again.

The format is that of load/trace.py. Lines are handed to a thread that writes them: neither the event loop nor
a request ever waits for the disk, and a disk that fails ends the recording, not the service. What is written
holds no body and no correlation id; idempotency keys are hashed under a secret of this recording unless the
operator wants them plain or none at all.
"""

from __future__ import annotations

import os
import queue
import threading
from enum import StrEnum
from hashlib import blake2b
from pathlib import Path

from quartzford.decision import interface as io
from quartzford.engine import Clock, Log
from quartzford.load.trace import END_PREFIX, HEADER_PREFIX, TRACE_VERSION, TraceRow, format_row

MAX_QUEUED_LINES = 65_536  # lines that may wait for the disk
WRITER_CHECK_S = 0.5
CLOSE_TIMEOUT_S = 5.0
SECRET_BYTES = 16
KEY_DIGEST_BYTES = 8
NO_CLASS = "-"  # in the trace, for a request without service class


class KeyMode(StrEnum):
    """How idempotency keys are recorded."""

    HASHED = "hashed"
    PLAIN = "plain"
    NONE = "none"


class Recorder:
    """Writes each request that the engine takes to a trace file."""

    def __init__(self, path: str, keys: str, max_bytes: int, clock: Clock, log: Log) -> None:
        """Create the file and start its thread. OSError if the file can't be made.

        keys: a KeyMode's value. max_bytes: where the recording ends.
        """
        self.stopped = False  # nothing is recorded any more
        self._key_mode = KeyMode(keys)
        self._max_bytes = max_bytes
        self._clock = clock
        self._log = log
        self._file = Path(path).open("w", encoding="ascii", newline="\n")  # noqa: SIM115
        self._file.write(f"{HEADER_PREFIX}{TRACE_VERSION}\n")
        self._secret = os.urandom(SECRET_BYTES)
        self._started_at = clock.now()
        self._recorded_requests = 0
        self._recorded_bytes = 0
        self._write_error = ""  # set by the thread: why it ended before the service did
        self._failure_logged = False
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()  # None: the end
        self.thread = threading.Thread(target=self._write, name="trace", daemon=True)
        self.thread.start()
        clock.call_later(WRITER_CHECK_S, self._check_writer)

    def record(self, request: io.Request, size: int) -> None:
        """A request has been taken. size: of its body, in bytes."""
        if self.stopped:
            return
        line = self._line(request, size)
        if self._recorded_bytes + len(line) > self._max_bytes:
            self._end("the file has its full size")
            return
        if self._lines.qsize() >= MAX_QUEUED_LINES:
            self._end("the disk does not keep up")
            return
        self._recorded_requests += 1
        self._recorded_bytes += len(line)
        self._lines.put(line)

    def _line(self, request: io.Request, size: int) -> str:
        row = TraceRow(
            self._clock.now() - self._started_at,
            request.service_class or NO_CLASS,
            request.tenant,
            self._recorded_key(request.key),
            size,
            request.budget_ms,
        )
        return format_row(row)

    def _recorded_key(self, key: str) -> str:
        if not key or self._key_mode is KeyMode.NONE:
            return ""
        if self._key_mode is KeyMode.HASHED:
            return blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES, key=self._secret).hexdigest()
        return key

    def _end(self, reason: str) -> None:
        """Record no more; what was recorded so far is a complete trace. reason: to be logged, if any."""
        if self.stopped:
            return
        self.stopped = True
        self._lines.put(f"{END_PREFIX}{self._recorded_requests}\n")
        self._lines.put(None)
        if reason:
            self._log.line("trace", f"{reason}; recording has ended with {self._recorded_requests} requests")

    def _check_writer(self) -> None:
        if self._write_error:
            self.stopped = True
            self._log_failure()
        elif not self.stopped:
            self._clock.call_later(WRITER_CHECK_S, self._check_writer)

    def _log_failure(self) -> None:
        if not self._failure_logged:
            self._failure_logged = True
            self._log.line("trace", f"{self._write_error}; recording has ended")

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """End the recording with the service: wait until queued lines are written, timeout_s at most."""
        self._end("")
        self.thread.join(timeout_s)
        if self.thread.is_alive():
            self._log.line("trace", f"not written to its end within {timeout_s:.1f} s: the disk hangs")
        elif self._write_error:
            self._log_failure()

    def _write(self) -> None:
        """Run in the thread: write lines in batches, until the end."""
        try:
            with self._file:
                while (line := self._lines.get()) is not None:
                    self._file.write(line)
                    if self._lines.empty():
                        self._file.flush()
        except OSError as error:
            self._write_error = str(error)
