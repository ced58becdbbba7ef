"""The rows of each role's table at the target's size. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_inputs import DAY_S, OPERATORS_LETTER
from bench.capacity_mechanisms import (
    CONFIGURATION,
    LIST_DISTRIBUTION,
    LONG_LISTS,
    REQUEST_PATH,
    SHARED_STATE,
    TENANT_QUOTAS,
    UPSTREAM_CONNECTIONS,
    find_mechanism,
)
from bench.capacity_model import (
    CALLS_RUN,
    EACH_POLLS,
    NO_BOUND,
    NONE,
    NOT_OURS,
    RELAY,
    SCALE_RUN,
    UNKNOWN,
    Basis,
    Bound,
    Model,
    Row,
    from_target,
)

SOCKETS = Bound(None, "`limits.sockets`, as set")
ITS_OWN = Bound(None, "its own, not given")
ONE_CORE = Bound(1.0, "a process has one loop")
RELAY_MEMORY = Bound(512e6, "issue 47, part 4")
RELAY_ROLE = "relay (each of the control machines)"
SERVICES_OF_CALLS = ("queues", "turns away")


def all_rows(model: Model) -> tuple[Row, ...]:
    """All roles, in the page's order."""
    parts = (balancer, upstream, list_service, relay, tools, fronts)
    return tuple(row for part in parts for row in part(model))


def balancer(model: Model) -> tuple[Row, ...]:
    """A balancer's control side, and what the path of requests costs it."""
    return (*_balancer_lists(model), *_balancer_configuration(model), *_balancer_requests(model))


def _balancer_lists(model: Model) -> tuple[Row, ...]:
    row, t, changes = partial(Row, "balancer"), model.target, model.rows_per_s()
    lists, cores = model.lists_carried_by(), Bound(t.control_cores, OPERATORS_LETTER)
    complete, budget = model.measured("list bytes"), Bound(t.control_bytes_per_s, OPERATORS_LETTER)
    longest = Bound(model.program.line_bytes, "longest line that is read (`membership/line_splitter.py`)")
    both = f"{model.heartbeat_bytes_per_s():.3g} B/s of beats + {changes:.3g} rows/s x bytes of a change"
    mean = model.derive(
        both,
        lambda size: model.heartbeat_bytes_per_s() + changes * size,
        model.change_bytes(1.0),
    )
    seconds = model.derive("bytes of a whole list / 15 KB/s", lambda b: b / t.control_bytes_per_s, complete)
    taken = model.derive(
        f"{changes:.3g} rows/s x time of a row", lambda s: changes * s, model.measured("row time")
    )
    memory, pieces = Bound(t.control_bytes, OPERATORS_LETTER), "`membership/list_chunks.py`"
    reading = find_mechanism(LONG_LISTS).carried_by
    return (
        row("state", f"whole list, {t.upstreams:,} rows", complete, "bytes", longest, reading, LONG_LISTS),
        row("messages", "beats and changed rows, mean", mean, "bytes/s", budget, lists, LIST_DISTRIBUTION),
        row("messages", "a whole list at the budget's rate", seconds, "s", carried_by=lists),
        row(
            "processor time",
            "at rest, with the whole list",
            model.measured("rest"),
            "cores",
            cores,
            "`engine/`, `decision/`",
            LONG_LISTS,
        ),
        row(
            "processor time",
            "changed rows, mean (wall time of one)",
            taken,
            "cores",
            cores,
            pieces,
            LONG_LISTS,
        ),
        row(
            "processor time",
            "a whole list taken in (wall time)",
            model.measured("list time"),
            "s",
            carried_by=pieces,
        ),
        row(
            "memory",
            "with the whole list",
            model.measured("list memory"),
            "bytes",
            memory,
            "`decision/columns.py`",
            LONG_LISTS,
        ),
        row(
            "memory",
            "the highest while it is taken in",
            model.measured("list peak"),
            "bytes",
            memory,
            reading,
            LONG_LISTS,
        ),
        row(
            "latency",
            "the loop is held by a whole list",
            model.measured("list stall"),
            "s",
            carried_by=pieces,
        ),
        row(
            "latency",
            "the loop is held by a changed row",
            model.measured("row stall"),
            "s",
            Bound(t.added_latency_s, OPERATORS_LETTER),
            pieces,
            LONG_LISTS,
        ),
    )


