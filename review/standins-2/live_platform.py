"""Stand-ins of the platform around a live director: discovery, the relay, signs of life."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from socketserver import TCPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from harness import LOOPBACK, Case

SETTINGS: dict[str, Any] = {
    "grades": [
        {"name": "lookup", "sloUs": 750000, "hardLimitUs": 2000000, "repeat": "safe", "worth": 1.0},
        {"name": "commit", "sloUs": 400000, "hardLimitUs": 1000000, "repeat": "keyed", "worth": 5.0},
    ],
    "failureDomains": ["gasan", "sangam"],
    "machineTypes": ["two-core", "three-core"],
    "az": 0,
    "me": 0,
    "fleetSize": 1,
    "roundUs": 4000,
    "discovery": "pushed",
    "stats": {"names": ["busy", "q"], "source": "piggyback"},
    "domain": {
        "proxyCount": 12,
        "pendingMax": 5000.0,
        "linesPerS": 2500.0,
        "head": 6.0,
        "hearsPerS": 75.0,
        "reportEveryUs": 500000,
        "defaultSize": 5,
        "defaultRetry": 0,
        "admit": "silent",
        "pushesAllowed": 0,
        "lateUs": 179000,
        "bareUs": 2800000,
    },
    "safety": {"drainGraceUs": 2700000, "warmAfterUs": 12000000, "startCapacity": 0.16, "fallMultiple": 3.0},
}


def entry(number: int, state: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
    """Return an entry of discovery's list; even hosts are in the first zone, odd ones in the second."""
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"{LOOPBACK}:{9000 + number}",
        "zone": SETTINGS["failureDomains"][number % 2],
        "machineType": "two-core",
        "cell": number // 4,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


class AgentServer(ThreadingHTTPServer):
    """An HTTP server that looks up no name when it binds, as the case may run without a network."""

    daemon_threads = True

    def server_bind(self) -> None:
        """Bind the socket."""
        TCPServer.server_bind(self)
        self.server_name, self.server_port = LOOPBACK, self.server_address[1]


