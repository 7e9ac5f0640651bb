"""The commit client with a stub relay that rejects calls, stays silent, disconnects or sends garbage."""

import threading

import pytest

from rainpick import model
from rainpick.decisions.channel_progress import TransmissionResumed, TransmissionSuspended
from rainpick.node import commit_client
from rainpick.node.commit_calls import MergedNonces, commit_call
from rainpick.node.commit_client import CommitClient
from tests.node.platform_stubs import VOCABULARY
from tests.node.stub_relay import StubRelay, cleared_tables
from tests.waiting import wait_until


def start_client(relay):
    client = CommitClient(relay.address, list(VOCABULARY.routes), lambda notification: None)
    threading.Thread(target=client.run, daemon=True).start()
    return client


def clear_tables(*tables, nonce=None):
    """Build the call that clears these tables."""
    commands = [model.ClearTable(table) for table in tables]
    requests = [model.RequestAcknowledgement(nonce, False)] if nonce is not None else []
    return commit_call(commands + requests)


@pytest.mark.parametrize(
    "response,accepted",
    [
        # The relay has not executed the call.
        ("busy", [1, 2, 3]),
        ("not read, closed", [1, 2, 3]),
        ("not read, silent", [1, 2, 3]),
        # The relay has executed the call, but the client cannot know: the call is executed twice, in order.
        ("no answer, closed", [1, 1, 2, 3]),
        ("no answer, silent", [1, 1, 2, 3]),
        ("invalid answer", [1, 1, 2, 3]),
        ("half an answer, closed", [1, 1, 2, 3]),
        # The response is valid, and the data that follows it belongs to no call.
        ("answer twice", [1, 2, 3]),
        ("answer and more", [1, 2, 3]),
    ],
)
def test_a_call_is_repeated_as_a_whole_before_anything_newer(relay, response, accepted):
    relay.responses = [response]
    client = start_client(relay)
    client.send(clear_tables(1))
    wait_until(lambda: relay.calls, "the first attempt")
    for table in (2, 3):
        client.send(clear_tables(table))
    wait_until(lambda: cleared_tables(relay)[-1:] == [3], "the last command")
    assert cleared_tables(relay) == accepted


def test_a_command_rejected_in_the_middle_is_skipped_and_the_rest_is_sent(relay):
    """Guards against losing the commands after a rejected one, whose proxy may have left, or their nonce."""
    relay.responses = [2]  # the request and table 1 are accepted, table 2 is rejected
    client = start_client(relay)
    client.send(clear_tables(1, 2, 3, nonce=7))
    wait_until(lambda: cleared_tables(relay)[-1:] == [3], "the rest")
    client.send(clear_tables(4))
    wait_until(lambda: cleared_tables(relay)[-1:] == [4], "the next call")
    assert cleared_tables(relay) == [1, 3, 4]
    assert [command["stamp"] for command in relay.commands("mark")] == [7, 7]
    assert client.counts["refused"] == 1


def test_a_call_that_is_always_rejected_as_a_whole_does_not_block_the_next(relay):
    relay.responses = ["syntax"] * commit_client.REJECTION_LIMIT
    client = start_client(relay)
    client.send(clear_tables(1))
    wait_until(lambda: not relay.responses, "the last rejection")
    client.send(clear_tables(2))
    wait_until(lambda: cleared_tables(relay) == [2], "the next call")


def test_a_call_is_retried_without_limit_while_the_relay_is_busy(relay):
    relay.responses = ["busy"] * (3 * commit_client.REJECTION_LIMIT)
    client = start_client(relay)
    client.send(clear_tables(1))
    wait_until(lambda: cleared_tables(relay) == [1], "the call")


def test_a_connection_closed_as_idle_is_detected_before_a_call_is_sent_into_it(relay):
    """Guards against an unconfirmed call: a call sent on a closed connection never arrives."""
    client = start_client(relay)
    client.send(clear_tables(1))
    wait_until(lambda: cleared_tables(relay) == [1] and client.counts["calls"], "the first call")
    relay.drop_connections()
    wait_until(lambda: not relay.connections, "the end of the connection")
    client.send(clear_tables(2))
    wait_until(lambda: cleared_tables(relay) == [1, 2], "the second call")
    assert client.counts["again"] == 0 and client.counts["dials"] == 2


def test_a_connection_without_calls_is_kept_from_being_closed_as_idle(relay, monkeypatch):
    """Guards against a new connection for a withdrawal: connecting takes a round trip and may fail."""
    monkeypatch.setattr(commit_client, "KEEP_ALIVE_S", 0.02)
    client = start_client(relay)
    client.send(clear_tables(1))
    wait_until(lambda: [commands for _, commands in relay.calls].count([]) >= 3, "calls without commands")
    assert client.counts["dials"] == 1 and cleared_tables(relay) == [1]


def test_the_next_call_goes_to_the_new_address_and_none_is_lost(relay):
    other = StubRelay()
    client = start_client(relay)
    client.send(clear_tables(1))
    wait_until(lambda: cleared_tables(relay) == [1], "the first call")
    client.set_address(other.address)
    client.send(clear_tables(2))
    wait_until(lambda: cleared_tables(other) == [2], "the second call")
    assert cleared_tables(relay) == [1]
    other.close()


def test_calls_wait_while_the_relay_is_unreachable_and_are_sent_as_one(relay):
    address = relay.address
    relay.close()
    notifications = []
    client = CommitClient(address, list(VOCABULARY.routes), notifications.append)
    client.send(clear_tables(1, nonce=5))
    client.send(clear_tables(2, nonce=6))
    threading.Thread(target=client.run, daemon=True).start()
    wait_until(lambda: not client.reachable, "a failed attempt")
    other = StubRelay()
    client.set_address(other.address)
    wait_until(lambda: cleared_tables(other) == [1, 2], "both calls")
    expected = [MergedNonces(6, (5,)), TransmissionSuspended(), TransmissionResumed()]
    wait_until(lambda: notifications == expected, "the notifications")
    assert len(other.calls) == 1
    other.close()
