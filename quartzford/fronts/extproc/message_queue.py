"""The order in which the deciding process handles a worker's messages. No I/O.

The bound is on this process's time alone, as others are on connections or bytes: a decision request that
waited too long the decision service rejects without a decision; what is handled in time, the decision module
judges. Ends (results, closed streams, expired decisions) go first, since each frees capacity; decision
requests go by their class's priority weight, the oldest first. No decision request follows its stream's end:
stream numbers are never used again on a channel.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from quartzford.fronts.extproc.channel_messages import DECISION_REQUEST, STREAM_CLOSED, Message


class MessageQueue:
    """Messages that wait. priority_weight: of a class by its name."""

    def __init__(self, priority_weight: Callable[[str], float]) -> None:
        self.priority_weight = priority_weight
        self.end_messages: deque[Message] = deque()
        self.decision_requests: dict[float, deque[Message]] = {}  # by priority weight
        self.request_counts: dict[int, int] = {}  # how many decision requests of a stream wait
        self.request_count = 0
        self.closed_streams: set[int] = set()  # streams that ended while their decision request waited

    def __len__(self) -> int:
        return len(self.end_messages) + self.request_count

    def add(self, message: Message) -> None:
        """Queue a message as it came from the channel."""
        if message[0] != DECISION_REQUEST:
            return self.end_messages.append(message)
        stream = message[1]
        self.request_counts[stream] = self.request_counts.get(stream, 0) + 1
        self.request_count += 1
        self.decision_requests.setdefault(self.priority_weight(message[4]), deque()).append(message)

    def next_message(self) -> Message | None:
        """The message to be handled now; None if nothing is left."""
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
