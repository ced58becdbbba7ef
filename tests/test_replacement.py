"""Replacement of a serving process: state machine, state that is handed over, failures of real processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import fields
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uvloop
from helpers import attempt_ended, make_endpoint, sends, settings, started_balancer, submit
from hold_ups import HoldUps
from peers import (
    SETTINGS,
    BalancerTestbed,
    Message,
    read_message,
    reply,
    request,
    reserved_port,
    responds_with,
    wait_until,
)
from test_process import COMMAND, ROOT

from quartzford.decision import interface as io
from quartzford.decision.logic import MIN_TYPICAL_LATENCY_SHARE, Balancer
from quartzford.decision.outlier_ejection import MIN_EJECTION_MS
from quartzford.decision.responsiveness import UNRESPONSIVE_LATENCY_MULTIPLE, UNRESPONSIVE_MIN_IN_FLIGHT
from quartzford.engine import LoopClock, StderrLog
from quartzford.replacement import messages
from quartzford.replacement import state as state_codec
from quartzford.replacement.encoded_learned_state import EncodedEndpoint, EncodedLearnedState, EncodedRate
from quartzford.replacement.errors import StateFormatError
from quartzford.replacement.handover import Handover
from quartzford.replacement.state_machine import (
    TRANSITIONS,
    HandoverAction,
    HandoverEvent,
    HandoverState,
    HandoverStateMachine,
)
from quartzford.replacement.unix_socket import balancer_path, short_path

# Shortest time in seconds without an answer after which a balancer with SETTINGS suspects an upstream.
MIN_SUSPECT_SILENCE_S = (
    UNRESPONSIVE_LATENCY_MULTIPLE * MIN_TYPICAL_LATENCY_SHARE * SETTINGS["classes"][0]["sloMs"] / 1000
)

# ---- state machine


def test_state_machine_random_events_accept_only_in_serving_and_draining() -> None:
    """After random events, the process accepts connections only in SERVING and DRAINING.

    It transfers clients only while a successor is connected.
    """
    for seed in range(300):
        rng, actions = random.Random(seed), []
        state_machine = HandoverStateMachine(actions.append)
        accepting = True
        successor = ended = False
        for _ in range(30):
            event = rng.choice(list(HandoverEvent))
            actions.clear()
            if not state_machine.handle(event):
                continue
            successor = event is not HandoverEvent.SUCCESSOR_LOST and (
                successor or event is HandoverEvent.SUCCESSOR_CONNECTED
            )
            ended = ended or event is HandoverEvent.SHUTDOWN_REQUESTED
            for action in actions:
                assert action is not HandoverAction.TRANSFER_CLIENTS or successor
                accepting = action is HandoverAction.RESUME_SERVING or (
                    accepting and action is not HandoverAction.RELEASE_LISTENER
                )
            assert accepting == (state_machine.state in (HandoverState.SERVING, HandoverState.DRAINING)), (
                seed,
                state_machine.state,
            )
            assert ended == (
                state_machine.state
                in (
                    HandoverState.DRAINING,
                    HandoverState.DRAINING_SUCCESSOR_STARTING,
                    HandoverState.DRAINING_SUCCESSOR_SERVING,
                )
            )
            assert successor == (state_machine.state not in (HandoverState.SERVING, HandoverState.DRAINING))
    assert {state for state, _ in TRANSITIONS} | {after.next_state for after in TRANSITIONS.values()} == set(
        HandoverState
    )


# ---- state that is handed over


def learned_balancer(**changes: Any) -> Balancer:
    """Return a balancer with servers that are fast, failing, suspect, in slow start and in maintenance."""
    balancer = started_balancer(6, **changes)
    balancer.handle(5.0, io.MaintenanceChange("s5", True))
    balancer.handle(6.0, io.EndpointListUpdate("changes", (make_endpoint(4, started_ms=5.0),)))
    for number in range(400):
        now = 10.0 + 5 * number
        for send in sends(submit(balancer, now, number)):
            fails = send.server == "s0"
            latency_ms = 5.0 if send.server == "s1" else 20.0
            actions = balancer.handle(now + 4, attempt_ended(send, 0, "error" if fails else "ok", latency_ms))
            for retry in sends(actions):
                balancer.handle(now + 4.5, attempt_ended(retry, 1, "ok", latency_ms))
    return balancer


def test_successor_continues_with_learned_state() -> None:
    old, now = learned_balancer(), 2_100.0
    before = {s.entry.server: (s.p, s.cost, s.failure_rate, max(0.0, s.ejected_until)) for s in old.ready}
    budget = old.retry_budget
    memory = state_codec.decode_state(
        b"".join(
            state_codec.split_state(
                state_codec.BalancerState(
                    state_codec.STATE_FORMAT, {}, 1, ["a", 1], True, 0, old.hand_over(now)
                )
            )
        )
    ).memory
    new = Balancer(settings(), 99)
    new.handle(now, io.EndpointListUpdate("stale", tuple(s.entry for s in old.servers.values())))
    new.inherit(now, memory)
    after = {s.entry.server: (s.p, s.cost, s.failure_rate, max(0.0, s.ejected_until)) for s in new.ready}
    assert set(after) == set(before) and "s5" not in after and new.in_maintenance == {"s5"}
    for name, values in after.items():
        assert values == pytest.approx(before[name], abs=1e-9), name
    assert (
        new.latency.typical_latencies == old.latency.typical_latencies
        and new.retry_budget + old.retry_budget == pytest.approx(budget)
    )
    # The slow-start budget moves with the server: the new process has the rest, the old process has none.
    cold = new.servers["s4"]
    assert cold in new.endpoints.slow_start.cold and cold.tokens == old.servers["s4"].tokens
    old_sends = {s.server for n in range(200) for s in sends(submit(old, now + 5_000, 9_000 + n))}
    assert "s4" not in old_sends and old_sends
    old.cancel_handover(now + 5_001)
    assert old.servers["s4"].tokens == 0.0


def test_new_incarnation_and_unknown_endpoints_inherit_no_learned_state() -> None:
    old = learned_balancer()
    memory = old.hand_over(2_100.0)
    new = Balancer(settings(), 1)
    new.handle(
        2_100.0,
        io.EndpointListUpdate(
            "stale", (make_endpoint(0, started_ms=2_000.0), make_endpoint(1), make_endpoint(9))
        ),
    )
    new.inherit(2_100.0, memory)
    assert new.servers["s0"].failure_rate == 0.0 and sum(s.p for s in new.ready) == pytest.approx(1.0)
    assert new.servers["s9"].p > 0 and new.servers["s9"].cost == pytest.approx(new.servers["s1"].cost)
    assert sends(submit(new, 2_101.0, 1))


def test_successor_ejects_upstream_that_is_silent_at_handover_for_a_while() -> None:
    """A process that was held up with its upstreams' answers unsent is a reason; see assert_excluded()."""
    old = started_balancer(1)
    attempts = [
        send for n in range(UNRESPONSIVE_MIN_IN_FLIGHT + 1) for send in sends(submit(old, 1.0, n, "pay"))
    ]
    old.handle(5.0, attempt_ended(attempts[0], 0, "ok", 4.0))
    silent_from = old.servers["s0"].unresponsive_from_ms
    for handed_over_at, excluded in ((silent_from, 0), (silent_from + 1.0, 1)):
        new = started_balancer(1)
        new.inherit(handed_over_at, old.hand_over(handed_over_at))
        assert new.endpoints.excluded_count() == excluded
        new.handle(handed_over_at + MIN_EJECTION_MS, io.Timer(0))
        assert new.endpoints.excluded_count() == 0


