#!/bin/sh
# Builds the stand-ins of all cases: they are Python and need the standard library only.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
