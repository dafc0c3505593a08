#!/bin/sh
# Builds what the cases 6 to 10 start: their stand-ins are Python and need only the deploy file's `.venv`.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/second
