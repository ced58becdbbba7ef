"""Replacement of a running process: predecessor and successor are one balancer meanwhile.

The design is in docs/replacement.md. `handover` is the way in; it joins the successor's side and the
predecessor's side, each with a `channel` to the other process.
"""
