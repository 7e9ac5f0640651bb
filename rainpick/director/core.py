"""The event loop of a director: the one thread that owns the engine, the endpoint list and every write.

Other threads post messages to its inbox. Each turn dispatches all that wait, lets the pure parts work once,
and writes what they order without ever waiting for a socket.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from rainpick.decisions.director import Director
from rainpick.director.context import Context, monotonic_us
from rainpick.director.delivery import Delivery
from rainpick.director.engine import Engine, Write
from rainpick.director.evidence import Evidence
from rainpick.director.inbox import Inbox
from rainpick.director.list_follower import ListFollower
from rainpick.director.membership import Membership
from rainpick.director.messages import (
    CachedListRead,
    ListFileRead,
    LoadReportReceived,
    StatusQuery,
    StopRequested,
    StreamOpened,
    StreamReceived,
    TableActionRequest,
)
from rainpick.director.mqtt_frontend import MqttFrontend
from rainpick.director.proxies import Proxies
from rainpick.director.report_intake import ReportIntake
from rainpick.director.reports import Freshness
from rainpick.director.sasp_frontend import SaspFrontend
from rainpick.director.sessions import Sessions
from rainpick.director.status import StatusReader
from rainpick.director.table_actions import TableActions
from rainpick.mqtt.server import PacketReader
from rainpick.net import StreamEnded
from rainpick.otlp.decoding import Batch
from rainpick.sasp.session import AcceptedRequest, RejectedRequest
from rainpick.settings import Settings

CHECK_INTERVAL_US = 250_000  # between searches for slow peers
MAX_IDLE_US = 1_000_000  # the longest wait for a message
SASP_REQUESTS = (AcceptedRequest, RejectedRequest)
SASP_EVENTS = (AcceptedRequest, RejectedRequest, StreamEnded)


def make_evidence(settings: Settings) -> Evidence:
    """Empty evidence with the bounds of the settings."""
    otlp, proxies = settings.otlp, settings.proxies
    freshness = Freshness(otlp.late_after, otlp.skew_most, otlp.streams_most)
    routes = [route.name for route in settings.routes]
    return Evidence(freshness, routes, proxies.report_every, proxies.hears_per_s)


class Core:
    """Wires the parts of a director together and runs them in one thread."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        module: Callable[[], Director] = Director,
        clock: Callable[[], int] = monotonic_us,
    ):
        self.clock = clock
        started_us = clock()
        self.inbox = Inbox(settings.director.inbox, clock)
        self.context = context = Context(settings, clock)
        self.membership = Membership(settings, started_us)
        proxies = Proxies(settings)
        self.evidence = make_evidence(settings)
        self.sessions = Sessions(context, self.membership, proxies, self.evidence)
        self.delivery = Delivery(context, self.sessions)
        self.intake = ReportIntake(context, self.sessions, proxies, self.evidence)
        self.sasp = SaspFrontend(context, self.sessions, self.delivery, self.membership)
        self.mqtt = MqttFrontend(context, self.sessions, self.delivery, self.intake)
        self.follower = ListFollower(context, self.membership, self.sessions, seed, module)
        self.status = StatusReader(
            context, self.inbox, self.sessions, self.intake, self.mqtt, self.follower, started_us
        )
        self.next_check_us = started_us
        self.stopping = False
        self.failure: BaseException | None = None
        self.on_failure: Callable[[], None] = lambda: None  # called from the core's thread
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
        """The engine, once the decisions have started."""
        return self.context.engine

    def receive_report(self, batch: Batch) -> dict[str, int] | None:
        """For the OTLP front: the points of a report by verdict, or None if the event loop is too busy."""
        return self.inbox.query(LoadReportReceived(batch, time.time_ns()))

    # The loop

    def run(self) -> None:
        """Run until ``StopRequested`` or until a part fails; then close all sockets and files."""
        try:
            while not self.stopping:
                self.turn(self.idle_s())
        except BaseException as error:
            # Whatever fails here would fail again: the daemon ends, and its supervisor starts another one.
            self.failure = error
            self.context.log.exception("the core failed")
            self.on_failure()
        finally:
            self.sessions.close_all_sockets()
            self.follower.close()

    def idle_s(self) -> float:
        """How long the loop may wait for a message before something else is due, in seconds."""
        now = self.clock()
        times = [self.next_check_us, now + MAX_IDLE_US]
        delivery_us = self.delivery.poll_interval_us()
        if delivery_us is not None:
            times.append(now + delivery_us)
        due = [self.follower.due_us()]
        if self.engine is not None:
            due += [self.engine.due_us(), self.evidence.due_us(now)]
        times += [time_us for time_us in due if time_us is not None]
        return max(0.0, (min(times) - now) / 1e6)

    def turn(self, idle_s: float) -> None:
        """Dispatch all messages that wait, let the engine take one step, write what it orders."""
        message = self.inbox.receive(idle_s)
        while message is not None:
            self.handlers[type(message)](message)
            message = self.inbox.receive()
        now = self.clock()
        self.follower.advance(now)
        engine = self.engine
        if engine is not None:
            engine.add_load_reports(self.evidence.collect(now))
            for write in engine.advance(now):
                self.push(write, now)
        self.mqtt.sender.update_observers()
        self.delivery.poll(now)
        if now >= self.next_check_us:
            self.next_check_us = now + CHECK_INTERVAL_US
            self.check_peers(now)

    def push(self, write: Write, now: int) -> None:
        """Send a message of the engine by the frontend that its proxy dialled."""
        session = self.sessions.by_number[write.proxy]
        if session.over_mqtt:
            self.mqtt.sender.push(session, write)
        else:
            self.sasp.push(session, write, now)

    def check_peers(self, now: int) -> None:
        """Close the streams of peers that are silent, stuck, or never said what they are."""
        self.mqtt.check_connections(now)
        self.sessions.close_unidentified(now)
        self.sasp.disconnect_silent(now)

    # Messages

    def open_stream(self, message: StreamOpened) -> None:
        """A peer has dialled: admit its stream and begin to read it."""
        stream = message.stream
        if not self.sessions.open(stream):
            return
        if isinstance(stream.parser, PacketReader):
            self.mqtt.open(stream)
        stream.start()

    def receive_from_stream(self, message: StreamReceived) -> None:
        """Hand what a stream's reader delivers to the frontend of that stream."""
        stream, event = message
        if not self.sessions.is_open(stream):
            return  # it was closed here; what its peer still said comes too late
        if stream.number in self.mqtt.connections:
            self.sessions.identified(stream)
            if not isinstance(event, SASP_REQUESTS):
                self.mqtt.receive(stream, event)
        elif isinstance(event, SASP_EVENTS):
            self.sasp.receive(stream, event)

    def stop(self, message: StopRequested) -> None:  # noqa: ARG002 - handlers take their message
        """End the loop after this turn."""
        self.stopping = True
