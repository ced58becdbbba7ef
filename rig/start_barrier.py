"""One balancer, that waits at a gate: python gate.py CHECKOUT, then a line on standard input releases it.

All that it imports is imported before, so that hundreds are released together; from there on it is the
program as it is in that checkout. A closed standard input before the release ends it.
"""

import importlib
import os
import sys


def main() -> int:
    """Import the checkout's program, wait for the release, run it; its exit status."""
    checkout = sys.argv[1]
    sys.path[0] = checkout
    sys.argv = ["quartzford", *sys.argv[2:]]
    program = importlib.import_module("quartzford.__main__")
    if sys.argv[1:2] == ["serve"]:
        importlib.import_module("quartzford.serve")
    if os.environ.get("QUARTZFORD_COUNTS_S"):
        importlib.import_module("quartzford.metrics")
    if os.environ.get("QUARTZFORD_RIG_METER"):
        importlib.import_module("rig.meter").install_to_file(os.environ["QUARTZFORD_RIG_METER"])
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    if not sys.stdin.readline():
        return 0
    status: int = program.main()
    return status


if __name__ == "__main__":
    sys.exit(main())
