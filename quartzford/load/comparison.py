"""The table that compares two results of the load generator. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

PERCENTILES = ("p50", "p90", "p99", "p99.9", "p99.99", "max")


class _Row(NamedTuple):
    name: str
    first: float
    second: float

    def line(self) -> str:
        ratio = self.second / self.first if self.first else float("nan")
        return f"{self.name:28}{self.first:12.3f}{self.second:12.3f}{ratio:9.3f}"


def compare(first: dict[str, Any], second: dict[str, Any]) -> str:
    """Return a text table of two results A and B with the ratio B/A, and the problems of each."""
    lines = [f"{'':28}{'A':>12}{'B':>12}{'B/A':>9}"]
    lines += [row.line() for row in _rows(first, second)]
    for name, result in (("A", first), ("B", second)):
        lines += [f"! {name}: {text}" for text in result["trouble"]]
    return "\n".join(lines)


def _rows(first: dict[str, Any], second: dict[str, Any]) -> Iterator[_Row]:
    yield _Row("ended a second", first["rate"], second["rate"])
    for key in ("latency_ms", "service_ms"):
        first_percentiles, second_percentiles = first[key]["all"], second[key]["all"]
        for p in PERCENTILES:
            if p in first_percentiles and p in second_percentiles:
                yield _Row(f"{key} {p}", first_percentiles[p], second_percentiles[p])
    for name in first["goodput"]:
        yield _Row(f"goodput {name}", first["goodput"][name], second["goodput"][name])
