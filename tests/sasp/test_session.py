"""Both sides of a SASP stream: the messages that are legal in each state."""

import pytest

from rainpick.net import StreamEnded
from rainpick.sasp.client import ClientSession
from rainpick.sasp.constants import PUSH, MessageType, ReturnCode
from rainpick.sasp.encoding import encode_frame, encode_message
from rainpick.sasp.errors import SaspError
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
)
from rainpick.sasp.session import AcceptedRequest, DirectorSession, RejectedRequest
from rainpick.sasp.transitions import TRANSITIONS, RequestKind, SessionState

FIRST, SECOND = Member.at("127.0.0.1", 9001), Member.at("127.0.0.1", 9002)
FLEET, EDGE_1 = Group("rainpick", "servers"), Group("edge-1", "servers")


def last_event(*messages):
    """Return the director's event for the last of these messages."""
    session = DirectorSession(65_536)
    events = []
    for message_id, message in enumerate(messages, 1):
        events += session.receive(encode_message(message, message_id))
    return events[-1]


def return_code(event):
    """Return the code in the reply to a rejected request."""
    assert isinstance(event, RejectedRequest), event
    reader = FrameReader(1 << 16)
    reader.feed(event.reply)
    return reader.next().message.code


IDENTIFIED = (SetLbState("edge-1"),)
REGISTERED = (Registration((MemberGroup(FLEET, (FIRST,)),)),)


@pytest.mark.parametrize(
    "messages, expected",
    [
        ((GetWeights((EDGE_1,)),), ReturnCode.UNKNOWN_LB),
        ((Registration((MemberGroup(EDGE_1),), True),), ReturnCode.LB_NOT_SEEN),
        ((SetMemberState((StateGroup(FLEET, (MemberState(FIRST, 0, True),)),)),), ReturnCode.NOT_REGISTERED),
        ((Deregistration((MemberGroup(FLEET),)),), ReturnCode.NOT_REGISTERED),
        ((*REGISTERED, SetLbState("edge-1")), ReturnCode.NOT_ACCEPTED),
        ((*IDENTIFIED, SetLbState("edge-2")), ReturnCode.NOT_ACCEPTED),
        ((*IDENTIFIED, *REGISTERED), ReturnCode.NOT_ACCEPTED),
        ((*IDENTIFIED, GetWeights((FLEET,))), ReturnCode.UNKNOWN_LB),
        ((*IDENTIFIED, GetWeights((EDGE_1, EDGE_1))), ReturnCode.DUPLICATE_GROUP),
        (
            (*IDENTIFIED, SetMemberState((StateGroup(EDGE_1, (MemberState(FIRST),)),), True)),
            ReturnCode.NOT_ACCEPTED,
        ),
        ((Registration((MemberGroup(FLEET, (FIRST, SECOND, FIRST)),)),), ReturnCode.DUPLICATE_MEMBER),
        (
            (Registration((MemberGroup(FLEET, (FIRST,)), MemberGroup(FLEET, (SECOND,)))),),
            ReturnCode.DUPLICATE_GROUP,
        ),
    ],
)
def test_an_illegal_request_is_rejected_with_its_return_code(messages, expected):
    event = last_event(*messages)
    assert return_code(event) == expected and event.code == expected


def test_the_table_has_an_entry_for_every_request_in_every_state():
    assert TRANSITIONS.keys() == set(RequestKind)
    assert all(by_state.keys() == set(SessionState) for by_state in TRANSITIONS.values())


def test_a_legal_request_is_accepted():
    assert last_event(*REGISTERED) == AcceptedRequest(1, REGISTERED[0])
    assert last_event(*IDENTIFIED, GetWeights((EDGE_1,))) == AcceptedRequest(2, GetWeights((EDGE_1,)))
    assert last_event(*IDENTIFIED, SetLbState("edge-1", 1, PUSH)) == AcceptedRequest(
        2, SetLbState("edge-1", 1, PUSH)
    )


def test_a_message_that_only_a_director_sends_ends_the_stream():
    assert isinstance(last_event(SendWeights(())), StreamEnded)
    assert isinstance(last_event(Reply(MessageType.SET_LB_STATE_REPLY, 0)), StreamEnded)


def test_too_many_consecutive_malformed_messages_end_the_stream():
    session, malformed = DirectorSession(4096), encode_frame(9, MessageType.SET_LB_STATE, b"\5ab")
    kinds = [
        type(event)
        for _ in range(DirectorSession.MAX_MALFORMED_MESSAGES)
        for event in session.receive(malformed)
    ]
    assert kinds == [RejectedRequest] * (DirectorSession.MAX_MALFORMED_MESSAGES - 1) + [StreamEnded]


def test_an_accepted_request_resets_the_count_of_malformed_messages():
    session, malformed = DirectorSession(4096), encode_frame(9, MessageType.SET_LB_STATE, b"\5ab")
    for message_id in range(40):
        assert isinstance(session.receive(malformed)[0], RejectedRequest)
        assert isinstance(session.receive(encode_message(SetLbState("e"), message_id))[0], AcceptedRequest)


def test_an_unknown_version_gets_a_reply_and_ends_the_stream():
    data = encode_message(SetLbState("e"), 3)
    (event,) = DirectorSession(4096).receive(data[:4] + b"\7" + data[5:])
    assert isinstance(event, StreamEnded) and event.data and "version 7" in event.reason


def test_a_client_matches_replies_to_requests_and_recognizes_pushed_weights():
    client = ClientSession()
    client.encode_request(SetLbState("e"))
    client.encode_request(GetWeights((EDGE_1,)))
    pushed = SendWeights(())
    data = (
        encode_message(pushed, 77)
        + encode_message(GetWeightsReply(0), 2)
        + encode_message(Reply(MessageType.SET_LB_STATE_REPLY, 0), 1)
    )
    assert [request for request, _ in client.receive(data)] == [None, GetWeights((EDGE_1,)), SetLbState("e")]


@pytest.mark.parametrize(
    "message, message_id",
    [
        (Reply(MessageType.SET_LB_STATE_REPLY, 0), 2),
        (Reply(MessageType.REGISTRATION_REPLY, 0), 1),
        (SetLbState("e"), 1),
    ],
)
def test_a_reply_without_its_request_is_an_error(message, message_id):
    client = ClientSession()
    client.encode_request(SetLbState("e"))
    with pytest.raises(SaspError):
        client.receive(encode_message(message, message_id))
