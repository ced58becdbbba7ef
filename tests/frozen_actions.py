"""Frozen digests of the actions that the decision module returns for the generated event streams.

The file has one line for each stream and storage form ("lists": Python lists, "arrays": numpy arrays):
    sha256 count form seed plan
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from canonical import StreamDigest

FILE = Path(__file__).parent / "data" / "actions.sha256"


class Stream(NamedTuple):
    """An event stream that is played to a module with one storage form of the server columns."""

    plan: str
    seed: int
    form: str


def encode(digests: Iterable[tuple[Stream, StreamDigest]]) -> bytes:
    """Return the bytes of the file."""
    lines = [f"{d.sha256} {d.count} {s.form} {s.seed} {s.plan}\n" for s, d in digests]
    return "".join(lines).encode()


def decode(data: bytes) -> dict[Stream, StreamDigest]:
    """Return the digests that the bytes of a file contain."""
    digests = {}
    for line in data.decode().splitlines():
        sha256, count, form, seed, plan = line.split(" ", 4)
        digests[Stream(plan, int(seed), form)] = StreamDigest(int(count), sha256)
    return digests


def load() -> dict[Stream, StreamDigest]:
    """Return the digests of the frozen file."""
    return decode(FILE.read_bytes())
