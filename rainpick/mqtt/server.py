"""The server side of a connection as a state machine without I/O.

``PacketReader`` decodes received bytes into packets. ``ServerConnection`` turns packets into events for the
application and bytes for the client.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum, auto
from typing import Any

from rainpick.mqtt.decoder import PacketFramer
from rainpick.mqtt.encoder import encode_packet, encode_publish_header
from rainpick.mqtt.errors import MqttError, ReasonCode
from rainpick.mqtt.events import (
    ConnectionClosed,
    ConnectRequested,
    MessageAcknowledged,
    MessageReceived,
    ServerEvent,
    Subscribed,
    Unsubscribed,
)
from rainpick.mqtt.packets import (
    MAX_PACKET_ID,
    Connack,
    Connect,
    Disconnect,
    Packet,
    PacketType,
    Ping,
    Puback,
    Publish,
    Suback,
    Subscribe,
    Unsuback,
    Unsubscribe,
)
from rainpick.mqtt.properties import Properties
from rainpick.mqtt.topics import SHARED_PREFIX, is_valid_filter, matches_filter
from rainpick.mqtt.wire import MAX_VARIABLE_BYTE_INTEGER

DEFAULT_RECEIVE_MAXIMUM = 65_535  # value for a client whose CONNECT does not set it (section 3.1.2.11.3)
MAX_FILTERS = 64  # maximum topic filters of one connection
MAX_REASON_LENGTH = 200  # characters of a reason string in DISCONNECT
MAX_GRANTED_QOS = 1


class PacketReader:
    """Decodes the bytes of a client into packets; a decoding error is returned as the last item."""

    def __init__(self, max_packet_length: int):
        self.framer = PacketFramer(max_packet_length)
        self.first_byte_checked = False

    def receive(self, data: bytes) -> list[Packet | MqttError]:
        """Return the packets that ``data`` completes, followed by the ``MqttError`` if one is malformed.

        The first byte is checked at once: a peer that uses another protocol may never send as many bytes as
        the length that its first bytes represent in MQTT.
        """
        self.framer.feed(data)
        if not self.first_byte_checked and data:
            self.first_byte_checked = True
            if data[0] != PacketType.CONNECT << 4:
                return [MqttError("the first packet is not CONNECT", ReasonCode.PROTOCOL_ERROR)]
        packets: list[Packet | MqttError] = []
        try:
            while (packet := self.framer.next()) is not None:
                packets.append(packet)
        except MqttError as error:
            packets.append(error)
        return packets

    def buffered(self) -> int:
        """Return the number of bytes of the incomplete packet."""
        return len(self.framer.buffer)

    def abandon(self, reason: str) -> list[Packet | MqttError]:
        """End the connection because its incomplete packet is given up."""
        return [MqttError(reason, ReasonCode.QUOTA_EXCEEDED)]


class ConnectionState(IntEnum):
    """State of a connection. There is none for a closed connection, which receives no more packets."""

    AWAITING_CONNECT = auto()
    AWAITING_DECISION = auto()  # CONNECT was received; the application has not accepted or rejected it
    CONNECTED = auto()


class ServerConnection:
    """One client's connection; the caller sends the bytes that ``outgoing`` collects for the client."""

    def __init__(self) -> None:
        self.state = ConnectionState.AWAITING_CONNECT
        self.connect: Connect | None = None
        self.subscriptions: dict[str, int] = {}  # granted QoS by topic filter
        self.unacknowledged: set[int] = set()  # packet identifiers of messages to the client
        self.receive_maximum = DEFAULT_RECEIVE_MAXIMUM
        self.max_packet_length = MAX_VARIABLE_BYTE_INTEGER
        self.last_packet_id = 0
        self.outgoing = bytearray()

    def receive(self, packet: Packet | MqttError) -> ServerEvent | None:
        """Handle a packet or a decoding error; must not be called after it returned ``ConnectionClosed``."""
        if isinstance(packet, MqttError):
            return self.disconnect(packet.reason_code, str(packet))
        handler = _HANDLERS[self.state].get(type(packet))
        try:
            if handler is None:
                return self._handle_unexpected(packet)
            return handler(self, packet)
        except MqttError as error:
            return self.disconnect(error.reason_code, str(error))

    def disconnect(self, reason_code: int, reason: str) -> ConnectionClosed:
        """End the connection: with CONNACK before it was accepted, with DISCONNECT afterwards.

        Before a valid CONNECT, only errors that an MQTT client may have caused get a response, because the
        peer may use another protocol.
        """
        if self.state is ConnectionState.CONNECTED:
            last_packet = Disconnect(reason_code, {"reason": reason[:MAX_REASON_LENGTH]})
            return ConnectionClosed(encode_packet(last_packet), reason)
        if self.state is ConnectionState.AWAITING_CONNECT and reason_code not in _ANSWERED_BEFORE_CONNECT:
            return ConnectionClosed(b"", reason)
        return ConnectionClosed(encode_packet(Connack(reason_code)), reason)

    def accept(self, properties: Properties) -> None:
        """Accept the connection; ``properties`` announce the server's limits and features to the client."""
        self.state = ConnectionState.CONNECTED
        self.outgoing += encode_packet(Connack(ReasonCode.SUCCESS, False, properties))

    def acknowledge(self, publish: Publish, reason_code: int = ReasonCode.SUCCESS) -> None:
        """Acknowledge a message of the client, unless its QoS is 0."""
        if publish.qos:
            self.outgoing += encode_packet(Puback(publish.packet_id, reason_code))

    def granted_qos(self, topic: str) -> int | None:
        """Return the highest granted QoS of the client's subscriptions to a topic, None if it has none."""
        matching = (
            qos for topic_filter, qos in self.subscriptions.items() if matches_filter(topic, topic_filter)
        )
        return max(matching, default=None)

    @property
    def has_send_quota(self) -> bool:
        """Whether one more unacknowledged message is within the client's receive maximum (section 4.9)."""
        return len(self.unacknowledged) < self.receive_maximum

    def publish(self, topic: str, payload: bytes, qos: int, retain: bool = False) -> int:
        """Queue a message for the client; return its packet identifier, 0 for QoS 0."""
        packet_id = self._reserve_packet_id() if qos else 0
        self.outgoing += encode_publish_header(topic, qos, retain, len(payload))
        if qos:
            self.outgoing += packet_id.to_bytes(2, "big")
        self.outgoing += b"\0"  # property length
        self.outgoing += payload
        return packet_id

    def _reserve_packet_id(self) -> int:
        while True:
            self.last_packet_id = self.last_packet_id % MAX_PACKET_ID + 1
            if self.last_packet_id not in self.unacknowledged:
                self.unacknowledged.add(self.last_packet_id)
                return self.last_packet_id

    def _handle_unexpected(self, packet: Packet) -> ConnectionClosed:
        """End the connection after a packet that is illegal in the current state."""
        if self.state is ConnectionState.AWAITING_CONNECT:
            return ConnectionClosed(b"", f"{type(packet).__name__} before CONNECT")
        raise _not_for_a_server(packet)

    def _handle_connect(self, connect: Connect) -> ConnectRequested:
        self.state = ConnectionState.AWAITING_DECISION
        self.connect = connect
        self.receive_maximum = connect.properties.get("receive_maximum", DEFAULT_RECEIVE_MAXIMUM)
        self.max_packet_length = connect.properties.get("maximum_packet", MAX_VARIABLE_BYTE_INTEGER)
        return ConnectRequested(connect)

    def _handle_publish(self, publish: Publish) -> MessageReceived:
        if publish.qos > MAX_GRANTED_QOS:
            raise MqttError("QoS 2 is not spoken here", ReasonCode.QOS_NOT_SUPPORTED)
        if "topic_alias" in publish.properties:
            raise MqttError("no topic aliases were allowed", ReasonCode.PROTOCOL_ERROR)
        return MessageReceived(publish)

    def _handle_puback(self, puback: Puback) -> MessageAcknowledged:
        if puback.packet_id not in self.unacknowledged:
            raise MqttError(f"PUBACK {puback.packet_id} answers nothing", ReasonCode.PROTOCOL_ERROR)
        self.unacknowledged.discard(puback.packet_id)
        return MessageAcknowledged(puback.packet_id, puback.reason_code)

    def _handle_subscribe(self, subscribe: Subscribe) -> Subscribed:
        reason_codes: list[int] = []
        granted = []
        for topic_filter, options in subscribe.filters:
            if not is_valid_filter(topic_filter) or topic_filter.startswith(SHARED_PREFIX):
                reason_codes.append(ReasonCode.TOPIC_FILTER_INVALID)
            elif len(self.subscriptions) >= MAX_FILTERS and topic_filter not in self.subscriptions:
                reason_codes.append(ReasonCode.QUOTA_EXCEEDED)
            else:
                qos = min(MAX_GRANTED_QOS, options & 3)
                self.subscriptions[topic_filter] = qos
                granted.append((topic_filter, qos))
                reason_codes.append(qos)
        self.outgoing += encode_packet(Suback(subscribe.packet_id, tuple(reason_codes)))
        return Subscribed(tuple(granted))

    def _handle_unsubscribe(self, unsubscribe: Unsubscribe) -> Unsubscribed:
        removed = tuple(
            topic_filter
            for topic_filter in unsubscribe.filters
            if self.subscriptions.pop(topic_filter, None) is not None
        )
        reason_codes = tuple(
            ReasonCode.SUCCESS if topic_filter in removed else ReasonCode.NO_SUBSCRIPTION_EXISTED
            for topic_filter in unsubscribe.filters
        )
        self.outgoing += encode_packet(Unsuback(unsubscribe.packet_id, reason_codes))
        return Unsubscribed(removed)

    def _handle_ping(self, ping: Ping) -> None:
        if ping.is_response:
            raise _not_for_a_server(ping)
        self.outgoing += encode_packet(Ping(is_response=True))

    def _handle_disconnect(self, disconnect: Disconnect) -> ConnectionClosed:
        is_normal = disconnect.reason_code == ReasonCode.SUCCESS
        return ConnectionClosed(b"", "disconnected by the client", discards_will=is_normal)


