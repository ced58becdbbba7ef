"""Monotonic counters of one process. What increments each of them:

served    a complete answer of an upstream, or the last piece of a streamed one, was written to the client
refused   the client was answered that a retry is harmless (429, 503), by the decision module or before it
failed    the client was answered with a failure, or a streamed answer broke off
attempts  the last byte of a request was written to an upstream's connection, or a caller got the decision
rejected  an invalid request was rejected before the decision module; counted by status

A request whose client disconnected is in none of them. Requests are counted by the service class that they
state, if the settings define it; all others are counted together as OTHER.
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
    """How a request ended. Values are names of counters."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"  # after an exception or past its deadline; counted as failed
    CLIENT_DISCONNECTED = "client gone"  # not in the counters of this module


class RequestCounters:
    """The counters of one process."""

    def __init__(self) -> None:
        self.ended: dict[str, Counter[str]] = {
            RequestEnd.SERVED.value: Counter(),
            RequestEnd.REFUSED.value: Counter(),
            RequestEnd.FAILED.value: Counter(),
        }
        self.classes: Collection[str] = ()  # names that the settings define
        self.attempts = 0
        self.rejected: Counter[int] = Counter()
        self.reloads = {"ok": 0, "failed": 0}

    def count_end(self, end: str, service_class: str) -> None:
        """Count the end of a request. A class that the settings don't define is counted without its name."""
        self.ended[end][service_class if service_class in self.classes else NO_CLASS] += 1

    def count_rejection(self, status: int, service_class: str) -> None:
        """Count an answer made without the decision module; service_class: "" if the head was unreadable."""
        self.rejected[status] += 1
        if service_class:
            self.count_end(
                RequestEnd.REFUSED if status in SHED_STATUSES else RequestEnd.FAILED, service_class
            )

    def format_page(self, prefix: str, classes: Collection[str], gauges: Iterable[tuple[str, int]]) -> str:
        """Return counters and gauges, one `prefix.name=value` a line; classes: those the settings define."""
        lines = []
        for end, counts in self.ended.items():
            lines += [(f"{end}.{quote(name)}", counts[name]) for name in classes]
            unknown = sum(count for name, count in counts.items() if name not in classes)
            if unknown and OTHER not in classes:
                lines.append((f"{end}.{OTHER}", unknown))
        lines.append(("attempts", self.attempts))
        lines += [(f"rejected.{status}", count) for status, count in sorted(self.rejected.items())]
        lines += [(f"reloads_{result}", count) for result, count in self.reloads.items()]
        lines += gauges
        return "".join(f"{prefix}.{name}={value}\n" for name, value in lines)
