"""One worker of the load generator over sockets: servers of known delay, frozen, silent or unreachable."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import signal
import socket
import threading
import time
from typing import Any

import pytest
import uvloop
from load_helpers import ONE_CLASS, delay_server, run_load, worker_plan

from quartzford.load.attempt import ClientAttempt
from quartzford.load.clients import SINGLE_ATTEMPT, ClientBehaviour, RequestClass
from quartzford.load.driver import Driver
from quartzford.load.options import LoadOptions, Target
from quartzford.load.record import Record, histogram_summary


@pytest.mark.parametrize(("spec", "p50", "p99"), [("constant:40", 40, 40), ("two:10,80,0.05", 10, 80)])
def test_server_with_known_delay_is_measured_accurately(spec: str, p50: float, p99: float) -> None:
    """The bounds are wide enough for any machine; bench.loadgen checks narrow ones."""
    with delay_server(spec) as (target, _):
        record = run_load(
            LoadOptions(target, "constant:200", 3.0, request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT)
        )
    got = histogram_summary(record.complete(record.latency))
    assert got["count"] > 450 and record.outcomes == {"consulta served": got["count"]}
    assert p50 <= got["p50"] <= p50 * 1.5 + 5 and p99 <= got["p99"]


def test_one_second_freeze_counts_for_all_requests_due_in_it() -> None:
    """A closed loop hides a freeze: it sends few requests meanwhile.

    Here 300 are due in that second, and each must wait for the rest of it.
    """
    with delay_server("constant:2") as (target, process):
        timers = [
            threading.Timer(at, os.kill, (process.pid, number))
            for at, number in ((1.0, signal.SIGSTOP), (2.0, signal.SIGCONT))
        ]
        for timer in timers:
            timer.start()
        record = run_load(
            LoadOptions(
                target, "constant:300", 4.0, "fixed", request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT
            )
        )
    complete = record.complete(record.latency)
    assert sum(record.outcomes.values()) == 1200
    over_half_a_second = sum(
        item.count_added_in_this_iter_step
        for item in complete.get_recorded_iterator()
        if item.value_iterated_to > 500_000
    )
    assert 100 <= over_half_a_second <= 260 and complete.get_max_value() > 900_000


def test_latency_includes_connection_wait_and_service_time_does_not() -> None:
    with delay_server("constant:20") as (target, _):
        bounded = Target(target.host, target.port, connections=1)
        record = run_load(
            LoadOptions(
                bounded, "burst:100@0+0.3", 1.0, "fixed", request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT
            )
        )
    latency, service = (
        histogram_summary(record.complete(record.latency)),
        histogram_summary(record.complete(record.service)),
    )
    assert latency["count"] >= 29 and latency["max"] > 250 > service["p50"] >= 20
    # The limit on connections is the generator's own, so it reports lateness.
    assert histogram_summary(record.lateness)["max"] > 200


def test_silent_server_requests_are_all_counted() -> None:
    request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
    with delay_server("never") as (target, _):
        record = run_load(
            LoadOptions(
                target,
                "constant:100",
                1.0,
                "fixed",
                request_classes=request_classes,
                behaviour=ClientBehaviour(),
            )
        )
    assert record.outcomes == {"cobro no answer": 100} and record.attempt_outcomes == {"no answer": 100}
    assert record.goodput()["whole"] == 0.0


class DelayedDriver(Driver):
    """A driver whose process is delayed while its first connection is being established."""

    def connect(self, attempt: ClientAttempt, single_use: bool = False) -> None:
        super().connect(attempt, single_use)
        if attempt.request.number == 1 and attempt.request.attempts == 1:
            self.loop.call_soon(self.loop.call_soon, time.sleep, 0.5)


def test_generator_delay_is_not_counted_as_unreachable_server() -> None:
    """The connection is established while the generator is delayed past the attempt's timeout."""

    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
        target = Target("127.0.0.1", listening.sockets[0].getsockname()[1])
        load = LoadOptions(
            target, "constant:4", 0.2, "fixed", request_classes=request_classes, behaviour=ClientBehaviour()
        )
        record = Record(request_classes)
        await DelayedDriver(worker_plan(load), record).run()
        listening.close()
        return record

    record = uvloop.run(main())
    assert record.outcomes == {"cobro no answer": 1} and record.attempt_outcomes == {"no answer": 1}
    # The delay is the generator's own, so it reports lateness.
    assert histogram_summary(record.lateness)["max"] > 400


