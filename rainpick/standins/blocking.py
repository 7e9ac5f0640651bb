"""What both fronts' stand-in clients do with a blocking socket."""

import contextlib
import socket
from collections.abc import Callable

PIECE = 65_536


def receive(
    sock: socket.socket, timeout_s: float | None, take: Callable[[bytes], list], malformed: type[Exception]
) -> list:
    """What came within the time, nothing if it ran out; ``OSError`` when the director ended or spoils it."""
    sock.settimeout(timeout_s)
    try:
        data = sock.recv(PIECE)
    except TimeoutError:
        return []
    if not data:
        raise ConnectionResetError("the director closed the connection")
    try:
        return take(data)
    except malformed as flaw:
        raise ConnectionAbortedError(str(flaw)) from None


def close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
