"""Both programs as processes, the memory that they use, and sound peers of each listener."""

import contextlib
import json
import socket
import subprocess
import sys
import threading
import time

from rainpick.http1.client import Client, ClientError
from rainpick.node.frame_codec import HEARTBEAT_REPLY, encode_frame
from rainpick.otlp.encoding import RouteOutcome, encode_report
from rainpick.otlp.schema import ANSWERED
from rainpick.sasp.constants import NO_CHANGE, PUSH, TRUST, ReturnCode
from rainpick.sasp.messages import (
    Group,
    Member,
    MemberGroup,
    MemberState,
    Registration,
    SetLbState,
    SetMemberState,
    StateGroup,
)
from rainpick.simulated_peers.mqtt_client import MqttProxy
from rainpick.simulated_peers.ports import free_ports
from rainpick.simulated_peers.sasp_client import SaspClient
from tests.node.director_under_test import DirectorUnderTest
from tests.waiting import wait_until

HOST = "127.0.0.1"
FLEET = Group("rainpick", "servers")
DAEMON_MEMORY_MB = 256
LIVE_MEMORY_MB = 192  # the limit of the operators' days
PROBE_PAUSE_S = 0.05


def memory_mb(process, field="VmHWM"):
    """Return the peak of the resident memory of a process in MB, or another field of its status."""
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith(field):
                return int(line.split()[1]) / 1024
    raise ValueError(f"no {field}")


class DaemonProcess:
    """A daemon with all its listeners and ten registered servers."""

    memory_limit_mb = DAEMON_MEMORY_MB

    def __init__(self, folder):
        ports = free_ports(4)
        self.sasp, self.otlp, self.status, self.mqtt = [(HOST, port) for port in ports]
        names = "sasp", "otlp", "status", "mqtt"
        listen = {name: f"{HOST}:{port}" for name, port in zip(names, ports, strict=True)}
        settings = {
            "director": {"settle": "100ms"},
            "listen": listen,
            "routes": [{"name": "lookup", "slo_time": "500ms", "time_limit": "2s"}],
            "proxies": {"count": 1},
        }
        path = folder / "settings.json5"
        path.write_text(json.dumps(settings))
        self.log = folder / "log"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rainpick", "run", "--config", str(path)], stderr=log
            )
        wait_until(lambda: can_connect(self.sasp), "the listeners")
        self.members = SaspClient(self.sasp)
        registration = Registration(
            (MemberGroup(FLEET, tuple(Member.at(HOST, 9000 + n) for n in range(10))),)
        )
        assert self.members.request(registration).code == ReturnCode.SUCCESS

    def stop(self):
        self.members.close()
        self.process.kill()
        self.process.wait()


def can_connect(address):
    """Return whether a listener accepts connections."""
    with contextlib.suppress(OSError), socket.create_connection(address, 0.5):
        return True
    return False


class LiveProcess(DirectorUnderTest):
    """A live director as a process."""

    memory_limit_mb = LIVE_MEMORY_MB

    def __init__(self, folder):
        super().__init__(folder)


class Probe:
    """A sound peer that repeats one exchange, each time noting how long the answer took."""

    def __init__(self, name, exchange):
        self.name, self.exchange = name, exchange
        self.latencies_s, self.failures = [], []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.is_set():
            begin_s = time.monotonic()
            try:
                self.exchange()
                self.latencies_s.append(time.monotonic() - begin_s)
            except (OSError, ClientError, AssertionError) as error:
                self.failures.append(f"{type(error).__name__}: {error}")
            time.sleep(PROBE_PAUSE_S)

    def end(self):
        """Stop, and return the number of answers, the longest wait in seconds and the failures."""
        self.ended.set()
        self.thread.join(30)
        return len(self.latencies_s), max(self.latencies_s, default=float("inf")), self.failures


def report_body(reporter):
    """Encode a report of the last second."""
    now_ns = time.time_ns()
    return encode_report(reporter, now_ns - 10**9, now_ns, (), (RouteOutcome("lookup", ANSWERED, 5),))


def request(address, method, path, body=b"", headers=()):
    """Send one HTTP request on a new connection; raise ``AssertionError`` unless the status is 200."""
    client = Client(*address, timeout_s=20)
    try:
        status, _, answer = client.request(method, path, body, headers)
    finally:
        client.close()
    assert status == 200, (status, answer[:100])


def daemon_probes(daemon):
    """Return sound peers of each listener of the daemon."""
    member = SaspClient(daemon.sasp, timeout_s=20)
    own = Member.at(HOST, 9100)
    assert member.request(Registration((MemberGroup(FLEET, (own,)),))).code == ReturnCode.SUCCESS
    quiesced = [False]

    def toggle():
        quiesced[0] = not quiesced[0]
        states = (MemberState(own, 0, quiesced[0]),)
        reply = member.request(SetMemberState((StateGroup(FLEET, states),)))
        assert reply.code == ReturnCode.SUCCESS

    proxy = MqttProxy(daemon.mqtt, "sound-1", timeout_s=20)
    proxy.join(None, {})

    def ping():
        assert proxy.publish("presence", b"{}") is not None

    def register_on_new_stream():
        stream = SaspClient(daemon.sasp, timeout_s=20)
        try:
            assert stream.request(SetLbState("sound-2", 0x7F, PUSH | TRUST | NO_CHANGE)).code == 0
        finally:
            stream.close()

    body = report_body("sound-1")
    headers = (("content-type", "application/x-protobuf"),)
    return [
        Probe("status", lambda: request(daemon.status, "GET", "/status")),
        Probe("otlp", lambda: request(daemon.otlp, "POST", "/v1/metrics", body, headers)),
        Probe("sasp member", toggle),
        Probe("sasp new proxy", register_on_new_stream),
        Probe("mqtt proxy", ping),
    ]


def live_probes(live):
    """Return sound peers of the live director: a collector, and a stranger that asks for a sign of life."""
    collector = socket.create_connection(live.listen, 5)
    report = {"t": "upstream_stats", "endpoint": "s-0001", "locality": "a", "total": 5, "errors": 1}
    report = encode_frame(report | {"rtt": 7.5, "interval": 1000})
    collector.sendall(encode_frame({"t": "telemetry", "locality": "a"}) + report)

    def heartbeat(sock, begin=b""):
        sock.settimeout(20)
        sock.sendall(begin + encode_frame({"t": "hb"}))
        data = b""
        while len(data) < len(HEARTBEAT_REPLY):
            received = sock.recv(100)
            assert received, "closed before the answer"
            data += received

    def stranger():
        with socket.create_connection(live.listen, 5) as sock:
            heartbeat(sock)

    return [Probe("collector", lambda: heartbeat(collector, report)), Probe("stranger", stranger)]
