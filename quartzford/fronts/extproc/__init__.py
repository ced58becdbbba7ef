"""The external processor: other proxies request a decision for each attempt and report its result.

decision_service and remote_request track requests across their streams, without I/O. messages converts
Envoy's messages. server speaks gRPC. service_channel and worker_channel connect the deciding process to
gRPC workers, which use further cores. docs/extproc.md describes each module.
"""
