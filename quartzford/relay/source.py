"""The relay as a client of the list service: one watch, which is reopened whenever it ends.

Each call requests the complete list (a watch at index 0). The service may have restarted while no watch was
open, and its versions are then unrelated to the earlier versions.
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


def create_source_watch(
    settings: RelaySettings, sink: Sink, clock: Clock, log: Log, loop: asyncio.AbstractEventLoop
) -> ListWatch:
    """Return a watch on the source that is not started yet.

    Its calls share a rate with those of the other relays.
    """
    rng = seeded_random("relay", settings.listen, secrets.randbits(32))
    calls = SharedServiceCallPolicy(
        settings.relays, settings.source_calls_per_s, NOTIFY_BOUND_S, rng, clock.now
    )
    source = split_address(settings.source)
    addresses = SingleAddress(lambda: source, complete_list_by_watch=True)
    return ListWatch(sink, addresses, calls, clock, log, loop, resync=True)
