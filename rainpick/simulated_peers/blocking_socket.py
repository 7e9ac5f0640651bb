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
    """Read from a socket once, and return the messages that the data completes.

    The list is also empty if no data arrives within ``timeout_s``; None waits without a limit. ``OSError`` is
    raised if the connection is broken or closed, or if ``decode`` rejects the data by raising ``malformed``.
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
    """Close a socket; a thread that is blocked in reading from it wakes up."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
