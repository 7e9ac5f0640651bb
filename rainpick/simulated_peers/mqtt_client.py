"""A simulated proxy's MQTT client, on a blocking socket."""

from __future__ import annotations

import socket
from typing import TypeVar

from rainpick.mqtt import codec
from rainpick.mqtt.client import ClientConnection
from rainpick.publish import payloads, topics
from rainpick.publish.follower import TableFollower
from rainpick.publish.payloads import Presence, SyncFault
from rainpick.simulated_peers import blocking_socket

AnyPacket = TypeVar("AnyPacket", bound=codec.Packet)


class MqttProxy:
    """One MQTT connection of a proxy to a director.

    Its methods raise ``OSError`` if the connection is broken or a response takes longer than ``timeout_s``.
    If ``acknowledges`` is False, no PUBACK is sent for received messages. ``published`` has every PUBLISH
    packet that was received.
    """

    def __init__(
        self, address: tuple[str, int], uid: str, timeout_s: float = 3.0, receive_maximum: int = 100
    ):
        self.uid, self.connection, self.timeout_s = uid, ClientConnection(), timeout_s
        self.acknowledges = True
        self.published: list[codec.Publish] = []
        self.codes: dict[int, int] = {}  # PUBACK reason codes by packet identifier, for ``publish``
        self.follower = TableFollower()
        self.sock = socket.create_connection(address, timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.write(codec.Connect(uid, properties={"receive_maximum": receive_maximum}))
        reply = self.wait_for(codec.Connack)
        if reply.reason_code != codec.ReasonCode.SUCCESS:
            raise ConnectionAbortedError(f"CONNACK {reply.reason_code:#04x}")

    def write(self, *packets: codec.Packet) -> None:
        """Send packets."""
        self.sock.sendall(b"".join(codec.encode_packet(packet) for packet in packets))

    def packets(self, timeout_s: float) -> list[codec.Packet]:
        """Receive packets without handling them; return an empty list if none arrives in ``timeout_s``."""
        return blocking_socket.receive(self.sock, timeout_s, self.connection.receive, codec.MqttError)

    def wait_for(self, kind: type[AnyPacket]) -> AnyPacket:
        """Wait for a packet of a type, and handle all packets received meanwhile."""
        while True:
            packets = self.packets(self.timeout_s)
            if not packets:
                raise TimeoutError(f"no {kind.__name__} within {self.timeout_s} s")
            self.handle(packets)
            for packet in packets:
                if isinstance(packet, kind):
                    return packet

    def subscribe(self, *filters: str, qos: int = 1) -> tuple[int, ...]:
        """Subscribe to topic filters; return the reason codes of the SUBACK."""
        self.write(
            codec.Subscribe(self.connection.next_packet_id(), tuple((topic, qos) for topic in filters))
        )
        return self.wait_for(codec.Suback).reason_codes

    def publish(self, name: str, payload: payloads.ProxyMessage | bytes) -> int:
        """Publish to the proxy's topic ``name`` with QoS 1; return the reason code of the PUBACK."""
        number = self.connection.next_packet_id()
        data = payload if isinstance(payload, bytes) else payloads.encode(payload)
        self.write(codec.Publish(topics.proxy_topic(self.uid, name), data, 1, number))
        while number not in self.codes:
            packets = self.packets(self.timeout_s)
            if not packets:
                raise TimeoutError(f"no PUBACK for packet {number} within {self.timeout_s} s")
            self.handle(packets)
        return self.codes.pop(number)

    def join(self, previous: TableFollower | None, weights: dict[str, int]) -> TableFollower:
        """Subscribe and publish the presence, with the table ``previous`` or else with ``weights``."""
        self.follower = previous or TableFollower(weights)
        self.subscribe(topics.assignment_topic(self.uid), f"{topics.TOPIC_ROOT}/table/+")
        follower = self.follower
        presence = Presence(
            "here",
            follower.epoch,
            follower.table,
            follower.version,
            follower.digest,
            tuple(follower.weights),
        )
        code = self.publish("presence", presence)
        if code != codec.ReasonCode.SUCCESS:
            raise ConnectionAbortedError(f"presence rejected with reason code {code:#04x}")
        return self.follower

    def handle(self, packets: list[codec.Packet]) -> bool:
        """Apply and acknowledge received packets; return whether one of them was a PUBLISH."""
        published = False
        for packet in packets:
            if isinstance(packet, codec.Puback):
                self.codes[packet.packet_id] = packet.reason_code
            elif isinstance(packet, codec.Disconnect):
                raise ConnectionResetError(f"DISCONNECT {packet.reason_code:#04x}")
            elif isinstance(packet, codec.Publish):
                published = True
                self.published.append(packet)
                if packet.qos and self.acknowledges:
                    self.write(codec.Puback(packet.packet_id))
                self.apply_payload(packet.payload)
        return published

    def apply_payload(self, data: bytes) -> None:
        """Apply a payload to the table; if this is not possible, request a snapshot."""
        try:
            fault = self.follower.apply(payloads.decode_director_message(data))
        except payloads.PayloadError:
            fault = self.follower.report_fault("digest")
        if fault is not None:
            self.request_snapshot(fault)

    def request_snapshot(self, fault: SyncFault) -> None:
        """Publish a fault, to which the director responds with a snapshot of the table."""
        topic = topics.proxy_topic(self.uid, "trouble")
        self.write(codec.Publish(topic, payloads.encode(fault), 0))

    def read(self, timeout_s: float) -> bool:
        """Handle packets that arrive within ``timeout_s``; return whether one of them was a PUBLISH."""
        return self.handle(self.packets(timeout_s))

    def close(self) -> None:
        """Close the connection."""
        blocking_socket.close(self.sock)
