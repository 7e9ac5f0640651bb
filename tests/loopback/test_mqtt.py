"""The publish-subscribe front on loopback: proxies, observers, an unmodified client, and what goes wrong."""

import json
import socket
import threading
import time

import pytest
from click.testing import CliRunner
from paho.mqtt import client as paho
from paho.mqtt.enums import CallbackAPIVersion

from rainpick.cli import main
from rainpick.mqtt import codec
from rainpick.publish import payloads, topics
from rainpick.publish.follower import TableFollower
from rainpick.publish.payloads import (
    LoadReport,
    Presence,
    ProxyAssignment,
    SyncFault,
    TableDelta,
    TableSnapshot,
    decode_director_message,
)
from rainpick.simulated_peers.mqtt_client import MqttProxy
from tests.loopback.help import KEPT, MemberEnd, ProxyEnd, status
from tests.loopback.help import running as plainly
from tests.waiting import until

FULL = 4096
S = 1_000_000_000


@pytest.fixture
def daemon(request):
    more, words = getattr(request, "param", ("", {}))
    with started(more, **words) as daemon:
        yield daemon


def started(more="", **words):
    return plainly(more, mqtt=True, **words)


class Proxy(MqttProxy):
    def __init__(self, daemon, uid, *holds, before=None, **words):
        super().__init__(daemon.mqtt, uid, **words)
        KEPT.append(self)
        self.join(before, {f"127.0.0.1:{port}": 1 for port in holds})

    def until(self, ready):
        end = time.monotonic() + 10
        while not ready(self.ports()):
            assert time.monotonic() < end, f"{self.uid} holds {self.ports()}"
            self.read(0.05)
        return self

    def ports(self):
        lines = self.follower.available_servers()
        return {int(server.rpartition(":")[2]): weight for server, weight in lines.items()}

    def heard(self):
        return [decode_director_message(one.payload) for one in self.published]


def exact(daemon, *proxies):
    """Every proxy holds its table's newest version, by digest."""

    def check():
        rows = {row["table"]: row for row in status(daemon)["tables"]}
        for proxy in proxies:
            proxy.read(0.01)
        return all(rows[proxy.follower.table]["digest"] == proxy.follower.digest for proxy in proxies)

    until(check, "the exact table")


def test_snapshot_then_changes_and_acknowledgements_are_applied(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9009))
    whole = dict.fromkeys(range(9001, 9009), FULL)
    proxy = Proxy(daemon, "edge-1", 9001, 7777).until(lambda held: held == whole)
    first = proxy.heard()[-1]
    assert (
        isinstance(first, ProxyAssignment)
        and isinstance(first.table_update, TableSnapshot)
        and first.admissions[0].retry_policy == "never"
    )
    fleet.quiesce(9002)
    proxy.until(lambda held: 9002 not in held)
    last = proxy.heard()[-1]
    assert isinstance(last, TableDelta) and last.updated[0].weight == 0
    assert proxy.published[-1].topic == topics.table_topic(0)
    exact(daemon, proxy)
    until(lambda: daemon.core.engine.stepper.director.publisher.queue.waiting == 0, "every mark answered")


def test_both_fronts_serve_the_same_table_at_once(daemon):
    fleet = MemberEnd(daemon, 9001, 9002, 9003)
    over = {"mqtt": Proxy(daemon, "edge-1"), "sasp": ProxyEnd(daemon, "edge-2")}
    for proxy in over.values():
        proxy.until(lambda held: len(held) == 3)
    fleet.quiesce(9001)
    for proxy in over.values():
        proxy.until(lambda held: set(held) == {9002, 9003})
    assert {proxy["uid"]: proxy["table"] for proxy in status(daemon)["proxies"]} == {"edge-1": 0, "edge-2": 0}
    newer = ProxyEnd(daemon, "edge-1")  # the same proxy, over the other front: the newer connection counts
    newer.until(lambda held: set(held) == {9002, 9003})
    with pytest.raises(OSError):
        while True:
            over["mqtt"].read(5)


