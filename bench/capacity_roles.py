"""The rows of each role's table at the target's size. No I/O."""

from __future__ import annotations

from functools import partial

from bench.capacity_inputs import DAY_S, LETTER
from bench.capacity_mechanisms import (
    CONFIGURATION,
    CONNECTIONS,
    LISTS,
    LONG_LISTS,
    QUOTAS,
    REQUESTS,
    SHARED,
    by_name,
)
from bench.capacity_model import (
    CALLS_RUN,
    EACH_ASKS,
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
    given,
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
    lists, cores = model.lists_today(), Bound(t.control_cores, LETTER)
    complete, budget = model.measured("list bytes"), Bound(t.control_bytes_per_s, LETTER)
    longest = Bound(model.program.line_bytes, "longest line that is read (`membership/line_splitter.py`)")
    beats = f"{model.beats():.3g} B/s of beats + {changes:.3g} rows/s x bytes of a change"
    mean = model.derive(beats, lambda size: model.beats() + changes * size, model.change(1.0))
    seconds = model.derive("bytes of a whole list / 15 KB/s", lambda b: b / t.control_bytes_per_s, complete)
    taken = model.derive(
        f"{changes:.3g} rows/s x time of a row", lambda s: changes * s, model.measured("row time")
    )
    memory, pieces = Bound(t.control_bytes, LETTER), "`membership/list_chunks.py`"
    reading = by_name(LONG_LISTS).today
    return (
        row("state", f"whole list, {t.upstreams:,} rows", complete, "bytes", longest, reading, LONG_LISTS),
        row("messages", "beats and changed rows, mean", mean, "bytes/s", budget, lists, LISTS),
        row("messages", "a whole list at the budget's rate", seconds, "s", today=lists),
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
            today=pieces,
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
        row("latency", "the loop is held by a whole list", model.measured("list stall"), "s", today=pieces),
        row(
            "latency",
            "the loop is held by a changed row",
            model.measured("row stall"),
            "s",
            Bound(t.added_s, LETTER),
            pieces,
            LONG_LISTS,
        ),
    )


def _balancer_configuration(model: Model) -> tuple[Row, ...]:
    row, t = partial(Row, "balancer"), model.target
    per_s, today = t.changes_per_day / DAY_S, by_name(CONFIGURATION).today
    size, time = model.measured("config bytes"), model.measured("config time")
    stall = model.measured("config stall")
    sent = model.derive(f"{per_s:.4g}/s x bytes of a configuration", lambda b: per_s * b, size)
    read = model.derive(f"{per_s:.4g}/s x time to read", lambda s: per_s * s, time)
    held = model.derive(f"{per_s:.4g}/s x the loop's stall", lambda s: per_s * s, stall)
    budget, cores = Bound(t.control_bytes_per_s, LETTER), Bound(t.control_cores, LETTER)
    share = Bound(t.added_share, f"99 in 100 within 1.7 ms: {LETTER}")
    return (
        row("state", f"configuration, {t.tenants:,} tenants", size, "bytes", today=today),
        row(
            "messages",
            "whole configuration at each change, mean",
            sent,
            "bytes/s",
            budget,
            today,
            CONFIGURATION,
        ),
        row(
            "processor time",
            "whole configuration at each change, mean",
            read,
            "cores",
            cores,
            today,
            CONFIGURATION,
        ),
        row(
            "memory",
            "with the configuration",
            model.measured("config memory"),
            "bytes",
            Bound(t.control_bytes, LETTER),
            "`settings/configuration.py`",
            CONFIGURATION,
        ),
        row("latency", "the loop is held by a reload", stall, "s", today=today),
        row(
            "latency",
            "share of the day in which reloads hold the loop",
            held,
            "share",
            share,
            today,
            CONFIGURATION,
        ),
    )


def _balancer_requests(model: Model) -> tuple[Row, ...]:
    row, t, program = partial(Row, "balancer"), model.target, model.program
    rate, today = model.requests_each(), by_name(REQUESTS).today
    cost = model.derive(f"{rate:.4g}/s x time of one", lambda s: rate * s, model.measured("request time"))
    one = given(model.used_by_balancer(), f"{rate:.4g}/s x {program.meet_s:g} s between two meetings")
    each = given(model.used_by_services(), f"{t.services:,} x at least {program.least_used}")
    return (
        row(
            "processor time",
            f"requests, {rate:.4g}/s",
            cost,
            "cores",
            ONE_CORE,
            today,
            REQUESTS,
        ),
        row(
            "latency",
            f"added to a request at {rate:.4g}/s, p99",
            model.measured("added p99"),
            "s",
            Bound(t.added_s, LETTER),
            today,
            REQUESTS,
        ),
        row(
            "connections",
            "upstreams in use, were all one service",
            one,
            "number",
            SOCKETS,
            by_name(CONNECTIONS).today,
        ),
        row(
            "connections",
            f"upstreams in use, {t.services:,} services",
            each,
            "number",
            SOCKETS,
            NONE,
            CONNECTIONS,
        ),
    )


def upstream(model: Model) -> tuple[Row, ...]:
    """One upstream, as the balancers use it."""
    row, t = partial(Row, "upstream"), model.target
    per = t.balancers / t.upstreams
    one, each = model.used_by_balancer(), model.used_by_services()
    used = "balancers x upstreams in use / upstreams"
    return (
        row("state", "its row at every balancer", model.change(1.0), "bytes", today=model.lists_today()),
        row(
            "messages",
            "requests",
            given(t.requests_per_s / t.upstreams, "peak / upstreams"),
            "1/s",
            today=by_name(REQUESTS).today,
        ),
        row(
            "connections",
            "balancers that use it, were all one service",
            given(per * one, used),
            "number",
            ITS_OWN,
            by_name(CONNECTIONS).today,
        ),
        row(
            "connections",
            f"balancers that use it, {t.services:,} services",
            given(per * each, used),
            "number",
            ITS_OWN,
            NONE,
            CONNECTIONS,
        ),
        row(
            "connections",
            "then from one request to the next on one of them",
            given(each / model.requests_each(), "upstreams in use / requests of a balancer"),
            "s",
            Bound(None, "`connIdleMs`, as set"),
            NONE,
            CONNECTIONS,
        ),
        row("processor time", "its own", UNKNOWN, "cores", NOT_OURS),
        row("memory", "its own", UNKNOWN, "bytes", NOT_OURS),
    )


def list_service(model: Model) -> tuple[Row, ...]:
    """The one source of the list: with every balancer asking it, and with relays where there are any."""
    row, t, program = partial(Row, "list service"), model.target, model.program
    askers = t.control_machines if program.relay else t.balancers
    policy = (
        f"{program.small} + {program.spread_s:g} s x {program.calls_per_s:g}/s (`membership/call_policy.py`)"
    )
    complete = model.measured("list bytes")
    total = model.derive(
        f"{t.balancers:,} x bytes of a whole list", lambda size: t.balancers * size, complete
    )
    lists = model.lists_today()
    return (
        row("state", "rows", given(t.upstreams, LETTER), "number", today="the operators'"),
        row("connections", "watches", given(askers, "who asks it"), "number", ITS_OWN, lists),
        row(
            "messages",
            "balancers to be told in 6 s, each asks itself",
            given(t.balancers, "all of them"),
            "number",
            Bound(program.told_in_time(), policy),
            EACH_ASKS,
            LISTS,
        ),
        *(found for service in SERVICES_OF_CALLS for found in _calls(model, service)),
        row("messages", "whole lists, all start, each asks itself", total, "bytes", today=EACH_ASKS),
        *_source_costs(model),
    )


def _source_costs(model: Model) -> tuple[Row, ...]:
    """Processor time and memory of the stand-in list service, with all balancers at it."""
    row, per_s = partial(Row, "list service"), model.program.calls_per_s
    told = "a changed row told to all, each asks itself"
    return (
        row("messages", told, model.measured("source span"), "s", NO_BOUND, EACH_ASKS),
        row("processor time", told, model.measured("source change"), "s", NO_BOUND, EACH_ASKS),
        row(
            "processor time",
            "beats to all",
            model.measured("source beats"),
            "cores",
            ONE_CORE,
            EACH_ASKS,
            LISTS,
        ),
        row(
            "processor time",
            "a whole list",
            model.measured("source list"),
            "s",
            Bound(1.0 / per_s, f"one call at {per_s:g}/s"),
            model.lists_today(),
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
            EACH_ASKS,
        ),
    )


def _calls(model: Model, service: str) -> tuple[Row, ...]:
    """All start and each asks the service itself, as the model of calls plays it."""
    row, run = partial(Row, "list service"), model.figures.call(service, model.target.balancers)
    busiest = Basis(run.most_1s, "model of calls", CALLS_RUN) if run else UNKNOWN
    last = Basis(run.all_after_s, "model of calls", CALLS_RUN) if run else UNKNOWN
    answers = Bound(model.program.calls_per_s, "what it is taken to answer")
    return (
        row(
            "messages",
            f"calls in the busiest second, all start, each asks itself ({service})",
            busiest,
            "1/s",
            answers,
            EACH_ASKS,
            LISTS,
        ),
        row(
            "messages",
            f"until all have the list, each asks itself ({service})",
            last,
            "s",
            Bound(model.protocol.told_s, "the protocol: told after 6 s"),
            EACH_ASKS,
            LISTS,
        ),
    )


def _relays_today(model: Model) -> str:
    return RELAY if model.program.relay else NONE


def _in_force(model: Model) -> tuple[Row, ...]:
    """A change told through relays, in the scale run."""
    row, event = partial(Row, RELAY_ROLE), model.figures.event("one upstream replaced", "relays")
    how = f"{event.hollow:,} hollow, {event.real} real balancers" if event else ""
    run = SCALE_RUN if event else ""
    p99, last = (event.p99_s, event.last_s) if event else (None, None)
    source = "issue 47, part 4"
    return (
        row(
            "messages",
            "a change in force, p99",
            Basis(p99, how, run),
            "s",
            Bound(2.0, source),
            _relays_today(model),
        ),
        row(
            "messages",
            "a change in force, last",
            Basis(last, how, run),
            "s",
            Bound(5.75, source),
            _relays_today(model),
        ),
    )


def _relay_costs(model: Model) -> tuple[Row, ...]:
    """Processor time and memory of a relay with the most watchers that it takes."""
    row, today = partial(Row, RELAY_ROLE), _relays_today(model)
    most = f"{model.most_watchers():,}"
    told = f"a changed row told to {most} watchers"
    return (
        row("messages", told, model.measured("relay span"), "s", NO_BOUND, today),
        row("processor time", told, model.measured("relay change"), "s", NO_BOUND, today),
        row(
            "processor time",
            f"beats to {most} watchers",
            model.measured("relay beats"),
            "cores",
            ONE_CORE,
            today,
        ),
        row("processor time", "a whole list let out", model.measured("relay list"), "s", NO_BOUND, today),
        row("memory", "with the whole list", model.measured("relay memory"), "bytes", RELAY_MEMORY, today),
        row(
            "memory", f"with {most} watchers", model.measured("relay watchers"), "bytes", RELAY_MEMORY, today
        ),
    )


def relay(model: Model) -> tuple[Row, ...]:
    """One of the control machines."""
    row, rate = partial(Row, RELAY_ROLE), model.program.relay_whole_bytes_per_s
    today = _relays_today(model)
    behind, changes = model.behind_relay(), model.rows_per_s()
    mean = model.derive(
        f"{behind:.4g} x ({model.beats():.3g} B/s + {changes:.3g} rows/s x bytes of a change)",
        lambda size: behind * (model.beats() + changes * size),
        model.change(1.0),
    )
    complete = model.derive(
        f"{behind:.4g} x bytes of a whole list / {rate / 1e6:g} MB/s",
        lambda size: behind * size / rate,
        model.measured("list bytes"),
    )
    return (
        row("state", "the whole list, encoded once", model.measured("list bytes"), "bytes", today=today),
        row("messages", "beats and changed rows to all behind it, mean", mean, "bytes/s", today=today),
        row(
            "messages",
            "whole lists to all behind it",
            complete,
            "s",
            Bound(None, "not given for this size"),
            today,
        ),
        *_relay_costs(model),
        row(
            "connections",
            "balancers, mean",
            given(behind, "balancers / relays"),
            "number",
            Bound(float(model.most_watchers()), "most watchers, bounded load"),
            today,
        ),
        *_in_force(model),
    )


def tools(model: Model) -> tuple[Row, ...]:
    """What operators run and look at."""
    row, t = partial(Row, "operator's tools"), model.target
    fleet = float(t.balancers)
    copying = f"{NONE}: the operators' own copying and SIGHUP"
    mean = given(t.changes_per_day / DAY_S * fleet, "changes a second x balancers")
    lines = given(model.program.log_lines_per_s * fleet, "a balancer's most x balancers")
    return (
        row(
            "state",
            "endpoints in maintenance",
            UNKNOWN,
            "number",
            today="`replacement/maintenance_file.py`, at each balancer",
        ),
        row(
            "messages",
            "configurations put on machines, mean",
            mean,
            "1/s",
            today=copying,
            mechanism=CONFIGURATION,
        ),
        row(
            "messages",
            f"the same for one change within {t.change_within_s:g} s",
            given(fleet / t.change_within_s, "balancers / 19 s"),
            "1/s",
            today=copying,
            mechanism=CONFIGURATION,
        ),
        row(
            "messages", "log lines, at most", lines, "1/s", today="`engine/log.py`, bounded at each balancer"
        ),
        row(
            "messages",
            "calls to take one upstream out",
            given(fleet, "one to each balancer"),
            "number",
            today="`fronts/operations.py`, one balancer at a time",
            mechanism=SHARED,
        ),
        row(
            "processor time",
            "a page of figures, at a balancer",
            UNKNOWN,
            "s",
            today="`engine/request_counters.py`",
        ),
        row("memory", "their own", UNKNOWN, "bytes", NOT_OURS),
        row(
            "connections",
            "to second addresses, for one look at all",
            given(fleet, "one to each balancer"),
            "number",
            today="`fronts/operations.py`",
        ),
    )


def fronts(model: Model) -> tuple[Row, ...]:
    """What deals clients' connections out among balancers."""
    row, t = partial(Row, "clients' fronts"), model.target
    tenant = given(t.requests_per_s / t.tenants / t.balancers, "peak / tenants / balancers")
    return (
        row(
            "state",
            "balancers in a zone",
            given(t.balancers / t.zones, "balancers / zones"),
            "number",
            today="their own, by `/_health`",
        ),
        row(
            "messages",
            "requests to a balancer",
            given(model.requests_each(), "peak / balancers"),
            "1/s",
            today="`fronts/client_connection.py`",
        ),
        row(
            "messages",
            "one tenant's at a balancer, mean",
            tenant,
            "1/s",
            today=by_name(QUOTAS).today,
            mechanism=QUOTAS,
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
