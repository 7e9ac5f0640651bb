"""A proxy's end of the publish-subscribe front, on a blocking socket."""

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
    """One connection; ``OSError`` says that it is broken.

    ``acknowledges`` False lets it read without an acknowledgement. ``published`` has all that it was sent.
    """

    def __init__(
        self, address: tuple[str, int], uid: str, timeout_s: float = 3.0, receive_maximum: int = 100
    ):
        self.uid, self.end, self.timeout_s = uid, ClientConnection(), timeout_s
        self.acknowledges = True
        self.published: list[codec.Publish] = []
        self.codes: dict[int, int] = {}  # reason codes by packet identifier, until ``publish`` takes them
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
        """Receive the packets that come within a time, without handling them."""
        return blocking_socket.receive(self.sock, timeout_s, self.end.receive, codec.MqttError)

    def wait_for(self, kind: type[AnyPacket]) -> AnyPacket:
        """Wait for a packet of a type; others are handled meanwhile."""
        while True:
            packets = self.packets(self.timeout_s)
            if not packets:
                raise TimeoutError(f"no {kind.__name__}")
            self.handle(packets)
            for packet in packets:
                if isinstance(packet, kind):
                    return packet

    def subscribe(self, *filters: str, qos: int = 1) -> tuple[int, ...]:
        """Subscribe to topic filters; give the reason codes."""
        self.write(codec.Subscribe(self.end.next_packet_id(), tuple((name, qos) for name in filters)))
        return self.wait_for(codec.Suback).reason_codes

    def publish(self, what: str, payload: payloads.ProxyMessage | bytes) -> int:
        """Publish to one of the proxy's topics; give the reason code of the acknowledgement."""
        number = self.end.next_packet_id()
        data = payload if isinstance(payload, bytes) else payloads.encode(payload)
        self.write(codec.Publish(topics.proxy_topic(self.uid, what), data, 1, number))
        while number not in self.codes:
            packets = self.packets(self.timeout_s)
            if not packets:
                raise TimeoutError("no PUBACK")
            self.handle(packets)
        return self.codes.pop(number)

    def join(self, before: TableFollower | None, weights: dict[str, int]) -> TableFollower:
        """Join with the table of an earlier connection, or with servers of a default table."""
        self.follower = before or TableFollower(weights)
        self.subscribe(topics.assignment_topic(self.uid), f"{topics.TOPIC_ROOT}/table/+")
        old = self.follower
        presence = Presence("here", old.epoch, old.table, old.version, old.digest, tuple(old.weights))
        code = self.publish("presence", presence)
        if code != codec.ReasonCode.SUCCESS:
            raise ConnectionAbortedError(f"presence refused: {code:#04x}")
        return self.follower

    def handle(self, packets: list[codec.Packet]) -> bool:
        """Handle packets; say whether anything was published."""
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
        """Apply a payload to the table, and report it if it does not fit or was damaged on its way."""
        try:
            trouble = self.follower.apply(payloads.decode_director_message(data))
        except payloads.PayloadError:
            trouble = self.follower.report_fault("digest")
        if trouble is not None:
            self.report_trouble(trouble)

    def report_trouble(self, trouble: SyncFault) -> None:
        """Ask for the complete table."""
        topic = topics.proxy_topic(self.uid, "trouble")
        self.write(codec.Publish(topic, payloads.encode(trouble), 0))

    def read(self, timeout_s: float) -> bool:
        """Handle what comes within a time; say whether anything was published."""
        return self.handle(self.packets(timeout_s))

    def close(self) -> None:
        """Close the connection."""
        blocking_socket.close(self.sock)