def test_encoded_records_match_fields_and_defaults_of_records() -> None:
    for encoded, record in (
        (EncodedRate, io.LearnedRate),
        (EncodedEndpoint, io.LearnedEndpoint),
        (EncodedLearnedState, io.LearnedState),
        (state_codec.EncodedBalancerState, state_codec.BalancerState),
    ):
        assert encoded.__struct_fields__ == tuple(field.name for field in fields(record))
    assert EncodedRate().decode() == io.LearnedRate()
    assert EncodedLearnedState().decode() == io.LearnedState()
    needed = ("s0", 0.0, 0.5, 1.0, 1.0, 0.0)
    assert EncodedEndpoint(*needed).decode() == io.LearnedEndpoint(*needed)


def _table(**changes: Any) -> dict[str, Any]:
    memory = learned_balancer().hand_over(2_100.0)
    state = state_codec.BalancerState(state_codec.STATE_FORMAT, {}, 1, ["a", 1], True, 0, memory)
    table: dict[str, Any] = msgspec.msgpack.decode(b"".join(state_codec.split_state(state)))
    return table | changes


def _memory(**changes: Any) -> dict[str, Any]:
    table = _table()
    return table | {"memory": table["memory"] | changes}


@pytest.mark.parametrize(
    ("table", "reason"),
    [
        (lambda: _table(format=99), "format 99"),
        (lambda: {"format": None}, "format None"),
        (lambda: _table(memory=None), "memory"),
        (lambda: _memory(shed=float("nan")), "shed_share"),
        (lambda: _memory(good=1e6), "in_time_work"),
        (lambda: _memory(retry_budget=1e300), "retry_budget"),
        (lambda: _memory(usual={"read": float("inf")}), "inf"),
        (lambda: _memory(peaks=[[1.0, -5.0]]), "-5.0"),
        (lambda: _memory(servers=[_memory()["memory"]["servers"][0] | {"p": -1.0}]), "p:"),
        (lambda: _memory(servers=[_memory()["memory"]["servers"][0] | {"tokens": 50.0}]), "tokens"),
        (lambda: [1], "object"),
        (lambda: b"\xc1", "the state cannot be decoded"),
    ],
)
def test_invalid_state_is_rejected_with_reason(table: Any, reason: str) -> None:
    made = table()
    data = made if isinstance(made, bytes) else msgspec.msgpack.encode(made)
    with pytest.raises(StateFormatError, match=reason):
        state_codec.decode_state(data)
    for cut in range(0, len(data), max(1, len(data) // 40)):
        with suppress(StateFormatError):
            state_codec.decode_state(data[:cut])


# ---- real processes


class ReplacedBalancer:
    """A balancer whose processes replace one another and share a folder."""

    def __init__(self, path: Path, upstreams: int) -> None:
        self.path, self.testbed = path, BalancerTestbed(upstreams)
        self.processes: list[asyncio.subprocess.Process] = []
        self.admin_ports: list[int] = []
        self.folder = path / "t"
        self.root = ROOT  # folder with the code of the next process

    async def start_site(self) -> None:
        self.folder.mkdir()
        for peer in (*self.testbed.upstreams, self.testbed.discovery):
            await peer.start()
        self.port = reserved_port()
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "ab12",
            "discovery": f"127.0.0.1:{self.testbed.discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.testbed.endpoint_list(
                *(self.testbed.list_row(n) for n in range(len(self.testbed.upstreams)))
            ),
            "settings": self.testbed.settings,
        }
        await self.start()
        await self.wait_until_ready()

    async def start(self, config: Any = None) -> asyncio.subprocess.Process:
        self.admin_ports.append(reserved_port())
        file = self.path / f"{len(self.admin_ports)}.json"
        file.write_text(json.dumps(config or self.config))
        env = {
            **os.environ,
            "EDGE_CONFIG": str(file),
            "TMPDIR": str(self.folder),
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin_ports[-1]}",
        }
        with self.log_file(len(self.admin_ports)).open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", COMMAND, cwd=self.root, env=env, stderr=log
            )
        self.processes.append(process)
        return process

    def log_file(self, number: int) -> Path:
        """Return the log file of the process with this number, counted from 1 in order of start."""
        return self.path / f"{number}.log"

    def print_diagnostics(self) -> None:
        """Print the folder's content and the processes' logs, which pytest shows if the test fails."""
        print("in the folder:", sorted(path.name for path in self.folder.glob("*")))
        for file in sorted(self.path.glob("*.log")):
            print(f"{file.name}:\n{file.read_text(errors='replace')}")

    async def call(self, line: str, body: str = "", at: int = -1) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_ports[at])
        writer.write(f"{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        try:
            return await asyncio.wait_for(read_message(reader), 20)
        finally:
            writer.close()

    async def wait_until_ready(self, at: int = -1) -> None:
        for _ in range(1000):
            with suppress(OSError, asyncio.IncompleteReadError):
                if (await self.call("GET /status", at=at)).status == 200:
                    return
            await asyncio.sleep(0.01)
        raise AssertionError("the balancer did not become ready in time")

    async def metrics(self, at: int = -1) -> dict[str, int]:
        body = (await self.call("GET /status/metrics", at=at)).body.decode()
        return {name: int(value) for name, _, value in (li.partition("=") for li in body.splitlines())}

    async def wait_for_metric(self, name: str, expected: int, at: int = -1) -> None:
        for _ in range(1000):
            if (await self.metrics(at))[f"edge.{name}"] == expected:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{name} did not become {expected}")

    async def assert_excluded(self, expected: int, hold_ups: HoldUps) -> None:
        """Assert the number of excluded upstreams; they are in this process and silent while it is held up.

        A balancer rightly avoids an upstream for a while that was silent for long enough: after such a
        hold-up, the assertion waits for the end of this exclusion.
        """
        if hold_ups.unplanned_s > MIN_SUSPECT_SILENCE_S / 2:
            await self.wait_for_metric("upstreams_excluded", expected)
        excluded = (await self.metrics())["edge.upstreams_excluded"]
        assert excluded == expected, f"the test was held up for {hold_ups.unplanned_s:.3f} s"

    async def replace(self) -> None:
        """Replace the process as the platform does: SIGTERM to the old process once the new one is ready."""
        old = self.processes[-1]
        await self.start()
        await self.wait_until_ready()
        old.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.wait(), 20) == 0

    async def connect(self) -> ClientConnection:
        return ClientConnection(*await asyncio.open_connection("127.0.0.1", self.port, limit=2**22))

    async def submit(self, data: bytes | None = None) -> Message:
        connection = await self.connect()
        try:
            return await asyncio.wait_for(connection.submit(data or request()), 20)
        finally:
            connection.writer.close()


