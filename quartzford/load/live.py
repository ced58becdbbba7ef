"""The live view of a run in a terminal; needs the package rich."""

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

BAR_MARKS = " .:-=+*#%@"  # from zero to the maximum value
MAX_SECONDS_SHOWN = 60
MAX_NOTES_SHOWN = 6
REFRESHES_PER_SECOND = 4


class SecondSummary(NamedTuple):
    """Goodput, served requests and latencies of the requests due in one second, over all workers."""

    goodput: float
    served: int
    p50_ms: float
    p99_ms: float


class ProgressTotals:
    """The totals of the workers' progress reports, and the progress by second and worker.

    in_flight: requests that were sent and have no outcome yet.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.in_flight = 0
        self.outcomes: Counter[str] = Counter()
        self.seconds: dict[int, dict[int, SecondProgress]] = {}  # by second, by worker

    def update(self, reports: Sequence[Progress]) -> None:
        """Replace the totals by those of the latest reports, one for each worker.

        The reports must be in the same order of workers at each call.
        """
        self.sent = sum(report.sent for report in reports)
        self.in_flight = sum(report.in_flight for report in reports)
        self.outcomes = Counter()
        for worker, report in enumerate(reports):
            self.outcomes.update(report.outcomes)
            for second, progress in report.recent.items():
                self.seconds.setdefault(second, {})[worker] = progress

    def summary(self, second: int) -> SecondSummary:
        """Return the summary of one second over all workers; all values are 0 if no report covers it."""
        workers = self.seconds.get(second, {}).values()
        steps: Counter[int] = sum((Counter(one.latency_steps) for one in workers), Counter())
        weights = Weights(sum(one.offered for one in workers), sum(one.earned for one in workers))
        return SecondSummary(
            weights.goodput, sum(steps.values()), quantile_ms(steps, 0.5), quantile_ms(steps, 0.99)
        )


def bars(values: Sequence[float], max_value: float) -> str:
    """Return a line of text with one mark per value; a denser mark stands for a higher value.

    max_value: the value that gets the densest mark; higher values get it too.
    """
    if not max_value:
        return " " * len(values)
    max_mark = len(BAR_MARKS) - 1
    return "".join(BAR_MARKS[min(max_mark, round(max_mark * value / max_value))] for value in values)


class View:
    """The live view, shown within a `with` block.

    notes: lines below the figures, set by the caller; the last MAX_NOTES_SHOWN are shown.
    """

    def __init__(self, console: Console | None = None) -> None:
        """Create a view that is not shown yet. console: the output; None: the terminal."""
        self.totals = ProgressTotals()
        self.notes: list[str] = []
        self._live = Live(
            console=console or Console(), refresh_per_second=REFRESHES_PER_SECOND, transient=True
        )

    def __enter__(self) -> View:
        self._live.__enter__()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._live.__exit__(error_type, error, traceback)

    def show(self, reports: Sequence[Progress]) -> None:
        """Update the view with the latest report of each worker; an empty sequence changes nothing."""
        if reports:
            self.totals.update(reports)
            self._live.update(self.table())

    def table(self) -> Table:
        """Return the content of the view, up to the second before the latest reported one.

        The latest reported second is left out because it may not be over.
        """
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
