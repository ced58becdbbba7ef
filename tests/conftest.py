"""What all tests have in common: collections of garbage that do not hold the test process up."""

from __future__ import annotations

import gc

import pytest


def pytest_collection_finish(session: pytest.Session) -> None:
    """Leave what all tests share out of later collections of garbage.

    Modules, classes and parameters of the whole suite are some hundred thousand objects. To go through them
    holds this process, and the loops in it, up for 0.1 s each time, and for longer on a slow machine.
    """
    gc.collect()
    gc.freeze()
