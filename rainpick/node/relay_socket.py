"""Opening of TCP connections to the relay, for commit calls and for subscriptions."""

from __future__ import annotations

import socket

from rainpick.node.configuration import SocketAddress

READ_SIZE = 65_536  # bytes
CONNECT_TIMEOUT_S = 0.1  # a relay that becomes reachable again is detected at most this much later
RECONNECT_PAUSE_S = 0.02


def connect_relay(address: SocketAddress, timeout_s: float = CONNECT_TIMEOUT_S) -> socket.socket:
    """Connect to the relay with ``TCP_NODELAY``; ``OSError`` if that fails or takes over ``timeout_s``."""
    sock = socket.create_connection(address, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
