"""Waiting for events in tests, never for a time."""

import time

WAIT_S = 10.0


def until(ready, what="it"):
    """Wait for something that is sure to come."""
    end = time.monotonic() + WAIT_S
    while not (found := ready()):
        assert time.monotonic() < end, f"{what} did not come within {WAIT_S} s"
        time.sleep(0.005)
    return found
