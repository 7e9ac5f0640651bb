"""Client that sends the decisions' commands to the relay, one call at a time.

A call without a valid response is sent again. If the relay rejects a single command, that command is skipped.
If the relay rejects a whole call, the call is sent again; after repeated rejections, the command that causes
them is skipped.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Sequence

from rainpick.node.commit_calls import CommitCall, MergedNonces, UnconfirmedCall, merge_calls
from rainpick.node.commit_connection import CommitConnection, UnconfirmedCallError
from rainpick.node.commit_responses import BUSY, Accepted, Rejected
from rainpick.node.configuration import SocketAddress
from rainpick.node.log import log
from rainpick.node.relay_socket import RECONNECT_PAUSE_S

RETRY_PAUSE_S = 0.02  # pause before a rejected call is sent again
KEEP_ALIVE_S = 1.0  # idle time after which an empty call is sent, so that the relay keeps the connection open
REJECTION_LIMIT = 5  # non-BUSY rejections of a call before it is halved or, if it has one command, skipped

KEEP_ALIVE_CALL = CommitCall(None, ())


class CommitClient:
    """Sends calls to the relay strictly in order.

    A call without a valid response may have been executed. It is sent again, as a whole, before any newer
    call. This is safe because commands are idempotent: each sets a value.

    Calls that are queued while another call is in progress or the relay is unreachable are merged, see
    ``merge_calls``. If the calls have nonces, ``notify`` receives a ``MergedNonces`` for merged calls and an
    ``UnconfirmedCall`` for each call that is sent again.
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
        self.waiting: list[CommitCall] = []  # calls taken from the queue and not completed, oldest first
        self.flush_requests: list[threading.Event] = []  # created by ``flush``, set when ``waiting`` is empty
        self.connection = CommitConnection(routes)
        self.reachable = True  # whether the last attempt to connect succeeded
        self.rejections = 0  # rejections of the current part of a call, not counting BUSY
        self.part_limit: int | None = None  # maximum commands per part while an invalid command is located
        # The keys appear in the log's ``status`` lines. "again" counts calls without a valid
        # response, "dials" connections, "orders" accepted commands, "busy" rejections of whole calls and
        # "refused" rejections of single commands.
        self.counts = {"calls": 0, "orders": 0, "again": 0, "busy": 0, "refused": 0, "dials": 0, "merged": 0}

    # Methods for other threads

    def send(self, call: CommitCall) -> None:
        """Queue a call."""
        self.queue.put(call)

    def flush(self, timeout_s: float) -> None:
        """Wait until all queued calls are completed: each command was accepted or skipped.

        Returns after ``timeout_s`` seconds at the latest.
        """
        done = threading.Event()
        self.queue.put(done)
        done.wait(timeout_s)

    def set_address(self, address: SocketAddress) -> None:
        """Use the relay at this address from the next call on."""
        self.address = address

    # Methods for the thread that executes ``run``

    def run(self) -> None:
        """Send queued calls forever, and an empty call whenever the client has been idle."""
        while True:
            received = self.collect(0.0 if self.waiting else KEEP_ALIVE_S)
            if not self.waiting:
                while self.flush_requests:
                    self.flush_requests.pop().set()
                if not received and self.connection.sock is not None:
                    self.keep_alive()
            elif self.ensure_connected():
                self.collect(0.0)
                remaining = self.send_first_part(self.waiting[0])
                self.waiting[:1] = [] if remaining is None else [remaining]

    def collect(self, timeout_s: float) -> bool:
        """Move queued calls to ``waiting`` and merge the calls there; move flushes to ``flush_requests``.

        Waits up to ``timeout_s`` seconds for the first queued item; returns whether there was one.
        """
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
        """Connect to the relay if the connection is unusable; return whether it is usable now.

        Makes one attempt, and pauses for ``RECONNECT_PAUSE_S`` if it fails.
        """
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
        """Send an empty call and ignore its result; close the connection if there is no valid response."""
        try:
            self.connection.exchange(KEEP_ALIVE_CALL)
        except UnconfirmedCallError:
            self.connection.close()

    def send_first_part(self, call: CommitCall) -> CommitCall | None:
        """Send the call once, or its first part if it must be split.

        Returns a call with the commands that must still be sent, None if there are none.
        """
        part = call.first_part(self.connection.routes, self.part_limit)
        try:
            response = self.connection.exchange(part)
        except UnconfirmedCallError as error:
            self.handle_unconfirmed(part, error)
            return call
        if isinstance(response, Accepted):
            accepted = response.commands
        elif self.handle_rejection(part, response):
            return call
        else:
            accepted = part.size  # skip the whole part as if it had been accepted
        self.handle_accepted(part, accepted)
        return call.remaining(accepted, part)

    def handle_unconfirmed(self, part: CommitCall, error: UnconfirmedCallError) -> None:
        """Close the connection, and report the part's nonce, if any: its commands may be executed twice."""
        self.counts["again"] += 1
        log.warning("commit unconfirmed, sent again", reason=str(error), commands=part.size, nonce=part.nonce)
        self.connection.close()
        if part.nonce is not None:
            self.notify(UnconfirmedCall(part.nonce))

    def handle_rejection(self, part: CommitCall, response: Rejected) -> bool:
        """Handle the rejection of a whole part; return True to send it again, False to skip it.

        While the relay is busy, the part is sent again without limit. After ``REJECTION_LIMIT`` other
        rejections, one of the commands must be the cause. It is located by halving the part repeatedly, so
        that only this command is skipped.
        """
        self.counts["busy"] += 1
        self.rejections += response.code != BUSY
        if self.rejections < REJECTION_LIMIT:
            time.sleep(RETRY_PAUSE_S)
            return True
        self.rejections = 0
        if len(part.commands) > 1:
            self.part_limit = len(part.commands) // 2
            return True
        log.error(
            "command left out",
            reason=response.code,
            commands=part.size,
            nonce=part.nonce,
            command=str(part.commands[:1]),
        )
        self.part_limit = None
        return False

    def handle_accepted(self, part: CommitCall, accepted: int) -> None:
        """Count the first ``accepted`` commands of a part; log the next command, if any, as rejected."""
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
