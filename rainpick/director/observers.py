"""Observers: MQTT clients that subscribe to tables without being proxies."""

from __future__ import annotations

from collections.abc import Iterable

from rainpick.director.engine import Engine
from rainpick.director.mqtt_connection import MqttConnection, ObserverFeed
from rainpick.publish import topics
from rainpick.publish.payloads import TableSnapshot
from rainpick.publish.table_updates import TableUpdateEncoder

# Topic filters with one of these prefixes can match the topic of a table.
TABLE_FILTERS = (f"{topics.TOPIC_ROOT}/table", f"{topics.TOPIC_ROOT}/#", "#", "+")


def is_observer(connection: MqttConnection, is_proxy: bool) -> bool:
    """Return whether a connection is subscribed to tables and does not belong to a proxy.

    A client that is subscribed to its own assignments is about to join as a proxy, so it is no observer.
    """
    filters = connection.protocol.subscriptions
    if is_proxy or topics.assignment_topic(connection.client) in filters:
        return False
    return any(pattern.startswith(TABLE_FILTERS) for pattern in filters)


def queue_newest_tables(connection: MqttConnection, engine: Engine, encoder: TableUpdateEncoder) -> None:
    """Queue the newest version of each table that an observer is subscribed to and does not hold.

    Each table has at most one unacknowledged message, always with the newest version; a slow observer skips
    versions.
    """
    for table in engine.tables.bound:
        topic = topics.table_topic(table)
        qos = connection.protocol.granted_qos(topic)
        if qos is None:
            continue
        feed, newest = connection.feeds.setdefault(table, ObserverFeed()), engine.tables.current(table)
        if feed.packet or feed.snapshot is newest or not connection.protocol.has_send_quota:
            continue
        update, data = encoder.update(table, feed.snapshot, newest)
        feed.packet = connection.protocol.publish(topic, data, qos, isinstance(update, TableSnapshot))
        feed.snapshot = newest


def keep_feeds(connection: MqttConnection, tables: Iterable[int]) -> None:
    """Remove the state of the tables that are not in ``tables``."""
    kept = set(tables)
    connection.feeds = {table: feed for table, feed in connection.feeds.items() if table in kept}
