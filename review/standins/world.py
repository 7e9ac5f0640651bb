"""Stand-ins of the platform: hosts, discovery, collectors, the relay with its paced channel, proxies.

They follow PROTOCOL.md, DEPLOY.md and WIRE-rainpick.md. Only the standard library is used; all addresses are
loopback addresses. The director is started by the ``run`` line of the deploy file, as a process of its own.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import deque
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

sys.setswitchinterval(0.0005)  # the relay has to answer within 50 ms beside many client threads

ROOT = Path(__file__).resolve().parents[2]
SLACK_S = 0.3  # PROTOCOL.md: the rules' time limits are longer by 300 ms on sockets
RESET = struct.pack("ii", 1, 0)
CALL_TIMEOUT_S = 1.0
ANSWER_S = 0.05  # PROTOCOL.md: a call's answer arrives within 50 ms or never


def deploy_line(name):
    """Return a command of the deploy file."""
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[name]


def free_address():
    """Return a loopback address that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[:2]


def text(address):
    """Return an address as HOST:PORT."""
    return "%s:%d" % tuple(address)


class Record:
    """The file ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115 - closed with the process
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.start

    def write(self, what, **fields):
        """Write one line."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{self.now():8.3f} {what} {pairs}\n")

    def flush(self):
        """Write what is buffered to the file."""
        with self.lock:
            self.file.flush()


class Accepting:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.listener.getsockname()[:2]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self.guarded, args=(sock,), daemon=True).start()

    def guarded(self, sock):
        """Serve a connection and close it at its end."""
        with contextlib.suppress(OSError), sock:
            self.serve(sock)

    def stop(self):
        """Accept no more connections: new ones are refused."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class Host(Accepting):
    """A server: it runs each call that it gets and answers it, until its process ends."""

    def __init__(self, name, zone, record):
        self.name, self.zone, self.record = name, zone, record
        self.served = 0
        super().__init__()

    def serve(self, sock):
        """Run one call."""
        call = sock.recv(100)
        time.sleep(0.02)
        self.served += 1
        self.record.write("ran", host=self.name, call=call.decode())
        sock.sendall(b"done " + call)


class Discovery(ThreadingHTTPServer):
    """Discovery's agent on the director's machine: the list, and watches of its changes."""

    daemon_threads = True

    def __init__(self, entries, record):
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changes, self.generation = [], 41
        self.changed, self.record = threading.Condition(), record
        self.told = {}  # by host: when it was first told as draining or gone
        super().__init__(("127.0.0.1", 0), Agent)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def change(self, name, **fields):
        """Change one entry; the state Gone removes it."""
        with self.changed:
            self.generation += 1
            self.entries[name] = self.entries[name] | fields
            self.changes.append((self.generation, self.entries[name]))
            if fields.get("lifecycle") == "Gone":
                del self.entries[name]
            self.changed.notify_all()
        self.record.write("list-changes", host=name, generation=self.generation, **fields)

    def answer(self, query):
        """Return the body of an answer."""
        with self.changed:
            if "from" not in query:
                return self.body(True, list(self.entries.values()))
            since = int(query["from"][0])
            self.changed.wait_for(lambda: self.generation > since, int(query["hold_ms"][0]) / 1000)
            newest = {entry["instanceId"]: entry for number, entry in self.changes if number > since}
            return self.body(False, list(newest.values()))

    def body(self, full, entries):
        """Return the JSON object of an answer."""
        return {"generation": self.generation, "reset": full, "instances": entries}

    def note_told(self, body):
        """Note what an answer has told, after it has been written."""
        for entry in body["instances"]:
            if entry["lifecycle"] != "Ready" and entry["instanceId"] not in self.told:
                self.told[entry["instanceId"]] = self.record.now()
                self.record.write("told", host=entry["instanceId"], state=entry["lifecycle"])


class Agent(BaseHTTPRequestHandler):
    """One connection to discovery."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802 - the name that the library asks for
        """Answer a request for the list."""
        body = self.server.answer(parse_qs(urlsplit(self.path).query))
        data = json.dumps(body).encode()
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.server.note_told(body)

    def log_message(self, *_):
        """Write no log."""


