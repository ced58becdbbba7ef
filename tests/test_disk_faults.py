"""Files on a disk that fails for a while, hangs, or is left behind by a kill in the middle of a write."""

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
from quartzford.replacement import state as wire
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
CALLS = ("open", "write", "fsync", "close", "replace", "unlink", "chmod")


def snapshot(version: int) -> Snapshot:
    return Snapshot("127.0.0.1:8500", 1_000.0, {"seq": version, "whole": True, "hosts": [LIST_ROW]})


class Killed(BaseException):
    """The process ends here; no handler of its own runs any more."""


class FaultyOs:
    """The `os` module with calls that fail. fault: by the call's name, the error to raise or None."""

    def __init__(self, fault: Callable[[str], BaseException | None]) -> None:
        self.fault = fault
        self.kept = 0  # bytes of a failing write that reach the file

    def __getattr__(self, name: str) -> Any:
        real = getattr(os, name)
        return self._failing(name, real) if name in CALLS else real

    def _failing(self, name: str, real: Any) -> Any:
        def call(*arguments: Any) -> Any:
            error = self.fault(name)
            if error is None:
                return real(*arguments)
            if name == "close":  # on Linux the descriptor is gone all the same
                real(*arguments)
            if name == "write":
                real(arguments[0], bytes(arguments[1])[: self.kept])
            raise error

        return call


