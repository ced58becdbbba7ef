"""The target's size, the platform's protocol and the program's own bounds, as the model uses them. No I/O.

Sizes are in bytes, times in seconds, rates a second, shares of a core as numbers (0.016 is 1.6%). KB and MB
are 10^3 and 10^6 bytes, which is the stricter reading of the operators' letter.
"""

from __future__ import annotations

from dataclasses import dataclass

OPERATORS_LETTER = "the operators' letter"
DAY_S = 86_400.0
KB, MB = 1e3, 1e6


@dataclass(frozen=True)
class Target:
    """The size that has to be carried in about two years; all figures are from the operators' letter."""

    balancers: int = 4_600
    upstreams: int = 63_000
    services: int = 2_700
    requests_per_s: float = 550_000.0
    routes: int = 60_000
    tenants: int = 180_000
    added_latency_s: float = 1.7e-3  # the most that may be added to 99 in 100 requests
    slow_request_share: float = 0.01  # of requests that may be given more latency
    regions: int = 6
    zones: int = 15  # in all regions together
    changes_per_day: float = 2_700.0  # of the configuration
    change_within_s: float = 19.0
    control_cores: float = 0.016  # share of a core that a balancer may spend on control
    control_bytes: float = 256 * MB
    control_bytes_per_s: float = 15 * KB
    control_machines: int = 11
    failed_per_day: float = 210.0
    replaced_per_day: float = 6_900.0
    rack_upstreams: int = 40  # that are lost in one instant (issue 47, part 2)


@dataclass(frozen=True)
class DiscoveryProtocol:
    """What the platform's protocol requires (PROTOCOL, section Discovery)."""

    notified_s: float = 6.0  # by when balancers have to know what discovery has
    heartbeat_s: float = 2.0
    heartbeat_bytes: float = 6.0  # an empty line as a chunk: "1\r\n\n\r\n"


@dataclass(frozen=True)
class ProgramBounds:
    """Bounds in the program's code today; the command reads them out of its modules."""

    calls_per_s: float  # that a list service is taken to answer
    spread_s: float  # within which all first calls after a start are made
    small_fleet: int  # balancers that may call at once
    line_bytes: float  # of the longest line of a list that is read
    revisit_s: float  # about how often a server in use is sent a request
    min_working_set: int  # servers that are in use at least
    log_lines_per_s: float  # at most, of a balancer
    relay: bool  # whether there are relays
    relay_list_bytes_per_s: float = 50 * MB  # default of [relay] whole_bytes_per_s
    relay_load_factor: float = 1.25  # bounded load: of the mean with a quarter of the relays lost

    def notified_in_time(self) -> int:
        """Balancers whose first calls one list service answers within the spread."""
        return int(self.small_fleet + self.spread_s * self.calls_per_s)
