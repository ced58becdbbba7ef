"""Writes to a disk that fails temporarily or hangs, and files left behind by a kill during a write."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import random
import re
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import test_process
import uvloop
from helpers import started_balancer
from peers import LIST_ROW, async_test, request, wait_until
from test_replacement import ReplacedBalancer, with_replaced_balancer

from quartzford import atomic_file
from quartzford.decision import interface as io
from quartzford.engine import StderrLog
from quartzford.load.trace import TraceError, read_trace
from quartzford.membership import snapshot_writer as writing
from quartzford.membership.snapshot import Snapshot, SnapshotAgeLimits, SnapshotError, decode, encode
from quartzford.membership.snapshot_writer import MAX_RETRY_DELAY_S, SnapshotWriter, write_snapshot
from quartzford.recording import Recorder
from quartzford.replacement import state as state_codec
from quartzford.replacement import unix_socket
from quartzford.replacement.errors import MaintenanceFileError, StateFormatError
from quartzford.replacement.handover import Handover
from quartzford.replacement.maintenance_file import (
    WRITE_RETRY_S,
    MaintenanceFile,
    read_maintenance_file,
    write_maintenance_file,
)
from quartzford.replacement.predecessor_side import LISTEN_RETRY_S

ROOT = Path(__file__).resolve().parent.parent
FAULTY_CALLS = ("open", "write", "fsync", "close", "replace", "unlink", "chmod")


def snapshot(version: int) -> Snapshot:
    return Snapshot("127.0.0.1:8500", 1_000.0, {"seq": version, "whole": True, "hosts": [LIST_ROW]})


class SimulatedKill(BaseException):
    """Simulates SIGKILL: no error handler of the process catches it, because it is not an Exception."""


class FaultyOs:
    """The `os` module with calls that fail.

    fault: takes a call's name and returns the error to raise, or None.
    """

    def __init__(self, fault: Callable[[str], BaseException | None]) -> None:
        self.fault = fault
        self.written_bytes = 0  # number of bytes that a failing write still writes

    def __getattr__(self, name: str) -> Any:
        real = getattr(os, name)
        return self._failing(name, real) if name in FAULTY_CALLS else real

    def _failing(self, name: str, real: Any) -> Any:
        def call(*arguments: Any) -> Any:
            error = self.fault(name)
            if error is None:
                return real(*arguments)
            if name == "close":  # on Linux, a failing close releases the descriptor too
                real(*arguments)
            if name == "write":
                real(arguments[0], bytes(arguments[1])[: self.written_bytes])
            raise error

        return call


def fault_at(number: int, error: BaseException) -> Callable[[str], BaseException | None]:
    """Return a fault of only the call with this number, counted from 0."""
    left = [number]

    def fault(name: str) -> BaseException | None:
        left[0] -= 1
        return error if left[0] == -1 else None

    return fault


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
# Calls 0 to 4: open, write, fsync, close and replace of the file; 5 to 7: open, fsync, close of the folder.
@pytest.mark.parametrize("number", range(8))
def test_snapshot_write_failing_call_leaves_complete_file_only(
    number: int, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "last"
    write_snapshot(str(path), snapshot(1))
    descriptors = len(os.listdir("/proc/self/fd"))
    faulty = FaultyOs(fault_at(number, OSError(code, os.strerror(code))))
    faulty.written_bytes = 7
    monkeypatch.setattr(atomic_file, "os", faulty)
    with pytest.raises(OSError):
        write_snapshot(str(path), snapshot(2))
    assert os.listdir(tmp_path) == ["last"]
    assert decode(path.read_bytes()) == snapshot(1 if number < 5 else 2)
    assert len(os.listdir("/proc/self/fd")) == descriptors


def test_snapshot_write_repeated_failures_leave_at_most_one_temporary_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, rng, failed = tmp_path / "last", random.Random(9), 0
    write_snapshot(str(path), snapshot(0))

    def fault(name: str) -> OSError | None:
        return OSError(rng.choice([errno.ENOSPC, errno.EIO]), "fails") if rng.random() < 0.4 else None

    with monkeypatch.context() as patch:
        faulty = FaultyOs(fault)
        patch.setattr(atomic_file, "os", faulty)
        while failed < 1_000:
            faulty.written_bytes = rng.randrange(100)
            try:
                write_snapshot(str(path), snapshot(failed))
            except OSError:
                failed += 1
            assert len(os.listdir(tmp_path)) <= 2
            decode(path.read_bytes())
    write_snapshot(str(path), snapshot(7))
    assert os.listdir(tmp_path) == ["last"] and decode(path.read_bytes()) == snapshot(7)


def start_and_end_process() -> int:
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    return process.pid


def test_snapshot_write_killed_at_any_byte_keeps_old_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, data = tmp_path / "last", encode(snapshot(2))
    write_snapshot(str(path), snapshot(1))
    for written_bytes in range(len(data)):
        with monkeypatch.context() as patch:
            faulty = FaultyOs(fault_at(1, SimulatedKill()))
            faulty.written_bytes = written_bytes
            patch.setattr(atomic_file, "os", faulty)
            with pytest.raises(SimulatedKill):
                write_snapshot(str(path), snapshot(2))
        assert decode(path.read_bytes()) == snapshot(1)
        half = Path(atomic_file.temporary_path(str(path))).read_bytes()
        assert half == data[:written_bytes]
        with pytest.raises(SnapshotError, match="."):
            decode(half)


def test_snapshot_write_removes_temporary_files_of_killed_processes_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Temporary files of running processes and other files must stay.

    Two processes may write at the same time while one replaces the other.
    """
    path, ended = tmp_path / "last", start_and_end_process()
    for number in range(4):  # after open, write, fsync and close
        with monkeypatch.context() as patch, suppress(SimulatedKill):
            patch.setattr(atomic_file, "os", FaultyOs(fault_at(number + 1, SimulatedKill())))
            patch.setattr(os, "getpid", lambda: ended)
            write_snapshot(str(path), snapshot(1))
        assert os.listdir(tmp_path) == [f"last.{ended}.tmp"]
    others = {f"last.{os.getppid()}.tmp", "last.1", "last.old.tmp", f"list.{ended}.tmp"}
    for name in others:
        (tmp_path / name).write_bytes(b"")
    write_snapshot(str(path), snapshot(2))
    assert set(os.listdir(tmp_path)) == others | {"last"}


