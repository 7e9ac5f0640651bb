"""Subscribes to the relay's notifications about proxies, again and again."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from typing import TypeAlias

from rainpick.node.configuration import SocketAddress, Vocabulary
from rainpick.node.line_reader import LineReader
from rainpick.node.log import log
from rainpick.node.message_fields import MalformedMessageError, load_json
from rainpick.node.proxy_membership import StreamClosed, StreamEvent, StreamOpened
from rainpick.node.relay_notifications import parse_notification
from rainpick.node.relay_socket import CONNECT_TIMEOUT_S, READ_SIZE, RECONNECT_PAUSE_S, connect_relay

SUBSCRIBE = b'{"jsonrpc":"2.0","id":1,"method":"subscribe"}\n'
SILENCE_TIMEOUT_S = 2.0  # a ping is due each second
# A former address should end its stream in half of that after a change; it is not read any longer.
FORMER_STREAM_S = 3.0
THREAD_NAME = "relay notifications"

StreamNotification: TypeAlias = StreamOpened | StreamEvent | StreamClosed


class RelaySubscription:
    """Hands lists of notifications to ``publish``, each with the number of its stream.

    A stream is read by a thread of its own: after a change of the address the next one opens while the former
    one is still read, until the former address ends it.
    """

    def __init__(
        self,
        address: SocketAddress,
        vocabulary: Vocabulary,
        publish: Callable[[list[StreamNotification]], None],
    ):
        self.address = address
        self.vocabulary = vocabulary
        self.publish = publish
        self.streams = 0  # opened so far
        self.malformed = 0  # notifications that were dropped
        self.newest_stream = 0  # the number of the last connection
        self.newest_closed = 0  # the highest number of a stream that has ended
        self.address_changed_s = 0.0
        self.changed = threading.Condition()  # of the address or ``newest_closed``

    def set_address(self, address: SocketAddress) -> None:
        """For another thread: subscribe at this address from now on."""
        with self.changed:
            self.address = address
            self.address_changed_s = time.monotonic()
            self.changed.notify()

    def run(self) -> None:
        """Keep one stream open at the current address."""
        reachable = True
        while True:
            address = self.address
            try:
                sock = connect_relay(address, CONNECT_TIMEOUT_S)
            except OSError as error:
                if reachable:
                    log.warning("relay notifications unreachable", reason=str(error))
                reachable = False
                time.sleep(RECONNECT_PAUSE_S)
                continue
            reachable = True
            if self.start_reader(sock):
                self.wait_until_outdated(address)
            else:
                time.sleep(RECONNECT_PAUSE_S)

    def start_reader(self, sock: socket.socket) -> bool:
        """Read the connection's stream in a thread; False if none can be started now."""
        self.newest_stream += 1
        stream = self.newest_stream
        reader = threading.Thread(target=self.read, args=(sock, stream), name=THREAD_NAME, daemon=True)
        try:
            reader.start()
        except RuntimeError as error:  # that must not end the director
            sock.close()
            log.warning("relay notifications not read, connecting again", reason=str(error), stream=stream)
            return False
        return True

    def wait_until_outdated(self, address: SocketAddress) -> None:
        """Wait until the newest stream has ended, or the address is no longer this one."""
        with self.changed:
            self.changed.wait_for(lambda: self.address != address or self.newest_closed == self.newest_stream)

    def read(self, sock: socket.socket, stream: int) -> None:
        """Read a stream to its end, whatever ends it, and publish that."""
        try:
            with sock:
                self.follow(sock, stream)
        except Exception as error:  # noqa: BLE001 - whatever it was, only another stream can help
            log.warning("relay notifications interrupted", reason=str(error) or type(error).__name__)
        finally:
            self.publish([StreamClosed(stream)])
            time.sleep(RECONNECT_PAUSE_S)  # before the next one, if this was the newest
            with self.changed:
                self.newest_closed = max(self.newest_closed, stream)
                self.changed.notify()

    def follow(self, sock: socket.socket, stream: int) -> None:
        """Subscribe and publish what comes.

        Returns once a newer stream has replaced this one for long enough; raises ``OSError`` or
        ``ValueError`` if the stream breaks.
        """
        sock.sendall(SUBSCRIBE)
        sock.settimeout(SILENCE_TIMEOUT_S)
        lines = LineReader()
        subscribed = False
        while self.is_wanted(stream):
            data = sock.recv(READ_SIZE)
            if not data:
                raise ConnectionResetError("closed by the relay")
            notifications: list[StreamNotification] = []
            for line in lines.receive(data):
                if subscribed:
                    self.read_line(line, stream, notifications)
                else:
                    check_subscribed(line)
                    subscribed = True
                    self.streams += 1
                    notifications.append(StreamOpened(stream))
            self.publish(notifications)

    def is_wanted(self, stream: int) -> bool:
        """Whether the stream is the newest one, or was until recently."""
        return stream == self.newest_stream or time.monotonic() < self.address_changed_s + FORMER_STREAM_S

    def read_line(self, line: bytes, stream: int, notifications: list[StreamNotification]) -> None:
        """Append the notification in a line; a malformed one is dropped."""
        try:
            notifications.append(StreamEvent(stream, parse_notification(line, self.vocabulary)))
        except MalformedMessageError as error:
            self.malformed += 1
            log.warning("malformed relay notification dropped", reason=str(error))


def check_subscribed(line: bytes) -> None:
    """Raise ``ValueError`` if this answer does not accept the subscription."""
    message = load_json(line)
    if not isinstance(message, dict) or message.get("result") is not True:
        raise ValueError(f"not subscribed: {line[:80]!r}")
