"""How many processes this machine can run. Only `read_machine` asks the system; the rest is arithmetic."""

from __future__ import annotations

import math
import os
import resource
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

BALANCER_MB = 45  # one balancer under load, with the kernel memory that it causes
IDLE_CORES = 0.004  # one balancer that serves a few requests a second
REQUEST_CPU_S = 0.0012  # balancer, fault proxy, upstream and client together
RIG_MB = 600
USABLE_SHARE = 0.75  # of the machine's free memory and of its cores
SCALE_MEMORY_SHARE = 0.5  # of all memory of the machine, for a scale run
MAX_SCALE_PROCESSES = 300  # in a scale run
RESERVED_DESCRIPTORS = 200
RESERVED_PROCESSES = 100
DESCRIPTORS_PER_PROCESS = 4  # both ends of a link, and the process's pipes
STAND_IN_PROCESSES = 4  # upstreams, list service, fault proxy, clients
RELAY_MB = 60.0  # one relay, without its rows
HOLLOW_PROCESS_MB = 45.0
HOLLOW_MB = 0.06  # one hollow balancer, without its rows
HOLLOW_CORES = 0.0003  # one idle hollow balancer
REAL_ROW_KB = 1.3
HOLLOW_ROW_KB = {"nothing": 1.2, "rows": 0.55, "module": 0.0}  # one row in one hollow balancer


@dataclass(frozen=True)
class Machine:
    """Resources: free memory, cores, descriptors of one process, processes of this user, all memory."""

    memory_mb: float
    cores: float
    descriptors: int
    processes: int
    total_mb: float = math.inf


def read_machine() -> Machine:
    """Return the resources of this machine as they are now."""
    memory, total = 0.0, math.inf
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            memory = int(line.split()[1]) / 1024
        elif line.startswith("MemTotal:"):
            total = int(line.split()[1]) / 1024
    try:
        cores = float(len(os.sched_getaffinity(0)))
    except AttributeError:  # not available on this system
        cores = float(os.cpu_count() or 1)
    limit = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    processes = 1 << 30 if limit == resource.RLIM_INFINITY else limit
    return Machine(memory, cores, resource.getrlimit(resource.RLIMIT_NOFILE)[0], processes, total)


def process_limits(machine: Machine, rate: float = 0.0) -> dict[str, int]:
    """Return how many balancers each resource alone allows. rate: requests per second over the fleet."""
    cores = machine.cores * USABLE_SHARE - rate * REQUEST_CPU_S
    return {
        "memory": int((machine.memory_mb * USABLE_SHARE - RIG_MB) / BALANCER_MB),
        "cores": int(max(0.0, cores) / IDLE_CORES),
        "descriptors": (machine.descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_PROCESS,
        "processes": machine.processes - RESERVED_PROCESSES,
    }


def refusal(machine: Machine, balancers: int, rate: float = 0.0) -> str:
    """Say why so many balancers cannot run here; "" if they can."""
    for name, limit in process_limits(machine, rate).items():
        if balancers > limit:
            return f"{balancers} balancers are too many here: {name} are enough for {max(0, limit)}"
    return ""


@dataclass(frozen=True)
class ScaleDemand:
    """What a scale run consists of. rate: requests per second; share: what hollow balancers share."""

    real: int
    hollow: int
    rows: int
    relays: int = 0
    hollow_processes: int = 1
    share: str = "rows"
    rate: float = 0.0

    def memory_mb(self) -> float:
        """Return the memory of all processes, with the rows of each list that they hold, in MB."""
        row_kb = HOLLOW_ROW_KB[self.share]
        full_lists = self.real + 2 * self.relays + 2 * self.hollow_processes
        rows_kb = full_lists * self.rows * REAL_ROW_KB
        return (
            RIG_MB
            + self.real * BALANCER_MB
            + self.relays * RELAY_MB
            + self.hollow_processes * HOLLOW_PROCESS_MB
            + self.hollow * HOLLOW_MB
            + (rows_kb + self.hollow * self.rows * row_kb) / 1024
        )

    def cores(self) -> float:
        """Return the cores in use while nothing but requests happens."""
        return self.real * IDLE_CORES + self.hollow * HOLLOW_CORES + self.rate * REQUEST_CPU_S


class Bound(NamedTuple):
    """A resource, how much of it a run needs, and how much it may use."""

    resource: str
    needed: float
    limit: float


def _scale_bounds(machine: Machine, demand: ScaleDemand) -> list[Bound]:
    memory_limit = min(machine.total_mb * SCALE_MEMORY_SHARE, machine.memory_mb * USABLE_SHARE)
    processes = demand.real + demand.relays + demand.hollow_processes + STAND_IN_PROCESSES
    process_limit = min(MAX_SCALE_PROCESSES, machine.processes - RESERVED_PROCESSES)
    service_descriptors = demand.real + demand.hollow + RESERVED_DESCRIPTORS
    rig_descriptors = DESCRIPTORS_PER_PROCESS * (demand.real + demand.relays) + RESERVED_DESCRIPTORS
    return [
        Bound("MB of memory", demand.memory_mb(), memory_limit),
        Bound("processes", processes, process_limit),
        Bound("cores", demand.cores(), machine.cores * USABLE_SHARE),
        Bound("descriptors at the list service", service_descriptors, machine.descriptors),
        Bound("descriptors of the rig", rig_descriptors, machine.descriptors),
    ]


def scale_refusal(machine: Machine, demand: ScaleDemand) -> str:
    """Say why such a scale run cannot be made here, with the bound; "" if it can."""
    for bound in _scale_bounds(machine, demand):
        if bound.needed > bound.limit:
            return (
                f"{demand.real} real and {demand.hollow} hollow balancers with {demand.rows} rows are too "
                f"many here: they take {bound.needed:.4g} {bound.resource}, "
                f"and the bound is {bound.limit:.4g}"
            )
    return ""