class Timer(NamedTuple):
    """A callback that is due at a given time unless it is cancelled."""

    due: float
    callback: Callable[[], object]
    timers: list[Timer]

    def cancel(self) -> None:
        self.timers[:] = [timer for timer in self.timers if timer is not self]


class ManualClock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.time = 0.0
        self.timers: list[Timer] = []

    def now(self) -> float:
        return self.time

    def unix_ms(self) -> float:
        return self.time * 1000.0

    def call_later(self, delay: float, callback: Callable[..., object], *arguments: Any) -> Any:
        self.timers.append(Timer(self.time + delay, lambda: callback(*arguments), self.timers))
        return self.timers[-1]

    def call_soon(self, callback: Callable[..., object], *arguments: Any) -> Any:
        return self.call_later(0.0, callback, *arguments)

    def advance(self, seconds: float) -> None:
        self.time += seconds
        due = [timer for timer in self.timers if timer.due <= self.time]
        for timer in due:
            timer.cancel()
            timer.callback()


class RecordingLog:
    """A log that records its lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def line(self, topic: str, text: str) -> None:
        self.lines.append(f"{topic}: {text}")

    def exception(self, where: str) -> None:
        self.lines.append(where)


class SnapshotWriterTestbed:
    """A snapshot writer with a list that the test sets, on a disk whose writes the test makes fail."""

    def __init__(self, path: Path, patch: pytest.MonkeyPatch) -> None:
        self.path, self.clock, self.log = path, ManualClock(), RecordingLog()
        self.table, self.confirmed = snapshot(1).table, True
        self.error: OSError | None = None
        patch.setattr(atomic_file, "os", FaultyOs(lambda name: self.error if name == "write" else None))
        self.writer = SnapshotWriter(
            str(path),
            SnapshotAgeLimits(3_600.0, 60.0),
            lambda: "s:1",
            lambda: self.table,
            lambda: self.confirmed,
            self.clock,
            self.log,
            asyncio.get_running_loop(),
        )

    async def settle(self, seconds: float = 2.0) -> None:
        """Advance the clock, then wait for the end of a write that this starts."""
        self.clock.advance(seconds)
        await wait_until(lambda: not self.writer.writing)

    def version(self) -> int:
        return int(decode(self.path.read_bytes()).table["seq"])


def test_snapshot_newest_list_is_written_after_disk_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        testbed = SnapshotWriterTestbed(tmp_path / "last", monkeypatch)
        testbed.error = OSError(errno.ENOSPC, "No space left on device")
        testbed.writer.list_changed()
        await testbed.settle()
        testbed.table = snapshot(2).table
        testbed.writer.list_changed()
        for _ in range(20):
            await testbed.settle()
        assert not testbed.path.exists() and 4 <= testbed.writer.failed_writes < 10
        testbed.error = None
        await testbed.settle(MAX_RETRY_DELAY_S)
        assert testbed.version() == 2 and not testbed.clock.timers
        testbed.table = snapshot(3).table  # later changes are written as before the failures
        testbed.writer.list_changed()
        await testbed.settle()
        assert testbed.version() == 3

    test()


def test_snapshot_unconfirmed_list_is_written_once_confirmed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        testbed = SnapshotWriterTestbed(tmp_path / "last", monkeypatch)
        testbed.confirmed = False
        testbed.writer.list_changed()
        await testbed.settle()
        assert not testbed.path.exists()
        testbed.confirmed = True
        await testbed.settle()
        assert testbed.version() == 1

    test()


def test_snapshot_consecutive_failures_log_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def test() -> None:
        testbed = SnapshotWriterTestbed(tmp_path / "last", monkeypatch)
        for number in range(100):
            code = errno.EIO if number % 2 else errno.ENOSPC
            testbed.error = OSError(code, os.strerror(code))
            testbed.writer.list_changed()
            await testbed.settle(MAX_RETRY_DELAY_S)
        assert len(testbed.log.lines) == 1 and testbed.writer.failed_writes == 100
        assert "cannot be written" in testbed.log.lines[0] and "No space left" in testbed.log.lines[0]
        testbed.error = None
        await testbed.settle(MAX_RETRY_DELAY_S)
        assert len(testbed.log.lines) == 2 and "written again after 100 failures" in testbed.log.lines[1]
        assert os.listdir(tmp_path) == ["last"]

    test()


HANGING_WRITE_PROGRAM = """
import asyncio, threading, time, uvloop
from quartzford import atomic_file
from quartzford.engine import LoopClock, StderrLog
from quartzford.decision import interface as io
from quartzford.engine import StderrLog
from quartzford.load.trace import TraceError, read_trace
from quartzford.membership import snapshot_writer

