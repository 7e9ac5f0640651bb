"""The whole director as a process, as the platform starts it."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from rainpick.node.frame_codec import HEARTBEAT_ANSWER
from rainpick.standins.day import free_ports
from tests.node.platform import Discovery, Peer, Relay, configuration, entry
from tests.waiting import until


class Running:
    def __init__(self, folder, *command):
        self.discovery, self.relay = Discovery(*map(entry, range(6))), Relay()
        self.listen = "127.0.0.1", free_ports(1)[0]
        self.path, self.log = folder / "config.json", folder / "log"
        self.tell()
        self.start(*command)

    def end(self):
        self.process.kill()
        self.process.wait()
        self.discovery.close()
        self.relay.close()

    def start(self, *command):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command or [sys.executable, "-m", "rainpick.node"],
                stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(self.path)},
            )
        until(self.answers, "a heartbeat")

    def tell(self, text=None):
        known = {"generation": 0, "reset": True, "instances": [entry(0), entry(1)]}
        tree = configuration(self.listen, self.discovery.address, self.relay.address, known=known)
        self.path.write_text(text or json.dumps(tree))

    def answers(self):
        with contextlib.suppress(OSError):
            peer = Peer(self.listen)
            answer = peer.send({"t": "hb"}).answer(len(HEARTBEAT_ANSWER))
            peer.close()
            return answer == HEARTBEAT_ANSWER

    def lines(self):
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines(keepends=True)
            if line.startswith("{") and line.endswith("}\n")
        ]

    def said(self, event):
        return any(line["event"] == event for line in self.lines())

    def fields(self, event):
        return [line["differing"] for line in self.lines() if line["event"] == event]

    def withdrawn(self):
        return {order["endpoint"] for order in self.relay.orders("withdraw")}


@pytest.fixture
def node(tmp_path):
    made = Running(tmp_path)
    yield made
    made.end()


def bound(relay):
    return sorted(order["node"] for order in relay.orders("bind"))


def test_a_proxy_that_joins_is_bound_and_a_drain_withdrawn(node):
    node.relay.attach(3)
    until(lambda: bound(node.relay) == [3], "its table")
    wanted = {entry(number)["instanceId"] for number in range(6)}  # the configuration knew two of them
    until(lambda: {order["endpoint"] for order in node.relay.orders("share") if order["w"]} == wanted, "all")
    node.discovery.change(entry(2, "Terminating"))
    until(lambda: node.withdrawn() == {"s-0002"}, "the withdrawal")


def test_heartbeats_while_discovery_and_relay_are_out_of_reach(node):
    until(lambda: node.relay.readers, "a stream of news")
    node.discovery.close()
    node.relay.close()
    until(lambda: node.said("relay notifications unreachable"), "the break")
    for _ in range(20):
        assert node.answers()


def test_new_addresses_on_sighup_more_than_once_under_load(node):
    for turn in range(3):
        node.relay.attach(turn)
        until(lambda turn=turn: turn in bound(node.relay), "its table")
        old = node.discovery, node.relay
        node.discovery, node.relay = Discovery(*map(entry, range(6))), Relay()
        node.discovery.versions *= turn + 3
        node.relay.joined = dict(old[1].joined)
        node.tell()
        node.process.send_signal(signal.SIGHUP)
        until(lambda: node.relay.readers and node.discovery.asked, "the new addresses")
        for one in old:
            one.close()
    node.discovery.change(entry(4, "Terminating"))
    until(lambda: node.withdrawn() == {"s-0004"}, "a drain told and ordered at the new addresses")
    assert node.process.poll() is None


@pytest.mark.parametrize("text", ["{half", "[]", '{"name":"n0"}'])
def test_a_configuration_that_cannot_be_read_leaves_the_old_one_in_force(node, text):
    node.tell(text)
    node.process.send_signal(signal.SIGHUP)
    until(lambda: node.said("configuration rejected"), "the error")
    node.relay.attach(1)
    until(lambda: bound(node.relay) == [1], "its table")


def test_sigterm_ends_it_in_time_with_0(node):
    node.relay.attach(1)
    begin = time.monotonic()
    node.process.terminate()
    assert node.process.wait(5) == 0 and time.monotonic() - begin < 0.7


def test_a_killed_director_begins_again_from_nothing(node):
    """Its address may still have connections of its former life; what it knew comes from the configuration,
    and who is joined from the relay."""
    for proxy in range(6):  # all there are
        node.relay.attach(proxy)
    until(lambda: bound(node.relay) == list(range(6)), "all tables")
    collector = Peer(node.listen).send({"t": "telemetry", "locality": "a"})
    node.process.kill()
    node.process.wait()
    node.discovery.close()  # out of reach: only the list in the configuration is left
    until(lambda: not node.relay.open, "the end of what it had sent")
    node.relay.carried.clear()
    node.start()
    until(lambda: bound(node.relay) == list(range(6)), "all tables again")
    assert {order["endpoint"] for order in node.relay.orders("share")} == {"s-0000", "s-0001"}
    collector.close()


def test_a_thread_that_fails_ends_the_whole_process(tmp_path):
    """A director that looks alive and decides nothing is worse than none."""
    text = "import rainpick.node.process as node\nnode.run_or_exit(lambda: 1 / 0)"
    found = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, timeout=30)
    assert found.returncode == 1 and "ZeroDivisionError" in found.stderr


def test_a_configuration_that_cannot_be_used_ends_the_start_with_a_line(tmp_path):
    path = tmp_path / "config.json"
    path.write_text('{"settings": {}}')
    found = subprocess.run(
        [sys.executable, "-m", "rainpick.node"],
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(path)},
        timeout=30,
    )
    assert found.returncode == 1 and found.stderr.count("\n") == 1 and str(path) in found.stderr


AT_EVERY_LINE = """
import signal, sys
from rainpick.node import __main__ as node
seen = set()
def trace(frame, event, _):
    name, line = frame.f_code.co_filename, frame.f_lineno
    ours = name.endswith(("threading.py", "process.py", "queue.py", "__main__.py"))
    if ours and event == "line" and (name, line) not in seen and signal.getsignal(signal.SIGHUP):
        seen.add((name, line))
        signal.raise_signal(signal.SIGHUP)
    return trace