class Proxy:
    """A sidecar proxy: it does as the messages say, and sends its client's calls to the lines it holds."""

    def __init__(self, number, zone, standing):
        self.number, self.zone = number, zone
        self.lines, self.withdrawn = dict.fromkeys(standing, 1.0), set()
        self.joined_at = None
        self.messages = deque()  # times at which messages to it were written
        self.sent = 0
        self.bound = 0  # binds applied
        self.credit = {}  # by host, for picking evenly by weight

    def usable(self):
        """Return the hosts that the proxy may pick now."""
        return [host for host in list(self.lines) if host not in self.withdrawn]

    def pick(self):
        """Pick a host evenly by weight, as ``lbMethod`` wheel says; None if there is none."""
        lines = self.lines
        usable = [host for host in self.usable() if host in lines]
        if not usable:
            return None
        for host in usable:
            self.credit[host] = self.credit.get(host, 0.0) + lines[host]
        host = max(usable, key=self.credit.__getitem__)
        self.credit[host] -= sum(lines[name] for name in usable)
        return host

    def apply(self, operations):
        """Apply one message."""
        for kind, *values in operations:
            if kind == "bind":
                self.lines, self.withdrawn = dict(values[0]), set(values[1])
                self.bound += 1
            elif kind == "line":
                host, weight, withdrawn = values
                self.lines = {name: w for name, w in self.lines.items() if name != host}
                if weight:
                    self.lines[host] = weight
                if withdrawn:
                    self.withdrawn = self.withdrawn | {host}
            elif kind == "withdraw":
                self.withdrawn = self.withdrawn | {values[0]}
            elif kind == "restore":
                self.withdrawn = self.withdrawn - {values[0]}


