"""How many processes a machine bears. The arithmetic is without I/O; `read` asks the system."""

from __future__ import annotations

import math
import os
import resource
from dataclasses import dataclass
from pathlib import Path

BALANCER_MB = 45  # of one balancer under load, with its part of what the kernel keeps for it
START_CPU_S = 0.45  # imports, before the release
IDLE_CORES = 0.004  # of a balancer that serves some few requests a second
REQUEST_CPU_S = 0.0012  # balancer, fault proxy, upstream and client together
RIG_MB = 600
USABLE_SHARE = 0.75  # of the machine's memory and cores are for the fleet
SCALE_MEMORY_SHARE = 0.5  # of all of the machine's memory is what a scale run may take
MAX_SCALE_PROCESSES = 300  # of a scale run
RELAY_MB = 60.0  # of one, besides its rows
HOLLOW_PROCESS_MB = 45.0
HOLLOW_MB = 0.06  # of one hollow balancer, besides its rows
HOLLOW_CORES = 0.0003  # of one at rest
REAL_ROW_KB = 1.3
HOLLOW_ROW_KB = {"nothing": 1.2, "rows": 0.55, "module": 0.0}  # of one row in one hollow balancer


@dataclass(frozen=True)
class Machine:
    """What there is: free memory, cores, descriptors of one process, processes of this user."""

    memory_mb: float
    cores: float
    descriptors: int
    processes: int
    total_mb: float = math.inf  # of memory, in use or not


def read_machine() -> Machine:
    """This machine, now."""
    memory, total = 0.0, math.inf
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            memory = int(line.split()[1]) / 1024
        elif line.startswith("MemTotal:"):
            total = int(line.split()[1]) / 1024
    try:
        cores = float(len(os.sched_getaffinity(0)))
    except AttributeError:  # not on this system
        cores = float(os.cpu_count() or 1)
    most = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    processes = 1 << 30 if most == resource.RLIM_INFINITY else most
    return Machine(memory, cores, resource.getrlimit(resource.RLIMIT_NOFILE)[0], processes, total)


def process_limits(machine: Machine, rate: float = 0.0) -> dict[str, int]:
    """Balancers that each bound alone would allow; rate: requests a second over the fleet."""
    cores = machine.cores * USABLE_SHARE - rate * REQUEST_CPU_S
    return {
        "memory": int((machine.memory_mb * USABLE_SHARE - RIG_MB) / BALANCER_MB),
        "cores": int(max(0.0, cores) / IDLE_CORES),
        "descriptors": (machine.descriptors - 200) // 4,  # a link's ends, a process's pipes
        "processes": machine.processes - 100,
    }


def refusal(machine: Machine, balancers: int, rate: float = 0.0) -> str:
    """Why so many can't be run here; "" if they can."""
    for name, most in process_limits(machine, rate).items():
        if balancers > most:
            return f"{balancers} balancers are too many here: {name} are enough for {max(0, most)}"
    return ""


@dataclass(frozen=True)
class ScaleDemand:
    """What a scale run is to consist of. rate: requests a second; share: what hollow ones share."""

    real: int
    hollow: int
    rows: int
    relays: int = 0
    hollow_processes: int = 1
    share: str = "rows"
    rate: float = 0.0

    def memory_mb(self) -> float:
        """All of it together, with a list of rows in each that holds one."""
        row_kb = HOLLOW_ROW_KB[self.share]
        complete = (self.real + 2 * self.relays + 2 * self.hollow_processes) * self.rows * REAL_ROW_KB
        return (
            RIG_MB
            + self.real * BALANCER_MB
            + self.relays * RELAY_MB
            + self.hollow_processes * HOLLOW_PROCESS_MB
            + self.hollow * HOLLOW_MB
            + (complete + self.hollow * self.rows * row_kb) / 1024
        )

    def cores(self) -> float:
        """At rest but for requests."""
        return self.real * IDLE_CORES + self.hollow * HOLLOW_CORES + self.rate * REQUEST_CPU_S


def scale_refusal(machine: Machine, scale: ScaleDemand) -> str:
    """Why such a scale run can't be made here, with the bound; "" if it can."""
    balancers = scale.real + scale.hollow
    processes = scale.real + scale.relays + scale.hollow_processes + 4
    bounds = (
        (
            "MB of memory",
            scale.memory_mb(),
            min(machine.total_mb * SCALE_MEMORY_SHARE, machine.memory_mb * USABLE_SHARE),
        ),
        ("processes", processes, min(MAX_SCALE_PROCESSES, machine.processes - 100)),
        ("cores", scale.cores(), machine.cores * USABLE_SHARE),
        ("descriptors at the list service", balancers + 200, machine.descriptors),
        ("descriptors of the rig", 4 * scale.real + 4 * scale.relays + 200, machine.descriptors),
    )
    for name, wanted, most in bounds:
        if wanted > most:
            return (
                f"{scale.real} real and {scale.hollow} hollow balancers with {scale.rows} rows are too many "
                f"here: they take {wanted:.4g} {name}, and the bound is {most:.4g}"
            )
    return ""
