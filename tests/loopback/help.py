"""A director on loopback within the test's process, and plain SASP clients of it."""

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

TEXT = """{
  director: {settle: "100ms"%(director)s},
  listen: {sasp: "127.0.0.1:0", otlp: "127.0.0.1:0", status: "127.0.0.1:0"%(mqtt)s},
  zones: ["a", "b"],
  routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}],
  proxies: {count: 1}, // one table for all
  %(more)s
}"""
FLEET = Group("rainpick", "servers")
KEPT = []  # streams that nobody holds must not close before the test ends


@contextlib.contextmanager
def running(more="", director="", mqtt=False, **words):
    front = ', mqtt: "127.0.0.1:0"' if mqtt else ""
    daemon = Daemon(parse(TEXT % {"more": more, "director": director, "mqtt": front}), **words)
    daemon.start()
    try:
        yield daemon
    finally:
        daemon.stop()
        while KEPT:
            KEPT.pop().close()
    assert daemon.core.failure is None, daemon.core.failure


def status(daemon):
    client = Client(*daemon.status)
    code, _, body = client.call("GET", "/status")
    client.close()
    assert code == 200
    return {"servers": [], "proxies": [], **json.loads(body)}


def members(*ports, label=""):
    return tuple(Member.at("127.0.0.1", port, label) for port in ports)


class MemberEnd(SaspClient):
    """Servers' stream."""

    def __init__(self, daemon, *ports, label=""):
        super().__init__(daemon.sasp)
        KEPT.append(self)
        if ports:
            assert self.register(*ports, label=label) == ReturnCode.SUCCESS

    def register(self, *ports, label=""):
        return self.request(Registration((MemberGroup(FLEET, members(*ports, label=label)),))).code

    def quiesce(self, *ports, on=True):
        states = tuple(MemberState(one, 0, on) for one in members(*ports))
        return self.request(SetMemberState((StateGroup(FLEET, states),))).code

    def deregister(self, *ports):
        return self.request(Deregistration((MemberGroup(FLEET, members(*ports)),))).code


class ProxyEnd(SaspClient):
    """A proxy's stream and what it holds."""

    def __init__(self, daemon, uid, *standing, flags=PUSH | TRUST | NO_CHANGE, held=None, buffer=None):
        super().__init__(daemon.sasp, buffer=buffer)
        KEPT.append(self)
        self.uid, self.group = uid, Group(uid, "servers")
        self.held = dict.fromkeys(standing, 1) if held is None else held
        self.messages = []
        assert self.request(SetLbState(uid, 0x7F, flags)).code == ReturnCode.SUCCESS
        there = members(*self.held)
        assert self.request(Registration((MemberGroup(self.group, there),), True)).code == ReturnCode.SUCCESS

    def read(self, timeout_s=WAIT_S):
        for message in self.receive_weights(timeout_s):
            self.messages.append(message)
            self.take(message.groups)
        return self.held

    def take(self, groups):
        for group in groups:
            assert group.group == self.group
            for entry in group.entries:
                if entry.weight:
                    self.held[entry.member.port] = entry.weight
                else:
                    self.held.pop(entry.member.port, None)

    def until(self, ready, what="the weights"):
        end = time.monotonic() + WAIT_S
        while not ready(self.held):
            assert time.monotonic() < end, f"{self.uid}: {what} did not come, it holds {self.held}"
            self.read(0.05)
        return self.held

    def ask_weights(self):
        reply = self.request(GetWeights((self.group,)))
        self.take(reply.groups)
        return reply
