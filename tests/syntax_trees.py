"""Syntax trees of source texts, for tests of the program's structure."""

from __future__ import annotations

import ast
import gc


def parse_source(text: str) -> ast.Module:
    """The syntax tree of a source text.

    No garbage is collected meanwhile. `ast.parse` keeps its depth in the interpreter's state: a finalizer
    that parses too, as the traceback of a task's exception that nobody took does in Python 3.11, makes the
    outer call fail with "SystemError: AST constructor recursion depth mismatch".
    """
    enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(text)
    finally:
        if enabled:
            gc.enable()
