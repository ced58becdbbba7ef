"""Splits the bytes of a watch into the lines that discovery writes. No I/O.

A line is a JSON object, and an object that is written over several lines is one line. An empty line says
that nothing has changed.
"""

from __future__ import annotations

import re

MAX_LINE_BYTES = 16 * 1024 * 1024  # a list of 63,000 endpoints has 8.7 million bytes

OBJECT_START = re.compile(rb'\s*\{\s*(?:"|\Z)')  # an object that may yet become complete
STRING_LITERAL = re.compile(rb'"(?:[^"\\]|\\.)*"')


def opened_objects(line: bytes) -> int:
    """Objects that this line opens and leaves open; below 0 where it closes some of earlier lines."""
    if line.count(b"{") == line.count(b"}"):
        return 0
    without_strings = STRING_LITERAL.sub(b"", line)  # names may hold braces
    return without_strings.count(b"{") - without_strings.count(b"}")


class LineSplitter:
    """The bytes that have come and are not yet handed out as lines."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._depth = 0  # objects left open in the buffer before _scanned
        self._scanned = 0  # the buffer is counted up to here
        self._searched = 0  # no line ends before

    def feed(self, data: bytes) -> None:
        """Take bytes in."""
        self.buffer += data

    def too_long(self) -> bool:
        """Whether what waits is over MAX_LINE_BYTES."""
        return len(self.buffer) > MAX_LINE_BYTES

    def next_line(self) -> bytes | None:
        """The next line without its line ending; None until one is complete."""
        while (end := self.buffer.find(b"\n", self._searched)) >= 0:
            self._depth += opened_objects(bytes(self.buffer[self._scanned : end]))
            self._scanned = self._searched = end + 1
            if self._depth > 0 and OBJECT_START.match(self.buffer):
                continue  # over several lines: the next ones belong to it
            line = bytes(self.buffer[: end + 1]).strip()
            del self.buffer[: end + 1]
            self._scanned = self._searched = self._depth = 0
            return line
        self._searched = len(self.buffer)
        return None