class ClientConnection:
    """A persistent connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def submit(self, data: bytes | None = None) -> Message:
        self.writer.write(data or request())
        return await read_message(self.reader)


@asynccontextmanager
async def replaced_balancer(
    path: Path, upstreams: int = 2, root: Path = ROOT
) -> AsyncIterator[ReplacedBalancer]:
    balancer = ReplacedBalancer(path, upstreams)
    balancer.root = root
    try:
        await balancer.start_site()
        yield balancer
    finally:
        balancer.print_diagnostics()
        for process in balancer.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for peer in (*balancer.testbed.upstreams, balancer.testbed.discovery):
            await peer.stop()


def with_replaced_balancer(test: Any) -> Any:
    def wrapped(tmp_path: Path) -> None:
        async def body() -> None:
            async with replaced_balancer(tmp_path) as balancer:
                await test(balancer)

        uvloop.run(asyncio.wait_for(body(), 60))

    wrapped.__name__ = test.__name__
    return wrapped


@with_replaced_balancer
async def test_two_consecutive_replacements_lose_no_request_or_connection(
    balancer: ReplacedBalancer,
) -> None:
    connections = [await balancer.connect() for _ in range(20)]
    stop, served = asyncio.Event(), [0] * len(connections)

    async def client(number: int) -> None:
        while not stop.is_set():
            answer = await connections[number].submit()
            assert answer.status == 200 and answer.fields.get("connection") != "close"
            served[number] += 1
            await asyncio.sleep(0.002 * (number % 5))

    idle = await balancer.connect()
    assert (await idle.submit()).status == 200
    clients = [asyncio.ensure_future(client(n)) for n in range(len(connections))]
    async with HoldUps() as hold_ups:
        await wait_until(lambda: min(served) > 5)
        assert (await balancer.call("PUT /maintenance/enter", "s0")).status == 200
        for _ in range(2):
            marks = list(served)
            await balancer.replace()
            await wait_until(lambda marks=marks: all(a > b + 3 for a, b in zip(served, marks, strict=True)))
        stop.set()
        await asyncio.gather(*clients)
        assert (await idle.submit()).status == 200
        await balancer.assert_excluded(1, hold_ups)
    received = len(balancer.testbed.upstreams[0].received)
    assert (await balancer.submit()).status == 200 and len(balancer.testbed.upstreams[0].received) == received
    assert (await balancer.call("PUT /maintenance/exit", "s0")).status == 200
    await balancer.wait_for_metric("upstreams_excluded", 0)


@with_replaced_balancer
async def test_open_requests_complete_at_predecessor_and_connections_continue(
    balancer: ReplacedBalancer,
) -> None:
    gate = asyncio.Event()

    async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        writer.write(reply(b"late"))

    for up in balancer.testbed.upstreams:
        up.script = wait
    connection, partial = await balancer.connect(), await balancer.connect()
    pending = asyncio.ensure_future(connection.submit(request("pay", b"x")))
    partial.writer.write(request("pay", b"body")[:-2])
    await wait_until(lambda: sum(len(up.received) for up in balancer.testbed.upstreams) == 1)
    old = balancer.processes[0]
    await balancer.start()
    await balancer.wait_until_ready()
    await balancer.wait_for_metric("in_flight", 1, at=0)
    old.send_signal(signal.SIGTERM)
    partial.writer.write(b"dy")
    await wait_until(lambda: sum(len(up.received) for up in balancer.testbed.upstreams) == 2)
    gate.set()
    assert (await pending).body == b"late" and (await read_message(partial.reader)).body == b"late"
    assert await asyncio.wait_for(old.wait(), 20) == 0
    assert (await connection.submit()).status == (await partial.submit()).status == 200
    assert (await balancer.metrics())["edge.served.read"] == 2


@with_replaced_balancer
async def test_maintenance_change_reaches_the_other_process(balancer: ReplacedBalancer) -> None:
    await balancer.start()
    await balancer.wait_until_ready()
    assert (await balancer.call("PUT /maintenance/enter", "s0", at=0)).status == 200
    await balancer.wait_for_metric("upstreams_excluded", 1, at=1)
    assert (await balancer.call("PUT /maintenance/enter", "s1", at=1)).status == 200
    await balancer.wait_for_metric("upstreams_excluded", 2, at=0)
    assert (await balancer.call("PUT /maintenance/exit", "s0", at=1)).status == 200
    await balancer.wait_for_metric("upstreams_excluded", 1, at=0)


@with_replaced_balancer
async def test_predecessor_serves_after_successor_fails(
    balancer: ReplacedBalancer,
) -> None:
    connection = await balancer.connect()
    assert (await connection.submit()).status == 200
    misconfigured = await balancer.start({**balancer.config, "seed": "xyz"})
    assert await asyncio.wait_for(misconfigured.wait(), 20) == 2
    assert (await balancer.submit()).status == (await connection.submit()).status == 200
    successor = await balancer.start()
    await balancer.wait_until_ready()
    assert (await balancer.submit()).status == 200
    successor.kill()
    await successor.wait()
    assert (await balancer.submit()).status == 200  # it waited in the backlog of the shared listener
    balancer.admin_ports[1:] = []
    balancer.processes[1:] = []
    await balancer.replace()
    assert (await balancer.submit()).status == 200


async def connect_as_successor(balancer: ReplacedBalancer) -> tuple[socket.socket, list[int]]:
    """Act as a successor that requests the handover. Return its connection and the listener's descriptor."""
    path = balancer_path(str(balancer.folder.resolve()), "n0", ("127.0.0.1", balancer.port)) + ".sock"
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with short_path(path) as address:
        sock.connect(address)
    sock.setblocking(False)
    sock.send(messages.encode_message(messages.Hello(99, 1)))
    descriptors: list[int] = []
    while not descriptors:
        with suppress(BlockingIOError):
            _, descriptors, _, _ = socket.recv_fds(sock, 65_536, 8)
        await asyncio.sleep(0.005)
    return sock, descriptors


