"""One worker of the load generator over sockets: servers of known delay, frozen, unresponsive or gone."""

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
def test_a_server_of_known_delay_is_measured_as_it_is(spec: str, p50: float, p99: float) -> None:
    """Bounds wide enough for any machine; bench.loadgen holds the narrow ones."""
    with delay_server(spec) as (target, _):
        record = run_load(
            LoadOptions(target, "constant:200", 3.0, request_classes=ONE_CLASS, behaviour=SINGLE_ATTEMPT)
        )
    got = histogram_summary(record.complete(record.latency))
    assert got["count"] > 450 and record.outcomes == {"consulta served": got["count"]}
    assert p50 <= got["p50"] <= p50 * 1.5 + 5 and p99 <= got["p99"]


def test_a_server_frozen_for_a_second_shows_in_all_that_was_due_then() -> None:
    """What a closed loop hides: hundreds were due in that second, and each waited for the rest of it."""
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
    half = sum(
        item.count_added_in_this_iter_step
        for item in complete.get_recorded_iterator()
        if item.value_iterated_to > 500_000
    )
    assert 100 <= half <= 260 and complete.get_max_value() > 900_000


def test_latency_counts_the_wait_for_a_connection_and_service_does_not() -> None:
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
    assert (
        histogram_summary(record.lateness)["max"] > 200
    )  # its own bound: the generator says that it was late


def test_a_server_that_never_answers_loses_no_request() -> None:
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
    """A driver whose process is delayed while its first connection comes up."""

    def connect(self, attempt: ClientAttempt, fresh: bool = False) -> None:
        super().connect(attempt, fresh)
        if attempt.request.number == 1 and attempt.request.attempts == 1:
            self.loop.call_soon(self.loop.call_soon, time.sleep, 0.5)


def test_a_delay_of_the_generator_is_no_fault_of_the_server() -> None:
    """The connection comes up while the generator is delayed beyond the attempt's time limit."""

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
    assert (
        histogram_summary(record.lateness)["max"] > 400
    )  # its own delay: the generator says that it was late


def test_a_server_that_never_takes_the_connection_is_unreachable() -> None:
    """Its queue of connections is full, so that nothing answers the handshake."""
    request_classes = (RequestClass("cobro", deadline_s=0.4, effect="unsafe"),)
    with socket.socket() as full, contextlib.ExitStack() as queue:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for _ in range(4):
            waiting = queue.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(full.getsockname())
        target = Target("127.0.0.1", full.getsockname()[1])
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


def test_an_unreachable_server_is_retried_and_counted() -> None:
    with delay_server("none") as (target, process):
        process.kill()
        process.wait()
        behaviour = ClientBehaviour(max_attempts=3, retry_wait_s=0.01)
        record = run_load(
            LoadOptions(target, "constant:50", 0.5, "fixed", request_classes=ONE_CLASS, behaviour=behaviour)
        )
    assert record.outcomes == {"consulta unreachable": 25} and record.attempt_outcomes == {"unreachable": 75}


def test_refused_clients_wait_as_long_as_retry_after_says() -> None:
    moments: list[float] = []

    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                moments.append(time.monotonic())
                if len(moments) == 1:
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
    assert 0.28 <= moments[1] - moments[0] < 2.0
    # From the intended send of the first attempt.
    assert histogram_summary(record.complete(record.latency))["max"] >= 300


def test_a_response_that_no_request_waits_for_is_counted() -> None:
    async def main() -> Record:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            writer.write(answer)
            await asyncio.sleep(0.02)
            writer.write(answer)

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


@pytest.mark.parametrize(("number", "said"), [(errno.EADDRNOTAVAIL, True), (errno.ECONNREFUSED, False)])
def test_ports_that_run_out_are_distinguished_from_an_unreachable_server(number: int, said: bool) -> None:
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
                raise OSError(number, os.strerror(number))

        driver.loop = Loop()  # type: ignore[assignment]
        await driver.run()
        assert set(record.outcomes) == {"consulta unreachable"}
        return driver.starved

    assert ("out of descriptors or ports" in uvloop.run(main())) == said
