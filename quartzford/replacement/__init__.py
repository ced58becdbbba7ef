"""Replacement of a running process: during the handover, predecessor and successor act as one balancer.

The design is in docs/replacement.md. The entry point is `handover`. It combines the successor's side and the
predecessor's side, each of which has a `channel` to the other process.
"""
