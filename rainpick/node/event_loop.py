"""The event loop, which runs the decisions in a single thread and receives its input through the mailbox."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from rainpick import model
from rainpick.decisions.channel_progress import (
    AcknowledgementsMayBeLost,
    TransmissionResumed,
    TransmissionSuspended,
)
from rainpick.decisions.director import Director
from rainpick.decisions.retransmission import RetransmissionRequested, Retransmit
from rainpick.decisions.split_calls import BindRejected, CallSplit
from rainpick.director.stepper import Stepper
from rainpick.node.channel_monitor import OBSERVATION_PERIOD_US, ChannelMonitor, rounded
from rainpick.node.clock import Clock
from rainpick.node.commit_calls import (
    CommitCall,
    MergedNonces,
    RejectedBind,
    Retransmission,
    SplitCall,
    commit_call,
)
from rainpick.node.configuration import Configuration
from rainpick.node.endpoint_discovery import DiscoveryResponse
from rainpick.node.endpoint_list import EndpointList
from rainpick.node.load_report_parsing import LoadReport
from rainpick.node.log import log
from rainpick.node.mailbox import Mailbox, Notification
from rainpick.node.proxy_membership import ProxyMembership, StreamClosed, StreamEvent, StreamOpened

MAX_WAIT_S = 1.0  # longest wait for input in the mailbox
STATUS_PERIOD_US = 10_000_000
DEFAULT_ROUND_US = 1_000
STREAM_NOTIFICATIONS = StreamEvent, StreamOpened, StreamClosed
# Commands that are not part of a commit call. Discovery is watched regardless of the subscription commands.
LOCAL_COMMANDS = model.LogMessage, Retransmit, model.Subscribe, model.FetchEndpoints


class EventLoop:
    """Passes events to the decisions in batches, and each step's call and retransmission to ``send``.

    ``director_factory`` creates the decisions; tests pass a double. ``process_status`` returns the fields of
    the log's status lines that describe the rest of the process.
    """

    def __init__(
        self,
        configuration: Configuration,
        cached_list: DiscoveryResponse,
        mailbox: Mailbox,
        send: Callable[[CommitCall | Retransmission], None],
        director_factory: Callable[[], Director] = Director,
        process_status: Callable[[], dict[str, Any]] = dict,
    ):
        self.mailbox = mailbox
        self.send = send
        self.process_status = process_status
        self.clock = Clock()
        # Steps start at least this time apart, as in the simulator. Input that arrives between two steps
        # forms one batch.
        self.round_us: int = configuration.settings.get("round_us", DEFAULT_ROUND_US)
        self.stepper = Stepper(configuration.seed, configuration.settings, director_factory)
        self.endpoints = EndpointList(self.clock)
        self.membership = ProxyMembership()
        self.channel_monitor = ChannelMonitor()
        self.stepper.pending_events += (
            AcknowledgementsMayBeLost(),
            self.endpoints.apply(cached_list, model.UpdateKind.CACHED),
        )
        self.last_step_us = 0  # start of the last step
        self.unknown_reports = 0  # load reports of servers that are not in the endpoint list
        self.status_due_us = self.clock() + STATUS_PERIOD_US

    def run(self) -> None:
        """Run the first step, then process batches of input forever."""
        self.step(self.clock())
        while True:
            due_us = self.stepper.due_us()
            now = self.clock()
            wait_s = MAX_WAIT_S if due_us is None else min(MAX_WAIT_S, max(0, due_us - now) / 1e6)
            self.process_batch(*self.mailbox.receive(wait_s))

    def process_batch(self, notifications: list[Notification], reports: list[LoadReport]) -> None:
        """Process a batch, and step the decisions if there are events or a timer is due.

        Then waits until ``round_us`` after the start of the last step.
        """
        if (step_us := self.clock.detect_step()) is not None:
            log.warning("wall clock stepped", by_s=round(step_us / 1e6, 3), steps=self.clock.steps)
        for notification in notifications:
            self.handle(notification)
        self.add_reports(reports)
        now = self.clock()
        self.stepper.fire_timers(now)
        if self.stepper.pending_events:
            self.step(now)
        self.log_periodically(now)
        pause_us = self.last_step_us + self.round_us - self.clock()
        if pause_us > 0:
            time.sleep(pause_us / 1e6)

    def handle(self, notification: Notification) -> None:
        """Convert a notification into events for the next step."""
        events = self.stepper.pending_events
        if isinstance(notification, STREAM_NOTIFICATIONS):  # first, because they are by far the most frequent
            events.extend(self.membership.handle(notification))
        elif isinstance(notification, DiscoveryResponse):
            events.append(self.endpoints.apply(notification))
        elif isinstance(notification, MergedNonces):
            self.membership.merge_nonces(notification)
        elif isinstance(notification, SplitCall):
            nonce, first, later = notification
            events.append(CallSplit(nonce, self.membership.replies(nonce), first, later))
        elif isinstance(notification, RejectedBind):
            events.append(BindRejected(self.membership.replies(notification.nonce), notification.proxy))
        elif isinstance(notification, TransmissionResumed | TransmissionSuspended):
            events.append(notification)
        else:
            replies = self.membership.replies(notification.nonce)
            events.append(RetransmissionRequested(notification.nonce, replies))

    def add_reports(self, reports: list[LoadReport]) -> None:
        """Add load reports to the next step, except those of servers that are not in the endpoint list."""
        for report in reports:
            if isinstance(report, model.ServerLoadReport) and not self.endpoints.is_known(report.server):
                self.unknown_reports += 1
            else:
                self.stepper.pending_events.append(report)

    def step(self, now: int) -> None:
        """Let the decisions handle the pending events, and send their commands for the relay."""
        self.last_step_us = now
        commands = self.stepper.step(now)
        for command in commands:
            if isinstance(command, model.LogMessage):
                log.info("decision", text=command.text)
            elif isinstance(command, Retransmit):
                self.retransmit(command)
        call = commit_call(command for command in commands if not isinstance(command, LOCAL_COMMANDS))
        if call is not None:
            self.send(call)

    def retransmit(self, command: Retransmit) -> None:
        """Let the unconfirmed call be sent again; its new nonce also acknowledges the previous one."""
        self.membership.replace_nonce(command.previous_nonce, command.nonce)
        log.info("commit retransmitted", previous_nonce=command.previous_nonce, nonce=command.nonce)
        self.send(Retransmission(command.previous_nonce, command.nonce))

    def log_periodically(self, now: int) -> None:
        """Observe the channel and log the status, each when it is due."""
        if now >= self.channel_monitor.due_us:
            self.channel_monitor.due_us = now + OBSERVATION_PERIOD_US
            self.channel_monitor.observe(self.stepper.director.channel())
        if now >= self.status_due_us:
            self.status_due_us = now + STATUS_PERIOD_US
            log.info("status", **self.status())
            self.channel_monitor.reset_peaks()

    def status(self) -> dict[str, Any]:
        """Return the fields of the log's status line, which docs/operate.md explains."""
        return {
            "joined": len(self.membership.joined),
            "servers": len(self.endpoints.entries),
            "version": self.endpoints.version,
            "steps": self.stepper.step_count,
            "events": self.stepper.events_handled,
            "orders": self.stepper.commands_issued,
            "shed": self.mailbox.shed,
            "unknown": self.unknown_reports,
            "cpu_s": round(time.process_time(), 2),
            "channel": rounded(self.stepper.director.channel()),
            "channel_most": self.channel_monitor.rounded_peaks(),
            **self.process_status(),
        }
