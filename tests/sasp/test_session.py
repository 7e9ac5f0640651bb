"""The two ends of a stream: who may say what, and when."""

import pytest

from rainpick.net import Ended
from rainpick.sasp import codec
from rainpick.sasp.codec import (
    Deregistration,
    GetWeights,
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
)
from rainpick.sasp.session import Asked, ClientEnd, DirectorEnd, Refused

ONE, TWO = Member.at("127.0.0.1", 9001), Member.at("127.0.0.1", 9002)
FLEET, MINE = Group("rainpick", "servers"), Group("edge-1", "servers")


def end(*said):
    director = DirectorEnd(65_536)
    found = []
    for number, message in enumerate(said, 1):
        found += director.receive(codec.write(message, number))
    return found[-1]


def code(found):
    assert isinstance(found, Refused), found
    framer = codec.Framer(1 << 16)
    framer.feed(found.data)
    return framer.next()[1].code


JOINED = (SetLbState("edge-1"),)
REGISTERED = (Registration((Members(FLEET, (ONE,)),)),)


@pytest.mark.parametrize(
    "said, expected",
    [
        ((GetWeights((MINE,)),), codec.UNKNOWN_LB),
        ((Registration((Members(MINE),), True),), codec.LB_NOT_SEEN),
        ((SetMemberState((States(FLEET, (MemberState(ONE, 0, True),)),)),), codec.NOT_REGISTERED),
        ((Deregistration((Members(FLEET),)),), codec.NOT_REGISTERED),
        ((*REGISTERED, SetLbState("edge-1")), codec.NOT_ACCEPTED),
        ((*JOINED, SetLbState("edge-2")), codec.NOT_ACCEPTED),
        ((*JOINED, *REGISTERED), codec.NOT_ACCEPTED),
        ((*JOINED, GetWeights((FLEET,))), codec.UNKNOWN_LB),
        ((*JOINED, GetWeights((MINE, MINE))), codec.DUPLICATE_GROUP),
        ((*JOINED, SetMemberState((States(MINE, (MemberState(ONE),)),), True)), codec.NOT_ACCEPTED),
        ((Registration((Members(FLEET, (ONE, TWO, ONE)),)),), codec.DUPLICATE_MEMBER),
        ((Registration((Members(FLEET, (ONE,)), Members(FLEET, (TWO,)))),), codec.DUPLICATE_GROUP),
    ],
)
def test_what_is_out_of_state_gets_its_code(said, expected):
    assert code(end(*said)) == expected


def test_what_is_in_order_is_handed_on():
    assert end(*REGISTERED) == Asked(1, REGISTERED[0])
    assert end(*JOINED, GetWeights((MINE,))) == Asked(2, GetWeights((MINE,)))
    assert end(*JOINED, SetLbState("edge-1", 1, codec.PUSH)) == Asked(2, SetLbState("edge-1", 1, codec.PUSH))


def test_what_a_director_says_is_not_for_a_director():
    assert isinstance(end(SendWeights(())), Ended)
    assert isinstance(end(Reply(codec.SET_LB_STATE_REPLY, 0)), Ended)


def test_faults_are_answered_until_there_are_too_many():
    director, bad = DirectorEnd(4096), codec.frame(9, codec.SET_LB_STATE, b"\5ab")
    kinds = [type(found) for _ in range(DirectorEnd.FAULTS_MOST) for found in director.receive(bad)]
    assert kinds == [Refused] * (DirectorEnd.FAULTS_MOST - 1) + [Ended]


def test_a_good_message_between_them_forgives():
    director, bad = DirectorEnd(4096), codec.frame(9, codec.SET_LB_STATE, b"\5ab")
    for number in range(40):
        assert isinstance(director.receive(bad)[0], Refused)
        assert isinstance(director.receive(codec.write(SetLbState("e"), number))[0], Asked)


def test_an_unknown_version_is_answered_and_ended():
    data = codec.write(SetLbState("e"), 3)
    (found,) = DirectorEnd(4096).receive(data[:4] + b"\7" + data[5:])
    assert isinstance(found, Ended) and found.data and "version 7" in found.why


def test_a_client_pairs_replies_and_keeps_pushes_apart():
    client = ClientEnd()
    client.ask(SetLbState("e"))
    client.ask(GetWeights((MINE,)))
    pushed = SendWeights(())
    data = (
        codec.write(pushed, 77)
        + codec.write(codec.GetWeightsReply(0), 2)
        + codec.write(Reply(codec.SET_LB_STATE_REPLY, 0), 1)
    )
    assert [asked for asked, _ in client.receive(data)] == [None, GetWeights((MINE,)), SetLbState("e")]


@pytest.mark.parametrize(
    "message, number",
    [(Reply(codec.SET_LB_STATE_REPLY, 0), 2), (Reply(codec.REGISTRATION_REPLY, 0), 1), (SetLbState("e"), 1)],
)
def test_a_reply_that_answers_nothing_is_an_error(message, number):
    client = ClientEnd()
    client.ask(SetLbState("e"))
    with pytest.raises(SaspError):
        client.receive(codec.write(message, number))