@pytest.mark.parametrize("failure", ["closes", "hangs", "sends garbage"])
def test_successor_lost_during_handover_returns_listener(tmp_path: Path, failure: str) -> None:
    async def test() -> None:
        async with replaced_balancer(tmp_path) as balancer:
            sock, descriptors = await connect_as_successor(balancer)
            pending = asyncio.ensure_future(balancer.submit())  # in the backlog: no process accepts
            if failure == "closes":
                sock.close()
            elif failure == "sends garbage":
                sock.send(b"\xc1\xc1")
            assert (await pending).status == 200
            sock.close()
            os.close(descriptors[0])
            assert (await balancer.submit()).status == 200
            await balancer.replace()

    uvloop.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("failure", ["hangs", "killed"])
def test_unresponsive_predecessor_cold_start_keeps_maintenance(tmp_path: Path, failure: str) -> None:
    """The predecessor's socket file, which is still there, must not prevent the start either."""

    async def test() -> None:
        async with replaced_balancer(tmp_path) as balancer:
            assert (await balancer.call("PUT /maintenance/enter", "s1")).status == 200
            balancer.processes[0].send_signal(signal.SIGSTOP if failure == "hangs" else signal.SIGKILL)
            if failure == "killed":
                await balancer.processes[0].wait()
            await balancer.start()
            await balancer.wait_until_ready()
            assert (await balancer.metrics())["edge.upstreams_excluded"] == 1
            if failure == "hangs":  # half of the new connections wait in its backlog until it is killed
                balancer.processes[0].send_signal(signal.SIGKILL)
                await balancer.processes[0].wait()
            assert (await balancer.submit()).status == 200
            balancer.processes[0:1] = []
            await balancer.replace()
            assert (await balancer.metrics())["edge.upstreams_excluded"] == 1

    uvloop.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("complete", [True, False], ids=["other format", "killed during handover"])
