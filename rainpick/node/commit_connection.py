"""The connection for commit calls: one call and its answer at a time."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from itertools import count

from rainpick.node.commit_answers import Accepted, Rejected, parse_answer
from rainpick.node.commit_calls import CommitCall
from rainpick.node.configuration import SocketAddress
from rainpick.node.line_reader import LineReader
from rainpick.node.relay_socket import READ_SIZE, connect_relay

# The relay answers within 50 ms or never; the rest is for a processor core that is shared.
ANSWER_TIMEOUT_S = 0.12


class UnconfirmedCallError(Exception):
    """A call may have been carried out as a whole, or not at all."""


class CommitConnection:
    """Connects, calls and closes; it is reconnected by its user. For one thread."""

    def __init__(self, routes: Sequence[str]):
        self.routes = routes  # their names by index
        self.sock: socket.socket | None = None
        self.address: SocketAddress | None = None  # of the newest attempt to connect
        self.lines = LineReader()
        self.call_numbers = count(1)

    def is_usable(self, address: SocketAddress) -> bool:
        """Whether it is connected to this address and nothing unexpected has come."""
        return (
            self.sock is not None
            and self.address == address
            and not self.lines.rest
            and not self.has_unexpected_input()
        )

    def connect(self, address: SocketAddress) -> None:
        """Connect anew; ``OSError`` if that fails."""
        self.close()
        self.address = address
        self.sock = connect_relay(address)
        self.lines = LineReader()

    def exchange(self, call: CommitCall) -> Accepted | Rejected:
        """Send a call once and return its answer.

        After an ``UnconfirmedCallError`` the connection is unusable and should be closed.
        """
        assert self.sock is not None, "connect first"
        number = next(self.call_numbers)
        try:
            self.sock.settimeout(ANSWER_TIMEOUT_S)
            self.sock.sendall(call.encode(number, self.routes))
            deadline_s = time.monotonic() + ANSWER_TIMEOUT_S
            while True:
                # A thread that got no turn on a busy core still reads what has come, without waiting.
                self.sock.settimeout(max(0.0, deadline_s - time.monotonic()))
                data = self.sock.recv(READ_SIZE)
                if not data:
                    raise UnconfirmedCallError("closed before the answer")
                for line in self.lines.receive(data):
                    return parse_answer(line, number, call.size)
        except (TimeoutError, BlockingIOError):
            raise UnconfirmedCallError("no answer in time") from None
        except (OSError, ValueError) as error:
            raise UnconfirmedCallError(str(error) or type(error).__name__) from None

    def has_unexpected_input(self) -> bool:
        """Whether the relay has closed the connection, or sent something between two calls."""
        assert self.sock is not None, "connect first"
        try:
            self.sock.setblocking(False)
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None