class Discovery:
    """Discovery's agent: the whole list, and long polls for what changed."""

    def __init__(self, entries: list[dict[str, Any]]):
        self.changed = threading.Condition()
        self.versions = [entries]
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            """Answers one connection."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                """Answer with the list or with its changes."""
                query = {name: int(value[0]) for name, value in parse_qs(urlsplit(self.path).query).items()}
                body = json.dumps(discovery.answer(query)).encode()
                self.send_response(200)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                with contextlib.suppress(OSError):  # the director has given the answer up
                    self.wfile.write(body)

            def log_message(self, *_: Any) -> None:
                """Write no log."""

        self.server = AgentServer((LOOPBACK, 0), Handler)
        self.address = f"{LOOPBACK}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, query: dict[str, int]) -> dict[str, Any]:
        """Return the answer to a request with these arguments."""
        with self.changed:
            if "from" not in query:
                return self.document(True, 0)
            since = query["from"] + 1
            self.changed.wait_for(lambda: len(self.versions) > since, query.get("hold_ms", 0) / 1000)
            return self.document(False, since)

    def document(self, whole: bool, since: int) -> dict[str, Any]:
        """Build an answer from the versions ``since`` on."""
        newest = {row["instanceId"]: row for rows in self.versions[since:] for row in rows}
        rows = [row for row in newest.values() if not (whole and row["lifecycle"] == "Gone")]
        return {"generation": len(self.versions) - 1, "reset": whole, "instances": rows}

    def change(self, *entries: dict[str, Any]) -> None:
        """Let entries of the list change."""
        with self.changed:
            self.versions.append(list(entries))
            self.changed.notify_all()


class Relay:
    """The relay: carries out calls, sends news of the joined proxies, and may spoil single answers."""

    def __init__(self, case: Case):
        self.case = case
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        self.lock = threading.Lock()
        self.joined: dict[int, dict[str, Any]] = {}
        self.readers: list[socket.socket] = []
        self.bound: dict[int, int] = {}  # table of each bound proxy
        self.lines: dict[int, dict[str, float]] = {}  # lines of each table
        self.withdrawn: set[str] = set()
        self.calls = 0
        self.spoilt: list[str] = []  # results that take the place of the next answers, as JSON
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections, each with a thread."""
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer the lines of a connection."""
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as lines:
            for line in lines:
                message = json.loads(line)
                if message["method"] == "subscribe":
                    self.subscribe(sock, message["id"])
                else:
                    self.commit(sock, message["id"], message["params"]["orders"])

    def subscribe(self, sock: socket.socket, number: int) -> None:
        """List the joined proxies, then send news and a sign of life each second."""
        with self.lock:
            self.write(sock, {"id": number, "result": True})
            for params in self.joined.values():
                self.write(sock, {"method": "attach", "params": params})
            self.readers.append(sock)
        threading.Thread(target=self.ping, args=(sock,), daemon=True).start()

    def ping(self, sock: socket.socket) -> None:
        """Send a sign of life each second."""
        with contextlib.suppress(OSError):
            while True:
                with self.lock:
                    self.write(sock, {"method": "ping"})
                time.sleep(1)

    def attach(self, node: int, rate: float = 15.0, zone: str | None = None) -> None:
        """Let a proxy join; ``rate`` is a rough figure of its requests a second."""
        zone = zone or SETTINGS["failureDomains"][node % 2]
        with self.lock:
            self.joined[node] = {"node": node, "locality": zone, "w": rate, "cold": True}
            self.news("attach", self.joined[node])

    def news(self, method: str, params: dict[str, Any]) -> None:
        """Send news to all readers; the caller holds the lock."""
        for sock in list(self.readers):
            try:
                self.write(sock, {"method": method, "params": params})
            except OSError:
                self.readers.remove(sock)

    def commit(self, sock: socket.socket, number: int, orders: list[dict[str, Any]]) -> None:
        """Carry a call out and answer it, spoilt if that is its turn."""
        with self.lock:
            self.calls += 1
            taken = self.carry_out(orders)
            spoilt = self.spoilt.pop(0) if self.spoilt else None
            result = spoilt if spoilt is not None else json.dumps({"ok_count": taken})
            if orders or spoilt is not None:
                verbs = ",".join(order["verb"] for order in orders) or "none"
                shown = result if len(result) < 60 else f"{result[:24]}...({len(result)} bytes)"
                self.case.note("call", id=number, verbs=verbs[:120], taken=taken, result=shown)
            sock.sendall(b'{"jsonrpc":"2.0","id":%d,"result":%s}\n' % (number, result.encode()))

    def carry_out(self, orders: list[dict[str, Any]]) -> int:
        """Carry orders out; return how many were taken, as the first unusable one ends the call."""
        stamp = None
        reached: set[int] = set()
        for position, order in enumerate(orders):
            if order["verb"] == "bind":
                if order["node"] not in self.joined:
                    return position
                self.bound[order["node"]] = order["cluster"]
                reached.add(order["node"])
            elif order["verb"] == "mark":
                stamp = order["stamp"]
            else:
                reached |= self.concerned(order)
                self.change_tables(order)
        if stamp is not None:
            threading.Timer(0.1, self.done, (sorted(reached), stamp)).start()
        return len(orders)

    def concerned(self, order: dict[str, Any]) -> set[int]:
        """Return the bound proxies that an order about a table or a host reaches."""
        if order["verb"] in ("withdraw", "restore"):
            tables = [table for table, lines in self.lines.items() if order["endpoint"] in lines]
        elif order["cluster"] == "*":
            tables = list(self.bound.values())
        else:
            tables = [order["cluster"]]
        return {node for node, table in self.bound.items() if table in tables}

    def change_tables(self, order: dict[str, Any]) -> None:
        """Set a line, clear a table, withdraw a host or let it back in."""
        if order["verb"] == "share":
            lines = self.lines.setdefault(order["cluster"], {})
            lines[order["endpoint"]] = order["w"]
            if not order["w"]:
                del lines[order["endpoint"]]
        elif order["verb"] == "clear":
            self.lines.pop(order["cluster"], None)
        elif order["verb"] in ("withdraw", "restore"):
            change = self.withdrawn.add if order["verb"] == "withdraw" else self.withdrawn.discard
            change(order["endpoint"])

    def open_lines(self, node: int) -> dict[str, float]:
        """Return the hosts that a bound proxy may pick, with their weights."""
        with self.lock:
            lines = self.lines.get(self.bound.get(node, -1), {})
            return {host: weight for host, weight in lines.items() if host not in self.withdrawn}

    def done(self, nodes: list[int], stamp: int) -> None:
        """Send the proxies' answers to a mark."""
        with self.lock:
            for node in nodes:
                self.news("done", {"node": node, "nonce": stamp, "latency": 100.0})

    @staticmethod
    def write(sock: socket.socket, message: dict[str, Any]) -> None:
        """Send one JSON-RPC message."""
        sock.sendall(json.dumps({"jsonrpc": "2.0"} | message).encode() + b"\n")


def write_configuration(
    case: Case,
    listen: str,
    discovery: str,
    relay: str,
    known: list[dict[str, Any]],
    settings: dict[str, Any] = SETTINGS,
) -> dict[str, str]:
    """Write a director's configuration file; return its environment."""
    path = case.folder / "config.json"
    tree = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
        "registry": {"address": relay},
        "known": {"generation": 0, "reset": True, "instances": known},
        "settings": settings,
    }
    path.write_text(json.dumps(tree))
    return {
        "PROXY_NAME": "n0",
        "PROXY_LISTEN": listen,
        "PROXY_DISCOVERY": discovery,
        "PROXY_CONFIG": str(path),
    }


def answers_heartbeat(listen: str) -> bool:
    """Return whether the director at an address gives a sign of life."""
    host, _, port = listen.rpartition(":")
    body = b'{"t":"hb"}'
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.sendall(len(body).to_bytes(4, "little") + body)
            return b"hb_ok" in sock.recv(256)
    except OSError:
        return False