def fault_at(number: int, error: BaseException) -> Callable[[str], BaseException | None]:
    """The call of this number fails, counted from 0, and no other."""
    left = [number]

    def fault(name: str) -> BaseException | None:
        left[0] -= 1
        return error if left[0] == -1 else None

    return fault


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("number", range(8))  # open, write, fsync, close, replace, and the folder's three
def test_each_call_that_fails_leaves_a_complete_file_and_no_temporary_file(
    number: int, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "last"
    write_snapshot(str(path), snapshot(1))
    descriptors = len(os.listdir("/proc/self/fd"))
    faulty = FaultyOs(fault_at(number, OSError(code, os.strerror(code))))
    faulty.kept = 7
    monkeypatch.setattr(atomic_file, "os", faulty)
    with pytest.raises(OSError):
        write_snapshot(str(path), snapshot(2))
    assert os.listdir(tmp_path) == ["last"]
    assert decode(path.read_bytes()) == snapshot(1 if number < 5 else 2)
    assert len(os.listdir("/proc/self/fd")) == descriptors


def test_a_thousand_failures_leave_one_temporary_file_at_most_and_the_next_write_none(
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
            faulty.kept = rng.randrange(100)
            try:
                write_snapshot(str(path), snapshot(failed))
            except OSError:
                failed += 1
            assert len(os.listdir(tmp_path)) <= 2
            decode(path.read_bytes())
    write_snapshot(str(path), snapshot(7))
    assert os.listdir(tmp_path) == ["last"] and decode(path.read_bytes()) == snapshot(7)


def ended_process() -> int:
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    return process.pid


def test_a_kill_at_any_byte_leaves_the_old_file_and_half_a_one_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, data = tmp_path / "last", encode(snapshot(2))
    write_snapshot(str(path), snapshot(1))
    for kept in range(len(data)):
        with monkeypatch.context() as patch:
            faulty = FaultyOs(fault_at(1, Killed()))
            faulty.kept = kept
            patch.setattr(atomic_file, "os", faulty)
            with pytest.raises(Killed):
                write_snapshot(str(path), snapshot(2))
        assert decode(path.read_bytes()) == snapshot(1)
        half = Path(atomic_file.temporary_path(str(path))).read_bytes()
        assert half == data[:kept]
        with pytest.raises(SnapshotError, match="."):
            decode(half)


def test_kills_don_t_pile_up_files_and_those_of_running_processes_stay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two processes may write at once while one replaces the other; other files are nobody's business."""
    path, ended = tmp_path / "last", ended_process()
    for number in range(4):  # after open, write, fsync and close
        with monkeypatch.context() as patch, suppress(Killed):
            patch.setattr(atomic_file, "os", FaultyOs(fault_at(number + 1, Killed())))
            patch.setattr(os, "getpid", lambda: ended)
            write_snapshot(str(path), snapshot(1))
        assert os.listdir(tmp_path) == [f"last.{ended}.tmp"]
    others = {f"last.{os.getppid()}.tmp", "last.1", "last.old.tmp", f"list.{ended}.tmp"}
    for name in others:
        (tmp_path / name).write_bytes(b"")
    write_snapshot(str(path), snapshot(2))
    assert set(os.listdir(tmp_path)) == others | {"last"}


class Timer(NamedTuple):
    """A callback that is due at a time; cancelled, it stays without effect."""

    due: float
    callback: Callable[[], object]
    timers: list[Timer]

    def cancel(self) -> None:
        self.timers[:] = [timer for timer in self.timers if timer is not self]


class ManualClock:
    """Time that the test moves."""

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


class Lines:
    """A log that is kept."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def line(self, topic: str, text: str) -> None:
        self.lines.append(f"{topic}: {text}")

    def exception(self, where: str) -> None:
        self.lines.append(where)


class Site:
    """A snapshot writer over a list that the test sets, on a disk that the test breaks."""

    def __init__(self, path: Path, patch: pytest.MonkeyPatch) -> None:
        self.path, self.clock, self.log = path, ManualClock(), Lines()
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
        """Let so much time pass, and a write that it starts come to its end."""
        self.clock.advance(seconds)
        await wait_until(lambda: not self.writer.writing)

    def version(self) -> int:
        return int(decode(self.path.read_bytes()).table["seq"])


def test_the_newest_list_is_written_once_the_disk_is_well_without_a_further_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        site = Site(tmp_path / "last", monkeypatch)
        site.error = OSError(errno.ENOSPC, "No space left on device")
        site.writer.list_changed()
        await site.settle()
        site.table = snapshot(2).table
        site.writer.list_changed()
        for _ in range(20):
            await site.settle()
        assert not site.path.exists() and 4 <= site.writer.failed_writes < 10
        site.error = None
        await site.settle(MAX_RETRY_DELAY_S)
        assert site.version() == 2 and not site.clock.timers
        site.table = snapshot(3).table  # from then on as if nothing had been
        site.writer.list_changed()
        await site.settle()
        assert site.version() == 3

    test()


def test_a_change_while_the_list_is_not_confirmed_is_written_when_it_is(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        site = Site(tmp_path / "last", monkeypatch)
        site.confirmed = False
        site.writer.list_changed()
        await site.settle()
        assert not site.path.exists()
        site.confirmed = True
        await site.settle()
        assert site.version() == 1

    test()


def test_failures_in_a_row_are_one_line_whatever_their_errors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        site = Site(tmp_path / "last", monkeypatch)
        for number in range(100):
            code = errno.EIO if number % 2 else errno.ENOSPC
            site.error = OSError(code, os.strerror(code))
            site.writer.list_changed()
            await site.settle(MAX_RETRY_DELAY_S)
        assert len(site.log.lines) == 1 and site.writer.failed_writes == 100
        assert "cannot be written" in site.log.lines[0] and "No space left" in site.log.lines[0]
        site.error = None
        await site.settle(MAX_RETRY_DELAY_S)
        assert len(site.log.lines) == 2 and "written again after 100 failures" in site.log.lines[1]
        assert os.listdir(tmp_path) == ["last"]

    test()


HANGING = """
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


def test_a_write_that_hangs_holds_up_neither_the_loop_nor_the_end_of_the_process(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-c", HANGING],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        timeout=20,
        check=True,
    )
    assert done.stdout == b"ended\n"


def test_a_disk_that_hangs_is_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def test() -> None:
        site, well = Site(tmp_path / "last", monkeypatch), threading.Event()
        monkeypatch.setattr(writing, "write_snapshot", lambda path, one: well.wait(20.0))
        site.writer.refresh_age()
        site.clock.advance(2.0)
        for _ in range(4):
            site.clock.advance(30.0)
        assert len(site.log.lines) == 1 and "hangs" in site.log.lines[0]
        well.set()
        await wait_until(lambda: not site.writer.writing)

    test()


def maintenance_file_on(
    disk: Any, path: Path, patch: pytest.MonkeyPatch
) -> tuple[MaintenanceFile, ManualClock, Lines]:
    patch.setattr(atomic_file, "os", disk)
    clock, log = ManualClock(), Lines()
    return MaintenanceFile(str(path), clock, log), clock, log


def test_endpoints_in_maintenance_go_on_file_once_the_disk_is_well(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    broken, rng = [True], random.Random(3)

    def fault(name: str) -> OSError | None:
        wanted = broken[0] and name in ("write", "replace")
        return OSError(rng.choice([errno.ENOSPC, errno.EIO]), "fails") if wanted else None

    maintenance_file, clock, log = maintenance_file_on(FaultyOs(fault), tmp_path / "out", monkeypatch)
    names = {"s0"}
    maintenance_file.save(names)
    for _ in range(100):
        clock.advance(WRITE_RETRY_S)
    names.add("s1")  # told meanwhile by the other process, which keeps its own file of it
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


def test_a_maintenance_file_that_could_not_be_written_is_retried_at_the_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    errors: list[OSError | None] = [OSError(errno.EIO, "fails")]
    disk = FaultyOs(lambda name: errors[0] if name == "write" else None)
    maintenance_file, _, _ = maintenance_file_on(disk, tmp_path / "out", monkeypatch)
    maintenance_file.save({"s0"})
    errors[0] = None
    maintenance_file.stop()
    assert maintenance_file.read() == ["s0"]


def test_a_kill_at_any_byte_of_the_maintenance_file_leaves_the_old_content(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, page = tmp_path / "out", b'{"format":1,"out":["s0","s1"]}'
    write_maintenance_file(str(path), {"s0"})
    for kept in range(len(page)):
        with monkeypatch.context() as patch:
            disk = FaultyOs(fault_at(1, Killed()))
            disk.kept = kept
            patch.setattr(atomic_file, "os", disk)
            with pytest.raises(Killed):
                write_maintenance_file(str(path), {"s0", "s1"})
        assert read_maintenance_file(str(path)) == ["s0"]
        half = Path(atomic_file.temporary_path(str(path)))
        assert half.read_bytes() == page[:kept]
        with pytest.raises(MaintenanceFileError):
            read_maintenance_file(str(half))


def test_two_processes_that_write_the_maintenance_file_at_once_don_t_meet_in_one_temporary_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old one's write is on when the successor's begins and ends."""
    path, pids = tmp_path / "out", [os.getpid(), os.getppid()]

    class Overtaken(FaultyOs):
        def write(self, descriptor: int, data: bytes) -> int:
            if len(pids) == 2:
                monkeypatch.setattr(os, "getpid", lambda: pids[0])
                pids.pop()
                write_maintenance_file(str(path), {"new"})
            return os.write(descriptor, data)

    monkeypatch.setattr(os, "getpid", lambda: pids[1])
    monkeypatch.setattr(atomic_file, "os", Overtaken(lambda name: None))
    write_maintenance_file(str(path), {"of the old one"})
    assert read_maintenance_file(str(path)) == ["of the old one"] and os.listdir(tmp_path) == ["out"]


@with_replaced_balancer
async def test_maintenance_that_the_predecessor_could_not_write_is_written_by_its_successor(
    balancer: ReplacedBalancer,
) -> None:
    assert (await balancer.call("PUT /maintenance/enter", "s1")).status == 200
    (file,) = balancer.folder.glob("*.out")
    file.unlink()  # as if it had never been written
    await balancer.replace()
    balancer.processes[-1].kill()
    await balancer.processes[-1].wait()
    await balancer.start()
    await balancer.yes()
    assert (await balancer.metrics())["edge.upstreams_excluded"] == 1


@pytest.mark.parametrize("name", ["open", "chmod", "replace"])
def test_a_successor_can_come_once_the_folder_is_well(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failures in a row leave no descriptor and no file, and are one line."""
    errors = [OSError(errno.ENOSPC, "No space left on device")]

    @async_test
    async def test() -> None:
        faulty = FaultyOs(lambda call: errors[0] if errors and call == name else None)
        monkeypatch.setattr(unix_socket, "os", faulty)
        clock, log, loop = ManualClock(), Lines(), asyncio.get_running_loop()
        one = Handover(None, str(tmp_path / "q"), clock, log, loop)  # type: ignore[arg-type]
        descriptors = len(os.listdir("/proc/self/fd"))
        one.announce_serving()
        for _ in range(100):
            clock.advance(LISTEN_RETRY_S)
        assert len(os.listdir("/proc/self/fd")) == descriptors
        assert os.listdir(tmp_path) == [] and len(log.lines) == 1
        errors.clear()
        clock.advance(LISTEN_RETRY_S)
        assert (
            os.listdir(tmp_path) == ["q.sock"]
            and one.predecessor_side.listener is not None
            and len(log.lines) == 2
        )
        one.stop()
        assert not clock.timers

    test()


def test_the_socket_of_a_process_killed_before_it_took_over_the_path_is_removed(tmp_path: Path) -> None:
    (tmp_path / f"q.sock.{ended_process()}.tmp").write_bytes(b"")

    @async_test
    async def test() -> None:
        clock, log, loop = ManualClock(), Lines(), asyncio.get_running_loop()
        one = Handover(None, str(tmp_path / "q"), clock, log, loop)  # type: ignore[arg-type]
        one.announce_serving()
        assert os.listdir(tmp_path) == ["q.sock"]
        one.stop()

    test()


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="no device that is full")
def test_a_full_disk_behind_the_log_costs_lines(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A reload goes on behind its line, and the exit status stays."""
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


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="no device that is full")
def test_a_line_that_can_t_be_written_raises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
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


def recorder_at(path: Path) -> tuple[Recorder, Lines]:
    log = Lines()
    return Recorder(str(path), "plain", 10**9, ManualClock(), log), log


def test_a_trace_whose_disk_hangs_is_not_waited_for_beyond_its_time(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)  # which reads nothing
    recorder, log = recorder_at(path)
    for number in range(2_000):
        recorder.record(request_of(number), 0)
    recorder.close(0.05)
    assert recorder.thread.is_alive() and recorder.thread.daemon
    assert len(log.lines) == 1 and "hangs" in log.lines[0]
    os.close(reader)
    recorder.thread.join(20.0)


def test_a_process_whose_trace_hangs_ends_in_its_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
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
        waited = re.search(rb"not written to its end within ([0-9.]+) s", errors)
        assert waited is not None and float(waited[1]) <= 3.0 + 0.7

    uvloop.run(test())
    os.close(reader)


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="no device that is full")
@pytest.mark.parametrize("count", [1, 2_000])
def test_a_trace_that_fails_in_its_last_lines_says_so_once(count: int) -> None:
    recorder, log = recorder_at(Path("/dev/full"))
    for number in range(count):
        recorder.record(request_of(number), 0)
    recorder.close()
    recorder.close()
    assert len(log.lines) == 1 and "No space left" in log.lines[0]


def test_a_trace_cut_off_at_any_byte_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "trace"
    recorder, _ = recorder_at(path)
    for number in range(11):
        recorder.record(request_of(number), 0)
    recorder.close()
    text = path.read_text()
    assert len(list(read_trace(text.splitlines(keepends=True)))) == 11
    for kept in range(len(text) - 1):
        with pytest.raises(TraceError, match="line [0-9]+: "):
            list(read_trace(text[:kept].splitlines(keepends=True)))


def test_a_handed_over_state_cut_off_at_any_byte_is_refused() -> None:
    """A predecessor that is killed half way: nothing is taken from a part of its state."""
    balancer = started_balancer(6)
    listing: dict[str, Any] = {"seq": 1, "whole": True, "hosts": [LIST_ROW]}
    one = wire.BalancerState(wire.STATE_FORMAT, listing, 1, ["a", 1], True, 0, balancer.hand_over(5.0))
    data = b"".join(wire.split_state(one))
    assert wire.decode_state(data).listing == listing
    for kept in range(len(data)):
        with pytest.raises(StateFormatError, match="the state"):
            wire.decode_state(data[:kept])


def test_a_maintenance_file_that_can_t_be_read_is_logged(tmp_path: Path) -> None:
    path, log = tmp_path / "out", Lines()
    maintenance_file = MaintenanceFile(str(path), ManualClock(), log)
    assert maintenance_file.read() == [] and not log.lines  # there is none yet
    path.write_bytes(b"{")
    assert maintenance_file.read() == [] and "is not used" in log.lines[-1]
    path.unlink()
    path.mkdir()
    assert maintenance_file.read() == [] and len(log.lines) == 2


def test_a_worker_s_socket_that_can_t_be_removed_does_not_break_the_end_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The external processor ends before the balancer, which still answers its requests."""
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
            site.front.folder.cleanup()

    test()
