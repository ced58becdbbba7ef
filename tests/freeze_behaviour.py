"""Record the program's current behaviour as reference files for the regression tests.

    python -m tests.freeze_behaviour

Run it from the repository's root after committing the code to be frozen. It writes under tests/data/:

    actions.sha256    digests of the decision module's actions          compared by test_sameness.py
    transcript.txt    bytes on the sockets of a scripted site           compared by test_frozen_transcript.py
    relay.txt         bytes of a relay, and of a balancer to a relay    compared by test_frozen_relay.py
    stored/           files, messages and settings                      compared by test_frozen_data.py
    FROZEN_COMMIT     hash of the commit whose code wrote these files   run by test_frozen_replacement.py

Commit these files in a commit of their own, directly after the frozen commit. Do not regenerate them for a
change that must preserve behaviour. A commit that changes behaviour regenerates them and says what differs.
"""

from __future__ import annotations

import importlib
import subprocess
import sys
from pathlib import Path

TESTS = Path(__file__).resolve().parent
ROOT = TESTS.parent
DATA = TESTS / "data"
PRODUCT_PATHS = ("quartzford", "deploy")  # paths whose last change defines the frozen commit
FREEZING_MODULES = ("test_sameness", "test_frozen_data", "test_frozen_transcript", "test_frozen_relay")


def git(*arguments: str) -> str:
    """Return the standard output of a git command in this repository.

    Raises CalledProcessError if the command fails.
    """
    done = subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True)
    return done.stdout.strip()


def frozen_commit() -> str:
    """Return the last commit that changed the product, or HEAD if a merge brought later changes.

    Raises SystemExit if the product has uncommitted changes.
    """
    if git("status", "--porcelain", "--", *PRODUCT_PATHS):
        raise SystemExit(f"{', '.join(PRODUCT_PATHS)}: uncommitted changes; commit or revert them first")
    changed_last = git("log", "-1", "--format=%H", "--", *PRODUCT_PATHS)
    changed_since = git("diff", "--name-only", changed_last, "HEAD", "--", *PRODUCT_PATHS)
    return git("rev-parse", "HEAD") if changed_since else changed_last


def main() -> None:
    """Write all files, replacing those of an earlier run."""
    files = {"FROZEN_COMMIT": f"{frozen_commit()}\n".encode()}
    sys.path[:0] = [str(TESTS), str(ROOT)]  # the import paths that pytest sets up
    for name in FREEZING_MODULES:
        files |= importlib.import_module(name).freeze()  # returns names and bytes of the module's files
    for name, data in files.items():
        path = DATA / name
        path.parent.mkdir(parents=True, exist_ok=True)
        changed = not path.exists() or path.read_bytes() != data
        path.write_bytes(data)
        print(f"{'written' if changed else 'unchanged'}: {path.relative_to(ROOT)}")


if __name__ == "__main__":
    main()
