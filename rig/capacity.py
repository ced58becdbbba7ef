"""How many processes a machine bears. The arithmetic is without I/O; `read` asks the system."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass
from pathlib import Path

PROCESS_MB = 45  # of one balancer under load, with its part of what the kernel keeps for it
START_CPU_S = 0.45  # imports, before the release
IDLE_CORES = 0.004  # of a balancer that serves some few requests a second
REQUEST_CPU_S = 0.0012  # balancer, fault proxy, upstream and client together
RIG_MB = 600
SPARE = 0.75  # of the machine's memory and cores are for the fleet


@dataclass(frozen=True)
class Machine:
    """What there is: free memory, cores, descriptors of one process, processes of this user."""

    memory_mb: float
    cores: float
    descriptors: int
    processes: int


def read() -> Machine:
    """This machine, now."""
    memory = 0.0
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            memory = int(line.split()[1]) / 1024
    try:
        cores = float(len(os.sched_getaffinity(0)))
    except AttributeError:  # not on this system
        cores = float(os.cpu_count() or 1)
    most = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    processes = 1 << 30 if most == resource.RLIM_INFINITY else most
    return Machine(memory, cores, resource.getrlimit(resource.RLIMIT_NOFILE)[0], processes)


def most_processes(machine: Machine, rate: float = 0.0) -> dict[str, int]:
    """Balancers that each bound alone would allow; rate: requests a second over the fleet."""
    cores = machine.cores * SPARE - rate * REQUEST_CPU_S
    return {
        "memory": int((machine.memory_mb * SPARE - RIG_MB) / PROCESS_MB),
        "cores": int(max(0.0, cores) / IDLE_CORES),
        "descriptors": (machine.descriptors - 200) // 4,  # a link's ends, a process's pipes
        "processes": machine.processes - 100,
    }


def refusal(machine: Machine, balancers: int, rate: float = 0.0) -> str:
    """Why so many can't be run here; "" if they can."""
    for name, most in most_processes(machine, rate).items():
        if balancers > most:
            return f"{balancers} balancers are too many here: {name} are enough for {max(0, most)}"
    return ""
