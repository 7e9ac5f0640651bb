"""The server side of an MQTT connection: the legal packets in each state and their events."""

import pytest

from rainpick.mqtt.codec import (
    Connack,
    Connect,
    Disconnect,
    PacketFramer,
    Ping,
    Puback,
    Publish,
    ReasonCode,
    Subscribe,
)
from rainpick.mqtt.events import (
    ConnectionClosed,
    ConnectRequested,
    MessageAcknowledged,
    MessageReceived,
    Subscribed,
)
from rainpick.mqtt.server import ServerConnection


def connection_after(*packets):
    """Return a connection that accepted CONNECT and received these packets, and its last event."""
    connection, event = ServerConnection(), None
    for packet in packets:
        event = connection.receive(packet)
        if isinstance(event, ConnectRequested):
            connection.accept({})
    return connection, event


def test_a_client_subscribes_publishes_and_acknowledges():
    connection, event = connection_after(
        Connect("a", properties={"receive_maximum": 2}), Subscribe(1, (("t/+", 2), ("bad#", 0)))
    )
    assert isinstance(event, Subscribed) and event.filters == (("t/+", 1),)
    first, second = (connection.publish("t/1", b"x", 1) for _ in range(2))
    assert not connection.has_send_quota
    assert connection.receive(Puback(first)) == MessageAcknowledged(first, 0) and connection.has_send_quota
    assert connection.publish("t/1", b"x", 1) not in (0, second)
    assert isinstance(connection.receive(Publish("q", b"y", 1, 9)), MessageReceived)


@pytest.mark.parametrize(
    "packets, reason_code",
    [
        ((Subscribe(1, (("a", 0),)),), None),
        ((Connect("a"), Connect("a")), ReasonCode.PROTOCOL_ERROR),
        ((Connect("a"), Puback(5)), ReasonCode.PROTOCOL_ERROR),
        ((Connect("a"), Connack(0)), ReasonCode.PROTOCOL_ERROR),
        ((Connect("a"), Ping(is_response=True)), ReasonCode.PROTOCOL_ERROR),
        ((Connect("a"), Publish("t", b"", 2, 1)), ReasonCode.QOS_NOT_SUPPORTED),
        ((Connect("a"), Publish("t", b"", 0, 0, properties={"topic_alias": 1})), ReasonCode.PROTOCOL_ERROR),
    ],
)
def test_an_illegal_packet_closes_the_connection(packets, reason_code):
    _, event = connection_after(*packets)
    assert isinstance(event, ConnectionClosed)
    if reason_code is not None:
        framer = PacketFramer(1 << 16)
        framer.feed(event.data)
        disconnect = framer.next()
        assert isinstance(disconnect, Disconnect) and disconnect.reason_code == reason_code
