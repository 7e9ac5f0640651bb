"""The discovery watch when the address or list changes at a chosen moment or responses are outdated."""

import socket
import threading

import pytest

from rainpick import model
from rainpick.http1.client import Client, ClientError
from rainpick.node import discovery_watch
from rainpick.node.discovery_watch import DiscoveryWatch
from tests.node.platform_stubs import VOCABULARY, StubDiscovery, endpoint_states, entry, start_watch
from tests.waiting import WAIT_S, wait_until


def test_a_change_of_address_while_connecting_to_the_old_one_sends_no_request_there(discovery, monkeypatch):
    """Guards against a request to the old address that cannot be aborted, as its socket does not exist yet.

    The watch then waited for the whole timeout of the request.
    """
    other, create_connection = StubDiscovery(entry(3)), socket.create_connection
    connecting, resumed = threading.Event(), threading.Event()

    def connect_when_resumed(address, timeout_s):
        if address == discovery.address:
            connecting.set()
            assert resumed.wait(WAIT_S)
        return create_connection(address, timeout_s)

    monkeypatch.setattr("rainpick.http1.client.socket.create_connection", connect_when_resumed)
    watch, responses = start_watch(discovery)
    assert connecting.wait(WAIT_S)
    watch.set_address(other.address)
    resumed.set()
    wait_until(lambda: responses, "the list")
    assert not discovery.requests
    assert endpoint_states(responses) == [{"s-0003": model.EndpointState.READY}]
    other.close()


def test_a_new_address_with_a_lower_version_is_followed(discovery, monkeypatch):
    """Guards against requesting the changes since a version that the new address reaches much later."""
    monkeypatch.setattr(discovery_watch, "REGRESSION_TIMEOUT_S", 0.2)
    discovery.versions += [[]] * 50
    other = StubDiscovery(entry(3))
    watch, responses = start_watch(discovery)
    wait_until(lambda: responses, "the list")
    watch.set_address(other.address)
    wait_until(lambda: len(responses) == 2, "the list at the new address")
    other.change(entry(3, "Terminating"))
    wait_until(lambda: len(responses) == 3, "a change at the new address")
    assert endpoint_states(responses)[1:] == [
        {"s-0003": model.EndpointState.READY},
        {"s-0003": model.EndpointState.DRAINING},
    ]
    other.close()


def test_a_change_of_address_between_two_polls_fetches_the_full_list_at_the_new_one(discovery):
    """Guards against an address change right after the poll has checked the address.

    The watch then requested the changes since the old address's version from the new address.
    """
    other, responses = StubDiscovery(entry(3)), []

    class ChangingWatch(DiscoveryWatch):
        """A watch whose address is changed, as by another thread, right after ``client`` is read."""

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

    def publish(response):
        responses.append(response)
        watch.armed = len(responses) == 1

    watch = ChangingWatch(discovery.address, VOCABULARY, publish)
    threading.Thread(target=watch.run, daemon=True).start()
    wait_until(lambda: other.requests, "a request to the new address")
    assert other.requests[0] == "/catalog/members"
    other.close()


def test_an_outdated_list_that_arrives_late_undoes_no_change(discovery):
    """Guards against an outdated full list that shows a draining server as ready."""
    _, responses = start_watch(discovery)
    wait_until(lambda: responses, "the list")
    old = discovery.response(True, discovery.versions[0])
    with discovery.changed:
        discovery.forced_responses = [old, old]
    discovery.change(entry(1, "Terminating"))
    wait_until(
        lambda: (
            not discovery.forced_responses
            and endpoint_states(responses)[-1]["s-0001"] == model.EndpointState.DRAINING
        ),
        "the drain",
    )
    discovery.change(entry(2, "Terminating"))
    wait_until(
        lambda: endpoint_states(responses)[-1].get("s-0002") == model.EndpointState.DRAINING, "the next drain"
    )
    states = [states["s-0001"] for states in endpoint_states(responses) if "s-0001" in states]
    drained_at = states.index(model.EndpointState.DRAINING)
    assert drained_at and model.EndpointState.READY not in states[drained_at:]


def test_an_invalid_change_is_recovered_from_the_full_list(discovery):
    """Guards against losing a drain in an invalid entry, because discovery sends each change only once."""
    _, responses = start_watch(discovery)
    wait_until(lambda: responses and len(discovery.requests) > 1, "a poll for changes")
    response = discovery.response

    def spoil_change(full, entries):
        if full:
            return response(full, entries)
        discovery.response = response
        return response(full, [entry | {"weight": "heavy"} for entry in entries])

    discovery.response = spoil_change
    discovery.change(entry(1, "Terminating"))
    wait_until(
        lambda: endpoint_states(responses)[-1].get("s-0001") == model.EndpointState.DRAINING, "the drain"
    )


def test_an_aborted_client_makes_no_more_requests(discovery):
    client = Client(*discovery.address)
    assert client.request("GET", "/catalog/members")[0] == 200
    client.abort()
    for _ in range(2):
        with pytest.raises(ClientError):
            client.request("GET", "/catalog/members")
    assert len(discovery.requests) == 1
