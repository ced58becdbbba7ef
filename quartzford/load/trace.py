"""Traces: one request a line, recorded or made, in a format of their own. No I/O but lines.

    #quartzford-trace 1
    offset_us class tenant key size left_ms
    ...
    #end COUNT

Fields are parted by one tab, '-' stands for none; offsets are microseconds from the trace's beginning and
never fall; `size` is the body's length in bytes, `left_ms` the time that the client gave. Class, tenant and
key are percent-encoded where they would break a line. The last line tells that nothing is missing.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from urllib.parse import quote, unquote

HEADER_PREFIX = "#quartzford-trace "
VERSION = "1"
END_PREFIX = "#end "
MOST_SIZE, MOST_LEFT_MS = 32 * 1024 * 1024, 1e9


class TraceError(ValueError):
    """A trace that can't be used; the text names the line and the reason."""


class TraceRow(NamedTuple):
    """One request. offset: seconds."""

    offset: float
    service_class: str
    tenant: str = ""
    key: str = ""
    size: int = 0
    left_ms: float = 0.0


def _word(text: str) -> str:
    if text == "-":
        return "%2D"
    return quote(text, safe="/:=@,;+*!$&'()[]~ ") or "-"


def format_row(row: TraceRow) -> str:
    """A row as its line, with the line break."""
    words = (_word(row.service_class), _word(row.tenant), _word(row.key))
    return f"{round(row.offset * 1e6)}\t{words[0]}\t{words[1]}\t{words[2]}\t{row.size}\t{row.left_ms:g}\n"


def write_trace(rows: Iterable[TraceRow]) -> Iterator[str]:
    """The lines of a trace, each with its line break."""
    yield f"{HEADER_PREFIX}{VERSION}\n"
    count = 0
    for row in rows:
        yield format_row(row)
        count += 1
    yield f"{END_PREFIX}{count}\n"


def _row(text: str, number: int) -> TraceRow:
    fields = text.split("\t")
    if len(fields) != 6:
        raise TraceError(f"line {number}: {len(fields)} fields, 6 wanted")
    words = ["" if word == "-" else unquote(word) for word in fields[1:4]]
    if not words[0]:
        raise TraceError(f"line {number}: no class")
    try:
        offset, size, left = int(fields[0]), int(fields[4]), float(fields[5])
    except ValueError:
        raise TraceError(f"line {number}: offset, size or time left is not a number") from None
    if offset < 0 or not 0 <= size <= MOST_SIZE or not 0 <= left <= MOST_LEFT_MS:
        raise TraceError(f"line {number}: offset, size or time left is out of bounds")
    return TraceRow(offset / 1e6, words[0], words[1], words[2], size, left)


def read_trace(lines: Iterable[str]) -> Iterator[TraceRow]:
    """The rows of a trace; TraceError at the first line that breaks it."""
    count, last, ended, number = 0, 0.0, False, 0
    for number, line in enumerate(lines, 1):
        text = line.rstrip("\n")
        if number == 1:
            if not text.startswith(HEADER_PREFIX):
                raise TraceError("line 1: not a trace")
            if text[len(HEADER_PREFIX) :] != VERSION:
                raise TraceError(
                    f"line 1: version {text[len(HEADER_PREFIX) :]!r}, {VERSION} is what can be read"
                )
            continue
        if ended:
            raise TraceError(f"line {number}: more follows the end")
        if text.startswith(END_PREFIX):
            if text[len(END_PREFIX) :] != str(count):
                raise TraceError(f"line {number}: {count} requests, {text[len(END_PREFIX) :]} are said")
            ended = True
            continue
        row = _row(text, number)
        if row.offset < last:
            raise TraceError(f"line {number}: earlier than the line before")
        count, last = count + 1, row.offset
        yield row
    if not number:
        raise TraceError("line 1: not a trace")
    if not ended:
        raise TraceError(f"line {number}: the trace is cut off")
