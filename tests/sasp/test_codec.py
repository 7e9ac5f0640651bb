"""The SASP codec: what is written is read back, and nothing malformed costs more than its own frame."""

import contextlib
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainpick.sasp import codec
from rainpick.sasp.codec import (
    Deregistration,
    Framer,
    FramingError,
    GetWeights,
    GetWeightsReply,
    Group,
    Member,
    Members,
    MemberState,
    Registration,
    Reply,
    SaspError,
    SendWeights,
    SetLbState,
    SetMemberState,
    States,
    Weight,
    Weights,
)

names = st.text(min_size=1, max_size=20)
members = st.builds(
    Member,
    st.binary(min_size=16, max_size=16),
    st.integers(0, 65535),
    st.text(max_size=40),
    st.integers(0, 255),
)
groups = st.builds(Group, names.filter(lambda text: len(text.encode()) <= codec.UID_MOST), names)
entries = st.builds(Weight, members, st.integers(0, 65535), st.integers(0, 255), st.integers(0, 255))
states = st.builds(MemberState, members, st.integers(0, 255), st.booleans())


def few(rows):
    return st.lists(rows, max_size=4).map(tuple)


member_groups = few(st.builds(Members, groups, few(members)))
weight_groups = few(st.builds(Weights, groups, few(entries)))
messages = st.one_of(
    st.builds(Registration, member_groups, st.booleans()),
    st.builds(Deregistration, member_groups, st.booleans(), st.integers(0, 255)),
    st.builds(GetWeights, few(groups)),
    st.builds(SendWeights, weight_groups),
    st.builds(SetLbState, groups.map(lambda group: group.uid), st.integers(0, 255), st.integers(0, 255)),
    st.builds(SetMemberState, few(st.builds(States, groups, few(states))), st.booleans()),
    st.builds(Reply, st.sampled_from(sorted(codec.PLAIN_REPLIES)), st.integers(0, 255)),
    st.builds(GetWeightsReply, st.integers(0, 255), st.integers(0, 65535), weight_groups),
)


def read(data, most=1 << 20):
    framer = Framer(most)
    framer.feed(data)
    return framer.next()


@given(messages, st.integers(0, 0x7FFFFFFF))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_what_is_written_is_read_back(message, number):
    assert read(codec.write(message, number)) == (number, message)


@given(st.lists(messages, min_size=1, max_size=4), st.randoms(use_true_random=False))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_stream_may_be_cut_anywhere(many, chance):
    data = b"".join(codec.write(message, place) for place, message in enumerate(many))
    framer, found = Framer(1 << 20), []
    while data:
        cut = chance.randint(1, len(data))
        framer.feed(data[:cut])
        data = data[cut:]
        while (step := framer.next()) is not None:
            found.append(step)
    assert found == list(enumerate(many)) and not framer.held


@given(messages, st.data())
@settings(max_examples=200, deadline=None, derandomize=True)
def test_damage_is_an_error_or_another_message_never_a_crash(message, data):
    whole = bytearray(codec.write(message, 7))
    at = data.draw(st.integers(0, len(whole) - 1))
    whole[at] ^= data.draw(st.integers(1, 255))
    framer = Framer(4096)
    framer.feed(bytes(whole))
    with contextlib.suppress(SaspError):
        framer.next()
    assert len(framer.held) <= len(whole)


SAMPLE = Registration((Members(Group("rainpick", "servers"), (Member.at("127.0.0.1", 9001, "zone=a"),)),))


def test_bytes_are_those_of_the_specification():
    data = codec.write(SAMPLE, 5)
    assert struct.unpack(">HHBIi", data[:13]) == (0x2010, 13, 1, len(data), 5)
    assert data[13:20].hex() == "10100007000001"
    assert data[20:26].hex() == "401000060001"
    assert data[26:47].hex() == "30110015" + "08" + b"rainpick".hex() + "07" + b"servers".hex()
    assert data[47:54].hex() == "3010001e062329"
    assert data[54:70].hex() == "00000000000000000000ffff7f000001"
    assert data[70:] == b"\x06zone=a"


def test_an_address_may_be_ipv6_mapped_or_ipv4_with_zeros():
    assert Member.at("::1", 1).key() == ("::1", 1)
    assert Member(b"\0" * 12 + b"\x7f\0\0\2", 1).key() == ("127.0.0.2", 1)
    assert Member.at("127.0.0.2", 1).key() == ("127.0.0.2", 1)


def test_every_cut_waits_for_more_or_is_told():
    data = codec.write(SAMPLE, 5)
    for cut in range(len(data)):
        assert read(data[:cut]) is None
        shorter = data[:5] + struct.pack(">I", max(18, cut)) + data[9 : max(18, cut)]
        with pytest.raises(SaspError):
            read(shorter)


@pytest.mark.parametrize(
    "data",
    [
        b"\x20\x11" + codec.write(SAMPLE)[2:],
        codec.write(SAMPLE)[:2] + b"\x00\x0e" + codec.write(SAMPLE)[4:],
        codec.write(SAMPLE)[:4] + b"\x02" + codec.write(SAMPLE)[5:],
        codec.write(SAMPLE)[:5] + b"\x7f\xff\xff\xff" + codec.write(SAMPLE)[9:],
        codec.write(SAMPLE)[:5] + b"\x00\x00\x00\x0d" + codec.write(SAMPLE)[9:],
    ],
    ids=["header", "header size", "version", "oversized", "no body"],
)
def test_what_spoils_the_framing_ends_the_stream(data):
    with pytest.raises(FramingError):
        read(data, 65_536)


def test_an_announced_flood_of_components_costs_nothing():
    """A count of 65535 in a frame of 30 bytes must not be believed."""
    body = codec.PIECE.pack(codec.GET_WEIGHTS, 6) + b"\xff\xff" + b"\0" * 8
    with pytest.raises(SaspError, match="65535 components"):
        read(codec.HEAD.pack(codec.HEADER, 13, 1, 13 + len(body), 3) + body)


def test_after_a_malformed_message_the_next_is_read():
    bad = codec.frame(1, 0x1234, b"\0\0")
    framer = Framer(4096)
    framer.feed(bad + codec.write(SetLbState("x"), 2))
    with pytest.raises(SaspError) as flaw:
        framer.next()
    assert (flaw.value.kind, flaw.value.number) == (0x1234, 1)
    assert framer.next() == (2, SetLbState("x"))


@pytest.mark.parametrize(
    "message, code",
    [
        (codec.frame(1, codec.SET_LB_STATE, b"\0\x7f\0"), codec.INVALID_LB_UID),
        (codec.frame(1, codec.SET_LB_STATE, b"\x41" + b"u" * 65 + b"\x7f\0"), codec.INVALID_LB_UID),
        (
            codec.frame(1, codec.GET_WEIGHTS, b"\0\1", codec.PIECE.pack(codec.GROUP_DATA, 7) + b"\1u\0"),
            codec.INVALID_GROUP_NAME,
        ),
    ],
)
def test_names_of_no_length_have_codes_of_their_own(message, code):
    with pytest.raises(SaspError) as flaw:
        read(message)
    assert flaw.value.code == code
