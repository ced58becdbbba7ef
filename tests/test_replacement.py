"""A process is replaced while it serves: the table, the state, and the failures, each on real processes."""

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
from peers import (
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
from quartzford.decision.logic import Balancer
from quartzford.engine import LoopClock, StderrLog
from quartzford.replacement import messages
from quartzford.replacement import state as wire
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

# ---- the table


def test_events_in_any_order_leave_one_process_serving() -> None:
    """Drawn events: it takes connections in SERVING and DRAINING alone, and hands them to the living."""
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


# ---- what is handed over


def learned_balancer(**changes: Any) -> Balancer:
    """A balancer with a fast and a failing server, a cold one, one out by hand and one suspect."""
    balancer = started_balancer(6, **changes)
    balancer.handle(5.0, io.MaintenanceChange("s5", True))
    balancer.handle(6.0, io.EndpointListUpdate("changes", (make_endpoint(4, started_ms=5.0),)))
    for number in range(400):
        now = 10.0 + 5 * number
        for send in sends(submit(balancer, now, number)):
            bad = send.server == "s0"
            spent = 5.0 if send.server == "s1" else 20.0
            actions = balancer.handle(now + 4, attempt_ended(send, 0, "error" if bad else "ok", spent))
            for again in sends(actions):
                balancer.handle(now + 4.5, attempt_ended(again, 1, "ok", spent))
    return balancer


def test_a_successor_goes_on_where_its_predecessor_stopped() -> None:
    old, now = learned_balancer(), 2_100.0
    before = {s.entry.server: (s.p, s.cost, s.failure_rate, max(0.0, s.ejected_until)) for s in old.ready}
    budget = old.retry_budget
    memory = wire.decode_state(
        b"".join(
            wire.split_state(
                wire.BalancerState(wire.STATE_FORMAT, {}, 1, ["a", 1], True, 0, old.hand_over(now))
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
    # One budget for the cold server: the old process has none of it left, the new one what was left.
    cold = new.servers["s4"]
    assert cold in new.endpoints.slow_start.cold and cold.tokens == old.servers["s4"].tokens
    old_sends = {s.server for n in range(200) for s in sends(submit(old, now + 5_000, 9_000 + n))}
    assert "s4" not in old_sends and old_sends
    old.cancel_handover(now + 5_001)
    assert old.servers["s4"].tokens == 0.0


def test_another_incarnation_and_unknown_endpoints_start_without_what_was_learned() -> None:
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


def test_encoded_records_have_the_fields_and_defaults_of_those_they_stand_for() -> None:
    for encoded, record in (
        (EncodedRate, io.LearnedRate),
        (EncodedEndpoint, io.LearnedEndpoint),
        (EncodedLearnedState, io.LearnedState),
        (wire.EncodedBalancerState, wire.BalancerState),
    ):
        assert encoded.__struct_fields__ == tuple(field.name for field in fields(record))
    assert EncodedRate().decode() == io.LearnedRate()
    assert EncodedLearnedState().decode() == io.LearnedState()
    needed = ("s0", 0.0, 0.5, 1.0, 1.0, 0.0)
    assert EncodedEndpoint(*needed).decode() == io.LearnedEndpoint(*needed)


def _table(**changes: Any) -> dict[str, Any]:
    memory = learned_balancer().hand_over(2_100.0)
    state = wire.BalancerState(wire.STATE_FORMAT, {}, 1, ["a", 1], True, 0, memory)
    table: dict[str, Any] = msgspec.msgpack.decode(b"".join(wire.split_state(state)))
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
def test_an_invalid_state_is_rejected_with_its_reason(table: Any, reason: str) -> None:
    made = table()
    data = made if isinstance(made, bytes) else msgspec.msgpack.encode(made)
    with pytest.raises(StateFormatError, match=reason):
        wire.decode_state(data)
    for cut in range(0, len(data), max(1, len(data) // 40)):
        with suppress(StateFormatError):
            wire.decode_state(data[:cut])


# ---- processes


class ReplacedBalancer:
    """A balancer whose processes replace one another, in one folder."""

    def __init__(self, path: Path, upstreams: int) -> None:
        self.path, self.testbed = path, BalancerTestbed(upstreams)
        self.processes: list[asyncio.subprocess.Process] = []
        self.admins: list[int] = []
        self.folder = path / "t"
        self.root = ROOT  # where the code of the next process lies

    async def begin(self) -> None:
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
        await self.yes()

    async def start(self, config: Any = None) -> asyncio.subprocess.Process:
        self.admins.append(reserved_port())
        file = self.path / f"{len(self.admins)}.json"
        file.write_text(json.dumps(config or self.config))
        env = {
            **os.environ,
            "EDGE_CONFIG": str(file),
            "TMPDIR": str(self.folder),
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admins[-1]}",
        }
        with self.log_file(len(self.admins)).open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", COMMAND, cwd=self.root, env=env, stderr=log
            )
        self.processes.append(process)
        return process

    def log_file(self, number: int) -> Path:
        """Of the process that was started as this one, counted from 1."""
        return self.path / f"{number}.log"

    def print_evidence(self) -> None:
        """What lies in the folder and what the processes wrote: shown where the test fails."""
        print("in the folder:", sorted(path.name for path in self.folder.glob("*")))
        for file in sorted(self.path.glob("*.log")):
            print(f"{file.name}:\n{file.read_text(errors='replace')}")

    async def call(self, line: str, body: str = "", at: int = -1) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admins[at])
        writer.write(f"{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        try:
            return await asyncio.wait_for(read_message(reader), 20)
        finally:
            writer.close()

    async def yes(self, at: int = -1) -> None:
        for _ in range(1000):
            with suppress(OSError, asyncio.IncompleteReadError):
                if (await self.call("GET /status", at=at)).status == 200:
                    return
            await asyncio.sleep(0.01)
        raise AssertionError("it was never ready")

    async def metrics(self, at: int = -1) -> dict[str, int]:
        body = (await self.call("GET /status/metrics", at=at)).body.decode()
        return {name: int(value) for name, _, value in (li.partition("=") for li in body.splitlines())}

    async def until_figure(self, name: str, wanted: int, at: int = -1) -> None:
        for _ in range(1000):
            if (await self.metrics(at))[f"edge.{name}"] == wanted:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{name} was never {wanted}")

    async def replace(self) -> None:
        """As the platform does: SIGTERM to the old one at the new one's yes."""
        old = self.processes[-1]
        await self.start()
        await self.yes()
        old.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.wait(), 20) == 0

    async def connect(self) -> ClientConnection:
        return ClientConnection(*await asyncio.open_connection("127.0.0.1", self.port, limit=2**22))

    async def submit(self, data: bytes | None = None) -> Message:
        kept = await self.connect()
        try:
            return await asyncio.wait_for(kept.submit(data or request()), 20)
        finally:
            kept.writer.close()


class ClientConnection:
    """A client's connection that is kept."""

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
        await balancer.begin()
        yield balancer
    finally:
        balancer.print_evidence()
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
async def test_two_replacements_in_a_row_lose_nothing_and_keep_every_connection(
    balancer: ReplacedBalancer,
) -> None:
    kept = [await balancer.connect() for _ in range(20)]
    stop, served = asyncio.Event(), [0] * len(kept)

    async def client(number: int) -> None:
        while not stop.is_set():
            answer = await kept[number].submit()
            assert answer.status == 200 and answer.fields.get("connection") != "close"
            served[number] += 1
            await asyncio.sleep(0.002 * (number % 5))

    resting = await balancer.connect()
    assert (await resting.submit()).status == 200
    clients = [asyncio.ensure_future(client(n)) for n in range(len(kept))]
    await wait_until(lambda: min(served) > 5)
    assert (await balancer.call("PUT /maintenance/enter", "s0")).status == 200
    for _ in range(2):
        marks = list(served)
        await balancer.replace()
        await wait_until(lambda marks=marks: all(a > b + 3 for a, b in zip(served, marks, strict=True)))
    stop.set()
    await asyncio.gather(*clients)
    assert (await resting.submit()).status == 200
    assert (await balancer.metrics())["edge.upstreams_excluded"] == 1
    received = len(balancer.testbed.upstreams[0].received)
    assert (await balancer.submit()).status == 200 and len(balancer.testbed.upstreams[0].received) == received
    assert (await balancer.call("PUT /maintenance/exit", "s0")).status == 200
    await balancer.until_figure("upstreams_excluded", 0)


@with_replaced_balancer
async def test_what_is_open_ends_at_the_old_process_and_its_connection_goes_on(
    balancer: ReplacedBalancer,
) -> None:
    gate = asyncio.Event()

    async def wait(message: Message, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        writer.write(reply(b"late"))

    for up in balancer.testbed.upstreams:
        up.script = wait
    kept, half = await balancer.connect(), await balancer.connect()
    pending = asyncio.ensure_future(kept.submit(request("pay", b"x")))
    half.writer.write(request("pay", b"body")[:-2])
    await wait_until(lambda: sum(len(up.received) for up in balancer.testbed.upstreams) == 1)
    old = balancer.processes[0]
    await balancer.start()
    await balancer.yes()
    await balancer.until_figure("in_flight", 1, at=0)
    old.send_signal(signal.SIGTERM)
    half.writer.write(b"dy")
    await wait_until(lambda: sum(len(up.received) for up in balancer.testbed.upstreams) == 2)
    gate.set()
    assert (await pending).body == b"late" and (await read_message(half.reader)).body == b"late"
    assert await asyncio.wait_for(old.wait(), 20) == 0
    assert (await kept.submit()).status == (await half.submit()).status == 200
    assert (await balancer.metrics())["edge.served.read"] == 2


@with_replaced_balancer
async def test_maintenance_changes_go_both_ways_while_two_processes_live(balancer: ReplacedBalancer) -> None:
    await balancer.start()
    await balancer.yes()
    assert (await balancer.call("PUT /maintenance/enter", "s0", at=0)).status == 200
    await balancer.until_figure("upstreams_excluded", 1, at=1)
    assert (await balancer.call("PUT /maintenance/enter", "s1", at=1)).status == 200
    await balancer.until_figure("upstreams_excluded", 2, at=0)
    assert (await balancer.call("PUT /maintenance/exit", "s0", at=1)).status == 200
    await balancer.until_figure("upstreams_excluded", 1, at=0)


@with_replaced_balancer
async def test_a_successor_that_dies_or_can_t_start_leaves_the_old_one_serving(
    balancer: ReplacedBalancer,
) -> None:
    kept = await balancer.connect()
    assert (await kept.submit()).status == 200
    bad = await balancer.start({**balancer.config, "seed": "xyz"})
    assert await asyncio.wait_for(bad.wait(), 20) == 2
    assert (await balancer.submit()).status == (await kept.submit()).status == 200
    after = await balancer.start()
    await balancer.yes()
    assert (await balancer.submit()).status == 200
    after.kill()
    await after.wait()
    assert (await balancer.submit()).status == 200  # it waited in the queue of a listener that both held
    balancer.admins[1:] = []
    balancer.processes[1:] = []
    await balancer.replace()
    assert (await balancer.submit()).status == 200


async def connect_as_successor(balancer: ReplacedBalancer) -> tuple[socket.socket, list[int]]:
    """A successor that the test plays: it has requested the handover and has the listener."""
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


@pytest.mark.parametrize("how", ["ends", "hangs", "talks nonsense"])
def test_a_successor_lost_in_the_middle_gives_the_listener_back(tmp_path: Path, how: str) -> None:
    async def test() -> None:
        async with replaced_balancer(tmp_path) as balancer:
            sock, descriptors = await connect_as_successor(balancer)
            pending = asyncio.ensure_future(balancer.submit())  # waits in the queue: nobody accepts
            if how == "ends":
                sock.close()
            elif how == "talks nonsense":
                sock.send(b"\xc1\xc1")
            assert (await pending).status == 200
            sock.close()
            os.close(descriptors[0])
            assert (await balancer.submit()).status == 200
            await balancer.replace()

    uvloop.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("how", ["hangs", "killed"])
def test_a_predecessor_that_gives_nothing_costs_a_cold_start_and_keeps_maintenance(
    tmp_path: Path, how: str
) -> None:
    """Also: the socket's file of an earlier life is no obstacle."""

    async def test() -> None:
        async with replaced_balancer(tmp_path) as balancer:
            assert (await balancer.call("PUT /maintenance/enter", "s1")).status == 200
            balancer.processes[0].send_signal(signal.SIGSTOP if how == "hangs" else signal.SIGKILL)
            if how == "killed":
                await balancer.processes[0].wait()
            await balancer.start()
            await balancer.yes()
            assert (await balancer.metrics())["edge.upstreams_excluded"] == 1
            if how == "hangs":  # half of the new connections wait in its queue until it is gone
                balancer.processes[0].send_signal(signal.SIGKILL)
                await balancer.processes[0].wait()
            assert (await balancer.submit()).status == 200
            balancer.processes[0:1] = []
            await balancer.replace()
            assert (await balancer.metrics())["edge.upstreams_excluded"] == 1

    uvloop.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("complete", [True, False], ids=["another version", "killed half way"])
def test_a_predecessor_of_another_version_or_one_that_dies_half_way(complete: bool) -> None:
    """State of a format that this process does not read: the listener is used, what was learnt is not."""
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
        if not complete:  # killed in the middle: nothing is taken that is not whole
            assert result is None
            return listener.close()
        assert result is not None and result.state is None
        assert result.listener.getsockname() == listener.getsockname()
        result.listener.close()


@with_replaced_balancer
async def test_a_second_successor_takes_the_place_of_one_that_has_not_served(
    balancer: ReplacedBalancer,
) -> None:
    """Taking connections back for the first one's loss must not outlive the second one's coming."""
    first, descriptors = await connect_as_successor(balancer)
    second, more = await connect_as_successor(balancer)
    pending = asyncio.ensure_future(balancer.submit())
    await asyncio.sleep(0.4)
    assert not pending.done()  # the listener is the second one's
    second.close()
    assert (await pending).status == 200
    first.close()
    for fd in (*descriptors, *more):
        os.close(fd)


@with_replaced_balancer
async def test_a_predecessor_killed_after_the_handover_takes_nothing_along(
    balancer: ReplacedBalancer,
) -> None:
    resting = await balancer.connect()
    assert (await resting.submit()).status == 200
    await balancer.start()
    await balancer.yes()
    moved = await balancer.connect()
    assert (await moved.submit()).status == 200 and (await balancer.metrics())["edge.served.read"] == 1
    for _ in range(1000):  # the resting one has gone over: the new process answers it
        assert (await resting.submit()).status == 200
        if (await balancer.metrics())["edge.served.read"] > 1:
            break
    balancer.processes[0].kill()
    await balancer.processes[0].wait()
    assert (
        (await resting.submit()).status
        == (await moved.submit()).status
        == (await balancer.submit()).status
        == 200
    )


@with_replaced_balancer
async def test_a_replacement_during_a_drain_sends_nothing_there(balancer: ReplacedBalancer) -> None:
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
async def test_a_replacement_during_a_reload_gets_the_complete_list_of_the_new_discovery(
    balancer: ReplacedBalancer,
) -> None:
    """The old one counts by the old discovery: changes since its number would be of another list."""
    await wait_until(lambda: balancer.testbed.watches)
    balancer.testbed.version = 900
    balancer.testbed.update(balancer.testbed.list_row(0))
    elsewhere = BalancerTestbed(3)
    for peer in (elsewhere.upstreams[2], elsewhere.discovery):
        await peer.start()
    elsewhere.upstreams[2].script, elsewhere.version = responds_with(reply(b"new")), 1_000
    elsewhere.served_list = elsewhere.endpoint_list(elsewhere.list_row(2))
    balancer.config = {**balancer.config, "discovery": f"127.0.0.1:{elsewhere.discovery.port}"}
    old = balancer.processes[0]
    await balancer.start()  # while the old one still follows the old discovery
    await balancer.yes()
    (balancer.path / "1.json").write_text(json.dumps(balancer.config))
    old.send_signal(signal.SIGHUP)
    old.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(old.wait(), 20) == 0
    await wait_until(lambda: elsewhere.watches)
    assert not any("index=901" in message.line for message in elsewhere.discovery.received)
    for _ in range(1000):
        if (await balancer.submit()).body == b"new":
            break
    assert [(await balancer.submit()).body for _ in range(20)] == [b"new"] * 20
    for peer in (elsewhere.upstreams[2], elsewhere.discovery):
        await peer.stop()
