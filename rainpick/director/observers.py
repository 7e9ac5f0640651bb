"""Observers: MQTT clients that follow tables without being proxies."""

from __future__ import annotations

from collections.abc import Iterable

from rainpick.director.engine import Engine
from rainpick.director.mqtt_connection import MqttConnection, ObserverFeed
from rainpick.publish import topics
from rainpick.publish.payloads import TableSnapshot
from rainpick.publish.table_updates import TableUpdateEncoder

# Filters that begin so can match the topic of a table.
TABLE_FILTERS = (f"{topics.TOPIC_ROOT}/table", f"{topics.TOPIC_ROOT}/#", "#", "+")


def is_observer(connection: MqttConnection, is_proxy: bool) -> bool:
    """Whether a connection follows tables, and neither is nor prepares to be a proxy's."""
    filters = connection.protocol.subscriptions
    if is_proxy or topics.assignment_topic(connection.client) in filters:
        return False
    return any(pattern.startswith(TABLE_FILTERS) for pattern in filters)


def queue_newest_tables(connection: MqttConnection, engine: Engine, writer: TableUpdateEncoder) -> None:
    """Queue the newest version of each table that an observer subscribed to and is behind of.

    One message a table is on its way at a time, always to the newest version: a slow observer skips versions.
    """
    for table in engine.tables.bound:
        topic = topics.table_topic(table)
        qos = connection.protocol.granted_qos(topic)
        if qos is None:
            continue
        feed, newest = connection.feeds.setdefault(table, ObserverFeed()), engine.tables.current(table)
        if feed.packet or feed.snapshot is newest or not connection.protocol.has_send_quota:
            continue
        part, data = writer.update(table, feed.snapshot, newest)
        feed.packet = connection.protocol.publish(topic, data, qos, isinstance(part, TableSnapshot))
        feed.snapshot = newest


def keep_feeds(connection: MqttConnection, tables: Iterable[int]) -> None:
    """Forget how far an observer follows the tables that are not in ``tables``."""
    kept = set(tables)
    connection.feeds = {table: feed for table, feed in connection.feeds.items() if table in kept}
