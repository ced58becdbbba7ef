"""Pytest configuration: keeps garbage collections in the test process short."""

from __future__ import annotations

import gc

import pytest


def pytest_collection_finish(session: pytest.Session) -> None:
    """Exclude the objects that exist after test collection from later garbage collections.

    The modules, classes and parameters of the whole suite are some hundred thousand objects. Traversing them
    blocks this process, and the event loops in it, for 0.1 s per collection, and longer on a slow machine.
    """
    gc.collect()
    gc.freeze()