def _balancer_configuration(model: Model) -> tuple[Row, ...]:
    row, t = partial(Row, "balancer"), model.target
    per_s, carried_by = t.changes_per_day / DAY_S, find_mechanism(CONFIGURATION).carried_by
    size, time = model.measured("config bytes"), model.measured("config time")
    stall = model.measured("config stall")
    sent = model.derive(f"{per_s:.4g}/s x bytes of a configuration", lambda b: per_s * b, size)
    read = model.derive(f"{per_s:.4g}/s x time to read", lambda s: per_s * s, time)
    held = model.derive(f"{per_s:.4g}/s x the loop's stall", lambda s: per_s * s, stall)
    budget, cores = Bound(t.control_bytes_per_s, OPERATORS_LETTER), Bound(t.control_cores, OPERATORS_LETTER)
    share = Bound(t.slow_request_share, f"99 in 100 within 1.7 ms: {OPERATORS_LETTER}")
    return (
        row("state", f"configuration, {t.tenants:,} tenants", size, "bytes", carried_by=carried_by),
        row(
            "messages",
            "whole configuration at each change, mean",
            sent,
            "bytes/s",
            budget,
            carried_by,
            CONFIGURATION,
        ),
        row(
            "processor time",
            "whole configuration at each change, mean",
            read,
            "cores",
            cores,
            carried_by,
            CONFIGURATION,
        ),
        row(
            "memory",
            "with the configuration",
            model.measured("config memory"),
            "bytes",
            Bound(t.control_bytes, OPERATORS_LETTER),
            "`settings/configuration.py`",
            CONFIGURATION,
        ),
        row("latency", "the loop is held by a reload", stall, "s", carried_by=carried_by),
        row(
            "latency",
            "share of the day in which reloads hold the loop",
            held,
            "share",
            share,
            carried_by,
            CONFIGURATION,
        ),
    )


def _balancer_requests(model: Model) -> tuple[Row, ...]:
    row, t, program = partial(Row, "balancer"), model.target, model.program
    rate, carried_by = model.requests_per_balancer(), find_mechanism(REQUEST_PATH).carried_by
    cost = model.derive(f"{rate:.4g}/s x time of one", lambda s: rate * s, model.measured("request time"))
    one = from_target(
        model.one_service_working_set(), f"{rate:.4g}/s x {program.revisit_s:g} s between two meetings"
    )
    each = from_target(
        model.all_services_working_sets(), f"{t.services:,} x at least {program.min_working_set}"
    )
    return (
        row(
            "processor time",
            f"requests, {rate:.4g}/s",
            cost,
            "cores",
            ONE_CORE,
            carried_by,
            REQUEST_PATH,
        ),
        row(
            "latency",
            f"added to a request at {rate:.4g}/s, p99",
            model.measured("added p99"),
            "s",
            Bound(t.added_latency_s, OPERATORS_LETTER),
            carried_by,
            REQUEST_PATH,
        ),
        row(
            "connections",
            "upstreams in use, were all one service",
            one,
            "number",
            SOCKETS,
            find_mechanism(UPSTREAM_CONNECTIONS).carried_by,
        ),
        row(
            "connections",
            f"upstreams in use, {t.services:,} services",
            each,
            "number",
            SOCKETS,
            NONE,
            UPSTREAM_CONNECTIONS,
        ),
    )


