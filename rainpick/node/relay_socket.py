"""What both kinds of connections to the relay share."""

from __future__ import annotations

import socket

from rainpick.node.configuration import SocketAddress

READ_SIZE = 65_536  # bytes
CONNECT_TIMEOUT_S = 0.1  # a relay that is back is found within that
RECONNECT_PAUSE_S = 0.02


def connect_relay(address: SocketAddress, timeout_s: float = CONNECT_TIMEOUT_S) -> socket.socket:
    """A connection that sends without delay; ``OSError`` if there is none in time."""
    sock = socket.create_connection(address, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
