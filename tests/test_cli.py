"""The command line: what it prints, and its exit codes."""

import json
import os
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner

from rainpick.cli import main
from rainpick.standins.day import free_ports
from tests.loopback.help import MemberEnd, ProxyEnd, running

GOOD = '{routes: [{name: "a", slo_time: "1s", time_limit: "2s"}]}'


def run(*words):
    return CliRunner().invoke(main, words)


def test_every_command_has_help_a_stranger_can_use():
    for line in ("", "run", "config", "config check", "status", "sasp weights", "day", "audit"):
        words = line.split()
        found = run(*words, "--help")
        assert found.exit_code == 0 and "Usage:" in found.output and len(found.output.splitlines()) > 4


def test_config_check_says_good_or_names_each_fault(tmp_path):
    path = tmp_path / "s.json5"
    path.write_text(GOOD)
    assert run("config", "check", str(path)).exit_code == 0
    path.write_text("{routes: 3, zonez: 1}")
    found = run("config", "check", str(path))
    assert found.exit_code == 2 and found.output.count(str(path)) == 2


def test_config_check_reads_the_list_file_too(tmp_path):
    (tmp_path / "list").write_text('{servers: [{address: "a:1", zone: "nowhere"}]}')
    path = tmp_path / "s.json5"
    path.write_text(GOOD.replace("{routes", f'{{fleet: {{list_file: "{tmp_path}/list"}}, routes'))
    found = run("config", "check", str(path))
    assert found.exit_code == 2 and "servers.0.zone: 'nowhere' is not one of ['local']" in found.output


def test_the_schemas_are_json():
    assert "Whole" in json.loads(run("config", "payloads").output)["$defs"]
    assert json.loads(run("config", "schema").output)["title"] == "Settings"


def test_status_and_weights_of_a_running_director():
    with running() as daemon:
        MemberEnd(daemon, 9001, 9002)
        ProxyEnd(daemon, "edge-1").until(lambda held: len(held) == 2)
        place = "%s:%d" % daemon.status
        found = json.loads(run("status", "--at", place, "--json").stdout)
        assert [server["state"] for server in found["servers"]] == ["ready", "ready"]
        assert "127.0.0.1:9001" in run("status", "--at", place).output
        words = "sasp", "weights", "--at", "%s:%d" % daemon.sasp, "--uid", "me"
        rows = json.loads(run(*words, "--json").stdout)
        assert {row["server"][-4:]: row["weight"] for row in rows} == {"9001": 4096, "9002": 4096}
        assert "contact" in run(*words).output


@pytest.mark.parametrize(
    "words, code",
    [
        (("status", "--at", "127.0.0.1:1"), 1),
        (("sasp", "weights", "--at", "127.0.0.1:1"), 1),
        (("status", "--at", "here"), 2),
        (("day", "/no/such"), 2),
        (("run", "--config", "/no/such"), 2),
    ],
)
def test_what_is_not_there_is_told_without_a_traceback(words, code):
    found = run(*words)
    assert found.exit_code == code and "Traceback" not in found.output


def start(tmp_path, **parts):
    ports = free_ports(3)
    places = dict(zip(("sasp", "otlp", "status"), (f"127.0.0.1:{port}" for port in ports), strict=True))
    path = tmp_path / "director.json5"
    path.write_text(
        json.dumps(
            {"listen": places, "routes": [{"name": "a", "slo_time": "1s", "time_limit": "2s"}], **parts}
        )
    )
    command = [sys.executable, "-m", "rainpick", "run", "--config", str(path)]
    process = subprocess.Popen(
        command, stderr=subprocess.PIPE, text=True, env={**os.environ, "PYTHONPATH": os.getcwd()}
    )
    return process, places


def lines_until(process, event):
    found = []
    for line in process.stderr:
        found.append(json.loads(line))
        if found[-1]["event"] == event:
            return found
    raise AssertionError(found)


def test_a_director_as_a_process_reloads_on_sighup_and_ends_on_sigterm(tmp_path):
    path = tmp_path / "list.json5"
    path.write_text('{servers: [{address: "127.0.0.1:9001"}]}')
    process, places = start(tmp_path, fleet={"list_file": str(path)})
    try:
        lines_until(process, "decisions begin")
        path.write_text("{servers: 7}")
        process.send_signal(signal.SIGHUP)
        assert "servers" in lines_until(process, "list file refused")[-1]["why"][0]
        path.write_text('{servers: [{address: "127.0.0.1:9001", state: "draining"}]}')
        process.send_signal(signal.SIGHUP)
        assert lines_until(process, "list")[-1]["state"] == "draining"
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        assert '"stopped"' in process.stderr.read()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_a_front_that_cannot_listen_ends_the_start(tmp_path):
    with running() as daemon:
        process, _ = start(
            tmp_path, listen={"sasp": "%s:%d" % daemon.sasp, "otlp": "127.0.0.1:0", "status": "127.0.0.1:0"}
        )
        said = process.stderr.read()
        process.stderr.close()
        assert process.wait(10) == 1 and "Address already in use" in said and "Traceback" not in said


def test_the_adapter_of_the_bench_imports_none_of_the_libraries():
    """It must build and start in an empty folder, lean."""
    code = (
        "import sys, rainpick.simhost.__main__\n"
        "print([name for name in sys.modules if name.split('.')[0] in "
        "('click', 'h11', 'pydantic', 'structlog', 'json5', 'google', 'opentelemetry', 'rich')"
        " or name.startswith('rainpick.director')])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"


def test_a_day_prints_a_verdict_and_exits_by_it(tmp_path):
    path = tmp_path / "day.json5"
    text = (
        '{name: "d", length: "2s", servers: 2, proxies: 2, calls_per_s: 20, zones: ["a"], goal: %s, '
        "client_repeats: 0, "
        'events: [{at: "500ms", do: "drop", servers: "all", share: 0.5, for: "500ms"}]}'
    )
    for goal, code in ((0.5, 0), (1.0, 1)):
        path.write_text(text % goal)
        found = CliRunner().invoke(main, ["day", str(path), "--dir", str(tmp_path / "logs"), "--json"])
        verdict = json.loads(found.stdout)
        assert found.exit_code == code and verdict["good"] == (code == 0), found.output
        assert len(verdict["rules"]) == 5 and verdict["routes"]["lookup"]["asked"] > 10
    assert run("audit", str(tmp_path / "logs")).exit_code == 0
