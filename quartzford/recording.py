"""The access log as a trace: what was asked of this balancer, so that a morning can be played again.

The format is that of load/trace.py. Lines are handed to a thread that writes them: neither the event loop nor
a request ever waits for the disk, and a disk that fails ends the recording, not the service. What is written
holds no body and no correlation id; keys are hashed under a secret of this recording unless the operator
wants them plain or none at all.
"""

from __future__ import annotations

import os
import queue
import threading
from hashlib import blake2b
from pathlib import Path

from quartzford.decision import interface as io
from quartzford.engine import Clock, Log
from quartzford.load.trace import END, HEAD, VERSION, Row, line_of

KEY_MODES = ("hashed", "plain", "none")
MAX_QUEUED_LINES = 65_536  # lines that may wait for the disk
WRITER_CHECK_S = 0.5
CLOSE_TIMEOUT_S = 5.0


class Recorder:
    """Writes each request that the engine takes. keys: one of KEYS; most_bytes: the file's bound."""

    def __init__(self, path: str, keys: str, max_bytes: int, clock: Clock, log: Log) -> None:
        """OSError if the file can't be made."""
        self.clock, self.log, self.keys, self.max_bytes = clock, log, keys, max_bytes
        self.file = Path(path).open("w", encoding="ascii", newline="\n")  # noqa: SIM115
        self.file.write(f"{HEAD}{VERSION}\n")
        self.secret = os.urandom(16)
        self.begun = clock.now()
        self.count = self.bytes = 0
        self.write_error = ""  # why it ended before the service did
        self.stopped = self.failure_logged = False
        self.lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._write, name="trace", daemon=True)
        self.thread.start()
        clock.call_later(WRITER_CHECK_S, self._look)

    def record(self, request: io.Request, size: int) -> None:
        """A request has been taken; size: of its body, in bytes."""
        if self.stopped:
            return
        key = request.key
        if self.keys == "none":
            key = ""
        elif key and self.keys == "hashed":
            key = blake2b(key.encode(), digest_size=8, key=self.secret).hexdigest()
        row = Row(
            self.clock.now() - self.begun,
            request.service_class or "-",
            request.tenant,
            key,
            size,
            request.budget_ms,
        )
        line = line_of(row)
        if self.bytes + len(line) > self.max_bytes:
            return self._end("the file has its full size")
        if self.lines.qsize() >= MAX_QUEUED_LINES:
            return self._end("the disk does not keep up")
        self.count += 1
        self.bytes += len(line)
        self.lines.put(line)

    def _end(self, why: str) -> None:
        """No more; what was taken so far is a whole trace."""
        if not self.stopped:
            self.stopped = True
            self.lines.put(f"{END}{self.count}\n")
            self.lines.put(None)
            if why:
                self.log.line("trace", f"{why}; recording has ended with {self.count} requests")

    def _look(self) -> None:
        if self.write_error:
            self.stopped = True
            return self._log_failure()
        if not self.stopped:
            self.clock.call_later(WRITER_CHECK_S, self._look)

    def _log_failure(self) -> None:
        if not self.failure_logged:
            self.failure_logged = True
            self.log.line("trace", f"{self.write_error}; recording has ended")

    def close(self, within_s: float = CLOSE_TIMEOUT_S) -> None:
        """The service ends: what waits is written, in so many seconds; a disk that hangs gets no more."""
        self._end("")
        self.thread.join(within_s)
        if self.thread.is_alive():
            self.log.line("trace", f"not written to its end within {within_s:.1f} s: the disk hangs")
        elif self.write_error:
            self._log_failure()

    def _write(self) -> None:
        """The thread: lines in batches, until the end."""
        try:
            with self.file:
                while (line := self.lines.get()) is not None:
                    self.file.write(line)
                    if self.lines.empty():
                        self.file.flush()
        except OSError as error:
            self.write_error = str(error)
