"""Stand-in proxies with their clients: they hold the last weights, pick by them, repeat only when told."""

from __future__ import annotations

import random
import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

from rainpick.http1.client import Client, ClientError
from rainpick.otlp import metrics
from rainpick.publish.follow import Follower
from rainpick.publish.payloads import key
from rainpick.sasp import codec
from rainpick.sasp.codec import Group, Member
from rainpick.standins.log import Log, now_us
from rainpick.standins.mqtt_client import MqttProxy
from rainpick.standins.sasp_client import SaspClient

BEAT_S = 1.0  # how often a proxy says that it lives
Key = tuple[str, int]


class StandInProxy:
    """One plain proxy: a stream to a director, a table, connections to servers, a reporter."""

    def __init__(self, number: int, day: dict, standing: list[Key], pods: dict[Key, int], log: Log):
        self.uid, self.day, self.log, self.pods = f"edge-{number}", day, log, pods
        self.number, self.group = number, Group(f"edge-{number}", day["group"])
        self.routes = {route["name"]: route for route in day["routes"]}
        self.weights: dict[Key, int] = dict.fromkeys(standing, 1)
        self.chance = random.Random(f"{day['seed']} proxy {number}")
        self.lock, self.busy = threading.Lock(), defaultdict(int)
        self.wheel: dict[Key, float] = {}
        self.idle: dict[Key, list[Client]] = defaultdict(list)
        self.met: dict = defaultdict(lambda: [0, 0.0])
        self.calls: dict = defaultdict(int)
        self.ended, self.reads, self.stream = threading.Event(), threading.Event(), None
        self.reads.set()
        self.report_how, self.period_ns = "usual", time.time_ns()
        self.follower: Follower | None = None
        log("standing", p=self.uid, m=[["%s:%d" % server, 1] for server in standing])
        for job in (self.follow, self.report):
            threading.Thread(target=job, daemon=True).start()

    # Weights

    def follow(self) -> None:
        """Hold a stream to one of the directors, over its front; what it says last counts."""
        turn = self.number % max(1, len(self.day["directors"]))
        fronts = self.day["fronts"]
        hold = self.over_mqtt if fronts[self.number % len(fronts)] == "mqtt" else self.over_sasp
        while not self.ended.is_set():
            try:
                hold(turn % len(self.day["directors"]))
            except OSError as flaw:
                self.log("left", p=self.uid, why=str(flaw))
                turn += 1
                self.ended.wait(self.chance.uniform(*self.day["redial_s"]))

    def over_sasp(self, director: int) -> None:
        self.stream = stream = SaspClient(tuple(self.day["directors"][director]))
        self.check(stream.ask(codec.SetLbState(self.uid)))
        with self.lock:
            held = tuple(Member.at(*server) for server in self.weights)
        self.check(stream.ask(codec.Registration((codec.Members(self.group, held),), True)))
        self.log("joined", p=self.uid, d=director)
        beat = time.monotonic() + BEAT_S
        while True:
            for message in stream.weights(0.2):
                self.apply(message)
            self.reads.wait()
            if time.monotonic() >= beat:
                beat += BEAT_S
                stream.send(codec.SetLbState(self.uid))

    def over_mqtt(self, director: int) -> None:
        self.stream = stream = MqttProxy(tuple(self.day["mqtt"][director]), self.uid)
        with self.lock:
            held = {"%s:%d" % server: weight for server, weight in self.weights.items()}
        self.follower = stream.join(self.follower, held)
        self.log("joined", p=self.uid, d=director)
        while True:
            if stream.read(0.2):
                self.hold(self.follower.open_lines())
            self.reads.wait()

    def hold(self, lines: dict[str, int]) -> None:
        """What it holds now, from a table that was checked."""
        fresh = {key(server): weight for server, weight in lines.items()}
        with self.lock:
            news = [
                ["%s:%d" % server, weight, 0]
                for server, weight in fresh.items()
                if self.weights.get(server) != weight
            ]
            news += [["%s:%d" % server, 0, 0] for server in self.weights if server not in fresh]
            for server in [server for server in self.weights if server not in fresh]:
                for client in self.idle.pop(server, ()):
                    client.close()
            self.weights = fresh
        self.log("weights", p=self.uid, m=news)

    @staticmethod
    def check(reply: codec.Message) -> None:
        if reply.code != codec.SUCCESS:
            raise ConnectionAbortedError(f"refused: {reply.code:#04x}")

    def apply(self, message: codec.SendWeights) -> None:
        news = [
            [*entry.member.key(), entry.weight, entry.flags]
            for group in message.groups
            for entry in group.entries
        ]
        with self.lock:
            for host, port, weight, _ in news:
                if weight:
                    self.weights[host, port] = weight
                else:
                    self.weights.pop((host, port), None)
                    for client in self.idle.pop((host, port), ()):
                        client.close()  # it is not to be used: what is open there would only go stale
        self.log("weights", p=self.uid, m=[[f"{host}:{port}", *rest] for host, port, *rest in news])

    def pick(self, route: str, tried: list[Key]) -> Key | None:
        with self.lock:
            able = {server: weight for server, weight in self.weights.items() if server not in tried}
            if not able:
                return None
            if self.day["pick"] == "wheel":  # smooth weighted round robin
                for server, weight in able.items():
                    self.wheel[server] = self.wheel.get(server, 0) + weight
                best = max(able, key=lambda server: self.wheel[server])
                self.wheel[best] -= sum(able.values())
                return best
            many = 2 if self.day["pick"] == "pair" else 1
            drawn = self.chance.choices(list(able), list(able.values()), k=many)
            return min(drawn, key=lambda server: self.busy[server])

    # Calls

    def call(self, route: dict, call: str, until_us: int) -> str:
        """Try a server, and another only when told to; answered, dropped or throttled."""
        tried: list[Key] = []
        repeat, outcome = self.day["repeat"], "throttled"
        first_us = now_us()
        while True:
            server = self.pick(route["name"], tried)
            if server is None or now_us() >= until_us:
                break
            if tried:
                self.log(
                    "again",
                    p=self.uid,
                    id=call,
                    r=route["name"],
                    s="%s:%d" % server,
                    after=["%s:%d" % tried[0]],
                    first=first_us,
                )
            outcome = self.send(route, call, server, until_us)
            tried.append(server)
            if outcome == "answered" or repeat == "never" or len(tried) > 1:
                break
            if repeat == "same_pod":
                pod = self.pods.get(server)
                tried += [other for other, theirs in self.pods.items() if theirs != pod]
        self.calls[route["name"], outcome] += 1
        return outcome

    def send(self, route: dict, call: str, server: Key, until_us: int) -> str:
        begin = now_us()
        self.log("try", at=begin, p=self.uid, id=call, r=route["name"], s="%s:%d" % server)
        limit_s = max(0.01, min(until_us - begin, self.day["try_share"] * route["limit"]) / 1e6)
        pool = self.idle[server]
        with self.lock:
            self.busy[server] += 1
            client = pool.pop() if pool else Client(*server)
        try:
            who = ("call", call), ("proxy", self.uid)
            status, _, _ = client.call("POST", f"/{route['name']}", b"", who, limit_s)
            outcome = {200: "answered", 503: "throttled"}.get(status, "dropped")
        except ClientError:
            outcome = "dropped"
        took = now_us() - begin
        with self.lock:
            self.busy[server] -= 1
            if client.sock is not None and len(pool) < 8:
                pool.append(client)
            row = self.met[server, outcome]
            row[0], row[1] = row[0] + 1, row[1] + took / 1e6
        self.log("end", p=self.uid, id=call, s="%s:%d" % server, out=outcome)
        return outcome

    # Reports

    def report(self) -> None:
        client, kept = Client(*self.day["otlp"][0], timeout_s=2.0), None
        while not self.ended.wait(self.day["report_s"]):
            start, self.period_ns = self.period_ns, time.time_ns()
            with self.lock:
                met, self.met = self.met, defaultdict(lambda: [0, 0.0])
                calls, self.calls = self.calls, defaultdict(int)
            body = metrics.write(
                self.uid,
                start,
                self.period_ns,
                [(*server, outcome, *row) for (server, outcome), row in met.items()],
                [(route, outcome, many) for (route, outcome), many in calls.items()],
            )
            bodies = [body, body] if self.report_how == "double" else [body]
            if self.report_how == "late":  # what was kept back goes out much later
                kept, bodies = kept or (body, now_us() + 10_000_000), []
            elif kept and now_us() >= kept[1]:
                bodies, kept = [kept[0], *bodies], None
            for body in bodies:
                try:
                    kind = ("content-type", "application/x-protobuf")
                    status, _, _ = client.call("POST", "/v1/metrics", body, (kind,))
                    self.log("report", p=self.uid, status=status)
                except ClientError:
                    self.log("report", p=self.uid, status=0)

    def close(self) -> None:
        self.ended.set()
        if self.stream is not None:
            self.stream.close()


