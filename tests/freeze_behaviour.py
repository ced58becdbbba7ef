"""Write down how the program behaves now, for the tests that show that it stays so.

    python -m tests.freeze_behaviour

from the repository's root, with the code that is to be frozen committed. It writes under tests/data/:

    actions.sha256    actions of the decision module             compared by test_sameness.py

Commit these files by themselves, right behind that commit. They are not written anew for a change that is to
keep behaviour; a commit that changes behaviour writes them anew and says what differs.
"""

from __future__ import annotations

import importlib
import subprocess
import sys
from pathlib import Path

TESTS = Path(__file__).resolve().parent
ROOT = TESTS.parent
DATA = TESTS / "data"
PRODUCT = ("quartzford", "deploy")  # what the frozen commit is needed for
FREEZERS = ("test_sameness",)  # each has freeze()


def git(*arguments: str) -> str:
    """Standard output of a git command in this repository; CalledProcessError where it fails."""
    done = subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True)
    return done.stdout.strip()


def frozen_commit() -> str:
    """The commit whose product code is here; SystemExit where that is not committed."""
    if git("status", "--porcelain", "--", *PRODUCT):
        raise SystemExit(f"{', '.join(PRODUCT)}: commit or undo the changes first")
    return git("rev-parse", "HEAD")


def main() -> None:
    """Write all files; those that went before are replaced."""
    files = {"FROZEN_COMMIT": f"{frozen_commit()}\n".encode()}
    sys.path[:0] = [str(TESTS), str(ROOT)]  # as pytest has them
    for name in FREEZERS:
        files |= importlib.import_module(name).freeze()
    for name, data in files.items():
        path = DATA / name
        path.parent.mkdir(parents=True, exist_ok=True)
        changed = not path.exists() or path.read_bytes() != data
        path.write_bytes(data)
        print(f"{'written' if changed else 'as before'}: {path.relative_to(ROOT)}")


if __name__ == "__main__":
    main()
