"""Processes of ours whose system calls fail: a preloaded library, compiled here, and how it is told."""

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
READY_S = 20.0


@dataclass(frozen=True)
class Faults:
    """Which calls fail. errors: by call, as system_calls_shim.c names them; one_in: how many calls fail.

    first_calls: so many calls fail before that. short_transfers: "read", "write" or both.
    """

    errors: dict[str, tuple[str, ...]] = field(default_factory=dict)
    one_in: int = 6
    first_calls: int = 0
    short_transfers: str = ""
    seed: int = 1

    def environment(self, ports: Iterable[int] = ()) -> dict[str, str]:
        """The variables of a process with these faults. ports: of peers whose connections' reads fail."""
        listed = [
            f"{call}:{getattr(errno, name)}:{self.one_in}"
            for call, names in self.errors.items()
            for name in names
        ]
        return {
            "LD_PRELOAD": str(library()),
            "FAULTS": " ".join(listed),
            "FAULT_PORT": " ".join(map(str, ports)),
            "FAULT_FIRST": str(self.first_calls),
            "FAULT_SHORT": self.short_transfers,
            "FAULT_SEED": str(self.seed),
        }


@cache
def _compiled() -> Path | None:
    compiler = shutil.which("cc")
    if compiler is None:
        return None
    target = Path(tempfile.mkdtemp(prefix="quartzford-shim-")) / "shim.so"
    options = ["-O1", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC"]
    subprocess.run([compiler, *options, "-o", str(target), str(SOURCE), "-ldl"], check=True)
    return target


def library() -> Path:
    """The compiled library; the test is skipped, and says so, where there is no compiler."""
    target = _compiled()
    if target is None:
        reason = "no C compiler: system calls that fail are not tested here"
        warnings.warn(reason, stacklevel=2)
        pytest.skip(reason)
    return target


@asynccontextmanager
async def quartzford_process(
    *arguments: str, environment: dict[str, str]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """`python -m quartzford ARGUMENTS`, killed at the end if it still runs."""
    base = {name: value for name, value in os.environ.items() if name not in ("EDGE_CONFIG", "TMPDIR")}
    one = await asyncio.create_subprocess_exec(
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
        yield one
    finally:
        with suppress(ProcessLookupError):
            one.kill()
        await one.wait()


async def send_and_read(port: int, data: bytes) -> bytes:
    """What a new connection brings for these bytes, up to its end; b"" where it breaks."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return b""
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), READY_S)
    except OSError:
        return b""
    finally:
        writer.close()


def status_code(answer: bytes) -> int:
    """The status of an answer; 0 where there is none."""
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else 0
