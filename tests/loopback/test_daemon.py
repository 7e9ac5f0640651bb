"""The director on loopback sockets: streams that break, peers that do not read, members that come and go."""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest

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
from tests.loopback.help import FLEET, MemberEnd, ProxyEnd, members, running, status
from tests.waiting import until

FULL = 4096  # weight 1 of at most 16 in 16 bits


def test_a_drain_at_a_member_is_read_by_every_proxy_and_taken_back():
    with running() as daemon:
        fleet = MemberEnd(daemon, 9001, 9002, 9003)
        proxies = [ProxyEnd(daemon, f"edge-{number}", 9001) for number in range(5)]
        for proxy in proxies:
            proxy.until(lambda held: held == {9001: FULL, 9002: FULL, 9003: FULL})
        assert fleet.quiesce(9002) == ReturnCode.SUCCESS
        for proxy in proxies:
            proxy.until(lambda held: set(held) == {9001, 9003})
            (entry,) = proxy.messages[-1].groups[0].entries
            assert entry.flags & QUIESCE and entry.flags & CONTACT
        assert fleet.quiesce(9002, on=False) == ReturnCode.SUCCESS
        proxies[0].until(lambda held: held.get(9002) == FULL // 4, "the first step of the ramp")


def test_without_the_no_change_flag_all_members_are_sent_each_time():
    with running() as daemon:
        fleet = MemberEnd(daemon, 9001, 9002)
        proxy = ProxyEnd(daemon, "edge-1", flags=PUSH | TRUST)
        proxy.until(lambda held: len(held) == 2)
        fleet.quiesce(9001)
        proxy.until(lambda held: len(held) == 1)
        assert len(proxy.messages[-1].groups[0].entries) == 2


def test_a_proxy_that_asks_by_itself_is_told_the_interval_and_only_what_changed():
    with running("sasp: {poll_interval_s: 2}") as daemon:
        fleet = MemberEnd(daemon, 9001, 9002)
        proxy = ProxyEnd(daemon, "edge-1", flags=TRUST | NO_CHANGE)
        until(lambda: proxy.ask_weights() and proxy.held == {9001: FULL, 9002: FULL})
        fleet.quiesce(9002)
        reply = until(lambda: (found := proxy.ask_weights()).groups[0].entries and found)
        assert reply.interval == 2 and [entry.weight for entry in reply.groups[0].entries] == [0]
        assert proxy.held == {9001: FULL}
        assert proxy.ask_weights().groups[0].entries == ()


def test_without_trust_a_load_balancer_is_refused():
    with running() as daemon:
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
    """The stream's session takes Set LB State for said, yet no proxy came of it: the director ended."""
    with running() as daemon:
        client = SaspClient(daemon.sasp)
        assert client.request(SetLbState("edge-1", 0x7F, PUSH)).code == ReturnCode.NOT_ACCEPTED
        assert client.request(request_).code == code
        other = ProxyEnd(daemon, "edge-2")
        assert other.ask_weights().code == ReturnCode.SUCCESS, "the others are served"


def cut_within_a_push(daemon, proxy, fleet):
    """Have the stream break when some bytes of a Send Weights have come, not all."""
    fleet.quiesce(9002)
    proxy.sock.settimeout(10)
    part = proxy.sock.recv(20)
    assert len(part) == 20 and struct.unpack(">H", part[13:15]) == (MessageType.SEND_WEIGHTS,)
    proxy.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    proxy.sock.close()


def test_a_stream_that_breaks_within_a_push_at_the_proxy_heals_by_dialling_again():
    with running() as daemon:
        fleet = MemberEnd(daemon, 9001, 9002, 9003)
        proxy = ProxyEnd(daemon, "edge-1", 7777)
        proxy.until(lambda held: len(held) == 3)
        cut_within_a_push(daemon, proxy, fleet)
        assert 9002 in proxy.held, "it keeps what it has"
        until(lambda: not status(daemon)["proxies"])
        again = ProxyEnd(daemon, "edge-1", held=proxy.held)
        again.until(lambda held: held == {9001: FULL, 9003: FULL}, "exactly the table")


def test_a_director_killed_within_a_push_leaves_the_proxy_what_it_has(tmp_path):
    """The director dies by SIGKILL when a part of a push has been read, in mid-ramp; a new one heals it."""
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

        until(answers, "the director").close()
        return process

    class At:
        sasp, status = ("127.0.0.1", ports[0]), ("127.0.0.1", ports[2])

    process = start()
    try:
        fleet = MemberEnd(At, 9001, 9002, 9003, label="age=100;boot=1")
        proxy = ProxyEnd(At, "edge-1", 9001)
        proxy.until(lambda held: len(held) == 3)
        fresh = MemberEnd(At, 9004, label="age=0;boot=1")  # in mid-ramp when the director dies
        proxy.until(lambda held: 0 < held.get(9004, 0) < FULL * 0.6)
        fleet.quiesce(9002)
        proxy.sock.settimeout(10)
        proxy.sock.recv(20)  # a part of the push has been read
        process.send_signal(signal.SIGKILL)
        process.wait()
        held = dict(proxy.held)
        proxy.close()
        began = time.monotonic()
        process = start()
        again = ProxyEnd(At, "edge-1", held=held)
        MemberEnd(At, 9001, 9003, label="age=101;boot=1")
        MemberEnd(At, 9004, label="age=1;boot=1")
        again.read()
        if time.monotonic() - began < 2:  # the cold server is not trusted more by a director that came later
            assert again.held.get(9004, 0) < FULL * 0.9
        again.until(lambda held: 9002 not in held, "the drain that the cached list knew of")
        again.until(lambda held: held == {9001: FULL, 9003: FULL, 9004: FULL}, "the end of the ramp")
        del fresh
    finally:
        process.kill()
        process.wait()


def test_a_proxy_that_stops_reading_holds_up_nobody_and_is_let_go():
    """It wants all members each time and its socket fills up; the others' drains must not wait for it."""
    more = 'sasp: {write_stall: "400ms"}, channel: {lines_per_s: 1e6, pending_lines: 500000}'
    with running(more) as daemon:
        fleet = MemberEnd(daemon, *range(7000, 8500))
        others = [ProxyEnd(daemon, f"edge-{number}") for number in range(3)]
        for proxy in others:
            proxy.until(lambda held: len(held) == 1500)
        stuck = ProxyEnd(daemon, "edge-9", flags=PUSH | TRUST, buffer=4096)
        worst = 0.0
        for port in range(7000, 7040):
            begin = time.monotonic()
            fleet.quiesce(port)
            for proxy in others:
                proxy.until(lambda held, port=port: port not in held)
            worst = max(worst, time.monotonic() - begin)
        assert worst < 0.5, worst
        until(lambda: status(daemon)["streams"]["let_go"] == 1)
        found = status(daemon)
        assert [proxy["uid"] for proxy in found["proxies"]] == ["edge-0", "edge-1", "edge-2"]
        assert found["channel"]["messages"] == 0, "nothing waits for the one that is gone"
        del stuck


def test_a_proxy_that_asked_by_turns_and_fell_silent_is_let_go():
    with running('sasp: {read_proof: "300ms"}') as daemon:
        fleet = MemberEnd(daemon, 9001, 9002)
        proxy = ProxyEnd(daemon, "edge-1")
        for _ in range(3):
            proxy.request(SetLbState("edge-1"))
        proxy.until(lambda held: len(held) == 2)
        fleet.quiesce(9001)
        until(lambda: status(daemon)["streams"]["let_go"] == 1)


def test_the_same_proxy_twice_the_newer_stream_counts():
    with running() as daemon:
        MemberEnd(daemon, 9001)
        old = ProxyEnd(daemon, "edge-1")
        old.until(lambda held: held)
        new = ProxyEnd(daemon, "edge-1")
        new.until(lambda held: held == {9001: FULL})
        with pytest.raises(OSError):
            while True:
                old.read(5)
        assert len(status(daemon)["proxies"]) == 1


def test_the_same_member_twice_is_told_on_one_stream_and_moves_to_another():
    with running('fleet: {member_grace: "150ms"}') as daemon:
        one = MemberEnd(daemon, 9001, label="boot=1")
        assert one.register(9001, label="boot=1") == ReturnCode.ALREADY_REGISTERED
        two = MemberEnd(daemon, 9001, label="boot=1")
        assert one.quiesce(9001) == ReturnCode.NOT_REGISTERED
        one.close()
        until(lambda: status(daemon)["streams"]["open"] == 1)
        assert two.quiesce(9001, on=False) == ReturnCode.SUCCESS
        until(lambda: [server["state"] for server in status(daemon)["servers"]] == ["ready"])


def test_a_member_that_registers_quiesces_and_goes_at_once_is_never_picked():
    with running() as daemon:
        MemberEnd(daemon, 9001)
        proxy = ProxyEnd(daemon, "edge-1")
        proxy.until(lambda held: held == {9001: FULL})
        brief = SaspClient(daemon.sasp)
        end, one = brief.end, members(9005)
        brief.sock.sendall(
            end.encode_request(Registration((MemberGroup(FLEET, one),)))
            + end.encode_request(SetMemberState((StateGroup(FLEET, (MemberState(one[0], 0, True),)),)))
            + end.encode_request(Deregistration((MemberGroup(FLEET, one),)))
        )
        MemberEnd(daemon, 9006)
        proxy.until(lambda held: 9006 in held)
        assert 9005 not in proxy.held
        assert all(
            entry.weight == 0
            for message in proxy.messages
            for group in message.groups
            for entry in group.entries
            if entry.member.port == 9005
        )


def test_a_broken_member_stream_is_a_gone_server_after_the_grace_and_not_before():
    with running('fleet: {member_grace: "400ms"}') as daemon:
        MemberEnd(daemon, 9001)
        dying = MemberEnd(daemon, 9002)
        proxy = ProxyEnd(daemon, "edge-1")
        proxy.until(lambda held: len(held) == 2)
        begin = time.monotonic()
        dying.close()
        proxy.until(lambda held: set(held) == {9001})
        assert time.monotonic() - begin >= 0.4


@pytest.mark.parametrize(
    "data, reply",
    [
        (b"GET / HTTP/1.1\r\n\r\n", b""),
        (MESSAGE_HEADER.pack(HEADER_TYPE, 13, 2, 20, 7) + bytes(7), b"\x10"),
        (MESSAGE_HEADER.pack(HEADER_TYPE, 13, 1, 1 << 30, 7), b"\x10"),
        (encode_message(SendWeights(()), 7), b""),
    ],
    ids=["not SASP", "version", "oversized", "not for it"],
)
def test_what_is_not_sasp_ends_that_stream_alone(data, reply):
    with running() as daemon:
        fleet = MemberEnd(daemon, 9001)
        sock = socket.create_connection(daemon.sasp)
        sock.settimeout(5)
        sock.sendall(data)
        said = b""
        while piece := sock.recv(4096):
            said += piece
        assert said[-1:] == reply
        assert fleet.quiesce(9001) == ReturnCode.SUCCESS


def test_who_never_says_what_it_is_is_closed_and_streams_are_bounded():
    with running('sasp: {hello: "200ms", streams_most: 2}') as daemon:
        first, second, third = (socket.create_connection(daemon.sasp) for _ in range(3))
        third.settimeout(5)
        assert third.recv(1) == b""
        for sock in (first, second):
            sock.settimeout(5)
            assert sock.recv(1) == b""
        MemberEnd(daemon, 9001)


def test_all_streams_broken_at_once_are_bound_again_busiest_first_or_not_all_have_the_exact_table():
    with running() as daemon:
        MemberEnd(daemon, *range(9000, 9012))
        proxies = [ProxyEnd(daemon, f"edge-{number}") for number in range(12)]
        tables = [dict(proxy.until(lambda held: held)) for proxy in proxies]
        for proxy in proxies:
            proxy.close()
        again = [ProxyEnd(daemon, proxy.uid, held=proxy.held) for proxy in proxies]
        for proxy, table in zip(again, tables, strict=True):
            proxy.until(lambda held, table=table: held == table)
        until(lambda: sum(proxy["table"] is not None for proxy in status(daemon)["proxies"]) == 12)


def test_a_list_file_is_a_second_source_and_a_bad_one_is_refused_whole(tmp_path):
    path = tmp_path / "list.json5"
    path.write_text(
        '{servers: [{address: "127.0.0.1:9501"}, {address: "127.0.0.1:9502", pod: 1, state: "draining"}]}'
    )
    with running(f'fleet: {{list_file: "{path}"}}') as daemon:
        proxy = ProxyEnd(daemon, "edge-1")
        proxy.until(lambda held: held == {9501: FULL})
        path.write_text('{servers: [{address: "127.0.0.1:9501", state: "draining"}, {address: "nowhere"}]}')
        daemon.read_list_file()
        path.write_text('{servers: [{address: "127.0.0.1:9501"}, {address: "127.0.0.1:9502"}]} // mended')
        daemon.read_list_file()
        proxy.until(lambda held: 9502 in held)
        assert held_never_lost(proxy, 9501)


def held_never_lost(proxy, port):
    return not any(
        entry.weight == 0
        for message in proxy.messages
        for group in message.groups
        for entry in group.entries
        if entry.member.port == port
    )


def test_a_bad_list_file_ends_the_start(tmp_path):
    path = tmp_path / "list.json5"
    path.write_text("{servers: [{}]}")
    more = f'fleet: {{list_file: "{path}"}}'
    with pytest.raises(SettingsError, match=r"servers\.0\.address"), running(more):
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
def test_a_damaged_cached_list_is_not_used(tmp_path, text):
    path = tmp_path / "cache.json"
    path.write_text(text)
    with running(director=f', list_cache: "{path}"') as daemon:
        MemberEnd(daemon, 9001)
        ProxyEnd(daemon, "edge-1").until(lambda held: held == {9001: FULL})


def test_the_list_is_kept_whole_for_the_next_start(tmp_path):
    path = tmp_path / "cache.json"
    with running(director=f', list_cache: "{path}"') as daemon:
        fleet = MemberEnd(daemon, 9001, 9002, label="age=50;boot=1")
        ProxyEnd(daemon, "edge-1").until(lambda held: len(held) == 2)
        fleet.quiesce(9002)
        until(lambda: path.exists() and json.loads(path.read_text())["servers"][1][-1] is True)
    assert not os.path.exists(f"{path}.new")
    with running(director=f', list_cache: "{path}"') as daemon:
        proxy = ProxyEnd(daemon, "edge-1", 9002)
        proxy.until(lambda held: held == {9001: FULL})
        until(lambda: {server["state"] for server in status(daemon)["servers"]} == {"ready", "draining"})


def test_a_module_that_raises_ends_the_director_plainly():
    class Raising:
        def step(self, now, events):
            raise RuntimeError("the module tripped")

    with pytest.raises(AssertionError, match="tripped"), running(module=Raising) as daemon:
        MemberEnd(daemon, 9001)
        assert daemon.ended.wait(10)