def upstream(model: Model) -> tuple[Row, ...]:
    """One upstream, as the balancers use it."""
    row, t = partial(Row, "upstream"), model.target
    per = t.balancers / t.upstreams
    one, each = model.one_service_working_set(), model.all_services_working_sets()
    used = "balancers x upstreams in use / upstreams"
    return (
        row(
            "state",
            "its row at every balancer",
            model.change_bytes(1.0),
            "bytes",
            carried_by=model.lists_carried_by(),
        ),
        row(
            "messages",
            "requests",
            from_target(t.requests_per_s / t.upstreams, "peak / upstreams"),
            "1/s",
            carried_by=find_mechanism(REQUEST_PATH).carried_by,
        ),
        row(
            "connections",
            "balancers that use it, were all one service",
            from_target(per * one, used),
            "number",
            ITS_OWN,
            find_mechanism(UPSTREAM_CONNECTIONS).carried_by,
        ),
        row(
            "connections",
            f"balancers that use it, {t.services:,} services",
            from_target(per * each, used),
            "number",
            ITS_OWN,
            NONE,
            UPSTREAM_CONNECTIONS,
        ),
        row(
            "connections",
            "then from one request to the next on one of them",
            from_target(each / model.requests_per_balancer(), "upstreams in use / requests of a balancer"),
            "s",
            Bound(None, "`connIdleMs`, as set"),
            NONE,
            UPSTREAM_CONNECTIONS,
        ),
        row("processor time", "its own", UNKNOWN, "cores", NOT_OURS),
        row("memory", "its own", UNKNOWN, "bytes", NOT_OURS),
    )


def list_service(model: Model) -> tuple[Row, ...]:
    """The one source of the list: with every balancer asking it, and with relays where there are any."""
    row, t, program = partial(Row, "list service"), model.target, model.program
    askers = t.control_machines if program.relay else t.balancers
    first_calls = f"{program.small_fleet} + {program.spread_s:g} s x {program.calls_per_s:g}/s"
    policy = f"{first_calls} (`membership/call_policy.py`)"
    complete = model.measured("list bytes")
    total = model.derive(
        f"{t.balancers:,} x bytes of a whole list", lambda size: t.balancers * size, complete
    )
    lists = model.lists_carried_by()
    return (
        row(
            "state", "rows", from_target(t.upstreams, OPERATORS_LETTER), "number", carried_by="the operators'"
        ),
        row("connections", "watches", from_target(askers, "who asks it"), "number", ITS_OWN, lists),
        row(
            "messages",
            "balancers to be told in 6 s, each asks itself",
            from_target(t.balancers, "all of them"),
            "number",
            Bound(program.notified_in_time(), policy),
            EACH_POLLS,
            LIST_DISTRIBUTION,
        ),
        *(found for service in SERVICES_OF_CALLS for found in _calls(model, service)),
        row("messages", "whole lists, all start, each asks itself", total, "bytes", carried_by=EACH_POLLS),
        *_source_costs(model),
    )


def _source_costs(model: Model) -> tuple[Row, ...]:
    """Processor time and memory of the stand-in list service, with all balancers at it."""
    row, per_s = partial(Row, "list service"), model.program.calls_per_s
    told = "a changed row told to all, each asks itself"
    return (
        row("messages", told, model.measured("source span"), "s", NO_BOUND, EACH_POLLS),
        row("processor time", told, model.measured("source change"), "s", NO_BOUND, EACH_POLLS),
        row(
            "processor time",
            "beats to all",
            model.measured("source beats"),
            "cores",
            ONE_CORE,
            EACH_POLLS,
            LIST_DISTRIBUTION,
        ),
        row(
            "processor time",
            "a whole list",
            model.measured("source list"),
            "s",
            Bound(1.0 / per_s, f"one call at {per_s:g}/s"),
            model.lists_carried_by(),
            LONG_LISTS,
        ),
        row(
            "memory",
            "with the whole list",
            model.measured("source memory"),
            "bytes",
            ITS_OWN,
            "the operators'",
        ),
        row(
            "memory",
            "watches of all balancers",
            model.measured("source watchers"),
            "bytes",
            ITS_OWN,
            EACH_POLLS,
        ),
    )


