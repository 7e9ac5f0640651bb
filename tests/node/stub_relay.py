"""A stub of the relay that records commands and can be scripted to misbehave."""

import contextlib
import json
import socket
import threading
import time

from rainpick.node.line_reader import LineReader


class StubServer:
    """Accepts connections until it is closed, and serves each in its own thread."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections.add(sock)
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def drop_connections(self):
        """Shut down all connections."""
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Stop listening and shut down all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.drop_connections()


class StubRelay(StubServer):
    """Records commands. ``responses`` scripts the next calls, ``default_response`` all others.

    Each call is handled with one scripted behaviour. A number is the number of accepted commands; the next
    command, if any, is rejected. Bytes are the JSON text that is sent as the count of accepted commands, all
    of which are executed. "accept" accepts all commands, "busy" and "syntax" reject the whole call.
    The other behaviours are:

    * call not executed: "not read, closed", "not read, silent";
    * call executed: "no answer, closed", "no answer, silent", "invalid answer", "half an answer, closed",
      "answer twice", "answer and more".
    """

    def __init__(self, ping_s=0.1):
        self.ping_s = ping_s
        self.responses = []
        self.default_response = lambda commands: "accept"
        self.joined = {}  # parameters of ``attach`` by proxy
        self.accepted = []  # accepted commands
        self.calls = []  # behaviour and commands of each call
        self.listing_lock = threading.Lock()  # a join is either in a listing or sent after it
        self.subscribers = []
        self.silent = False  # whether to stop sending pings
        super().__init__()

    def serve(self, sock):
        """Handle the lines of a connection."""
        lines = LineReader()
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                for line in lines.receive(data):
                    self.handle(sock, json.loads(line))
        self.connections.discard(sock)
        sock.close()

    def handle(self, sock, message):
        """Handle a call."""
        if message["method"] == "subscribe":
            self.subscribe(sock, message["id"])
        else:
            self.commit(sock, message["id"], message["params"]["orders"])

    def subscribe(self, sock, number):
        """Accept a subscription, list the joined proxies, and start to send pings."""
        with self.listing_lock:
            listing = [{"method": "attach", "params": params} for params in self.joined.values()]
            self.write(sock, {"id": number, "result": True}, *listing)
            self.subscribers.append(sock)
        threading.Thread(target=self.send_pings, args=(sock,), daemon=True).start()

    def commit(self, sock, number, commands):
        """Handle a commit call with the next scripted behaviour."""
        response = self.responses.pop(0) if self.responses else self.default_response(commands)
        self.calls.append((response, commands))
        if response == "busy":
            self.write(sock, {"id": number, "error": {"code": -32000, "message": "BUSY"}})
        elif response == "syntax":
            self.write(sock, {"id": number, "error": {"code": -32600, "message": "SYNTAX"}})
        elif response == "not read, closed":
            sock.shutdown(socket.SHUT_RDWR)
        elif response != "not read, silent":
            count = response if isinstance(response, int) else len(commands)
            self.execute(commands[:count])
            self.send_result(sock, number, count, response)

    def execute(self, commands):
        """Execute the accepted commands of a call."""
        self.accepted += commands

    def send_result(self, sock, number, count, response):
        """Respond to a call of which ``count`` commands are accepted, in the way that ``response`` names."""
        line = json.dumps({"jsonrpc": "2.0", "id": number, "result": {"ok_count": count}}).encode() + b"\n"
        if isinstance(response, bytes):
            sock.sendall(b'{"id":%d,"result":{"ok_count":%s}}\n' % (number, response))
        elif response == "invalid answer":
            self.write(sock, {"id": number, "result": {"ok_count": -3}})
        elif response == "half an answer, closed":
            sock.sendall(line[:20])
        elif response == "answer twice":
            sock.sendall(2 * line)
        elif response == "answer and more":
            sock.sendall(line + b'{"jsonrpc"')
        elif response not in ("no answer, closed", "no answer, silent"):
            sock.sendall(line)
        if response in ("no answer, closed", "half an answer, closed"):
            sock.shutdown(socket.SHUT_RDWR)

    def write(self, sock, *messages):
        """Send JSON-RPC messages at once, each as a line."""
        lines = [json.dumps({"jsonrpc": "2.0"} | message) + "\n" for message in messages]
        sock.sendall("".join(lines).encode())

    def send_pings(self, sock):
        """Send pings to a subscriber until its connection ends or it is muted."""
        with contextlib.suppress(OSError):
            while sock in self.subscribers:
                if not self.silent:
                    self.write(sock, {"method": "ping"})
                time.sleep(self.ping_s)

    def mute_subscribers(self):
        """Send nothing more to the present subscribers; their connections stay open."""
        self.subscribers.clear()

    def notify(self, method, **params):
        """Send a notification to all subscribers."""
        with self.listing_lock:
            if method == "attach":
                self.joined[params["node"]] = params
            elif method == "detach":
                self.joined.pop(params["node"], None)
            subscribers = list(self.subscribers)
        for sock in subscribers:
            with contextlib.suppress(OSError):
                self.write(sock, {"method": method, "params": params})

    def attach(self, node, zone="a", cold=True):
        """Join a proxy."""
        self.notify("attach", node=node, locality=zone, w=10.0, cold=cold)

    def commands(self, verb):
        """Return the accepted commands with this verb."""
        return [command for command in list(self.accepted) if command["verb"] == verb]


def cleared_tables(relay):
    """Return the tables of the accepted clear commands, in order."""
    return [command["cluster"] for command in relay.commands("clear")]
