"""Stubs of the platform around a live director: configuration, discovery, and clients of its address."""

import contextlib
import json
import socket
import threading

from rainpick.http1.messages import Response
from rainpick.http1.server import Server
from rainpick.node.configuration import Vocabulary
from rainpick.node.discovery_watch import DiscoveryWatch
from rainpick.node.frame_codec import encode_frame
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
    """Return an entry of discovery's list; ``more`` overrides its fields."""
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


def configuration_tree(listen, discovery, relay, **more):
    """Return the JSON object of a configuration file; ``more`` overrides its keys."""
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


class Peer:
    """A client of the director's address."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, WAIT_S)

    def send(self, *messages):
        """Send each message as a frame, or as it is if it is bytes."""
        self.sock.sendall(
            b"".join(message if isinstance(message, bytes) else encode_frame(message) for message in messages)
        )
        return self

    def read_all(self):
        """Return all bytes until the director closes the connection."""
        data = b""
        with contextlib.suppress(ConnectionError):
            while chunk := self.sock.recv(4096):
                data += chunk
        return data

    def read(self, size):
        """Return exactly ``size`` bytes."""
        data = b""
        while len(data) < size:
            chunk = self.sock.recv(size - len(data))
            assert chunk, f"closed after {data!r}"
            data += chunk
        return data

    def close(self):
        """Close the connection."""
        self.sock.close()


class StubDiscovery:
    """Serves versions of an endpoint list. A poll is held until there is a newer version."""

    def __init__(self, *entries):
        self.changed = threading.Condition()
        self.versions = [list(entries)]  # the entries changed in each version
        self.forced_responses = []  # returned before any others, regardless of the request
        self.requests = []
        self.server = Server("discovery", ("127.0.0.1", 0), self.handle)
        self.address = self.server.address

    def change(self, *entries):
        """Add a version with these changed entries."""
        with self.changed:
            self.versions.append(list(entries))
            self.changed.notify_all()

    def handle(self, request):
        """Handle a request for the full list or for changes."""
        self.requests.append(request.path)
        path, _, query = request.path.partition("?")
        assert path == "/catalog/members"
        arguments = dict(argument.split("=") for argument in query.split("&") if argument)
        with self.changed:
            if self.forced_responses:
                return self.forced_responses.pop(0)
            if "from" not in arguments:
                return self.response(True, sum(self.versions, []))
            since = int(arguments["from"])
            self.changed.wait_for(lambda: len(self.versions) - 1 > since, int(arguments["hold_ms"]) / 1000)
            return self.response(False, sum(self.versions[since + 1 :], []))

    def response(self, full, entries):
        """Build a response at the newest version with the last entry of each server."""
        newest = {entry["instanceId"]: entry for entry in entries}
        if full:
            newest = {name: entry for name, entry in newest.items() if entry["lifecycle"] != "Gone"}
        tree = {"generation": len(self.versions) - 1, "reset": full, "instances": list(newest.values())}
        return Response(200, json.dumps(tree).encode())

    def close(self):
        """Stop listening and close all connections."""
        self.server.close()


def start_watch(discovery):
    """Start a discovery watch; return the watch and the list of the responses that it publishes."""
    responses = []
    watch = DiscoveryWatch(discovery.address, VOCABULARY, responses.append)
    threading.Thread(target=watch.run, daemon=True).start()
    return watch, responses


def endpoint_states(responses):
    """Return a map from server to state for each response."""
    return [{endpoint.address: endpoint.state for endpoint in response.endpoints} for response in responses]
