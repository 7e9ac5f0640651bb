"""Following discovery when its address or list changes at a chosen moment, and when old answers come late."""

import socket
import threading

import pytest

from rainpick import model
from rainpick.http1.client import Client, ClientError
from rainpick.node import discovery_watch
from rainpick.node.discovery_watch import DiscoveryWatch
from tests.node.platform_stubs import VOCABULARY, StubDiscovery, endpoint_states, entry, start_watch
from tests.waiting import WAIT_S, until


def test_a_change_of_address_while_the_old_one_is_connected_to_sends_no_request_there(discovery, monkeypatch):
    """There was no socket to interrupt yet: the old address was asked, for a whole time limit."""
    other, create_connection = StubDiscovery(entry(3)), socket.create_connection
    connecting, resumed = threading.Event(), threading.Event()

    def connect_when_resumed(address, timeout_s):
        if address == discovery.address:
            connecting.set()
            assert resumed.wait(WAIT_S)
        return create_connection(address, timeout_s)

    monkeypatch.setattr("rainpick.http1.client.socket.create_connection", connect_when_resumed)
    watch, answers = start_watch(discovery)
    assert connecting.wait(WAIT_S)
    watch.set_address(other.address)
    resumed.set()
    until(lambda: answers, "the list")
    assert not discovery.requests
    assert endpoint_states(answers) == [{"s-0003": model.EndpointState.READY}]
    other.close()


def test_a_new_address_that_counts_from_a_lower_version_is_followed(discovery, monkeypatch):
    """It was asked for what is newer than the old one's version, and had nothing to tell for a long time."""
    monkeypatch.setattr(discovery_watch, "REGRESSION_S", 0.2)
    discovery.versions += [[]] * 50
    other = StubDiscovery(entry(3))
    watch, answers = start_watch(discovery)
    until(lambda: answers, "the list")
    watch.set_address(other.address)
    until(lambda: len(answers) == 2, "the list there")
    other.change(entry(3, "Terminating"))
    until(lambda: len(answers) == 3, "a change there")
    assert endpoint_states(answers)[1:] == [
        {"s-0003": model.EndpointState.READY},
        {"s-0003": model.EndpointState.DRAINING},
    ]
    other.close()


def test_a_change_of_address_between_two_polls_fetches_the_full_list_at_the_new_one(discovery):
    """The poll had checked whether it was the same address still: the new one was asked for changes since the
    old one's version."""
    other, answers = StubDiscovery(entry(3)), []

    class ChangingWatch(DiscoveryWatch):
        """``client`` is read, and then another thread changes the address."""

        armed = False

        @property
        def client(self):
            client = self.current_client
            if self.armed:
                self.armed = False
                self.set_address(other.address)
            return client

        @client.setter
        def client(self, client):
            self.current_client = client

    def publish(answer):
        answers.append(answer)
        watch.armed = len(answers) == 1

    watch = ChangingWatch(discovery.address, VOCABULARY, publish)
    threading.Thread(target=watch.run, daemon=True).start()
    until(lambda: other.requests, "the new address")
    assert other.requests[0] == "/catalog/members"
    other.close()


def test_an_old_list_that_comes_late_undoes_nothing(discovery):
    """A draining server stood as ready again."""
    _, answers = start_watch(discovery)
    until(lambda: answers, "the list")
    old = discovery.answer(True, discovery.versions[0])
    with discovery.changed:
        discovery.forced_answers = [old, old]
    discovery.change(entry(1, "Terminating"))
    until(
        lambda: (
            not discovery.forced_answers
            and endpoint_states(answers)[-1]["s-0001"] == model.EndpointState.DRAINING
        ),
        "the drain",
    )
    discovery.change(entry(2, "Terminating"))
    until(
        lambda: endpoint_states(answers)[-1].get("s-0002") == model.EndpointState.DRAINING, "the next drain"
    )
    states = [states["s-0001"] for states in endpoint_states(answers) if "s-0001" in states]
    drained_at = states.index(model.EndpointState.DRAINING)
    assert drained_at and model.EndpointState.READY not in states[drained_at:]


def test_an_unreadable_change_is_taken_from_the_full_list(discovery):
    """It is given once; what was dropped with it was a drain."""
    _, answers = start_watch(discovery)
    until(lambda: answers and len(discovery.requests) > 1, "a poll for changes")
    answer = discovery.answer

    def spoil_change(full, entries):
        if full:
            return answer(full, entries)
        discovery.answer = answer
        return answer(full, [entry | {"weight": "heavy"} for entry in entries])

    discovery.answer = spoil_change
    discovery.change(entry(1, "Terminating"))
    until(lambda: endpoint_states(answers)[-1].get("s-0001") == model.EndpointState.DRAINING, "the drain")


def test_an_aborted_client_makes_no_call_any_more(discovery):
    client = Client(*discovery.address)
    assert client.call("GET", "/catalog/members")[0] == 200
    client.abort()
    for _ in range(2):
        with pytest.raises(ClientError):
            client.call("GET", "/catalog/members")
    assert len(discovery.requests) == 1
