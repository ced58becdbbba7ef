"""Headers of a stand-in calling proxy's requests and responses, mutated as Envoy documents it."""

from __future__ import annotations

from typing import Any

from envoy.config.core.v3 import base_pb2 as core
from envoy.service.ext_proc.v3 import external_processor_pb2 as proto

GET_CLASSES = ("consulta", "read")  # service classes whose requests use GET; others use POST


class Headers:
    """The headers of a request or a response, in order, as (name, value) rows."""

    def __init__(self, rows: list[tuple[str, str]]) -> None:
        self.rows = rows

    def get(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.rows if key == name), "")

    def remove(self, name: str) -> None:
        """Remove all values of a header."""
        self.rows = [row for row in self.rows if row[0] != name]

    def mutate(self, mutation: Any, allow_envoy: bool) -> None:
        """Apply a HeaderMutation; allow_envoy: whether it may change x-envoy- headers."""
        for name in mutation.remove_headers:
            if self._may_change(name, allow_envoy):
                self.remove(name)
        for option in mutation.set_headers:
            if self._may_change(option.header.key, allow_envoy):
                self._set(option)

    def _set(self, option: Any) -> None:
        """Apply one HeaderValueOption according to its append_action."""
        name = option.header.key
        value = option.header.raw_value.decode("latin-1") or option.header.value
        action, actions = option.append_action, core.HeaderValueOption
        exists = any(key == name for key, _ in self.rows)
        if action == actions.ADD_IF_ABSENT and exists:
            return
        if action == actions.OVERWRITE_IF_EXISTS and not exists:
            return
        if action in (actions.OVERWRITE_IF_EXISTS_OR_ADD, actions.OVERWRITE_IF_EXISTS):
            self.remove(name)
        self.rows.append((name, value))

    @staticmethod
    def _may_change(name: str, allow_envoy: bool) -> bool:
        if name.startswith(":") and name != ":status":
            return False
        return allow_envoy or not name.startswith("x-envoy-")

    def message(self, raw: bool, end: bool) -> Any:
        """Return these headers as an HttpHeaders message.

        raw: put values into raw_value instead of value; end: no body follows.
        """
        if raw:
            rows = [core.HeaderValue(key=k, raw_value=v.encode("latin-1")) for k, v in self.rows]
        else:
            rows = [core.HeaderValue(key=k, value=v) for k, v in self.rows]
        return proto.HttpHeaders(headers=core.HeaderMap(headers=rows), end_of_stream=end)

    def http_request(self) -> bytes:
        """Return the HTTP/1.1 request, without a body, that is sent to an upstream."""
        sent_rows = [(k, v) for k, v in self.rows if not k.startswith((":", "x-envoy-"))]
        fields = "".join(f"{k}: {v}\r\n" for k, v in sent_rows)
        request_line = f"{self.get(':method')} {self.get(':path')} HTTP/1.1\r\n"
        head = f"{request_line}Host: {self.get(':authority')}\r\n{fields}Content-Length: 0\r\n\r\n"
        return head.encode("latin-1")


def request_rows(
    identity: str, service_class: str, left_s: float, tenant: str = "", key: str = "", path: str = "/api"
) -> list[tuple[str, str]]:
    """Return the header rows of a client's request; left_s: the remaining time that it states, in seconds."""
    rows = [
        (":method", "GET" if service_class in GET_CLASSES else "POST"),
        (":path", path),
        (":authority", "reservas.lima.example.org"),
        (":scheme", "http"),
        ("x-correlation-id", identity),
        ("x-service-class", service_class),
        ("x-time-left", f"{int(left_s * 1000)}m"),
    ]
    if tenant:
        rows.append(("x-account", tenant))
    if key:
        rows.append(("idempotency-key", key))
    return rows
