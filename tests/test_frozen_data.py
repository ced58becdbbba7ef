"""Checks that the code still reads and writes the data that other versions exchange with it.

These are files, messages between two processes, and settings. The bytes of each data format are frozen under
tests/data/stored/, and values.json has the values that the frozen code read from them. The current code must
read the same values and write the same bytes. The settings files under tests/data/settings/ are written by
hand; only the values that are read from them are frozen.
"""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from canonical import to_json_types
from test_replacement import learned_balancer
from test_wirehost import play

from quartzford.decision import interface as io
from quartzford.fronts.extproc.token import Tokens
from quartzford.load.trace import read_trace, write_trace
from quartzford.membership.listing import Listing, read_listing
from quartzford.membership.registry import Registry
from quartzford.membership.snapshot import Snapshot, decode, encode
from quartzford.recording import Recorder
from quartzford.replacement import messages
from quartzford.replacement import state as wire
from quartzford.replacement.maintenance_file import read_maintenance_file, write_maintenance_file
from quartzford.settings.configuration import read_config
from quartzford.settings.operator_file import read_operator_settings

DATA = Path(__file__).parent / "data"
STORED, SETTINGS = DATA / "stored", DATA / "settings"
VALUES = STORED / "values.json"
LIST = {
    "seq": 41,
    "whole": True,
    "hosts": [
        {
            "host": "s0",
            "dial": "10.0.0.1:8101",
            "site": "north",
            "class": "std",
            "block": 0,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0.0,
        },
        {
            "host": "s1",
            "dial": "10.0.0.2:8101",
            "site": "south",
            "class": "big",
            "block": 3,
            "health": "draining",
            "share": 2.5,
            "born_ms": 1790000000123.0,
        },
    ],
}


class DataFormat(NamedTuple):
    """A data format.

    make: returns the bytes of sample values. read, write: the program's functions, inverse to each other.
    """

    make: Callable[[], bytes]
    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes] | None = None


# ---- the snapshot of the last endpoint list


def make_snapshot() -> bytes:
    return encode(Snapshot("10.0.0.5:8500", 1_790_000_000_456.5, LIST))


# ---- a trace of requests


class ManualClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.time = 50.0

    def now(self) -> float:
        return self.time

    def call_later(self, delay: float, callback: Callable[..., object], *arguments: Any) -> None:
        """Ignore the call: with so few records, no periodic check is needed."""


class NoLog:
    """A log that fails the test if anything is logged."""

    def line(self, topic: str, text: str) -> None:
        raise AssertionError(f"{topic}: {text}")

    def exception(self, where: str) -> None:
        raise AssertionError(where)


def make_trace() -> bytes:
    clock: Any = ManualClock()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "t"
        recorder = Recorder(str(path), "plain", 10**6, clock, NoLog())
        for name, tenant, key, size, left in (
            ("consulta", "lima", "user-1", 0, 2000.0),
            ("pay", "", "", 70_000, 0.25),
            ("", "a\tb", "-", 1, 1e6),
            ("reserva ñ", "100%", "k/1", 2, 1234.567),
        ):
            clock.time += 0.012345
            recorder.record(io.Request(1, name, left, tenant, key), size)
        recorder.close()
        return path.read_bytes()


def read_rows(data: bytes) -> list[Any]:
    return list(read_trace(data.decode().splitlines(keepends=True)))


def write_rows(rows: list[Any]) -> bytes:
    return "".join(write_trace(rows)).encode()


# ---- messages between two processes


def make_state() -> bytes:
    memory = learned_balancer(tenants=(io.Tenant("acme", 100.0),)).hand_over(2_100.0)
    return write_state(wire.BalancerState(wire.STATE_FORMAT, LIST, 41, ["10.0.0.5", 8500], True, 3, memory))


def write_state(state: wire.BalancerState) -> bytes:
    return b"".join(wire.split_state(state))


def make_messages() -> bytes:
    sent: list[messages.Message] = [
        messages.Hello(wire.STATE_FORMAT, 4711),
        messages.ListenerTransfer(2),
        messages.StatePart(1, b"\x00\xff"),
        messages.Serving(),
        messages.Heartbeat(),
        messages.ClientTransfer(),
        messages.MaintenanceUpdate("s1", True),
    ]
    return write_messages(sent)