hangs = threading.Event()

def fsync(descriptor):
    hangs.set()
    time.sleep(1000.0)

async def main():
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    writer = snapshot_writer.SnapshotWriter(
        "last", None, lambda: "s:1", lambda: {"hosts": []}, lambda: True, clock, StderrLog(clock.now), loop
    )
    writer.list_changed()
    while not hangs.is_set():
        await asyncio.sleep(0.001)
    writer.list_changed()
    writer.stop()

atomic_file.os.fsync = fsync
snapshot_writer.WRITE_INTERVAL_S = 0.0
uvloop.run(main())
print("ended")
"""


def test_snapshot_hanging_write_blocks_neither_loop_nor_exit(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-c", HANGING_WRITE_PROGRAM],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        timeout=20,
        check=True,
    )
    assert done.stdout == b"ended\n"


def test_snapshot_hanging_disk_logs_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def test() -> None:
        testbed, disk_recovered = SnapshotWriterTestbed(tmp_path / "last", monkeypatch), threading.Event()
        monkeypatch.setattr(writing, "write_snapshot", lambda path, snapshot: disk_recovered.wait(20.0))
        testbed.writer.refresh_age()
        testbed.clock.advance(2.0)
        for _ in range(4):
            testbed.clock.advance(30.0)
        assert len(testbed.log.lines) == 1 and "hangs" in testbed.log.lines[0]
        disk_recovered.set()
        await wait_until(lambda: not testbed.writer.writing)

    test()


def make_maintenance_file(
    disk: Any, path: Path, patch: pytest.MonkeyPatch
) -> tuple[MaintenanceFile, ManualClock, RecordingLog]:
    patch.setattr(atomic_file, "os", disk)
    clock, log = ManualClock(), RecordingLog()
    return MaintenanceFile(str(path), clock, log), clock, log


def test_maintenance_file_is_written_after_disk_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    broken, rng = [True], random.Random(3)

    def fault(name: str) -> OSError | None:
        is_faulty = broken[0] and name in ("write", "replace")
        return OSError(rng.choice([errno.ENOSPC, errno.EIO]), "fails") if is_faulty else None

    maintenance_file, clock, log = make_maintenance_file(FaultyOs(fault), tmp_path / "out", monkeypatch)
    names = {"s0"}
    maintenance_file.save(names)
    for _ in range(100):
        clock.advance(WRITE_RETRY_S)
    names.add("s1")  # a change from the other process, added to the set without a call of save
    assert len(log.lines) == 1 and os.listdir(tmp_path) == []
    broken[0] = False
    clock.advance(WRITE_RETRY_S)
    assert maintenance_file.read() == ["s0", "s1"] and len(log.lines) == 2 and not clock.timers
    broken[0] = True
    maintenance_file.save({"s2"})
    maintenance_file.stop()
    assert maintenance_file.read() == ["s0", "s1"] and not clock.timers
    broken[0] = False
    maintenance_file.save(set())
    assert maintenance_file.read() == []


def test_maintenance_file_failed_write_is_retried_at_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    errors: list[OSError | None] = [OSError(errno.EIO, "fails")]
    disk = FaultyOs(lambda name: errors[0] if name == "write" else None)
    maintenance_file, _, _ = make_maintenance_file(disk, tmp_path / "out", monkeypatch)
    maintenance_file.save({"s0"})
    errors[0] = None
    maintenance_file.stop()
    assert maintenance_file.read() == ["s0"]


def test_maintenance_file_write_killed_at_any_byte_keeps_old_content(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, page = tmp_path / "out", b'{"format":1,"out":["s0","s1"]}'
    write_maintenance_file(str(path), {"s0"})
    for written_bytes in range(len(page)):
        with monkeypatch.context() as patch:
            disk = FaultyOs(fault_at(1, SimulatedKill()))
            disk.written_bytes = written_bytes
            patch.setattr(atomic_file, "os", disk)
            with pytest.raises(SimulatedKill):
                write_maintenance_file(str(path), {"s0", "s1"})
        assert read_maintenance_file(str(path)) == ["s0"]
        half = Path(atomic_file.temporary_path(str(path)))
        assert half.read_bytes() == page[:written_bytes]
        with pytest.raises(MaintenanceFileError):
            read_maintenance_file(str(half))


def test_maintenance_file_concurrent_writers_use_separate_temporary_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The successor starts and completes a write while the predecessor is writing."""
    path, pids = tmp_path / "out", [os.getpid(), os.getppid()]

    class Overtaken(FaultyOs):
        def write(self, descriptor: int, data: bytes) -> int:
            if len(pids) == 2:
                monkeypatch.setattr(os, "getpid", lambda: pids[0])
                pids.pop()
                write_maintenance_file(str(path), {"successor"})
            return os.write(descriptor, data)

    monkeypatch.setattr(os, "getpid", lambda: pids[1])
    monkeypatch.setattr(atomic_file, "os", Overtaken(lambda name: None))
    write_maintenance_file(str(path), {"predecessor"})
    assert read_maintenance_file(str(path)) == ["predecessor"] and os.listdir(tmp_path) == ["out"]