def test_a_proxy_that_was_away_goes_on_from_the_version_it_holds(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1").until(lambda held: len(held) == 10)
    held = proxy.follower
    proxy.close()
    until(lambda: not status(daemon)["proxies"])
    fleet.quiesce(9001)
    fleet.quiesce(9002)  # two changes missed
    again = Proxy(daemon, "edge-1", before=held).until(lambda held: len(held) == 8)
    assert all(not isinstance(getattr(one, "table_update", one), TableSnapshot) for one in again.heard())
    exact(daemon, again)


def test_who_shows_a_wrong_digest_or_an_old_epoch_gets_the_whole(daemon):
    MemberEnd(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1").until(lambda held: len(held) == 10)
    for change in ({"digest": "0" * 16}, {"epoch": "another"}):
        old = TableFollower(proxy.follower.weights)
        vars(old).update({**vars(proxy.follower), "weights": {"127.0.0.1:9001": 5}, **change})
        proxy.close()
        until(lambda: not status(daemon)["proxies"])
        proxy = Proxy(daemon, "edge-1", before=old).until(lambda held: len(held) == 10)
        assert any(isinstance(getattr(one, "table_update", one), TableSnapshot) for one in proxy.heard())
        exact(daemon, proxy)


def test_a_damaged_change_is_noticed_said_and_healed(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1").until(lambda held: len(held) == 10)
    take, damaged = proxy.apply_payload, []

    def damage(data):
        if isinstance(decode_director_message(data), TableDelta) and not damaged:
            damaged.append(data)
            data = data.replace(b'"weight"', b'"weihgt"').replace(b",0]", b",9]")
        take(data)

    proxy.apply_payload = damage
    fleet.quiesce(9003)
    proxy.until(lambda held: damaged and 9003 not in held and len(held) == 9)
    assert status(daemon)["subscribers"]["healed"] == 1
    exact(daemon, proxy)


def test_a_director_killed_between_snapshot_and_change_numbers_afresh_and_is_told_by_its_epoch():
    with started() as first:
        MemberEnd(first, *range(9001, 9006))
        proxy = Proxy(first, "edge-1").until(lambda held: len(held) == 5)
        held = proxy.follower
        assert held.version > 0
    with started() as second:
        MemberEnd(second, *range(9001, 9005))
        again = Proxy(second, "edge-1", before=held).until(lambda held: len(held) == 4)
        assert again.follower.epoch == status(second)["epoch"] != ""
        exact(second, again)


@pytest.mark.parametrize("daemon", [('mqtt: {ack_within: "400ms"}', {})], indirect=True)
def test_a_subscriber_that_acknowledges_nothing_holds_up_nobody_and_is_let_go(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9011))
    good, mute = Proxy(daemon, "edge-1"), Proxy(daemon, "edge-2")
    for proxy in (good, mute):
        proxy.until(lambda held: len(held) == 10)
    mute.acknowledges = False
    for port in range(9001, 9006):
        begin = time.monotonic()
        fleet.quiesce(port)
        good.until(lambda held, port=port: port not in held)
        assert time.monotonic() - begin < 1
    until(lambda: status(daemon)["streams"]["let_go"] == 1)
    assert [proxy["uid"] for proxy in status(daemon)["proxies"]] == ["edge-1"]


@pytest.mark.parametrize("daemon", [('mqtt: {ack_within: "300ms"}', {})], indirect=True)
def test_a_subscriber_that_stops_reading_in_a_deploy_of_a_third_comes_back_to_the_exact_table(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9031))
    proxies = [Proxy(daemon, f"edge-{number}").until(lambda held: len(held) == 30) for number in range(2)]
    for port in range(9001, 9011):  # edge-1 reads nothing of it
        fleet.quiesce(port)
        fleet.deregister(port)
        proxies[0].until(lambda held, port=port: port not in held)
    MemberEnd(daemon, *range(9001, 9011), label="boot=2;age=900")
    until(lambda: status(daemon)["streams"]["let_go"] == 1)
    held = proxies[1].follower
    with pytest.raises(OSError):
        while True:
            proxies[1].read(0.5)
    again = Proxy(daemon, "edge-1", before=held).until(lambda held: len(held) == 30)
    proxies[0].until(lambda held: len(held) == 30)
    exact(daemon, proxies[0], again)


def test_a_rollback_to_a_version_whose_servers_half_drained_while_others_are_lost(daemon):
    fleet, lost = MemberEnd(daemon, *range(9001, 9007)), MemberEnd(daemon, *range(9011, 9014))
    proxy = Proxy(daemon, "edge-1").until(lambda held: len(held) == 9)
    first = status(daemon)["tables"][0]["version"]
    for port in (9001, 9002, 9003):
        fleet.quiesce(port)
    MemberEnd(daemon, 9021, label="age=900")
    proxy.until(lambda held: 9021 in held and 9003 not in held)
    assert tables(daemon, "rollback", "0", "--to", str(first), "--who", "staff", "--why", "x")[0] == 0
    lost.deregister(9011, 9012, 9013)  # their zone goes while the table is pinned
    proxy.until(lambda held: set(held) == {9004, 9005, 9006})
    for port in (9004, 9005, 9006):
        fleet.quiesce(port)
    proxy.until(lambda held: set(held) == {9021})  # nothing open is left of the pin: the ordinary table
    assert json.loads(tables(daemon, "list", "--json")[1])[0]["pinned"]["idle"]
    exact(daemon, proxy)


def test_receive_maximum_is_kept_and_what_waits_is_one_message(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1", receive_maximum=1)
    proxy.until(lambda held: len(held) == 10)
    proxy.acknowledges = False
    fleet.quiesce(9001)
    proxy.until(lambda held: 9001 not in held)
    number, many = proxy.published[-1].packet_id, len(proxy.published)
    for port in (9002, 9003, 9004):
        fleet.quiesce(port)
    until(lambda: status(daemon)["channel"]["blocked"] == 1)
    proxy.read(0.2)
    assert len(proxy.published) == many
    proxy.acknowledges = True
    proxy.write(codec.Puback(number))
    proxy.until(lambda held: len(held) == 6)
    assert len(proxy.published) == many + 1, "one message with the newest state"


@pytest.mark.parametrize("daemon", [("mqtt: {says_per_s: 5}", {})], indirect=True)
def test_a_publisher_that_floods_is_ended_and_nobody_else(daemon):
    MemberEnd(daemon, 9001)
    quiet, loud = Proxy(daemon, "edge-1").until(lambda held: held), Proxy(daemon, "edge-2")
    now = time.time_ns()
    with pytest.raises(OSError):
        for step in range(1000):
            loud.publish("report", LoadReport(now + step, now + step + 1))
    assert status(daemon)["subscribers"]["floods"] == 1
    quiet.until(lambda held: held)


def test_reports_over_this_front_are_evidence_and_late_ones_are_not(daemon):
    MemberEnd(daemon, 9001)
    proxy, now = Proxy(daemon, "edge-1"), time.time_ns()
    until(lambda: status(daemon)["phase"] == "deciding")
    rows = {
        "attempts": (payloads.ServerAttempts("127.0.0.1:9001", "answered", 3, 0.2),),
        "requests": (payloads.RouteRequests("lookup", "answered", 3),),
    }
    for end, verdict in ((now, "fresh"), (now, "doubled"), (now - 20 * S, "late")):
        assert proxy.publish("report", LoadReport(end - S, end, **rows)) == codec.ReasonCode.SUCCESS
        assert status(daemon)["reports"][verdict] == 2
    assert (
        proxy.publish(
            "report",
            LoadReport(now, now + 1, attempts=(payloads.ServerAttempts("x:99999", "answered", 1, 0.1),)),
        )
        == codec.ReasonCode.PAYLOAD_FORMAT_INVALID
    )


@pytest.mark.parametrize(
    "what, data, code",
    [
        ("report", b"{", codec.ReasonCode.PAYLOAD_FORMAT_INVALID),
        ("trouble", payloads.encode(LoadReport(1, 2)), codec.ReasonCode.PAYLOAD_FORMAT_INVALID),
        ("orders", b"", codec.ReasonCode.NOT_AUTHORIZED),
        ("../edge-2/report", b"", codec.ReasonCode.NOT_AUTHORIZED),
    ],
)
def test_what_a_client_may_not_say_is_refused_and_the_connection_goes_on(daemon, what, data, code):
    MemberEnd(daemon, 9001)
    proxy = Proxy(daemon, "edge-1")
    assert proxy.publish(what, data) == code
    proxy.until(lambda held: held == {9001: FULL})


def test_presence_needs_orders_of_qos_1(daemon):
    client = MqttProxy(daemon.mqtt, "edge-1")
    client.subscribe(topics.assignment_topic("edge-1"), qos=0)
    assert client.publish("presence", Presence("here")) == codec.ReasonCode.NOT_AUTHORIZED
    assert client.publish("trouble", SyncFault("gap")) == codec.ReasonCode.NOT_AUTHORIZED
    client.subscribe(topics.assignment_topic("edge-1"))
    assert client.publish("presence", Presence("here")) == codec.ReasonCode.SUCCESS
    assert client.publish("presence", Presence("gone")) == codec.ReasonCode.SUCCESS
    until(lambda: not status(daemon)["proxies"])
    client.close()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x10\xff\xff\xff\x7f",
        b"\x82\x06\0\1\0\1a\0",
        codec.encode_packet(codec.Connect("bad/name")),
    ],
)
def test_what_is_not_mqtt_ends_that_connection_alone(daemon, data):
    MemberEnd(daemon, 9001)
    with socket.create_connection(daemon.mqtt) as sock:
        sock.settimeout(5)
        sock.sendall(data)
        while sock.recv(4096):
            pass
    Proxy(daemon, "edge-1").until(lambda held: held == {9001: FULL})


