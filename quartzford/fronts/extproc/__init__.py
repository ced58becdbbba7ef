"""The external processor: other proxies request a decision for each attempt, and report its result.

decision_service, remote_request: requests over their streams, without I/O. messages: Envoy's messages.
server: gRPC. service_channel, worker_channel: between processes, for more than one core. docs/extproc.md has
the modules one by one.
"""
