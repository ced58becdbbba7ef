"""The worst moments between two summaries, which a figure at the time of a summary does not show."""

from __future__ import annotations


class Peaks:
    """Peaks since the last `reset`.

    hold_up_s: longest time for which the event loop did not run a timer that was due. lateness_s: of the
    final answer that was latest after its deadline; below 0 if all were early, -inf if there was none.
    """

    __slots__ = ("hold_up_s", "lateness_s")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin anew."""
        self.hold_up_s = 0.0
        self.lateness_s = float("-inf")

    def note_answer(self, lateness_s: float) -> None:
        """Note a final answer; lateness_s: seconds after its deadline, below 0 before."""
        if lateness_s > self.lateness_s:
            self.lateness_s = lateness_s

    def note_hold_up(self, seconds: float) -> None:
        """Note by how much a timer was late."""
        if seconds > self.hold_up_s:
            self.hold_up_s = seconds
