"""Commit calls: encoding, splitting and merging of commands, and parsing of responses."""

import json

import pytest

from rainpick import model
from rainpick.node.commit_calls import CommitCall, MergedNonces, commit_call, merge_calls
from rainpick.node.commit_responses import Accepted, Rejected, parse_commit_response
from tests.node.platform_stubs import VOCABULARY

ROUTES = list(VOCABULARY.routes)


def test_commands_are_encoded_in_the_format_of_the_relay():
    call = commit_call(
        [
            model.SetWeight(4, "s-1", 1.5),
            model.ClearTable(4),
            model.BindProxy(4, model.ALL_ROUTES, 17),
            model.BindProxy(4, 2, 18),
            model.SetWithdrawn("s-1", True),
            model.SetWithdrawn("s-1", False),
            model.SetAdmission(4, 1, 0.9, 1),
            model.SetAdmission(model.ALL_TABLES, 0, 1.0, 0),
            model.RequestAcknowledgement(905, True),
        ]
    )
    message = json.loads(call.encode(8, ROUTES))
    assert (message["id"], message["method"]) == (8, "commit")
    assert message["params"]["orders"] == [
        {"verb": "mark", "stamp": 905, "set": 1},  # first, see CommitCall
        {"verb": "share", "cluster": 4, "endpoint": "s-1", "w": 1.5},
        {"verb": "clear", "cluster": 4},
        {"verb": "bind", "node": 17, "cluster": 4, "for": ["lookup", "commit"]},
        {"verb": "bind", "node": 18, "cluster": 4, "for": ["commit"]},
        {"verb": "withdraw", "endpoint": "s-1"},
        {"verb": "restore", "endpoint": "s-1"},
        {"verb": "admit", "cluster": 4, "for": ["lookup"], "gate": 0.9, "again": 1},
        {"verb": "admit", "cluster": "*", "for": ["lookup", "commit"], "gate": 1.0, "again": 0},
    ]
    assert commit_call([]) is None


def test_a_long_call_is_split_in_order_and_each_part_requests_acknowledgement():
    """Guards against a part without a request for acknowledgement.

    The proxies that receive only this part would count as unacknowledged forever.
    """
    commands = [model.SetWeight(4, f"s-{number:06}", 1.0) for number in range(2000)]
    remaining, sent = commit_call([*commands, model.RequestAcknowledgement(7, False)]), []
    while remaining is not None:
        part = remaining.first_part(ROUTES)
        assert len(part.encode(1, ROUTES)) <= 60_000
        sent.append(json.loads(part.encode(1, ROUTES))["params"]["orders"])
        remaining = remaining.remaining(part.size, part)
    assert len(sent) == 3 and all(part[0] == {"verb": "mark", "stamp": 7, "set": 0} for part in sent)
    servers = [command["endpoint"] for part in sent for command in part[1:]]
    assert servers == [command.server for command in commands]


def test_a_rejected_command_is_skipped_and_the_rest_requests_acknowledgement():
    binds, request = (
        tuple(model.BindProxy(1, 0, number) for number in range(3)),
        model.RequestAcknowledgement(7, False),
    )
    call = CommitCall(request, binds)
    assert call.remaining(2, call) == CommitCall(request, binds[2:]), (
        "the request and one command were accepted, the second rejected"
    )
    assert call.remaining(3, call) is None, (
        "the last command was rejected: nothing remains to be acknowledged"
    )
    assert call.remaining(0, call) == CommitCall(None, binds), "the request itself was rejected"
    assert CommitCall(None, binds).remaining(1, CommitCall(None, binds)).commands == binds[2:]
    assert call.remaining(4, call) is None


def test_waiting_calls_are_merged_with_the_withdrawals_first():
    """Guards against withdrawals that wait in the paced channel behind superseded weights.

    When the calls were sent separately, a drain that began during an outage of the relay reached the proxies
    0.1 s after the drain grace.
    """

    def set_weight(server, weight):
        return model.SetWeight(1, server, weight)

    waiting = [
        CommitCall(
            model.RequestAcknowledgement(1, False),
            (set_weight("a", 1.0), set_weight("b", 1.0), model.SetWithdrawn("c", True)),
        ),
        CommitCall(None, (model.BindProxy(1, 0, 5),)),
        CommitCall(
            model.RequestAcknowledgement(2, True), (model.SetWithdrawn("c", False), set_weight("a", 2.0))
        ),
        CommitCall(
            model.RequestAcknowledgement(3, False), (model.SetWithdrawn("d", True), model.BindProxy(1, 0, 5))
        ),
    ]
    calls, merged = merge_calls(waiting)
    assert calls == [
        CommitCall(model.RequestAcknowledgement(1, False), (model.SetWithdrawn("d", True),)),
        CommitCall(
            model.RequestAcknowledgement(3, True),
            (
                set_weight("b", 1.0),
                model.SetWithdrawn("c", False),
                set_weight("a", 2.0),
                model.BindProxy(1, 0, 5),
            ),
        ),
    ]
    assert merged == MergedNonces(3, (1, 2))


def test_merging_keeps_all_commands_if_a_table_is_cleared_and_invents_no_nonce():
    cleared = [
        CommitCall(None, (model.SetWeight(1, "a", 1.0),)),
        CommitCall(None, (model.ClearTable(1), model.SetWeight(1, "a", 1.0))),
    ]
    assert merge_calls(cleared) == (
        [CommitCall(None, (model.SetWeight(1, "a", 1.0), model.ClearTable(1), model.SetWeight(1, "a", 1.0)))],
        None,
    )
    # One nonce must not be used for two calls: the acknowledgement of the first would also cover the second.
    waiting = [
        CommitCall(model.RequestAcknowledgement(1, False), (model.SetWithdrawn("a", True),)),
        CommitCall(None, (model.BindProxy(1, 0, 1),)),
    ]
    calls, merged = merge_calls(waiting)
    assert calls == [
        CommitCall(
            model.RequestAcknowledgement(1, False), (model.SetWithdrawn("a", True), model.BindProxy(1, 0, 1))
        )
    ]
    assert merged == MergedNonces(1, ())


def test_responses_to_a_call_are_parsed():
    def read(message, size=4):
        return parse_commit_response(json.dumps({"jsonrpc": "2.0", "id": 8} | message).encode(), 8, size)

    assert read({"result": {"ok_count": 4}}) == Accepted(4)
    assert read({"result": {"ok_count": 0}}) == Accepted(0)
    assert read({"error": {"code": -32000, "message": "BUSY"}}) == Rejected("BUSY")
    for unusable in (
        {"result": {"ok_count": 5}},
        {"result": {"ok_count": -1}},
        {"result": {"ok_count": True}},
        {"result": {"ok_count": "4"}},
        {"result": {}},
        {"result": 4},
        {"id": 9, "result": {"ok_count": 4}},
        {"id": None, "result": {"ok_count": 4}},
        {},
        {"error": {"code": 1}},
        {"error": "odd"},
    ):
        with pytest.raises(ValueError):
            read(unusable)
    with pytest.raises(ValueError):
        parse_commit_response(b'{"jsonrpc":', 8, 4)
