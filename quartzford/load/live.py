"""A run as it goes on, in a terminal (rich)."""

from __future__ import annotations

from collections import Counter
from types import TracebackType
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from quartzford.load.record import quantile_ms

BARS = " .:-=+*#%@"
WIDTH = 60


class Sums:
    """What the workers told, by the second, added up. No terminal."""

    def __init__(self) -> None:
        self.seconds: dict[int, dict[int, tuple[float, float, Counter[int]]]] = {}  # second, worker
        self.sent = self.live = 0
        self.ends: Counter[str] = Counter()

    def add(self, told: list[dict[str, Any]]) -> None:
        self.sent = sum(one["sent"] for one in told)
        self.live = sum(one["live"] for one in told)
        self.ends = Counter()
        for worker, one in enumerate(told):
            self.ends.update(one["ends"])
            for second, (asked, got, steps) in one["recent"].items():
                self.seconds.setdefault(second, {})[worker] = (asked, got, Counter(steps))

    def row(self, second: int) -> tuple[float, int, float, float]:
        """Goodput, served, p50 and p99 in ms of what was due in a second."""
        parts = self.seconds.get(second, {}).values()
        steps: Counter[int] = sum((part[2] for part in parts), Counter())
        asked, got = sum(part[0] for part in parts), sum(part[1] for part in parts)
        share = got / asked if asked else 0.0
        return share, sum(steps.values()), quantile_ms(steps, 0.5), quantile_ms(steps, 0.99)


def bars(values: list[float], most: float) -> str:
    """A line of marks, one a value."""
    top = len(BARS) - 1
    return "".join(BARS[min(top, round(top * value / most))] if most else " " for value in values)


class View:
    """The live view. notes: lines of who runs it, such as what happens to a fleet."""

    def __init__(self, console: Console | None = None) -> None:
        self.sums = Sums()
        self.notes: list[str] = []
        self.live = Live(console=console or Console(), refresh_per_second=4, transient=True)

    def __enter__(self) -> View:
        self.live.__enter__()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.live.__exit__(kind, error, trace)

    def show(self, told: list[dict[str, Any]]) -> None:
        if told:
            self.sums.add(told)
            self.live.update(self.table())

    def table(self) -> Table:
        sums = self.sums
        last = max(sums.seconds, default=0)
        complete = max(0, last - 1)  # the last second that is over
        goodput, served, p50, p99 = sums.row(complete)
        out = Table.grid(padding=(0, 2))
        out.add_row("second", f"{complete}", "sent", f"{sums.sent}", "open", f"{sums.live}")
        out.add_row("served/s", f"{served}", "p50", f"{p50:.1f} ms", "p99", f"{p99:.1f} ms")
        shown = range(max(0, complete - WIDTH + 1), complete + 1)
        rows = [sums.row(second) for second in shown]
        grid = Table.grid(padding=(0, 2))
        grid.add_row("goodput", Text(bars([r[0] for r in rows], 1.0)), f"{goodput:.3f}")
        grid.add_row("served/s", Text(bars([r[1] for r in rows], max((r[1] for r in rows), default=0))), "")
        grid.add_row("p99", Text(bars([r[3] for r in rows], max((r[3] for r in rows), default=0))), "")
        ends = ", ".join(f"{name} {count}" for name, count in sorted(sums.ends.items()))
        whole_table = Table.grid()
        whole_table.add_row(out)
        whole_table.add_row(grid)
        for line in (f"ends: {ends}", *self.notes[-6:]):
            whole_table.add_row(Text(line))
        return whole_table
