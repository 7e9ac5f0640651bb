"""Sends the decisions' commands to the relay, one call at a time, until each is accepted or left out."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Sequence

from rainpick.node.commit_answers import BUSY, Accepted, Rejected
from rainpick.node.commit_calls import CommitCall, MergedNonces, UnconfirmedCall, merge_calls
from rainpick.node.commit_connection import CommitConnection, UnconfirmedCallError
from rainpick.node.configuration import SocketAddress
from rainpick.node.log import log
from rainpick.node.relay_socket import RECONNECT_PAUSE_S

RETRY_PAUSE_S = 0.02  # before a rejected call is sent again
KEEP_ALIVE_S = 1.0  # after which a call without commands keeps the connection from being closed as idle
REJECTION_LIMIT = 5  # attempts of a call that is rejected as a whole, other than for being busy

EMPTY_CALL = CommitCall(None, ())


class CommitClient:
    """Sends calls strictly in order.

    A call that may have been carried out unanswered is sent again, as a whole, before anything newer: a
    command sets a value, so repeating it in its place changes nothing.

    Calls that had to wait are merged, see ``merge_calls``. ``notify`` is handed what the nonces of merged
    calls stand for, and the nonces of calls that are sent again.
    """

    def __init__(
        self,
        address: SocketAddress,
        routes: Sequence[str],
        notify: Callable[[MergedNonces | UnconfirmedCall], None],
    ):
        self.address = address
        self.notify = notify
        self.queue: queue.SimpleQueue[CommitCall | threading.Event] = queue.SimpleQueue()
        self.waiting: list[CommitCall] = []  # taken from the queue and not yet answered, the next one first
        self.flush_requests: list[threading.Event] = []  # to be set once nothing waits
        self.connection = CommitConnection(routes)
        self.reachable = True  # according to the newest attempt to connect
        self.rejections = 0  # of the part that is sent now, other than for being busy
        self.part_limit: int | None = None  # commands in a part, while a rejected one is searched for
        # By the names of the log's ``status``: "again" counts retransmissions.
        self.counts = {"calls": 0, "orders": 0, "again": 0, "busy": 0, "refused": 0, "dials": 0, "merged": 0}

    # For other threads

    def send(self, call: CommitCall) -> None:
        """Queue a call."""
        self.queue.put(call)

    def flush(self, timeout_s: float) -> None:
        """Wait until all queued calls have been answered, but no longer than the timeout."""
        done = threading.Event()
        self.queue.put(done)
        done.wait(timeout_s)

    def set_address(self, address: SocketAddress) -> None:
        """Send the next call to the relay at this address."""
        self.address = address

    # For the thread of ``run``

    def run(self) -> None:
        """Send calls forever."""
        while True:
            received = self.collect(0.0 if self.waiting else KEEP_ALIVE_S)
            if not self.waiting:
                while self.flush_requests:
                    self.flush_requests.pop().set()
                if not received and self.connection.sock is not None:
                    self.keep_alive()
            elif self.ensure_connected():
                self.collect(0.0)
                remaining = self.attempt(self.waiting[0])
                self.waiting[:1] = [] if remaining is None else [remaining]

    def collect(self, timeout_s: float) -> bool:
        """Take what was queued, if anything comes in time, and merge the calls that wait."""
        received = 0
        try:
            while True:
                item = self.queue.get(timeout_s > 0 and not received, timeout_s)
                received += 1
                if isinstance(item, CommitCall):
                    self.waiting.append(item)
                else:
                    self.flush_requests.append(item)
        except queue.Empty:
            pass
        if received and len(self.waiting) > 1:
            self.counts["merged"] += len(self.waiting)
            self.waiting, merged = merge_calls(self.waiting)
            if merged is not None:
                self.notify(merged)
        return received > 0

    def ensure_connected(self) -> bool:
        """Have a usable connection, or try once to get one."""
        address = self.address
        if self.connection.is_usable(address):
            return True
        try:
            self.connection.connect(address)
        except OSError as error:
            if self.reachable:
                self.reachable = False
                log.warning("relay unreachable", reason=str(error))
            time.sleep(RECONNECT_PAUSE_S)
            return False
        self.counts["dials"] += 1
        if not self.reachable:
            self.reachable = True
            log.info("relay reachable again")
        return True

    def keep_alive(self) -> None:
        """Send a call without commands; any answer will do."""
        try:
            self.connection.exchange(EMPTY_CALL)
        except UnconfirmedCallError:
            self.connection.close()

    def attempt(self, call: CommitCall) -> CommitCall | None:
        """Send a call, or its first part, once; returns what is still to be sent of it."""
        part = call.first_part(self.connection.routes, self.part_limit)
        try:
            answer = self.connection.exchange(part)
        except UnconfirmedCallError as error:
            self.handle_unconfirmed(part, error)
            return call
        if isinstance(answer, Accepted):
            accepted = answer.commands
        elif self.should_retry(part, answer):
            return call
        else:
            accepted = part.size  # as far as sending goes: the part is left out
        self.handle_accepted(part, accepted)
        return call.remaining(accepted, part)

    def handle_unconfirmed(self, part: CommitCall, error: UnconfirmedCallError) -> None:
        """Close the connection, and have the decisions count what may be carried out twice."""
        self.counts["again"] += 1
        log.warning("commit unconfirmed, sent again", reason=str(error), commands=part.size, nonce=part.nonce)
        self.connection.close()
        if part.nonce is not None:
            self.notify(UnconfirmedCall(part.nonce))

    def should_retry(self, part: CommitCall, answer: Rejected) -> bool:
        """Handle the rejection of a part as a whole; False if it is to be left out.

        A busy relay is asked for as long as it takes. Other rejections must be due to one of the commands:
        it is found by halving the part, so that the others are not lost with it.
        """
        self.counts["busy"] += 1
        self.rejections += answer.code != BUSY
        if self.rejections < REJECTION_LIMIT:
            time.sleep(RETRY_PAUSE_S)
            return True
        self.rejections = 0
        if len(part.commands) > 1:
            self.part_limit = len(part.commands) // 2
            return True
        log.error(
            "command left out",
            reason=answer.code,
            commands=part.size,
            nonce=part.nonce,
            command=str(part.commands[:1]),
        )
        self.part_limit = None
        return False

    def handle_accepted(self, part: CommitCall, accepted: int) -> None:
        """Count the accepted commands of a part, and log the one after them, which was rejected."""
        self.rejections = 0
        if self.part_limit is not None:
            self.part_limit *= 2
        self.counts["calls"] += 1
        self.counts["orders"] += accepted
        if accepted < part.size:
            self.counts["refused"] += 1
            log.warning(
                "command rejected",
                position=accepted,
                commands=part.size,
                nonce=part.nonce,
                command=str(part.wire_command(accepted)),
            )