def _calls(model: Model, service: str) -> tuple[Row, ...]:
    """All start and each asks the service itself, as the model of calls plays it."""
    row, run = partial(Row, "list service"), model.figures.call(service, model.target.balancers)
    busiest = Basis(run.busiest_second_calls, "model of calls", CALLS_RUN) if run else UNKNOWN
    last = Basis(run.all_after_s, "model of calls", CALLS_RUN) if run else UNKNOWN
    answers = Bound(model.program.calls_per_s, "what it is taken to answer")
    return (
        row(
            "messages",
            f"calls in the busiest second, all start, each asks itself ({service})",
            busiest,
            "1/s",
            answers,
            EACH_POLLS,
            LIST_DISTRIBUTION,
        ),
        row(
            "messages",
            f"until all have the list, each asks itself ({service})",
            last,
            "s",
            Bound(model.protocol.notified_s, "the protocol: told after 6 s"),
            EACH_POLLS,
            LIST_DISTRIBUTION,
        ),
    )


def _relays_today(model: Model) -> str:
    return RELAY if model.program.relay else NONE


def _in_force(model: Model) -> tuple[Row, ...]:
    """A change told through relays, in the scale run."""
    row, event = partial(Row, RELAY_ROLE), model.figures.event("one upstream replaced", "relays")
    derivation = f"{event.hollow:,} hollow, {event.real} real balancers" if event else ""
    run = SCALE_RUN if event else ""
    p99, last = (event.p99_s, event.last_s) if event else (None, None)
    source = "issue 47, part 4"
    return (
        row(
            "messages",
            "a change in force, p99",
            Basis(p99, derivation, run),
            "s",
            Bound(2.0, source),
            _relays_today(model),
        ),
        row(
            "messages",
            "a change in force, last",
            Basis(last, derivation, run),
            "s",
            Bound(5.75, source),
            _relays_today(model),
        ),
    )


def _relay_costs(model: Model) -> tuple[Row, ...]:
    """Processor time and memory of a relay with the most watchers that it takes."""
    row, carried_by = partial(Row, RELAY_ROLE), _relays_today(model)
    most = f"{model.max_watchers():,}"
    told = f"a changed row told to {most} watchers"
    return (
        row("messages", told, model.measured("relay span"), "s", NO_BOUND, carried_by),
        row("processor time", told, model.measured("relay change"), "s", NO_BOUND, carried_by),
        row(
            "processor time",
            f"beats to {most} watchers",
            model.measured("relay beats"),
            "cores",
            ONE_CORE,
            carried_by,
        ),
        row(
            "processor time", "a whole list let out", model.measured("relay list"), "s", NO_BOUND, carried_by
        ),
        row(
            "memory", "with the whole list", model.measured("relay memory"), "bytes", RELAY_MEMORY, carried_by
        ),
        row(
            "memory",
            f"with {most} watchers",
            model.measured("relay watchers"),
            "bytes",
            RELAY_MEMORY,
            carried_by,
        ),
    )


