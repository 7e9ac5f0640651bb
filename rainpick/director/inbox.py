"""The bounded queue of messages between the other threads and the event loop of a director."""

from __future__ import annotations

import queue
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainpick.director.messages import AnswerT, Query

ANSWER_TIMEOUT_S = 2.0


@dataclass(slots=True)
class WaitingTimes:
    """Statistics of the time from posting a message to its receipt by the event loop."""

    count: int = 0
    sum_us: int = 0
    max_us: int = 0

    def add(self, waited_us: int) -> None:
        """Add the waiting time of one message."""
        self.count += 1
        self.sum_us += waited_us
        self.max_us = max(self.max_us, waited_us)


class Inbox:
    """Messages in the order of their arrival, each with the time at which it was posted.

    Any thread may call ``post`` and ``query``; only the event loop calls ``receive``.
    """

    def __init__(self, capacity: int, clock: Callable[[], int]):
        self.clock = clock
        self.messages: queue.Queue[tuple[int, Any]] = queue.Queue(capacity)
        self.waiting_times = WaitingTimes()

    def __len__(self) -> int:
        return self.messages.qsize()

    def post(self, message: object, wait: bool = True) -> bool:
        """Enqueue a message. If the queue is full, wait for room, or return False if ``wait`` is False."""
        try:
            self.messages.put((self.clock(), message), block=wait)
        except queue.Full:
            return False
        return True

    def query(self, query: Query[AnswerT], timeout_s: float = ANSWER_TIMEOUT_S) -> AnswerT | None:
        """Post a query and wait for its answer.

        None if the queue is full or the event loop does not answer within the timeout.
        """
        if not self.post(query, wait=False):
            return None
        try:
            return query.replies.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def receive(self, timeout_s: float = 0.0) -> Any | None:
        """Return the next message; None if there is none within the timeout."""
        try:
            posted_us, message = (
                self.messages.get(timeout=timeout_s) if timeout_s else self.messages.get_nowait()
            )
        except queue.Empty:
            return None
        self.waiting_times.add(self.clock() - posted_us)
        return message
