"""What a relay counts for its summary line in the log."""

from __future__ import annotations

from enum import Enum


class Metric(Enum):
    """One counter; the value is its name in the log."""

    WATCHES = "watches"  # calls for a watch that were admitted
    LIST_CALLS = "list calls"  # calls for the list alone
    UPDATES = "changes"  # updates sent that hold changes alone
    COMPLETE_LISTS = "complete lists"  # complete lists whose sending has begun
    REJECTED = "rejected"  # calls rejected because the source is lost or the list's rate is used up
    FULL = "full"  # calls rejected because there are too many watches or connections
