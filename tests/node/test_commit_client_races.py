"""Commit calls when the relay, the connection or another thread interferes at a chosen moment."""

import select
import threading
import time

from rainpick import model
from rainpick.node import commit_client, commit_connection
from rainpick.node.commit_calls import UnconfirmedCall, commit_call
from rainpick.node.commit_client import CommitClient
from tests.node.platform_stubs import VOCABULARY
from tests.node.stub_relay import StubRelay, cleared_tables
from tests.waiting import WAIT_S, until


def clear_tables(*tables):
    """The call that clears these tables."""
    return commit_call([model.ClearTable(table) for table in tables])


def start_client(address, notify=lambda notification: None):
    client = CommitClient(address, list(VOCABULARY.routes), notify)
    threading.Thread(target=client.run, daemon=True).start()
    return client


def test_a_relay_that_closes_after_the_check_and_before_the_call_is_sent(relay):
    """The call goes into a closed connection: it is unconfirmed and sent again, before the next one."""
    client = start_client(relay.address)
    client.send(clear_tables(1))
    until(lambda: client.counts["calls"] == 1, "the first call")
    check = client.connection.has_unexpected_input

    def close_after_check():
        client.connection.has_unexpected_input = check
        assert not check()
        relay.drop_connections()
        until(lambda: not relay.connections, "the end of the connection")
        return False

    client.connection.has_unexpected_input = close_after_check
    client.send(clear_tables(2))
    client.send(clear_tables(3))
    until(lambda: cleared_tables(relay) == [1, 2, 3], "the calls")
    assert client.counts["again"] == 1


def test_an_answer_that_came_while_the_thread_got_no_turn_is_read(relay, monkeypatch):
    """A busy core was taken for a dead relay: the call went out again, and the core had more to do."""
    client = start_client(relay.address)
    client.send(clear_tables(1))
    until(lambda: client.counts["calls"] == 1, "a connection")
    # The time is up when the call has left.
    monkeypatch.setattr(commit_connection, "ANSWER_TIMEOUT_S", 0.0)

    class LateSocket:
        """The socket of a thread that gets its next turn when the answer has come."""

        def __init__(self, sock):
            self.sock = sock

        def recv(self, size, *flags):
            if not flags:
                select.select([self.sock], [], [], WAIT_S)
            return self.sock.recv(size, *flags)

        def __getattr__(self, name):
            return getattr(self.sock, name)

    client.connection.sock = LateSocket(client.connection.sock)
    client.send(clear_tables(2))
    until(lambda: client.counts["calls"] == 2, "the second call")
    assert cleared_tables(relay) == [1, 2] and client.counts["again"] == 0


def test_rejected_keep_alive_calls_count_against_no_command(relay, monkeypatch):
    """Their rejections were added to those of the next call, which was left out at its first."""
    monkeypatch.setattr(commit_client, "KEEP_ALIVE_S", 0.02)
    client = start_client(relay.address)
    client.send(clear_tables(1))
    until(lambda: client.counts["calls"] == 1, "a connection")
    relay.default_response = lambda commands: "accept" if commands else "syntax"
    until(
        lambda: [response for response, _ in relay.calls].count("syntax") > commit_client.REJECTION_LIMIT,
        "rejections",
    )
    relay.responses = ["syntax"]
    until(lambda: not relay.responses, "one more")
    relay.responses = ["syntax"] * (commit_client.REJECTION_LIMIT - 1)
    client.send(clear_tables(2))
    until(lambda: cleared_tables(relay) == [1, 2], "the second call")


def test_a_command_for_which_a_whole_call_is_rejected_is_left_out_alone(relay):
    """The withdrawals in the same call were lost for good, though the decisions believed them sent."""
    relay.default_response = lambda commands: (
        "syntax" if any(command["cluster"] == 5 for command in commands) else "accept"
    )
    client = start_client(relay.address)
    client.send(clear_tables(*range(1, 9)))
    client.send(clear_tables(9))
    until(lambda: cleared_tables(relay)[-1:] == [9], "the next call")
    assert cleared_tables(relay) == [1, 2, 3, 4, 6, 7, 8, 9]


def test_a_call_that_is_sent_again_is_reported_by_its_nonce(relay):
    """Carried out and not answered, it waits twice in the channel: the decisions must know."""
    notifications = []
    relay.responses = ["no answer, silent", "busy"]
    client = start_client(relay.address, notifications.append)
    client.send(commit_call([model.ClearTable(1), model.RequestAcknowledgement(8, False)]))
    until(lambda: cleared_tables(relay) == [1, 1] and client.counts["calls"] == 1, "the call, twice")
    assert notifications == [UnconfirmedCall(8)], "what was rejected was not carried out"


def test_commands_do_not_pile_up_while_the_relay_is_unreachable(relay):
    address = relay.address
    relay.close()
    client = start_client(address)
    for turn in range(500):
        client.send(
            commit_call([model.SetWeight(1, "s-1", float(turn)), model.SetWithdrawn("s-2", bool(turn % 2))])
        )
    until(
        lambda: client.queue.empty() and sum(len(call.commands) for call in client.waiting) == 2,
        "the newest commands alone",
    )
    other = StubRelay()
    client.set_address(other.address)
    until(lambda: other.accepted and other.commands("share"), "the newest commands")
    assert [command["w"] for command in other.commands("share")] == [499.0]
    assert len(other.commands("withdraw")) == 1
    other.close()


def test_a_flush_sends_what_was_queued(relay):
    """SIGTERM in the middle of a call: it and the withdrawals behind it are sent, if that is soon done."""
    relay.responses = ["not read, silent"]
    client = start_client(relay.address)
    client.send(clear_tables(1))
    until(lambda: relay.calls, "a call that gets no answer")
    client.send(clear_tables(2))
    client.flush(WAIT_S)
    assert cleared_tables(relay) == [1, 2]


def test_a_flush_does_not_wait_for_an_unreachable_relay(relay):
    relay.close()
    client = start_client(relay.address)
    client.send(clear_tables(1))
    begin_s = time.monotonic()
    client.flush(0.05)
    assert time.monotonic() - begin_s < 0.7
