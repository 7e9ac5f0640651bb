"""Waits in tests for a condition, never for a fixed time."""

import time

WAIT_S = 10.0


def wait_until(condition, description="condition", timeout_s=WAIT_S):
    """Poll a condition until it is true, and return its value; fail after ``timeout_s``."""
    end = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < end, f"{description}: timed out after {timeout_s} s"
        time.sleep(0.005)
    return value
