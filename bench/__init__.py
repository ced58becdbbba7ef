"""Measurements, each a command: python -m bench.NAME [--quick] [--json FILE]."""
