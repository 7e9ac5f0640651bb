"""What the packets of a client mean to the server: the results of ``ServerConnection.receive``."""

from __future__ import annotations

from typing import NamedTuple

from rainpick.mqtt.packets import Connect, Publish


class ConnectRequested(NamedTuple):
    """The client asks for a connection: answer with ``accept`` or ``disconnect``."""

    connect: Connect


class Subscribed(NamedTuple):
    """The client subscribed; ``filters`` are those granted, with their QoS."""

    filters: tuple[tuple[str, int], ...]


class Unsubscribed(NamedTuple):
    """The client gave up subscriptions; ``filters`` are those that it had."""

    filters: tuple[str, ...]


class MessageReceived(NamedTuple):
    """The client published a message: answer with ``acknowledge``."""

    publish: Publish


class MessageAcknowledged(NamedTuple):
    """The client acknowledged the message with this packet identifier."""

    packet_id: int
    reason_code: int


class ConnectionClosed(NamedTuple):
    """The connection is at its end: send ``data``, then close it.

    ``reason`` is for the log. ``discards_will`` is set if the client ended the connection in order, so that
    its will must not be published.
    """

    data: bytes
    reason: str
    discards_will: bool = False


ServerEvent = (
    ConnectRequested | Subscribed | Unsubscribed | MessageReceived | MessageAcknowledged | ConnectionClosed
)
