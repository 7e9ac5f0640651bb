"""Connection to the relay for commit calls: the next call is sent after the response to the previous one."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from itertools import count

from rainpick.node.commit_calls import CommitCall
from rainpick.node.commit_responses import Accepted, Rejected, parse_commit_response
from rainpick.node.configuration import SocketAddress
from rainpick.node.line_reader import LineReader
from rainpick.node.relay_socket import READ_SIZE, connect_relay

# The relay responds within 50 ms or not at all; 70 ms more allow for scheduling delays on a shared CPU core.
RESPONSE_TIMEOUT_S = 0.12


class UnconfirmedCallError(Exception):
    """A call got no valid response: the relay may have executed all of it or nothing."""


class CommitConnection:
    """A connection to the relay. The owner must reconnect after a failure. Not thread-safe."""

    def __init__(self, routes: Sequence[str]):
        self.routes = routes  # route names by index
        self.sock: socket.socket | None = None
        self.address: SocketAddress | None = None  # the relay's address at the last attempt to connect
        self.lines = LineReader()
        self.call_numbers = count(1)

    def is_usable(self, address: SocketAddress) -> bool:
        """Return whether the connection is open to this address and no data beyond a response has arrived."""
        return (
            self.sock is not None
            and self.address == address
            and not self.lines.incomplete
            and not self.has_unexpected_input()
        )

    def connect(self, address: SocketAddress) -> None:
        """Close the current connection, if any, and open a new one; raise ``OSError`` if that fails."""
        self.close()
        self.address = address
        self.sock = connect_relay(address)
        self.lines = LineReader()

    def exchange(self, call: CommitCall) -> Accepted | Rejected:
        """Send a call once and return the relay's response.

        Raises ``UnconfirmedCallError`` if there is no valid response; the connection must then be closed.
        """
        assert self.sock is not None, "connect first"
        number = next(self.call_numbers)
        try:
            self.sock.settimeout(RESPONSE_TIMEOUT_S)
            self.sock.sendall(call.encode(number, self.routes))
            deadline_s = time.monotonic() + RESPONSE_TIMEOUT_S
            while True:
                # If the deadline passed while the thread was not scheduled, a response that has already
                # arrived is still read: a timeout of 0 makes the socket non-blocking.
                self.sock.settimeout(max(0.0, deadline_s - time.monotonic()))
                data = self.sock.recv(READ_SIZE)
                if not data:
                    raise UnconfirmedCallError("the relay closed the connection before its response")
                for line in self.lines.receive(data):
                    return parse_commit_response(line, number, call.size)
        except (TimeoutError, BlockingIOError):
            raise UnconfirmedCallError(f"no response within {RESPONSE_TIMEOUT_S} s") from None
        except (OSError, ValueError) as error:
            raise UnconfirmedCallError(str(error) or type(error).__name__) from None

    def has_unexpected_input(self) -> bool:
        """Return whether the relay has closed the connection or sent data between two calls."""
        assert self.sock is not None, "connect first"
        try:
            self.sock.setblocking(False)
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None
