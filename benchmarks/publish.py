"""The publish-subscribe front: a deploy of a third of 100 servers before 300 proxies, changes beside wholes.

Then one drain until every proxy holds the right digest, beside the floor; and the cost as proxies grow.
"""

import json
import re
import resource
import selectors
import socket
import statistics
import sys
import time

from benchmarks.fleet import usage
from benchmarks.peers import Floor, Proxies, folder, launch, member_stream, row, start_director, wait_for
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
from rainpick.simulated_peers.day import free_ports

SERVERS, FLEET = 100, Group("rainpick", "servers")
DIGEST = re.compile(rb'"digest":"([0-9a-f]{16})"')


class MqttProxies:
    """Proxies in one thread that acknowledge what they read and remember the newest digest."""

    def __init__(self, place: tuple[str, int], many: int):
        self.selector, self.framers, self.digests, self.messages = selectors.DefaultSelector(), {}, {}, 0
        for number in range(many):
            uid = f"edge-{number}"
            sock = socket.create_connection(place, 10)
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

    def turn(self, timeout_s: float, mute: frozenset = frozenset()) -> None:
        for key, _ in self.selector.select(timeout_s):
            sock = key.fileobj
            if sock in mute:
                continue
            data = sock.recv(1 << 18)
            if not data:
                raise ConnectionResetError("the director closed a connection")
            framer, answers = self.framers[sock], b""
            framer.feed(data)
            while (one := framer.next()) is not None:
                if isinstance(one, mqtt.Publish):
                    self.messages += 1
                    answers += mqtt.encode_packet(mqtt.Puback(one.packet_id))
                    found = DIGEST.findall(one.payload)
                    if found:
                        self.digests[sock] = found[-1].decode(), time.monotonic_ns()
            if answers:
                sock.sendall(answers)

    def until(self, digest, limit_s: float = 60.0) -> int:
        """Until all hold the digest that ``digest()`` gives; the moment of the last (ns)."""
        end = time.monotonic() + limit_s
        while True:
            self.turn(0.05)
            wanted, all_told = digest(), len(self.digests) == len(self.framers)
            if all_told and all(one == wanted for one, _ in self.digests.values()):
                return max(moment for _, moment in self.digests.values())
            if time.monotonic() > end:
                raise TimeoutError("not all hold the newest version")

    def close(self) -> None:
        for sock in self.framers:
            sock.close()
        self.selector.close()


def status(place) -> dict:
    client = Client(*place)
    found = json.loads(client.request("GET", "/status")[2])
    client.close()
    return found