def _not_for_a_server(packet: Packet) -> MqttError:
    return MqttError(f"{type(packet).__name__} is not for a server", ReasonCode.PROTOCOL_ERROR)


_ANSWERED_BEFORE_CONNECT = frozenset(
    {
        ReasonCode.MALFORMED_PACKET,
        ReasonCode.UNSUPPORTED_PROTOCOL_VERSION,
        ReasonCode.PACKET_TOO_LARGE,
    }
)

_Handlers = dict[type[Any], Callable[[ServerConnection, Any], ServerEvent | None]]
_ESTABLISHED: _Handlers = {
    Publish: ServerConnection._handle_publish,
    Puback: ServerConnection._handle_puback,
    Subscribe: ServerConnection._handle_subscribe,
    Unsubscribe: ServerConnection._handle_unsubscribe,
    Ping: ServerConnection._handle_ping,
    Disconnect: ServerConnection._handle_disconnect,
}
# The packets that a client may send in each state. A client may send packets before it receives CONNACK
# (section 3.1.4), so the same packets are legal before and after the application's decision.
_HANDLERS: dict[ConnectionState, _Handlers] = {
    ConnectionState.AWAITING_CONNECT: {Connect: ServerConnection._handle_connect},
    ConnectionState.AWAITING_DECISION: _ESTABLISHED,
    ConnectionState.CONNECTED: _ESTABLISHED,
}
