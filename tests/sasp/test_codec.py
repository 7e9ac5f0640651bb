"""The SASP codec: decoding inverts encoding, and a malformed message affects only its own frame."""

import contextlib
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick.sasp.constants import (
    GROUP_DATA_TYPE,
    HEADER_TYPE,
    MAX_UID_BYTES,
    SIMPLE_REPLY_TYPES,
    MessageType,
    ReturnCode,
)
from rainpick.sasp.encoding import encode_frame, encode_message
from rainpick.sasp.errors import FramingError, SaspError
from rainpick.sasp.framing import FrameReader
from rainpick.sasp.messages import (
    Deregistration,
    GetWeights,
    GetWeightsReply,
    Group,
    Member,
    MemberGroup,
    MemberState,
    Registration,
    Reply,
    SendWeights,
    SetLbState,
    SetMemberState,
    StateGroup,
    WeightEntry,
    WeightGroup,
)
from rainpick.sasp.wire import COMPONENT_HEADER, MESSAGE_HEADER

names = st.text(min_size=1, max_size=20)
members = st.builds(
    Member,
    st.binary(min_size=16, max_size=16),
    st.integers(0, 65535),
    st.text(max_size=40),
    st.integers(0, 255),
)
groups = st.builds(Group, names.filter(lambda text: len(text.encode()) <= MAX_UID_BYTES), names)
entries = st.builds(WeightEntry, members, st.integers(0, 65535), st.integers(0, 255), st.integers(0, 255))
states = st.builds(MemberState, members, st.integers(0, 255), st.booleans())


def up_to_four(rows):
    return st.lists(rows, max_size=4).map(tuple)


member_groups = up_to_four(st.builds(MemberGroup, groups, up_to_four(members)))
weight_groups = up_to_four(st.builds(WeightGroup, groups, up_to_four(entries)))
messages = st.one_of(
    st.builds(Registration, member_groups, st.booleans()),
    st.builds(Deregistration, member_groups, st.booleans(), st.integers(0, 255)),
    st.builds(GetWeights, up_to_four(groups)),
    st.builds(SendWeights, weight_groups),
    st.builds(SetLbState, groups.map(lambda group: group.uid), st.integers(0, 255), st.integers(0, 255)),
    st.builds(SetMemberState, up_to_four(st.builds(StateGroup, groups, up_to_four(states))), st.booleans()),
    st.builds(Reply, st.sampled_from(sorted(SIMPLE_REPLY_TYPES)), st.integers(0, 255)),
    st.builds(GetWeightsReply, st.integers(0, 255), st.integers(0, 65535), weight_groups),
)


def read_frame(data, max_message_bytes=1 << 20):
    reader = FrameReader(max_message_bytes)
    reader.feed(data)
    return reader.next()


@given(messages, st.integers(0, 0x7FFFFFFF))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_an_encoded_message_is_decoded_to_the_same_values(message, message_id):
    assert read_frame(encode_message(message, message_id)) == (message_id, message)


@given(st.lists(messages, min_size=1, max_size=4), st.randoms(use_true_random=False))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_stream_may_be_split_anywhere(sent, chance):
    data = b"".join(encode_message(message, message_id) for message_id, message in enumerate(sent))
    reader, received = FrameReader(1 << 20), []
    while data:
        size = chance.randint(1, len(data))
        reader.feed(data[:size])
        data = data[size:]
        while (frame := reader.next()) is not None:
            received.append(frame)
    assert received == list(enumerate(sent)) and not reader.buffer


@given(messages, st.data())
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_changed_byte_is_an_error_or_another_message_never_a_crash(message, data):
    changed = bytearray(encode_message(message, 7))
    position = data.draw(st.integers(0, len(changed) - 1))
    changed[position] ^= data.draw(st.integers(1, 255))
    reader = FrameReader(4096)
    reader.feed(bytes(changed))
    with contextlib.suppress(SaspError):
        reader.next()
    assert len(reader.buffer) <= len(changed)


REGISTRATION = Registration(
    (MemberGroup(Group("rainpick", "servers"), (Member.at("127.0.0.1", 9001, "zone=a"),)),)
)


