#!/bin/sh
# Builds what the cases 6 to 10 start besides the deploy file's programs: stand-ins in Python, so they are only
# compiled. It needs the virtual environment that the deploy file's build makes, and no network.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review/standins-2 review/6 review/7 review/8 review/9 review/10 rainpick
