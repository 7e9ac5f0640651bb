"""A blocking SASP client: sends a request, waits for its reply, and stores weights pushed meanwhile."""

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

# Requests whose reply is only a return code.
StatusRequest: TypeAlias = Registration | Deregistration | SetLbState | SetMemberState


class SaspClient:
    """One SASP stream to a director.

    Its methods raise ``OSError`` if the stream is broken or a reply takes longer than ``timeout_s``.
    ``receive_buffer_bytes`` is the size of the socket's receive buffer; None is the system's default.
    """

    def __init__(
        self, address: tuple[str, int], timeout_s: float = 3.0, receive_buffer_bytes: int | None = None
    ):
        self.sock = socket.socket()
        self.sock.settimeout(timeout_s)
        if receive_buffer_bytes is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.connect(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.session = ClientSession()
        self.pushed: list[SendWeights] = []
        self.timeout_s = timeout_s

    def receive(self, timeout_s: float | None) -> list[ReceivedMessage]:
        """Receive messages; return an empty list if none arrives within ``timeout_s``."""
        return blocking_socket.receive(self.sock, timeout_s, self.session.receive, SaspError)

    @overload
    def request(self, message: GetWeights) -> GetWeightsReply: ...

    @overload
    def request(self, message: StatusRequest) -> Reply: ...

    def request(self, message: Message) -> Any:
        """Send a request and return its reply; weights that are pushed meanwhile are stored."""
        self.send(message)
        while True:
            received = self.receive(self.timeout_s)
            if not received:
                raise TimeoutError(f"no reply to {type(message).__name__} within {self.timeout_s} s")
            replies = [reply for request, reply in received if request is not None]
            self.store_pushed(received)
            if replies:
                return replies[0]

    def send(self, message: Message) -> None:
        """Send a request without waiting for its reply."""
        self.sock.settimeout(self.timeout_s)
        self.sock.sendall(self.session.encode_request(message))

    def receive_weights(self, timeout_s: float) -> list[SendWeights]:
        """Return and clear the stored weights; if there are none, wait up to ``timeout_s`` for a push."""
        if not self.pushed:
            self.store_pushed(self.receive(timeout_s))
        weights, self.pushed = self.pushed, []
        return weights

    def store_pushed(self, received: list[ReceivedMessage]) -> None:
        """Store the pushed weights among received messages, and ignore replies."""
        for request, message in received:
            if request is None:
                assert isinstance(message, SendWeights)  # the session accepts no other messages
                self.pushed.append(message)

    def close(self) -> None:
        """Close the stream."""
        blocking_socket.close(self.sock)
