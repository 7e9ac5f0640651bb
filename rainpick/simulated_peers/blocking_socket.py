"""Socket operations shared by the blocking SASP and MQTT clients."""

import contextlib
import socket
from collections.abc import Callable
from typing import TypeVar

CHUNK_BYTES = 65_536

Received = TypeVar("Received")


def receive(
    sock: socket.socket,
    timeout_s: float | None,
    decode: Callable[[bytes], list[Received]],
    malformed: type[Exception],
) -> list[Received]:
    """Receive and decode data; return an empty list if none arrives within ``timeout_s``.

    ``OSError`` means that the director closed the connection, or sent data that ``decode`` rejects.
    """
    sock.settimeout(timeout_s)
    try:
        data = sock.recv(CHUNK_BYTES)
    except TimeoutError:
        return []
    if not data:
        raise ConnectionResetError("the director closed the connection")
    try:
        return decode(data)
    except malformed as error:
        raise ConnectionAbortedError(str(error)) from None


def close(sock: socket.socket) -> None:
    """Close a socket, and wake up a thread that is blocked on it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
