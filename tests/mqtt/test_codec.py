"""MQTT 5: what is written is read back; damage is an error or another packet, never a crash or a flood."""

import contextlib
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick.mqtt import codec
from rainpick.mqtt.codec import (
    Connack,
    Connect,
    Disconnect,
    Framer,
    MqttError,
    Ping,
    Puback,
    Publish,
    Suback,
    Subscribe,
    Unsuback,
    Unsubscribe,
    Will,
)
from rainpick.mqtt.session import Acked, Joined, Over, Said, ServerEnd, Wants

words = st.text(st.characters(exclude_characters="\0+#", exclude_categories=["Cs"]), min_size=1, max_size=12)
shorts, bytes_ = st.integers(1, 65535), st.binary(max_size=20)
props = st.fixed_dictionaries(
    {},
    optional={
        "session_expiry": st.integers(0, 2**32 - 1),
        "receive_maximum": shorts,
        "reason": words,
        "correlation": bytes_,
        "user": st.lists(st.tuples(words, words), min_size=1, max_size=2),
        "subscription_id": st.lists(st.integers(1, 268_435_455), min_size=1, max_size=2),
    },
)
codes = st.lists(st.integers(0, 255), min_size=1, max_size=3).map(tuple)
packets = st.one_of(
    st.builds(
        Connect,
        words,
        st.booleans(),
        st.integers(0, 65535),
        props,
        st.none() | st.builds(Will, words, bytes_, st.integers(0, 2), st.booleans()),
        st.none() | words,
        st.none() | bytes_,
    ),
    st.builds(Connack, st.integers(0, 255), st.booleans(), props),
    st.builds(Publish, words, bytes_, st.just(1), shorts, st.booleans(), st.booleans(), props),
    st.builds(Publish, words, bytes_, st.just(0), st.just(0), st.booleans(), st.just(False), props),
    st.builds(Puback, shorts, st.integers(0, 255)),
    st.builds(
        Subscribe, shorts, st.lists(st.tuples(words, st.integers(0, 2)), min_size=1, max_size=3).map(tuple)
    ),
    st.builds(Unsubscribe, shorts, st.lists(words, min_size=1, max_size=3).map(tuple)),
    st.builds(Suback, shorts, codes),
    st.builds(Unsuback, shorts, codes),
    st.builds(Ping, st.booleans()),
    st.builds(Disconnect, st.integers(1, 255), props),
)


def read(data, most=1 << 16):
    framer = Framer(most)
    framer.feed(data)
    return framer.next()


@given(packets)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_what_is_written_is_read_back(one):
    assert read(codec.write(one)) == one


@given(packets, st.data())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_damage_never_crashes(one, data):
    whole = bytearray(codec.write(one))
    whole[data.draw(st.integers(0, len(whole) - 1))] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(MqttError):
        read(bytes(whole), 1024)


@given(packets)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_every_cut_waits_for_more(one):
    whole = codec.write(one)
    assert all(read(whole[:cut]) is None for cut in range(len(whole)))


@pytest.mark.parametrize(
    "data, code",
    [
        (b"\x30\xff\xff\xff\xff\x01", codec.MALFORMED),
        (b"\x30\xff\xff\xff\x7f", codec.TOO_LARGE),
        (b"\x36\x05\x00\x01a\x00\x01", codec.MALFORMED),
        (b"\x32\x06\x00\x01a\x00\x00\x00", codec.PROTOCOL_ERROR),
        (b"\x30\x04\x00\x01+\x00", codec.BAD_TOPIC),
        (b"\x80\x02\x00\x01", codec.MALFORMED),
        (b"\x82\x03\x00\x01\x00", codec.PROTOCOL_ERROR),
        (b"\x30\x03\x00\x05a", codec.MALFORMED),
        (b"\x10\x07\x00\x04MQTT\x04", codec.UNSUPPORTED_VERSION),
        (b"\xf0\x00", codec.PROTOCOL_ERROR),
        (b"\x30\x06\x00\x01a\x02\x99\x00", codec.MALFORMED),
    ],
    ids=[
        "length",
        "large",
        "qos",
        "number",
        "wildcard",
        "flags",
        "empty",
        "text",
        "version",
        "auth",
        "property",
    ],
)
def test_what_breaks_the_standard_has_its_reason(data, code):
    with pytest.raises(MqttError) as flaw:
        read(data, 4096)
    assert flaw.value.code == code


def end(*packets):
    server, found = ServerEnd(), None
    for one in packets:
        found = server.receive(one)
        if isinstance(found, Joined):
            server.accept({})
    return server, found


def test_a_connection_in_order():
    server, found = end(Connect("a", props={"receive_maximum": 2}), Subscribe(1, (("t/+", 2), ("bad#", 0))))
    assert isinstance(found, Wants) and found.filters == (("t/+", 1),)
    first, second = (server.publish("t/1", b"x", 1) for _ in range(2))
    assert not server.room
    assert server.receive(Puback(first)) == Acked(first, 0) and server.room
    assert server.publish("t/1", b"x", 1) not in (0, second)
    assert isinstance(server.receive(Publish("q", b"y", 1, 9)), Said)


@pytest.mark.parametrize(
    "packets, code",
    [
        ((Subscribe(1, (("a", 0),)),), None),
        ((Connect("a"), Connect("a")), codec.PROTOCOL_ERROR),
        ((Connect("a"), Puback(5)), codec.PROTOCOL_ERROR),
        ((Connect("a"), Connack(0)), codec.PROTOCOL_ERROR),
        ((Connect("a"), Publish("t", b"", 2, 1)), codec.QOS_NOT_SUPPORTED),
        ((Connect("a"), Publish("t", b"", 0, 0, props={"topic_alias": 1})), codec.PROTOCOL_ERROR),
    ],
)
def test_what_is_out_of_order_ends_the_connection(packets, code):
    _, found = end(*packets)
    assert isinstance(found, Over)
    if code is not None:
        assert struct.unpack(">BBB", found.data[:3])[2] == code or read(found.data).code == code
