"""Stand-in servers: slots, a waiting room, cold starts, faults by script; members of the directors' list."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from collections import deque
from heapq import heapreplace

from rainpick.http1.server import Answer, Asked, Server
from rainpick.sasp import codec
from rainpick.sasp.codec import Group, Member
from rainpick.standins.log import Log, now_us
from rainpick.standins.sasp_client import SaspClient

ROOM_US = 1_500_000  # work is turned away that would wait longer
SLACK = 4  # calls of mean work that a cold server stands beyond its budget


class Pod:
    """What servers of a pod know together: calls that ran lately, so that repeats are dropped."""

    def __init__(self) -> None:
        self.lock, self.seen = threading.Lock(), {}

    def is_repeat(self, call: str, window_us: int) -> bool:
        now = now_us()
        with self.lock:
            if len(self.seen) > 4096:
                self.seen = {known: until for known, until in self.seen.items() if until > now}
            if self.seen.get(call, 0) > now:
                return True
            self.seen[call] = now + window_us
            return False


class StandInServer:
    """One server on loopback. It registers with each director and serves calls as fast as it can just now."""

    def __init__(self, number: int, day: dict, pod: Pod, log: Log):
        machine = day["machines"][number % len(day["machines"])]
        self.number, self.day, self.pod, self.log = number, day, pod, log
        self.slots, self.speed, self.weight = machine["slots"], machine["speed"], machine["weight"]
        self.label = (
            f"weight={self.weight};zone={day['zones'][number % len(day['zones'])]};"
            f"machine={machine['name']};pod={self.pod_number()}"
        )
        self.group = Group(day["uid"], day["group"])
        self.routes = {route["name"]: route for route in day["routes"]}
        self.chance = random.Random(f"{day['seed']} server {number}")
        self.boots, self.place, self.front = 0, ("127.0.0.1", 0), None
        self.slow, self.drop_share, self.hung = 1.0, 0.0, False
        self.lock, self.arrived = threading.Lock(), deque()
        self.running, self.quiesced = threading.Event(), False
        self.streams: dict[int, SaspClient] = {}

    def pod_number(self) -> int:
        return self.number // (len(self.day["zones"]) * 2) * len(self.day["zones"]) + self.number % len(
            self.day["zones"]
        )

    def name(self) -> str:
        return "%s:%d" % self.place

    # Calls

    def capacity(self, now: int) -> float:
        """Microseconds of work it does in a microsecond: less while it is cold."""
        rules = self.day["rules"]
        age = (now - self.started_us) / rules["warm_after"]
        least = rules["start_capacity"]
        return self.slots * self.speed * min(1.0, least + (1 - least) * age)

    def serve(self, asked: Asked) -> Answer:
        now, call = now_us(), asked.headers.get("call", "?")
        route = self.routes[asked.path.strip("/")]
        self.log("call", s=self.name(), id=call, r=route["name"], w=route["work"])
        while self.hung and self.running.is_set():
            time.sleep(0.02)
        if not self.running.is_set():
            raise ConnectionResetError
        if self.falls(now, route["work"]):
            self.stop("fell")
            raise ConnectionResetError
        if self.chance.random() < self.drop_share:
            return Answer(500, b"broken", "text/plain")
        if route["effect"] == "keyed" and self.pod.is_repeat(call, route["window"]):
            self.log("repeat", s=self.name(), id=call)
            return Answer(200, b"dropped: it runs already", "text/plain")
        work = self.chance.expovariate(1 / route["work"]) / 2 + route["work"] / 2
        took = work * self.slots / self.capacity(now) * self.slow
        with self.lock:
            begin = max(now, self.free[0])
            if begin - now > ROOM_US:
                return Answer(503, b"full", "text/plain")
            heapreplace(self.free, begin + took)
        time.sleep(max(0.0, (begin + took - now_us()) / 1e6))
        if not self.running.is_set():
            raise ConnectionResetError
        if route["effect"] != "repeatable":
            self.log("effect", s=self.name(), id=call, r=route["name"])
        return Answer(200, b"ok", "text/plain")

    def falls(self, now: int, work: int) -> bool:
        """Whether a cold server has been sent more than it stands."""
        rules = self.day["rules"]
        if now - self.started_us >= rules["warm_after"]:
            return False
        with self.lock:
            self.arrived.append((now, work))
            while self.arrived[0][0] <= now - rules["fall"]:
                self.arrived.popleft()
            sent = sum(work for _, work in self.arrived)
        return sent > rules["fall_multiple"] * self.capacity(now) * rules["fall"] + SLACK * work

    # Life

    def start(self, cold: bool) -> None:
        self.boots += 1
        self.started_us = now_us() - (0 if cold else self.day["rules"]["warm_after"])
        self.free, self.arrived = [0.0] * self.slots, deque()
        self.hung, self.quiesced = False, False
        self.front = Server("server", self.place, self.serve, connections_most=512)
        self.place = self.front.address
        self.running.set()
        self.log(
            "start",
            s=self.name(),
            n=self.number,
            born=self.started_us,
            pod=self.pod_number(),
            capacity=self.slots * self.speed,
        )
        for director, place in enumerate(self.day["directors"]):
            words = director, tuple(place), self.boots
            threading.Thread(target=self.speak, args=words, daemon=True).start()

    def speak(self, director: int, place: tuple[str, int], boot: int) -> None:
        """Keep registered with a director while this start of the server lasts."""
        member = None
        while self.running.is_set() and self.boots == boot:
            try:
                stream = SaspClient(place)
                self.streams[director] = stream
                age = (now_us() - self.started_us) / 1e6
                member = Member.at(*self.place, f"{self.label};boot={boot};age={age:.3f}")
                reply = stream.ask(codec.Registration((codec.Members(self.group, (member,)),)))
                if reply.code != codec.SUCCESS:
                    raise ConnectionAbortedError(f"registration refused: {reply.code:#04x}")
                self.log("said", s=self.name(), d=director, what="ready")
                if self.quiesced:
                    self.tell_drain(director, stream)
                while True:
                    stream.receive(None)
            except OSError:
                self.log("lost", s=self.name(), d=director)
                if self.running.is_set() and self.boots == boot:
                    time.sleep(0.2)

    def tell_drain(self, director: int, stream: SaspClient) -> None:
        state = codec.MemberState(Member.at(*self.place), 0, True)
        stream.send(codec.SetMemberState((codec.States(self.group, (state,)),)))
        self.log("said", s=self.name(), d=director, what="draining")

    def drain(self) -> None:
        self.quiesced = True
        for director, stream in list(self.streams.items()):
            with contextlib.suppress(OSError):
                self.tell_drain(director, stream)

    def leave(self) -> None:
        """Deregister, then end in good order."""
        for director, stream in list(self.streams.items()):
            with contextlib.suppress(OSError):
                group = codec.Members(self.group, (Member.at(*self.place),))
                stream.send(codec.Deregistration((group,), reason=codec.PURPOSEFUL))
                self.log("said", s=self.name(), d=director, what="gone")
        time.sleep(0.05)
        self.stop("left")

    def stop(self, how: str) -> None:
        if self.running.is_set():
            self.running.clear()
            self.log("stop", s=self.name(), how=how)
            self.front.close()
            for stream in list(self.streams.values()):
                stream.close()
            self.streams.clear()

    def break_streams(self) -> None:
        for stream in list(self.streams.values()):
            stream.close()


class Fleet:
    """All servers of a day; does what the script says."""

    def __init__(self, day: dict, log: Log):
        pods: dict[int, Pod] = {}
        self.day, self.servers, self.log = day, [], log
        for number in range(day["servers"]):
            server = StandInServer(number, day, Pod(), log)
            server.pod = pods.setdefault(server.pod_number(), server.pod)
            self.servers.append(server)
        for server in self.servers:
            server.start(cold=False)

    def do(self, what: str, servers: list[int], **words) -> None:
        for number in servers:
            server = self.servers[number]
            if what == "slow":
                server.slow = words["factor"]
            elif what == "drop":
                server.drop_share = words["share"]
            elif what == "hang":
                server.hung = words["on"]
            elif what == "die":
                server.stop("died")
            elif what == "start" and not server.running.is_set():
                server.start(cold=True)
            elif what == "break_member_streams":
                server.break_streams()
            elif what == "drain":
                server.drain()
            elif what == "replace":
                threading.Thread(
                    target=self.replace, args=(server, words["notice_s"], words["down_s"]), daemon=True
                ).start()

    @staticmethod
    def replace(server: StandInServer, notice_s: float, down_s: float) -> None:
        """A deploy: told, drained, ended, started anew and cold."""
        server.drain()
        time.sleep(notice_s)
        server.leave()
        time.sleep(down_s)
        server.start(cold=True)

    def close(self) -> None:
        for server in self.servers:
            server.stop("end")
