"""The generated blocks of docs/CAPACITY.md between their markers: compared and replaced. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping

BLOCK = re.compile(r"<!-- generated: ([\w-]+) -->\n(.*?)<!-- end -->", re.DOTALL)


class PageError(ValueError):
    """The markers of the page don't match the model's blocks."""


def replace_blocks(page: str, blocks: Mapping[str, str]) -> str:
    """The page with all blocks as given; PageError if its markers don't match them."""
    names = [match.group(1) for match in BLOCK.finditer(page)]
    marks = page.count("<!-- generated:")
    if marks != len(names) or page.count("<!-- end -->") != marks:
        raise PageError("a generated block has no end")
    if len(set(names)) < len(names):
        raise PageError(f"there twice: {', '.join(sorted({n for n in names if names.count(n) > 1}))}")
    if missing := sorted(set(blocks) - set(names)):
        raise PageError(f"no place in the page for: {', '.join(missing)}")
    if unknown := sorted(set(names) - set(blocks)):
        raise PageError(f"not a block of the model: {', '.join(unknown)}")
    return BLOCK.sub(lambda m: f"<!-- generated: {m[1]} -->\n{blocks[m[1]]}<!-- end -->", page)


def stale_blocks(page: str, blocks: Mapping[str, str]) -> list[str]:
    """Names of the blocks whose text differs from the one given, in the page's order."""
    fresh = replace_blocks(page, blocks)
    pairs = zip(BLOCK.finditer(page), BLOCK.finditer(fresh), strict=True)
    return [old.group(1) for old, new in pairs if old.group(2) != new.group(2)]
