"""The decision module of a checkout in a process of its own, which measures its costs on request.

Each checkout has its own names of events and settings, so its own bench.decisions drives its module here.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

from bench.common import ROOT

# It also runs in earlier checkouts: what it names in bench.decisions stays as it is there.
DRIVER = """
import json, sys
from bench import decisions
from quartzford.decision.logic import Balancer
make, servers, warm_up = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
site = decisions.Site(Balancer if make == "Balancer" else decisions.old_module(), servers)
for _ in range(warm_up):
    site.request()
print(json.dumps(site.join_ms), flush=True)
for line in sys.stdin:
    count = int(line)
    request_us = sum(site.request() for _ in range(count)) / count
    print(json.dumps([request_us, site.change()]), flush=True)
"""
WARM_UP = 120  # requests; from there on each comes with an answer


class Cost(NamedTuple):
    """What one request, with an answer, and one list change cost: the module's own time in microseconds."""

    request_us: float
    change_us: float


class ModuleProcess:
    """A context manager: a checkout's module with so many servers in its list.

    first_list_ms: the module's time for its first list.
    """

    def __init__(self, checkout: Path, make: str, servers: int) -> None:
        """Start the process. make: "Balancer", or "old_module()" for the first module, as bench has it."""
        environment = {**os.environ, "PYTHONPATH": str(checkout), "GIT_DIR": str(ROOT / ".git")}
        self._process = subprocess.Popen(
            [sys.executable, "-c", DRIVER, make, str(servers), str(WARM_UP)],
            cwd=checkout,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def __enter__(self) -> ModuleProcess:
        self.first_list_ms = float(self._read())
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: TracebackType | None) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait()

    def measure(self, requests: int) -> Cost:
        """The mean cost of so many requests, and of one list change after them.

        RuntimeError: the process has ended.
        """
        assert self._process.stdin is not None
        self._process.stdin.write(f"{requests}\n")
        self._process.stdin.flush()
        request_us, change_us = self._read()
        return Cost(request_us, change_us)

    def _read(self) -> Any:
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"the module's process ended with status {self._process.wait()}")
        return json.loads(line)
