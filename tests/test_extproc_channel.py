"""The channel of a worker to the deciding process: what an overload delays, and what it must not."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import uvloop
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from test_extproc_decisions import World

from quartzford.fronts.extproc.decision_messages import DecisionRequest
from quartzford.fronts.extproc.message_queue import MessageQueue
from quartzford.fronts.extproc.service_channel import ServiceChannel


class Pipe:
    """A transport that keeps what is written."""

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


def up(*messages: Any) -> bytes:
    return b"".join(json.dumps(m).encode() + b"\n" for m in messages)


def request_message(number: int, at: float, name: str, identity: str = "") -> list[Any]:
    return ["ask", number, at, *DecisionRequest(identity or f"c{number}", name, 500.0)]


def on_loop(test: Any) -> None:
    async def main() -> None:
        world = World()
        line = ServiceChannel(world.service, world.log, set(), lambda: ("names", {}, 1.0))
        pipe = Pipe()
        line.connection_made(pipe)  # type: ignore[arg-type]
        await asyncio.sleep(0)
        pipe.written.clear()
        await test(world, line, pipe)

    uvloop.run(main())


def test_lines_in_pieces_and_their_replies() -> None:
    async def test(world: World, line: ServiceChannel, pipe: Pipe) -> None:
        data = up(request_message(1, world.clock.at, "pay"))
        for at in range(0, len(data), 9):
            line.data_received(data[at : at + 9])
        await asyncio.sleep(0)
        assert [m[:2] for m in pipe.written] == [["Told", 1]]
        line.data_received(up(["report", 1, "ok", [], False], ["drop", 1, False]))
        await asyncio.sleep(0)
        assert pipe.written[1:] == [["Passed", 1]] and not line.streams and not world.service.requests

    on_loop(test)


def test_ends_go_before_decision_requests_and_these_by_priority_weight() -> None:
    async def test(world: World, line: ServiceChannel, pipe: Pipe) -> None:
        line.data_received(up(request_message(1, world.clock.at, "pay")))
        line.working = True  # a turn is under way: what comes now waits
        now = world.clock.at
        line.data_received(
            up(
                request_message(2, now, "read"),
                request_message(3, now, "pay"),
                request_message(4, now, "book"),
            )
        )
        line.data_received(up(["report", 1, "ok", [], False]))
        line._work()
        await asyncio.sleep(0)
        assert [m[1] for m in pipe.written] == [1, 1, 3, 4, 2]
        assert pipe.written[1][0] == "Passed"

    on_loop(test)


def test_a_stream_that_closed_before_its_decision_request_was_handled_opens_nothing() -> None:
    async def test(world: World, line: ServiceChannel, pipe: Pipe) -> None:
        line.working = True
        line.data_received(
            up(request_message(1, world.clock.at, "pay"), ["drop", 1, False], ["drop", 9, False])
        )
        line._work()
        await asyncio.sleep(0)
        assert (
            not pipe.written
            and not world.engine.pending_requests
            and not line.queue.closed_streams
            and not line.streams
        )

    on_loop(test)


def test_a_closed_stream_takes_all_its_waiting_decision_requests() -> None:
    """A stream that was known and asked again once came back to life, and was never dropped."""

    async def test(world: World, line: ServiceChannel, pipe: Pipe) -> None:
        now = world.clock.at
        line.data_received(up(request_message(1, now, "pay")))
        line.data_received(up(["report", 1, "ok", [], False]))
        line.working = True
        line.data_received(
            up(
                request_message(1, now, "pay", "c5"),
                request_message(1, now, "read", "c6"),
                ["drop", 1, False],
            )
        )
        line._work()
        await asyncio.sleep(0)
        assert len(pipe.written) == 2 and not line.streams and not world.service.requests
        assert not len(line.queue) and not line.queue.closed_streams and not line.queue.requests_by_stream

    on_loop(test)


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
def test_the_message_queue_gives_each_message_once_in_its_order(steps: list[Any]) -> None:
    priority_weight = {"a": 1.0, "b": 5.0, "c": 10.0}
    queue, put, got = MessageQueue(priority_weight.__getitem__), [], []
    dropped: set[int] = set()
    for number, (what, stream, name) in enumerate([*steps, *[("next", 0, "a")] * 70]):
        if what != "next":
            if stream in dropped:
                continue
            if what == "drop":
                dropped.add(stream)
            put.append([what, stream, number, "id", name])
            queue.put(put[-1])
            continue
        before = list(queue.end_messages), {w: list(q) for w, q in queue.decision_requests.items()}
        message = queue.next()
        if message is None:
            continue
        got.append(message)
        if message[0] == "ask":
            assert not before[0], "an ask went before an end"
            higher = [m for w, q in before[1].items() if w > priority_weight[message[4]] for m in q]
            assert all(
                m[1] in queue.closed_streams or m[1] in dropped for m in higher
            ), "not by priority weight"
    assert not len(queue) and not queue.closed_streams and not queue.requests_by_stream
    ends = [m for m in put if m[0] != "ask"]
    assert [m for m in got if m[0] != "ask"] == ends, "an end was lost, or out of order"
    for message in put:
        if message[0] == "ask" and message not in got:
            later = [m for m in put if m[0] == "drop" and m[1] == message[1] and m[2] > message[2]]
            assert later, "an ask was lost whose stream was not dropped"


def test_an_overload_stops_reading_and_rejects_what_waited() -> None:
    async def test(world: World, line: ServiceChannel, pipe: Pipe) -> None:
        line.working = True
        old = world.clock.at - 0.2
        line.data_received(up(*(request_message(n, old, "read") for n in range(10_000))))
        assert not pipe.reading
        line._work()
        while line.working:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert pipe.reading and len(pipe.written) == 10_000
        assert {m[0] for m in pipe.written} == {"Refused"} and not world.engine.pending_requests

    on_loop(test)


def test_a_lost_channel_closes_its_streams_and_a_bad_message_spoils_nothing() -> None:
    async def test(world: World, line: ServiceChannel, pipe: Pipe) -> None:
        line.data_received(
            up(request_message(1, world.clock.at, "pay"), request_message(2, world.clock.at, "read"))
        )
        world.log.exception = lambda where: world.log.lines.append(where)  # type: ignore[method-assign]
        line.data_received(up(["report", 77, "ok", [], False], ["odd", 1]))
        assert len(world.service.requests) == 2
        line.connection_lost(None)
        world.clock.pass_time(1.0)
        assert not world.service.requests and world.engine.counts["client gone"] == 2
        assert world.service.completed["c1"].never_ran is False

    on_loop(test)
