"""Cost of the publish-subscribe frontend: table deltas compared with snapshots, by number of proxies.

The load is a rolling deploy of a third of 100 servers. Then, for 300 proxies, single drains are timed until
every proxy has the new digest, compared with the baseline; and the deploy is repeated over SASP.
"""

import json
import re
import resource
import selectors
import socket
import statistics
import sys
import time

from benchmarks.fleet import process_usage
from benchmarks.peers import (
    Baseline,
    Proxies,
    format_row,
    launch_director,
    register_servers,
    start_director,
    temporary_folder,
    wait_for_listener,
)
from rainpick.http1.client import Client
from rainpick.mqtt import codec as mqtt
from rainpick.publish import payloads, topics
from rainpick.publish.payloads import Presence, ServerWeight, TableDelta
from rainpick.sasp.messages import (
    Deregistration,
    Group,
    Member,
    MemberGroup,
    MemberState,
    Registration,
    SetMemberState,
    StateGroup,
)
from rainpick.simulated_peers.ports import free_ports

SERVERS, FLEET = 100, Group("rainpick", "servers")
DIGEST = re.compile(rb'"digest":"([0-9a-f]{16})"')


class MqttProxies:
    """MQTT proxies in one thread that acknowledge each message and store the newest digest."""

    def __init__(self, address: tuple[str, int], count: int):
        self.selector, self.framers, self.digests, self.messages = selectors.DefaultSelector(), {}, {}, 0
        for number in range(count):
            uid = f"edge-{number}"
            sock = socket.create_connection(address, 10)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            filters = (topics.assignment_topic(uid), 1), (f"{topics.TOPIC_ROOT}/table/+", 1)
            sock.sendall(
                mqtt.encode_packet(mqtt.Connect(uid))
                + mqtt.encode_packet(mqtt.Subscribe(1, filters))
                + mqtt.encode_packet(
                    mqtt.Publish(topics.proxy_topic(uid, "presence"), payloads.encode(Presence("here")), 1, 2)
                )
            )
            self.framers[sock] = mqtt.PacketFramer(1 << 24)
            self.selector.register(sock, selectors.EVENT_READ)

    def poll(self, timeout_s: float, ignored: frozenset = frozenset()) -> None:
        """Read and acknowledge what has arrived, except on the ignored sockets."""
        for key, _ in self.selector.select(timeout_s):
            sock = key.fileobj
            if sock in ignored:
                continue
            data = sock.recv(1 << 18)
            if not data:
                raise ConnectionResetError("the director closed a connection")
            framer, acknowledgements = self.framers[sock], b""
            framer.feed(data)
            while (packet := framer.next()) is not None:
                if isinstance(packet, mqtt.Publish):
                    self.messages += 1
                    acknowledgements += mqtt.encode_packet(mqtt.Puback(packet.packet_id))
                    digests = DIGEST.findall(packet.payload)
                    if digests:
                        self.digests[sock] = digests[-1].decode(), time.monotonic_ns()
            if acknowledgements:
                sock.sendall(acknowledgements)

    def wait_for_digest(self, current_digest, timeout_s: float = 60.0) -> int:
        """Wait until all proxies have the digest that ``current_digest()`` returns.

        Return the time (ns) at which the last proxy received it.
        """
        end = time.monotonic() + timeout_s
        while True:
            self.poll(0.05)
            expected, all_received = current_digest(), len(self.digests) == len(self.framers)
            if all_received and all(digest == expected for digest, _ in self.digests.values()):
                return max(received_ns for _, received_ns in self.digests.values())
            if time.monotonic() > end:
                raise TimeoutError(
                    f"not all proxies received the table with digest {expected} within {timeout_s:.0f} s"
                )

    def close(self) -> None:
        for sock in self.framers:
            sock.close()
        self.selector.close()


def read_status(address) -> dict:
    client = Client(*address)
    status = json.loads(client.request("GET", "/status")[2])
    client.close()
    return status