@with_replaced_balancer
async def test_successor_writes_maintenance_file_that_predecessor_could_not(
    balancer: ReplacedBalancer,
) -> None:
    assert (await balancer.call("PUT /maintenance/enter", "s1")).status == 200
    (file,) = balancer.folder.glob("*.out")
    file.unlink()  # simulates a predecessor that could not write the file
    await balancer.replace()
    balancer.processes[-1].kill()
    await balancer.processes[-1].wait()
    await balancer.start()
    await balancer.wait_until_ready()
    assert (await balancer.metrics())["edge.upstreams_excluded"] == 1


@pytest.mark.parametrize("name", ["open", "chmod", "replace"])
def test_predecessor_listens_after_folder_recovers(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Consecutive failures leave no descriptor and no file, and log one line."""
    errors = [OSError(errno.ENOSPC, "No space left on device")]

    @async_test
    async def test() -> None:
        faulty = FaultyOs(lambda call: errors[0] if errors and call == name else None)
        monkeypatch.setattr(unix_socket, "os", faulty)
        clock, log, loop = ManualClock(), RecordingLog(), asyncio.get_running_loop()
        handover = Handover(None, str(tmp_path / "q"), clock, log, loop)  # type: ignore[arg-type]
        descriptors = len(os.listdir("/proc/self/fd"))
        handover.announce_serving()
        for _ in range(100):
            clock.advance(LISTEN_RETRY_S)
        assert len(os.listdir("/proc/self/fd")) == descriptors
        assert os.listdir(tmp_path) == [] and len(log.lines) == 1
        errors.clear()
        clock.advance(LISTEN_RETRY_S)
        assert (
            os.listdir(tmp_path) == ["q.sock"]
            and handover.predecessor_side.listener is not None
            and len(log.lines) == 2
        )
        handover.stop()
        assert not clock.timers

    test()


def test_predecessor_removes_temporary_socket_of_killed_process(tmp_path: Path) -> None:
    (tmp_path / f"q.sock.{start_and_end_process()}.tmp").write_bytes(b"")

    @async_test
    async def test() -> None:
        clock, log, loop = ManualClock(), RecordingLog(), asyncio.get_running_loop()
        handover = Handover(None, str(tmp_path / "q"), clock, log, loop)  # type: ignore[arg-type]
        handover.announce_serving()
        assert os.listdir(tmp_path) == ["q.sock"]
        handover.stop()

    test()


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="/dev/full does not exist")
def test_log_full_disk_loses_only_lines(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed log write must neither stop a reload nor change the exit status."""
    monkeypatch.setattr(test_process, "COMMAND", f"{test_process.COMMAND} 2>/dev/full")

    async def test() -> None:
        async with test_process.program(tmp_path) as balancer:
            balancer.process.send_signal(signal.SIGHUP)
            assert (await balancer.submit(request())).status == 200
            balancer.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(balancer.process.wait(), 20) == 0
        bad = await test_process.spawn("{", tmp_path / "bad.json")
        assert await asyncio.wait_for(bad.wait(), 20) == 2

    uvloop.run(test())


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="/dev/full does not exist")
def test_log_failed_write_raises_no_error(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, full = ManualClock(), open("/dev/full", "w", buffering=1)  # noqa: SIM115
    monkeypatch.setattr(sys, "stderr", full)
    log = StderrLog(clock.now)
    for _ in range(100):
        log.line("summary", "x" * 500)
        clock.advance(1.0)
    with pytest.raises(OSError):
        full.close()


def request_of(number: int) -> io.Request:
    return io.Request(number, "consulta", 2000.0, "lima", "k" * 200)


def recorder_at(path: Path) -> tuple[Recorder, RecordingLog]:
    log = RecordingLog()
    return Recorder(str(path), "plain", 10**9, ManualClock(), log), log


def test_trace_hanging_disk_close_returns_after_timeout(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)  # opened but never read
    recorder, log = recorder_at(path)
    for number in range(2_000):
        recorder.record(request_of(number), 0)
    recorder.close(0.05)
    assert recorder.thread.is_alive() and recorder.thread.daemon
    assert len(log.lines) == 1 and "hangs" in log.lines[0]
    os.close(reader)
    recorder.thread.join(20.0)


def test_trace_hanging_disk_process_exits_in_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path, operator = tmp_path / "trace", tmp_path / "operator.toml"
    operator.write_text('[trace]\nfile = "trace"\n')
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, 4_096)
    command = f"exec {sys.executable} -B -m quartzford serve --operator {operator}"
    monkeypatch.setattr(test_process, "COMMAND", command)

    async def test() -> None:
        async with test_process.program(tmp_path) as balancer:
            for _ in range(300):
                assert (await balancer.submit(request())).status == 200
            balancer.process.send_signal(signal.SIGTERM)
            _, errors = await asyncio.wait_for(balancer.process.communicate(), 20)
        assert balancer.process.returncode == 0
        waited = re.search(rb"not completely written within ([0-9.]+) s", errors)
        assert waited is not None and float(waited[1]) <= 3.0 + 0.7

    uvloop.run(test())
    os.close(reader)


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="/dev/full does not exist")
@pytest.mark.parametrize("count", [1, 2_000])
def test_trace_failure_in_last_lines_is_logged_once(count: int) -> None:
    recorder, log = recorder_at(Path("/dev/full"))
    for number in range(count):
        recorder.record(request_of(number), 0)
    recorder.close()
    recorder.close()
    assert len(log.lines) == 1 and "No space left" in log.lines[0]


