"""Topics of the MQTT front; ``docs/tables.md`` says who publishes what on each."""

from __future__ import annotations

TOPIC_ROOT = "rainpick/v1"


def proxy_topic(uid: str, message_kind: str) -> str:
    """Return the topic of a proxy's own messages of one kind, such as ``presence`` or ``report``."""
    return f"{TOPIC_ROOT}/proxy/{uid}/{message_kind}"


def assignment_topic(uid: str) -> str:
    """Return the topic on which the director publishes ``ProxyAssignment`` to one proxy."""
    return proxy_topic(uid, "orders")


def table_topic(table: int) -> str:
    """Return the topic on which the director publishes the updates of a table."""
    return f"{TOPIC_ROOT}/table/{table}"
