"""A director on loopback within the test's process, and SASP clients that act as servers and proxies."""

import contextlib
import json
import time

from rainpick.director.daemon import Daemon
from rainpick.http1.client import Client
from rainpick.sasp.constants import NO_CHANGE, PUSH, TRUST, ReturnCode
from rainpick.sasp.messages import (
    Deregistration,
    GetWeights,
    Group,
    Member,
    MemberGroup,
    MemberState,
    Registration,
    SetLbState,
    SetMemberState,
    StateGroup,
)
from rainpick.settings import parse
from rainpick.simulated_peers.sasp_client import SaspClient
from tests.waiting import WAIT_S

SETTINGS = """{
  director: {settle: "100ms"%(director)s},
  listen: {sasp: "127.0.0.1:0", otlp: "127.0.0.1:0", status: "127.0.0.1:0"%(mqtt)s},
  zones: ["a", "b"],
  routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}],
  proxies: {count: 1}, // one table for all
  %(sections)s
}"""
FLEET = Group("rainpick", "servers")
KEPT_STREAMS = []  # keeps streams without another reference open until the test ends


@contextlib.contextmanager
def running_director(sections="", director="", mqtt=False, **daemon_options):
    """Run a director with the given sections of its settings; fail if its event loop raised an error."""
    mqtt_listener = ', mqtt: "127.0.0.1:0"' if mqtt else ""
    daemon = Daemon(
        parse(SETTINGS % {"sections": sections, "director": director, "mqtt": mqtt_listener}),
        **daemon_options,
    )
    daemon.start()
    try:
        yield daemon
    finally:
        daemon.stop()
        while KEPT_STREAMS:
            KEPT_STREAMS.pop().close()
    assert daemon.event_loop.failure is None, daemon.event_loop.failure


def fetch_status(daemon):
    """Fetch a director's status. Before the decisions begin, its lists of servers and proxies are empty."""
    client = Client(*daemon.status)
    code, _, body = client.request("GET", "/status")
    client.close()
    assert code == 200
    return {"servers": [], "proxies": [], **json.loads(body)}


def members(*ports, label=""):
    """Build the SASP members for servers at these ports on loopback."""
    return tuple(Member.at("127.0.0.1", port, label) for port in ports)


class MemberClient(SaspClient):
    """A SASP stream that registers servers as members. Its methods return the return code of the reply."""

    def __init__(self, daemon, *ports, label=""):
        super().__init__(daemon.sasp)
        KEPT_STREAMS.append(self)
        if ports:
            assert self.register(*ports, label=label) == ReturnCode.SUCCESS

    def register(self, *ports, label=""):
        return self.request(Registration((MemberGroup(FLEET, members(*ports, label=label)),))).code

    def quiesce(self, *ports, on=True):
        states = tuple(MemberState(member, 0, on) for member in members(*ports))
        return self.request(SetMemberState((StateGroup(FLEET, states),))).code

    def deregister(self, *ports):
        return self.request(Deregistration((MemberGroup(FLEET, members(*ports)),))).code


class ProxyClient(SaspClient):
    """A proxy's SASP stream, and the weights that it has received (``weights``, by port of the server)."""

    def __init__(
        self,
        daemon,
        uid,
        *default_ports,
        flags=PUSH | TRUST | NO_CHANGE,
        weights=None,
        receive_buffer_bytes=None,
    ):
        super().__init__(daemon.sasp, receive_buffer_bytes=receive_buffer_bytes)
        KEPT_STREAMS.append(self)
        self.uid, self.group = uid, Group(uid, "servers")
        self.weights = dict.fromkeys(default_ports, 1) if weights is None else weights
        self.messages = []
        assert self.request(SetLbState(uid, 0x7F, flags)).code == ReturnCode.SUCCESS
        default_table = members(*self.weights)
        assert (
            self.request(Registration((MemberGroup(self.group, default_table),), True)).code
            == ReturnCode.SUCCESS
        )

    def read(self, timeout_s=WAIT_S):
        """Apply the pushed weights that arrive within ``timeout_s``; return all weights."""
        for message in self.receive_weights(timeout_s):
            self.messages.append(message)
            self.apply(message.groups)
        return self.weights

    def apply(self, groups):
        """Apply the entries of a message; weight 0 removes a server."""
        for group in groups:
            assert group.group == self.group
            for entry in group.entries:
                if entry.weight:
                    self.weights[entry.member.port] = entry.weight
                else:
                    self.weights.pop(entry.member.port, None)

    def until(self, condition, description="expected weights"):
        """Apply pushed weights until ``condition`` is true for the weights; fail after ``WAIT_S``."""
        end = time.monotonic() + WAIT_S
        while not condition(self.weights):
            assert time.monotonic() < end, (
                f"{self.uid}: timed out waiting for {description}, holds {self.weights}"
            )
            self.read(0.05)
        return self.weights

    def get_weights(self):
        """Poll the director and apply the weights in the reply."""
        reply = self.request(GetWeights((self.group,)))
        self.apply(reply.groups)
        return reply
