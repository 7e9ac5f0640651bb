"""Clients that write slowly, stop in the middle of a request, flood a listener, or leave without reading."""

import contextlib
import socket
import threading
import time

CONNECT_TIMEOUT_S = 10


class Crowd:
    """Many connections to one address, which are all served by a few threads of this process.

    ``payload(number)`` is what connection ``number`` writes at once, ``drip(number)`` what it writes piece by
    piece afterwards. Connections that the program closes are counted in ``closed``, and opened again if
    ``reconnects``.
    """

    def __init__(self, address, count, payload, drip=lambda number: b"", pause_s=0.05, reconnects=True):
        self.address, self.count = address, count
        self.payload, self.drip, self.pause_s, self.reconnects = payload, drip, pause_s, reconnects
        self.sockets = {}
        self.answers = {}  # the newest bytes that each connection was sent
        self.written, self.closed, self.answered = 0, 0, 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        drips = {}
        while not self.ended.is_set():
            for number in range(self.count):
                sock = self.sockets.get(number)
                if sock is None:
                    if number in drips and not self.reconnects:
                        continue
                    drips[number] = [memoryview(self.payload(number)), memoryview(self.drip(number))]
                    with contextlib.suppress(OSError):
                        sock = self.sockets[number] = socket.create_connection(
                            self.address, CONNECT_TIMEOUT_S
                        )
                        sock.setblocking(False)
                if sock is not None:
                    self.advance(number, sock, drips[number])
            self.ended.wait(self.pause_s)

    def advance(self, number, sock, rest):
        """Write the rest of the payload, or one byte of the drip; notice answers and the end."""
        try:
            if rest[0]:
                sent = sock.send(rest[0])
                rest[0] = rest[0][sent:]
            elif rest[1]:
                sent = sock.send(rest[1][:1])
                rest[1] = rest[1][1:]
            else:
                sent = 0
            self.written += sent
        except BlockingIOError:
            pass
        except OSError:
            self.drop(number)
            return
        try:
            data = sock.recv(65536)
            if data:
                self.answers[number] = data
                self.answered += 1
            else:
                self.drop(number)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(number)

    def drop(self, number):
        self.sockets.pop(number).close()
        self.closed += 1

    def end(self):
        """Close all connections."""
        self.ended.set()
        self.thread.join(30)
        for sock in list(self.sockets.values()):
            sock.close()


class Flood:
    """One connection that writes requests at full speed, and reads the answers or does not.

    ``request(number)`` is the request with a number, which may be a new name each time. If the program closes
    the connection, another one is opened after ``begin`` was written to it.
    """

    def __init__(self, address, request, begin=b"", reads=True, batch=64):
        self.address, self.request, self.begin, self.reads, self.batch = address, request, begin, reads, batch
        self.requests, self.bytes, self.connections, self.number = 0, 0, 0, 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.is_set():
            try:
                with socket.create_connection(self.address, CONNECT_TIMEOUT_S) as sock:
                    self.connections += 1
                    self.flood(sock)
            except OSError:
                time.sleep(0.01)

    def flood(self, sock):
        if self.reads:
            threading.Thread(target=self.read, args=(sock,), daemon=True).start()
        sock.settimeout(1.0)
        sock.sendall(self.begin)
        while not self.ended.is_set():
            data = memoryview(b"".join(self.request(self.number + n) for n in range(self.batch)))
            self.number += self.batch
            while data and not self.ended.is_set():
                with contextlib.suppress(TimeoutError):
                    sent = sock.send(data)
                    self.bytes += sent
                    data = data[sent:]
            self.requests += self.batch

    @staticmethod
    def read(sock):
        with contextlib.suppress(OSError, ValueError):
            while sock.recv(262144):
                pass

    def end(self):
        self.ended.set()
        self.thread.join(30)