def test_predecessor_with_other_state_format_or_killed_during_handover(complete: bool) -> None:
    """If the state has an unknown format, the successor uses the listener without the state.

    It uses nothing if the predecessor is killed before the state is complete.
    """
    uvloop.run(asyncio.wait_for(_predecessor(complete), 60))


async def _predecessor(complete: bool) -> None:
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    with tempfile.TemporaryDirectory() as folder:
        path = balancer_path(folder, "n0", ("127.0.0.1", 1))
        server = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        server.bind(path + ".sock")
        server.listen(1)
        listener = socket.create_server(("127.0.0.1", 0))
        pending = asyncio.ensure_future(
            Handover(None, path, clock, StderrLog(clock.now), loop).request_handover()  # type: ignore[arg-type]
        )
        sock, _ = await loop.run_in_executor(None, server.accept)
        assert isinstance(messages.decode_message(sock.recv(65_536)), messages.Hello)
        socket.send_fds(
            sock,
            [messages.encode_message(messages.ListenerTransfer(1 if complete else 3))],
            [listener.fileno()],
        )
        sock.send(
            messages.encode_message(
                messages.StatePart(0, msgspec.msgpack.encode({"format": 7, "news": [1, 2]}))
            )
        )
        if not complete:
            sock.close()
        result = await pending
        server.close()
        if not complete:  # an incomplete handover is not used
            assert result is None
            return listener.close()
        assert result is not None and result.state is None
        assert result.listener.getsockname() == listener.getsockname()
        result.listener.close()


