"""Counts that only grow, from the start of the process. What each means and when it moves:

served    a complete answer of an upstream has been handed to the client's connection, or its last piece
refused   the client was answered that a retry is harmless (429, 503), whoever decided it
failed    the client was answered with a failure, or an answer that had begun to be passed on broke
attempts  the last byte of a request has gone into an upstream's connection
rejected  what was not a valid request was rejected before the decision module, by status

A request whose client left is in none of them. The class is the one that the request named, if the settings
know it; others are counted together as OTHER.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from enum import StrEnum
from urllib.parse import quote

OTHER = "other"
NO_CLASS = ""
SHED_STATUSES = (429, 503)


class RequestEnd(StrEnum):
    """How a request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"  # by an exception, or its deadline; counted as failed
    CLIENT_GONE = "client gone"  # counted nowhere


class RequestCounters:
    """The counts of one process."""

    def __init__(self) -> None:
        self.ended: dict[str, Counter[str]] = {
            RequestEnd.SERVED.value: Counter(),
            RequestEnd.REFUSED.value: Counter(),
            RequestEnd.FAILED.value: Counter(),
        }
        self.classes: Collection[str] = ()  # those that the settings know
        self.attempts = 0
        self.rejected: Counter[int] = Counter()
        self.reloads = {"ok": 0, "failed": 0}

    def end(self, how: str, service_class: str) -> None:
        """A request has ended; a class that the settings don't know is counted without its name."""
        self.ended[how][service_class if service_class in self.classes else NO_CLASS] += 1

    def count_rejection(self, status: int, service_class: str) -> None:
        """An answer made before the module; service_class: the class, "" where its head could not be read."""
        self.rejected[status] += 1
        if service_class:
            self.end(RequestEnd.REFUSED if status in SHED_STATUSES else RequestEnd.FAILED, service_class)

    def format_page(self, prefix: str, classes: Collection[str], gauges: Iterable[tuple[str, int]]) -> str:
        """The counts and gauges, one `prefix.name=value` a line; classes: those that the settings know."""
        lines = []
        for how, counts in self.ended.items():
            lines += [(f"{how}.{quote(name)}", counts[name]) for name in classes]
            unknown = sum(count for name, count in counts.items() if name not in classes)
            if unknown and OTHER not in classes:
                lines.append((f"{how}.{OTHER}", unknown))
        lines.append(("attempts", self.attempts))
        lines += [(f"rejected.{status}", count) for status, count in sorted(self.rejected.items())]
        lines += [(f"reloads_{how}", count) for how, count in self.reloads.items()]
        lines += gauges
        return "".join(f"{prefix}.{name}={value}\n" for name, value in lines)
