"""Subscription to the relay's notifications about proxies, renewed whenever its stream ends."""

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
SILENCE_TIMEOUT_S = 2.0  # the relay sends a ping every second
# After a change of the relay's address, the stream at the previous address is still read for this time. The
# relay there should end the stream within half of this time.
FORMER_STREAM_TIMEOUT_S = 3.0
THREAD_NAME = "relay notifications"

StreamNotification: TypeAlias = StreamOpened | StreamEvent | StreamClosed


class RelaySubscription:
    """Passes lists of notifications to ``publish``, each notification with the number of its stream.

    Each stream is read by its own thread. After a change of the relay's address, a stream opens at the new
    address. The stream at the previous address is read until the relay there ends it, but no longer than
    ``FORMER_STREAM_TIMEOUT_S``, so that no notification is missed.
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
        self.streams = 0  # subscriptions that the relay has accepted so far
        self.malformed = 0  # malformed notifications dropped so far
        self.newest_stream = 0  # number of the newest stream; 1 is the first
        self.newest_closed = 0  # highest number of a stream that has ended
        self.address_changed_s = 0.0  # monotonic time of the last change of ``address``
        self.changed = threading.Condition()  # notified when ``address`` or ``newest_closed`` changes

    def set_address(self, address: SocketAddress) -> None:
        """Subscribe at this address from now on. May be called by any thread."""
        with self.changed:
            self.address = address
            self.address_changed_s = time.monotonic()
            self.changed.notify()

    def run(self) -> None:
        """Keep one stream open at the current address, forever."""
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
        """Start a thread that reads the connection's stream; return False if no thread can be started."""
        self.newest_stream += 1
        stream = self.newest_stream
        reader = threading.Thread(target=self.read_stream, args=(sock, stream), name=THREAD_NAME, daemon=True)
        try:
            reader.start()
        except RuntimeError as error:  # no thread can be started; this must not end the director
            sock.close()
            log.warning("relay notifications not read, connecting again", reason=str(error), stream=stream)
            return False
        return True

    def wait_until_outdated(self, address: SocketAddress) -> None:
        """Wait until the newest stream, which is at ``address``, has ended or the address has changed."""
        with self.changed:
            self.changed.wait_for(lambda: self.address != address or self.newest_closed == self.newest_stream)

    def read_stream(self, sock: socket.socket, stream: int) -> None:
        """Read a stream until it ends for any reason, and publish its end."""
        try:
            with sock:
                self.follow(sock, stream)
        except Exception as error:  # noqa: BLE001 - any error is handled by opening another stream
            reason = str(error) or type(error).__name__
            log.warning("relay notifications interrupted", reason=reason, stream=stream)
        finally:
            self.publish([StreamClosed(stream)])
            time.sleep(RECONNECT_PAUSE_S)  # delays the next stream if this one was the newest
            with self.changed:
                self.newest_closed = max(self.newest_closed, stream)
                self.changed.notify()

    def follow(self, sock: socket.socket, stream: int) -> None:
        """Subscribe and publish the received notifications.

        If a newer stream exists, returns ``FORMER_STREAM_TIMEOUT_S`` after the change of the address. Raises
        ``OSError`` or ``ValueError`` if the stream ends or fails.
        """
        sock.sendall(SUBSCRIBE)
        sock.settimeout(SILENCE_TIMEOUT_S)
        lines = LineReader()
        subscribed = False
        while self.is_still_read(stream):
            data = sock.recv(READ_SIZE)
            if not data:
                raise ConnectionResetError("closed by the relay")
            notifications: list[StreamNotification] = []
            for line in lines.receive(data):
                if subscribed:
                    self.append_notification(line, stream, notifications)
                else:
                    check_subscribed(line)
                    subscribed = True
                    self.streams += 1
                    log.info("relay notifications subscribed", stream=stream)
                    notifications.append(StreamOpened(stream))
            self.publish(notifications)

    def is_still_read(self, stream: int) -> bool:
        """Return whether the stream is the newest or may still be read after a change of the address."""
        return (
            stream == self.newest_stream
            or time.monotonic() < self.address_changed_s + FORMER_STREAM_TIMEOUT_S
        )

    def append_notification(self, line: bytes, stream: int, notifications: list[StreamNotification]) -> None:
        """Parse a line and append its notification; drop a malformed one."""
        try:
            notifications.append(StreamEvent(stream, parse_notification(line, self.vocabulary)))
        except MalformedMessageError as error:
            self.malformed += 1
            log.warning("malformed relay notification dropped", reason=str(error))


def check_subscribed(line: bytes) -> None:
    """Raise ``ValueError`` unless the line is a response that accepts the subscription."""
    message = load_json(line)
    if not isinstance(message, dict) or message.get("result") is not True:
        raise ValueError(f"not subscribed: {line[:80]!r}")
