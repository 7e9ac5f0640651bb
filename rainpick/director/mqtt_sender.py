"""Sends tables and commands to proxies over MQTT, and tables to observers."""

from __future__ import annotations

from dataclasses import dataclass

from rainpick.director.context import Context
from rainpick.director.delivery import Delivery
from rainpick.director.engine import OutgoingMessage
from rainpick.director.mqtt_connection import MqttConnection
from rainpick.director.observers import is_observer, queue_newest_tables
from rainpick.director.sessions import ProxySession, Sessions
from rainpick.mqtt.server import ConnectionState
from rainpick.net.streams import Stream
from rainpick.publish import payloads, topics
from rainpick.publish.payloads import ProxyAssignment, RouteAdmission, TableDelta, TableSnapshot
from rainpick.publish.table_updates import TableUpdateEncoder

PACKET_OVERHEAD = 16  # largest number of bytes of a PUBLISH in addition to topic and payload


@dataclass(slots=True)
class SendCounts:
    """Counters of the data sent over MQTT since the start."""

    whole_tables: int = 0  # snapshots sent to proxies
    table_changes: int = 0  # deltas sent to proxies
    bytes: int = 0  # bytes sent to proxies and observers


class MqttSender:
    """Writes to MQTT connections without blocking.

    ``connections`` has the connections of the frontend, by stream number.
    """

    def __init__(
        self,
        context: Context,
        sessions: Sessions,
        delivery: Delivery,
        connections: dict[int, MqttConnection],
    ):
        self.context = context
        self.sessions = sessions
        self.delivery = delivery
        self.connections = connections
        self.encoder = TableUpdateEncoder(context.epoch)
        self.counts = SendCounts()
        delivery.has_send_quota = self.has_send_quota

    def push(self, session: ProxySession, message: OutgoingMessage) -> None:
        """Send a message of the engine; disconnect a proxy that does not accept packets of its size."""
        connection = self.connections[session.stream.number]
        topic, data = self.push_payload(session, message)
        if len(data) + len(topic) + PACKET_OVERHEAD > connection.protocol.max_packet_length:
            self.sessions.disconnect(session, "a message exceeds its maximum packet size")
            return
        packet = connection.protocol.publish(topic, data, 1)
        connection.unacknowledged[packet] = message.number
        if connection.unacknowledged_since_us is None:
            connection.unacknowledged_since_us = self.context.clock()
        if not connection.protocol.has_send_quota:
            self.delivery.set_blocked(session, True)
        self.send(connection)

    def push_payload(self, session: ProxySession, message: OutgoingMessage) -> tuple[str, bytes]:
        """Return the topic and the payload of a message.

        The payload is a table update if the proxy is bound and its commands have not changed. Otherwise it is
        an assignment, which contains the commands and, for a bound proxy, the table update.
        """
        proxy = self.context.started_engine.tables.proxies[session.number]
        table = proxy.table
        table_update: TableSnapshot | TableDelta | None = None
        if table is not None and (message.delta.withdrawn or message.delta.others or message.commands):
            table_update, data = self.encoder.update(table, message.before, message.after)
            if isinstance(table_update, TableSnapshot):
                self.counts.whole_tables += 1
            else:
                self.counts.table_changes += 1
            if message.commands is None:
                return topics.table_topic(table), data
        commands = message.commands or proxy.commands
        if commands is None:
            raise RuntimeError(f"the MQTT proxy {session.uid} has no commands")
        updated = self.encoder.unbound_weights(message.delta) if table is None else ()
        routes = self.context.settings.routes
        route_admissions = tuple(
            [
                RouteAdmission(routes[route].name, rate, payloads.RETRY_POLICIES[retry])
                for route, rate, retry in commands.admissions
            ]
        )
        data = payloads.encode(
            ProxyAssignment(self.context.epoch, table, route_admissions, table_update, updated)
        )
        return topics.assignment_topic(session.uid), data

    def send(self, connection: MqttConnection) -> None:
        """Write the protocol's queued bytes to the socket; disconnect a client with too much unsent data."""
        outgoing = connection.protocol.outgoing
        if not outgoing:
            return
        stream = connection.stream
        session = self.sessions.by_stream.get(stream.number)
        self.counts.bytes += len(outgoing)
        data = bytes(outgoing)
        outgoing.clear()
        within_backlog = stream.write(data)
        if session is not None:
            if not within_backlog:
                self.sessions.disconnect(session, "too much unsent data")
            elif stream.unsent and self.context.engine is not None and session.joined:
                self.delivery.mark_stalled(session)
        elif not within_backlog:
            self.sessions.close(stream, "too much unsent data")

    def has_send_quota(self, stream: Stream) -> bool:
        """Return whether one more unacknowledged message may be sent; always True over SASP."""
        connection = self.connections.get(stream.number)
        return connection is None or connection.protocol.has_send_quota

    def update_observers(self) -> None:
        """Send observers the newest versions of the tables that they are subscribed to."""
        engine = self.context.engine
        if engine is None:
            return
        for connection in list(self.connections.values()):
            if (
                connection.protocol.state is not ConnectionState.CONNECTED
                or connection.stream.number in self.sessions.by_stream
            ):
                continue
            if connection.stream.unsent or not is_observer(connection, is_proxy=False):
                continue
            queue_newest_tables(connection, engine, self.encoder)
            self.send(connection)
