"""Runs quartzford processes whose system calls fail: compiles, configures and preloads the shim library."""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
import subprocess
import sys
import tempfile
import warnings
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SOURCE = Path(__file__).with_name("system_calls_shim.c")
ANSWER_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class Faults:
    """Configuration of the injected faults.

    errors: names of errnos by call, with the call names of system_calls_shim.c. one_in: one call in this many
    fails. first_calls: number of initial calls that all fail, before `one_in` applies.
    short_transfers: "read", "write" or both.
    """

    errors: dict[str, tuple[str, ...]] = field(default_factory=dict)
    one_in: int = 6
    first_calls: int = 0
    short_transfers: str = ""
    seed: int = 1

    def environment(self, ports: Iterable[int] = ()) -> dict[str, str]:
        """Return the environment variables of a process with these faults.

        ports: ports of the peers; reads fail only on connections to them.
        """
        fault_specs = [
            f"{call}:{getattr(errno, name)}:{self.one_in}"
            for call, names in self.errors.items()
            for name in names
        ]
        return {
            "LD_PRELOAD": str(library()),
            "FAULTS": " ".join(fault_specs),
            "FAULT_PORT": " ".join(map(str, ports)),
            "FAULT_FIRST": str(self.first_calls),
            "FAULT_SHORT": self.short_transfers,
            "FAULT_SEED": str(self.seed),
        }


@cache
def _compile_library() -> Path | None:
    compiler = shutil.which("cc")
    if compiler is None:
        return None
    library_path = Path(tempfile.mkdtemp(prefix="quartzford-shim-")) / "shim.so"
    options = ["-O1", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC"]
    subprocess.run([compiler, *options, "-o", str(library_path), str(SOURCE), "-ldl"], check=True)
    return library_path


def library() -> Path:
    """Return the path of the compiled library; skip the test with a warning if there is no C compiler."""
    library_path = _compile_library()
    if library_path is None:
        reason = "no C compiler: skipping the tests of failing system calls"
        warnings.warn(reason, stacklevel=2)
        pytest.skip(reason)
    return library_path


@asynccontextmanager
async def quartzford_process(
    *arguments: str, environment: dict[str, str]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run `python -m quartzford ARGUMENTS`; kill the process at the end if it still runs."""
    base = {name: value for name, value in os.environ.items() if name not in ("EDGE_CONFIG", "TMPDIR")}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "quartzford",
        *arguments,
        cwd=ROOT,
        env=base | environment,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def send_and_read(port: int, data: bytes) -> bytes:
    """Send these bytes on a new connection and return all that it answers; b"" if the connection fails."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return b""
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT_S)
    except OSError:
        return b""
    finally:
        writer.close()


def status_code(answer: bytes) -> int:
    """Return the HTTP status of an answer; 0 if there is none."""
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else 0