def test_server_that_never_accepts_is_unreachable() -> None:
    """The server's accept queue is full, so the TCP handshake is never answered."""
    request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
    with socket.socket() as listening, contextlib.ExitStack() as accept_queue:
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        for _ in range(4):
            waiting = accept_queue.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listening.getsockname())
        target = Target("127.0.0.1", listening.getsockname()[1])
        record = run_load(
            LoadOptions(
                target,
                "constant:4",
                0.2,
                "fixed",
                request_classes=request_classes,
                behaviour=ClientBehaviour(max_attempts=2),
            )
        )
    assert record.outcomes == {"cobro unreachable": 1} and record.attempt_outcomes == {"unreachable": 2}


def test_unreachable_server_is_retried_and_counted() -> None:
    with delay_server("none") as (target, process):
        process.kill()
        process.wait()
        behaviour = ClientBehaviour(max_attempts=3, retry_wait_s=0.01)
        record = run_load(
            LoadOptions(target, "constant:50", 0.5, "fixed", request_classes=ONE_CLASS, behaviour=behaviour)
        )
    assert record.outcomes == {"consulta unreachable": 25} and record.attempt_outcomes == {"unreachable": 75}


def test_refused_client_waits_for_retry_after() -> None:
    request_times: list[float] = []

    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                request_times.append(time.monotonic())
                if len(request_times) == 1:
                    writer.write(b"HTTP/1.1 503 X\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        load = LoadOptions(Target("127.0.0.1", port), "constant:4", 0.2, "fixed", request_classes=ONE_CLASS)
        record = Record(ONE_CLASS)
        await Driver(worker_plan(load), record).run()
        listening.close()
        return record

    record = uvloop.run(main())
    assert record.outcomes == {"consulta served": 1} and record.attempt_outcomes == {
        "refused": 1,
        "served": 1,
    }
    assert 0.28 <= request_times[1] - request_times[0] < 2.0
    # The latency counts from the intended send of the first attempt.
    assert histogram_summary(record.complete(record.latency))["max"] >= 300


def test_unexpected_response_is_counted() -> None:
    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            writer.write(response)
            await asyncio.sleep(0.02)
            writer.write(response)

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        load = LoadOptions(
            Target("127.0.0.1", port),
            "step:10@0.2+constant:1",
            0.4,
            "fixed",
            request_classes=ONE_CLASS,
            behaviour=SINGLE_ATTEMPT,
        )
        record = Record(ONE_CLASS)
        await Driver(worker_plan(load), record).run()
        listening.close()
        return record

    assert uvloop.run(main()).counts["answered twice"] >= 1


@pytest.mark.parametrize(
    ("error_number", "reported"), [(errno.EADDRNOTAVAIL, True), (errno.ECONNREFUSED, False)]
)
def test_port_exhaustion_is_distinguished_from_unreachable_server(error_number: int, reported: bool) -> None:
    async def main() -> str:
        loop, record = asyncio.get_running_loop(), Record(ONE_CLASS)
        load = LoadOptions(
            Target("127.0.0.1", 9), "constant:100", 0.2, request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT
        )
        driver = Driver(worker_plan(load), record)

        class Loop:
            def __getattr__(self, name: str) -> Any:
                return getattr(loop, name)

            async def create_connection(self, *arguments: Any) -> Any:
                raise OSError(error_number, os.strerror(error_number))

        driver.loop = Loop()  # type: ignore[assignment]
        await driver.run()
        assert set(record.outcomes) == {"consulta unreachable"}
        return driver.starved

    assert ("out of descriptors or ports" in uvloop.run(main())) == reported
