"""The frozen digests of the actions that the decision module answers to the streams of events.

One line for each stream and form of the figures ("lists" are Python's, "arrays" numpy's):
    sha256 count form seed plan
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from canonical import StreamDigest

FILE = Path(__file__).parent / "data" / "actions.sha256"


class Stream(NamedTuple):
    """One stream of events, played in one form of the figures."""

    plan: str
    seed: int
    form: str


def encode(digests: Iterable[tuple[Stream, StreamDigest]]) -> bytes:
    """The file's bytes."""
    lines = [f"{d.sha256} {d.count} {s.form} {s.seed} {s.plan}\n" for s, d in digests]
    return "".join(lines).encode()


def decode(data: bytes) -> dict[Stream, StreamDigest]:
    """The digests of a file's bytes."""
    digests = {}
    for line in data.decode().splitlines():
        sha256, count, form, seed, plan = line.split(" ", 4)
        digests[Stream(plan, int(seed), form)] = StreamDigest(int(count), sha256)
    return digests


def load() -> dict[Stream, StreamDigest]:
    """The frozen digests."""
    return decode(FILE.read_bytes())
