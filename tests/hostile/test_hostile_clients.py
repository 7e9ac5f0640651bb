"""Hostile clients of each listener of both programs, as processes, beside sound peers.

400 clients connect at once and write slowly, stop in the middle of a large request, or send very many short
fields; or one client floods a listener. The program has to stay under its memory limit, and every sound peer
gets every answer within the patience of a client.
"""

import time

import pytest

from rainpick.mqtt import codec
from rainpick.node.frame_codec import encode_frame
from rainpick.publish import topics
from rainpick.sasp.constants import NO_CHANGE, PUSH, TRUST
from rainpick.sasp.encoding import encode_message
from rainpick.sasp.messages import GetWeights, Group, Member, MemberGroup, Registration, SetLbState
from tests.hostile.clients import Crowd, Flood
from tests.hostile.processes import (
    FLEET,
    HOST,
    DaemonProcess,
    LiveProcess,
    daemon_probes,
    live_probes,
    memory_mb,
    report_body,
)

CLIENTS = 400
PLAY_S = 3.0
PATIENCE_S = 3.0  # within which a sound peer wants its answer


def mqtt(*packets):
    return b"".join(map(codec.encode_packet, packets))


def frame(body):
    return len(body).to_bytes(4, "little") + body


def http_post(path, body, length=None, fields=b""):
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-type: application/x-protobuf\r\n"
    return head.encode() + b"content-length: %d\r\n%s\r\n" % (length or len(body), fields) + body


def registration(*ports, group=FLEET, number=7):
    members = tuple(Member.at(HOST, port) for port in ports)
    return encode_message(Registration((MemberGroup(group, members),)), number)


SHORT_FIELDS = b"a:\r\n" * 4000
LARGE_REGISTRATION = registration(*range(10_000, 16_000))
PROXY = encode_message(SetLbState("flood", 0x7F, PUSH | TRUST | NO_CHANGE), 1)
PROXY_GROUP = Group("flood", "servers")
JOINED_PROXY = PROXY + encode_message(Registration((MemberGroup(PROXY_GROUP, ()),), True), 2)
COLLECTOR = encode_frame({"t": "telemetry", "locality": "a"})
REPORT = {"t": "upstream_stats", "locality": "a", "total": 5, "errors": 1, "rtt": 7.5, "interval": 1000}
MANY_FIELDS = frame(b"{" + b",".join(b'"%x":0' % number for number in range(90_000)) + b"}")


def slow_head(number):
    return http_post("/tables/show", b"", 60_000, SHORT_FIELDS)


def half_packet(number):
    topic = topics.proxy_topic(f"c{number}", "report")
    publish = mqtt(codec.Publish(topic, b"x" * 900_000, 0))
    return mqtt(codec.Connect(f"c{number}")) + publish[:700_000]


def many_filters(number):
    filters = tuple((f"a{index}", 1) for index in range(20_000))
    return mqtt(codec.Connect(f"c{number}")) + mqtt(codec.Subscribe(1, filters))


def many_properties(number):
    user = [("a", "") for _ in range(40_000)]
    return mqtt(codec.Connect(f"c{number}", properties={"user": user}))


def crowd(listener, payload, drip=lambda number: b""):
    return lambda program: Crowd(getattr(program, listener), CLIENTS, payload, drip)


def flood(listener, request, begin=b"", reads=True, batch=64):
    return lambda program: Flood(getattr(program, listener), request, begin, reads, batch)


