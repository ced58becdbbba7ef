"""Parses source texts for the tests of the program's structure."""

from __future__ import annotations

import ast
import gc


def parse_source(text: str) -> ast.Module:
    """Return the syntax tree of a source text.

    Garbage collection is disabled during the call, because `ast.parse` keeps its recursion depth in the
    interpreter's state. If a finalizer calls the parser too, the outer call fails with "SystemError: AST
    constructor recursion depth mismatch". Python 3.11 has such a finalizer: it parses source lines to print
    the traceback of a task's exception that was never retrieved.
    """
    enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(text)
    finally:
        if enabled:
            gc.enable()
