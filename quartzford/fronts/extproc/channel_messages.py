"""The channel between a gRPC worker and the deciding process: JSON arrays, one a line, over a Unix socket.

Worker to deciding process: ["ask", stream, at, ...DecisionRequest] (at: arrival in seconds on the monotonic
clock, which all processes of a machine share), ["report", stream, ...AttemptResult], ["late", stream],
["drop", stream, unwritten], ["bound", port].
Deciding process to worker: [reply tag, stream, ...fields], ["names", {...}, max_deadline_s], ["stop"].
If a channel is lost, all its streams are closed: the worker has died. Attempts whose decisions its callers
already received may still run.
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

Message = list[Any]  # one line of the channel; its first field is one of the tags below

# A restarted worker may run newer code than the deciding process. The tags therefore never change, even if
# the types are renamed.
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
