"""The command line: printed output and exit codes."""

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from rainpick import decisions
from rainpick.cli import main
from rainpick.simulated_peers.ports import free_ports
from tests.loopback.harness import MemberClient, ProxyClient, running_director

RECORD = Path(__file__).parent / "compat" / "stored" / "record" / "day"  # a record in two segments
FRONTS = "sasp", "otlp", "status"
MINIMAL = '{routes: [{name: "a", slo_time: "1s", time_limit: "2s"}]}'


def run(*arguments):
    return CliRunner().invoke(main, arguments)


def test_every_command_has_help_that_shows_its_usage():
    for command in ("", "run", "config", "config check", "status", "sasp weights", "day", "audit"):
        result = run(*command.split(), "--help")
        assert result.exit_code == 0 and "Usage:" in result.output and len(result.output.splitlines()) > 4


def test_config_check_accepts_a_file_or_reports_each_error(tmp_path):
    path = tmp_path / "s.json5"
    path.write_text(MINIMAL)
    assert run("config", "check", str(path)).exit_code == 0
    path.write_text("{routes: 3, zonez: 1}")
    result = run("config", "check", str(path))
    assert result.exit_code == 2 and result.output.count(str(path)) == 2


def test_config_check_also_checks_the_list_file(tmp_path):
    (tmp_path / "list").write_text('{servers: [{address: "a:1", zone: "nowhere"}]}')
    path = tmp_path / "s.json5"
    path.write_text(MINIMAL.replace("{routes", f'{{fleet: {{list_file: "{tmp_path}/list"}}, routes'))
    result = run("config", "check", str(path))
    assert result.exit_code == 2 and "servers.0.zone: 'nowhere' is not one of ['local']" in result.output


def test_the_schemas_are_json():
    assert "Whole" in json.loads(run("config", "payloads").output)["$defs"]
    assert json.loads(run("config", "schema").output)["title"] == "Settings"


def test_status_and_weights_of_a_running_director_are_printed():
    with running_director() as daemon:
        MemberClient(daemon, 9001, 9002)
        ProxyClient(daemon, "edge-1").until(lambda weights: len(weights) == 2)
        address = "%s:%d" % daemon.status
        status = json.loads(run("status", "--at", address, "--json").stdout)
        assert [server["state"] for server in status["servers"]] == ["ready", "ready"]
        assert "127.0.0.1:9001" in run("status", "--at", address).output
        command = "sasp", "weights", "--at", "%s:%d" % daemon.sasp, "--uid", "me"
        rows = json.loads(run(*command, "--json").stdout)
        assert {row["server"][-4:]: row["weight"] for row in rows} == {"9001": 4096, "9002": 4096}
        assert "contact" in run(*command).output


@pytest.mark.parametrize(
    "arguments, code",
    [
        (("status", "--at", "127.0.0.1:1"), 1),
        (("sasp", "weights", "--at", "127.0.0.1:1"), 1),
        (("status", "--at", "here"), 2),
        (("day", "/no/such"), 2),
        (("run", "--config", "/no/such"), 2),
    ],
)
def test_a_missing_file_or_director_is_reported_without_a_traceback(arguments, code):
    result = run(*arguments)
    assert result.exit_code == code and "Traceback" not in result.output


def cut_last_segment(folder):
    path = folder / "0000000002.seg"
    path.write_bytes(path.read_bytes()[:-7])


def flip_a_byte(folder):
    path = folder / "0000000001.seg"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 255
    path.write_bytes(data)


def remove_a_segment(folder):
    """Remove segment 2 of 3. Segment 3 is a copy of segment 1 with another number in its header."""
    data = (folder / "0000000001.seg").read_bytes()
    magic_and_format, number = data[:6], (3).to_bytes(8, "big")
    (folder / "0000000003.seg").write_bytes(magic_and_format + number + data[14:])
    (folder / "0000000002.seg").unlink()


@pytest.mark.parametrize(
    "damage, line",
    [
        (cut_last_segment, "torn: segment=2 at=816 size=1108"),
        (flip_a_byte, "damage: segment=1 at=14 size=1797 why=the checksum does not fit"),
        (remove_a_segment, "gap: first=2 last=2"),
    ],
)
def test_record_verify_prints_each_defect(tmp_path, damage, line):
    folder = tmp_path / "record"
    shutil.copytree(RECORD, folder)
    damage(folder)
    result = run("record", "verify", str(folder))
    first, last = result.output.splitlines()
    assert result.exit_code == 1 and first == line and last.endswith(" records are whole, 1 places are not")


