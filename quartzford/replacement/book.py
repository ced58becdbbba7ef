"""Who is out by hand, on file: for a successor that the process before can no longer tell.

A ban holds until it is called off, over an upgrade too, also where the old process hangs or is killed while
its successor starts. The file lies under $TMPDIR, which the platform empties at each start but a replacement.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress

import msgspec

from quartzford.atomic_file import remove_leftovers, replace_file

MOST_BYTES = 1024 * 1024


class Page(msgspec.Struct):
    """The file's form."""

    format: int
    out: list[str]


def read_book(path: str) -> list[str]:
    """Names; none where there is no file, or one that can't be read."""
    try:
        with open(path, "rb") as file:
            page: Page = msgspec.json.decode(file.read(MOST_BYTES), type=Page)
    except (OSError, msgspec.MsgspecError):
        return []
    return page.out if page.format == 1 else []


def write_book(path: str, names: Iterable[str]) -> None:
    """Whole or not at all: a reader sees the page before or this one. OSError where it can't be written.

    It is not waited for the disk: the file has to outlive the process, not the machine.
    """
    with suppress(OSError):
        remove_leftovers(path)
    replace_file(path, msgspec.json.encode(Page(1, sorted(names))), synced=False)
