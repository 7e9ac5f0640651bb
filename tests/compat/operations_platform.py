"""What the data file of the platform's protocol is read and written by today."""

import contextlib
import socket
import threading
from pathlib import Path
from tempfile import TemporaryDirectory

from rainpick.net import StreamEnded
from rainpick.node import configuration, process
from rainpick.node.command_rendering import render_command
from rainpick.node.commit_answers import parse_answer
from rainpick.node.commit_calls import CommitCall, commit_call, merge_calls
from rainpick.node.commit_client import CommitClient
from rainpick.node.configuration import Vocabulary
from rainpick.node.discovery_watch import DiscoveryWatch
from rainpick.node.endpoint_discovery import parse_discovery_answer
from rainpick.node.frame_codec import HEARTBEAT_ANSWER, FrameReader
from rainpick.node.message_fields import MalformedMessageError, load_json
from rainpick.node.relay_notifications import parse_notification
from rainpick.node.relay_subscription import RelaySubscription

ROUTES = ["lookup", "commit"]
VOCABULARY = Vocabulary(
    {"a": 0, "b": 1}, {"lookup": 0, "commit": 1}, {"m1": 0, "m2": 1}, ("util", "queue"), 6, 4000.0
)


def heartbeat_answer(_):
    return HEARTBEAT_ANSWER


def stream(pieces):
    """All that is found in a stream to the director's address, which comes in these pieces."""
    reader = FrameReader(VOCABULARY)
    return [found for piece in pieces for found in reader.receive(piece)]


def rejected(data):
    """The bytes written to who is ended."""
    return [found.data for found in stream([data]) if type(found) is StreamEnded]


def notification(line):
    return parse_notification(line, VOCABULARY)


def order(value):
    return render_command(value, ROUTES)


def calls(words):
    """The lines of a step's call, part by part, if the relay takes each whole."""
    orders, most = words
    left, lines = commit_call(list(orders)), []
    while left is not None:
        part = left.first_part(ROUTES, most)
        lines.append(part.encode(len(lines) + 1, ROUTES))
        left = left.remaining(part.size, part)
    return lines


def rest(words):
    """The line of what is left of a call after so many orders were taken."""
    orders, taken = words
    whole = commit_call(list(orders))
    left = whole.remaining(taken, whole)
    return None if left is None else left.encode(2, ROUTES)


def merged(steps):
    """The lines of the calls of several steps that had to wait, and what is told of their marks."""
    found, told = merge_calls([commit_call(list(step)) for step in steps])
    return [[one.encode(number, ROUTES) for number, one in enumerate(found, 1)], told]


def relay_answer(words):
    return parse_answer(*words)


def discovery(body):
    return parse_discovery_answer(load_json(body), VOCABULARY)


def read_configuration(text):
    """A file of the platform's configuration; of the settings only the values are shown."""
    with TemporaryDirectory() as folder, contextlib.chdir(folder):
        Path("proxy.json").write_bytes(text)
        found = configuration.read_configuration({"PROXY_CONFIG": "proxy.json"})
        return [list(found[:-2]), list(found[-2].values()), found[-1], process.read_cached_list(found)]


class Peer:
    """The other end of a socket: it keeps what comes and answers from a list."""

    def __init__(self, answers):
        self.here, self.there = socket.socketpair()
        self.answers, self.data = list(answers), b""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        for given in self.answers:
            self.data += self.there.recv(1 << 20)
            self.there.sendall(given)
        self.there.shutdown(socket.SHUT_WR)
        while more := self.there.recv(1 << 20):
            self.data += more

    def end(self):
        self.here.close()
        self.thread.join(5)
        self.there.close()
        return self.data


def relay_call(words):
    """The bytes that the relay's client writes for a step's orders, and what it makes of the answer."""
    orders, line = words
    peer = Peer([line])
    made = CommitClient(("127.0.0.1", 9), ROUTES, lambda _: None)
    made.connection.sock = peer.here
    found = made.connection.exchange(commit_call(list(orders)) or CommitCall(None, ()))
    return [peer.end(), found]


def relay_stream(lines):
    """The request for the relay's news, and all that is handed on until the relay closes."""
    peer, found = Peer([lines]), []
    subscription = RelaySubscription(("127.0.0.1", 9), VOCABULARY, found.extend)
    subscription.newest_stream = 1
    with contextlib.suppress(ConnectionResetError):
        subscription.follow(peer.here, 1)
    return [peer.end(), found]


class Recorded:
    """In place of discovery's client: keeps the calls and gives answers from a list."""

    def __init__(self, answers):
        self.answers, self.asked = list(answers), []

    def call(self, method, path, timeout_s=None):
        self.asked.append([method, path])
        return 200, {}, self.answers.pop(0)


def discovery_requests(bodies):
    """The requests to discovery, each after the answer before it, and what is handed on."""
    given, client = [], Recorded(bodies)
    watch = DiscoveryWatch(("127.0.0.1", 9), VOCABULARY, given.append)
    for _ in bodies:
        watch.poll(client)
    return [client.asked, given]


OPERATIONS = {
    "heartbeat answer": heartbeat_answer,
    "stream": stream,
    "rejected": rejected,
    "notification": notification,
    "order": order,
    "calls": calls,
    "rest": rest,
    "merged": merged,
    "relay answer": relay_answer,
    "discovery": discovery,
    "configuration": read_configuration,
    "relay call": relay_call,
    "relay stream": relay_stream,
    "discovery requests": discovery_requests,
}
ERRORS = {MalformedMessageError: "malformed", configuration.ConfigurationError: "configuration"}
