"""The counters in the summary line of a relay's log."""

from __future__ import annotations

from enum import Enum


class Metric(Enum):
    """One counter; the value is its name in the log."""

    WATCHES = "watches"  # watch calls that were admitted
    LIST_CALLS = "list calls"  # calls for the list without a watch
    UPDATES = "changes"  # updates sent that contain changes only
    COMPLETE_LISTS = "complete lists"  # complete lists whose transfer has begun
    REJECTED = (
        "rejected"  # calls rejected because the source is lost or the rate of list transfers is used up
    )
    AT_CAPACITY = "full"  # calls rejected because there are too many watches or connections