def test_encoded_bytes_follow_the_specification():
    data = encode_message(REGISTRATION, 5)
    assert struct.unpack(">HHBIi", data[:13]) == (0x2010, 13, 1, len(data), 5)
    assert data[13:20].hex() == "10100007000001"
    assert data[20:26].hex() == "401000060001"
    assert data[26:47].hex() == "30110015" + "08" + b"rainpick".hex() + "07" + b"servers".hex()
    assert data[47:54].hex() == "3010001e062329"
    assert data[54:70].hex() == "00000000000000000000ffff7f000001"
    assert data[70:] == b"\x06zone=a"


def test_an_address_may_be_ipv6_ipv4_mapped_or_ipv4_compatible():
    assert Member.at("::1", 1).key() == ("::1", 1)
    assert Member(b"\0" * 12 + b"\x7f\0\0\2", 1).key() == ("127.0.0.2", 1)
    assert Member.at("127.0.0.2", 1).key() == ("127.0.0.2", 1)


def test_a_truncated_message_is_incomplete_or_an_error():
    data = encode_message(REGISTRATION, 5)
    for size in range(len(data)):
        assert read_frame(data[:size]) is None
        shorter = data[:5] + struct.pack(">I", max(18, size)) + data[9 : max(18, size)]
        with pytest.raises(SaspError):
            read_frame(shorter)


@pytest.mark.parametrize(
    "data",
    [
        b"\x20\x11" + encode_message(REGISTRATION)[2:],
        encode_message(REGISTRATION)[:2] + b"\x00\x0e" + encode_message(REGISTRATION)[4:],
        encode_message(REGISTRATION)[:4] + b"\x02" + encode_message(REGISTRATION)[5:],
        encode_message(REGISTRATION)[:5] + b"\x7f\xff\xff\xff" + encode_message(REGISTRATION)[9:],
        encode_message(REGISTRATION)[:5] + b"\x00\x00\x00\x0d" + encode_message(REGISTRATION)[9:],
    ],
    ids=["header", "header size", "version", "oversized", "no body"],
)
def test_an_unusable_header_is_a_framing_error(data):
    with pytest.raises(FramingError):
        read_frame(data, 65_536)


def test_a_component_count_beyond_the_message_is_rejected():
    """A count of 65535 in a frame of 30 bytes must not be trusted."""
    body = COMPONENT_HEADER.pack(MessageType.GET_WEIGHTS, 6) + b"\xff\xff" + b"\0" * 8
    with pytest.raises(SaspError, match="65535 components"):
        read_frame(MESSAGE_HEADER.pack(HEADER_TYPE, 13, 1, 13 + len(body), 3) + body)


def test_the_message_after_a_malformed_one_is_decoded():
    malformed = encode_frame(1, 0x1234, b"\0\0")
    reader = FrameReader(4096)
    reader.feed(malformed + encode_message(SetLbState("x"), 2))
    with pytest.raises(SaspError) as error:
        reader.next()
    assert (error.value.message_type, error.value.message_id) == (0x1234, 1)
    assert reader.next() == (2, SetLbState("x"))


@pytest.mark.parametrize(
    "message, code",
    [
        (encode_frame(1, MessageType.SET_LB_STATE, b"\0\x7f\0"), ReturnCode.INVALID_LB_UID),
        (
            encode_frame(1, MessageType.SET_LB_STATE, b"\x41" + b"u" * 65 + b"\x7f\0"),
            ReturnCode.INVALID_LB_UID,
        ),
        (
            encode_frame(
                1,
                MessageType.GET_WEIGHTS,
                b"\0\1",
                COMPONENT_HEADER.pack(GROUP_DATA_TYPE, 7) + b"\1u\0",
            ),
            ReturnCode.INVALID_GROUP_NAME,
        ),
    ],
)
def test_names_of_illegal_length_are_rejected_with_specific_return_codes(message, code):
    with pytest.raises(SaspError) as error:
        read_frame(message)
    assert error.value.code == code
