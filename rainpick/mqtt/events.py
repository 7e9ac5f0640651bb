"""Events that ``ServerConnection.receive`` returns for the packets of a client."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.mqtt.packets import Connect, Publish


class ConnectRequested(NamedTuple):
    """The client requested a connection; respond with ``accept`` or ``disconnect``."""

    connect: Connect


class Subscribed(NamedTuple):
    """The client subscribed; ``filters`` are the granted topic filters with their QoS."""

    filters: tuple[tuple[str, int], ...]


class Unsubscribed(NamedTuple):
    """The client unsubscribed; ``filters`` are the topic filters of the removed subscriptions."""

    filters: tuple[str, ...]


class MessageReceived(NamedTuple):
    """The client published a message; respond with ``acknowledge``."""

    publish: Publish


class MessageAcknowledged(NamedTuple):
    """The client acknowledged the message with this packet identifier."""

    packet_id: int
    reason_code: int


class ConnectionClosed(NamedTuple):
    """The connection has ended: send ``data``, then close it.

    ``reason`` is for the log. ``discards_will`` is set if the client disconnected normally, so that its
    will must not be published.
    """

    data: bytes
    reason: str
    discards_will: bool = False


ServerEvent = (
    ConnectRequested | Subscribed | Unsubscribed | MessageReceived | MessageAcknowledged | ConnectionClosed
)
