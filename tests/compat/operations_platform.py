"""The operations that ``wire/platform.jsonl`` names, implemented with the current code."""

import contextlib
import socket
import threading
from pathlib import Path
from tempfile import TemporaryDirectory

from rainpick.net import StreamEnded
from rainpick.node import configuration, process
from rainpick.node.command_rendering import render_command
from rainpick.node.commit_calls import CommitCall, commit_call, merge_calls
from rainpick.node.commit_client import CommitClient
from rainpick.node.commit_responses import parse_commit_response
from rainpick.node.configuration import Vocabulary
from rainpick.node.discovery_watch import DiscoveryWatch
from rainpick.node.endpoint_discovery import parse_discovery_response
from rainpick.node.frame_codec import HEARTBEAT_REPLY, FrameReader
from rainpick.node.message_fields import MalformedMessageError, load_json
from rainpick.node.relay_notifications import parse_notification
from rainpick.node.relay_subscription import RelaySubscription

ROUTES = ["lookup", "commit"]
VOCABULARY = Vocabulary(
    {"a": 0, "b": 1}, {"lookup": 0, "commit": 1}, {"m1": 0, "m2": 1}, ("util", "queue"), 6, 4000.0
)


def heartbeat_reply(_):
    return HEARTBEAT_REPLY


def read_stream(chunks):
    """Return all messages of a stream that the director receives in these chunks."""
    reader = FrameReader(VOCABULARY)
    return [message for chunk in chunks for message in reader.receive(chunk)]


def rejection_bytes(data):
    """Return the bytes written to a peer whose stream is ended because of ``data``."""
    return [message.data for message in read_stream([data]) if type(message) is StreamEnded]


def read_notification(line):
    return parse_notification(line, VOCABULARY)


def encode_command(command):
    return render_command(command, ROUTES)


def encode_call(arguments):
    """Return a line for each part of a step's call, if the relay accepts all commands of each part."""
    commands, command_limit = arguments
    remaining, lines = commit_call(list(commands)), []
    while remaining is not None:
        part = remaining.first_part(ROUTES, command_limit)
        lines.append(part.encode(len(lines) + 1, ROUTES))
        remaining = remaining.remaining(part.size, part)
    return lines


def encode_remaining(arguments):
    """Return the line that sends the rest of a call, of which the relay has accepted some commands."""
    commands, accepted = arguments
    call = commit_call(list(commands))
    remaining = call.remaining(accepted, call)
    return None if remaining is None else remaining.encode(2, ROUTES)


def encode_merged(steps):
    """Return the lines of the merged calls of several steps, and the notification of the merged nonces."""
    calls, nonces = merge_calls([commit_call(list(step)) for step in steps])
    return [[call.encode(number, ROUTES) for number, call in enumerate(calls, 1)], nonces]


def read_relay_response(arguments):
    return parse_commit_response(*arguments)


def read_discovery_response(body):
    return parse_discovery_response(load_json(body), VOCABULARY)


def read_configuration(text):
    """Return the contents of a configuration file and the cached list; of the settings only the values."""
    with TemporaryDirectory() as folder, contextlib.chdir(folder):
        Path("proxy.json").write_bytes(text)
        fields = configuration.read_configuration({"PROXY_CONFIG": "proxy.json"})
        return [list(fields[:-2]), list(fields[-2].values()), fields[-1], process.read_cached_list(fields)]


class Peer:
    """The remote end of a socket pair: records the received bytes and sends responses from a list."""

    def __init__(self, responses):
        self.local, self.remote = socket.socketpair()
        self.responses, self.data = list(responses), b""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        for response in self.responses:
            self.data += self.remote.recv(1 << 20)
            self.remote.sendall(response)
        self.remote.shutdown(socket.SHUT_WR)
        while chunk := self.remote.recv(1 << 20):
            self.data += chunk

    def close(self):
        """Close both ends and return the received bytes."""
        self.local.close()
        self.thread.join(5)
        self.remote.close()
        return self.data


def relay_call(arguments):
    """Return the bytes that the commit client sends for a step's commands, and the parsed response."""
    commands, line = arguments
    peer = Peer([line])
    client = CommitClient(("127.0.0.1", 9), ROUTES, lambda _: None)
    client.connection.sock = peer.local
    response = client.connection.exchange(commit_call(list(commands)) or CommitCall(None, ()))
    return [peer.close(), response]


def relay_stream(lines):
    """Return the bytes of the subscription, and the notifications until the relay closes the stream."""
    peer, notifications = Peer([lines]), []
    subscription = RelaySubscription(("127.0.0.1", 9), VOCABULARY, notifications.extend)
    subscription.newest_stream = 1
    with contextlib.suppress(ConnectionResetError):
        subscription.follow(peer.local, 1)
    return [peer.close(), notifications]


class StubClient:
    """Replaces the HTTP client of discovery: records requests and returns bodies from a list."""

    def __init__(self, bodies):
        self.bodies, self.requests = list(bodies), []

    def request(self, method, path, timeout_s=None):
        self.requests.append([method, path])
        return 200, {}, self.bodies.pop(0)


def discovery_requests(bodies):
    """Poll discovery once for each body; return the requests and the published responses."""
    published, client = [], StubClient(bodies)
    watch = DiscoveryWatch(("127.0.0.1", 9), VOCABULARY, published.append)
    for _ in bodies:
        watch.poll(client)
    return [client.requests, published]


OPERATIONS = {
    "heartbeat answer": heartbeat_reply,
    "stream": read_stream,
    "rejected": rejection_bytes,
    "notification": read_notification,
    "order": encode_command,
    "calls": encode_call,
    "rest": encode_remaining,
    "merged": encode_merged,
    "relay answer": read_relay_response,
    "discovery": read_discovery_response,
    "configuration": read_configuration,
    "relay call": relay_call,
    "relay stream": relay_stream,
    "discovery requests": discovery_requests,
}
ERRORS = {MalformedMessageError: "malformed", configuration.ConfigurationError: "configuration"}
