"""A live director as a process: its start, its way back after a kill, and a stepped wall clock."""

import json
import os
import subprocess
import sys
import time

import pytest

from tests.node.director_under_test import DirectorUnderTest, bound_proxies
from tests.node.platform_stubs import Peer, configuration_tree, entry
from tests.waiting import until


def test_a_proxy_that_joins_is_bound_and_a_drain_withdrawn(director):
    director.relay.attach(3)
    until(lambda: bound_proxies(director.relay) == [3], "its table")
    expected = {entry(number)["instanceId"] for number in range(6)}  # the configuration knew two of them
    until(
        lambda: (
            {command["endpoint"] for command in director.relay.commands("share") if command["w"]} == expected
        ),
        "all servers in its table",
    )
    director.discovery.change(entry(2, "Terminating"))
    until(lambda: director.withdrawn_servers() == {"s-0002"}, "the withdrawal")


def test_heartbeats_while_discovery_and_relay_are_unreachable(director):
    until(lambda: director.relay.subscribers, "a subscription")
    director.discovery.close()
    director.relay.close()
    until(lambda: director.has_logged("relay notifications unreachable"), "the break")
    for _ in range(20):
        assert director.answers_heartbeat()


def test_a_killed_director_recovers_from_its_configuration_and_the_relay(director):
    """Its address may still have connections of the former process; endpoints come from the configuration,
    joined proxies from the relay."""
    for proxy in range(6):  # all there are
        director.relay.attach(proxy)
    until(lambda: bound_proxies(director.relay) == list(range(6)), "all tables")
    collector = Peer(director.listen).send({"t": "telemetry", "locality": "a"})
    director.process.kill()
    director.process.wait()
    director.discovery.close()  # unreachable: only the cached list is left
    until(lambda: not director.relay.connections, "the end of its connections")
    director.relay.accepted.clear()
    director.start()
    until(lambda: bound_proxies(director.relay) == list(range(6)), "all tables again")
    assert {command["endpoint"] for command in director.relay.commands("share")} == {"s-0000", "s-0001"}
    collector.close()


def test_a_thread_that_fails_ends_the_whole_process(tmp_path):
    """A director that looks alive and decides nothing is worse than none."""
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
    until(
        lambda: bound_proxies(director.relay) == [3] and len(director.relay.commands("share")) == 6,
        "its table",
    )
    assert director.has_logged("cached endpoint list unusable")


STEPPED = """
import os, time
real, path = time.time_ns, os.environ["WALL_STEP"]
time.time_ns = lambda: real() + int(open(path).read())
from rainpick.node import __main__ as node
node.main()
"""


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_a_new_server_is_warming_up_when_the_wall_clock_is_stepped(tmp_path, monkeypatch, step_s):
    """Stamped before the step or after it, whichever way the clock went."""
    shift = tmp_path / "step"
    shift.write_text("0")
    monkeypatch.setenv("WALL_STEP", str(shift))
    director = DirectorUnderTest(tmp_path, sys.executable, "-c", STEPPED)
    try:
        director.relay.attach(1)
        until(lambda: bound_proxies(director.relay) == [1], "its table")
        before_ms = time.time_ns() // 1_000_000
        (tmp_path / "next").write_text(str(step_s * 10**9))
        (tmp_path / "next").rename(shift)
        until(lambda: director.has_logged("wall clock stepped"), "the step")
        after_ms = time.time_ns() // 1_000_000 + step_s * 1000
        for number, started_ms in ((6, before_ms), (7, after_ms)):
            director.discovery.change(entry(number, started_ms=started_ms))
            name = f"s-{number:04x}"
            weights = until(
                lambda name=name: [
                    command["w"]
                    for command in director.relay.commands("share")
                    if command["endpoint"] == name
                ],
                "its line",
            )
            assert 0 < weights[0] < 0.9, (name, weights)
    finally:
        director.stop()
