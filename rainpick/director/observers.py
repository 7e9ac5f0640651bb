"""Observers: MQTT clients that follow tables without being proxies."""

from __future__ import annotations

from collections.abc import Iterable

from rainpick.director.engine import Engine
from rainpick.director.mqtt_connection import MqttConnection, ObserverFeed
from rainpick.publish import payloads
from rainpick.publish.follow import Writer
from rainpick.publish.payloads import Whole

# Filters that begin so can match the topic of a table.
TABLE_FILTERS = (f"{payloads.ROOT}/table", f"{payloads.ROOT}/#", "#", "+")


def is_observer(connection: MqttConnection, is_proxy: bool) -> bool:
    """Whether a connection follows tables, and neither is nor prepares to be a proxy's."""
    filters = connection.end.filters
    if is_proxy or payloads.orders_topic(connection.client) in filters:
        return False
    return any(pattern.startswith(TABLE_FILTERS) for pattern in filters)


def queue_newest_tables(connection: MqttConnection, engine: Engine, writer: Writer) -> None:
    """Queue the newest version of each table that an observer subscribed to and is behind of.

    One message a table is on its way at a time, always to the newest version: a slow observer skips versions.
    """
    for table in engine.tables.bound:
        topic = payloads.table_topic(table)
        qos = connection.end.wanted(topic)
        if qos is None:
            continue
        feed, newest = connection.feeds.setdefault(table, ObserverFeed()), engine.tables.current(table)
        if feed.packet or feed.snapshot is newest or not connection.end.room:
            continue
        part, data = writer.part(table, feed.snapshot, newest)
        feed.packet = connection.end.publish(topic, data, qos, isinstance(part, Whole))
        feed.snapshot = newest


def keep_feeds(connection: MqttConnection, tables: Iterable[int]) -> None:
    """Forget how far an observer follows the tables that are not in ``tables``."""
    kept = set(tables)
    connection.feeds = {table: feed for table, feed in connection.feeds.items() if table in kept}
