"""MQTT 5 packets: decoding inverts encoding, and a malformed packet raises only ``MqttError``."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick.mqtt.codec import (
    Connack,
    Connect,
    Disconnect,
    MqttError,
    PacketFramer,
    Ping,
    Puback,
    Publish,
    ReasonCode,
    Suback,
    Subscribe,
    Unsuback,
    Unsubscribe,
    Will,
    encode_packet,
)

strings = st.text(
    st.characters(exclude_characters="\0+#", exclude_categories=["Cs"]), min_size=1, max_size=12
)
packet_ids = st.integers(1, 65535)
binary = st.binary(max_size=20)
properties = st.fixed_dictionaries(
    {},
    optional={
        "session_expiry": st.integers(0, 2**32 - 1),
        "receive_maximum": packet_ids,
        "reason": strings,
        "correlation": binary,
        "user": st.lists(st.tuples(strings, strings), min_size=1, max_size=2),
        "subscription_id": st.lists(st.integers(1, 268_435_455), min_size=1, max_size=2),
    },
)
codes = st.lists(st.integers(0, 255), min_size=1, max_size=3).map(tuple)
packets = st.one_of(
    st.builds(
        Connect,
        strings,
        st.booleans(),
        st.integers(0, 65535),
        properties,
        st.none() | st.builds(Will, strings, binary, st.integers(0, 2), st.booleans()),
        st.none() | strings,
        st.none() | binary,
    ),
    st.builds(Connack, st.integers(0, 255), st.booleans(), properties),
    st.builds(Publish, strings, binary, st.just(1), packet_ids, st.booleans(), st.booleans(), properties),
    st.builds(Publish, strings, binary, st.just(0), st.just(0), st.booleans(), st.just(False), properties),
    st.builds(Puback, packet_ids, st.integers(0, 255)),
    st.builds(
        Subscribe,
        packet_ids,
        st.lists(st.tuples(strings, st.integers(0, 2)), min_size=1, max_size=3).map(tuple),
    ),
    st.builds(Unsubscribe, packet_ids, st.lists(strings, min_size=1, max_size=3).map(tuple)),
    st.builds(Suback, packet_ids, codes),
    st.builds(Unsuback, packet_ids, codes),
    st.builds(Ping, st.booleans()),
    st.builds(Disconnect, st.integers(1, 255), properties),
)


def decode(data, max_length=1 << 16):
    framer = PacketFramer(max_length)
    framer.feed(data)
    return framer.next()


@given(packets)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_an_encoded_packet_is_decoded_to_itself(packet):
    assert decode(encode_packet(packet)) == packet


@given(packets, st.data())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_a_damaged_byte_never_crashes(packet, data):
    encoded = bytearray(encode_packet(packet))
    encoded[data.draw(st.integers(0, len(encoded) - 1))] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(MqttError):
        decode(bytes(encoded), 1024)


@given(packets)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_an_incomplete_packet_waits_for_more(packet):
    encoded = encode_packet(packet)
    assert all(decode(encoded[:length]) is None for length in range(len(encoded)))


@pytest.mark.parametrize(
    "data, reason_code",
    [
        (b"\x30\xff\xff\xff\xff\x01", ReasonCode.MALFORMED_PACKET),
        (b"\x30\xff\xff\xff\x7f", ReasonCode.PACKET_TOO_LARGE),
        (b"\x36\x05\x00\x01a\x00\x01", ReasonCode.MALFORMED_PACKET),
        (b"\x32\x06\x00\x01a\x00\x00\x00", ReasonCode.PROTOCOL_ERROR),
        (b"\x30\x04\x00\x01+\x00", ReasonCode.TOPIC_NAME_INVALID),
        (b"\x80\x02\x00\x01", ReasonCode.MALFORMED_PACKET),
        (b"\x82\x03\x00\x01\x00", ReasonCode.PROTOCOL_ERROR),
        (b"\x30\x03\x00\x05a", ReasonCode.MALFORMED_PACKET),
        (b"\x10\x07\x00\x04MQTT\x04", ReasonCode.UNSUPPORTED_PROTOCOL_VERSION),
        (b"\xf0\x00", ReasonCode.PROTOCOL_ERROR),
        (b"\x30\x06\x00\x01a\x02\x99\x00", ReasonCode.MALFORMED_PACKET),
    ],
    ids=[
        "remaining length of five bytes",
        "packet too large",
        "QoS 3",
        "no packet identifier",
        "wildcard in topic",
        "wrong flags",
        "no topic filter",
        "truncated topic",
        "protocol version 4",
        "AUTH",
        "unknown property",
    ],
)
def test_a_malformed_packet_has_its_reason_code(data, reason_code):
    with pytest.raises(MqttError) as raised:
        decode(data, 4096)
    assert raised.value.reason_code == reason_code
