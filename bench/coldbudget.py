"""How many requests a cold upstream may get within any window of the length in the settings. No I/O."""

from __future__ import annotations

import math

FEW_REQUESTS = 30.0  # below so many, random arrivals weigh more
DEVIATIONS_OF_FEW, DEVIATIONS = 3.0, 2.0  # standard deviations that random arrivals are allowed


def cold_budget(allowed: float) -> float:
    """The most requests of mean work that a cold upstream may get in a window from all balancers together.

    allowed: N, the requests of mean work that the settings allow it then: the overload multiple times its
    present capacity times the window. Arrivals are random, so the budget is N + 2 * sqrt(N) + 2, and for an
    N under 30 it is N + 3 * sqrt(N) + 3. ValueError: allowed is negative.
    """
    deviations = DEVIATIONS_OF_FEW if allowed < FEW_REQUESTS else DEVIATIONS
    return allowed + deviations * math.sqrt(allowed) + deviations
