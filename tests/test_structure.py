"""Imports point one way: fronts and backends to the engine, the engine to the module; no circles."""

from __future__ import annotations

import ast
import gc
import subprocess
import sys
from pathlib import Path

from syntax_trees import parse_source

PACKAGE = Path(__file__).resolve().parent.parent / "quartzford"
HEAVY = {"grpc", "envoy", "google"}


def imports(path: Path) -> set[str]:
    """The modules that a file names at its top level or anywhere else, also for type checking only."""
    found: set[str] = set()
    for node in ast.walk(parse_source(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


class ParsesAtItsEnd:
    """Garbage in a circle whose finalizer parses a text, as a traceback that is written down does."""

    def __init__(self) -> None:
        self.circle = self

    def __del__(self) -> None:
        ast.parse("(1 + 2) * [each for each in others]")


def test_garbage_that_parses_at_its_end_does_not_disturb_a_parse() -> None:
    text = (PACKAGE / "node.py").read_text()
    thresholds = gc.get_threshold()
    gc.set_threshold(50, 5, 5)
    try:
        for _ in range(20):
            for _ in range(20):
                ParsesAtItsEnd()
            assert parse_source(text).body
    finally:
        gc.set_threshold(*thresholds)


def import_graph() -> dict[str, set[str]]:
    files = {}
    for path in PACKAGE.rglob("*.py"):
        parts = ("quartzford", *path.relative_to(PACKAGE).with_suffix("").parts)
        files[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return {name: imports(path) & set(files) - {name} for name, path in files.items()}


def test_no_module_imports_itself_by_a_detour() -> None:
    edges = import_graph()
    # A package's face stands for its parts: who imports the face is not in a circle with its own package.
    edges = {name: {to for to in out if not name.startswith(to + ".")} for name, out in edges.items()}
    done: set[str] = set()

    def visit(name: str, path: tuple[str, ...]) -> None:
        assert name not in path, " -> ".join((*path, name))
        if name not in done:
            for to in sorted(edges[name]):
                visit(to, (*path, name))
            done.add(name)

    for name in edges:
        visit(name, ())
    assert "quartzford.engine.core" in done


def test_the_engine_knows_no_front_no_backend_and_no_socket() -> None:
    for path in (PACKAGE / "engine").glob("*.py"):
        named = imports(path)
        above = {
            n for n in named if n.startswith("quartzford.") and n.split(".")[1] not in ("engine", "decision")
        }
        assert not above, f"{path.name}: {above}"
        assert not named & {"socket", "ssl", "httptools", "random"}, path.name


def test_heavy_libraries_stay_with_the_part_that_needs_them() -> None:
    for path in PACKAGE.rglob("*.py"):
        tops = {name.split(".")[0] for name in imports(path)}
        inside = path.is_relative_to(PACKAGE / "fronts" / "extproc")
        assert inside or not tops & HEAVY, path.name
        assert path.is_relative_to(PACKAGE / "load") or "hdrh" not in tops, path.name


def test_modules_that_decide_do_no_io() -> None:
    """Imports alone: a clock, a socket or a draw of their own would be named here."""
    pure = (
        "decision/logic.py",
        "decision/interface.py",
        "decision/learned_state.py",
        "decision/checks.py",
        "decision/endpoint_set.py",
        "decision/latency.py",
        "decision/list_polling.py",
        "decision/request_state.py",
        "decision/server.py",
        "decision/outlier_ejection.py",
        "decision/responsiveness.py",
        "decision/slow_start.py",
        "decision/admission.py",
        "decision/memory.py",
        "decision/estimates.py",
        "engine/request_counters.py",
        "resource_limits.py",
        "graceful_shutdown.py",
        "housekeeping.py",
        "handover_state.py",
        "replacement/messages.py",
        "replacement/state_machine.py",
        "replacement/state.py",
        "replacement/encoded_learned_state.py",
        "backends/caller.py",
        "backends/outcomes.py",
        "backends/response_reader.py",
        "fronts/exchange.py",
        "fronts/request_intake.py",
        "fronts/request_reader.py",
        "fronts/response_writer.py",
        "fronts/responses.py",
        "protocols/http2/connection.py",
        "protocols/http2/flow_control.py",
        "protocols/http2/frames.py",
        "protocols/http2/header_blocks.py",
        "protocols/onecall.py",
        "membership/registry.py",
        "membership/call_policy.py",
        "membership/addresses.py",
        "membership/relay_call_policy.py",
        "membership/snapshot.py",
        "load/shapes.py",
        "load/clients.py",
        "load/trace.py",
        "load/record.py",
        "fronts/extproc/attempt_result.py",
        "fronts/extproc/channel_messages.py",
        "fronts/extproc/completed_requests.py",
        "fronts/extproc/decision_messages.py",
        "fronts/extproc/decision_service.py",
        "fronts/extproc/message_queue.py",
        "fronts/extproc/remote_request.py",
        "fronts/extproc/token.py",
    )
    for name in pure:
        tops = {n.split(".")[0] for n in imports(PACKAGE / name)}
        assert not tops & {"asyncio", "socket", "time", "os", "ssl", "uvloop", "subprocess"}, name


def test_the_program_knows_neither_the_rig_nor_benches_and_the_platforms_run_no_extras() -> None:
    """Stand-ins are named by the demo alone."""
    for path in PACKAGE.rglob("*.py"):
        tops = {name.split(".")[0] for name in imports(path)}
        assert not tops & {"rig", "bench", "tests"}, path.name
        assert "standins" not in tops or path.name == "demo.py", path.name
    eager = "import sys, quartzford.__main__ as m; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", eager], cwd=PACKAGE.parent, capture_output=True, check=True
    )
    extras = {
        "numpy",
        "msgspec",
        "email",
        "quartzford.membership.snapshot_writer",
        "quartzford.membership.snapshot",
        "quartzford.membership.relay_call_policy",
        "quartzford.metrics",
        "quartzford.serve",
        "quartzford.replaceable_node",
        "quartzford.replacement.handover",
    }
    names = set(loaded.stdout.decode().split())
    assert not extras & names
    assert not any(name.startswith("quartzford.relay") for name in names)


def test_fronts_and_backends_do_not_know_each_other() -> None:
    for side, other in (("fronts", "backends"), ("backends", "fronts")):
        for path in (PACKAGE / side).rglob("*.py"):
            assert not any(n.startswith(f"quartzford.{other}") for n in imports(path)), path.name
