"""A client's request, its attempts, and the HTTP/1.1 message that each attempt sends. No I/O."""

from __future__ import annotations

from quartzford.load.options import Target
from quartzford.load.plan import PlannedRequest

MIN_TIME_LEFT_MS = 1.0  # in X-Time-Left, so that the server never receives a value of 0


class ClientRequest:
    """A client's request with the state of its attempts. Times are seconds on the monotonic clock.

    intended_at: when the first attempt should be sent. attempts: the number of attempts started so far.
    number: the position among the worker's requests, from 1.
    """

    __slots__ = ("planned", "intended_at", "attempts", "number", "deadline")

    def __init__(self, planned: PlannedRequest, intended_at: float, number: int) -> None:
        self.planned = planned
        self.intended_at = intended_at
        self.attempts = 0
        self.number = number
        self.deadline = intended_at + planned.time_left_s


class ClientAttempt:
    """One attempt, on a connection or waiting for one. Times are seconds on the monotonic clock.

    intended_at: when the attempt should be sent. sent_at: when it was sent; 0: not sent yet. timeout_at: when
    the client cancels it. ended: True once its outcome is known. resent: True if it was sent a second time
    because the server had closed the first connection without reading the request.
    """

    __slots__ = ("request", "intended_at", "sent_at", "timeout_at", "ended", "resent")

    def __init__(self, request: ClientRequest, intended_at: float, timeout_at: float) -> None:
        self.request = request
        self.intended_at = intended_at
        self.sent_at = 0.0
        self.timeout_at = timeout_at
        self.ended = False
        self.resent = False


def attempt_id(worker_name: str, request: ClientRequest) -> str:
    """Return the correlation id of a request's latest attempt."""
    return f"{worker_name}{request.number:x}-{request.attempts}"


def request_message(target: Target, worker_name: str, attempt: ClientAttempt) -> bytes:
    """Return an attempt's complete message: GET for an idempotent request, otherwise POST with a body."""
    request, planned = attempt.request, attempt.request.planned
    request_class = planned.request_class
    method = "GET" if request_class.effect == "free" else "POST"
    time_left_ms = max(MIN_TIME_LEFT_MS, (request.deadline - attempt.intended_at) * 1000.0)
    head = (
        f"{method} {target.path} HTTP/1.1\r\nHost: {target.host}:{target.port}\r\n"
        f"X-Correlation-Id: {attempt_id(worker_name, request)}\r\n"
        f"X-Service-Class: {request_class.name}\r\nX-Time-Left: {time_left_ms:.0f}m\r\n{target.head}"
    )
    if planned.tenant:
        head += f"X-Account: {planned.tenant}\r\n"
    if planned.key:
        head += f"Cookie: sid={planned.key}\r\n"
    if request_class.effect == "keyed":
        head += f"Idempotency-Key: {worker_name}{request.number:x}\r\n"
    if request.attempts > 1:
        head += "X-Repeat: 1\r\n"
    if method == "GET":
        return head.encode() + b"\r\n"
    return f"{head}Content-Length: {planned.size}\r\n\r\n".encode() + b"x" * planned.size
