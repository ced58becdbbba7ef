"""Write down how the program behaves now, for the tests that show that it stays so.

    python -m tests.freeze_behaviour

from the repository's root, with the code that is to be frozen committed. It writes under tests/data/:

    actions.sha256    actions of the decision module             compared by test_sameness.py
    transcript.txt    bytes on the sockets of a scripted site    compared by test_frozen_transcript.py
    relay.txt         bytes of a relay, and to relays            compared by test_frozen_relay.py
    stored/           files, messages and settings               compared by test_frozen_data.py
    FROZEN_COMMIT     the commit whose code wrote all these      run by test_frozen_replacement.py

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
FREEZERS = ("test_sameness", "test_frozen_data", "test_frozen_transcript", "test_frozen_relay")


def git(*arguments: str) -> str:
    """Standard output of a git command in this repository; CalledProcessError where it fails."""
    done = subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True)
    return done.stdout.strip()


def frozen_commit() -> str:
    """The last commit that changed the product, or HEAD where that is a merge.

    SystemExit where changes of it are not committed.
    """
    if git("status", "--porcelain", "--", *PRODUCT):
        raise SystemExit(f"{', '.join(PRODUCT)}: commit or undo the changes first")
    changed_last = git("log", "-1", "--format=%H", "--", *PRODUCT)
    changed_since = git("diff", "--name-only", changed_last, "HEAD", "--", *PRODUCT)
    return git("rev-parse", "HEAD") if changed_since else changed_last


def main() -> None:
    """Write all files; those that went before are replaced."""
    files = {"FROZEN_COMMIT": f"{frozen_commit()}\n".encode()}
    sys.path[:0] = [str(TESTS), str(ROOT)]  # as pytest has them
    for name in FREEZERS:
        files |= importlib.import_module(name).freeze()  # each has one: names and bytes of its files
    for name, data in files.items():
        path = DATA / name
        path.parent.mkdir(parents=True, exist_ok=True)
        changed = not path.exists() or path.read_bytes() != data
        path.write_bytes(data)
        print(f"{'written' if changed else 'as before'}: {path.relative_to(ROOT)}")


if __name__ == "__main__":
    main()
