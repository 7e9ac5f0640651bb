"""A simulated proxy's connection to a director, over SASP or MQTT, which updates the proxy's table."""

from __future__ import annotations

import random
import threading
import time

from rainpick.publish.follower import TableFollower
from rainpick.publish.payloads import parse_address
from rainpick.sasp.constants import ReturnCode
from rainpick.sasp.messages import Group, Member, MemberGroup, Registration, Reply, SetLbState
from rainpick.simulated_peers.event_log import EventLog
from rainpick.simulated_peers.mqtt_client import MqttProxy
from rainpick.simulated_peers.peer_settings import PeerSettings, SocketAddress
from rainpick.simulated_peers.proxy_table import ProxyTable
from rainpick.simulated_peers.sasp_client import SaspClient

HEARTBEAT_S = 1.0  # interval of Set LB State requests, which show that the proxy still reads
READ_TIMEOUT_S = 0.2


class DirectorLink:
    """Keeps a proxy joined to one of the directors; when the stream breaks, joins the next director."""

    def __init__(
        self,
        number: int,
        uid: str,
        settings: PeerSettings,
        table: ProxyTable,
        generator: random.Random,
        log: EventLog,
    ):
        self.number, self.uid, self.settings, self.table = number, uid, settings, table
        self.group, self.random, self.log = Group(uid, settings.group), generator, log
        self.stream: SaspClient | MqttProxy | None = None
        self.reading = threading.Event()  # cleared while reading is paused
        self.reading.set()
        self.follower: TableFollower | None = None  # state of the MQTT table, kept across reconnections

    def run(self, ended: threading.Event) -> None:
        """Stay joined to a director until the proxy ends; wait a random delay before each rejoin."""
        settings = self.settings
        director = self.number % max(1, len(settings.sasp))
        protocol = settings.fronts[self.number % len(settings.fronts)]
        stay_joined = self.follow_mqtt if protocol == "mqtt" else self.follow_sasp
        while not ended.is_set():
            try:
                stay_joined(director % len(settings.sasp))
            except OSError as error:
                self.log.write("left", p=self.uid, why=str(error))
                director += 1
                ended.wait(self.random.uniform(*settings.reconnect_delay_s))

    def follow_sasp(self, director: int) -> None:
        """Join a director over SASP and apply pushed weights; ``OSError`` when the stream breaks."""
        self.stream = stream = SaspClient(self.settings.sasp[director])
        self.require_success(stream.request(SetLbState(self.uid)))
        members = tuple(Member.at(*server) for server in self.table.copy())
        registration = Registration((MemberGroup(self.group, members),), True)
        self.require_success(stream.request(registration))
        self.log.write("joined", p=self.uid, d=director)
        heartbeat_due_s = time.monotonic() + HEARTBEAT_S
        while True:
            for message in stream.receive_weights(READ_TIMEOUT_S):
                self.log.write("weights", p=self.uid, m=self.table.update(message))
            self.reading.wait()
            if time.monotonic() >= heartbeat_due_s:
                heartbeat_due_s += HEARTBEAT_S
                stream.send(SetLbState(self.uid))

    def follow_mqtt(self, director: int) -> None:
        """Join a director over MQTT and apply published tables; ``OSError`` when the connection breaks."""
        address = self.settings.mqtt[director]
        assert address is not None  # the directors of a day always listen for MQTT
        self.stream = stream = MqttProxy(address, self.uid)
        weights = {"%s:%d" % server: weight for server, weight in self.table.copy().items()}
        self.follower = stream.join(self.follower, weights)
        self.log.write("joined", p=self.uid, d=director)
        while True:
            if stream.read(READ_TIMEOUT_S):
                self.replace_table(self.follower)
            self.reading.wait()

    def replace_table(self, follower: TableFollower) -> None:
        """Replace the proxy's table with the available servers of ``follower``, and log the changes."""
        weights: dict[SocketAddress, int] = {
            parse_address(server): weight for server, weight in follower.available_servers().items()
        }
        self.log.write("weights", p=self.uid, m=self.table.replace(weights))

    @staticmethod
    def require_success(reply: Reply) -> None:
        """Raise ``ConnectionAbortedError`` if the reply rejects the request."""
        if reply.code != ReturnCode.SUCCESS:
            raise ConnectionAbortedError(f"request rejected with return code {reply.code:#04x}")

    def close(self) -> None:
        """Close the stream; ``run`` then rejoins unless the proxy has ended."""
        if self.stream is not None:
            self.stream.close()
