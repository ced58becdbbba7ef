"""Relays of lists as processes of the program: `quartzford relay`, each with an address of its own."""

from __future__ import annotations

from pathlib import Path

from rig.processes import Process, ProcessGroup


def relay_address(number: int) -> str:
    """A relay's own loopback address: 127.11.0.1 and on."""
    return f"127.11.{number // 250}.{number % 250 + 1}"


def relay_settings(listen: str, source: str, relays: int, balancers: int, source_calls_per_s: float) -> str:
    """An operator's file for one relay."""
    return (
        f'[relay]\nlisten = "{listen}"\nsource = "{source}"\nrelays = {relays}\nbalancers = {balancers}\n'
        f"source_calls_per_s = {source_calls_per_s:g}\n"
    )


def relay_processes(
    addresses: list[str], sources: list[str], balancers: int, calls_per_s: float, folder: Path
) -> ProcessGroup:
    """So many relays, not yet started. sources: where each finds the list service."""
    members = []
    for number, (listen, source) in enumerate(zip(addresses, sources, strict=True)):
        path = folder / f"relay{number}.toml"
        path.write_text(relay_settings(listen, source, len(addresses), balancers, calls_per_s))
        arguments = ("relay", "--operator", str(path))
        members.append(Process(f"relay{number}", {}, folder / f"relay{number}.log", arguments=arguments))
    return ProcessGroup(members)


def peak_resident_mb(one: Process) -> float:
    """The most resident memory that a process has had so far; 0 if it has gone."""
    if one.running is None:
        return 0.0
    try:
        text = Path(f"/proc/{one.running.pid}/status").read_text()
    except OSError:
        return 0.0
    found = [line.split()[1] for line in text.splitlines() if line.startswith("VmHWM:")]
    return int(found[0]) / 1024 if found else 0.0