def test_an_unmodified_client_reads_a_table_follows_it_and_acknowledges(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9009))
    Proxy(daemon, "edge-1").until(lambda held: len(held) == 8)
    follower, news = TableFollower(), threading.Condition()
    seen = []

    def heard(client, _, message):
        with news:
            one = decode_director_message(message.payload)
            follower.epoch, follower.table = one.epoch, one.table
            assert follower.apply(one) is None
            seen.append((type(one).__name__, message.qos, message.retain))
            news.notify_all()

    client = paho.Client(CallbackAPIVersion.VERSION2, "observer", protocol=paho.MQTTv5)
    client.on_message = heard
    client.on_connect = lambda client, *_: client.subscribe("rainpick/v1/table/+", 1)
    client.connect(*daemon.mqtt)
    client.loop_start()
    try:
        with news:
            assert news.wait_for(lambda: len(follower.weights) == 8, 10)
        fleet.quiesce(9004)
        with news:
            assert news.wait_for(lambda: len(follower.available_servers()) == 7, 10)
        assert seen[0] == ("TableSnapshot", 1, True) and seen[1][:2] == ("TableDelta", 1)
        table = status(daemon)["tables"][0]
        until(lambda: follower.digest == status(daemon)["tables"][0]["digest"])
        assert status(daemon)["subscribers"]["observers"] == 1 and table["proxies"] == 1
    finally:
        client.disconnect()
        client.loop_stop()