class Relay(Accepting):
    """The relay of a director: tables, withdrawals, the paced channel to the proxies, and news of them.

    ``spell`` is what happens to commit calls now: "" (nothing); "reset-run": carried out, then the
    connection is reset; "reset-not-run": reset after the call's last byte, not carried out; "lost-run" and
    "lost-not-run": no answer comes.
    """

    def __init__(self, domain, known_hosts, record, late_s):
        self.domain, self.record, self.late_s = domain, record, late_s
        self.known = set(known_hosts)
        self.lock = threading.RLock()
        self.wake = threading.Condition(self.lock)
        self.tables, self.levels, self.withdrawn = {}, {}, set()
        self.joined, self.bound = {}, {}
        self.idle_at, self.order, self.travelling = 0.0, count(), []
        self.news, self.spell, self.calls, self.calls_in_spell = [], "", 0, 0
        self.peak_waiting, self.peak_messages = 0.0, 0
        self.rate, self.slowest_answer_s = 4.0, 0.0
        super().__init__()
        threading.Thread(target=self.deliver, daemon=True).start()
        threading.Thread(target=self.ping, daemon=True).start()

    def serve(self, sock):
        """Read the calls of a connection."""
        buffer = b""
        while data := sock.recv(65536):
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                if not self.handle(sock, json.loads(line)):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    return

    def handle(self, sock, message):
        """Handle one call; return False if the connection is to be reset."""
        if message["method"] == "subscribe":
            self.subscribe(sock, message["id"])
            return True
        orders, spell, began = message["params"]["orders"], self.spell, time.monotonic()
        taken = len(orders) if spell.endswith("not-run") else self.commit(orders)
        self.calls += 1
        self.calls_in_spell += bool(spell)
        if not spell:
            answer = {"jsonrpc": "2.0", "id": message["id"], "result": {"ok_count": taken}}
            sock.sendall(json.dumps(answer).encode() + b"\n")
            self.slowest_answer_s = max(self.slowest_answer_s, time.monotonic() - began)
        verbs = ",".join(sorted({order["verb"] for order in orders}))
        stamp = next((order["stamp"] for order in orders if order["verb"] == "mark"), "-")
        self.record.write(
            "call",
            orders=len(orders),
            taken=0 if spell.endswith("not-run") else taken,
            verbs=verbs,
            stamp=stamp,
            spell=spell or "none",
            waiting=round(self.waiting()),
        )
        return not spell.startswith("reset")

    # Orders

    def waiting(self):
        """Return the lines that have not left the channel yet."""
        return max(0.0, self.idle_at - self.record.now()) * self.domain["linesPerS"]

    def commit(self, orders):
        """Carry out a call, up to the first order that cannot be used; return how many orders were taken."""
        with self.lock:
            messages, taken = {}, 0
            for order in orders:
                if not self.carry_out(order, messages):
                    break
                taken += 1
            stamp = next((o["stamp"] for o in orders[:taken] if o["verb"] == "mark"), None)
            self.enqueue(messages, stamp)
            return taken

    def carry_out(self, order, messages):
        """Carry out one order: add its lines to the messages of the proxies concerned."""

        def add(proxies, lines, operation):
            for number in proxies:
                entry = messages.setdefault(number, [0, []])
                entry[0] += lines
                entry[1].append(operation)

        verb, table, host = order["verb"], order.get("cluster"), order.get("endpoint")
        if host is not None and host not in self.known:
            return False
        if verb == "bind":
            return self.bind(order["node"], table, add)
        if verb == "share":
            lines = self.tables.setdefault(table, {})
            lines.pop(host, None)
            if order["w"]:
                lines[host] = order["w"]
            add(self.users(table), 1, ("line", host, order["w"], host in self.withdrawn))
        elif verb in ("withdraw", "restore"):
            (self.withdrawn.add if verb == "withdraw" else self.withdrawn.discard)(host)
            add(self.holders(host), 1, (verb, host))
        elif verb == "admit":
            self.levels.setdefault(table, {}).update(dict.fromkeys(order.get("for", ["*"]), order["gate"]))
            add(self.users(table) if table != "*" else list(self.joined), 1, ("level",))
        elif verb == "clear":
            self.tables.pop(table, None)
        return True

    def users(self, table):
        """Return the joined proxies that are bound to a table."""
        return [number for number, bound in self.bound.items() if bound == table]

    def holders(self, host):
        """Return the joined proxies that hold a table with the host."""
        return [
            number
            for number, proxy in self.joined.items()
            if host in (self.tables.get(self.bound[number], {}) if number in self.bound else proxy.lines)
        ]

    def bind(self, number, table, add):
        """Send a proxy the complete table."""
        if number not in self.joined:
            return False
        self.bound[number] = table
        lines = dict(self.tables.get(table, {}))
        withdrawn = self.withdrawn & lines.keys()
        add(
            [number],
            1 + len(lines) + len(self.levels.get(table, ())) + len(withdrawn),
            ("bind", lines, withdrawn),
        )
        return True

    def enqueue(self, messages, stamp):
        """Put the messages of one call into the channel."""
        head, now = self.domain["head"] + (stamp is not None), self.record.now()
        for number, (lines, operations) in messages.items():
            self.idle_at = max(self.idle_at, now) + (head + lines) / self.domain["linesPerS"]
            proxy = self.joined[number]
            arrival = (
                self.idle_at + self.late_s,
                next(self.order),
                proxy,
                operations,
                stamp,
                proxy.joined_at,
            )
            heapq.heappush(self.travelling, arrival)
            proxy.messages.append(now)
            while proxy.messages[0] < now - self.domain["countedOverUs"] / 1e6:
                proxy.messages.popleft()
            self.peak_messages = max(self.peak_messages, len(proxy.messages))
        self.peak_waiting = max(self.peak_waiting, self.waiting())
        self.wake.notify_all()

    def deliver(self):
        """Hand the messages to the proxies when they arrive."""
        while True:
            with self.lock:
                if not self.travelling or self.travelling[0][0] > self.record.now():
                    left = self.travelling[0][0] - self.record.now() if self.travelling else 0.1
                    self.wake.wait(max(0.001, min(0.1, left)))
                    continue
                _, _, proxy, operations, stamp, joined_at = heapq.heappop(self.travelling)
                if joined_at != proxy.joined_at:
                    continue  # its stream broke meanwhile: the message is lost
                proxy.apply(operations)
            kinds = ",".join(sorted({operation[0] for operation in operations}))
            self.record.write(
                "applied", proxy=proxy.number, operations=kinds, stamp=stamp, hosts=len(proxy.usable())
            )
            if stamp is not None:
                self.tell("done", {"node": proxy.number, "nonce": stamp, "latency": 1000 * self.late_s})

    # News

    def join(self, proxy):
        """Join a proxy to the director."""
        with self.lock:
            proxy.joined_at = self.record.now()
            proxy.messages.clear()
            self.joined[proxy.number] = proxy
            self.tell("attach", self.attach(proxy))

    def attach(self, proxy):
        """Return the fields of ``attach``."""
        return {"node": proxy.number, "locality": proxy.zone, "w": self.rate, "cold": not proxy.bound}

    def subscribe(self, sock, number):
        """Accept a subscription: what stands comes first."""
        with self.lock:
            self.send(sock, {"id": number, "result": True})
            for proxy in self.joined.values():
                self.send(sock, {"method": "attach", "params": self.attach(proxy)})
            self.news.append(sock)
        self.record.write("subscribed", proxies=len(self.joined))

    def tell(self, method, fields):
        """Send a notification to all subscribers."""
        with self.lock:
            for sock in list(self.news):
                try:
                    self.send(sock, {"method": method, "params": fields})
                except OSError:
                    self.news.remove(sock)

    def silence_news(self):
        """Let all news connections that exist fall silent, for good."""
        with self.lock:
            self.record.write("news-falls-silent", connections=len(self.news))
            self.news.clear()

    @staticmethod
    def send(sock, message):
        """Send one line."""
        sock.sendall(json.dumps({"jsonrpc": "2.0"} | message).encode() + b"\n")

    def ping(self):
        """Send a sign of life each second."""
        while True:
            time.sleep(1.0)
            self.tell("ping", {})