DAEMON_CASES = {
    "otlp: stop in the middle of a body": crowd(
        "otlp", lambda number: http_post("/v1/metrics", b"x" * 900_000, 1_000_000)
    ),
    "otlp: heads of many short fields": crowd(
        "otlp", lambda number: http_post("/v1/metrics", b"", 900_000, SHORT_FIELDS)
    ),
    "otlp: heads byte by byte": crowd("otlp", lambda number: b"", slow_head),
    "status: stop in the middle of a body": crowd(
        "status", lambda number: http_post("/tables/show", b"x" * 60_000, 65_000)
    ),
    "status: heads of many short fields": crowd("status", slow_head),
    "status: heads byte by byte": crowd("status", lambda number: b"", slow_head),
    "mqtt: stop in the middle of a packet": crowd("mqtt", half_packet),
    "mqtt: packets byte by byte": crowd("mqtt", lambda number: b"", half_packet),
    "mqtt: many topic filters": crowd("mqtt", many_filters),
    "mqtt: many properties": crowd("mqtt", many_properties),
    "sasp: stop in the middle of a message": crowd("sasp", lambda number: LARGE_REGISTRATION[:200_000]),
    "sasp: a proxy stops in the middle": crowd(
        "sasp", lambda number: PROXY.replace(b"flood", b"f%04d" % number) + LARGE_REGISTRATION[:200_000]
    ),
    "sasp: many members in one message": crowd("sasp", lambda number: LARGE_REGISTRATION),
    "sasp: messages byte by byte": crowd("sasp", lambda number: b"", lambda number: LARGE_REGISTRATION),
    "sasp: one member after another": flood(
        "sasp", lambda number: registration(20_000 + number % 40_000, number=number + 1)
    ),
    "sasp: rejected requests": flood(
        "sasp", lambda number: registration(20_000, group=Group(f"g{number}", "x"), number=number + 1)
    ),
    "sasp: rejected requests, replies unread": flood(
        "sasp", lambda number: registration(20_000, group=Group("other", "x"), number=number + 1), reads=False
    ),
    "sasp: polls, replies unread": flood(
        "sasp", lambda number: encode_message(GetWeights((PROXY_GROUP,)), number + 3), JOINED_PROXY, False
    ),
    "sasp: garbage": flood("sasp", lambda number: b"\0" * 50),
    "mqtt: pings": flood("mqtt", lambda number: mqtt(codec.Ping()), mqtt(codec.Connect("flood"))),
    "mqtt: pings, replies unread": flood(
        "mqtt", lambda number: mqtt(codec.Ping()), mqtt(codec.Connect("flood")), False
    ),
    "mqtt: subscriptions under new names": flood(
        "mqtt",
        lambda number: mqtt(codec.Subscribe(1, ((f"x/{number}", 1),))),
        mqtt(codec.Connect("flood")),
    ),
    "mqtt: messages on new topics": flood(
        "mqtt", lambda number: mqtt(codec.Publish(f"x/{number}", b"{}", 0)), mqtt(codec.Connect("flood"))
    ),
    "mqtt: new client names": flood("mqtt", lambda number: mqtt(codec.Connect(f"n{number}")), batch=1),
    "otlp: unsound bodies": flood("otlp", lambda number: http_post("/v1/metrics", b"xxxx")),
    "otlp: reports under new names": flood(
        "otlp", lambda number: http_post("/v1/metrics", report_body(f"name-{number}"))
    ),
    "status: requests, answers unread": flood(
        "status", lambda number: b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n", reads=False
    ),
    "status: table actions under new names": flood(
        "status", lambda number: http_post("/tables/pin", b'{"table":0,"who":"n%d","why":"x"}' % number)
    ),
}
LIVE_CASES = {
    "strangers stop in the middle": crowd("listen", lambda number: (4_000).to_bytes(4, "little") + b'{"t":"'),
    "strangers byte by byte": crowd("listen", lambda number: b"", lambda number: frame(b'{"t":"hb"}' * 400)),
    "collectors stop in the middle": crowd(
        "listen", lambda number: COLLECTOR + (1_000_000).to_bytes(4, "little") + b'{"a":"' + b"x" * 900_000
    ),
    "collectors send many short fields": crowd("listen", lambda number: COLLECTOR + MANY_FIELDS),
    "heartbeats": flood("listen", lambda number: encode_frame({"t": "hb"}), COLLECTOR),
    "heartbeats, replies unread": flood("listen", lambda number: encode_frame({"t": "hb"}), COLLECTOR, False),
    "malformed reports": flood(
        "listen", lambda number: encode_frame({"t": "upstream_stats", "endpoint": f"x{number}"}), COLLECTOR
    ),
    "reports under new names": flood(
        "listen", lambda number: encode_frame(REPORT | {"endpoint": f"x{number}"}), COLLECTOR
    ),
    "reports": flood("listen", lambda number: encode_frame(REPORT | {"endpoint": "s-0001"}), COLLECTOR),
    "garbage": flood("listen", lambda number: b"\0" * 7),
}


def play(program, probes, hostile):
    """Play hostile clients beside sound peers; assert that the program and the peers bear it."""
    try:
        time.sleep(PLAY_S)
        assert program.process.poll() is None, "the program has ended"
        peak_mb = memory_mb(program.process)
    finally:
        hostile.end()
    outcomes = {probe.name: probe.end() for probe in probes}
    for name, (answers, longest_s, failures) in outcomes.items():
        print(f"{name}: {answers} answers, {longest_s:.2f} s at most, {len(failures)} failures")
        assert answers and not failures, (name, failures[:3])
        assert longest_s <= PATIENCE_S, (name, longest_s)
    print(f"memory: {peak_mb:.0f} MB at most")
    assert peak_mb < program.memory_limit_mb


@pytest.mark.parametrize("name", DAEMON_CASES)
def test_the_daemon_serves_sound_peers_beside_hostile_clients(tmp_path, name):
    """Guards against memory by the client, and against one queue in which a client's requests precede all."""
    program = DaemonProcess(tmp_path)
    try:
        play(program, daemon_probes(program), DAEMON_CASES[name](program))
    finally:
        program.stop()


@pytest.mark.parametrize("name", LIVE_CASES)
def test_the_live_director_serves_sound_peers_beside_hostile_clients(tmp_path, name):
    """Guards against memory by the client, and against answers that come late or never."""
    program = LiveProcess(tmp_path)
    try:
        play(program, live_probes(program), LIVE_CASES[name](program))
    finally:
        program.stop()
