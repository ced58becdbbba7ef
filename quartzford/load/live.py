"""A run while it goes on, shown in a terminal (rich)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from types import TracebackType
from typing import NamedTuple

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from quartzford.load.record import SecondProgress, Weights, quantile_ms
from quartzford.load.worker import Progress

BAR_MARKS = " .:-=+*#%@"  # from none to the most
MAX_SECONDS_SHOWN = 60
MAX_NOTES_SHOWN = 6
REFRESHES_PER_SECOND = 4


class SecondSummary(NamedTuple):
    """What became of the requests that were due in one second, over all workers."""

    goodput: float
    served: int
    p50_ms: float
    p99_ms: float


class ProgressTotals:
    """The workers' reports added up, by the second. in_flight: requests that have not ended."""

    def __init__(self) -> None:
        self.sent = 0
        self.in_flight = 0
        self.outcomes: Counter[str] = Counter()
        self.seconds: dict[int, dict[int, SecondProgress]] = {}  # by second, by worker

    def update(self, reports: Sequence[Progress]) -> None:
        """Take in the latest report of each worker, in the same order each time."""
        self.sent = sum(report.sent for report in reports)
        self.in_flight = sum(report.in_flight for report in reports)
        self.outcomes = Counter()
        for worker, report in enumerate(reports):
            self.outcomes.update(report.outcomes)
            for second, progress in report.recent.items():
                self.seconds.setdefault(second, {})[worker] = progress

    def summary(self, second: int) -> SecondSummary:
        """Sum up one second; all 0 if nothing is known of it."""
        workers = self.seconds.get(second, {}).values()
        steps: Counter[int] = sum((Counter(one.latency_steps) for one in workers), Counter())
        weights = Weights(sum(one.offered for one in workers), sum(one.earned for one in workers))
        return SecondSummary(
            weights.goodput, sum(steps.values()), quantile_ms(steps, 0.5), quantile_ms(steps, 0.99)
        )


def bars(values: Sequence[float], most: float) -> str:
    """Return a line with one mark for each value. most: the value of the densest mark."""
    if not most:
        return " " * len(values)
    top = len(BAR_MARKS) - 1
    return "".join(BAR_MARKS[min(top, round(top * value / most))] for value in values)


class View:
    """The live view, shown within a `with` block. notes: lines below it, of whoever runs the load."""

    def __init__(self, console: Console | None = None) -> None:
        """console: where to show it; None: the terminal."""
        self.totals = ProgressTotals()
        self.notes: list[str] = []
        self._live = Live(
            console=console or Console(), refresh_per_second=REFRESHES_PER_SECOND, transient=True
        )

    def __enter__(self) -> View:
        self._live.__enter__()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._live.__exit__(kind, error, trace)

    def show(self, reports: Sequence[Progress]) -> None:
        """Show the latest report of each worker."""
        if reports:
            self.totals.update(reports)
            self._live.update(self.table())

    def table(self) -> Table:
        """Return what is shown. It ends with the last second that is over."""
        last = max(0, max(self.totals.seconds, default=0) - 1)
        table = Table.grid()
        table.add_row(self._figures(last))
        table.add_row(self._bars(last))
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.totals.outcomes.items()))
        for line in (f"ends: {outcomes}", *self.notes[-MAX_NOTES_SHOWN:]):
            table.add_row(Text(line))
        return table

    def _figures(self, second: int) -> Table:
        totals, summary = self.totals, self.totals.summary(second)
        grid = Table.grid(padding=(0, 2))
        grid.add_row("second", f"{second}", "sent", f"{totals.sent}", "open", f"{totals.in_flight}")
        p50, p99 = f"{summary.p50_ms:.1f} ms", f"{summary.p99_ms:.1f} ms"
        grid.add_row("served/s", f"{summary.served}", "p50", p50, "p99", p99)
        return grid

    def _bars(self, last: int) -> Table:
        first = max(0, last - MAX_SECONDS_SHOWN + 1)
        summaries = [self.totals.summary(second) for second in range(first, last + 1)]
        served = [float(one.served) for one in summaries]
        p99 = [one.p99_ms for one in summaries]
        grid = Table.grid(padding=(0, 2))
        goodput = Text(bars([one.goodput for one in summaries], 1.0))
        grid.add_row("goodput", goodput, f"{summaries[-1].goodput:.3f}")
        grid.add_row("served/s", Text(bars(served, max(served))), "")
        grid.add_row("p99", Text(bars(p99, max(p99))), "")
        return grid
