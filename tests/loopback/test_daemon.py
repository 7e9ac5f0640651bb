"""The director on loopback sockets: broken streams, peers that do not read, members that change."""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest

from rainpick.director.channel import PACE_TOLERANCE_US
from rainpick.sasp.constants import (
    CONTACT,
    HEADER_TYPE,
    NO_CHANGE,
    PUSH,
    QUIESCE,
    TRUST,
    MessageType,
    ReturnCode,
)
from rainpick.sasp.encoding import encode_message
from rainpick.sasp.messages import (
    Deregistration,
    GetWeights,
    Group,
    MemberGroup,
    MemberState,
    Registration,
    SendWeights,
    SetLbState,
    SetMemberState,
    StateGroup,
)
from rainpick.sasp.wire import MESSAGE_HEADER
from rainpick.settings import SettingsError
from rainpick.simulated_peers.ports import free_ports
from rainpick.simulated_peers.sasp_client import SaspClient
from tests.loopback.harness import FLEET, MemberClient, ProxyClient, fetch_status, members, running_director
from tests.waiting import wait_until

FULL = 4096  # weight 1 as a 16-bit weight, if the maximum weight is 16


def test_a_drain_and_its_end_reach_every_proxy():
    with running_director() as daemon:
        fleet = MemberClient(daemon, 9001, 9002, 9003)
        proxies = [ProxyClient(daemon, f"edge-{number}", 9001) for number in range(5)]
        for proxy in proxies:
            proxy.until(lambda weights: weights == {9001: FULL, 9002: FULL, 9003: FULL})
        assert fleet.quiesce(9002) == ReturnCode.SUCCESS
        for proxy in proxies:
            proxy.until(lambda weights: set(weights) == {9001, 9003})
            (entry,) = proxy.messages[-1].groups[0].entries
            assert entry.flags & QUIESCE and entry.flags & CONTACT
        assert fleet.quiesce(9002, on=False) == ReturnCode.SUCCESS
        proxies[0].until(lambda weights: weights.get(9002) == FULL // 4, "the first step of the slow start")


def test_without_the_no_change_flag_every_push_has_all_members():
    with running_director() as daemon:
        fleet = MemberClient(daemon, 9001, 9002)
        proxy = ProxyClient(daemon, "edge-1", flags=PUSH | TRUST)
        proxy.until(lambda weights: len(weights) == 2)
        fleet.quiesce(9001)
        proxy.until(lambda weights: len(weights) == 1)
        assert len(proxy.messages[-1].groups[0].entries) == 2


def test_pushes_with_all_members_keep_the_pace_of_the_channel():
    """Guards against counting only the changed lines of a push that has all members."""
    ports, lines_per_s, head_lines, count = range(9001, 9031), 100, 6, 4
    channel = f"channel: {{lines_per_s: {lines_per_s}, head_lines: {head_lines}, pending_lines: 5000}}"
    with running_director(channel) as daemon:
        fleet = MemberClient(daemon, *ports)
        proxies = [
            ProxyClient(daemon, f"edge-{number}", *ports, flags=PUSH | TRUST) for number in range(count)
        ]
        for proxy in proxies:
            proxy.until(lambda weights: set(weights) == set(ports) and set(weights.values()) == {FULL})
        begin_s = time.monotonic()
        fleet.quiesce(9001)
        for proxy in proxies:
            proxy.until(lambda weights: 9001 not in weights)
            assert len(proxy.messages[-1].groups[0].entries) == len(ports)
        lines = (count - 1) * (len(ports) + head_lines)  # the last push waits for all others
        assert time.monotonic() - begin_s >= lines / lines_per_s - PACE_TOLERANCE_US / 1e6


def test_a_polling_proxy_gets_the_poll_interval_and_only_changed_members():
    with running_director("sasp: {poll_interval_s: 2}") as daemon:
        fleet = MemberClient(daemon, 9001, 9002)
        proxy = ProxyClient(daemon, "edge-1", flags=TRUST | NO_CHANGE)
        wait_until(lambda: proxy.get_weights() and proxy.weights == {9001: FULL, 9002: FULL})
        fleet.quiesce(9002)
        reply = wait_until(lambda: (answer := proxy.get_weights()).groups[0].entries and answer)
        assert reply.interval == 2 and [entry.weight for entry in reply.groups[0].entries] == [0]
        assert proxy.weights == {9001: FULL}
        assert proxy.get_weights().groups[0].entries == ()


def test_a_load_balancer_without_the_trust_flag_is_rejected():
    with running_director() as daemon:
        client = SaspClient(daemon.sasp)
        assert client.request(SetLbState("edge-1", 0x7F, PUSH)).code == ReturnCode.NOT_ACCEPTED


@pytest.mark.parametrize(
    "request_, code",
    [
        (GetWeights((Group("edge-1", "servers"),)), ReturnCode.UNKNOWN_LB),
        (Registration((MemberGroup(Group("edge-1", "servers")),), True), ReturnCode.LB_NOT_SEEN),
        (Deregistration((MemberGroup(Group("edge-1", "servers")),), True), ReturnCode.LB_NOT_SEEN),
    ],
    ids=lambda value: type(value).__name__,
)
def test_requests_after_a_rejected_set_lb_state_are_rejected(request_, code):
    """Guards against the end of the director by a request of a proxy that was never accepted.

    The session counts the rejected Set LB State as sent, although the director has no such proxy.
    """
    with running_director() as daemon:
        client = SaspClient(daemon.sasp)
        assert client.request(SetLbState("edge-1", 0x7F, PUSH)).code == ReturnCode.NOT_ACCEPTED
        assert client.request(request_).code == code
        other = ProxyClient(daemon, "edge-2")
        assert other.get_weights().code == ReturnCode.SUCCESS, "other proxies are still served"


def reset_stream_within_a_push(daemon, proxy, fleet):
    """Reset the proxy's stream after a part of a Send Weights message has arrived."""
    fleet.quiesce(9002)
    proxy.sock.settimeout(10)
    received = proxy.sock.recv(20)
    assert len(received) == 20 and struct.unpack(">H", received[13:15]) == (MessageType.SEND_WEIGHTS,)
    proxy.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    proxy.sock.close()


def test_a_proxy_whose_stream_broke_within_a_push_gets_the_exact_table_on_reconnection():
    with running_director() as daemon:
        fleet = MemberClient(daemon, 9001, 9002, 9003)
        proxy = ProxyClient(daemon, "edge-1", 7777)
        proxy.until(lambda weights: len(weights) == 3)
        reset_stream_within_a_push(daemon, proxy, fleet)
        assert 9002 in proxy.weights, "the proxy keeps its weights"
        wait_until(lambda: not fetch_status(daemon)["proxies"])
        rejoined = ProxyClient(daemon, "edge-1", weights=proxy.weights)
        rejoined.until(lambda weights: weights == {9001: FULL, 9003: FULL}, "the exact table")


def test_a_proxy_keeps_its_weights_when_the_director_is_killed_within_a_push(tmp_path):
    """Guards against wrong weights after a restart of the director.

    SIGKILL ends the director during a slow start, when the proxy has read a part of a push. The restarted
    director must bring the proxy to the exact table.
    """
    ports = free_ports(3)
    config = tmp_path / "one.json5"
    config.write_text(
        json.dumps(
            {
                "director": {"settle": "100ms", "list_cache": str(tmp_path / "list.json")},
                "listen": dict(
                    zip(("sasp", "otlp", "status"), (f"127.0.0.1:{port}" for port in ports), strict=True)
                ),
                "routes": [{"name": "lookup", "slo_time": "500ms", "time_limit": "2s"}],
                "rules": {"warm_after": "8s"},
                "proxies": {"count": 1},
                "channel": {"lines_per_s": 1e6, "pending_lines": 100_000},
            }
        )
    )

    def start():
        command = [sys.executable, "-m", "rainpick", "run", "--config", str(config)]
        process = subprocess.Popen(command, stderr=open(tmp_path / "log", "ab"), start_new_session=True)  # noqa: SIM115

        def answers():
            try:
                return socket.create_connection(("127.0.0.1", ports[0]), 0.2)
            except OSError:
                return None

        wait_until(answers, "the director").close()
        return process

    class Addresses:
        """Replaces the daemon in the constructors of the clients."""

        sasp, status = ("127.0.0.1", ports[0]), ("127.0.0.1", ports[2])

    process = start()
    try:
        fleet = MemberClient(Addresses, 9001, 9002, 9003, label="age=100;boot=1")
        proxy = ProxyClient(Addresses, "edge-1", 9001)
        proxy.until(lambda weights: len(weights) == 3)
        cold = MemberClient(Addresses, 9004, label="age=0;boot=1")  # warming up at the kill
        proxy.until(lambda weights: 0 < weights.get(9004, 0) < FULL * 0.6)
        fleet.quiesce(9002)
        proxy.sock.settimeout(10)
        proxy.sock.recv(20)  # reads a part of the push
        process.send_signal(signal.SIGKILL)
        process.wait()
        weights = dict(proxy.weights)
        proxy.close()
        restart_s = time.monotonic()
        process = start()
        rejoined = ProxyClient(Addresses, "edge-1", weights=weights)
        MemberClient(Addresses, 9001, 9003, label="age=101;boot=1")
        MemberClient(Addresses, 9004, label="age=1;boot=1")
        rejoined.read()
        if time.monotonic() - restart_s < 2:  # the cold server is still warming up
            assert rejoined.weights.get(9004, 0) < FULL * 0.9
        rejoined.until(lambda weights: 9002 not in weights, "the drain from the cached list")
        rejoined.until(lambda weights: weights == {9001: FULL, 9003: FULL, 9004: FULL}, "the warm server")
        del cold
    finally:
        process.kill()
        process.wait()


def test_a_proxy_that_stops_reading_delays_no_other_proxy_and_is_disconnected():
    """Guards against a stalled proxy that delays drains to the others.

    Every push to the stalled proxy has all members, so its socket fills up.
    """
    sections = 'sasp: {write_stall: "400ms"}, channel: {lines_per_s: 1e6, pending_lines: 500000}'
    with running_director(sections) as daemon:
        fleet = MemberClient(daemon, *range(7000, 8500))
        others = [ProxyClient(daemon, f"edge-{number}") for number in range(3)]
        for proxy in others:
            proxy.until(lambda weights: len(weights) == 1500)
        stalled = ProxyClient(daemon, "edge-9", flags=PUSH | TRUST, receive_buffer_bytes=4096)
        longest_s = 0.0
        for port in range(7000, 7040):
            begin = time.monotonic()
            fleet.quiesce(port)
            for proxy in others:
                proxy.until(lambda weights, port=port: port not in weights)
            longest_s = max(longest_s, time.monotonic() - begin)
        assert longest_s < 0.5, longest_s
        wait_until(lambda: fetch_status(daemon)["streams"]["let_go"] == 1)
        state = fetch_status(daemon)
        assert [proxy["uid"] for proxy in state["proxies"]] == ["edge-0", "edge-1", "edge-2"]
        assert state["channel"]["messages"] == 0, "no message waits for the disconnected proxy"
        del stalled


def test_a_proxy_whose_regular_requests_stop_is_disconnected():
    with running_director('sasp: {read_proof: "300ms"}') as daemon:
        fleet = MemberClient(daemon, 9001, 9002)
        proxy = ProxyClient(daemon, "edge-1")
        for _ in range(3):
            proxy.request(SetLbState("edge-1"))
        proxy.until(lambda weights: len(weights) == 2)
        fleet.quiesce(9001)
        wait_until(lambda: fetch_status(daemon)["streams"]["let_go"] == 1)


def test_a_newer_stream_of_the_same_proxy_replaces_the_older():
    with running_director() as daemon:
        MemberClient(daemon, 9001)
        old = ProxyClient(daemon, "edge-1")
        old.until(lambda weights: weights)
        new = ProxyClient(daemon, "edge-1")
        new.until(lambda weights: weights == {9001: FULL})
        with pytest.raises(OSError):
            while True:
                old.read(5)
        assert len(fetch_status(daemon)["proxies"]) == 1


def test_a_member_registered_twice_is_rejected_on_one_stream_and_moves_to_another():
    with running_director('fleet: {member_grace: "150ms"}') as daemon:
        first = MemberClient(daemon, 9001, label="boot=1")
        assert first.register(9001, label="boot=1") == ReturnCode.ALREADY_REGISTERED
        second = MemberClient(daemon, 9001, label="boot=1")
        assert first.quiesce(9001) == ReturnCode.NOT_REGISTERED
        first.close()
        wait_until(lambda: fetch_status(daemon)["streams"]["open"] == 1)
        assert second.quiesce(9001, on=False) == ReturnCode.SUCCESS
        wait_until(lambda: [server["state"] for server in fetch_status(daemon)["servers"]] == ["ready"])


def test_a_member_that_registers_quiesces_and_deregisters_at_once_gets_no_weight():
    with running_director() as daemon:
        MemberClient(daemon, 9001)
        proxy = ProxyClient(daemon, "edge-1")
        proxy.until(lambda weights: weights == {9001: FULL})
        client = SaspClient(daemon.sasp)
        session, member = client.session, members(9005)
        client.sock.sendall(
            session.encode_request(Registration((MemberGroup(FLEET, member),)))
            + session.encode_request(SetMemberState((StateGroup(FLEET, (MemberState(member[0], 0, True),)),)))
            + session.encode_request(Deregistration((MemberGroup(FLEET, member),)))
        )
        MemberClient(daemon, 9006)
        proxy.until(lambda weights: 9006 in weights)
        assert 9005 not in proxy.weights
        assert all(
            entry.weight == 0
            for message in proxy.messages
            for group in message.groups
            for entry in group.entries
            if entry.member.port == 9005
        )


def test_a_server_with_a_broken_stream_is_removed_only_after_the_grace():
    with running_director('fleet: {member_grace: "400ms"}') as daemon:
        MemberClient(daemon, 9001)
        leaving = MemberClient(daemon, 9002)
        proxy = ProxyClient(daemon, "edge-1")
        proxy.until(lambda weights: len(weights) == 2)
        begin = time.monotonic()
        leaving.close()
        proxy.until(lambda weights: set(weights) == {9001})
        assert time.monotonic() - begin >= 0.4


@pytest.mark.parametrize(
    "data, reply",
    [
        (b"GET / HTTP/1.1\r\n\r\n", b""),
        (MESSAGE_HEADER.pack(HEADER_TYPE, 13, 2, 20, 7) + bytes(7), b"\x10"),
        (MESSAGE_HEADER.pack(HEADER_TYPE, 13, 1, 1 << 30, 7), b"\x10"),
        (encode_message(SendWeights(()), 7), b""),
    ],
    ids=["not SASP", "version", "oversized", "wrong direction"],
)
def test_invalid_sasp_data_closes_only_its_stream(data, reply):
    with running_director() as daemon:
        fleet = MemberClient(daemon, 9001)
        sock = socket.create_connection(daemon.sasp)
        sock.settimeout(5)
        sock.sendall(data)
        response = b""
        while piece := sock.recv(4096):
            response += piece
        assert response[-1:] == reply
        assert fleet.quiesce(9001) == ReturnCode.SUCCESS


def test_streams_without_a_first_message_are_closed_and_their_number_is_bounded():
    with running_director('sasp: {hello: "200ms", streams_most: 2}') as daemon:
        first, second, third = (socket.create_connection(daemon.sasp) for _ in range(3))
        third.settimeout(5)
        assert third.recv(1) == b""
        for sock in (first, second):
            sock.settimeout(5)
            assert sock.recv(1) == b""
        MemberClient(daemon, 9001)


def test_all_proxies_get_their_exact_tables_again_after_all_streams_broke_at_once():
    with running_director() as daemon:
        MemberClient(daemon, *range(9000, 9012))
        proxies = [ProxyClient(daemon, f"edge-{number}") for number in range(12)]
        tables = [dict(proxy.until(lambda weights: weights)) for proxy in proxies]
        for proxy in proxies:
            proxy.close()
        rejoined = [ProxyClient(daemon, proxy.uid, weights=proxy.weights) for proxy in proxies]
        for proxy, table in zip(rejoined, tables, strict=True):
            proxy.until(lambda weights, table=table: weights == table)
        wait_until(lambda: sum(proxy["table"] is not None for proxy in fetch_status(daemon)["proxies"]) == 12)


def test_a_list_file_adds_servers_and_an_invalid_one_is_rejected_as_a_whole(tmp_path):
    path = tmp_path / "list.json5"
    path.write_text(
        '{servers: [{address: "127.0.0.1:9501"}, {address: "127.0.0.1:9502", pod: 1, state: "draining"}]}'
    )
    with running_director(f'fleet: {{list_file: "{path}"}}') as daemon:
        proxy = ProxyClient(daemon, "edge-1")
        proxy.until(lambda weights: weights == {9501: FULL})
        path.write_text('{servers: [{address: "127.0.0.1:9501", state: "draining"}, {address: "nowhere"}]}')
        daemon.read_list_file()
        path.write_text('{servers: [{address: "127.0.0.1:9501"}, {address: "127.0.0.1:9502"}]} // mended')
        daemon.read_list_file()
        proxy.until(lambda weights: 9502 in weights)
        assert never_withdrawn(proxy, 9501)


def never_withdrawn(proxy, port):
    return not any(
        entry.weight == 0
        for message in proxy.messages
        for group in message.groups
        for entry in group.entries
        if entry.member.port == port
    )


def test_an_invalid_list_file_makes_the_start_fail(tmp_path):
    path = tmp_path / "list.json5"
    path.write_text("{servers: [{}]}")
    sections = f'fleet: {{list_file: "{path}"}}'
    with pytest.raises(SettingsError, match=r"servers\.0\.address"), running_director(sections):
        pass


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        '{"format": 9, "servers": []}',
        '{"format": 1, "servers": [["h"]]}',
        '{"format": 1, "servers": [["h", 1, 1, "q", "any", 0, 0, false]]}',
    ],
)
def test_a_damaged_cached_list_is_ignored(tmp_path, text):
    path = tmp_path / "cache.json"
    path.write_text(text)
    with running_director(director=f', list_cache: "{path}"') as daemon:
        MemberClient(daemon, 9001)
        ProxyClient(daemon, "edge-1").until(lambda weights: weights == {9001: FULL})


def test_the_endpoint_list_is_cached_for_the_next_start(tmp_path):
    path = tmp_path / "cache.json"
    with running_director(director=f', list_cache: "{path}"') as daemon:
        fleet = MemberClient(daemon, 9001, 9002, label="age=50;boot=1")
        ProxyClient(daemon, "edge-1").until(lambda weights: len(weights) == 2)
        fleet.quiesce(9002)
        wait_until(lambda: path.exists() and json.loads(path.read_text())["servers"][1][-1] is True)
    assert not os.path.exists(f"{path}.new")
    with running_director(director=f', list_cache: "{path}"') as daemon:
        proxy = ProxyClient(daemon, "edge-1", 9002)
        proxy.until(lambda weights: weights == {9001: FULL})
        wait_until(
            lambda: {server["state"] for server in fetch_status(daemon)["servers"]} == {"ready", "draining"}
        )


def test_an_exception_in_the_decision_module_ends_the_director():
    class Raising:
        def step(self, now, events):
            raise RuntimeError("the decision module failed")

    with (
        pytest.raises(AssertionError, match="the decision module failed"),
        running_director(director_factory=Raising) as daemon,
    ):
        MemberClient(daemon, 9001)
        assert daemon.ended.wait(10)
