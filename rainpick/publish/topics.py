"""Topics of the MQTT frontend; ``docs/tables.md`` specifies the publisher and the payload of each topic."""

from __future__ import annotations

TOPIC_ROOT = "rainpick/v1"


def proxy_topic(uid: str, message_kind: str) -> str:
    """Return the topic of one kind of messages to or from a proxy, such as ``presence`` or ``report``."""
    return f"{TOPIC_ROOT}/proxy/{uid}/{message_kind}"


def assignment_topic(uid: str) -> str:
    """Return the topic on which the director publishes ``ProxyAssignment`` to one proxy."""
    return proxy_topic(uid, "orders")


def table_topic(table: int) -> str:
    """Return the topic on which the director publishes the updates of a table."""
    return f"{TOPIC_ROOT}/table/{table}"
