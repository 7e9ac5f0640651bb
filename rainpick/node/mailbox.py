"""The bounded input queue of the event loop, which sheds old load reports but never drops notifications."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from rainpick.decisions.channel_progress import TransmissionResumed, TransmissionSuspended
from rainpick.node.commit_calls import MergedNonces, RejectedBind, SplitCall, UnconfirmedCall
from rainpick.node.endpoint_discovery import DiscoveryResponse
from rainpick.node.load_report_parsing import LoadReport
from rainpick.node.proxy_membership import StreamClosed, StreamEvent, StreamOpened

REPORT_LIMIT = 4_096
NOTIFICATION_LIMIT = 16_384

Notification: TypeAlias = (
    DiscoveryResponse
    | StreamOpened
    | StreamEvent
    | StreamClosed
    | MergedNonces
    | RejectedBind
    | SplitCall
    | TransmissionResumed
    | TransmissionSuspended
    | UnconfirmedCall
)


class Batch(NamedTuple):
    """The items posted since the previous batch, in order."""

    notifications: list[Notification]
    reports: list[LoadReport]


class Mailbox:
    """Separate queues for notifications and load reports.

    In a batch, notifications are processed before reports, because the server of a report may be known only
    from an endpoint list in the same batch.
    """

    def __init__(self, notification_limit: int = NOTIFICATION_LIMIT, report_limit: int = REPORT_LIMIT):
        self.changed = threading.Condition()
        self.notification_limit = notification_limit
        self.notifications: deque[Notification] = deque()
        self.reports: deque[LoadReport] = deque(maxlen=report_limit)
        self.shed = 0  # load reports shed so far

    def post_reports(self, reports: Iterable[LoadReport]) -> None:
        """Post load reports; if the queue is full, shed its oldest reports."""
        with self.changed:
            for report in reports:
                self.shed += len(self.reports) == self.reports.maxlen
                self.reports.append(report)
            self.changed.notify()

    def post(self, *notifications: Notification) -> None:
        """Post notifications. Blocks while the queue is full, so that no notification is lost."""
        with self.changed:
            while len(self.notifications) >= self.notification_limit:
                self.changed.wait()
            self.notifications.extend(notifications)
            self.changed.notify()

    def receive(self, timeout_s: float | None) -> Batch:
        """Wait for posted items and return all of them; an empty batch after ``timeout_s``."""
        with self.changed:
            if not self.notifications and not self.reports:
                self.changed.wait(timeout_s)
            batch = Batch(list(self.notifications), list(self.reports))
            self.notifications.clear()
            self.reports.clear()
            self.changed.notify_all()
            return batch
