#!/bin/sh
# Plays the case; 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0: nothing is spoilt.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python review/6/case.py &
player=$!
trap 'kill -TERM "$player" 2>/dev/null' TERM INT HUP
wait "$player"
status=$?
if kill -0 "$player" 2>/dev/null; then # a signal ended the first wait: the case ends what it started
    wait "$player"
    status=2
fi
case $status in
0) exit 0 ;;
41) exit 1 ;; # what the player ends with when the rule was broken
*) exit 2 ;;
esac
