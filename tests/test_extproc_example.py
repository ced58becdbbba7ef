"""The example files in deploy/ are valid and consistent with each other.

Envoy's protobuf messages parse the Envoy example; the check of the operator's file parses the other.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
import yaml
from envoy.config.bootstrap.v3 import bootstrap_pb2
from envoy.extensions.filters.http.ext_proc.v3 import ext_proc_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2  # noqa: F401  (types used in the example file)
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm
from envoy.extensions.http.early_header_mutation.header_mutation.v3 import header_mutation_pb2  # noqa: F401
from envoy.extensions.upstreams.http.v3 import http_protocol_options_pb2  # noqa: F401
from google.protobuf import json_format

from quartzford.settings.operator_checks import DEFAULT_HEADERS
from quartzford.settings.operator_file import EXTPROC_CHECKS, load_operator_settings
from quartzford.settings.operator_settings import ExtprocSettings
from standins.site import CLASSES

DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
ENVOY_EXAMPLE = (DEPLOY / "envoy.example.yaml").read_text()
MAX_DEADLINE_S = max(float(str(c["deadlineMs"])) for c in CLASSES) / 1000.0


def parse(text: str) -> Any:
    """Return the Envoy bootstrap in a YAML text; raise ParseError or TypeError for an unknown name."""
    return json_format.ParseDict(yaml.safe_load(text), bootstrap_pb2.Bootstrap())


def seconds(duration: Any) -> float:
    """Return a protobuf duration in seconds."""
    return float(duration.seconds) + float(duration.nanos) / 1e9


@pytest.fixture(scope="module")
def envoy_config() -> dict[str, Any]:
    """Return the clusters by name.

    By "hop " and the listener's name, also return its connection manager, processor and route.
    """
    bootstrap = parse(ENVOY_EXAMPLE)
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
    "replacement",
    [
        ("retriable_headers:", "retriable_header:"),
        ("use_http_header", "use_header"),
        ("ORIGINAL_DST", "ORIGINAL"),
        ("message_timeout", "timeout_of_messages"),
        ("HttpProtocolOptions\n", "HttpOptions\n"),
    ],
)
def test_envoy_example_unknown_name_is_rejected(replacement: tuple[str, str]) -> None:
    changed = ENVOY_EXAMPLE.replace(*replacement)
    assert changed != ENVOY_EXAMPLE
    with pytest.raises((json_format.ParseError, TypeError)):
        parse(changed)


def test_envoy_example_retries_only_on_retry_header(envoy_config: dict[str, Any]) -> None:
    _, _, route = envoy_config["hop clients"]
    policy = route.retry_policy
    assert policy.retry_on == "retriable-headers" and policy.num_retries.value == 3
    assert [h.name for h in policy.retriable_headers] == [DEFAULT_HEADERS["retry"]]
    assert not route.HasField("hedge_policy") and not policy.HasField("per_try_timeout")
    assert not envoy_config["hop attempts"][2].HasField("retry_policy")


def test_envoy_example_circuit_breakers_do_not_limit_attempts(envoy_config: dict[str, Any]) -> None:
    """Envoy's defaults limit concurrent retries to 3 and concurrent requests to 1,024."""
    for name in ("attempts", "nodos", "decider"):
        (threshold,) = envoy_config[name].circuit_breakers.thresholds
        assert min(threshold.max_requests.value, threshold.max_pending_requests.value) >= 10_000
        assert threshold.max_retries.value >= 1_000 or name != "attempts"


def test_envoy_example_both_hops_require_processor_reply(envoy_config: dict[str, Any]) -> None:
    for hop, role in (("hop clients", "open"), ("hop attempts", "")):
        manager, processor, _ = envoy_config[hop]
        assert not processor.failure_mode_allow
        metadata = {m.key: m.value for m in processor.grpc_service.initial_metadata}
        assert metadata.get("x-quartzford-role", "") == role
        assert manager.http_filters[-1].name.endswith("router")
    _, attempt, _ = envoy_config["hop attempts"]
    assert attempt.mutation_rules.allow_envoy.value and list(attempt.response_attributes)
    assert attempt.allow_mode_override


def test_envoy_example_removes_protected_headers_from_clients(envoy_config: dict[str, Any]) -> None:
    manager, _, _ = envoy_config["hop clients"]
    mutation = header_mutation_pb2.HeaderMutation()
    manager.early_header_mutation_extensions[0].typed_config.Unpack(mutation)
    assert {m.remove for m in mutation.mutations} == {
        DEFAULT_HEADERS[n] for n in ("token", "destination", "retry")
    }


def test_envoy_example_destination_header_matches_processor(envoy_config: dict[str, Any]) -> None:
    upstreams = envoy_config["nodos"]
    assert upstreams.original_dst_lb_config.http_header_name == DEFAULT_HEADERS["destination"]
    assert upstreams.lb_policy == upstreams.CLUSTER_PROVIDED


def test_envoy_example_timeouts_are_consistent(envoy_config: dict[str, Any]) -> None:
    operator = load_operator_settings(str(DEPLOY / "operator.example.toml")).extproc
    assert operator is not None
    (_, opener, outer), (_, attempt, inner) = envoy_config["hop clients"], envoy_config["hop attempts"]
    max_deadline_s = MAX_DEADLINE_S
    assert max_deadline_s < seconds(inner.timeout) < seconds(outer.timeout)
    for processor in (opener, attempt):
        assert seconds(processor.message_timeout) > seconds(outer.timeout)
    # In a drain, the transfer of the decision to the caller, the connect and the send must fit into 0.25 s.
    assert seconds(envoy_config["nodos"].connect_timeout) + 0.05 <= 0.25
    back_off = seconds(outer.retry_policy.retry_back_off.max_interval)
    assert back_off * 2 < operator.return_ms / 1000.0
    assert operator.decision_valid_ms < 250


def test_operator_example_lists_every_key_with_default() -> None:
    text = (DEPLOY / "operator.example.toml").read_text()
    settings = load_operator_settings(str(DEPLOY / "operator.example.toml")).extproc
    assert settings is not None and dict(settings.headers) == DEFAULT_HEADERS
    for key in EXTPROC_CHECKS:
        assert re.search(rf"^(# )?\[?(extproc\.)?{key}\b", text, re.MULTILINE), key
    plain = ExtprocSettings(listen=settings.listen)
    for key in ("decision_valid_ms", "return_ms", "overlap_ms", "queue_ms", "most_requests", "most_streams"):
        assert getattr(settings, key) == getattr(plain, key), key
