#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python and use only its standard
# library, so all there is to do is to compile them, which also shows whether this Python can read them.
# Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/stage.py review/6 review/7 review/8 review/9 review/10
