"""A blocking SASP client: sends a request, waits for its reply, and keeps weights pushed meanwhile."""

from __future__ import annotations

import socket
from typing import Any, TypeAlias, overload

from rainpick.sasp.client import ClientSession, ReceivedMessage
from rainpick.sasp.errors import SaspError
from rainpick.sasp.messages import (
    Deregistration,
    GetWeights,
    GetWeightsReply,
    Message,
    Registration,
    Reply,
    SendWeights,
    SetLbState,
    SetMemberState,
)
from rainpick.simulated_peers import blocking_socket

# The requests that are answered by a status alone.
StatusRequest: TypeAlias = Registration | Deregistration | SetLbState | SetMemberState


class SaspClient:
    """One stream to a director; ``OSError`` says that it is broken.

    ``buffer`` is the size of the socket's receive buffer in bytes, where it is to be small.
    """

    def __init__(self, address: tuple[str, int], timeout_s: float = 3.0, buffer: int | None = None):
        self.sock = socket.socket()
        self.sock.settimeout(timeout_s)
        if buffer is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.sock.connect(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.end = ClientSession()
        self.pushed: list[SendWeights] = []
        self.timeout_s = timeout_s

    def receive(self, timeout_s: float | None) -> list[ReceivedMessage]:
        """Receive what comes within a time; nothing if it runs out."""
        return blocking_socket.receive(self.sock, timeout_s, self.end.receive, SaspError)

    @overload
    def request(self, message: GetWeights) -> GetWeightsReply: ...

    @overload
    def request(self, message: StatusRequest) -> Reply: ...

    def request(self, message: Message) -> Any:
        """Send a request and wait for its reply; weights pushed before it are kept."""
        self.send(message)
        while True:
            received = self.receive(self.timeout_s)
            if not received:
                raise TimeoutError("no reply")
            replies = [reply for request, reply in received if request is not None]
            self.keep_pushed(received)
            if replies:
                return replies[0]

    def send(self, message: Message) -> None:
        """Send a request without waiting for its reply."""
        self.sock.settimeout(self.timeout_s)
        self.sock.sendall(self.end.encode_request(message))

    def receive_weights(self, timeout_s: float) -> list[SendWeights]:
        """Give the weights pushed so far, else those that come within a time."""
        if not self.pushed:
            self.keep_pushed(self.receive(timeout_s))
        weights, self.pushed = self.pushed, []
        return weights

    def keep_pushed(self, received: list[ReceivedMessage]) -> None:
        """Keep the messages that answer no request."""
        for request, message in received:
            if request is None:
                assert isinstance(message, SendWeights)  # the session lets nothing else through
                self.pushed.append(message)

    def close(self) -> None:
        """Close the stream."""
        blocking_socket.close(self.sock)