def test_the_same_client_twice_the_newer_counts(daemon):
    MemberEnd(daemon, 9001)
    old = Proxy(daemon, "edge-1").until(lambda held: held)
    new = Proxy(daemon, "edge-1").until(lambda held: held)
    with pytest.raises(OSError, match="0x8e|closed"):
        while True:
            old.read(5)
    exact(daemon, new)


def tables(daemon, *words):
    found = CliRunner().invoke(main, ["tables", *words, "--at", "%s:%d" % daemon.status])
    return found.exit_code, found.stdout


def test_staff_roll_back_pin_and_release_and_say_who_and_why(daemon):
    fleet = MemberEnd(daemon, *range(9001, 9007))
    proxy, sasp = Proxy(daemon, "edge-1"), ProxyEnd(daemon, "edge-2")
    proxy.until(lambda held: len(held) == 6)
    first = status(daemon)["tables"][0]["version"]
    fleet.quiesce(9001)
    MemberEnd(daemon, 9009, label="age=500")
    proxy.until(lambda held: 9001 not in held and 9009 in held)
    code, text = tables(daemon, "list", "--json")
    assert code == 0 and json.loads(text)[0]["pinned"] is None
    code, text = tables(daemon, "rollback", "0", "--to", str(first), "--who", "staff", "--why", "9009 is odd")
    assert code == 0
    for one in (proxy, sasp):
        one.until(lambda held: set(held) == {9002, 9003, 9004, 9005, 9006})  # less what drained since
    fleet.quiesce(9002)  # it drains while the table is pinned
    for one in (proxy, sasp):
        one.until(lambda held: set(held) == {9003, 9004, 9005, 9006})
    row = json.loads(tables(daemon, "list", "--json")[1])[0]
    assert row["pinned"]["who"] == "staff" and row["version"] > first
    assert tables(daemon, "release", "0", "--who", "staff", "--why", "it is well")[0] == 0
    proxy.until(lambda held: 9009 in held)
    assert tables(daemon, "release", "0", "--who", "staff", "--why", "again")[0] == 1
    assert tables(daemon, "rollback", "0", "--to", "999", "--who", "staff", "--why", "x")[0] == 1
    assert tables(daemon, "pin", "7", "--who", "staff", "--why", "x")[0] == 1
    code, text = tables(daemon, "diff", "0", str(first), str(row["version"]))
    assert code == 0 and "9001" in text
    code, text = tables(daemon, "show", "0", "--json")
    assert "127.0.0.1:9009" in json.loads(text)["lines"]
    exact(daemon, proxy)