def deploy(fleet, turn) -> None:
    """A third of the servers, three at a time: drained, gone, back with a new start."""
    for first in range(0, SERVERS // 3, 3):
        group = [Member.at("127.0.0.1", 9000 + port) for port in range(first, first + 3)]
        fleet.request(SetMemberState((StateGroup(FLEET, tuple(MemberState(one, 0, True) for one in group)),)))
        turn(0.3)
        fleet.request(Deregistration((MemberGroup(FLEET, tuple(group)),)))
        fresh = tuple(one._replace(label="boot=2;age=0") for one in group)
        fleet.request(Registration((MemberGroup(FLEET, fresh),)))
        turn(0.1)


def begin(**parts):
    (port,) = free_ports(1)
    director, places, config = start_director(
        folder(),
        proxies={"count": 1},
        rules={"warm_after": "4s"},
        channel={"lines_per_s": 1e9, "pending_lines": 10_000_000},
    )
    director.kill()
    director.wait()
    plain = json.loads(config.read_text())
    plain["listen"]["mqtt"] = f"127.0.0.1:{port}"
    config.write_text(json.dumps(plain | parts))
    director = launch(config)
    for place in (places["sasp"], ("127.0.0.1", port)):
        wait_for(place)
    return director, places | {"mqtt": ("127.0.0.1", port)}, member_stream(places["sasp"], range(9000, 9100))


def newest(places):
    """The digest of the table as it is now; None before there is one."""

    def ask():
        tables = status(places["status"]).get("tables")
        return tables[0]["digest"] if tables else None

    return ask


def over_mqtt(many: int, silent: int = 0) -> dict:
    """A deploy before so many proxies, some of which read nothing of it."""
    director, places, fleet = begin()
    try:
        proxies = MqttProxies(places["mqtt"], many)
        proxies.until(newest(places))
        mute = frozenset(list(proxies.framers)[:silent])
        before, cpu = status(places["status"])["subscribers"], usage(director.pid)[0]
        proxies.messages = 0

        def turn(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                proxies.turn(0.02, mute)

        deploy(fleet, turn)
        turn(7.0)
        for sock in mute:
            proxies.selector.unregister(sock)
            del proxies.framers[sock], proxies.digests[sock]
        proxies.until(newest(places))
        after = status(places["status"])["subscribers"]
        whole = len(
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
        found = {
            "messages": proxies.messages,
            "bytes": after["bytes"] - before["bytes"],
            "as_wholes": proxies.messages * whole,
            "cpu_s": usage(director.pid)[0] - cpu,
            "memory_mb": usage(director.pid)[1],
            "wholes": after["wholes"] - before["wholes"],
        }
        found["let_go"] = status(places["status"])["streams"]["let_go"]
        found["drains"], found["floor"] = (
            drains(places, fleet, proxies, many) if many == 300 and not silent else ([], [])
        )
        proxies.close()
        return found
    finally:
        director.terminate()
        director.wait(10)


def drains(places, fleet, proxies, many):
    """One server drained at a time, until the last proxy has read it; the same bytes from the floor."""
    change = payloads.encode(
        TableDelta("0-0000000000000", 0, 98, 99, "0" * 16, (ServerWeight("127.0.0.1:9040", 0),))
    )
    topic = topics.table_topic(0)
    frames = [
        mqtt.encode_publish_header(topic, 1, False, len(change)) + b"\0\1\0" + change for _ in range(many)
    ]
    floor = Floor(frames)
    side = Raw(floor.place, many)
    ours, theirs = [], []
    for port in range(9040, 9070):
        stop = time.monotonic() + 0.05
        while time.monotonic() < stop:
            proxies.turn(0.01)
        held = {sock: digest for sock, (digest, _) in proxies.digests.items()}
        start = time.monotonic_ns()
        fleet.send(
            SetMemberState((StateGroup(FLEET, (MemberState(Member.at("127.0.0.1", port), 0, True),)),))
        )
        while any(proxies.digests[sock][0] == digest for sock, digest in held.items()):
            proxies.turn(1.0)
        ours.append((max(moment for _, moment in proxies.digests.values()) - start) / 1e6)
        start = time.monotonic_ns()
        floor.tell()
        theirs.append((side.all_read() - start) / 1e6)
    floor.close()
    return ours, theirs


class Raw(MqttProxies):
    """The same reader and the same acknowledgements, on sockets that were told nothing before."""

    def __init__(self, place, many):
        self.selector, self.framers, self.digests, self.messages = selectors.DefaultSelector(), {}, {}, 0
        for _ in range(many):
            sock = socket.create_connection(place, 10)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.framers[sock] = mqtt.PacketFramer(1 << 24)
            self.selector.register(sock, selectors.EVENT_READ)

    def all_read(self) -> int:
        self.digests.clear()
        while len(self.digests) < len(self.framers):
            self.turn(1.0)
        return max(moment for _, moment in self.digests.values())


def over_sasp(many: int) -> dict:
    director, places, fleet = begin()
    try:
        proxies = Proxies(places["sasp"], many)
        proxies.dial()
        proxies.pushed()
        proxies.drain_quiet()
        cpu, before = usage(director.pid)[0], status(places["status"])["engine"]

        def turn(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                for key, _ in proxies.selector.select(0.02):
                    proxies.has_push(proxies.streams[key.fileobj], key.fileobj.recv(1 << 18))

        deploy(fleet, turn)
        turn(7.0)
        after = status(places["status"])["engine"]
        return {
            "messages": after["messages"] - before["messages"],
            "cpu_s": usage(director.pid)[0] - cpu,
            "lines": after["lines"] - before["lines"],
            "memory_mb": usage(director.pid)[1],
        }
    finally:
        director.terminate()
        director.wait(10)


def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (20_000, 20_000))
    rows = {many: over_mqtt(many) for many in (100, 300, 1000)}
    for many, found in rows.items():
        print(
            f"{many} proxies: {found['messages']} messages, {found['bytes'] / 1e6:.2f} MB "
            f"({found['wholes']} wholes), wholes alone would be {found['as_wholes'] / 1e6:.2f} MB: "
            f"{found['bytes'] / found['as_wholes']:.3f}; CPU {found['cpu_s']:.2f} s, "
            f"{found['cpu_s'] / many * 1e3:.2f} ms a proxy; {found['memory_mb']:.0f} MB resident"
        )
    silent = over_mqtt(300, 30)
    print(
        f"300 proxies, 30 read nothing: {silent['memory_mb']:.0f} MB resident, {silent['let_go']} let go; "
        f"with all reading {rows[300]['memory_mb']:.0f} MB"
    )
    sasp = over_sasp(300)
    print(
        f"the same day over SASP, 300 proxies: {sasp['messages']} messages, CPU {sasp['cpu_s']:.2f} s, "
        f"MQTT {rows[300]['cpu_s'] / sasp['cpu_s']:.2f} times; {sasp['memory_mb']:.0f} MB resident"
    )
    print(row("a drain until the last of 300 has the change", rows[300]["drains"], "ms"))
    print(row("floor: the same bytes", rows[300]["floor"], "ms"))
    ours, theirs = (statistics.median(rows[300][which]) for which in ("drains", "floor"))
    print(f"ratio of medians {ours / theirs:.2f}")


if __name__ == "__main__":
    sys.exit(main())
