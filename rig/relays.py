"""Relays of endpoint lists as processes of the program (`quartzford relay`), each with its own address."""

from __future__ import annotations

from pathlib import Path

from rig.processes import Process, ProcessGroup


def relay_address(number: int) -> str:
    """Return a relay's own loopback address: 127.11.0.1 and on."""
    return f"127.11.{number // 250}.{number % 250 + 1}"


def relay_settings(listen: str, source: str, relays: int, balancers: int, source_calls_per_s: float) -> str:
    """Return the text of one relay's operator file."""
    return (
        f'[relay]\nlisten = "{listen}"\nsource = "{source}"\nrelays = {relays}\nbalancers = {balancers}\n'
        f"source_calls_per_s = {source_calls_per_s:g}\n"
    )


def relay_processes(
    addresses: list[str], sources: list[str], balancers: int, calls_per_s: float, folder: Path
) -> ProcessGroup:
    """Return one relay for each address, not yet started. sources: where each finds the list service."""
    members = []
    for number, (listen, source) in enumerate(zip(addresses, sources, strict=True)):
        path = folder / f"relay{number}.toml"
        path.write_text(relay_settings(listen, source, len(addresses), balancers, calls_per_s))
        arguments = ("relay", "--operator", str(path))
        members.append(Process(f"relay{number}", {}, folder / f"relay{number}.log", arguments=arguments))
    return ProcessGroup(members)


def peak_resident_mb(process: Process) -> float:
    """Return the highest resident memory of a process so far in MB; 0 if it is not running."""
    if process.running is None:
        return 0.0
    try:
        text = Path(f"/proc/{process.running.pid}/status").read_text()
    except OSError:
        return 0.0
    peaks = [line.split()[1] for line in text.splitlines() if line.startswith("VmHWM:")]
    return int(peaks[0]) / 1024 if peaks else 0.0
