"""Run one balancer behind a start barrier: python start_barrier.py CHECKOUT [ARGUMENT ...].

Everything the program imports is imported before the barrier, so that hundreds of processes can be released
at the same moment by a line on standard input. From there on it is the program as it is in that checkout. If
standard input is closed before the release, the process exits.
"""

import importlib
import os
import sys


def main() -> int:
    """Import the checkout's program, wait for the release and run it; return its exit status."""
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
