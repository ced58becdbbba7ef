"""Tests of the request parser of a relay and of the source monitor, without sockets."""

from __future__ import annotations

from typing import cast

import pytest

from quartzford.engine import Clock
from quartzford.relay.request import MAX_HEAD_BYTES, ListRequest, RequestError, RequestParser
from quartzford.relay.source_monitor import LATE_AFTER_S, LOST_AFTER_S, SourceMonitor, SourceState

PATH = "/catalog/members"
LIST_CALL = f"GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "index"),
    [
        (LIST_CALL, None),
        (f"GET {PATH}?stream=1 HTTP/1.1\r\n\r\n", 0),
        (f"GET {PATH}?stream=1&index=12 HTTP/1.1\r\n\r\n", 12),
        (f"GET http://relay:9301{PATH}?index=3&stream=1 HTTP/1.1\r\n\r\n", 3),
        (f"GET {PATH}?stream=0&index=x HTTP/1.1\r\n\r\n", None),
    ],
)
def test_request_in_parts_is_parsed_and_trailing_bytes_ignored(head: str, index: int | None) -> None:
    for part_bytes in (1, 7, len(head)):
        parser = RequestParser()
        data = head.encode()
        parts = [data[at : at + part_bytes] for at in range(0, len(data), part_bytes)]
        assert [parser.feed(part) for part in parts[:-1]] == [None] * (len(parts) - 1)
        assert parser.feed(parts[-1] + b"DELETE /else HTTP/1.1\r\n\r\n") == ListRequest(index)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("nonsense\r\n\r\n", 400),
        (f"GET {PATH}?stream=1&index=-1 HTTP/1.1\r\n\r\n", 400),
        (f"GET {PATH}?stream=1&index={'9' * 19} HTTP/1.1\r\n\r\n", 400),
        ("GET /else HTTP/1.1\r\n\r\n", 404),
        (f"POST {PATH} HTTP/1.1\r\n\r\n", 405),
        (f"GET {PATH} HTTP/1.1\r\nX: {'x' * MAX_HEAD_BYTES}", 431),
        (f"GET {PATH} HTTP/1.1\r\nX: {'x' * MAX_HEAD_BYTES}\r\n\r\n", 431),
    ],
)
def test_invalid_request_raises_its_status(head: str, status: int) -> None:
    with pytest.raises(RequestError) as raised:
        RequestParser().feed(head.encode())
    assert raised.value.status == status


class FixedClock:
    """A clock that the test sets."""

    time = 0.0

    def now(self) -> float:
        return self.time


def test_source_state_follows_age_of_last_line() -> None:
    clock = FixedClock()
    connected = True
    monitor = SourceMonitor(lambda: 10.0, lambda: connected, cast(Clock, clock))
    expected = {
        10.0 + LATE_AFTER_S: SourceState.CURRENT,
        10.01 + LATE_AFTER_S: SourceState.LATE,
        10.0 + LOST_AFTER_S: SourceState.LATE,
        10.01 + LOST_AFTER_S: SourceState.LOST,
    }
    for now, state in expected.items():
        clock.time = now
        assert monitor.state() is state
    monitor.start()
    assert monitor.state() is SourceState.LATE, "the start of the monitor counts as a line"
    connected = False
    clock.time = 10.0
    assert monitor.state() is SourceState.LATE, "without a watch the source may have restarted"
