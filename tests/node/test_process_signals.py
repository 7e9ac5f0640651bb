"""Signals to a live director: termination, and reloading of the configuration."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from tests.node.director_under_test import bound_proxies
from tests.node.platform_stubs import Peer, StubDiscovery, configuration_tree, entry
from tests.node.stub_relay import StubRelay
from tests.waiting import wait_until


def test_sigterm_ends_the_process_in_time_with_status_0(director):
    director.relay.attach(1)
    begin_s = time.monotonic()
    director.process.terminate()
    assert director.process.wait(5) == 0 and time.monotonic() - begin_s < 0.7


SIGHUP_AT_EVERY_LINE_PROGRAM = """
import signal, sys
from rainpick.node import __main__ as node
seen = set()
def trace(frame, event, _):
    name, line = frame.f_code.co_filename, frame.f_lineno
    traced = name.endswith(("threading.py", "process.py", "queue.py", "__main__.py"))
    if traced and event == "line" and (name, line) not in seen and signal.getsignal(signal.SIGHUP):
        seen.add((name, line))
        signal.raise_signal(signal.SIGHUP)
    return trace
sys.settrace(trace)
node.main()
"""


def test_a_signal_may_arrive_between_any_two_lines_of_the_main_thread(director):
    """Guards against a signal handler that acquires a lock held by the thread that it interrupts.

    After that deadlock no SIGHUP was handled and no pending peer was closed.
    """
    director.process.kill()
    director.process.wait()
    director.start(sys.executable, "-c", SIGHUP_AT_EVERY_LINE_PROGRAM)
    wait_until(lambda: director.has_logged("configuration reloaded"), "the first reload")
    old, director.discovery = director.discovery, StubDiscovery(*map(entry, range(6)))
    director.write_configuration()
    director.process.send_signal(signal.SIGHUP)
    wait_until(lambda: director.discovery.requests, "a request to the new address")
    old.close()
    assert Peer(director.listen).read_all() == b"", "a peer that does not join is closed"
    director.process.terminate()
    assert director.process.wait(5) == 0


SIGNAL_DURING_IMPORT_PROGRAM = """
import os, signal, sys
class SignallingFinder:
    def find_spec(self, name, *_):
        if name == "rainpick.node.process":
            os.kill(os.getpid(), signal.%s)
sys.meta_path.insert(0, SignallingFinder())
from rainpick.node import __main__ as node
node.main()
"""


def test_sigterm_during_the_imports_ends_the_process_with_status_0(director):
    result = subprocess.run(
        [sys.executable, "-c", SIGNAL_DURING_IMPORT_PROGRAM % "SIGTERM"],
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(director.path)},
        timeout=30,
    )
    assert result.returncode == 0 and not result.stderr


def test_sighup_during_the_imports_is_handled_after_the_start(director):
    director.process.kill()
    director.process.wait()
    director.start(sys.executable, "-c", SIGNAL_DURING_IMPORT_PROGRAM % "SIGHUP")
    wait_until(lambda: director.has_logged("configuration reloaded"), "the reload")
    assert director.process.poll() is None


def test_sigterm_before_the_listener_is_open_ends_the_process_with_status_0(tmp_path):
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "rainpick.node"], env=os.environ | {"PROXY_CONFIG": str(path)}
    )
    with path.open("wb"):  # the process is blocked reading its configuration
        process.terminate()
        assert process.wait(5) == 0


def test_sigterm_while_the_relay_is_unreachable_ends_the_process_in_time_with_status_0(director):
    director.relay.attach(1)
    wait_until(lambda: bound_proxies(director.relay) == [1], "the binding of the proxy")
    director.relay.close()
    wait_until(lambda: director.has_logged("relay notifications unreachable"), "the loss of the relay")
    director.discovery.change(entry(2, "Terminating"))
    wait_until(lambda: director.has_logged("relay unreachable"), "a withdrawal that cannot be sent")
    begin_s = time.monotonic()
    director.process.terminate()
    assert director.process.wait(5) == 0 and time.monotonic() - begin_s < 0.7


def test_sighup_applies_new_addresses_more_than_once_under_load(director):
    for proxy in range(3):
        director.relay.attach(proxy)
        wait_until(lambda proxy=proxy: proxy in bound_proxies(director.relay), "the binding of the proxy")
        old = director.discovery, director.relay
        director.discovery, director.relay = StubDiscovery(*map(entry, range(6))), StubRelay()
        director.discovery.versions *= proxy + 3
        director.relay.joined = dict(old[1].joined)
        director.write_configuration()
        director.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: director.relay.subscribers and director.discovery.requests, "use of the new addresses"
        )
        for stub in old:
            stub.close()
    director.discovery.change(entry(4, "Terminating"))
    wait_until(lambda: director.withdrawn_servers() == {"s-0004"}, "the withdrawal at the new addresses")
    assert director.process.poll() is None


@pytest.mark.parametrize("text", ["{half", "[]", '{"name":"n0"}'])
def test_an_unusable_configuration_does_not_replace_the_old_one(director, text):
    director.write_configuration(text)
    director.process.send_signal(signal.SIGHUP)
    wait_until(lambda: director.has_logged("configuration rejected"), "the error")
    director.relay.attach(1)
    wait_until(lambda: bound_proxies(director.relay) == [1], "the binding of the proxy")


def test_a_file_that_is_being_replaced_is_read_again(director):
    """Guards against rejecting a partly written file without another attempt.

    The director then kept the old addresses, which went out of service.
    """
    former, director.discovery.requests[:] = director.path.read_text(), []
    old, director.discovery = director.discovery, StubDiscovery(*map(entry, range(6)))
    director.write_configuration("{half")
    director.process.send_signal(signal.SIGHUP)
    wait_until(lambda: director.has_logged("configuration rejected"), "the error")
    director.write_configuration()
    assert director.path.read_text() != former
    wait_until(lambda: director.discovery.requests, "a request to the new address")
    old.close()


def test_after_two_sighups_in_a_row_the_last_addresses_are_used(director):
    others = []
    for _ in range(2):
        others += [director.discovery, director.relay]
        director.discovery, director.relay = StubDiscovery(*map(entry, range(6))), StubRelay()
        director.write_configuration()
        director.process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: director.relay.subscribers and director.discovery.requests, "use of the last addresses"
    )
    for stub in others:
        stub.close()
    director.relay.attach(2)
    wait_until(lambda: 2 in bound_proxies(director.relay), "the binding of the proxy")


def test_the_configuration_of_another_director_is_rejected(director):
    other = StubDiscovery(*map(entry, range(6)))
    tree = configuration_tree(director.listen, other.address, director.relay.address)
    director.write_configuration(json.dumps(tree | {"name": "n1"}))
    director.process.send_signal(signal.SIGHUP)
    wait_until(lambda: director.has_logged("configuration rejected"), "the error")
    director.write_configuration(json.dumps(tree | {"settings": tree["settings"] | {"roundUs": 2000}}))
    wait_until(lambda: other.requests, "a request after its own configuration is written")
    assert director.differing_settings("settings need a restart") == [["round_us"]]
    other.close()
