"""The MQTT frontend on loopback: proxies, observers, an unmodified client, and faults of each."""

import json
import socket
import threading
import time

import pytest
from click.testing import CliRunner
from paho.mqtt import client as paho
from paho.mqtt.enums import CallbackAPIVersion

from rainpick import model
from rainpick.cli import main
from rainpick.decisions.director import Director
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
from tests.loopback.harness import KEPT_STREAMS, MemberClient, ProxyClient, fetch_status, running_director
from tests.waiting import wait_until

FULL = 4096
SECOND_NS = 1_000_000_000


@pytest.fixture
def daemon(request):
    sections, daemon_options = getattr(request, "param", ("", {}))
    with running_with_mqtt(sections, **daemon_options) as daemon:
        yield daemon


def running_with_mqtt(sections="", **daemon_options):
    return running_director(sections, mqtt=True, **daemon_options)


class Proxy(MqttProxy):
    """A proxy that joins with a default table, or with the table of an earlier connection."""

    def __init__(self, daemon, uid, *default_ports, previous=None, **client_options):
        super().__init__(daemon.mqtt, uid, **client_options)
        KEPT_STREAMS.append(self)
        self.join(previous, {f"127.0.0.1:{port}": 1 for port in default_ports})

    def until(self, condition):
        end = time.monotonic() + 10
        while not condition(self.weights_by_port()):
            assert time.monotonic() < end, f"{self.uid}: timed out, holds {self.weights_by_port()}"
            self.read(0.05)
        return self

    def weights_by_port(self):
        servers = self.follower.available_servers()
        return {int(server.rpartition(":")[2]): weight for server, weight in servers.items()}

    def received_messages(self):
        return [decode_director_message(packet.payload) for packet in self.published]


def wait_for_exact_tables(daemon, *proxies):
    """Wait until every proxy holds the newest version of its table, compared by digest."""

    def digests_match():
        rows = {row["table"]: row for row in fetch_status(daemon)["tables"]}
        for proxy in proxies:
            proxy.read(0.01)
        return all(rows[proxy.follower.table]["digest"] == proxy.follower.digest for proxy in proxies)

    wait_until(digests_match, "the exact table")


def test_a_proxy_applies_a_snapshot_and_deltas_and_acknowledges_them(daemon):
    fleet = MemberClient(daemon, *range(9001, 9009))
    full_table = dict.fromkeys(range(9001, 9009), FULL)
    proxy = Proxy(daemon, "edge-1", 9001, 7777).until(lambda weights: weights == full_table)
    first = proxy.received_messages()[-1]
    assert (
        isinstance(first, ProxyAssignment)
        and isinstance(first.table_update, TableSnapshot)
        and first.admissions[0].retry_policy == "never"
    )
    fleet.quiesce(9002)
    proxy.until(lambda weights: 9002 not in weights)
    last = proxy.received_messages()[-1]
    assert isinstance(last, TableDelta) and last.updated[0].weight == 0
    assert proxy.published[-1].topic == topics.table_topic(0)
    wait_for_exact_tables(daemon, proxy)
    wait_until(
        lambda: daemon.event_loop.engine.stepper.director.publisher.queue.waiting == 0, "all acknowledgements"
    )


def test_both_frontends_serve_the_same_table_at_once(daemon):
    fleet = MemberClient(daemon, 9001, 9002, 9003)
    proxies = {"mqtt": Proxy(daemon, "edge-1"), "sasp": ProxyClient(daemon, "edge-2")}
    for proxy in proxies.values():
        proxy.until(lambda weights: len(weights) == 3)
    fleet.quiesce(9001)
    for proxy in proxies.values():
        proxy.until(lambda weights: set(weights) == {9002, 9003})
    assert {proxy["uid"]: proxy["table"] for proxy in fetch_status(daemon)["proxies"]} == {
        "edge-1": 0,
        "edge-2": 0,
    }
    newer = ProxyClient(daemon, "edge-1")  # replaces the proxy's connection over MQTT
    newer.until(lambda weights: set(weights) == {9002, 9003})
    with pytest.raises(OSError):
        while True:
            proxies["mqtt"].read(5)


