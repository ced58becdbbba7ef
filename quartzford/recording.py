"""Records the requests that a balancer accepts as a trace, which the load generator can replay.

load/trace.py defines the format. A separate thread writes the lines, so that neither the event loop nor a
request waits for the disk; a disk error ends the recording but not the service. The trace contains no bodies
and no correlation ids. Idempotency keys are hashed with a secret of the recording, unless the operator
chooses plain keys or none.
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

MAX_QUEUED_LINES = 65_536  # lines that wait to be written
WRITER_CHECK_S = 0.5
CLOSE_TIMEOUT_S = 5.0
SECRET_BYTES = 16
KEY_DIGEST_BYTES = 8
NO_CLASS_FIELD = "-"  # of a request without a service class


class KeyMode(StrEnum):
    """How idempotency keys are recorded."""

    HASHED = "hashed"
    PLAIN = "plain"
    NONE = "none"


class Recorder:
    """Writes each request that the engine accepts to a trace file."""

    def __init__(self, path: str, keys: str, max_bytes: int, clock: Clock, log: Log) -> None:
        """Create the file and start the thread that writes it. Raises OSError if the file can't be created.

        keys: value of a KeyMode. max_bytes: size of the file at which the recording ends.
        """
        self.stopped = False  # True: no further requests are recorded
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
        self._write_error = ""  # set by the thread if a write fails
        self._failure_logged = False
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()  # None ends the thread
        self.thread = threading.Thread(target=self._write_lines, name="trace", daemon=True)
        self.thread.start()
        clock.call_later(WRITER_CHECK_S, self._check_writer)

    def record(self, request: io.Request, size: int) -> None:
        """Record an accepted request. size: of its body, in bytes."""
        if self.stopped:
            return
        line = self._format_line(request, size)
        if self._recorded_bytes + len(line) > self._max_bytes:
            self._end_recording("maximum file size reached")
            return
        if self._lines.qsize() >= MAX_QUEUED_LINES:
            self._end_recording("the disk is too slow")
            return
        self._recorded_requests += 1
        self._recorded_bytes += len(line)
        self._lines.put(line)

    def _format_line(self, request: io.Request, size: int) -> str:
        row = TraceRow(
            self._clock.now() - self._started_at,
            request.service_class or NO_CLASS_FIELD,
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

    def _end_recording(self, reason: str) -> None:
        """Stop recording and complete the trace with its end line. reason: logged unless empty."""
        if self.stopped:
            return
        self.stopped = True
        self._lines.put(f"{END_PREFIX}{self._recorded_requests}\n")
        self._lines.put(None)
        if reason:
            self._log.line("trace", f"{reason}; recording stopped after {self._recorded_requests} requests")

    def _check_writer(self) -> None:
        if self._write_error:
            self.stopped = True
            self._log_failure()
        elif not self.stopped:
            self._clock.call_later(WRITER_CHECK_S, self._check_writer)

    def _log_failure(self) -> None:
        if not self._failure_logged:
            self._failure_logged = True
            self._log.line("trace", f"{self._write_error}; recording stopped")

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Stop recording at the end of the service; wait up to timeout_s until queued lines are written."""
        self._end_recording("")
        self.thread.join(timeout_s)
        if self.thread.is_alive():
            self._log.line("trace", f"not completely written within {timeout_s:.1f} s: the disk hangs")
        elif self._write_error:
            self._log_failure()

    def _write_lines(self) -> None:
        """Write queued lines in the thread, and flush the file whenever the queue is empty."""
        try:
            with self._file:
                while (line := self._lines.get()) is not None:
                    self._file.write(line)
                    if self._lines.empty():
                        self._file.flush()
        except OSError as error:
            self._write_error = str(error)
