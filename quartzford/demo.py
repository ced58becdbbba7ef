"""`quartzford demo`: a balancer, twelve stand-in nodos, a morning's surge, and the report. All on loopback.

While the surge comes, one nodo dies, one is drained, one falls silent; each comes back cold. The report lays
the clients' books beside the nodos'. Exit status 0 only if no rule was broken and the instrument was sound.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from quartzford.load.cli import AskError, fetch, keep, reconcile, status_of
from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour
from quartzford.load.driver import Target
from quartzford.load.run import LoadOptions, play, show

NODOS, CAPACITY = 12, 90.0
SHAPE = "constant:300+surge:650@{at:g}+{span:g}"
UP_S = 20.0


@contextmanager
def running(*arguments: str, **options: Any) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen([sys.executable, *arguments], text=True, **options)
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(15)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def wait_up(port: int, balancer: subprocess.Popen[str]) -> None:
    """Until the balancer answers its health check."""
    import urllib.error
    import urllib.request

    end = time.monotonic() + UP_S
    while time.monotonic() < end and balancer.poll() is None:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/_health", timeout=1):
                return
        except (OSError, urllib.error.HTTPError):
            time.sleep(0.05)
    raise AskError("demo: the balancer did not come up")


def script(seconds: float) -> str:
    """The trouble, in step with the surge."""
    third = seconds / 3
    return f"die@{third:g}:2 drain@{third + 1:g}:5 silent@{third + 2:g}:9"


def report_of(seconds: float, live: bool) -> dict[str, Any]:
    """Start the fleet and the balancer, play the morning, reconcile the books."""
    try:
        from standins.site import config, free_port
    except ImportError:
        raise AskError("demo: the stand-ins are not installed: pip install .[demo]") from None
    plan = {"nodos": NODOS, "capacity": CAPACITY, "trouble": script(seconds)}
    pipe = subprocess.PIPE
    with (
        tempfile.TemporaryDirectory(prefix="quartzford-demo-") as folder,
        running("-m", "standins.fleet", json.dumps(plan), stdin=pipe, stdout=pipe) as fleet,
    ):
        assert fleet.stdin is not None and fleet.stdout is not None
        told = json.loads(fleet.stdout.readline())
        port, path = free_port(), Path(folder) / "balancer.json"
        path.write_text(json.dumps(config(port, told["port"], told["list"])))
        environment = {**os.environ, "EDGE_CONFIG": str(path)}
        with running("-m", "quartzford", env=environment, stderr=subprocess.DEVNULL) as balancer:
            wait_up(port, balancer)
            load = LoadOptions(
                Target("127.0.0.1", port),
                SHAPE.format(at=seconds / 4, span=seconds * 0.6),
                seconds,
                request_classes=DEFAULT_CLASSES,
                behaviour=ClientBehaviour(),
                tenants=(("lima", 0.5), ("callao", 0.3), ("ate", 0.2)),
                attempt_log=True,
                report_progress=live,
            )

            def started() -> None:
                fleet.stdin.write("go\n")  # type: ignore[union-attr]
                fleet.stdin.flush()  # type: ignore[union-attr]

            result = watch(load, started, f"127.0.0.1:{told['port']}") if live else play(load, started)
            reconcile(result, fetch(f"127.0.0.1:{told['port']}"), load)
    return result


def watch(load: LoadOptions, started: Any, books: str) -> dict[str, Any]:
    """Play it with the live view, which tells what happens to the fleet too."""
    from quartzford.load.live import View

    with View() as view:
        view.notes.append(f"{NODOS} nodos, one balancer; a surge, a death, a drain, a silence")

        def show_all(told: list[dict[str, Any]]) -> None:
            view.notes[1:] = [f"{what}: {nodo}" for _, what, nodo in fetch(books)["events"]]
            view.show(told)

        return play(load, started, show_all)


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="quartzford demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--quiet", action="store_true", help="no live view")
    parser.add_argument("--html", metavar="FILE", default="quartzford-demo.html")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args(arguments)
    try:
        result = report_of(options.seconds, not options.quiet and sys.stdout.isatty())
        keep(result, options.json, options.html)
    except (AskError, OSError) as error:
        print(f"quartzford: {error}", file=sys.stderr)
        return 2
    print(show(result))
    print(f"the page: {options.html}")
    return status_of(result)
