#!/bin/bash
# Builds the stand-ins of the cases: they are Python modules, which are compiled with the deployment's Python.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q rig.py 1 2 3
