"""The publish-subscribe front, within the core's thread: MQTT connections of proxies and of observers.

A proxy is a client that subscribed to its own orders with QoS 1 and published its presence. What the engine
writes to it becomes one message: a change or the whole of its table, with its orders when they are news. An
acknowledgement is what ``Acknowledged`` stands for here. Observers follow tables, one message under way at a
time.
"""

from __future__ import annotations

import re
import time
from typing import TYPE_CHECKING, Any

import structlog

from rainpick.director.reports import Point
from rainpick.mqtt import codec
from rainpick.mqtt.codec import MqttError
from rainpick.mqtt.session import Acked, Joined, Over, Said, ServerEnd, Unwants, Wants
from rainpick.net import Ended
from rainpick.publish import payloads
from rainpick.publish.follow import Writer
from rainpick.publish.payloads import Level, Met, Orders, PayloadError, Presence, Trouble
from rainpick.sasp.codec import NO_CHANGE, PUSH, TRUST

if TYPE_CHECKING:
    from rainpick.director.core import Core, Served
    from rainpick.director.engine import Write
    from rainpick.director.tables import Snapshot
    from rainpick.net.streams import Stream

CLIENT = re.compile(r"[^/+#\x00]{1,64}")
FLAGS = PUSH | TRUST | NO_CHANGE


class Feed:
    """What an observer holds of a table."""

    __slots__ = ("held", "under_way")

    def __init__(self) -> None:
        self.held: Snapshot | None = None
        self.under_way = 0  # the packet that it has not acknowledged


class Link:
    """One MQTT connection."""

    def __init__(self, stream: Stream, now: int, says_per_s: float):
        self.stream, self.end = stream, ServerEnd()
        self.client = ""
        self.heard_us = now
        self.writes: dict[int, int] = {}  # packet to the engine's number of the message
        self.waiting_us: int | None = None  # since when something is unacknowledged
        self.feeds: dict[int, Feed] = {}
        self.stuck_us: int | None = None
        self.says, self.says_us, self.says_per_s = 2 * says_per_s, now, says_per_s

    def may_say(self, now: int) -> bool:
        """A publisher that floods is told apart by its pace."""
        self.says = min(2 * self.says_per_s, self.says + (now - self.says_us) * self.says_per_s / 1e6)
        self.says_us = now
        if self.says < 1:
            return False
        self.says -= 1
        return True


