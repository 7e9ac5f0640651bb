"""Closes connections so that the last response reaches the client.

If a socket is closed while bytes of the client are unread, or before they arrive, the system resets the
connection, and the client may lose a response that it has not read yet (RFC 9112, section 9.6). So the server
first ends only its writing, and reads until the client closes.
"""

from __future__ import annotations

import socket
import threading
import time

LINGER_S = 1.0  # longest time for which the client's bytes are read and dropped
MAX_LINGERING = 256  # connections; beyond it the oldest are closed
POLL_S = 0.1
READ_SIZE = 65_536


class LingeringClose:
    """Sockets that are being closed, in one thread."""

    def __init__(self, name: str):
        self.lock = threading.Lock()
        self.deadlines_s: dict[socket.socket, float] = {}  # oldest first
        self.changed = threading.Event()
        self.thread = threading.Thread(target=self.run, name=f"{name}-close", daemon=True)
        self.thread.start()

    def add(self, sock: socket.socket) -> None:
        """End the writing of a socket, and close it later. The caller must not use it any more."""
        try:
            sock.setblocking(False)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        with self.lock:
            self.deadlines_s[sock] = time.monotonic() + LINGER_S
            if len(self.deadlines_s) > MAX_LINGERING:
                oldest = next(iter(self.deadlines_s))
                del self.deadlines_s[oldest]
                oldest.close()
        self.changed.set()

    def run(self) -> None:
        """Read and drop bytes until the clients close or the time has passed, forever."""
        while True:
            self.changed.wait()
            with self.lock:
                sockets = dict(self.deadlines_s)
                if not sockets:
                    self.changed.clear()
            for sock, deadline_s in sockets.items():
                if time.monotonic() >= deadline_s or has_ended(sock):
                    with self.lock:
                        self.deadlines_s.pop(sock, None)
                    sock.close()
            time.sleep(POLL_S)


def has_ended(sock: socket.socket) -> bool:
    """Drop the bytes that have arrived; return whether the client has closed the connection."""
    try:
        return not sock.recv(READ_SIZE)
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