def relay(model: Model) -> tuple[Row, ...]:
    """One of the control machines."""
    row, rate = partial(Row, RELAY_ROLE), model.program.relay_list_bytes_per_s
    carried_by = _relays_today(model)
    behind, changes = model.balancers_per_relay(), model.rows_per_s()
    beats = model.heartbeat_bytes_per_s()
    mean = model.derive(
        f"{behind:.4g} x ({beats:.3g} B/s + {changes:.3g} rows/s x bytes of a change)",
        lambda size: behind * (beats + changes * size),
        model.change_bytes(1.0),
    )
    complete = model.derive(
        f"{behind:.4g} x bytes of a whole list / {rate / 1e6:g} MB/s",
        lambda size: behind * size / rate,
        model.measured("list bytes"),
    )
    return (
        row(
            "state",
            "the whole list, encoded once",
            model.measured("list bytes"),
            "bytes",
            carried_by=carried_by,
        ),
        row(
            "messages",
            "beats and changed rows to all behind it, mean",
            mean,
            "bytes/s",
            carried_by=carried_by,
        ),
        row(
            "messages",
            "whole lists to all behind it",
            complete,
            "s",
            Bound(None, "not given for this size"),
            carried_by,
        ),
        *_relay_costs(model),
        row(
            "connections",
            "balancers, mean",
            from_target(behind, "balancers / relays"),
            "number",
            Bound(float(model.max_watchers()), "most watchers, bounded load"),
            carried_by,
        ),
        *_in_force(model),
    )


def tools(model: Model) -> tuple[Row, ...]:
    """What operators run and look at."""
    row, t = partial(Row, "operator's tools"), model.target
    fleet = float(t.balancers)
    copying = f"{NONE}: the operators' own copying and SIGHUP"
    mean = from_target(t.changes_per_day / DAY_S * fleet, "changes a second x balancers")
    lines = from_target(model.program.log_lines_per_s * fleet, "a balancer's most x balancers")
    return (
        row(
            "state",
            "endpoints in maintenance",
            UNKNOWN,
            "number",
            carried_by="`replacement/maintenance_file.py`, at each balancer",
        ),
        row(
            "messages",
            "configurations put on machines, mean",
            mean,
            "1/s",
            carried_by=copying,
            mechanism=CONFIGURATION,
        ),
        row(
            "messages",
            f"the same for one change within {t.change_within_s:g} s",
            from_target(fleet / t.change_within_s, "balancers / 19 s"),
            "1/s",
            carried_by=copying,
            mechanism=CONFIGURATION,
        ),
        row(
            "messages",
            "log lines, at most",
            lines,
            "1/s",
            carried_by="`engine/log.py`, bounded at each balancer",
        ),
        row(
            "messages",
            "calls to take one upstream out",
            from_target(fleet, "one to each balancer"),
            "number",
            carried_by="`fronts/operations.py`, one balancer at a time",
            mechanism=SHARED_STATE,
        ),
        row(
            "processor time",
            "a page of figures, at a balancer",
            UNKNOWN,
            "s",
            carried_by="`engine/request_counters.py`",
        ),
        row("memory", "their own", UNKNOWN, "bytes", NOT_OURS),
        row(
            "connections",
            "to second addresses, for one look at all",
            from_target(fleet, "one to each balancer"),
            "number",
            carried_by="`fronts/operations.py`",
        ),
    )


def fronts(model: Model) -> tuple[Row, ...]:
    """What deals clients' connections out among balancers."""
    row, t = partial(Row, "clients' fronts"), model.target
    tenant = from_target(t.requests_per_s / t.tenants / t.balancers, "peak / tenants / balancers")
    return (
        row(
            "state",
            "balancers in a zone",
            from_target(t.balancers / t.zones, "balancers / zones"),
            "number",
            carried_by="their own, by `/_health`",
        ),
        row(
            "messages",
            "requests to a balancer",
            from_target(model.requests_per_balancer(), "peak / balancers"),
            "1/s",
            carried_by="`fronts/client_connection.py`",
        ),
        row(
            "messages",
            "one tenant's at a balancer, mean",
            tenant,
            "1/s",
            carried_by=find_mechanism(TENANT_QUOTAS).carried_by,
            mechanism=TENANT_QUOTAS,
        ),
        row("processor time", "their own", UNKNOWN, "cores", NOT_OURS),
        row("memory", "their own", UNKNOWN, "bytes", NOT_OURS),
        row(
            "connections",
            "clients' at a balancer",
            UNKNOWN,
            "number",
            Bound(None, "half of `limits.sockets`"),
            "`fronts/client_connection.py`",
        ),
    )