def read_messages(data: bytes) -> list[messages.Message]:
    return [messages.decode_message(bytes.fromhex(line)) for line in data.decode().splitlines()]


def write_messages(sent: list[messages.Message]) -> bytes:
    return "".join(f"{messages.encode_message(message).hex()}\n" for message in sent).encode()


def read_maintenance_names(data: bytes) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "out"
        path.write_bytes(data)
        return read_maintenance_file(str(path))


def write_maintenance_names(names: list[str]) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "out"
        write_maintenance_file(str(path), names)
        return path.read_bytes()


# ---- the endpoint list, tokens of the external processor, the simulator's protocol


def write_list(listing: Listing) -> bytes:
    registry = Registry()
    registry.apply(listing)
    return json.dumps(registry.table()).encode()


TOKENS = Tokens(b"sixteen bytes or more", b"one-life")


def make_token() -> bytes:
    return TOKENS.make(7, "c-1", 1_790_000_000_000.0).encode()


def read_token(data: bytes) -> Any:
    return TOKENS.read(data.decode(), "c-1", 1_789_999_999_999.0)


def make_actions() -> bytes:
    """Return the adapter's answers to the batches of test_wirehost.py: one action and its time a line."""
    return "".join(f"{json.dumps(line)}\n" for line in play((0, 1, 2)).items()).encode()


FORMATS: dict[str, DataFormat] = {
    "last-list.snapshot": DataFormat(make_snapshot, decode, encode),
    "requests.trace": DataFormat(make_trace, read_rows, write_rows),
    "handed-over.msgpack": DataFormat(make_state, wire.decode_state, write_state),
    "messages.hex": DataFormat(make_messages, read_messages, write_messages),
    "names.out": DataFormat(
        lambda: write_maintenance_names(["s1", "s0"]), read_maintenance_names, write_maintenance_names
    ),
    "list.json": DataFormat(lambda: write_list(read_listing(LIST)), read_listing, write_list),
    "attempt.token": DataFormat(make_token, read_token),
    "simulator.jsonl": DataFormat(make_actions, lambda data: len(data.splitlines())),
}
SETTINGS_READERS: dict[str, Callable[[str], Any]] = {".toml": read_operator_settings, ".json": read_config}


def settings_files() -> list[str]:
    """Return the names of the settings files."""
    return sorted(path.name for path in SETTINGS.iterdir())


def read_settings(name: str) -> Any:
    path = SETTINGS / name
    return SETTINGS_READERS[path.suffix](path.read_text(encoding="utf-8"))


def freeze() -> dict[str, bytes]:
    """Return the names and bytes of the frozen files, as the current code produces them."""
    files = {name: data_format.make() for name, data_format in FORMATS.items()}
    values = {name: to_json_types(FORMATS[name].read(data)) for name, data in files.items()}
    values |= {name: to_json_types(read_settings(name)) for name in settings_files()}
    lines = ",\n".join(f"{json.dumps(name)}: {json.dumps(value)}" for name, value in values.items())
    files[VALUES.name] = f"{{\n{lines}\n}}\n".encode()
    return {f"{STORED.name}/{name}": data for name, data in files.items()}


def frozen_values(name: str) -> Any:
    return json.loads(VALUES.read_text())[name]


@pytest.mark.parametrize("name", FORMATS)
def test_frozen_data_is_read_and_rewritten_unchanged(name: str) -> None:
    data_format, data = FORMATS[name], (STORED / name).read_bytes()
    value = data_format.read(data)
    assert to_json_types(value) == frozen_values(name)
    if data_format.write is not None:
        assert data_format.write(value) == data
    assert data_format.make() == data


@pytest.mark.parametrize("name", settings_files())
def test_settings_files_are_read_with_the_frozen_values(name: str) -> None:
    assert to_json_types(read_settings(name)) == frozen_values(name)


def test_every_frozen_file_has_a_format_and_values() -> None:
    assert {path.name for path in STORED.iterdir()} == {*FORMATS, VALUES.name}
    assert set(json.loads(VALUES.read_text())) == {*FORMATS, *settings_files()}
