"""Stand-ins for the platform around a live director: relay, discovery, collectors and strangers."""

import contextlib
import json
import socket
import threading
import time

from rainpick.http1.server import Answer, Server
from rainpick.node.configuration import Vocabulary
from rainpick.node.discovery_watch import DiscoveryWatch
from rainpick.node.frame_codec import encode_frame
from rainpick.node.line_reader import LineReader
from tests.waiting import WAIT_S

VOCABULARY = Vocabulary(
    {"a": 0, "b": 1}, {"lookup": 0, "commit": 1}, {"m1": 0, "m2": 1}, ("util", "queue"), 6, 4000.0
)
SETTINGS = {
    "grades": [
        {"name": "lookup", "sloUs": 500000, "hardLimitUs": 2000000, "repeat": "safe", "worth": 1.0},
        {"name": "commit", "sloUs": 400000, "hardLimitUs": 1000000, "repeat": "keyed", "worth": 5.0},
    ],
    "failureDomains": ["a", "b"],
    "machineTypes": ["m1", "m2"],
    "az": 0,
    "me": 0,
    "fleetSize": 1,
    "roundUs": 1000,
    "discovery": "pushed",
    "stats": {"names": ["busy", "q"], "source": "piggyback"},
    "domain": {
        "proxyCount": 6,
        "pendingMax": 5400.0,
        "linesPerS": 2700.0,
        "head": 6.0,
        "hearsPerS": 75.0,
        "reportEveryUs": 500000,
        "defaultSize": 5,
        "admit": "silent",
        "pushesAllowed": 0,
    },
    "safety": {"drainGraceUs": 2900000, "warmAfterUs": 12000000, "startCapacity": 0.16, "fallMultiple": 3.0},
}


def entry(number, state="Ready", started_ms=0, **more):
    return {
        "instanceId": f"s-{number:04x}",
        "hostPort": f"127.0.0.1:{9000 + number}",
        "zone": "ab"[number % 2],
        "machineType": "m1",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started_ms,
    } | more


class Peer:
    """a client of the listener."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, WAIT_S)

    def send(self, *messages):
        self.sock.sendall(b"".join(one if isinstance(one, bytes) else encode_frame(one) for one in messages))
        return self

    def read(self):
        """All until the director closes."""
        data = b""
        with contextlib.suppress(ConnectionError):
            while piece := self.sock.recv(4096):
                data += piece
        return data

    def answer(self, size):
        data = b""
        while len(data) < size:
            piece = self.sock.recv(size - len(data))
            assert piece, f"closed after {data!r}"
            data += piece
        return data

    def close(self):
        self.sock.close()


class Listening:
    """Accepts, a thread a connection, until ``close``; ``drop`` ends all that are open."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.open.add(sock)
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def drop(self):
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.drop()


