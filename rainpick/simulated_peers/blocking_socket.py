"""What the blocking clients of both protocols do with their socket."""

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
    """Decode what comes within a time; nothing if it runs out.

    ``OSError`` says that the director closed the connection, or sent what ``decode`` finds malformed.
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
    """Close a socket; a thread that waits in it wakes up."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
