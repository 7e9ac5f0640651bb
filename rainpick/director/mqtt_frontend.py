"""The MQTT frontend in the event loop's thread: connections of proxies and of observers.

A proxy is a client that has subscribed to its own assignments with QoS 1 and has published its presence. The
MQTT acknowledgement of a message is reported to the engine as its delivery.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import structlog

from rainpick.director.context import Context
from rainpick.director.delivery import Delivery
from rainpick.director.mqtt_connection import MqttConnection
from rainpick.director.mqtt_reports import points_of
from rainpick.director.mqtt_sender import MqttSender
from rainpick.director.observers import is_observer, keep_feeds
from rainpick.director.report_intake import ReportIntake
from rainpick.director.sessions import ProxySession, Sessions
from rainpick.mqtt import codec
from rainpick.mqtt.codec import MqttError, Packet
from rainpick.mqtt.events import (
    ConnectionClosed,
    ConnectRequested,
    MessageAcknowledged,
    MessageReceived,
    Subscribed,
    Unsubscribed,
)
from rainpick.net import StreamEnded
from rainpick.net.streams import Stream
from rainpick.publish import payloads, topics
from rainpick.publish.payloads import LoadReport, PayloadError, Presence, SyncFault
from rainpick.sasp.constants import NO_CHANGE, PUSH, TRUST

CLIENT_IDENTIFIER = re.compile(r"[^/+#\x00]{1,64}")
PROXY_FLAGS = PUSH | TRUST | NO_CHANGE  # the SASP flags that describe every proxy over MQTT
# The payloads that a proxy may publish, by the last level of the topic.
PROXY_PAYLOADS: dict[str, type[Presence | LoadReport | SyncFault]] = {
    "presence": Presence,
    "report": LoadReport,
    "trouble": SyncFault,
}


@dataclass(slots=True)
class ReceiveCounts:
    """Counters of events on MQTT connections since the start."""

    resynchronisations: int = 0  # times that a proxy reported that it could not apply an update
    rejected: int = 0  # malformed packets and payloads
    rate_limited: int = 0  # clients disconnected for exceeding their message rate


class MqttFrontend:
    """Handles all MQTT connections of a director."""

    def __init__(self, context: Context, sessions: Sessions, delivery: Delivery, intake: ReportIntake):
        self.context = context
        self.settings = context.settings
        self.sessions = sessions
        self.delivery = delivery
        self.intake = intake
        self.connections: dict[int, MqttConnection] = {}  # connections by stream number
        self.sender = MqttSender(context, sessions, delivery, self.connections)
        self.counts = ReceiveCounts()
        self.log = structlog.get_logger(front="mqtt")
        sessions.closing_listeners.append(self.forget)
        sessions.replacing_listeners.append(self.announce_takeover)

    # Connections

    def open(self, stream: Stream) -> None:
        """Add the connection of a newly accepted stream, before its CONNECT is received."""
        now = self.context.clock()
        self.connections[stream.number] = MqttConnection(stream, now, self.settings.mqtt.says_per_s)

    def forget(self, stream: Stream) -> None:
        """Remove the connection of a stream that ends."""
        self.connections.pop(stream.number, None)

    def receive(self, stream: Stream, event: Packet | MqttError | StreamEnded) -> None:
        """Pass a packet or an error to the connection's protocol; close the stream if it has ended."""
        connection = self.connections[stream.number]
        connection.received_us = self.context.clock()
        if isinstance(event, StreamEnded):
            self.sessions.close(stream, event.reason)
            return
        if isinstance(event, MqttError):
            self.counts.rejected += 1
        closing_event = self.handle(connection, connection.protocol.receive(event))
        if closing_event is not None:
            stream.write(bytes(connection.protocol.outgoing) + closing_event.data)
            self.sessions.close(stream, closing_event.reason)
        else:
            self.sender.send(connection)

    def handle(
        self,
        connection: MqttConnection,
        protocol_event: ConnectRequested
        | Subscribed
        | Unsubscribed
        | MessageReceived
        | MessageAcknowledged
        | ConnectionClosed
        | None,
    ) -> ConnectionClosed | None:
        """Handle an event of the protocol; return ``ConnectionClosed`` if it ends the connection."""
        if isinstance(protocol_event, ConnectRequested):
            return self.connect(connection, protocol_event.connect)
        if isinstance(protocol_event, Subscribed):
            self.enforce_observer_limit(connection)
        elif isinstance(protocol_event, Unsubscribed):
            granted_qos = connection.protocol.granted_qos
            keep_feeds(
                connection, [n for n in connection.feeds if granted_qos(topics.table_topic(n)) is not None]
            )
        elif isinstance(protocol_event, MessageReceived):
            return self.handle_publish(connection, protocol_event.publish)
        elif isinstance(protocol_event, MessageAcknowledged):
            self.handle_acknowledgement(connection, protocol_event)
        return protocol_event if isinstance(protocol_event, ConnectionClosed) else None

    def connect(self, connection: MqttConnection, connect: codec.Connect) -> ConnectionClosed | None:
        """Accept a client with a valid identifier; close an older connection with the same identifier."""
        if not CLIENT_IDENTIFIER.fullmatch(connect.client_id):
            why = "a client identifier of 1 to 64 characters but / + #"
            return connection.protocol.disconnect(codec.ReasonCode.CLIENT_IDENTIFIER_NOT_VALID, why)
        for other in list(self.connections.values()):
            if other is not connection and other.client == connect.client_id:
                self.announce_takeover(other.stream)
                self.sessions.close(other.stream, "another client has the same identifier")
        connection.client = connect.client_id
        connection.protocol.accept(
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

    def announce_takeover(self, stream: Stream) -> None:
        """Send a client DISCONNECT, because a newer connection with its identifier replaces this one.

        Does nothing for a SASP stream.
        """
        if stream.number in self.connections:
            stream.write(codec.encode_packet(codec.Disconnect(codec.ReasonCode.SESSION_TAKEN_OVER)))

    def enforce_observer_limit(self, connection: MqttConnection) -> None:
        """Close a connection whose subscription makes it exceed the limit on observers."""
        observers = sum(map(self.observes, self.connections.values()))
        if self.observes(connection) and observers > self.settings.mqtt.observers_most:
            self.sessions.close(connection.stream, "too many observers")

    def observes(self, connection: MqttConnection) -> bool:
        """Return whether a connection belongs to an observer."""
        return is_observer(connection, connection.stream.number in self.sessions.by_stream)

    # Messages from clients

    def handle_publish(self, connection: MqttConnection, publish: codec.Publish) -> ConnectionClosed | None:
        """Handle a PUBLISH and acknowledge it; ``ConnectionClosed`` if a client exceeds its message rate."""
        if not connection.rate_limit.allows(self.context.clock()):
            self.counts.rate_limited += 1
            per_s = connection.rate_limit.per_s
            return connection.protocol.disconnect(
                codec.ReasonCode.QUOTA_EXCEEDED, f"over {per_s:g} messages a second"
            )
        kind = publish.topic.removeprefix(topics.proxy_topic(connection.client, ""))
        if kind == publish.topic or kind not in PROXY_PAYLOADS:
            connection.protocol.acknowledge(publish, codec.ReasonCode.NOT_AUTHORIZED)
            return None
        try:
            payload = payloads.decode_proxy_message(publish.payload)
            if not isinstance(payload, PROXY_PAYLOADS[kind]):
                raise PayloadError(f"unexpected payload {type(payload).__name__} on topic level {kind}")
            code = self.handle_payload(connection, payload)
        except PayloadError as error:
            self.counts.rejected += 1
            self.log.warning("payload rejected", proxy=connection.client, topic=publish.topic, why=str(error))
            code = codec.ReasonCode.PAYLOAD_FORMAT_INVALID
        connection.protocol.acknowledge(publish, code)
        return None

    def handle_payload(self, connection: MqttConnection, payload: Presence | LoadReport | SyncFault) -> int:
        """Handle a payload of a proxy; return the reason code for the acknowledgement."""
        session = self.sessions.by_stream.get(connection.stream.number)
        if isinstance(payload, Presence):
            return self.handle_presence(connection, session, payload)
        if session is None:
            return codec.ReasonCode.NOT_AUTHORIZED
        if isinstance(payload, SyncFault):
            self.resynchronise(session, payload)
        else:
            self.intake.receive_mqtt(session, points_of(session.uid, payload))
        return codec.ReasonCode.SUCCESS

    def resynchronise(self, session: ProxySession, fault: SyncFault) -> None:
        """Enqueue the whole table for a proxy that could not apply an update of the table."""
        self.counts.resynchronisations += 1
        self.log.warning("proxy can't follow", proxy=session.uid, why=fault.cause, table=fault.table)
        if self.context.engine is not None and session.joined:
            self.context.engine.invalidate_snapshot(session.number)

    def handle_presence(
        self, connection: MqttConnection, session: ProxySession | None, presence: Presence
    ) -> int:
        """Open or end the session of a proxy that announces its start or end; return the reason code."""
        if presence.state == "gone":
            if session is not None:
                self.sessions.end_session(session)
            return codec.ReasonCode.SUCCESS
        if connection.protocol.subscriptions.get(topics.assignment_topic(connection.client)) != 1:
            return codec.ReasonCode.NOT_AUTHORIZED  # the proxy could not receive or acknowledge assignments
        if session is not None:
            return codec.ReasonCode.SUCCESS
        if connection.client == self.settings.fleet.uid:
            return codec.ReasonCode.NOT_AUTHORIZED
        initial_servers = frozenset(payloads.parse_address(server) for server in presence.servers)
        session = self.sessions.open_session(
            connection.stream, connection.client, PROXY_FLAGS, over_mqtt=True
        )
        session.registered, session.initial_servers = True, initial_servers
        engine = self.context.engine
        if engine is not None:
            if presence.epoch == self.context.epoch and presence.table is not None:
                snapshot = engine.tables.version(presence.table, presence.version)
                matches = snapshot is not None and snapshot.digest == presence.digest
                session.resumed_snapshot = snapshot if matches else None
            self.sessions.join(session)
        return codec.ReasonCode.SUCCESS

    def handle_acknowledgement(
        self, connection: MqttConnection, acknowledgement: MessageAcknowledged
    ) -> None:
        """Confirm the delivery of the message that a client has acknowledged.

        If the send quota was used up, the messages that were held back are released.
        """
        message = connection.unacknowledged.pop(acknowledgement.packet_id, None)
        session = self.sessions.by_stream.get(connection.stream.number)
        connection.unacknowledged_since_us = self.context.clock() if connection.unacknowledged else None
        engine = self.context.engine
        if message is not None and session is not None and engine is not None:
            engine.confirm_delivery(session.number, message)
            stalled = connection.stream.number in self.delivery.stalled
            if session.blocked_since_us is not None and not stalled:
                self.delivery.set_blocked(session, False)
        for feed in connection.feeds.values():
            if feed.packet == acknowledgement.packet_id:
                feed.packet = 0

    # Slow clients

    def check_connections(self, now: int) -> None:
        """Close connections with an expired keep-alive, overdue acknowledgements or a stalled socket."""
        for connection in list(self.connections.values()):
            if self.keep_alive_passed(connection, now):
                connection.stream.write(
                    codec.encode_packet(codec.Disconnect(codec.ReasonCode.KEEP_ALIVE_TIMEOUT))
                )
                self.sessions.close(connection.stream, "keep-alive timeout")
                continue
            session = self.sessions.by_stream.get(connection.stream.number)
            since_us = connection.unacknowledged_since_us
            overdue = since_us is not None and now - since_us > self.settings.mqtt.ack_within
            if session is not None and overdue:
                self.sessions.disconnect(session, "no acknowledgement within mqtt.ack_within")
            elif session is None and connection.stream.unsent:
                self.retry_observer(connection, now)

    @staticmethod
    def keep_alive_passed(connection: MqttConnection, now: int) -> bool:
        """Return whether a client was silent for 1.5 times its keep-alive interval (MQTT 5, 3.1.2.10)."""
        connect = connection.protocol.connect
        keep_alive_us = connect.keep_alive_s * 1_500_000 if connect is not None else 0
        return bool(keep_alive_us) and now - connection.received_us > keep_alive_us

    def retry_observer(self, connection: MqttConnection, now: int) -> None:
        """Retry a write to a stalled observer; close its stream after ``sasp.write_stall``."""
        stream = connection.stream
        stream.flush()
        connection.stalled_since_us = (connection.stalled_since_us or now) if stream.unsent else None
        since_us = connection.stalled_since_us
        if since_us is not None and now - since_us > self.settings.sasp.write_stall:
            self.sessions.close(stream, "its socket accepts no data")

    def status(self) -> dict[str, Any]:
        """Return the section ``subscribers`` of ``/status``."""
        counts, sent = self.counts, self.sender.counts
        return {
            "connections": len(self.connections),
            "observers": sum(map(self.observes, self.connections.values())),
            "wholes": sent.whole_tables,
            "changes": sent.table_changes,
            "bytes": sent.bytes,
            "healed": counts.resynchronisations,
            "refused": counts.rejected,
            "floods": counts.rate_limited,
        }