sys.settrace(trace)
node.main()
"""


def test_a_signal_may_come_between_any_two_lines_of_the_main_thread(node):
    """A handler that took a lock waited for the very thread that it had interrupted: no signal of a new
    configuration was heard again, and nobody who did not join was closed."""
    node.process.kill()
    node.process.wait()
    node.start(sys.executable, "-c", AT_EVERY_LINE)
    until(lambda: node.said("configuration reloaded"), "the first of them")
    old, node.discovery = node.discovery, Discovery(*map(entry, range(6)))
    node.tell()
    node.process.send_signal(signal.SIGHUP)
    until(lambda: node.discovery.asked, "the new address")
    old.close()
    assert Peer(node.listen).read() == b"", "who does not join is closed"
    node.process.terminate()
    assert node.process.wait(5) == 0


EARLY = """
import os, signal, sys
class Meanwhile:
    def find_spec(self, name, *_):
        if name == "rainpick.node.process":
            os.kill(os.getpid(), signal.%s)
sys.meta_path.insert(0, Meanwhile())
from rainpick.node import __main__ as node
node.main()
"""


def test_sigterm_while_the_program_is_still_read_ends_it_with_0(node):
    found = subprocess.run(
        [sys.executable, "-c", EARLY % "SIGTERM"],
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(node.path)},
        timeout=30,
    )
    assert found.returncode == 0 and not found.stderr


def test_sighup_while_the_program_is_still_read_is_heard_later(node):
    node.process.kill()
    node.process.wait()
    node.start(sys.executable, "-c", EARLY % "SIGHUP")
    until(lambda: node.said("configuration reloaded"), "the configuration")
    assert node.process.poll() is None


def test_sigterm_before_the_door_listens_ends_it_with_0(tmp_path):
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "rainpick.node"], env=os.environ | {"PROXY_CONFIG": str(path)}
    )
    with path.open("wb"):  # it waits for its configuration
        process.terminate()
        assert process.wait(5) == 0


def test_sigterm_while_the_relay_is_away_ends_it_in_time_with_0(node):
    node.relay.attach(1)
    until(lambda: bound(node.relay) == [1], "its table")
    node.relay.close()
    until(lambda: node.said("relay notifications unreachable"), "the break")
    node.discovery.change(entry(2, "Terminating"))
    until(lambda: node.said("relay unreachable"), "a withdrawal that cannot be said")
    begin = time.monotonic()
    node.process.terminate()
    assert node.process.wait(5) == 0 and time.monotonic() - begin < 0.7


def test_a_file_that_is_being_replaced_is_read_again(node):
    """Half of it was refused for good, and the old addresses ended."""
    whole, node.discovery.asked[:] = node.path.read_text(), []
    old, node.discovery = node.discovery, Discovery(*map(entry, range(6)))
    node.tell("{half")
    node.process.send_signal(signal.SIGHUP)
    until(lambda: node.said("configuration rejected"), "the error")
    node.tell()
    assert node.path.read_text() != whole
    until(lambda: node.discovery.asked, "the new address")
    old.close()


def test_two_signals_in_a_row_leave_the_last_addresses_in_force(node):
    others = []
    for _ in range(2):
        others += [node.discovery, node.relay]
        node.discovery, node.relay = Discovery(*map(entry, range(6))), Relay()
        node.tell()
        node.process.send_signal(signal.SIGHUP)
    until(lambda: node.relay.readers and node.discovery.asked, "the last addresses")
    for one in others:
        one.close()
    node.relay.attach(2)
    until(lambda: 2 in bound(node.relay), "its table")


def test_the_addresses_of_another_directors_file_are_not_taken(node):
    other = Discovery(*map(entry, range(6)))
    tree = configuration(node.listen, other.address, node.relay.address)
    node.tell(json.dumps(tree | {"name": "n1"}))
    node.process.send_signal(signal.SIGHUP)
    until(lambda: node.said("configuration rejected"), "the error")
    node.tell(json.dumps(tree | {"settings": tree["settings"] | {"roundUs": 2000}}))
    until(lambda: other.asked, "its own")
    assert node.fields("settings need a restart") == [["round_us"]]
    other.close()


def test_a_known_list_that_cannot_be_read_does_not_keep_it_from_starting(node):
    node.process.kill()
    node.process.wait()
    node.tell(
        json.dumps(
            configuration(node.listen, node.discovery.address, node.relay.address, known={"generation": "x"})
        )
    )
    node.start()
    node.relay.attach(3)
    until(lambda: bound(node.relay) == [3] and len(node.relay.orders("share")) == 6, "its table")
    assert node.said("cached endpoint list unusable")


STEPPED = """
import os, time
real, path = time.time_ns, os.environ["WALL_STEP"]
time.time_ns = lambda: real() + int(open(path).read())
from rainpick.node import __main__ as node
node.main()
"""


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_a_server_that_has_just_started_is_cold_when_the_wall_clock_is_stepped(tmp_path, monkeypatch, step_s):
    """Stamped before the step or after it, whichever way the clock went."""
    shift = tmp_path / "step"
    shift.write_text("0")
    monkeypatch.setenv("WALL_STEP", str(shift))
    node = Running(tmp_path, sys.executable, "-c", STEPPED)
    try:
        node.relay.attach(1)
        until(lambda: bound(node.relay) == [1], "its table")
        before_ms = time.time_ns() // 1_000_000
        (tmp_path / "next").write_text(str(step_s * 10**9))
        (tmp_path / "next").rename(shift)
        until(lambda: node.said("wall clock stepped"), "the step")
        after_ms = time.time_ns() // 1_000_000 + step_s * 1000
        for number, started_ms in ((6, before_ms), (7, after_ms)):
            node.discovery.change(entry(number, started_ms=started_ms))
            name = f"s-{number:04x}"
            weights = until(
                lambda name=name: [
                    order["w"] for order in node.relay.orders("share") if order["endpoint"] == name
                ],
                "its line",
            )
            assert 0 < weights[0] < 0.9, (name, weights)
    finally:
        node.end()
