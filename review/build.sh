#!/bin/sh
# Builds the stand-ins of the cases (Python, standard library alone). Runs after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins
