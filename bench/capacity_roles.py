"""The rows of all roles at the target's size, in the page's order. No I/O."""

from __future__ import annotations

from bench.capacity_balancer import balancer
from bench.capacity_fronts import fronts
from bench.capacity_list_service import list_service
from bench.capacity_model import Model
from bench.capacity_relay import relay
from bench.capacity_rows import Row
from bench.capacity_tools import tools
from bench.capacity_upstream import upstream

ROLES = (balancer, upstream, list_service, relay, tools, fronts)


def all_rows(model: Model) -> tuple[Row, ...]:
    """The rows of all roles."""
    return tuple(row for role in ROLES for row in role(model))
