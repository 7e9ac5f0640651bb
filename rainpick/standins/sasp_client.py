"""A blocking SASP client: asks, waits for the reply, keeps what was pushed meanwhile."""

from __future__ import annotations

import socket

from rainpick.sasp import codec
from rainpick.sasp.session import ClientEnd
from rainpick.standins import blocking


class SaspClient:
    """One stream to a director. ``OSError`` when it is broken. ``buffer``: bytes that wait to be read."""

    def __init__(self, place: tuple[str, int], timeout_s: float = 3.0, buffer: int | None = None):
        self.sock = socket.socket()
        self.sock.settimeout(timeout_s)
        if buffer is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.sock.connect(place)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.end, self.pushed = ClientEnd(), []
        self.timeout_s = timeout_s

    def receive(self, timeout_s: float | None) -> list:
        """What came within the time; nothing if it ran out."""
        return blocking.receive(self.sock, timeout_s, self.end.receive, codec.SaspError)

    def ask(self, message: codec.Message) -> codec.Message:
        """The reply; pushed weights that came before it are kept in ``pushed``."""
        self.sock.settimeout(self.timeout_s)
        self.sock.sendall(self.end.ask(message))
        while True:
            found = self.receive(self.timeout_s)
            if not found:
                raise TimeoutError("no reply")
            replies = [reply for asked, reply in found if asked is not None]
            self.pushed += [one for asked, one in found if asked is None]
            if replies:
                return replies[0]

    def send(self, message: codec.Message) -> None:
        self.sock.settimeout(self.timeout_s)
        self.sock.sendall(self.end.ask(message))

    def weights(self, timeout_s: float) -> list[codec.SendWeights]:
        """Pushed weights, as they come."""
        if not self.pushed:
            self.pushed += [one for asked, one in self.receive(timeout_s) if asked is None]
        found, self.pushed = self.pushed, []
        return found

    def close(self) -> None:
        blocking.close(self.sock)