@with_replaced_balancer
async def test_second_successor_replaces_one_not_yet_serving(
    balancer: ReplacedBalancer,
) -> None:
    """The loss of the first successor must not make the predecessor accept after the second one connected.

    The predecessor closes the first connection when the second successor arrives, which counts as a loss.
    """
    first, descriptors = await connect_as_successor(balancer)
    second, more = await connect_as_successor(balancer)
    pending = asyncio.ensure_future(balancer.submit())
    await asyncio.sleep(0.4)
    assert not pending.done()  # the second successor has the listener
    second.close()
    assert (await pending).status == 200
    first.close()
    for fd in (*descriptors, *more):
        os.close(fd)


@with_replaced_balancer
async def test_predecessor_killed_after_handover_loses_no_connection(
    balancer: ReplacedBalancer,
) -> None:
    idle = await balancer.connect()
    assert (await idle.submit()).status == 200
    await balancer.start()
    await balancer.wait_until_ready()
    later = await balancer.connect()
    assert (await later.submit()).status == 200 and (await balancer.metrics())["edge.served.read"] == 1
    for _ in range(1000):  # the idle connection is transferred: the new process answers on it
        assert (await idle.submit()).status == 200
        if (await balancer.metrics())["edge.served.read"] > 1:
            break
    balancer.processes[0].kill()
    await balancer.processes[0].wait()
    assert (
        (await idle.submit()).status
        == (await later.submit()).status
        == (await balancer.submit()).status
        == 200
    )


