"""What MQTT connections are sent: tables and commands of proxies, and the tables that observers follow."""

from __future__ import annotations

from dataclasses import dataclass

from rainpick.director.context import Context
from rainpick.director.delivery import Delivery
from rainpick.director.engine import Write
from rainpick.director.mqtt_connection import MqttConnection
from rainpick.director.observers import is_observer, queue_newest_tables
from rainpick.director.sessions import ProxySession, Sessions
from rainpick.mqtt.server import ConnectionState
from rainpick.net.streams import Stream
from rainpick.publish import payloads, topics
from rainpick.publish.payloads import ProxyAssignment, RouteAdmission, TableDelta, TableSnapshot
from rainpick.publish.table_updates import TableUpdateEncoder

PACKET_OVERHEAD = 16  # most bytes of a PUBLISH beside topic and payload


@dataclass(slots=True)
class SendCounts:
    """What was sent since the start."""

    whole_tables: int = 0  # to proxies
    table_changes: int = 0  # to proxies
    bytes: int = 0


class MqttSender:
    """Writes to MQTT connections without waiting; ``connections`` are the frontend's, by stream number."""

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
        self.writer = TableUpdateEncoder(context.epoch)
        self.counts = SendCounts()
        delivery.has_send_quota = self.has_send_quota

    def push(self, session: ProxySession, write: Write) -> None:
        """Send a proxy one message: a change or the whole of its table, and its commands if they are new."""
        connection = self.connections[session.stream.number]
        topic, data = self.push_payload(session, write)
        if len(data) + len(topic) + PACKET_OVERHEAD > connection.protocol.max_packet_length:
            self.sessions.disconnect(session, "its largest packet is smaller than what it is to be sent")
            return
        packet = connection.protocol.publish(topic, data, 1)
        connection.unacknowledged[packet] = write.number
        if connection.unacknowledged_since_us is None:
            connection.unacknowledged_since_us = self.context.clock()
        if not connection.protocol.has_send_quota:
            self.delivery.set_blocked(session, True)
        self.send(connection)

    def push_payload(self, session: ProxySession, write: Write) -> tuple[str, bytes]:
        """Topic and payload: the part of its table alone, or its commands with that part if there is one."""
        proxy = self.context.started_engine.tables.proxies[session.number]
        table = proxy.table
        part: TableSnapshot | TableDelta | None = None
        if table is not None and (write.delta.withdrawn or write.delta.others or write.commands):
            part, data = self.writer.update(table, write.before, write.after)
            if isinstance(part, TableSnapshot):
                self.counts.whole_tables += 1
            else:
                self.counts.table_changes += 1
            if write.commands is None:
                return topics.table_topic(table), data
        commands = write.commands or proxy.commands
        if commands is None:
            raise RuntimeError(f"{session.uid} has no commands, though it speaks MQTT")
        updated = self.writer.unbound_weights(write.delta) if table is None else ()
        routes = self.context.settings.routes
        levels = tuple(
            [
                RouteAdmission(routes[route].name, rate, payloads.RETRY_POLICIES[retry])
                for route, rate, retry in commands.admissions
            ]
        )
        data = payloads.encode(ProxyAssignment(self.context.epoch, table, levels, part, updated))
        return topics.assignment_topic(session.uid), data

    def send(self, connection: MqttConnection) -> None:
        """Hand the socket what the protocol end has collected."""
        out = connection.protocol.outgoing
        if not out:
            return
        stream = connection.stream
        session = self.sessions.by_stream.get(stream.number)
        self.counts.bytes += len(out)
        data = bytes(out)
        out.clear()
        within_backlog = stream.write(data)
        if session is not None:
            if not within_backlog:
                self.sessions.disconnect(session, "more waits for it than is held")
            elif stream.unsent and self.context.engine is not None and session.joined:
                self.delivery.mark_stalled(session)
        elif not within_backlog:
            self.sessions.close(stream, "it does not read")

    def has_send_quota(self, stream: Stream) -> bool:
        """Whether the client of a stream allows one more unacknowledged message; always so over SASP."""
        connection = self.connections.get(stream.number)
        return connection is None or connection.protocol.has_send_quota

    def update_observers(self) -> None:
        """Send observers the newest versions of the tables that they follow."""
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
            queue_newest_tables(connection, engine, self.writer)
            self.send(connection)
