"""A live director as a process: start, recovery after a kill, and a stepped wall clock."""

import json
import os
import subprocess
import sys
import time

import pytest

from tests.node.director_under_test import DirectorUnderTest, bound_proxies
from tests.node.platform_stubs import Peer, configuration_tree, entry
from tests.waiting import wait_until


def test_a_proxy_that_joins_is_bound_and_a_draining_server_withdrawn(director):
    director.relay.attach(3)
    wait_until(lambda: bound_proxies(director.relay) == [3], "the binding of the proxy")
    expected = {entry(number)["instanceId"] for number in range(6)}  # two of them are in the cached list
    wait_until(
        lambda: (
            {command["endpoint"] for command in director.relay.commands("share") if command["w"]} == expected
        ),
        "all servers in the proxy's table",
    )
    director.discovery.change(entry(2, "Terminating"))
    wait_until(lambda: director.withdrawn_servers() == {"s-0002"}, "the withdrawal")


def test_heartbeats_get_replies_while_discovery_and_relay_are_unreachable(director):
    wait_until(lambda: director.relay.subscribers, "a subscription")
    director.discovery.close()
    director.relay.close()
    wait_until(lambda: director.has_logged("relay notifications unreachable"), "the loss of the relay")
    for _ in range(20):
        assert director.responds_to_heartbeat()


def test_a_killed_director_recovers_from_its_configuration_and_the_relay(director):
    """The endpoints come from the cached list in the configuration, the joined proxies from the relay.

    The director's address may still have connections of the killed process.
    """
    for proxy in range(6):  # all proxies of the configuration
        director.relay.attach(proxy)
    wait_until(lambda: bound_proxies(director.relay) == list(range(6)), "the bindings of all proxies")
    collector = Peer(director.listen).send({"t": "telemetry", "locality": "a"})
    director.process.kill()
    director.process.wait()
    director.discovery.close()  # the cached list is the only source of endpoints
    wait_until(lambda: not director.relay.connections, "the end of the killed director's connections")
    director.relay.accepted.clear()
    director.start()
    wait_until(lambda: bound_proxies(director.relay) == list(range(6)), "new bindings of all proxies")
    assert {command["endpoint"] for command in director.relay.commands("share")} == {"s-0000", "s-0001"}
    collector.close()


def test_a_thread_that_fails_ends_the_whole_process(tmp_path):
    """Guards against a director that still replies to heartbeats but makes no decisions."""
    text = "import rainpick.node.process as node\nnode.run_or_exit(lambda: 1 / 0)"
    result = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, timeout=30)
    assert result.returncode == 1 and "ZeroDivisionError" in result.stderr


def test_an_unusable_configuration_ends_the_start_with_one_line(tmp_path):
    path = tmp_path / "config.json"
    path.write_text('{"settings": {}}')
    result = subprocess.run(
        [sys.executable, "-m", "rainpick.node"],
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(path)},
        timeout=30,
    )
    assert result.returncode == 1 and result.stderr.count("\n") == 1 and str(path) in result.stderr


def test_an_unusable_cached_list_does_not_prevent_the_start(director):
    director.process.kill()
    director.process.wait()
    director.write_configuration(
        json.dumps(
            configuration_tree(
                director.listen, director.discovery.address, director.relay.address, known={"generation": "x"}
            )
        )
    )
    director.start()
    director.relay.attach(3)
    wait_until(
        lambda: bound_proxies(director.relay) == [3] and len(director.relay.commands("share")) == 6,
        "the binding and table of the proxy",
    )
    assert director.has_logged("cached endpoint list unusable")


STEPPED_CLOCK_PROGRAM = """
import os, time
real, path = time.time_ns, os.environ["WALL_STEP"]
time.time_ns = lambda: real() + int(open(path).read())
from rainpick.node import __main__ as node
node.main()
"""


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_a_new_server_is_warming_up_when_the_wall_clock_is_stepped(tmp_path, monkeypatch, step_s):
    """Covers servers that started before and after the step, and steps in both directions."""
    shift = tmp_path / "step"
    shift.write_text("0")
    monkeypatch.setenv("WALL_STEP", str(shift))
    director = DirectorUnderTest(tmp_path, sys.executable, "-c", STEPPED_CLOCK_PROGRAM)
    try:
        director.relay.attach(1)
        wait_until(lambda: bound_proxies(director.relay) == [1], "the binding of the proxy")
        before_ms = time.time_ns() // 1_000_000
        (tmp_path / "next").write_text(str(step_s * 10**9))
        (tmp_path / "next").rename(shift)
        wait_until(lambda: director.has_logged("wall clock stepped"), "the detection of the step")
        after_ms = time.time_ns() // 1_000_000 + step_s * 1000
        for number, started_ms in ((6, before_ms), (7, after_ms)):
            director.discovery.change(entry(number, started_ms=started_ms))
            name = f"s-{number:04x}"
            weights = wait_until(
                lambda name=name: [
                    command["w"]
                    for command in director.relay.commands("share")
                    if command["endpoint"] == name
                ],
                "the weight of the new server",
            )
            assert 0 < weights[0] < 0.9, (name, weights)
    finally:
        director.stop()