class Relay(Listening):
    """Keeps what it is told; ``ways`` says how each next call is met, usually well."""

    def __init__(self, ping_s=0.1):
        self.ping_s, self.ways = ping_s, []
        self.joined = {}  # params of attach by proxy
        self.carried, self.lines = [], []  # orders that stand; calls as they came, with their way
        self.readers = []
        self.silent = False
        self.usual = lambda orders: "well"  # how a call is met that no way was set for
        super().__init__()

    def serve(self, sock):
        lines = LineReader()
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                for line in lines.receive(data):
                    self.take(sock, json.loads(line))
        self.open.discard(sock)
        sock.close()

    def take(self, sock, message):
        number, method = message["id"], message["method"]
        if method == "subscribe":
            self.write(sock, {"id": number, "result": True})
            for params in list(self.joined.values()):
                self.write(sock, {"method": "attach", "params": params})
            self.readers.append(sock)
            threading.Thread(target=self.pings, args=(sock,), daemon=True).start()
            return
        orders = message["params"]["orders"]
        way = self.ways.pop(0) if self.ways else self.usual(orders)
        self.lines.append((way, orders))
        if way == "busy":
            return self.write(sock, {"id": number, "error": {"code": -32000, "message": "BUSY"}})
        if way == "syntax":
            return self.write(sock, {"id": number, "error": {"code": -32600, "message": "SYNTAX"}})
        if way in ("dropped", "lost"):  # not carried out, and the connection breaks or falls silent
            return sock.shutdown(socket.SHUT_RDWR) if way == "dropped" else None
        taken = way if isinstance(way, int) else len(orders)
        self.carried += orders[:taken]
        if way == "broken":
            return sock.shutdown(socket.SHUT_RDWR)
        if way == "unheard":
            return None
        if way in ("half", "twice", "strayed"):  # a part of the answer, two of them at once, one and a bit
            text = json.dumps({"jsonrpc": "2.0", "id": number, "result": {"ok_count": taken}}).encode()
            text += b"\n"
            sock.sendall({"half": text[:20], "twice": 2 * text, "strayed": text + b'{"jsonrpc"'}[way])
            return sock.shutdown(socket.SHUT_RDWR) if way == "half" else None
        self.write(sock, {"id": number, "result": {"ok_count": -3 if way == "spoilt" else taken}})

    def write(self, sock, message):
        sock.sendall(json.dumps({"jsonrpc": "2.0"} | message).encode() + b"\n")

    def pings(self, sock):
        with contextlib.suppress(OSError):
            while True:
                if not self.silent:
                    self.write(sock, {"method": "ping"})
                time.sleep(self.ping_s)

    def tell(self, method, **params):
        if method == "attach":
            self.joined[params["node"]] = params
        elif method == "detach":
            self.joined.pop(params["node"], None)
        for sock in list(self.readers):
            with contextlib.suppress(OSError):
                self.write(sock, {"method": method, "params": params})

    def attach(self, node, zone="a", cold=True):
        self.tell("attach", node=node, locality=zone, w=10.0, cold=cold)

    def orders(self, verb):
        return [order for order in list(self.carried) if order["verb"] == verb]


class Discovery:
    """Versions of a list; a watch is held until there is a newer one."""

    def __init__(self, *entries):
        self.changed = threading.Condition()
        self.versions = [list(entries)]  # the changes that made each version
        self.odd = []  # answers to give instead, first come first served
        self.asked = []
        self.server = Server("discovery", ("127.0.0.1", 0), self.answer)
        self.address = self.server.address

    def change(self, *entries):
        with self.changed:
            self.versions.append(list(entries))
            self.changed.notify_all()

    def answer(self, asked):
        self.asked.append(asked.path)
        path, _, query = asked.path.partition("?")
        assert path == "/catalog/members"
        words = dict(word.split("=") for word in query.split("&") if word)
        with self.changed:
            if self.odd:
                return self.odd.pop(0)
            if "from" not in words:
                return self.told(True, sum(self.versions, []))
            since = int(words["from"])
            self.changed.wait_for(lambda: len(self.versions) - 1 > since, int(words["hold_ms"]) / 1000)
            return self.told(False, sum(self.versions[since + 1 :], []))

    def told(self, full, entries):
        newest = {one["instanceId"]: one for one in entries}
        if full:
            newest = {name: one for name, one in newest.items() if one["lifecycle"] != "Gone"}
        return Answer(
            200,
            json.dumps(
                {"generation": len(self.versions) - 1, "reset": full, "instances": list(newest.values())}
            ).encode(),
        )

    def close(self):
        self.server.close()


def cleared(relay):
    return [order["cluster"] for order in relay.orders("clear")]


def following(discovery):
    found = []
    watch = DiscoveryWatch(discovery.address, VOCABULARY, found.append)
    threading.Thread(target=watch.run, daemon=True).start()
    return watch, found


def states(found):
    return [{one.address: one.state for one in news.endpoints} for news in found]


def configuration(listen, discovery, relay, **more):
    """The file's tree."""
    return {
        "name": "n0",
        "listen": "%s:%d" % listen,
        "discovery": "%s:%d" % discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "registry": {"address": "%s:%d" % relay},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": SETTINGS,
    } | more
