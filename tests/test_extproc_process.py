"""The external processor as processes: workers that die, SIGTERM, SIGHUP, invalid operator files."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import grpc
import pytest
import uvloop
from extproc_site import ExtprocSite, RawStream, immediate_status, request_headers
from peers import SETTINGS, async_test, wait_until

from quartzford.serve import config_path
from quartzford.settings.operator_checks import OperatorError
from quartzford.settings.operator_file import read_operator_settings
from quartzford.settings.operator_settings import ExtprocSettings, RelaySettings, first_restart_only_change
from standins.caller import CallerPolicy, CallerProxy
from standins.upstream import StandInUpstream, start_upstreams

ROOT = Path(__file__).resolve().parent.parent


@async_test
async def test_workers_share_port_and_request_state() -> None:
    async with ExtprocSite(3, workers=2) as site:
        callers = [site.caller() for _ in range(8)]
        done = await asyncio.gather(*(site.submit(c, "pay") for c in callers for _ in range(10)))
        assert [d.statuses for d in done] == [[200]] * 80
        assert {site.execution_count(d.identity) for d in done} == {1}
        raw_streams = [RawStream(caller) for caller in callers]
        replies = [await raw.submit(request_headers("same")) for raw in raw_streams]
        # Whichever workers the streams reached, one gets a decision and the others get 409.
        assert sorted(map(immediate_status, replies)) == [0] + [409] * 7


@async_test
async def test_killed_worker_leaves_its_attempts_possibly_run() -> None:
    """Attempts whose decisions the killed worker's callers received may run.

    A pay request must therefore not be sent again, and the service must continue.
    """
    async with ExtprocSite(3, workers=2, return_ms=100.0) as site:
        raw_streams: list[RawStream] = []
        channels = set(site.front.channels)
        # The kernel distributes the connections over the workers.
        while len(raw_streams) < 12 or not all(channel.streams for channel in channels):
            raw_streams.append(RawStream(site.caller()))
            await raw_streams[-1].submit(request_headers(f"w{len(raw_streams) - 1}"))
        stream_count = len(raw_streams)
        assert site.open_requests() == stream_count
        site.front.workers[0].kill()
        await wait_until(lambda: site.open_requests() < stream_count)
        # The restarted worker has a new channel.
        await wait_until(lambda: any(c.port for c in site.front.channels - channels), 30)
        lost_numbers = [
            n for n in range(stream_count) if f"w{n}" not in site.front.service.requests_by_identity
        ]
        new_caller = site.caller()
        for number in lost_numbers:
            assert immediate_status(await RawStream(new_caller).submit(request_headers(f"w{number}"))) == 409
            token = raw_streams[number].token()
            assert (
                immediate_status(
                    await RawStream(new_caller).submit(request_headers(f"w{number}", "pay", token))
                )
                == 502
            )
        assert 0 < len(lost_numbers) < stream_count
        for number in set(range(stream_count)) - set(lost_numbers):
            assert immediate_status(await raw_streams[number].report(200)) == 0
        assert (await site.submit(site.caller(), "pay")).statuses == [200]


async def decide_while_worker_is_stopped(
    site: ExtprocSite, name: str
) -> tuple[RawStream, asyncio.Task[Any], str]:
    """Let a request be decided only after its worker was stopped by SIGSTOP.

    Return the caller's stream, the task that awaits its reply, and the chosen server.
    """
    for upstream in site.upstreams:
        site.registry.notify(upstream, health="draining")
    await wait_until(lambda: not site.backend.endpoints)
    raw = RawStream(site.caller())
    reply_task = asyncio.create_task(raw.submit(request_headers("c1", name)))
    await wait_until(lambda: site.open_requests() == 1)
    site.front.workers[0].send_signal(signal.SIGSTOP)
    for upstream in site.upstreams:
        site.registry.notify(upstream)
    (request,) = site.front.service.requests.values()
    await wait_until(lambda: request.attempt_stream is not None)
    assert request.attempt is not None and not reply_task.done()
    return raw, reply_task, request.attempt.server


@async_test
async def test_stopped_worker_returns_expired_decision() -> None:
    """The chosen server drains while the worker is stopped: the request must go elsewhere and run once."""
    async with ExtprocSite(3, workers=1) as site:
        raw, reply_task, chosen = await decide_while_worker_is_stopped(site, "pay")
        upstream = site.upstreams[int(chosen[1:])]
        site.registry.notify(upstream, health="draining")
        await wait_until(lambda: chosen not in site.backend.endpoints)
        await asyncio.sleep(site.extproc.decision_valid_ms / 1000.0)
        site.front.workers[0].send_signal(signal.SIGCONT)
        assert immediate_status(await reply_task) == 0
        assert raw.address() != f"127.0.0.1:{upstream.port}"
        assert site.node.engine.counts["written too late"] == site.node.engine.counts["moot"] == 1
        await raw.report(200)
        assert site.node.engine.counts["ok"] == 1 and not site.open_requests()


@async_test
async def test_caller_that_left_stopped_worker_never_ran() -> None:
    async with ExtprocSite(3, workers=1) as site:
        raw, reply_task, _ = await decide_while_worker_is_stopped(site, "pay")
        raw.drop()
        await asyncio.sleep(site.extproc.decision_valid_ms / 1000.0)
        site.front.workers[0].send_signal(signal.SIGCONT)
        with pytest.raises((asyncio.CancelledError, asyncio.InvalidStateError, grpc.aio.AioRpcError)):
            await reply_task
        await wait_until(lambda: not site.open_requests())
        done = await site.submit(site.caller(), "pay", identity="c1")
        assert done.statuses == [200] and site.execution_count("c1") == 1


class ServeProcess:
    """Runs `serve --operator FILE` in a separate process."""

    def __init__(self, folder: Path, workers: int) -> None:
        self.folder, self.workers = folder, workers
        self.operator = folder / "operator.toml"

    async def __aenter__(self) -> ServeProcess:
        self.upstreams, self.journal, self.registry = await start_upstreams(
            2, lambda n, journal: StandInUpstream(f"s{n}", journal)
        )
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "5",
            "known": self.registry.complete(),
            "discovery": f"127.0.0.1:{self.registry.port}",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        (self.folder / "balancer.json").write_text(json.dumps(config))
        self.write_operator_file()
        environment = {k: v for k, v in os.environ.items() if k != "EDGE_CONFIG"}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quartzford",
            "serve",
            "--operator",
            str(self.operator),
            cwd=ROOT,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
        )
        line = await self.wait_for_line("listening on port")
        self.port = int(line.rpartition(" ")[2])
        return self

    def write_operator_file(self, extra: str = "") -> None:
        self.operator.write_text(
            f'config = "balancer.json"\n[extproc]\nlisten = "127.0.0.1:0"\nworkers = {self.workers}\n{extra}'
        )

    async def wait_for_line(self, text: str) -> str:
        assert self.process.stderr is not None
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), 30)).decode()
            assert line, "the process ended"
            if text in line:
                return line.strip()

    async def __aexit__(self, *error: object) -> None:
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.registry.stop()
        for upstream in self.upstreams:
            await upstream.stop()

    def caller(self) -> CallerProxy:
        import random

        return CallerProxy(f"127.0.0.1:{self.port}", CallerPolicy(), random.Random(1))


async def wait_until_refused(port: int) -> None:
    """Wait until no process listens on the port."""
    with suppress(ConnectionRefusedError):
        while True:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("workers", [0, 2])
def test_sigterm_finishes_open_streams_and_exits_0(tmp_path: Path, workers: int) -> None:
    async def test() -> None:
        async with ServeProcess(tmp_path, workers) as program:
            caller = program.caller()
            raw_streams = [RawStream(caller) for _ in range(5)]
            for number, raw in enumerate(raw_streams):
                assert immediate_status(await raw.submit(request_headers(f"c{number}", left_s=2.9))) == 0
            assert caller.channel.get_state() is grpc.ChannelConnectivity.READY
            program.process.send_signal(signal.SIGTERM)
            await wait_until(
                lambda: caller.channel.get_state() is not grpc.ChannelConnectivity.READY
            )  # GOAWAY
            await wait_until_refused(program.port)  # the other worker has stopped listening as well
            rejected = RawStream(caller)  # no new stream is accepted: the caller has to use another balancer
            with pytest.raises((grpc.aio.AioRpcError, asyncio.InvalidStateError)):
                reply = await rejected.submit(request_headers("late"))
                raise AssertionError(f"a stream was accepted after GOAWAY: {reply}")
            for raw in raw_streams:  # open streams finish on their connection
                assert immediate_status(await raw.report(200)) == 0
                await raw.call.done_writing()
            assert await asyncio.wait_for(program.process.wait(), 20) == 0
            await caller.close()

    uvloop.run(test())


def test_sighup_applies_valid_file_and_rejects_invalid_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with ServeProcess(tmp_path, 1) as program:
            caller = program.caller()
            for extra, key in (
                ("retrun_ms = 5\n", "extproc.retrun_ms: no such key"),
                ("return_ms = -1\n", "extproc.return_ms: -1 is not from"),
                ("most_streams = 7\n", "extproc.most_streams: a change requires a restart"),
            ):
                program.write_operator_file(extra)
                program.process.send_signal(signal.SIGHUP)
                assert key in await program.wait_for_line("reload")
            open_stream = RawStream(caller)
            await open_stream.submit(request_headers("held"))
            program.write_operator_file('[extproc.headers]\ndestination = "x-goes-to"\n')
            program.process.send_signal(signal.SIGHUP)
            assert "in force" in await program.wait_for_line("reload")
            assert immediate_status(await open_stream.report(200)) == 0
            for _ in range(200):
                raw = RawStream(caller)
                reply = await raw.submit(request_headers(f"n{_}"))
                await raw.report(200)
                names = {o.header.key for o in reply.request_headers.response.header_mutation.set_headers}
                if "x-goes-to" in names:
                    break
                await asyncio.sleep(0.02)
            assert "x-goes-to" in names and program.process.returncode is None
            await caller.close()

    uvloop.run(test())


EXTPROC_SECTION = '[extproc]\nlisten = "127.0.0.1:9090"\n'
RELAY_SECTION = '[relay]\nlisten = "127.0.0.1:9301"\nsource = "127.0.0.1:8500"\nbalancers = 4600\n'
INVALID_FILES = [
    ("[trace]", "trace.file: missing"),
    ("[subset]", "subset.size: missing"),
    ("[subset]\nsize = 0", "subset.size: 0 is not from 1"),
    ('[trace]\nfile = "t"\nkeys = "some"', "trace.keys: 'some' is not one of hashed, plain, none"),
    ('[trace]\nfile = "t"\nmost_mb = 0', "trace.most_mb"),
    ("[lists]\ncalls_per_s = 0", "lists.calls_per_s: 0 is not from 0.01"),
    ("[lists]\nsnapshot_age_s = 5", "lists.snapshot_fresh_s: 60 is over snapshot_age_s, 5"),
    ("[lists]\nsnapshot = 5", "lists.snapshot: 5 is not a line of text"),
    ("[lists]\nservice = 1", "lists.service: no such key"),
    ('[lists]\nrelays = "a:1"', "lists.relays: 'a:1' is not a list"),
    ('[lists]\nrelays = ["a:1", 5]', "lists.relays[1]: 5 is not a line of text"),
    ('[lists]\nrelays = ["9301"]', "lists.relays[0]: '9301' is not host:port"),
    ('[lists]\nrelays = ["a:0"]', "lists.relays[0]: 'a:0' can't be called"),
    ('[lists]\nrelays = [":9301"]', "lists.relays[0]: ':9301' is not host:port"),
    ('[lists]\nrelays = ["[]:9301"]', "lists.relays[0]: '[]:9301' can't be called"),
    ('[lists]\nrelays = ["a:1", "b:1", "a:01"]', "lists.relays: 'a:01' is named twice"),
    (RELAY_SECTION.replace("listen", "# listen"), "relay.listen: missing"),
    (RELAY_SECTION.replace("source", "# source"), "relay.source: missing"),
    (RELAY_SECTION.replace("balancers", "# balancers"), "relay.balancers: missing"),
    (RELAY_SECTION.replace(":8500", ":9301"), "relay.source: '127.0.0.1:9301' is the relay's own address"),
    (RELAY_SECTION.replace(":8500", ":0"), "relay.source: '127.0.0.1:0' can't be called"),
    (RELAY_SECTION + "relays = 0", "relay.relays: 0 is not from 1"),
    (
        RELAY_SECTION + "relays = 11\nmost_watchers = 418",
        "relay.most_watchers: 418 is under this relay's share",
    ),
    (RELAY_SECTION + "whole_bytes_per_s = 0", "relay.whole_bytes_per_s: 0 is not from 1000"),
    (RELAY_SECTION + "source_calls_per_s = 0", "relay.source_calls_per_s: 0 is not from 0.01"),
    (RELAY_SECTION + "hosts = 3", "relay.hosts: no such key"),
    (
        RELAY_SECTION + '[lists]\nrelays = ["127.0.0.1:8500"]',
        "relay.source: '127.0.0.1:8500' is a relay itself",
    ),
    ("[extproc", "not TOML"),
    ("extproc = 3", "extproc: 3 is not a table"),
    ("[extproc]\nworkers = 2", "extproc.listen: missing"),
    ("[other]\nx = 1", "other: no such key"),
    ('[extproc]\nlisten = "9090"', "extproc.listen"),
    (EXTPROC_SECTION + "workers = 1.5", "extproc.workers: 1.5 is not a whole number"),
    (EXTPROC_SECTION + "workers = true", "extproc.workers"),
    (EXTPROC_SECTION + "workers = 1000", "extproc.workers: 1000 is not from 0 to 64"),
    (EXTPROC_SECTION + "decision_valid_ms = nan", "extproc.decision_valid_ms"),
    (EXTPROC_SECTION + "decision_valid_ms = 0", "extproc.decision_valid_ms"),
    (EXTPROC_SECTION + 'return_ms = "5"', "extproc.return_ms"),
    (EXTPROC_SECTION + "most_requests = 0", "extproc.most_requests"),
    (EXTPROC_SECTION + "[extproc.headers]\nidentity = 5", "extproc.headers.identity"),
    (EXTPROC_SECTION + '[extproc.headers]\nidentity = "X-Id"', "extproc.headers.identity"),
    (EXTPROC_SECTION + '[extproc.headers]\nidentiy = "x-id"', "extproc.headers.identiy: no such header"),
    (EXTPROC_SECTION + '[extproc.headers]\ntoken = "x-envoy-token"', "extproc.headers.token"),
    (EXTPROC_SECTION + '[extproc.headers]\nidentity = "host"', "extproc.headers.identity"),
    (EXTPROC_SECTION + '[extproc.headers]\nidentity = "x-a"\ntoken = "x-a"', "is used for two purposes"),
    (EXTPROC_SECTION + '[extproc.headers]\nidentity = "x-account"', "is used for two purposes"),
]


@pytest.mark.parametrize(("text", "reason"), INVALID_FILES)
def test_invalid_operator_file_is_rejected_with_its_key(text: str, reason: str) -> None:
    with pytest.raises(OperatorError) as error:
        read_operator_settings(text)
    assert reason in str(error.value) and "\n" not in str(error.value)


def test_valid_files_and_restart_only_changes() -> None:
    assert read_operator_settings("").extproc is None
    one = read_operator_settings(EXTPROC_SECTION)
    assert one.extproc == ExtprocSettings(listen="127.0.0.1:9090")
    assert first_restart_only_change(one, read_operator_settings(EXTPROC_SECTION + "return_ms = 9")) == ""
    assert (
        first_restart_only_change(one, read_operator_settings(EXTPROC_SECTION + "workers = 9"))
        == "extproc.workers"
    )
    assert first_restart_only_change(one, read_operator_settings("")) == "extproc"


def test_relay_section_and_relay_list() -> None:
    settings = read_operator_settings(RELAY_SECTION + "relays = 11").relay
    assert settings == RelaySettings("127.0.0.1:9301", "127.0.0.1:8500", 4_600, 11)
    assert settings.max_watchers() == 719  # 1.25 * 4,600 balancers shared by the 8 relays that remain of 11
    assert (
        read_operator_settings(RELAY_SECTION + "relays = 11\nmost_watchers = 419").relay.max_watchers() == 419
    )  # type: ignore[union-attr]
    named = read_operator_settings('[lists]\nrelays = ["127.0.0.1:9301", "h:2"]')
    assert named.lists is not None and named.lists.relays == ("127.0.0.1:9301", "h:2")
    assert first_restart_only_change(named, read_operator_settings('[lists]\nrelays = ["h:2"]')) == "lists"
    assert (
        first_restart_only_change(
            read_operator_settings(RELAY_SECTION), read_operator_settings(RELAY_SECTION + "relays = 2")
        )
        == "relay"
    )


def test_relay_without_section_exits_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "operator.toml").write_text("[lists]\n")
    command = [sys.executable, "-m", "quartzford", "relay", "--operator", str(tmp_path / "operator.toml")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and "section [relay] is missing" in done.stderr


def test_config_variable_overrides_operator_file(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = read_operator_settings('config = "balancer.json"')
    monkeypatch.setenv("EDGE_CONFIG", "here/c.json")
    assert config_path(settings, "/etc/q/operator.toml") == "here/c.json"
    monkeypatch.delenv("EDGE_CONFIG")
    assert config_path(settings, "/etc/q/operator.toml") == "/etc/q/balancer.json"
    assert config_path(read_operator_settings(""), "/etc/q/operator.toml") == ""


@pytest.mark.parametrize(("text", "code"), [(EXTPROC_SECTION, 0), (EXTPROC_SECTION + "x = 1", 2)])
def test_check_command_reports_validity(tmp_path: Path, text: str, code: int) -> None:
    async def test() -> None:
        path = tmp_path / "operator.toml"
        path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quartzford",
            "check",
            str(path),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        out, errors = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == code
        assert (b": valid" in out) == (code == 0) and (b"extproc.x" in errors) == (code == 2)

    uvloop.run(test())


def test_short_or_missing_key_file_prevents_start(tmp_path: Path) -> None:
    async def test(name: str) -> Any:
        async with ExtprocSite(1, token_key_file=name):
            raise AssertionError("the site started")

    short = tmp_path / "key"
    short.write_bytes(b"short")
    for name in (str(short), str(tmp_path / "none")):
        with pytest.raises(OperatorError, match="token_key_file"):
            uvloop.run(test(name))


def test_run_command_loads_no_optional_package() -> None:
    """The platform's run command has little memory and does not use gRPC."""
    import subprocess

    code = (
        "import sys, quartzford.__main__, quartzford.node; heavy = {'grpc', 'envoy', 'google', 'argparse'}"
        " & set(sys.modules); assert not heavy, heavy"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, timeout=60)
    assert done.returncode == 0, done.stderr
