"""The event loop of a director: one thread, which owns the engine and the endpoint list and writes to peers.

Other threads post messages to its inbox. Each iteration dispatches the queued messages, runs the engine once
and sends the resulting messages to proxies without blocking on a socket.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from rainpick.decisions.director import Director
from rainpick.director.context import Context, monotonic_us
from rainpick.director.deferred_requests import RequestDeferral
from rainpick.director.delivery import Delivery
from rainpick.director.engine import Engine, OutgoingMessage
from rainpick.director.inbox import Inbox
from rainpick.director.list_follower import ListFollower
from rainpick.director.load_aggregator import LoadAggregator
from rainpick.director.membership import Membership
from rainpick.director.messages import (
    CachedListRead,
    ListFileRead,
    LoadReportReceived,
    StatusQuery,
    StopRequested,
    StreamEvent,
    StreamOpened,
    StreamReceived,
    TableActionRequest,
)
from rainpick.director.mqtt_frontend import MqttFrontend
from rainpick.director.proxies import Proxies
from rainpick.director.report_intake import ReportIntake
from rainpick.director.reports import FreshnessFilter
from rainpick.director.sasp_frontend import SaspFrontend
from rainpick.director.sessions import Sessions
from rainpick.director.status import StatusReader
from rainpick.director.table_actions import TableActions
from rainpick.mqtt.server import PacketReader
from rainpick.net import StreamEnded
from rainpick.net.streams import Stream
from rainpick.otlp.decoding import Batch
from rainpick.sasp.session import AcceptedRequest, RejectedRequest
from rainpick.settings import Settings

CHECK_INTERVAL_US = 250_000  # interval between checks for unresponsive peers
MAX_IDLE_US = 1_000_000  # longest wait for a message in the inbox
MAX_MESSAGES_PER_ITERATION = 256  # handled before the engine runs again, however many wait
SASP_REQUESTS = (AcceptedRequest, RejectedRequest)
SASP_EVENTS = (AcceptedRequest, RejectedRequest, StreamEnded)


def make_aggregator(settings: Settings) -> LoadAggregator:
    """Create an empty load aggregator with the limits of the settings."""
    otlp, proxies = settings.otlp, settings.proxies
    freshness_filter = FreshnessFilter(otlp.late_after, otlp.skew_most, otlp.streams_most)
    routes = [route.name for route in settings.routes]
    return LoadAggregator(freshness_filter, routes, proxies.report_every, proxies.hears_per_s)


class EventLoop:
    """Creates the parts of a director, connects them and runs them in one thread.

    ``director_factory`` creates the ``Director``; tests replace it.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        director_factory: Callable[[], Director] = Director,
        clock: Callable[[], int] = monotonic_us,
    ):
        self.clock = clock
        started_us = clock()
        self.inbox = Inbox(settings.director.inbox, clock)
        self.context = context = Context(settings, clock)
        self.membership = Membership(settings, started_us)
        proxies = Proxies(settings)
        self.aggregator = make_aggregator(settings)
        self.sessions = Sessions(context, self.membership, proxies, self.aggregator)
        self.delivery = Delivery(context, self.sessions)
        self.intake = ReportIntake(context, self.sessions, proxies, self.aggregator)
        self.sasp = SaspFrontend(context, self.sessions, self.delivery, self.membership)
        self.mqtt = MqttFrontend(context, self.sessions, self.delivery, self.intake)
        self.follower = ListFollower(context, self.membership, self.sessions, seed, director_factory)
        self.status = StatusReader(
            context, self.inbox, self.sessions, self.intake, self.mqtt, self.follower, started_us
        )
        self.deferral = RequestDeferral(self.sessions, self.handle_stream_event)
        self.next_check_us = started_us
        self.stopping = False
        self.failure: BaseException | None = None
        self.on_failure: Callable[[], None] = lambda: None  # called in the event loop's thread
        self.handlers: dict[type, Callable[[Any], None]] = {
            StreamOpened: self.open_stream,
            StreamReceived: self.receive_from_stream,
            ListFileRead: lambda message: self.follower.list_file_read(message.entries),
            CachedListRead: lambda message: self.follower.cached_list_read(message.entries),
            StopRequested: self.stop,
            LoadReportReceived: self.intake.receive_otlp,
            StatusQuery: self.status.handle,
            TableActionRequest: TableActions(context, self.follower).handle,
        }
        self.thread = threading.Thread(target=self.run, name="core", daemon=True)

    @property
    def engine(self) -> Engine | None:
        """The engine; None until ``ListFollower`` has created it."""
        return self.context.engine

    def receive_report(self, batch: Batch) -> dict[str, int] | None:
        """Pass an OTLP report to the event loop; return the number of its points by verdict.

        None if the event loop is too busy to answer in time. Called in the threads of the OTLP frontend.
        """
        return self.inbox.query(LoadReportReceived(batch, time.time_ns()))

    # The loop

    def run(self) -> None:
        """Run until ``StopRequested`` or an unhandled exception, then close all sockets and files."""
        try:
            while not self.stopping:
                self.run_iteration(self.idle_s())
        except BaseException as error:
            # A retry would most likely fail again, so the daemon exits and its supervisor restarts it.
            self.failure = error
            self.context.log.exception("the core failed")
            self.on_failure()
        finally:
            self.sessions.close_all_sockets()
            self.follower.close()

    def idle_s(self) -> float:
        """Return how long the loop may wait for a message before something else is due, in seconds."""
        now = self.clock()
        times = [self.next_check_us, now + MAX_IDLE_US]
        delivery_us = self.delivery.poll_interval_us()
        for interval_us in (delivery_us, self.deferral.poll_interval_us()):
            if interval_us is not None:
                times.append(now + interval_us)
        due = [self.follower.due_us()]
        if self.engine is not None:
            due += [self.engine.due_us(), self.aggregator.due_us(now)]
        times += [time_us for time_us in due if time_us is not None]
        return max(0.0, (min(times) - now) / 1e6)

    def run_iteration(self, idle_s: float) -> None:
        """Dispatch queued messages, a limited number at once, run the engine once and send its messages."""
        message = self.inbox.receive(idle_s)
        handled = 0
        while message is not None:
            self.handlers[type(message)](message)
            handled += 1
            message = self.inbox.receive() if handled < MAX_MESSAGES_PER_ITERATION else None
        now = self.clock()
        self.follower.advance(now)
        engine = self.engine
        if engine is not None:
            engine.add_load_reports(self.aggregator.collect(now))
            for message in engine.advance(now):
                self.push(message, now)
        self.mqtt.sender.update_observers()
        self.delivery.poll(now)
        self.deferral.poll(now)
        if now >= self.next_check_us:
            self.next_check_us = now + CHECK_INTERVAL_US
            self.check_peers(now)

    def push(self, message: OutgoingMessage, now: int) -> None:
        """Send a message of the engine through the frontend that its proxy is connected to."""
        session = self.sessions.by_number[message.proxy]
        if session.over_mqtt:
            self.mqtt.sender.push(session, message)
        else:
            self.sasp.push(session, message, now)

    def check_peers(self, now: int) -> None:
        """Close the streams of peers that are silent, stalled or unidentified for too long."""
        self.mqtt.check_connections(now)
        self.sessions.close_unidentified(now)
        self.sasp.disconnect_silent(now)

    # Messages

    def open_stream(self, message: StreamOpened) -> None:
        """Register a newly accepted stream and start reading from it, unless there are too many streams."""
        stream = message.stream
        if not self.sessions.open(stream):
            return
        if isinstance(stream.parser, PacketReader):
            self.mqtt.open(stream)
        stream.start()

    def receive_from_stream(self, message: StreamReceived) -> None:
        """Pass an event of a stream's reader to the frontend that owns the stream."""
        stream, event = message
        if self.sessions.is_open(stream):  # else the director has closed it; events already read are dropped
            self.deferral.receive(stream, event)

    def handle_stream_event(self, stream: Stream, event: StreamEvent) -> None:
        """Pass an event of an open stream to its frontend."""
        if stream.number in self.mqtt.connections:
            self.sessions.mark_identified(stream)
            if not isinstance(event, SASP_REQUESTS):
                self.mqtt.receive(stream, event)
        elif isinstance(event, SASP_EVENTS):
            self.sasp.receive(stream, event)

    def stop(self, message: StopRequested) -> None:  # noqa: ARG002 - all handlers have this signature
        """End the loop after the current iteration."""
        self.stopping = True