def deploy(servers, poll_for) -> None:
    """Restart a third of the servers, three at a time: drain, deregister, register with a new start time.

    ``poll_for`` is called to read from the proxies for a number of seconds.
    """
    for first in range(0, SERVERS // 3, 3):
        batch = [Member.at("127.0.0.1", 9000 + port) for port in range(first, first + 3)]
        servers.request(
            SetMemberState((StateGroup(FLEET, tuple(MemberState(member, 0, True) for member in batch)),))
        )
        poll_for(0.3)
        servers.request(Deregistration((MemberGroup(FLEET, tuple(batch)),)))
        restarted = tuple(member._replace(label="boot=2;age=0") for member in batch)
        servers.request(Registration((MemberGroup(FLEET, restarted),)))
        poll_for(0.1)


def start_mqtt_director(**parts):
    """Start a director with an MQTT listener, and register the servers.

    Return the process, its listen addresses, and the client that keeps the servers' stream open.
    """
    (port,) = free_ports(1)
    director, addresses, settings_file = start_director(
        temporary_folder(),
        proxies={"count": 1},
        rules={"warm_after": "4s"},
        channel={"lines_per_s": 1e9, "pending_lines": 10_000_000},
    )
    director.kill()
    director.wait()
    settings = json.loads(settings_file.read_text())
    settings["listen"]["mqtt"] = f"127.0.0.1:{port}"
    settings_file.write_text(json.dumps(settings | parts))
    director = launch_director(settings_file)
    for address in (addresses["sasp"], ("127.0.0.1", port)):
        wait_for_listener(address)
    return (
        director,
        addresses | {"mqtt": ("127.0.0.1", port)},
        register_servers(addresses["sasp"], range(9000, 9100)),
    )


def current_digest_reader(addresses):
    """Return a function that queries the digest of the current table; None while there is no table."""

    def query():
        tables = read_status(addresses["status"]).get("tables")
        return tables[0]["digest"] if tables else None

    return query


def measure_mqtt(count: int, unresponsive: int = 0) -> dict:
    """Measure a deploy with ``count`` proxies, of which ``unresponsive`` read nothing during the deploy."""
    director, addresses, servers = start_mqtt_director()
    try:
        proxies = MqttProxies(addresses["mqtt"], count)
        proxies.wait_for_digest(current_digest_reader(addresses))
        ignored = frozenset(list(proxies.framers)[:unresponsive])
        before, cpu_s = read_status(addresses["status"])["subscribers"], process_usage(director.pid)[0]
        proxies.messages = 0

        def poll_for(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                proxies.poll(0.02, ignored)

        deploy(servers, poll_for)
        poll_for(7.0)
        for sock in ignored:
            proxies.selector.unregister(sock)
            del proxies.framers[sock], proxies.digests[sock]
        proxies.wait_for_digest(current_digest_reader(addresses))
        after = read_status(addresses["status"])["subscribers"]
        snapshot_bytes = len(
            payloads.encode(
                payloads.TableSnapshot(
                    "0-0000000000000",
                    0,
                    99,
                    "0" * 16,
                    tuple(ServerWeight(f"127.0.0.1:{9000 + port}", 4096) for port in range(SERVERS)),
                )
            )
        )
        result = {
            "messages": proxies.messages,
            "bytes": after["bytes"] - before["bytes"],
            "as_snapshots": proxies.messages * snapshot_bytes,
            "cpu_s": process_usage(director.pid)[0] - cpu_s,
            "memory_mb": process_usage(director.pid)[1],
            "wholes": after["wholes"] - before["wholes"],
        }
        result["let_go"] = read_status(addresses["status"])["streams"]["let_go"]
        result["drains"], result["baseline"] = (
            measure_drains(addresses, servers, proxies, count)
            if count == 300 and not unresponsive
            else ([], [])
        )
        proxies.close()
        return result
    finally:
        director.terminate()
        director.wait(10)


def measure_drains(addresses, servers, proxies, count):
    """Drain one server at a time; return the times (ms) until the last proxy has received the change.

    The second list has the times of the baseline, which writes the same bytes.
    """
    delta = payloads.encode(
        TableDelta("0-0000000000000", 0, 98, 99, "0" * 16, (ServerWeight("127.0.0.1:9040", 0),))
    )
    topic = topics.table_topic(0)
    frames = [
        mqtt.encode_publish_header(topic, 1, False, len(delta)) + b"\0\1\0" + delta for _ in range(count)
    ]
    baseline = Baseline(frames)
    baseline_proxies = BaselineMqttProxies(baseline.address, count)
    times_ms, baseline_times_ms = [], []
    for port in range(9040, 9070):
        end = time.monotonic() + 0.05
        while time.monotonic() < end:
            proxies.poll(0.01)
        old_digests = {sock: digest for sock, (digest, _) in proxies.digests.items()}
        begin_ns = time.monotonic_ns()
        servers.send(
            SetMemberState((StateGroup(FLEET, (MemberState(Member.at("127.0.0.1", port), 0, True),)),))
        )
        while any(proxies.digests[sock][0] == digest for sock, digest in old_digests.items()):
            proxies.poll(1.0)
        times_ms.append((max(received_ns for _, received_ns in proxies.digests.values()) - begin_ns) / 1e6)
        begin_ns = time.monotonic_ns()
        baseline.trigger()
        baseline_times_ms.append((baseline_proxies.wait_for_all() - begin_ns) / 1e6)
    baseline.close()
    return times_ms, baseline_times_ms


class BaselineMqttProxies(MqttProxies):
    """Connections to the baseline: the same reads and acknowledgements, without any packets before them."""

    def __init__(self, address, count):
        self.selector, self.framers, self.digests, self.messages = selectors.DefaultSelector(), {}, {}, 0
        for _ in range(count):
            sock = socket.create_connection(address, 10)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.framers[sock] = mqtt.PacketFramer(1 << 24)
            self.selector.register(sock, selectors.EVENT_READ)

    def wait_for_all(self) -> int:
        """Wait until every proxy has received a digest; return the time (ns) of the last one."""
        self.digests.clear()
        while len(self.digests) < len(self.framers):
            self.poll(1.0)
        return max(received_ns for _, received_ns in self.digests.values())


def measure_sasp(count: int) -> dict:
    """Measure the same deploy with ``count`` SASP proxies."""
    director, addresses, servers = start_mqtt_director()
    try:
        proxies = Proxies(addresses["sasp"], count)
        proxies.connect()
        proxies.wait_for_weights()
        proxies.discard_until_idle()
        cpu_s, before = process_usage(director.pid)[0], read_status(addresses["status"])["engine"]

        def poll_for(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                for key, _ in proxies.selector.select(0.02):
                    proxies.consume_messages(proxies.streams[key.fileobj], key.fileobj.recv(1 << 18))

        deploy(servers, poll_for)
        poll_for(7.0)
        after = read_status(addresses["status"])["engine"]
        return {
            "messages": after["messages"] - before["messages"],
            "cpu_s": process_usage(director.pid)[0] - cpu_s,
            "lines": after["lines"] - before["lines"],
            "memory_mb": process_usage(director.pid)[1],
        }
    finally:
        director.terminate()
        director.wait(10)


def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (20_000, 20_000))
    results = {count: measure_mqtt(count) for count in (100, 300, 1000)}
    for count, result in results.items():
        print(
            f"{count} proxies: {result['messages']} messages, {result['bytes'] / 1e6:.2f} MB "
            f"({result['wholes']} wholes), wholes alone would be {result['as_snapshots'] / 1e6:.2f} MB: "
            f"{result['bytes'] / result['as_snapshots']:.3f}; CPU {result['cpu_s']:.2f} s, "
            f"{result['cpu_s'] / count * 1e3:.2f} ms a proxy; {result['memory_mb']:.0f} MB resident"
        )
    unresponsive = measure_mqtt(300, 30)
    print(
        f"300 proxies, 30 read nothing: {unresponsive['memory_mb']:.0f} MB resident, "
        f"{unresponsive['let_go']} let go; "
        f"with all reading {results[300]['memory_mb']:.0f} MB"
    )
    sasp = measure_sasp(300)
    print(
        f"the same day over SASP, 300 proxies: {sasp['messages']} messages, CPU {sasp['cpu_s']:.2f} s, "
        f"MQTT {results[300]['cpu_s'] / sasp['cpu_s']:.2f} times; {sasp['memory_mb']:.0f} MB resident"
    )
    print(format_row("a drain until the last of 300 has the change", results[300]["drains"], "ms"))
    print(format_row("floor: the same bytes", results[300]["baseline"], "ms"))
    director_ms, baseline_ms = (statistics.median(results[300][key]) for key in ("drains", "baseline"))
    print(f"ratio of medians {director_ms / baseline_ms:.2f}")


if __name__ == "__main__":
    sys.exit(main())
