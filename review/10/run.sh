#!/bin/sh
# Plays the case; see claim.txt. Exit 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/case.py
