"""The pauses between a call without a valid response and its retransmission. Free of I/O."""

from __future__ import annotations

# The pauses double with each further call without a valid response, up to a limit. If the relay responds to
# empty calls, the first retransmission follows at once. If it does not, calls may still be executed, and the
# newest withdrawals must get through.
RESPONSIVE_PAUSE_S = 0.02
RESPONSIVE_PAUSE_LIMIT_S = 0.32
UNRESPONSIVE_PAUSE_S = 0.16
UNRESPONSIVE_PAUSE_LIMIT_S = 0.64
DOUBLINGS_MAX = 5  # after this many, both limits are reached


class RetryBackoff:
    """Counts consecutive calls without a valid response. Times are monotonic, in seconds.

    >>> backoff = RetryBackoff()
    >>> backoff.failed(now_s=10.0)
    >>> backoff.is_due(now_s=10.0, is_responsive=True), backoff.is_due(now_s=10.1, is_responsive=False)
    (True, False)
    >>> backoff.failed(now_s=11.0)
    >>> backoff.is_due(now_s=11.01, is_responsive=True), backoff.is_due(now_s=11.32, is_responsive=False)
    (False, True)
    """

    def __init__(self) -> None:
        self.failures = 0
        self.failed_s = 0.0  # when the last call failed

    def failed(self, now_s: float) -> None:
        """Record a call without a valid response. Empty calls do not count."""
        self.failures += 1
        self.failed_s = now_s

    def succeeded(self) -> None:
        """Record a call with a valid response."""
        self.failures = 0

    def is_due(self, now_s: float, is_responsive: bool) -> bool:
        """Return whether the last failed call may be sent again.

        ``is_responsive``: whether the relay has responded to an empty call since.
        """
        doubled = 1 << min(self.failures - 1, DOUBLINGS_MAX)
        if is_responsive:
            pause_s = min(RESPONSIVE_PAUSE_LIMIT_S, RESPONSIVE_PAUSE_S * (doubled - 1))
        else:
            pause_s = min(UNRESPONSIVE_PAUSE_LIMIT_S, UNRESPONSIVE_PAUSE_S * doubled)
        return now_s >= self.failed_s + pause_s
