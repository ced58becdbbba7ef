"""Traces: recorded or generated requests in a text format, one request per line. No I/O of its own.

    #quartzford-trace 1
    offset_us class tenant key size left_ms
    ...
    #end COUNT

Fields are separated by one tab, and '-' stands for an empty value. `offset_us` is in microseconds from the
beginning of the trace and never decreases. `size` is the length of the body in bytes. `left_ms` is the time
until the client's deadline, in milliseconds. Characters of class, tenant and key that would break a line are
percent-encoded. The last line holds the number of requests, and shows that the trace is complete.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from urllib.parse import quote, unquote

HEADER_PREFIX = "#quartzford-trace "
TRACE_VERSION = "1"
END_PREFIX = "#end "
NO_VALUE = "-"
FIELD_COUNT = 6
MAX_SIZE_BYTES, MAX_LEFT_MS = 32 * 1024 * 1024, 1e9
SAFE_CHARACTERS = "/:=@,;+*!$&'()[]~ "  # not percent-encoded, nor are letters, digits and "_.-"


class TraceError(ValueError):
    """A trace is invalid. The text names the line and the reason."""


class TraceRow(NamedTuple):
    """One request.

    offset: seconds from the beginning of the trace. size: the length of the body, in bytes. left_ms:
    milliseconds until the deadline; 0: the deadline of the class applies.
    """

    offset: float
    service_class: str
    tenant: str = ""
    key: str = ""
    size: int = 0
    left_ms: float = 0.0


def format_row(row: TraceRow) -> str:
    """Return the line of a row, with the line break."""
    offset_us = round(row.offset * 1e6)
    words = "\t".join(_encode(text) for text in (row.service_class, row.tenant, row.key))
    return f"{offset_us}\t{words}\t{row.size}\t{row.left_ms:g}\n"


def write_trace(rows: Iterable[TraceRow]) -> Iterator[str]:
    """Yield the lines of a trace, each with its line break."""
    yield f"{HEADER_PREFIX}{TRACE_VERSION}\n"
    count = 0
    for row in rows:
        yield format_row(row)
        count += 1
    yield f"{END_PREFIX}{count}\n"


def _encode(text: str) -> str:
    if text == NO_VALUE:
        return "%2D"
    return quote(text, safe=SAFE_CHARACTERS) or NO_VALUE


def read_trace(lines: Iterable[str]) -> Iterator[TraceRow]:
    """Yield the rows of a trace. Raises TraceError at the first invalid line."""
    reader = _Reader()
    for number, line in enumerate(lines, 1):
        row = reader.read(number, line.rstrip("\n"))
        if row is not None:
            yield row
    reader.finish()


class _Reader:
    """Reads a trace line by line, and checks that it is complete and in order."""

    def __init__(self) -> None:
        self._lines = 0
        self._rows = 0
        self._last_offset = 0.0
        self._ended = False

    def read(self, number: int, text: str) -> TraceRow | None:
        """Return the row of a line; None for the header and the end line. number: the line number, from 1."""
        self._lines = number
        if number == 1:
            _check_header(text)
            return None
        if self._ended:
            raise TraceError(f"line {number}: more follows after the end line")
        if text.startswith(END_PREFIX):
            self._read_end(number, text[len(END_PREFIX) :])
            return None
        row = _read_row(text, number)
        if row.offset < self._last_offset:
            raise TraceError(f"line {number}: earlier than the previous line")
        self._rows += 1
        self._last_offset = row.offset
        return row

    def finish(self) -> None:
        """Raise TraceError if the end line is missing."""
        if not self._lines:
            raise TraceError("line 1: not a trace")
        if not self._ended:
            raise TraceError(f"line {self._lines}: the trace is cut off, its end line is missing")

    def _read_end(self, number: int, count: str) -> None:
        if count != str(self._rows):
            raise TraceError(f"line {number}: {self._rows} requests, {count} expected")
        self._ended = True


def _check_header(text: str) -> None:
    if not text.startswith(HEADER_PREFIX):
        raise TraceError("line 1: not a trace")
    version = text[len(HEADER_PREFIX) :]
    if version != TRACE_VERSION:
        raise TraceError(f"line 1: version {version!r}, but {TRACE_VERSION} is the supported one")


def _read_row(text: str, number: int) -> TraceRow:
    fields = text.split("\t")
    if len(fields) != FIELD_COUNT:
        raise TraceError(f"line {number}: {len(fields)} fields, {FIELD_COUNT} expected")
    words = ["" if word == NO_VALUE else unquote(word) for word in fields[1:4]]
    if not words[0]:
        raise TraceError(f"line {number}: no class")
    try:
        offset_us, size, left_ms = int(fields[0]), int(fields[4]), float(fields[5])
    except ValueError:
        raise TraceError(f"line {number}: offset, size or time left is not a number") from None
    if offset_us < 0 or not 0 <= size <= MAX_SIZE_BYTES or not 0 <= left_ms <= MAX_LEFT_MS:
        raise TraceError(f"line {number}: offset, size or time left is out of bounds")
    return TraceRow(offset_us / 1e6, words[0], words[1], words[2], size, left_ms)
