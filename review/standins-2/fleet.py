"""Members that register over SASP and proxies that follow their tables over MQTT, in threads."""

from __future__ import annotations

import contextlib
import random
import threading
import time

from harness import LOOPBACK, Case

from rainpick.mqtt import codec
from rainpick.publish import payloads, topics
from rainpick.publish.follower import TableFollower
from rainpick.publish.payloads import LoadReport, RouteRequests, ServerAttempts
from rainpick.sasp.messages import (
    Group,
    Member,
    MemberGroup,
    MemberState,
    Registration,
    SetMemberState,
    StateGroup,
)
from rainpick.simulated_peers.mqtt_client import MqttProxy
from rainpick.simulated_peers.sasp_client import SaspClient

GROUP = Group("rainpick", "servers")
SEND_EVERY_S, REPORT_EVERY_S = 0.1, 1.0
ANSWER_S = 0.09


class Members:
    """The servers of a fleet, which share one stream to the director."""

    def __init__(self, case: Case, sasp_port: int, ports: list[int]):
        self.case = case
        self.stream = SaspClient((LOOPBACK, sasp_port))
        members = tuple(Member.at(LOOPBACK, port) for port in ports)
        reply = self.stream.request(Registration((MemberGroup(GROUP, members),)))
        case.note("servers registered", count=len(ports), code=reply.code)
        self.told_s: dict[str, float] = {}  # when the director had answered that a server drains

    def drain(self, *ports: int) -> None:
        """Tell the director that servers drain."""
        states = tuple(MemberState(Member.at(LOOPBACK, port), 0, True) for port in ports)
        reply = self.stream.request(SetMemberState((StateGroup(GROUP, states),)))
        for port in ports:
            self.told_s[f"{LOOPBACK}:{port}"] = self.case.now_s()
        self.case.note("the director was told of drains", servers=ports, code=reply.code)


class Proxy:
    """A proxy: keeps its table, dials again after its stream broke, and sends requests by weight."""

    def __init__(self, case: Case, mqtt_port: int, number: int):
        self.case, self.mqtt_port, self.number = case, mqtt_port, number
        self.draw = random.Random(number)
        self.follower = TableFollower({})
        self.connection: MqttProxy | None = None
        self.joined_s = 0.0
        self.sent: dict[str, float] = {}  # when it last sent to each server
        self.ended = False
        threading.Thread(target=self.follow, daemon=True).start()
        threading.Thread(target=self.send_steadily, daemon=True).start()

    @property
    def bound(self) -> bool:
        """Whether the proxy has a table."""
        return bool(self.follower.available_servers())

    def follow(self) -> None:
        """Follow the table; dial again 67 to 280 ms after the stream broke."""
        while not self.ended:
            with contextlib.suppress(OSError):
                connection = MqttProxy((LOOPBACK, self.mqtt_port), f"edge-{self.number}")
                connection.join(self.follower, {})
                self.connection, self.joined_s = connection, self.case.now_s()
                while not self.ended:
                    connection.read(1.0)
            time.sleep(self.draw.uniform(0.067, 0.28))

    def break_stream(self) -> None:
        """Break the stream."""
        if self.connection is not None:
            self.connection.close()

    def send_steadily(self) -> None:
        """Send requests to servers of the table, picked by weight; report them each second."""
        time.sleep(self.draw.uniform(0, REPORT_EVERY_S))
        counts: dict[str, int] = {}
        begin_ns = time.time_ns()
        while not self.ended:
            if time.time_ns() - begin_ns >= REPORT_EVERY_S * 1e9:
                self.report(begin_ns, counts)
                counts, begin_ns = {}, time.time_ns()
            weights = self.follower.available_servers()
            if weights:
                server = self.draw.choices(list(weights), list(weights.values()))[0]
                self.sent[server] = self.case.now_s()
                counts[server] = counts.get(server, 0) + 1
            time.sleep(SEND_EVERY_S)

    def report(self, begin_ns: int, counts: dict[str, int]) -> None:
        """Publish a load report: all requests were answered."""
        attempts = tuple(
            ServerAttempts(server, "answered", count, count * ANSWER_S) for server, count in counts.items()
        )
        requests = (RouteRequests("lookup", "answered", sum(counts.values())),)
        report = LoadReport(begin_ns, time.time_ns(), attempts, requests)
        topic = topics.proxy_topic(f"edge-{self.number}", "report")
        connection = self.connection
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.write(codec.Publish(topic, payloads.encode(report), 0))
