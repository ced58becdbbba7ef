"""The channel between a gRPC worker and the deciding process: JSON arrays, one a line, over a Unix socket.

Up: ["ask", stream, at, ...DecisionRequest] (at: monotonic seconds, one clock for all processes of a machine),
["report", stream, ...AttemptResult], ["late", stream], ["drop", stream, unwritten], ["bound", port].
Down: [reply tag, stream, ...fields], ["names", {...}, longest_s], ["stop"]. When a channel is lost all its
streams are closed: the worker has died, and the attempts that its callers were given may run.
"""

from __future__ import annotations

from typing import Any

from quartzford.fronts.extproc.decision_messages import (
    DeadlineExceeded,
    Decision,
    Failed,
    Rejected,
    RequestOpened,
    ResponseForwarded,
    RetryOffered,
)

Message = list[Any]  # one line; its first field is one of the tags below

# A restarted worker may run newer code than the deciding process: the tags stay as they are, whatever the
# types are called.
DECISION_REQUEST = "ask"
ATTEMPT_RESULT = "report"
DECISION_EXPIRED = "late"
STREAM_CLOSED = "drop"
BOUND_PORT = "bound"
CONFIGURATION = "names"
STOP = "stop"
REPLY_TAGS: dict[type[Any], str] = {
    Decision: "Told",
    RequestOpened: "Opened",
    Rejected: "Refused",
    Failed: "Failed",
    ResponseForwarded: "Passed",
    RetryOffered: "Again",
    DeadlineExceeded: "Cut",
}
REPLIES: dict[str, type[Any]] = {tag: reply_type for reply_type, tag in REPLY_TAGS.items()}