class World:
    """A small deployment around one live director."""

    def __init__(self, folder, settings, hosts, proxies, late_s=0.2, calls_per_s=4.0):
        self.record = Record(folder)
        self.settings, self.domain, self.safety = settings, settings["domain"], settings["safety"]
        self.zones, self.calls_per_s = settings["failureDomains"], calls_per_s
        self.hosts = {}
        for number in range(hosts):
            name = f"s-{number:04x}"
            self.hosts[name] = Host(name, self.zones[number % len(self.zones)], self.record)
        self.discovery = Discovery([self.entry(host) for host in self.hosts.values()], self.record)
        self.relay = Relay(self.domain, self.hosts, self.record, late_s)
        self.relay.rate = calls_per_s
        self.proxies = [self.proxy(number) for number in range(proxies)]
        self.listen = free_address()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.tally, self.tally_lock, self.late_calls, self.lost_calls = {}, threading.Lock(), [], 0
        self.process, self.running, self.answered_at = None, True, None

    def entry(self, host):
        """Return the entry of a host in the list."""
        return {
            "instanceId": host.name,
            "hostPort": text(host.address),
            "zone": host.zone,
            "machineType": self.settings["machineTypes"][0],
            "cell": 1,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def proxy(self, number):
        """Make a proxy with its standing table: hosts of its zone if there are three."""
        zone = self.zones[number % len(self.zones)]
        own = [host.name for host in self.hosts.values() if host.zone == zone]
        names = own if len(own) >= 3 else list(self.hosts)
        size = self.domain["defaultSize"]
        return Proxy(
            number, zone, [names[(number + step) % len(names)] for step in range(min(size, len(names)))]
        )

    # The director

    def start_director(self):
        """Start the director by the deploy file's ``run`` line and wait for its first answer."""
        path = self.folder / "config.json"
        known = {"generation": 41, "reset": True, "instances": list(self.discovery.entries.values())}
        tree = {
            "name": "n0",
            "listen": text(self.listen),
            "discovery": text(self.discovery.server_address),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "registry": {"address": text(self.relay.address)},
            "known": known,
            "settings": self.settings,
        }
        path.write_text(json.dumps(tree))
        environment = os.environ | {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": tree["listen"],
            "PROXY_DISCOVERY": tree["discovery"],
            "PROXY_CONFIG": str(path),
        }
        log = open(self.folder / "director.log", "wb")  # noqa: SIM115 - the process keeps it
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_line("run")], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.wait_for(self.heartbeat, 30)
        self.answered_at = self.record.now()
        self.record.write("director-answers")

    def heartbeat(self):
        """Return whether the director answers a sign of life."""
        with contextlib.suppress(OSError), socket.create_connection(self.listen, 0.5) as sock:
            self.frame(sock, {"t": "hb"})
            return b"hb_ok" in sock.recv(100)
        return False

    @staticmethod
    def frame(sock, message):
        """Send one message to the director's address."""
        body = json.dumps(message).encode()
        sock.sendall(len(body).to_bytes(4, "little") + body)

    def wait_for(self, condition, limit_s):
        """Wait until a condition holds; the case cannot run if it never does."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError("the world did not start")
            time.sleep(0.05)

    # Calls and reports

    def start_clients(self):
        """Let the clients call through all proxies, and the collectors report."""
        for proxy in self.proxies:
            threading.Thread(target=self.client, args=(proxy,), daemon=True).start()
        for zone in self.zones:
            threading.Thread(target=self.collector, args=(zone,), daemon=True).start()

    def client(self, proxy):
        """Send calls through a proxy, one after another."""
        time.sleep(proxy.number / len(self.proxies) / self.calls_per_s)
        while self.running:
            proxy.sent += 1
            host = proxy.pick()
            if host is not None:
                self.call(proxy, host)
            time.sleep(1 / self.calls_per_s)

    def call(self, proxy, name):
        """Send one call to a host, judge it by the rule on drains, and count it for the reports."""
        begin, host, answer = self.record.now(), self.hosts[name], b""
        self.judge_drain(proxy, name, begin)
        with contextlib.suppress(OSError), socket.create_connection(host.address, CALL_TIMEOUT_S) as sock:
            sock.settimeout(CALL_TIMEOUT_S)
            sock.sendall(b"%d.%d" % (proxy.number, proxy.sent))
            answer = sock.recv(100)
        taken = self.record.now() - begin
        self.lost_calls += not answer
        outcome = "answered" if answer else "FAILED"
        self.record.write("client-call", proxy=proxy.number, call=proxy.sent, host=name, outcome=outcome)
        with self.tally_lock:
            total, errors, _ = self.tally.get((proxy.zone, proxy.number), (0, 0, 0.0))
            self.tally[proxy.zone, proxy.number] = total + 1, errors + (not answer), 0.0
            total, errors, time_s = self.tally.get((proxy.zone, name), (0, 0, 0.0))
            self.tally[proxy.zone, name] = (
                total + 1,
                errors + (not answer),
                time_s + (taken if answer else 0.0),
            )

    def judge_drain(self, proxy, name, now):
        """Note a call that a joined proxy sends to a host after the grace since the director was told."""
        told = self.discovery.told.get(name)
        if told is None or proxy.joined_at is None:
            return
        limit = max(told, proxy.joined_at, self.answered_at + 1) + self.safety["drainGraceUs"] / 1e6 + SLACK_S
        if now > limit:
            self.late_calls.append((name, proxy.number, now - told))
            self.record.write(
                "SENT-AFTER-GRACE", proxy=proxy.number, host=name, after_told_s=round(now - told, 2)
            )

    def collector(self, zone):
        """Forward a zone's reports, a period late, within the settings' lines a second, the oldest first."""
        period = self.domain["reportEveryUs"] / 1e6
        share = int(self.domain["hearsPerS"] * period / len(self.zones))
        waiting = []
        with contextlib.suppress(OSError), socket.create_connection(self.listen, 1) as sock:
            self.frame(sock, {"t": "telemetry", "locality": zone})
            while self.running:
                time.sleep(period)
                for report in waiting:
                    self.frame(sock, report | {"interval": 1000 * period})
                with self.tally_lock:
                    keys = [key for key in self.tally if key[0] == zone][:share]
                    rows = {key: self.tally.pop(key) for key in keys}
                waiting = [self.report(*key, *row) for key, row in rows.items()]

    def report(self, zone, name, total, errors, time_s):
        """Return the report on a host, or on the calls that came to a proxy (its name is a number)."""
        if isinstance(name, int):
            route = self.settings["grades"][0]["name"]
            return {"t": "client_stats", "node": name, "route": route, "total": total, "errors": errors}
        answered = total - errors
        mean_ms = 1000 * time_s / answered if answered else 0
        report = {"t": "upstream_stats", "locality": zone, "endpoint": name, "total": total}
        return report | {"errors": errors, "rtt": mean_ms}

    def drain(self, name, drain_s):
        """Let a host drain: it completes what it holds for some seconds, then its process ends."""
        self.discovery.change(name, lifecycle="Terminating")
        time.sleep(drain_s)
        self.end_host(name)

    def end_host(self, name):
        """End the process of a host that has drained."""
        self.hosts[name].stop()
        self.discovery.change(name, lifecycle="Gone")

    # The end

    def summary(self, name, **more):
        """Write and return the figures of the run; ``name``: the host whose drain is judged."""
        late = [age for host, _, age in self.late_calls if host == name]
        figures = {
            "host": name,
            "sent_after_grace": len(late),
            "latest_s_after_told": round(max(late, default=0), 1),
            "calls_without_answer": self.lost_calls,
            "commit_calls_in_spell": self.relay.calls_in_spell,
            "most_lines_waiting": round(self.relay.peak_waiting),
            "slowest_answer_ms": round(1000 * self.relay.slowest_answer_s),
            "most_messages_to_a_proxy": self.relay.peak_messages,
            "director_ended": self.process.poll() is not None,
        } | more
        self.record.write("summary", **figures)
        print(figures)
        if self.relay.slowest_answer_s > ANSWER_S:
            raise TimeoutError("the relay stand-in answered later than the pages allow")
        return figures

    def stop(self):
        """End all that was started."""
        self.running = False
        self.record.flush()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(3)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        for host in self.hosts.values():
            host.stop()
        self.relay.stop()
        self.discovery.shutdown()


def trouble():
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    def ended(*_):
        raise TimeoutError("ended from outside")

    signal.signal(signal.SIGTERM, ended)
    signal.signal(signal.SIGINT, ended)
    try:
        broken = case(Path(folder))
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        os._exit(2)
    print("rule broken" if broken else "rule held")
    os._exit(1 if broken else 0)
