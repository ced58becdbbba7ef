"""The order in which the deciding process handles a worker's messages. No I/O.

Results, closed streams and expired decisions come first, since each of them frees capacity. Decision requests
follow, the highest priority weight of a class first, and the oldest first within a weight.

The queue itself rejects nothing. The decision service rejects decision requests that waited too long, without
asking the decision module: that bounds the time spent in this process, as other limits bound connections or
bytes. The decision module decides on all others. Decision requests of a closed stream are dropped; that is
safe because a channel never reuses a stream number.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from quartzford.fronts.extproc.channel_messages import DECISION_REQUEST, STREAM_CLOSED, Message


class MessageQueue:
    """Queued messages. priority_weight: returns the priority weight of the class with a given name."""

    def __init__(self, priority_weight: Callable[[str], float]) -> None:
        self.priority_weight = priority_weight
        self.end_messages: deque[Message] = deque()
        self.decision_requests: dict[float, deque[Message]] = {}  # by priority weight
        self.request_counts: dict[int, int] = {}  # queued decision requests by stream
        self.request_count = 0
        self.closed_streams: set[int] = set()  # closed while decision requests of theirs were queued

    def __len__(self) -> int:
        return len(self.end_messages) + self.request_count

    def add(self, message: Message) -> None:
        """Queue a message that arrived from the channel."""
        if message[0] != DECISION_REQUEST:
            return self.end_messages.append(message)
        stream = message[1]
        self.request_counts[stream] = self.request_counts.get(stream, 0) + 1
        self.request_count += 1
        self.decision_requests.setdefault(self.priority_weight(message[4]), deque()).append(message)

    def next_message(self) -> Message | None:
        """Remove and return the next message to handle; None if the queue is empty."""
        while len(self):
            message = self._pop()
            stream = message[1]
            if message[0] == STREAM_CLOSED and stream in self.request_counts:
                self.closed_streams.add(stream)
            if message[0] == DECISION_REQUEST and stream in self.closed_streams:
                if stream not in self.request_counts:
                    self.closed_streams.discard(stream)
                continue
            return message
        return None

    def _pop(self) -> Message:
        if self.end_messages:
            return self.end_messages.popleft()
        highest = max(weight for weight, queue in self.decision_requests.items() if queue)
        message = self.decision_requests[highest].popleft()
        if not self.decision_requests[highest]:
            del self.decision_requests[highest]
        self._decrement_count(message[1])
        return message

    def _decrement_count(self, stream: int) -> None:
        self.request_count -= 1
        remaining = self.request_counts[stream] - 1
        if remaining:
            self.request_counts[stream] = remaining
        else:
            del self.request_counts[stream]
