"""Checks the direction of imports: fronts and backends -> engine -> decision module, without cycles."""

from __future__ import annotations

import ast
import gc
import subprocess
import sys
from pathlib import Path

from syntax_trees import parse_source

PACKAGE = Path(__file__).resolve().parent.parent / "quartzford"
HEAVY_LIBRARIES = {"grpc", "envoy", "google"}


def imports(path: Path) -> set[str]:
    """Return the modules that a file imports anywhere, including imports for type checking only."""
    found: set[str] = set()
    for node in ast.walk(parse_source(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


class ParsingFinalizer:
    """Object in a reference cycle whose finalizer parses a text, as printing a traceback does."""

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        ast.parse("(1 + 2) * [each for each in others]")


def test_parse_source_with_parsing_finalizers_in_garbage_succeeds() -> None:
    text = (PACKAGE / "node.py").read_text()
    thresholds = gc.get_threshold()
    gc.set_threshold(50, 5, 5)
    try:
        for _ in range(20):
            for _ in range(20):
                ParsingFinalizer()
            assert parse_source(text).body
    finally:
        gc.set_threshold(*thresholds)


def import_graph() -> dict[str, set[str]]:
    files = {}
    for path in PACKAGE.rglob("*.py"):
        parts = ("quartzford", *path.relative_to(PACKAGE).with_suffix("").parts)
        files[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return {name: imports(path) & set(files) - {name} for name, path in files.items()}


def test_imports_have_no_cycle() -> None:
    edges = import_graph()
    # A package's __init__ imports its modules, so an import of the own package is not counted as a cycle.
    edges = {
        name: {to for to in imported if not name.startswith(to + ".")} for name, imported in edges.items()
    }
    visited: set[str] = set()

    def visit(name: str, path: tuple[str, ...]) -> None:
        assert name not in path, " -> ".join((*path, name))
        if name not in visited:
            for to in sorted(edges[name]):
                visit(to, (*path, name))
            visited.add(name)

    for name in edges:
        visit(name, ())
    assert "quartzford.engine.core" in visited


def test_engine_imports_no_front_backend_or_socket() -> None:
    for path in (PACKAGE / "engine").glob("*.py"):
        imported = imports(path)
        upward = {
            n
            for n in imported
            if n.startswith("quartzford.") and n.split(".")[1] not in ("engine", "decision")
        }
        assert not upward, f"{path.name}: {upward}"
        assert not imported & {"socket", "ssl", "httptools", "random"}, path.name


def test_heavy_libraries_are_imported_only_where_needed() -> None:
    for path in PACKAGE.rglob("*.py"):
        tops = {name.split(".")[0] for name in imports(path)}
        inside = path.is_relative_to(PACKAGE / "fronts" / "extproc")
        assert inside or not tops & HEAVY_LIBRARIES, path.name
        assert path.is_relative_to(PACKAGE / "load") or "hdrh" not in tops, path.name


def test_pure_modules_import_no_io() -> None:
    """Checks imports alone: a module with its own clock, socket or random numbers would need one of these."""
    pure_modules = (
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
    for name in pure_modules:
        tops = {n.split(".")[0] for n in imports(PACKAGE / name)}
        assert not tops & {"asyncio", "socket", "time", "os", "ssl", "uvloop", "subprocess"}, name


def test_program_imports_no_rig_bench_or_tests_and_loads_no_optional_modules() -> None:
    """Only the demo imports the stand-ins."""
    for path in PACKAGE.rglob("*.py"):
        tops = {name.split(".")[0] for name in imports(path)}
        assert not tops & {"rig", "bench", "tests"}, path.name
        assert "standins" not in tops or path.name == "demo.py", path.name
    script = "import sys, quartzford.__main__ as m; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", script], cwd=PACKAGE.parent, capture_output=True, check=True
    )
    optional_modules = {
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
    names = set(completed.stdout.decode().split())
    assert not optional_modules & names
    assert not any(name.startswith("quartzford.relay") for name in names)


def test_fronts_and_backends_do_not_import_each_other() -> None:
    for side, other in (("fronts", "backends"), ("backends", "fronts")):
        for path in (PACKAGE / side).rglob("*.py"):
            assert not any(n.startswith(f"quartzford.{other}") for n in imports(path)), path.name
