"""Translates a caller's report on an attempt into an outcome of the decision module (docs/extproc.md)."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.settings.header_values import read_report

# Prefixes of response.code_details when Envoy itself generated the response (Envoy's documentation, page
# "Response code details"). NEVER_SENT_DETAILS lists only cases in which Envoy certainly wrote no byte of the
# request to an upstream: only these prove that the request did not run.
NEVER_SENT_DETAILS = (
    "cluster_not_found",
    "direct_response",
    "maintenance_mode",
    "no_healthy_upstream",
    "route_not_found",
    "upstream_reset_before_response_started{connection_failure",
    "upstream_reset_before_response_started{connection_timeout",
    "upstream_reset_before_response_started{local_connection_failure",
    "upstream_reset_before_response_started{overflow",
    "upstream_reset_before_response_started{remote_connection_failure",
)
TIMEOUT_DETAILS = (
    "response_timeout",
    "upstream_per_try_timeout",
    "request_overall_timeout",
)
# The details that a caller reports if it discarded an expired decision without sending anything.
EXPIRED_DETAILS = ("decision_expired",)
RESET_DETAILS = ("upstream_reset", "upstream_response_header")


class AttemptResult(NamedTuple):
    """The outcome of an attempt. report: the figures of the server's load report."""

    code: str
    report: tuple[float, ...] = ()
    faulted: bool = False  # the server rejected the request itself as faulty (a 4xx status)


def read_result(
    status: int, unprocessed: bool, details: str, load: bytes, names: tuple[str, ...]
) -> AttemptResult:
    """Return the result; details: Envoy's code details, '' if absent; names: the load report's figures."""
    outcomes = (
        ("connect_failed", NEVER_SENT_DETAILS),
        ("moot", EXPIRED_DETAILS),
        ("timeout", TIMEOUT_DETAILS),
        ("reset", RESET_DETAILS),
    )
    for code, prefixes in outcomes:
        if details.startswith(prefixes):
            return AttemptResult(code)
    report = read_report(load, names) if load else ()
    if status == 200:
        return AttemptResult("ok", report)
    if status in (503, 504) and unprocessed:
        return AttemptResult("full", report)
    return AttemptResult("error", report, 400 <= status < 500 and status not in (408, 429))
