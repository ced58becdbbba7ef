"""The relay as a client of the list service: one watch, made again whenever it ends.

Each call is for the complete list (a watch at index 0): while no watch stood the service may have restarted,
with versions that say nothing of the ones before.
"""

from __future__ import annotations

import asyncio
import secrets

from quartzford.engine import Clock, Log
from quartzford.membership.addresses import SingleAddress
from quartzford.membership.call_policy import NOTIFY_BOUND_S, SharedServiceCallPolicy, seeded_random
from quartzford.membership.list_watch import ListWatch
from quartzford.membership.listing import Sink
from quartzford.settings.operator_checks import split_address
from quartzford.settings.operator_settings import RelaySettings


def follow(
    settings: RelaySettings, sink: Sink, clock: Clock, log: Log, loop: asyncio.AbstractEventLoop
) -> ListWatch:
    """A watch on the source, not yet started; its calls are spread with those of the other relays."""
    rng = seeded_random("relay", settings.listen, secrets.randbits(32))
    calls = SharedServiceCallPolicy(
        settings.relays, settings.source_calls_per_s, NOTIFY_BOUND_S, rng, clock.now
    )
    source = split_address(settings.source)
    addresses = SingleAddress(lambda: source, complete_list_by_watch=True)
    return ListWatch(sink, addresses, calls, clock, log, loop, resync=True)