class Subscribers:
    """All MQTT connections of a director."""

    def __init__(self, core: Core):
        self.core, self.settings = core, core.settings
        self.epoch = f"{core.settings.director.number}-{time.time_ns() // 1000:x}"
        self.writer = Writer(self.epoch)
        self.links: dict[int, Link] = {}
        self.log = structlog.get_logger(front="mqtt")
        self.counts = dict.fromkeys(("wholes", "changes", "bytes", "healed", "refused", "floods"), 0)

    # Connections

    def opened(self, stream: Stream) -> None:
        self.links[stream.number] = Link(stream, self.core.clock(), self.settings.mqtt.says_per_s)

    def came(self, stream: Stream, found: Any) -> None:
        link = self.links[stream.number]
        link.heard_us = self.core.clock()
        if isinstance(found, Ended):
            self.core.end(stream, found.why)
            return
        step = link.end.receive(found)
        if isinstance(found, MqttError):
            self.counts["refused"] += 1
        if isinstance(step, Joined):
            step = self.joined(link, step.connect)
        elif isinstance(step, Wants):
            self.wants(link)
        elif isinstance(step, Unwants):
            link.feeds = {
                table: feed
                for table, feed in link.feeds.items()
                if link.end.wanted(payloads.table_topic(table)) is not None
            }
        elif isinstance(step, Said):
            step = self.said(link, step.publish)
        elif isinstance(step, Acked):
            self.acked(link, step)
        if isinstance(step, Over):
            stream.write(bytes(link.end.out) + step.data)
            self.core.end(stream, step.why)
        else:
            self.send(link)

    def joined(self, link: Link, connect: codec.Connect) -> Over | None:
        """A client wants in; the newer of two with the same name counts."""
        if not CLIENT.fullmatch(connect.client):
            return link.end.end(codec.BAD_CLIENT_ID, "a client identifier of 1 to 64 characters but / + #")
        for other in list(self.links.values()):
            if other is not link and other.client == connect.client:
                self.taken_over(other.stream)
                self.core.end(other.stream, "another client has the same identifier")
        link.client = connect.client
        link.end.accept(
            {
                "receive_maximum": self.settings.mqtt.receive_most,
                "maximum_qos": 1,
                "retain_available": 1,
                "maximum_packet": self.settings.mqtt.packet_most,
                "topic_alias_maximum": 0,
                "wildcards": 1,
                "subscription_ids": 0,
                "shared": 0,
                "session_expiry": 0,
            }
        )
        return None

    def taken_over(self, stream: Stream) -> None:
        link = self.links.get(stream.number)
        if link is not None:
            stream.write(codec.write(codec.Disconnect(codec.TAKEN_OVER)))

    def wants(self, link: Link) -> None:
        """Tables that it subscribed to and is no proxy of: an observer's."""
        many = sum(map(self.observes, self.links.values()))
        if self.observes(link) and many > self.settings.mqtt.observers_most:
            self.core.end(link.stream, "too many observers")

    def observes(self, link: Link) -> bool:
        filters = link.end.filters
        if link.stream.number in self.core.served or payloads.orders_topic(link.client) in filters:
            return False
        tables = f"{payloads.ROOT}/table", f"{payloads.ROOT}/#", "#", "+"
        return any(name.startswith(tables) for name in filters)

    # What clients say

    def said(self, link: Link, publish: codec.Publish) -> Over | None:
        if not link.may_say(self.core.clock()):
            self.counts["floods"] += 1
            return link.end.end(codec.QUOTA, f"over {link.says_per_s:g} messages a second")
        what = publish.topic.removeprefix(payloads.up_topic(link.client, ""))
        if what == publish.topic or what not in ("presence", "report", "trouble"):
            link.end.acknowledge(publish, codec.NOT_AUTHORIZED)
            return None
        try:
            one = payloads.read_up(publish.payload)
            wanted = {"presence": Presence, "report": Met, "trouble": Trouble}[what]
            if not isinstance(one, wanted):
                raise PayloadError(f"{type(one).__name__} on {what}")
            code = self.heard(link, one)
        except PayloadError as flaw:
            self.counts["refused"] += 1
            self.log.warning("payload refused", proxy=link.client, topic=publish.topic, why=str(flaw))
            code = codec.BAD_PAYLOAD
        link.end.acknowledge(publish, code)
        return None

    def heard(self, link: Link, one: Presence | Met | Trouble) -> int:
        core = self.core
        served = core.served.get(link.stream.number)
        if isinstance(one, Presence):
            return self.presence(link, served, one)
        if served is None:
            return codec.NOT_AUTHORIZED
        if isinstance(one, Trouble):
            self.counts["healed"] += 1
            self.log.warning("proxy can't follow", proxy=served.uid, why=one.why, table=one.table)
            if core.engine is not None and served.joined:
                core.engine.distrust(served.number)
            return codec.SUCCESS
        points = self.points(served.uid, one)
        place = {served.uid: (served.number, core.proxies.place(served.uid)[0])}
        known = core.engine.listed if core.engine is not None else {}
        core.weigh(points, time.time_ns(), place, known)
        return codec.SUCCESS

    def presence(self, link: Link, served: Served | None, one: Presence) -> int:
        core = self.core
        if one.state == "gone":
            if served is not None:
                core.served.pop(link.stream.number)
                core.part(served)
            return codec.SUCCESS
        if link.end.filters.get(payloads.orders_topic(link.client)) != 1:
            return codec.NOT_AUTHORIZED  # orders that it would not hear, or not acknowledge, are of no use
        if served is not None:
            return codec.SUCCESS
        if link.client == self.settings.fleet.uid:
            return codec.NOT_AUTHORIZED
        standing = frozenset(payloads.key(place) for place in one.holds)
        served = core.serve_proxy(link.stream, link.client, FLAGS)
        served.registered, served.standing = True, standing
        if core.engine is not None:
            if one.epoch == self.epoch and one.table is not None:
                held = core.engine.tables.version(one.table, one.version)
                served.resumes = held if held is not None and held.digest == one.digest else None
            core.join(served)
        return codec.SUCCESS

    @staticmethod
    def points(uid: str, met: Met) -> list[Point]:
        found = []
        for row in met.tries:
            good = row.outcome == "answered"
            counts = (row.count, 0) if good else (0, row.count)
            took_us = int(row.seconds * 1e6) if good else 0
            found.append(
                Point(
                    uid,
                    met.start_ns,
                    met.end_ns,
                    *counts,
                    took_us,
                    server=payloads.key(row.server),
                    outcomes=row.outcome,
                )
            )
        for row in met.calls:
            good = row.outcome == "answered"
            counts = (row.count, 0) if good else (0, row.count)
            found.append(
                Point(uid, met.start_ns, met.end_ns, *counts, 0, route=row.route, outcomes=row.outcome)
            )
        return found

    # What they are told

    def push(self, served: Served, write: Write) -> None:
        """One message for a proxy: its table's change or whole, with its orders if they are news."""
        link, core = self.links[served.stream.number], self.core
        table = core.engine.tables.proxies[served.number].table
        part = data = None
        if table is not None and (write.way.shut or write.way.rest or write.orders):
            part, data = self.writer.part(table, write.before, write.after)
            self.counts["wholes" if isinstance(part, payloads.Whole) else "changes"] += 1
        if write.orders is None and table is not None:
            topic = payloads.table_topic(table)
        else:
            levels = write.orders or core.engine.tables.proxies[served.number].told
            lines, out = self.writer.loose(write.way) if table is None else ((), ())
            routes = self.settings.routes
            rows = tuple(
                [
                    Level(routes[route].name, level, payloads.RETRIES[retry])
                    for route, level, retry in levels[1]
                ]
            )
            data = payloads.encode(Orders(self.epoch, table, rows, part, lines, out))
            topic = payloads.orders_topic(served.uid)
        if len(data) + len(topic) + 16 > link.end.send_most:
            core.let_go(served, "its largest packet is smaller than what it is to be told")
            return
        number = link.end.publish(topic, data, 1)
        link.writes[number] = write.number
        if link.waiting_us is None:
            link.waiting_us = core.clock()
        if not link.end.room:
            core.block(served, True)
        self.send(link)

    def send(self, link: Link) -> None:
        """Hand what collected to the socket."""
        if not link.end.out:
            return
        stream, served = link.stream, self.core.served.get(link.stream.number)
        self.counts["bytes"] += len(link.end.out)
        data = bytes(link.end.out)
        link.end.out.clear()
        whole = stream.write(data)
        if served is not None:
            if not whole:
                self.core.let_go(served, "more waits for it than is held")
            elif stream.rest and self.core.engine is not None and served.joined:
                self.core.stalled.add(stream.number)
                self.core.block(served, True)
        elif not whole:
            self.core.end(stream, "it does not read")

    def acked(self, link: Link, step: Acked) -> None:
        number = link.writes.pop(step.number, None)
        served = self.core.served.get(link.stream.number)
        link.waiting_us = self.core.clock() if link.writes else None
        if number is not None and served is not None and self.core.engine is not None:
            self.core.engine.delivered(served.number, number)
            if served.blocked_us is not None and link.stream.number not in self.core.stalled:
                self.core.block(served, False)
        for feed in link.feeds.values():
            if feed.under_way == step.number:
                feed.under_way = 0

    def room(self, stream: Stream) -> bool:
        link = self.links.get(stream.number)
        return link is None or link.end.room

    def flush(self) -> None:
        """Bring observers up to date: one message under way a table, always to the newest version."""
        engine = self.core.engine
        if engine is None:
            return
        for link in list(self.links.values()):
            if not link.end.accepted or link.stream.number in self.core.served or link.stream.rest:
                continue
            for table in engine.tables.bound:
                topic = payloads.table_topic(table)
                qos = link.end.wanted(topic)
                if qos is None or not self.observes(link):
                    continue
                feed, newest = link.feeds.setdefault(table, Feed()), engine.tables.current(table)
                if feed.under_way or feed.held is newest or not link.end.room:
                    continue
                part, data = self.writer.part(table, feed.held, newest)
                feed.under_way = link.end.publish(topic, data, qos, isinstance(part, payloads.Whole))
                feed.held = newest
            self.send(link)

    def watch(self, now: int) -> None:
        """Let go of who is silent past its keep-alive, acknowledges nothing, or is stuck."""
        for link in list(self.links.values()):
            keep_us = link.end.connect.keep_alive * 1_500_000 if link.end.connect is not None else 0
            if keep_us and now - link.heard_us > keep_us:
                link.stream.write(codec.write(codec.Disconnect(codec.KEEP_ALIVE)))
                self.core.end(link.stream, "silent past its keep-alive")
                continue
            served = self.core.served.get(link.stream.number)
            late = link.waiting_us is not None and now - link.waiting_us > self.settings.mqtt.ack_within
            if served is not None and late:
                self.core.let_go(served, "it acknowledges nothing")
            elif served is None and link.stream.rest:
                link.stream.pump()
                link.stuck_us = (link.stuck_us or now) if link.stream.rest else None
                if link.stuck_us is not None and now - link.stuck_us > self.settings.sasp.write_stall:
                    self.core.end(link.stream, "it does not read")

    def status(self) -> dict[str, Any]:
        return {
            "connections": len(self.links),
            "observers": sum(map(self.observes, self.links.values())),
            **self.counts,
        }