class Edge:
    """Some proxies of a day and the clients behind them."""

    def __init__(self, day: dict, numbers: list[int], log: Log):
        self.day, self.log, self.ended = day, log, threading.Event()
        chance = random.Random(f"{day['seed']} standing")
        listed = [(host, port) for host, port, *_ in day["listed"]]
        pods = {(host, port): pod for host, port, pod in day["listed"]}
        self.proxies = {}
        for number in range(day["proxies"]):
            standing = chance.sample(listed, min(len(listed), day["standing"]))
            if number in numbers:
                self.proxies[number] = StandInProxy(number, day, standing, pods, log)
        rates = [chance.paretovariate(2.5) for _ in range(day["proxies"])]
        self.rates = {number: day["calls_per_s"] * rates[number] / sum(rates) for number in self.proxies}
        for number, proxy in self.proxies.items():
            threading.Thread(target=self.drive, args=(proxy, self.rates[number]), daemon=True).start()

    def drive(self, proxy: StandInProxy, rate: float) -> None:
        """Open loop: calls arrive when they arrive, however long answers take."""
        chance = random.Random(f"{self.day['seed']} client {proxy.number}")
        pool = ThreadPoolExecutor(max_workers=64)
        routes, shares = self.day["routes"], [route["share"] for route in self.day["routes"]]
        due, count = now_us(), 0
        while not self.ended.is_set():
            due += int(chance.expovariate(rate) * 1e6)
            if self.ended.wait(max(0.0, (due - now_us()) / 1e6)):
                break
            route, count = chance.choices(routes, shares)[0], count + 1
            pool.submit(self.ask, proxy, route, f"{proxy.uid}.{count}", due)
        # Here and not in ``close``: it shut pools that a thread was just about to hand a call to.
        pool.shutdown(wait=False, cancel_futures=True)

    def ask(self, proxy: StandInProxy, route: dict, call: str, due: int) -> None:
        """One client's call with its own repeats, until the time limit."""
        until, outcome = due + route["limit"], "dropped"
        for turn in range(1 + self.day["client_repeats"]):
            if now_us() >= until or self.ended.is_set():
                break
            if turn:
                time.sleep(self.day["client_wait_s"])
            outcome = proxy.call(route, call, until)
            # What may have run is repeated only where that is harmless.
            if outcome == "answered" or route["effect"] != "repeatable" and outcome != "throttled":
                break
        took = now_us() - due
        good = outcome == "answered" and took <= route["slo"]
        self.log("asked", at=due, p=proxy.uid, id=call, r=route["name"], out=outcome, took=took, good=good)

    def do(self, what: str, proxies: list[int], **words) -> None:
        for number in proxies:
            proxy = self.proxies.get(number)
            if proxy is None:
                continue
            if what == "break_streams" and proxy.stream is not None:
                proxy.stream.close()
            elif what == "stop_reading":
                (proxy.reads.clear if words["on"] else proxy.reads.set)()
            elif what == "reports":
                proxy.report_how = words["how"]

    def close(self) -> None:
        self.ended.set()
        for proxy in self.proxies.values():
            proxy.close()
