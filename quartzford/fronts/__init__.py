"""Fronts accept requests from HTTP clients, operators, and calling proxies (external processor)."""
