"""The one queue into the event loop, bounded: it sheds load reports, the oldest first, and nothing else."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from rainpick.node.commit_calls import MergedNonces, UnconfirmedCall
from rainpick.node.endpoint_discovery import DiscoveryAnswer
from rainpick.node.load_report_parsing import LoadReport
from rainpick.node.proxy_membership import StreamClosed, StreamEvent, StreamOpened

REPORT_LIMIT = 4_096
NOTIFICATION_LIMIT = 16_384

Notification: TypeAlias = (
    DiscoveryAnswer | StreamOpened | StreamEvent | StreamClosed | MergedNonces | UnconfirmedCall
)


class Batch(NamedTuple):
    """What was posted since the last batch, in order."""

    notifications: list[Notification]
    reports: list[LoadReport]


class Mailbox:
    """Notifications come before the reports of a batch: a report may need the endpoint list that names it."""

    def __init__(self, notification_limit: int = NOTIFICATION_LIMIT, report_limit: int = REPORT_LIMIT):
        self.changed = threading.Condition()
        self.notification_limit = notification_limit
        self.notifications: deque[Notification] = deque()
        self.reports: deque[LoadReport] = deque(maxlen=report_limit)
        self.shed = 0  # reports, so far

    def post_reports(self, reports: Iterable[LoadReport]) -> None:
        """Post load reports; the oldest ones that wait are shed if there are too many."""
        with self.changed:
            for report in reports:
                self.shed += len(self.reports) == self.reports.maxlen
                self.reports.append(report)
            self.changed.notify()

    def post(self, *notifications: Notification) -> None:
        """Post notifications. Blocks while the event loop is too far behind: none is ever lost."""
        with self.changed:
            while len(self.notifications) >= self.notification_limit:
                self.changed.wait()
            self.notifications.extend(notifications)
            self.changed.notify()

    def receive(self, timeout_s: float | None) -> Batch:
        """All that was posted; waits for something to come, and returns an empty batch after the timeout."""
        with self.changed:
            if not self.notifications and not self.reports:
                self.changed.wait(timeout_s)
            batch = Batch(list(self.notifications), list(self.reports))
            self.notifications.clear()
            self.reports.clear()
            self.changed.notify_all()
            return batch
