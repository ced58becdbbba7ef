"""Splits the byte stream of a watch into the lines that discovery writes. No I/O.

Each line is a JSON object. An object that is written over several text lines counts as one line. An empty
line means that nothing has changed.
"""

from __future__ import annotations

import re

MAX_LINE_BYTES = 16 * 1024 * 1024  # a list of 63,000 endpoints has 8.7 million bytes

OBJECT_START = re.compile(rb'\s*\{\s*(?:"|\Z)')  # start of an object that may still be incomplete
STRING_LITERAL = re.compile(rb'"(?:[^"\\]|\\.)*"')


def net_opened_objects(line: bytes) -> int:
    """Return the objects a line opens minus those it closes; negative if it closes earlier objects."""
    if line.count(b"{") == line.count(b"}"):
        return 0
    without_strings = STRING_LITERAL.sub(b"", line)  # names may contain braces
    return without_strings.count(b"{") - without_strings.count(b"}")


class LineSplitter:
    """Buffers received bytes until they form complete lines."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._depth = 0  # number of objects still open at _scanned
        self._scanned = 0  # braces of the buffer are counted up to this offset
        self._searched = 0  # no line ends before this offset

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self.buffer += data

    def too_long(self) -> bool:
        """Return whether the buffer holds more than MAX_LINE_BYTES."""
        return len(self.buffer) > MAX_LINE_BYTES

    def next_line(self) -> bytes | None:
        """Return the next line without its line ending, or None if no line is complete."""
        while (end := self.buffer.find(b"\n", self._searched)) >= 0:
            self._depth += net_opened_objects(bytes(self.buffer[self._scanned : end]))
            self._scanned = self._searched = end + 1
            if self._depth > 0 and OBJECT_START.match(self.buffer):
                continue  # the object continues on the next text lines
            line = bytes(self.buffer[: end + 1]).strip()
            del self.buffer[: end + 1]
            self._scanned = self._searched = self._depth = 0
            return line
        self._searched = len(self.buffer)
        return None
