"""The one queue into the core, bounded: it sheds reports, the oldest first; the rest waits for room."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable

REPORTS_MOST = 4_096
NEWS_MOST = 16_384


class Mailbox:
    """Joins, leaves, answers and lists go before reports: a report may need the list that names it."""

    def __init__(self, news_most: int = NEWS_MOST, reports_most: int = REPORTS_MOST):
        self.changed, self.news_most = threading.Condition(), news_most
        self.news: deque = deque()
        self.reports: deque = deque(maxlen=reports_most)
        self.shed = 0

    def report(self, events: Iterable) -> None:
        with self.changed:
            for event in events:
                self.shed += len(self.reports) == self.reports.maxlen
                self.reports.append(event)
            self.changed.notify()

    def put(self, *items: object) -> None:
        """Waits while the core is so far behind that there is no room: nothing of this kind is ever lost."""
        with self.changed:
            while len(self.news) >= self.news_most:
                self.changed.wait()
            self.news.extend(items)
            self.changed.notify()

    def take(self, wait_s: float | None) -> tuple[list, list]:
        """All that waits, news and reports; both empty if nothing came in time."""
        with self.changed:
            if not self.news and not self.reports:
                self.changed.wait(wait_s)
            news, reports = list(self.news), list(self.reports)
            self.news.clear()
            self.reports.clear()
            self.changed.notify_all()
            return news, reports