def start_director(tmp_path, **parts):
    """Start a director in a process of its own. ``parts`` override or extend its settings file."""
    listen = {front: f"127.0.0.1:{port}" for front, port in zip(FRONTS, free_ports(3), strict=True)}
    path = tmp_path / "director.json5"
    path.write_text(
        json.dumps(
            {"listen": listen, "routes": [{"name": "a", "slo_time": "1s", "time_limit": "2s"}], **parts}
        )
    )
    command = [sys.executable, "-m", "rainpick", "run", "--config", str(path)]
    process = subprocess.Popen(
        command, stderr=subprocess.PIPE, text=True, env={**os.environ, "PYTHONPATH": os.getcwd()}
    )
    return process


def log_lines_until(process, event):
    """Return the log lines of the process up to and including the first of an event."""
    lines = []
    for line in process.stderr:
        lines.append(json.loads(line))
        if lines[-1]["event"] == event:
            return lines
    raise AssertionError(lines)


def test_a_director_process_reloads_the_list_file_on_sighup_and_exits_on_sigterm(tmp_path):
    path = tmp_path / "list.json5"
    path.write_text('{servers: [{address: "127.0.0.1:9001"}]}')
    process = start_director(tmp_path, fleet={"list_file": str(path)})
    try:
        log_lines_until(process, "decisions begin")
        path.write_text("{servers: 7}")
        process.send_signal(signal.SIGHUP)
        assert "servers" in log_lines_until(process, "list file refused")[-1]["why"][0]
        path.write_text('{servers: [{address: "127.0.0.1:9001", state: "draining"}]}')
        process.send_signal(signal.SIGHUP)
        assert log_lines_until(process, "list")[-1]["state"] == "draining"
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        assert '"stopped"' in process.stderr.read()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_a_director_does_not_start_when_an_address_is_in_use(tmp_path):
    with running_director() as daemon:
        process = start_director(
            tmp_path, listen={"sasp": "%s:%d" % daemon.sasp, "otlp": "127.0.0.1:0", "status": "127.0.0.1:0"}
        )
        log = process.stderr.read()
        process.stderr.close()
        assert process.wait(10) == 1 and "Address already in use" in log and "Traceback" not in log


def test_the_simulator_adapter_imports_no_third_party_libraries():
    """The adapter must build and start in an empty folder, so it imports no more than it needs."""
    code = (
        "import sys, rainpick.simhost.__main__\n"
        "print([name for name in sys.modules if name.split('.')[0] in "
        "('click', 'h11', 'pydantic', 'structlog', 'json5', 'google', 'opentelemetry', 'rich')"
        " or name.startswith('rainpick.director')])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"


def test_a_day_prints_a_verdict_that_determines_the_exit_code(tmp_path):
    path = tmp_path / "day.json5"
    text = (
        '{name: "d", length: "2s", servers: 2, proxies: 2, calls_per_s: 20, zones: ["a"], goal: %s, '
        "client_repeats: 0, "
        'events: [{at: "500ms", do: "drop", servers: "all", share: 0.5, for: "500ms"}]}'
    )
    for goal, code in ((0.5, 0), (1.0, 1)):
        path.write_text(text % goal)
        result = run("day", str(path), "--dir", str(tmp_path / "logs"), "--json")
        verdict = json.loads(result.stdout)
        assert result.exit_code == code and verdict["good"] == (code == 0), result.output
        assert len(verdict["rules"]) == 5 and verdict["routes"]["lookup"]["asked"] > 10
    assert run("audit", str(tmp_path / "logs")).exit_code == 0


def test_replay_accepts_a_folder_of_decision_modules(tmp_path):
    folder = tmp_path / "decisions"
    shutil.copytree(Path(decisions.__file__).parent, folder, ignore=shutil.ignore_patterns("__pycache__"))
    assert run("replay", str(RECORD), "--module", str(folder)).exit_code == 0
    with open(folder / "send_queue.py", "a") as file:
        file.write("\n\nSendQueue.exceeded_limit = lambda queue, lines, quota: Limit.QUEUE\n")
    assert run("replay", str(RECORD), "--module", str(folder)).exit_code == 1
    (folder / "director.py").unlink()
    result = run("replay", str(RECORD), "--module", str(folder))
    assert result.exit_code == 2 and "director.py" in result.output
