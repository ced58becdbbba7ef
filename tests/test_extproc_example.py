"""The example files of deploy/: Envoy's own messages parse the one, our check the other, and they agree."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
import yaml
from envoy.config.bootstrap.v3 import bootstrap_pb2
from envoy.extensions.filters.http.ext_proc.v3 import ext_proc_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2  # noqa: F401  (types named in the file)
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm
from envoy.extensions.http.early_header_mutation.header_mutation.v3 import header_mutation_pb2  # noqa: F401
from envoy.extensions.upstreams.http.v3 import http_protocol_options_pb2  # noqa: F401
from google.protobuf import json_format

from quartzford.settings.operator_checks import DEFAULT_HEADERS
from quartzford.settings.operator_file import EXTPROC_CHECKS, load_operator_settings
from quartzford.settings.operator_settings import ExtprocSettings
from standins.site import CLASSES

DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
TEXT = (DEPLOY / "envoy.example.yaml").read_text()
LONGEST_S = max(float(str(c["deadlineMs"])) for c in CLASSES) / 1000.0


def parse(text: str) -> Any:
    """An Envoy bootstrap of YAML; ParseError or TypeError if Envoy does not know one of its names."""
    return json_format.ParseDict(yaml.safe_load(text), bootstrap_pb2.Bootstrap())


def seconds(duration: Any) -> float:
    """A protobuf duration in seconds."""
    return float(duration.seconds) + float(duration.nanos) / 1e9


@pytest.fixture(scope="module")
def parts() -> dict[str, Any]:
    """The clusters by name, and by "hop " and listener: connection manager, processor and route."""
    bootstrap = parse(TEXT)
    found: dict[str, Any] = {c.name: c for c in bootstrap.static_resources.clusters}
    for listener in bootstrap.static_resources.listeners:
        manager = hcm.HttpConnectionManager()
        listener.filter_chains[0].filters[0].typed_config.Unpack(manager)
        processor = ext_proc_pb2.ExternalProcessor()
        manager.http_filters[0].typed_config.Unpack(processor)
        route = manager.route_config.virtual_hosts[0].routes[0].route
        found["hop " + listener.name] = (manager, processor, route)
    return found


@pytest.mark.parametrize(
    "wrong",
    [
        ("retriable_headers:", "retriable_header:"),
        ("use_http_header", "use_header"),
        ("ORIGINAL_DST", "ORIGINAL"),
        ("message_timeout", "timeout_of_messages"),
        ("HttpProtocolOptions\n", "HttpOptions\n"),
    ],
)
def test_an_unknown_name_in_the_example_would_be_found(wrong: tuple[str, str]) -> None:
    changed = TEXT.replace(*wrong)
    assert changed != TEXT
    with pytest.raises((json_format.ParseError, TypeError)):
        parse(changed)


def test_the_retry_policy_goes_by_our_header_alone(parts: dict[str, Any]) -> None:
    _, _, route = parts["hop clients"]
    policy = route.retry_policy
    assert policy.retry_on == "retriable-headers" and policy.num_retries.value == 3
    assert [h.name for h in policy.retriable_headers] == [DEFAULT_HEADERS["retry"]]
    assert not route.HasField("hedge_policy") and not policy.HasField("per_try_timeout")
    assert not parts["hop attempts"][2].HasField("retry_policy")


def test_no_circuit_breaker_stands_between_a_decision_and_its_send(parts: dict[str, Any]) -> None:
    """Envoy's own defaults would let 3 retries and 1,024 requests through at a time."""
    for name in ("attempts", "nodos", "decider"):
        (threshold,) = parts[name].circuit_breakers.thresholds
        assert min(threshold.max_requests.value, threshold.max_pending_requests.value) >= 10_000
        assert threshold.max_retries.value >= 1_000 or name != "attempts"


def test_both_hops_call_the_processor_and_neither_goes_on_without_a_reply(parts: dict[str, Any]) -> None:
    for hop, role in (("hop clients", "open"), ("hop attempts", "")):
        manager, processor, _ = parts[hop]
        assert not processor.failure_mode_allow
        metadata = {m.key: m.value for m in processor.grpc_service.initial_metadata}
        assert metadata.get("x-quartzford-role", "") == role
        assert manager.http_filters[-1].name.endswith("router")
    _, attempt, _ = parts["hop attempts"]
    assert attempt.mutation_rules.allow_envoy.value and list(attempt.response_attributes)
    assert attempt.allow_mode_override


def test_headers_that_clients_may_not_set_are_removed_first(parts: dict[str, Any]) -> None:
    manager, _, _ = parts["hop clients"]
    mutation = header_mutation_pb2.HeaderMutation()
    manager.early_header_mutation_extensions[0].typed_config.Unpack(mutation)
    assert {m.remove for m in mutation.mutations} == {
        DEFAULT_HEADERS[n] for n in ("token", "destination", "retry")
    }


def test_the_destination_is_the_header_that_we_set(parts: dict[str, Any]) -> None:
    upstreams = parts["nodos"]
    assert upstreams.original_dst_lb_config.http_header_name == DEFAULT_HEADERS["destination"]
    assert upstreams.lb_policy == upstreams.CLUSTER_PROVIDED


def test_the_timeouts_fit_together(parts: dict[str, Any]) -> None:
    operator = load_operator_settings(str(DEPLOY / "operator.example.toml")).extproc
    assert operator is not None
    (_, opener, outer), (_, attempt, inner) = parts["hop clients"], parts["hop attempts"]
    longest = LONGEST_S
    assert longest < seconds(inner.timeout) < seconds(outer.timeout)
    for processor in (opener, attempt):
        assert seconds(processor.message_timeout) > seconds(outer.timeout)
    # A drain: the decision's way to the caller, a connection, the send.
    assert seconds(parts["nodos"].connect_timeout) + 0.05 <= 0.25
    back_off = seconds(outer.retry_policy.retry_back_off.max_interval)
    assert back_off * 2 < operator.return_ms / 1000.0
    assert operator.decision_valid_ms < 250


def test_the_operators_example_names_every_key_with_its_default() -> None:
    text = (DEPLOY / "operator.example.toml").read_text()
    settings = load_operator_settings(str(DEPLOY / "operator.example.toml")).extproc
    assert settings is not None and dict(settings.headers) == DEFAULT_HEADERS
    for key in EXTPROC_CHECKS:
        assert re.search(rf"^(# )?\[?(extproc\.)?{key}\b", text, re.MULTILINE), key
    plain = ExtprocSettings(listen=settings.listen)
    for key in ("decision_valid_ms", "return_ms", "overlap_ms", "queue_ms", "most_requests", "most_streams"):
        assert getattr(settings, key) == getattr(plain, key), key
