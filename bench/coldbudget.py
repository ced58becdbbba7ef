"""What a cold upstream may be sent in any span of the length that the settings name. No I/O."""

from __future__ import annotations

import math

FEW = 30.0  # below so many requests chance weighs more
CHANCE_OF_FEW, CHANCE = 3.0, 2.0


def cold_budget(allowed: float) -> float:
    """The most requests of mean work that a cold upstream may get in the span from all balancers together.

    allowed: N, the requests of mean work that the settings allow it then, which is the tip multiple times its
    present capacity times the span. Requests come at random, so the budget is N + 2 * sqrt(N) + 2, and for an
    N under 30 it is N + 3 * sqrt(N) + 3. ValueError: allowed is negative.
    """
    chance = CHANCE_OF_FEW if allowed < FEW else CHANCE
    return allowed + chance * math.sqrt(allowed) + chance
