"""Backends: they make the attempts that the engine requests."""
