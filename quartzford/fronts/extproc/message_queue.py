"""The order in which the deciding process looks at what waits for it. No I/O.

A bound on this process alone, as others have one on connections or bytes: what it can't look at in time the
desk turns away, unread. What is looked at, the decision module judges. Ends (reports, drops, decisions not
written) go before asks, since each frees something; asks go by their class's worth, oldest first: a lack of
time costs the least.
No stream asks after its drop: their numbers are never used again on a line.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

Message = list[Any]  # as on the line: ["ask", stream, at, identity, class, ...], ["drop", stream], ...


class MessageQueue:
    """What waits. worth: of a class by its name."""

    def __init__(self, priority_weight: Callable[[str], float]) -> None:
        self.priority_weight = priority_weight
        self.end_messages: deque[Message] = deque()
        self.decision_requests: dict[float, deque[Message]] = {}
        self.requests_by_stream: dict[int, int] = {}  # asks by stream
        self.request_count = 0  # of the asks
        self.closed_streams: set[int] = set()  # streams that ended while their ask waited

    def __len__(self) -> int:
        return len(self.end_messages) + self.request_count

    def put(self, message: Message) -> None:
        if message[0] != "ask":
            return self.end_messages.append(message)
        stream = message[1]
        self.requests_by_stream[stream] = self.requests_by_stream.get(stream, 0) + 1
        self.request_count += 1
        self.decision_requests.setdefault(self.priority_weight(message[4]), deque()).append(message)

    def next(self) -> Message | None:
        """What is to be looked at now; None if nothing is left."""
        while len(self):
            message = self._pop()
            stream = message[1]
            if message[0] == "drop" and stream in self.requests_by_stream:
                self.closed_streams.add(stream)
            if message[0] == "ask" and stream in self.closed_streams:
                if stream not in self.requests_by_stream:
                    self.closed_streams.discard(stream)
                continue
            return message
        return None

    def _pop(self) -> Message:
        if self.end_messages:
            return self.end_messages.popleft()
        priority_weight = max(
            priority_weight for priority_weight, queue in self.decision_requests.items() if queue
        )
        message = self.decision_requests[priority_weight].popleft()
        if not self.decision_requests[priority_weight]:
            del self.decision_requests[priority_weight]
        self.request_count -= 1
        left = self.requests_by_stream[message[1]] - 1
        if left:
            self.requests_by_stream[message[1]] = left
        else:
            del self.requests_by_stream[message[1]]
        return message