def test_trace_truncated_at_any_byte_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    recorder, _ = recorder_at(path)
    for number in range(11):
        recorder.record(request_of(number), 0)
    recorder.close()
    text = path.read_text()
    assert len(list(read_trace(text.splitlines(keepends=True)))) == 11
    for length in range(len(text) - 1):
        with pytest.raises(TraceError, match="line [0-9]+: "):
            list(read_trace(text[:length].splitlines(keepends=True)))


def test_state_truncated_at_any_byte_is_rejected() -> None:
    """The successor must not use a part of the state of a predecessor killed during the handover."""
    balancer = started_balancer(6)
    listing: dict[str, Any] = {"seq": 1, "whole": True, "hosts": [LIST_ROW]}
    state = state_codec.BalancerState(
        state_codec.STATE_FORMAT, listing, 1, ["a", 1], True, 0, balancer.hand_over(5.0)
    )
    data = b"".join(state_codec.split_state(state))
    assert state_codec.decode_state(data).listing == listing
    for length in range(len(data)):
        with pytest.raises(StateFormatError, match="the state"):
            state_codec.decode_state(data[:length])


def test_maintenance_file_unreadable_is_logged(tmp_path: Path) -> None:
    path, log = tmp_path / "out", RecordingLog()
    maintenance_file = MaintenanceFile(str(path), ManualClock(), log)
    assert maintenance_file.read() == [] and not log.lines  # a missing file is not an error
    path.write_bytes(b"{")
    assert maintenance_file.read() == [] and "is not used" in log.lines[-1]
    path.unlink()
    path.mkdir()
    assert maintenance_file.read() == [] and len(log.lines) == 2


def test_extproc_stop_survives_failed_removal_of_worker_socket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The external processor stops before the balancer, which must still answer open requests."""
    extproc_site = pytest.importorskip("extproc_site")

    def fails(*arguments: Any, **named: Any) -> None:
        raise OSError(errno.EIO, "fails")

    @async_test
    async def test() -> None:
        async with extproc_site.ExtprocSite(2, workers=1) as site:
            monkeypatch.setattr(os, "unlink", fails)
            monkeypatch.setattr(os, "rmdir", fails)
            await site.front.stop()
            monkeypatch.undo()
            site.front.socket_folder.cleanup()

    test()
