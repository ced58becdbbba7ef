"""Checks the architecture pages against the code: the names that they use, and their diagram of imports.

In docs/ARCHITECTURE.md and docs/glossary.md everything in backticks is code and must exist: a path, a
command, a module, a class, a function, a constant, or a member of a class. Words of protocols and settings
are in italics.
"""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest
from syntax_trees import parse_source
from test_structure import PACKAGE, import_graph

ROOT = PACKAGE.parent
PAGES = ("docs/ARCHITECTURE.md", "docs/glossary.md")
ALIASES = {"io": "quartzford.decision.interface"}  # alias that every module uses in its import
FENCED = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
IN_BACKTICKS = re.compile(r"`([^`\n]+)`")
DOTTED_NAME = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*")


def references(text: str) -> list[str]:
    """Return the texts that a page has in backticks outside its diagrams, each once, in order."""
    prose = FENCED.sub("", text)
    unclosed = [line for line in prose.splitlines() if line.count("`") % 2]
    assert not unclosed, f"unclosed backticks in lines: {unclosed}"
    return list(dict.fromkeys(IN_BACKTICKS.findall(prose)))


def assigned_names(target: ast.expr) -> list[str]:
    """Return the names that an assignment binds; for `self.name`, that is `name`."""
    if isinstance(target, ast.Tuple):
        return [name for part in target.elts for name in assigned_names(part)]
    if isinstance(target, ast.Name):
        return [target.id]
    if isinstance(target, ast.Attribute) and isinstance(target.value, ast.Name) and target.value.id == "self":
        return [target.attr]
    return []


def defined_names(statement: ast.AST) -> list[str]:
    """Return the names that one statement defines."""
    if isinstance(statement, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        return [statement.name]
    if isinstance(statement, ast.Assign):
        return [name for target in statement.targets for name in assigned_names(target)]
    if isinstance(statement, ast.AnnAssign):
        return assigned_names(statement.target)
    return []


def members(defined: ast.ClassDef) -> set[str]:
    """Return the methods, fields and instance attributes that a class itself defines."""
    found = {name for statement in defined.body for name in defined_names(statement)}
    for node in ast.walk(defined):
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            found.update(assigned_names(node))
    return found


class Definitions(NamedTuple):
    """Full names of modules and their definitions, and of the members of their classes."""

    names: set[str]
    members: set[str]


@cache
def definitions() -> Definitions:
    """Return all definitions of the program's package."""
    found = Definitions(set(), set())
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        module = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found.names.add(module)
        for statement in parse_source(path.read_text()).body:
            found.names.update(f"{module}.{name}" for name in defined_names(statement))
            if isinstance(statement, ast.ClassDef):
                found.members.update(f"{module}.{statement.name}.{name}" for name in members(statement))
    return found


def name_fault(reference: str) -> str:
    """Return why a dotted name does not identify exactly one definition; "" if it does.

    The name of a member must include its class.
    """
    head, _, rest = reference.partition(".")
    name_suffix = f"{ALIASES[head]}.{rest}" if head in ALIASES else reference
    known = definitions()
    candidates = known.names | known.members if "." in name_suffix else known.names
    found = sorted(name for name in candidates if f".{name}".endswith(f".{name_suffix}"))
    if len(found) > 1:
        return f"is ambiguous: {', '.join(found)}"
    return "" if found else "is not defined"


def command_fault(reference: str) -> str:
    """Return why a command line is not valid; "" if it is.

    Valid forms are `python -m MODULE ...` and `quartzford COMMAND ...`.
    """
    words = reference.split()
    if words[:2] == ["python", "-m"]:
        path = ROOT.joinpath(*words[2].split("."))
        exists = path.with_suffix(".py").exists() or (path / "__main__.py").exists()
        return "" if exists else "is no module"
    source = parse_source((PACKAGE / "__main__.py").read_text())
    texts = {node.value for node in ast.walk(source) if isinstance(node, ast.Constant)}
    return "" if words[0] == "quartzford" and words[1] in texts else "is no command"


def fault(reference: str) -> str:
    """Return why a page must not have this text in backticks; "" if it may."""
    if " " in reference:
        return command_fault(reference)
    if "/" in reference or Path(reference).suffix in (".py", ".md", ".toml"):
        exists = (ROOT / reference).exists() or (PACKAGE / reference).exists()
        return "" if exists else "is no file or folder"
    return name_fault(reference) if DOTTED_NAME.fullmatch(reference) else "is no name"


@pytest.mark.parametrize("page", PAGES)
def test_every_name_on_a_page_exists(page: str) -> None:
    found = references((ROOT / page).read_text())
    assert len(found) > 20
    faults = [f"`{reference}` {fault(reference)}" for reference in found if fault(reference)]
    assert not faults, f"{page}: " + "; ".join(faults)


def test_files_and_commands_in_the_readme_exist() -> None:
    found = references((ROOT / "README.md").read_text())
    checked = [reference for reference in found if "/" in reference or reference.startswith("python -m ")]
    assert len(checked) > 10
    faults = [f"`{reference}` {fault(reference)}" for reference in checked if fault(reference)]
    assert not faults, "; ".join(faults)


SOME_DEFINITIONS = Definitions(
    names={
        "quartzford.cat",
        "quartzford.cat.Cat",
        "quartzford.dog",
        "quartzford.dog.Tail",
        "quartzford.cat.Tail",
    },
    members={"quartzford.cat.Cat.purr", "quartzford.cat.Tail.length", "quartzford.dog.Tail.length"},
)


@pytest.mark.parametrize(
    "reference",
    [
        "quartzford/cat.py",
        "cat/",
        "cat.md",
        "dog.Cat",
        "Dog",
        "Cat.bark",
        "Cat.purr.further",
        "purr",
        "Tail",
        "Tail.length",
        "io.Cat",
        "python -m bench.cat",
        "quartzford cat",
        "X-Time-Left",
    ],
)
def test_missing_ambiguous_or_malformed_name_is_reported(
    reference: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(globals(), "definitions", lambda: SOME_DEFINITIONS)
    assert fault(reference)


@pytest.mark.parametrize(
    "reference",
    [
        "quartzford/node.py",
        "node.py",
        "tests/",
        "cat",
        "Cat",
        "cat.Cat",
        "Cat.purr",
        "cat.Tail",
        "dog.Tail.length",
        "python -m quartzford",
        "python -m tests.freeze_behaviour",
        "quartzford serve",
    ],
)
def test_existing_name_is_not_reported(reference: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "definitions", lambda: SOME_DEFINITIONS)
    assert not fault(reference)


def diagram_layers() -> list[list[str]]:
    """Return the layers of packages in the diagram of docs/ARCHITECTURE.md, the uppermost first."""
    block = FENCED.search((ROOT / "docs" / "ARCHITECTURE.md").read_text())
    assert block is not None
    return [line.split("|")[1].split() for line in block.group().splitlines() if "|" in line]


def test_packages_import_only_from_lower_layers() -> None:
    layer_of = {unit: number for number, layer in enumerate(diagram_layers()) for unit in layer}
    units = {
        path.stem for path in PACKAGE.iterdir() if path.suffix == ".py" or (path / "__init__.py").exists()
    }
    assert set(layer_of) == units - {"__init__"}
    upward = []
    for module, imported in import_graph().items():
        unit = module.split(".")[1:2]
        for other in imported:
            others = other.split(".")[1:2]
            if unit and others and unit != others and layer_of[unit[0]] >= layer_of[others[0]]:
                upward.append(f"{module} -> {other}")
    assert not upward, upward
