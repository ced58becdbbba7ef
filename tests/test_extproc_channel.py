"""A worker's channel to the deciding process: the order of messages under overload, and lost channels."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import uvloop
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from test_extproc_decisions import ServiceTestbed

from quartzford.fronts.extproc.decision_messages import DecisionRequest
from quartzford.fronts.extproc.message_queue import MessageQueue
from quartzford.fronts.extproc.service_channel import ServiceChannel


class RecordingTransport:
    """A transport that records written messages."""

    def __init__(self) -> None:
        self.written: list[Any] = []
        self.reading = True

    def write(self, data: bytes) -> None:
        self.written += [json.loads(line) for line in data.splitlines()]

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def encode_lines(*messages: Any) -> bytes:
    return b"".join(json.dumps(m).encode() + b"\n" for m in messages)


def request_message(number: int, at: float, name: str, identity: str = "") -> list[Any]:
    return ["ask", number, at, *DecisionRequest(identity or f"c{number}", name, 500.0)]


def run_on_loop(test: Any) -> None:
    async def main() -> None:
        testbed = ServiceTestbed()
        channel = ServiceChannel(testbed.service, testbed.log, set(), lambda: ("names", {}, 1.0))
        transport = RecordingTransport()
        channel.connection_made(transport)  # type: ignore[arg-type]
        await asyncio.sleep(0)
        transport.written.clear()
        await test(testbed, channel, transport)

    uvloop.run(main())


def test_channel_lines_in_fragments_are_answered() -> None:
    async def test(testbed: ServiceTestbed, channel: ServiceChannel, transport: RecordingTransport) -> None:
        data = encode_lines(request_message(1, testbed.clock.at, "pay"))
        for at in range(0, len(data), 9):
            channel.data_received(data[at : at + 9])
        await asyncio.sleep(0)
        assert [m[:2] for m in transport.written] == [["Told", 1]]
        channel.data_received(encode_lines(["report", 1, "ok", [], False], ["drop", 1, False]))
        await asyncio.sleep(0)
        assert (
            transport.written[1:] == [["Passed", 1]] and not channel.streams and not testbed.service.requests
        )

    run_on_loop(test)


def test_queue_handles_ends_first_then_requests_by_priority() -> None:
    async def test(testbed: ServiceTestbed, channel: ServiceChannel, transport: RecordingTransport) -> None:
        channel.data_received(encode_lines(request_message(1, testbed.clock.at, "pay")))
        channel.turn_scheduled = True  # as if a turn were running: messages queue until the next one
        now = testbed.clock.at
        channel.data_received(
            encode_lines(
                request_message(2, now, "read"),
                request_message(3, now, "pay"),
                request_message(4, now, "book"),
            )
        )
        channel.data_received(encode_lines(["report", 1, "ok", [], False]))
        channel._run_turn()
        await asyncio.sleep(0)
        assert [m[1] for m in transport.written] == [1, 1, 3, 4, 2]
        assert transport.written[1][0] == "Passed"

    run_on_loop(test)


def test_request_of_closed_stream_is_dropped() -> None:
    async def test(testbed: ServiceTestbed, channel: ServiceChannel, transport: RecordingTransport) -> None:
        channel.turn_scheduled = True
        channel.data_received(
            encode_lines(request_message(1, testbed.clock.at, "pay"), ["drop", 1, False], ["drop", 9, False])
        )
        channel._run_turn()
        await asyncio.sleep(0)
        assert (
            not transport.written
            and not testbed.engine.pending_requests
            and not channel.queue.closed_streams
            and not channel.streams
        )

    run_on_loop(test)


def test_all_requests_of_closed_stream_are_dropped() -> None:
    """A stream with a completed request sends two more requests and closes.

    Handling one of them after the close reopened the stream, which was then never closed.
    """

    async def test(testbed: ServiceTestbed, channel: ServiceChannel, transport: RecordingTransport) -> None:
        now = testbed.clock.at
        channel.data_received(encode_lines(request_message(1, now, "pay")))
        channel.data_received(encode_lines(["report", 1, "ok", [], False]))
        channel.turn_scheduled = True
        channel.data_received(
            encode_lines(
                request_message(1, now, "pay", "c5"),
                request_message(1, now, "read", "c6"),
                ["drop", 1, False],
            )
        )
        channel._run_turn()
        await asyncio.sleep(0)
        assert len(transport.written) == 2 and not channel.streams and not testbed.service.requests
        assert (
            not len(channel.queue) and not channel.queue.closed_streams and not channel.queue.request_counts
        )

    run_on_loop(test)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("ask", "report", "drop", "next")),
            st.integers(1, 4),
            st.sampled_from(("a", "b", "c")),
        ),
        max_size=60,
    )
)
@budget(max_examples=300, deadline=None, derandomize=True, database=None)
def test_message_queue_returns_each_message_once_in_order(steps: list[Any]) -> None:
    priority_weight = {"a": 1.0, "b": 5.0, "c": 10.0}
    queue, added, received = MessageQueue(priority_weight.__getitem__), [], []
    dropped: set[int] = set()
    for number, (tag, stream, name) in enumerate([*steps, *[("next", 0, "a")] * 70]):
        if tag != "next":
            if stream in dropped:
                continue
            if tag == "drop":
                dropped.add(stream)
            added.append([tag, stream, number, "id", name])
            queue.add(added[-1])
            continue
        queued_before = list(queue.end_messages), {w: list(q) for w, q in queue.decision_requests.items()}
        message = queue.next_message()
        if message is None:
            continue
        received.append(message)
        if message[0] == "ask":
            assert not queued_before[0], "a decision request was handled before an end"
            higher = [m for w, q in queued_before[1].items() if w > priority_weight[message[4]] for m in q]
            assert all(
                m[1] in queue.closed_streams or m[1] in dropped for m in higher
            ), "not in the order of priority weights"
    assert not len(queue) and not queue.closed_streams and not queue.request_counts
    ends = [m for m in added if m[0] != "ask"]
    assert [m for m in received if m[0] != "ask"] == ends, "an end was lost or out of order"
    for message in added:
        if message[0] == "ask" and message not in received:
            later = [m for m in added if m[0] == "drop" and m[1] == message[1] and m[2] > message[2]]
            assert later, "a decision request of an open stream was lost"


def test_overload_pauses_reading_and_rejects_late_requests() -> None:
    async def test(testbed: ServiceTestbed, channel: ServiceChannel, transport: RecordingTransport) -> None:
        channel.turn_scheduled = True
        old_arrival_s = testbed.clock.at - 0.2
        channel.data_received(
            encode_lines(*(request_message(n, old_arrival_s, "read") for n in range(10_000)))
        )
        assert not transport.reading
        channel._run_turn()
        while channel.turn_scheduled:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert transport.reading and len(transport.written) == 10_000
        assert {m[0] for m in transport.written} == {"Refused"} and not testbed.engine.pending_requests

    run_on_loop(test)


def test_lost_channel_closes_streams_and_bad_message_is_ignored() -> None:
    async def test(testbed: ServiceTestbed, channel: ServiceChannel, transport: RecordingTransport) -> None:
        channel.data_received(
            encode_lines(
                request_message(1, testbed.clock.at, "pay"), request_message(2, testbed.clock.at, "read")
            )
        )
        testbed.log.exception = lambda where: testbed.log.lines.append(where)  # type: ignore[method-assign]
        channel.data_received(encode_lines(["report", 77, "ok", [], False], ["odd", 1]))
        assert len(testbed.service.requests) == 2
        channel.connection_lost(None)
        testbed.clock.pass_time(1.0)
        assert not testbed.service.requests and testbed.engine.counts["client gone"] == 2
        assert testbed.service.completed["c1"].never_ran is False

    run_on_loop(test)
