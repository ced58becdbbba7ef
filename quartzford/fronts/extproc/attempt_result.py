"""What a caller's report on an attempt means to the module, in the platform's terms (docs/extproc.md)."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.settings.header_values import read_report

# What Envoy puts into response.code_details where it answered itself (its page "Response code details").
# Only what surely wrote no byte of the request to an upstream proves that it did not run.
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
# A caller that keeps to the end of a decision's validity says so in these words, having sent nothing.
EXPIRED_DETAILS = ("decision_expired",)
RESET_DETAILS = ("upstream_reset", "upstream_response_header")


class AttemptResult(NamedTuple):
    """The outcome of an attempt."""

    code: str
    report: tuple[float, ...] = ()
    faulted: bool = False  # the server finds fault with the request itself


def read_result(
    status: int, unprocessed: bool, details: str, load: bytes, names: tuple[str, ...]
) -> AttemptResult:
    """From an answer's status, X-Unprocessed, code details ('' where there are none) and load report."""
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