@with_replaced_balancer
async def test_replacement_during_drain_sends_nothing_to_draining_upstream(
    balancer: ReplacedBalancer,
) -> None:
    await wait_until(lambda: balancer.testbed.watches)
    balancer.testbed.served_list = balancer.testbed.endpoint_list(
        balancer.testbed.list_row(0, "draining"), balancer.testbed.list_row(1)
    )
    balancer.testbed.update(balancer.testbed.list_row(0, "draining"))
    await balancer.replace()
    received = len(balancer.testbed.upstreams[0].received)
    for _ in range(30):
        assert (await balancer.submit()).status == 200
    assert len(balancer.testbed.upstreams[0].received) == received


@with_replaced_balancer
async def test_replacement_during_reload_gets_complete_list_of_new_discovery(
    balancer: ReplacedBalancer,
) -> None:
    """The successor must not ask the new list service for changes since a version of the old one.

    The predecessor still follows the old list service at the handover, and versions of different services
    cannot be compared.
    """
    await wait_until(lambda: balancer.testbed.watches)
    balancer.testbed.version = 900
    balancer.testbed.update(balancer.testbed.list_row(0))
    new_testbed = BalancerTestbed(3)
    for peer in (new_testbed.upstreams[2], new_testbed.discovery):
        await peer.start()
    new_testbed.upstreams[2].script, new_testbed.version = responds_with(reply(b"new")), 1_000
    new_testbed.served_list = new_testbed.endpoint_list(new_testbed.list_row(2))
    balancer.config = {**balancer.config, "discovery": f"127.0.0.1:{new_testbed.discovery.port}"}
    old = balancer.processes[0]
    await balancer.start()  # while the old process still follows the old list service
    await balancer.wait_until_ready()
    (balancer.path / "1.json").write_text(json.dumps(balancer.config))
    old.send_signal(signal.SIGHUP)
    old.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(old.wait(), 20) == 0
    await wait_until(lambda: new_testbed.watches)
    assert not any("index=901" in message.line for message in new_testbed.discovery.received)
    for _ in range(1000):
        if (await balancer.submit()).body == b"new":
            break
    assert [(await balancer.submit()).body for _ in range(20)] == [b"new"] * 20
    for peer in (new_testbed.upstreams[2], new_testbed.discovery):
        await peer.stop()
