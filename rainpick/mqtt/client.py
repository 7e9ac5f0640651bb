"""The client side of a connection without I/O: packet identifiers and received packets."""

from __future__ import annotations

from rainpick.mqtt.decoder import PacketFramer
from rainpick.mqtt.packets import MAX_PACKET_ID, Packet

DEFAULT_MAX_PACKET_LENGTH = 1 << 24


class ClientConnection:
    """State of a client's connection; the caller handles the received packets."""

    def __init__(self, max_packet_length: int = DEFAULT_MAX_PACKET_LENGTH):
        self.framer = PacketFramer(max_packet_length)
        self.last_packet_id = 0

    def next_packet_id(self) -> int:
        """Return the next packet identifier; identifiers repeat after 65,535 of them."""
        self.last_packet_id = self.last_packet_id % MAX_PACKET_ID + 1
        return self.last_packet_id

    def receive(self, data: bytes) -> list[Packet]:
        """Return the packets that ``data`` completes; raise ``MqttError`` if one is malformed."""
        self.framer.feed(data)
        packets = []
        while (packet := self.framer.next()) is not None:
            packets.append(packet)
        return packets
