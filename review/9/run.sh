#!/bin/sh
# Plays the case; 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no host fails.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/9/case.py
