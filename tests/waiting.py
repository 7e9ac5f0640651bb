"""Waiting for events in tests, never for a time."""

import time

WAIT_S = 10.0


def until(ready, what="it", most_s=WAIT_S):
    """Wait for something that is sure to come."""
    end = time.monotonic() + most_s
    while not (found := ready()):
        assert time.monotonic() < end, f"{what} did not come within {most_s} s"
        time.sleep(0.005)
    return found