def test_a_reconnecting_proxy_gets_only_the_deltas_since_its_version(daemon):
    fleet = MemberClient(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1").until(lambda weights: len(weights) == 10)
    previous = proxy.follower
    proxy.close()
    wait_until(lambda: not fetch_status(daemon)["proxies"])
    fleet.quiesce(9001)
    fleet.quiesce(9002)  # the second change that the disconnected proxy misses
    rejoined = Proxy(daemon, "edge-1", previous=previous).until(lambda weights: len(weights) == 8)
    assert all(
        not isinstance(getattr(message, "table_update", message), TableSnapshot)
        for message in rejoined.received_messages()
    )
    wait_for_exact_tables(daemon, rejoined)


def test_a_proxy_with_a_wrong_digest_or_an_old_epoch_gets_a_snapshot(daemon):
    MemberClient(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1").until(lambda weights: len(weights) == 10)
    for change in ({"digest": "0" * 16}, {"epoch": "another"}):
        outdated = TableFollower(proxy.follower.weights)
        vars(outdated).update({**vars(proxy.follower), "weights": {"127.0.0.1:9001": 5}, **change})
        proxy.close()
        wait_until(lambda: not fetch_status(daemon)["proxies"])
        proxy = Proxy(daemon, "edge-1", previous=outdated).until(lambda weights: len(weights) == 10)
        assert any(
            isinstance(getattr(message, "table_update", message), TableSnapshot)
            for message in proxy.received_messages()
        )
        wait_for_exact_tables(daemon, proxy)


def test_a_proxy_reports_a_damaged_delta_and_gets_the_exact_table(daemon):
    fleet = MemberClient(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1").until(lambda weights: len(weights) == 10)
    apply_payload, damaged = proxy.apply_payload, []

    def damage(data):
        if isinstance(decode_director_message(data), TableDelta) and not damaged:
            damaged.append(data)
            data = data.replace(b'"weight"', b'"weihgt"').replace(b",0]", b",9]")
        apply_payload(data)

    proxy.apply_payload = damage
    fleet.quiesce(9003)
    proxy.until(lambda weights: damaged and 9003 not in weights and len(weights) == 9)
    assert fetch_status(daemon)["subscribers"]["healed"] == 1
    wait_for_exact_tables(daemon, proxy)


def test_a_restarted_director_has_a_new_epoch_and_replaces_the_tables_of_the_earlier_one():
    with running_with_mqtt() as first:
        MemberClient(first, *range(9001, 9006))
        proxy = Proxy(first, "edge-1").until(lambda weights: len(weights) == 5)
        previous = proxy.follower
        assert previous.version > 0
    with running_with_mqtt() as second:
        MemberClient(second, *range(9001, 9005))
        rejoined = Proxy(second, "edge-1", previous=previous).until(lambda weights: len(weights) == 4)
        assert rejoined.follower.epoch == fetch_status(second)["epoch"] != ""
        wait_for_exact_tables(second, rejoined)


@pytest.mark.parametrize("daemon", [('mqtt: {ack_within: "400ms"}', {})], indirect=True)
def test_a_subscriber_without_acknowledgements_delays_no_other_and_is_disconnected(daemon):
    fleet = MemberClient(daemon, *range(9001, 9011))
    healthy, silent = Proxy(daemon, "edge-1"), Proxy(daemon, "edge-2")
    for proxy in (healthy, silent):
        proxy.until(lambda weights: len(weights) == 10)
    silent.acknowledges = False
    for port in range(9001, 9006):
        begin = time.monotonic()
        fleet.quiesce(port)
        healthy.until(lambda weights, port=port: port not in weights)
        assert time.monotonic() - begin < 1
    wait_until(lambda: fetch_status(daemon)["streams"]["let_go"] == 1)
    assert [proxy["uid"] for proxy in fetch_status(daemon)["proxies"]] == ["edge-1"]


@pytest.mark.parametrize("daemon", [('mqtt: {ack_within: "300ms"}', {})], indirect=True)
def test_a_subscriber_that_stops_reading_during_a_deploy_gets_the_exact_table_on_reconnection(daemon):
    fleet = MemberClient(daemon, *range(9001, 9031))
    proxies = [
        Proxy(daemon, f"edge-{number}").until(lambda weights: len(weights) == 30) for number in range(2)
    ]
    for port in range(9001, 9011):  # edge-1 reads none of these changes
        fleet.quiesce(port)
        fleet.deregister(port)
        proxies[0].until(lambda weights, port=port: port not in weights)
    MemberClient(daemon, *range(9001, 9011), label="boot=2;age=900")
    wait_until(lambda: fetch_status(daemon)["streams"]["let_go"] == 1)
    previous = proxies[1].follower
    with pytest.raises(OSError):
        while True:
            proxies[1].read(0.5)
    rejoined = Proxy(daemon, "edge-1", previous=previous).until(lambda weights: len(weights) == 30)
    proxies[0].until(lambda weights: len(weights) == 30)
    wait_for_exact_tables(daemon, proxies[0], rejoined)


def test_a_rollback_does_not_restore_draining_or_lost_servers_and_ends_without_an_available_one(daemon):
    fleet, lost = MemberClient(daemon, *range(9001, 9007)), MemberClient(daemon, *range(9011, 9014))
    proxy = Proxy(daemon, "edge-1").until(lambda weights: len(weights) == 9)
    first = fetch_status(daemon)["tables"][0]["version"]
    for port in (9001, 9002, 9003):
        fleet.quiesce(port)
    MemberClient(daemon, 9021, label="age=900")
    proxy.until(lambda weights: 9021 in weights and 9003 not in weights)
    assert run_tables(daemon, "rollback", "0", "--to", str(first), "--who", "staff", "--why", "x")[0] == 0
    lost.deregister(9011, 9012, 9013)  # lost while the table is pinned
    proxy.until(lambda weights: set(weights) == {9004, 9005, 9006})
    for port in (9004, 9005, 9006):
        fleet.quiesce(port)
    # The pinned version has no available server left, so the ordinary table applies.
    proxy.until(lambda weights: set(weights) == {9021})
    assert json.loads(run_tables(daemon, "list", "--json")[1])[0]["pinned"]["idle"]
    wait_for_exact_tables(daemon, proxy)


class RemovingDirector(Director):
    """Removes servers from tables in place of withdrawing them, as if the withdrawals were deferred."""

    def step(self, now, events):
        commands = []
        for command in super().step(now, events):
            if isinstance(command, model.SetWithdrawn) and command.withdrawn:
                numbers = [table.number for table in self.fleet.tables]
                commands += [model.SetWeight(number, command.server, 0.0) for number in numbers]
            else:
                commands.append(command)
        return commands


def test_a_server_that_drains_leaves_a_pinned_table_however_it_is_removed():
    """Guards against a pin that keeps a server open: it was removed from its tables, but never withdrawn."""
    with running_with_mqtt(director_factory=RemovingDirector) as daemon:
        fleet = MemberClient(daemon, *range(9001, 9005))
        proxy = Proxy(daemon, "edge-1").until(lambda weights: len(weights) == 4)
        assert run_tables(daemon, "pin", "0", "--who", "staff", "--why", "x")[0] == 0
        for port in (9001, 9002):
            fleet.quiesce(port)
        proxy.until(lambda weights: set(weights) == {9003, 9004})
        fleet.quiesce(9002, on=False)
        proxy.until(lambda weights: 9002 in weights)


def test_receive_maximum_is_respected_and_waiting_changes_are_sent_as_one_message(daemon):
    fleet = MemberClient(daemon, *range(9001, 9011))
    proxy = Proxy(daemon, "edge-1", receive_maximum=1)
    proxy.until(lambda weights: len(weights) == 10)
    proxy.acknowledges = False
    fleet.quiesce(9001)
    proxy.until(lambda weights: 9001 not in weights)
    packet_id, count = proxy.published[-1].packet_id, len(proxy.published)
    for port in (9002, 9003, 9004):
        fleet.quiesce(port)
    wait_until(lambda: fetch_status(daemon)["channel"]["blocked"] == 1)
    proxy.read(0.2)
    assert len(proxy.published) == count
    proxy.acknowledges = True
    proxy.write(codec.Puback(packet_id))
    proxy.until(lambda weights: len(weights) == 6)
    assert len(proxy.published) == count + 1, "one message with the newest state"


@pytest.mark.parametrize("daemon", [("mqtt: {says_per_s: 5}", {})], indirect=True)
def test_a_client_that_exceeds_the_publish_rate_is_disconnected_and_no_other(daemon):
    MemberClient(daemon, 9001)
    quiet, flooding = Proxy(daemon, "edge-1").until(lambda weights: weights), Proxy(daemon, "edge-2")
    now = time.time_ns()
    with pytest.raises(OSError):
        for step in range(1000):
            flooding.publish("report", LoadReport(now + step, now + step + 1))
    assert fetch_status(daemon)["subscribers"]["floods"] == 1
    quiet.until(lambda weights: weights)


def test_fresh_reports_over_mqtt_count_and_doubled_or_late_ones_do_not(daemon):
    MemberClient(daemon, 9001)
    proxy, now = Proxy(daemon, "edge-1"), time.time_ns()
    wait_until(lambda: fetch_status(daemon)["phase"] == "deciding")
    counts = {
        "attempts": (payloads.ServerAttempts("127.0.0.1:9001", "answered", 3, 0.2),),
        "requests": (payloads.RouteRequests("lookup", "answered", 3),),
    }
    for end, verdict in ((now, "fresh"), (now, "doubled"), (now - 20 * SECOND_NS, "late")):
        assert proxy.publish("report", LoadReport(end - SECOND_NS, end, **counts)) == codec.ReasonCode.SUCCESS
        assert fetch_status(daemon)["reports"][verdict] == 2
    assert (
        proxy.publish(
            "report",
            LoadReport(now, now + 1, attempts=(payloads.ServerAttempts("x:99999", "answered", 1, 0.1),)),
        )
        == codec.ReasonCode.PAYLOAD_FORMAT_INVALID
    )


@pytest.mark.parametrize(
    "name, data, code",
    [
        ("report", b"{", codec.ReasonCode.PAYLOAD_FORMAT_INVALID),
        ("trouble", payloads.encode(LoadReport(1, 2)), codec.ReasonCode.PAYLOAD_FORMAT_INVALID),
        ("orders", b"", codec.ReasonCode.NOT_AUTHORIZED),
        ("../edge-2/report", b"", codec.ReasonCode.NOT_AUTHORIZED),
    ],
)
def test_a_forbidden_or_malformed_message_is_rejected_and_the_connection_stays_open(daemon, name, data, code):
    MemberClient(daemon, 9001)
    proxy = Proxy(daemon, "edge-1")
    assert proxy.publish(name, data) == code
    proxy.until(lambda weights: weights == {9001: FULL})


def test_presence_requires_a_subscription_to_the_assignment_topic_with_qos_1(daemon):
    client = MqttProxy(daemon.mqtt, "edge-1")
    client.subscribe(topics.assignment_topic("edge-1"), qos=0)
    assert client.publish("presence", Presence("here")) == codec.ReasonCode.NOT_AUTHORIZED
    assert client.publish("trouble", SyncFault("gap")) == codec.ReasonCode.NOT_AUTHORIZED
    client.subscribe(topics.assignment_topic("edge-1"))
    assert client.publish("presence", Presence("here")) == codec.ReasonCode.SUCCESS
    assert client.publish("presence", Presence("gone")) == codec.ReasonCode.SUCCESS
    wait_until(lambda: not fetch_status(daemon)["proxies"])
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
def test_invalid_mqtt_data_closes_only_its_connection(daemon, data):
    MemberClient(daemon, 9001)
    with socket.create_connection(daemon.mqtt) as sock:
        sock.settimeout(5)
        sock.sendall(data)
        while sock.recv(4096):
            pass
    Proxy(daemon, "edge-1").until(lambda weights: weights == {9001: FULL})


def test_an_unmodified_client_follows_a_table_and_acknowledges_it(daemon):
    fleet = MemberClient(daemon, *range(9001, 9009))
    Proxy(daemon, "edge-1").until(lambda weights: len(weights) == 8)
    follower, updated = TableFollower(), threading.Condition()
    received = []

    def apply(client, _, packet):
        with updated:
            message = decode_director_message(packet.payload)
            follower.epoch, follower.table = message.epoch, message.table
            assert follower.apply(message) is None
            received.append((type(message).__name__, packet.qos, packet.retain))
            updated.notify_all()

    client = paho.Client(CallbackAPIVersion.VERSION2, "observer", protocol=paho.MQTTv5)
    client.on_message = apply
    client.on_connect = lambda client, *_: client.subscribe("rainpick/v1/table/+", 1)
    client.connect(*daemon.mqtt)
    client.loop_start()
    try:
        with updated:
            assert updated.wait_for(lambda: len(follower.weights) == 8, 10)
        fleet.quiesce(9004)
        with updated:
            assert updated.wait_for(lambda: len(follower.available_servers()) == 7, 10)
        assert received[0] == ("TableSnapshot", 1, True) and received[1][:2] == ("TableDelta", 1)
        table = fetch_status(daemon)["tables"][0]
        wait_until(lambda: follower.digest == fetch_status(daemon)["tables"][0]["digest"])
        assert fetch_status(daemon)["subscribers"]["observers"] == 1 and table["proxies"] == 1
    finally:
        client.disconnect()
        client.loop_stop()


def test_a_newer_connection_of_the_same_client_replaces_the_older(daemon):
    MemberClient(daemon, 9001)
    old = Proxy(daemon, "edge-1").until(lambda weights: weights)
    new = Proxy(daemon, "edge-1").until(lambda weights: weights)
    with pytest.raises(OSError, match="0x8e|closed"):
        while True:
            old.read(5)
    wait_for_exact_tables(daemon, new)


def run_tables(daemon, *arguments):
    """Run ``rainpick tables`` against a director; return the exit code and the output."""
    result = CliRunner().invoke(main, ["tables", *arguments, "--at", "%s:%d" % daemon.status])
    return result.exit_code, result.stdout


def test_operators_roll_back_and_release_a_table_with_their_name_and_reason(daemon):
    fleet = MemberClient(daemon, *range(9001, 9007))
    proxy, sasp = Proxy(daemon, "edge-1"), ProxyClient(daemon, "edge-2")
    proxy.until(lambda weights: len(weights) == 6)
    first = fetch_status(daemon)["tables"][0]["version"]
    fleet.quiesce(9001)
    MemberClient(daemon, 9009, label="age=500")
    proxy.until(lambda weights: 9001 not in weights and 9009 in weights)
    code, text = run_tables(daemon, "list", "--json")
    assert code == 0 and json.loads(text)[0]["pinned"] is None
    code, text = run_tables(
        daemon, "rollback", "0", "--to", str(first), "--who", "staff", "--why", "9009 is odd"
    )
    assert code == 0
    for client in (proxy, sasp):
        # Server 9001 has drained since that version, so the rollback does not restore it.
        client.until(lambda weights: set(weights) == {9002, 9003, 9004, 9005, 9006})
    fleet.quiesce(9002)  # drains while the table is pinned
    for client in (proxy, sasp):
        client.until(lambda weights: set(weights) == {9003, 9004, 9005, 9006})
    row = json.loads(run_tables(daemon, "list", "--json")[1])[0]
    assert row["pinned"]["who"] == "staff" and row["version"] > first
    assert run_tables(daemon, "release", "0", "--who", "staff", "--why", "it is well")[0] == 0
    proxy.until(lambda weights: 9009 in weights)
    assert run_tables(daemon, "release", "0", "--who", "staff", "--why", "again")[0] == 1
    assert run_tables(daemon, "rollback", "0", "--to", "999", "--who", "staff", "--why", "x")[0] == 1
    assert run_tables(daemon, "pin", "7", "--who", "staff", "--why", "x")[0] == 1
    code, text = run_tables(daemon, "diff", "0", str(first), str(row["version"]))
    assert code == 0 and "9001" in text
    code, text = run_tables(daemon, "show", "0", "--json")
    assert "127.0.0.1:9009" in json.loads(text)["lines"]
    wait_for_exact_tables(daemon, proxy)
