"""Sources of requests: HTTP clients, operators, and calling proxies (extproc)."""
