"""Client that sends the decisions' commands to the relay, one call at a time.

A call without a valid response is sent again once the relay responds to an empty call, or after a pause, if
the decisions allow the retransmission. If the relay rejects a single command, that command is skipped. If the
relay rejects a whole call, the call is sent again; after repeated rejections, the command that causes them is
skipped.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Sequence
from enum import Enum

from rainpick.node.commit_calls import (
    CommitCall,
    Retransmission,
    UnconfirmedCall,
    merge_calls,
)
from rainpick.node.commit_connection import CommitConnection, UnconfirmedCallError
from rainpick.node.commit_responses import BUSY, Accepted, Rejected
from rainpick.node.configuration import SocketAddress
from rainpick.node.execution_reports import ClientNotification, ExecutionReports
from rainpick.node.log import log
from rainpick.node.relay_socket import RECONNECT_PAUSE_S
from rainpick.node.retry_backoff import RetryBackoff

RETRY_PAUSE_S = 0.02  # pause before a rejected call, or an empty call without a response, is sent again
KEEP_ALIVE_S = 1.0  # idle time after which an empty call is sent, so that the relay keeps the connection open
REJECTION_LIMIT = 5  # non-BUSY rejections of a call before it is halved or, if it has one command, skipped

KEEP_ALIVE_CALL = CommitCall(None, ())


class RetryState(Enum):
    """Whether the first waiting call is sent again, and what has to happen before that."""

    NONE = "none"  # it may be sent now
    UNCONFIRMED = "unconfirmed"  # it got no valid response; empty calls test whether the relay responds
    REQUESTED = "requested"  # the decisions have yet to allow the retransmission


class CommitClient:
    """Sends calls to the relay strictly in order.

    A call without a valid response may have been executed. It is sent again, as a whole, before any newer
    call. This is safe because commands are idempotent: each sets a value. But each execution costs lines of
    the paced channel and a message to each proxy. Therefore the client first sends empty calls, which cost
    nothing, until the relay responds to one or a pause has passed. If the unconfirmed call has a nonce, the
    client then passes an ``UnconfirmedCall`` to ``notify``, and waits for the ``Retransmission`` with the
    nonce of the next attempt.

    Calls that are queued while another call is in progress or the relay is unreachable are merged, see
    ``merge_calls``; an unconfirmed call is merged once it may be sent again. If the calls have nonces,
    ``notify`` receives a ``MergedNonces`` for merged calls, a ``SplitCall`` for each further part of one and
    a ``RejectedBind`` for each rejected bind. It receives a ``TransmissionSuspended`` when a call fails, and
    a ``TransmissionResumed`` when one succeeds again.
    """

    def __init__(
        self,
        address: SocketAddress,
        routes: Sequence[str],
        notify: Callable[[ClientNotification], None],
    ):
        self.address = address
        self.notify = notify
        self.reports = ExecutionReports(notify)
        self.queue: queue.SimpleQueue[CommitCall | Retransmission | threading.Event] = queue.SimpleQueue()
        self.waiting: list[CommitCall] = []  # calls taken from the queue and not completed, oldest first
        self.flush_requests: list[threading.Event] = []  # created by ``flush``, set when ``waiting`` is empty
        self.connection = CommitConnection(routes)
        self.retry_state = RetryState.NONE
        self.backoff = RetryBackoff()
        self.reachable = True  # whether the last attempt to connect succeeded
        self.rejections = 0  # rejections of the current part of a call, not counting BUSY
        self.part_limit: int | None = None  # maximum commands per part while an invalid command is located
        # The keys appear in the log's ``status`` lines. "again" counts calls without a valid response,
        # "probes" the empty calls after them, "dials" connections, "orders" accepted commands, "busy"
        # rejections of whole calls, "refused" rejections of single commands, and "splits" the calls of which
        # another part had to be sent.
        self.counts = dict.fromkeys(
            ("calls", "orders", "again", "busy", "refused", "dials", "merged", "probes", "splits"), 0
        )

    # Methods for other threads

    def send(self, item: CommitCall | Retransmission) -> None:
        """Queue a call, or allow an unconfirmed call to be sent again."""
        self.queue.put(item)

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
            is_idle = not self.waiting or self.retry_state is RetryState.REQUESTED
            received = self.collect(KEEP_ALIVE_S if is_idle else 0.0)
            if not self.waiting:
                while self.flush_requests:
                    self.flush_requests.pop().set()
            if not self.waiting or self.retry_state is RetryState.REQUESTED:
                if not received and self.connection.sock is not None:
                    self.keep_alive()
            elif self.ensure_connected():
                self.advance()

    def advance(self) -> None:
        """Make one attempt for the first waiting call on a usable connection."""
        if self.retry_state is RetryState.UNCONFIRMED:
            self.probe()
            return
        self.collect(0.0)
        remaining = self.send_first_part(self.waiting[0])
        self.waiting[:1] = [] if remaining is None else [remaining]

    def collect(self, timeout_s: float) -> bool:
        """Move queued calls to ``waiting`` and merge the calls there; handle all other queued items.

        Waits up to ``timeout_s`` seconds for the first queued item; returns whether there was one.
        """
        received = 0
        try:
            while True:
                item = self.queue.get(timeout_s > 0 and not received, timeout_s)
                received += 1
                if isinstance(item, CommitCall):
                    self.waiting.append(item)
                elif isinstance(item, Retransmission):
                    self.allow_retransmission(item)
                else:
                    self.flush_requests.append(item)
        except queue.Empty:
            pass
        if received:
            self.merge_waiting()
        return received > 0

    def merge_waiting(self) -> None:
        """Merge the waiting calls, except an unconfirmed call that may not be sent again yet."""
        first = 0 if self.retry_state is RetryState.NONE else 1
        calls = self.waiting[first:]
        if len(calls) < 2:
            return
        self.counts["merged"] += len(calls)
        self.waiting[first:], merged = merge_calls(calls)
        if merged is not None:
            self.notify(merged)

    def allow_retransmission(self, allowed: Retransmission) -> None:
        """Give the unconfirmed call the nonce of its next attempt, which may be made now."""
        if self.retry_state is RetryState.REQUESTED and self.waiting[0].nonce == allowed.previous_nonce:
            self.waiting[0] = self.waiting[0].with_nonce(allowed.nonce)
            self.retry_state = RetryState.NONE

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
            self.reports.suspend()
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

    def keep_alive(self) -> bool:
        """Send an empty call; close the connection and return False if there is no valid response."""
        try:
            self.connection.exchange(KEEP_ALIVE_CALL)
        except UnconfirmedCallError:
            self.connection.close()
            return False
        return True

    def probe(self) -> None:
        """Send an empty call; request the retransmission of the unconfirmed call if its pause has passed."""
        self.counts["probes"] += 1
        is_responsive = self.keep_alive()
        if not self.backoff.is_due(time.monotonic(), is_responsive):
            time.sleep(RETRY_PAUSE_S)
            return
        nonce = self.waiting[0].nonce
        if nonce is None:
            self.retry_state = RetryState.NONE
            return
        self.retry_state = RetryState.REQUESTED
        self.notify(UnconfirmedCall(nonce))

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
        self.backoff.succeeded()
        if isinstance(response, Accepted):
            accepted = response.commands
        elif self.handle_rejection(part, response):
            return call
        else:
            accepted = part.size  # skip the whole part as if it had been accepted
        self.reports.resume()
        self.handle_accepted(part, accepted)
        remaining = call.remaining(accepted, part)
        if remaining is not None and isinstance(response, Accepted):
            self.counts["splits"] += 1
            self.reports.report_split(part, accepted, remaining)
        return remaining

    def handle_unconfirmed(self, part: CommitCall, error: UnconfirmedCallError) -> None:
        """Close the connection, and hold the call back until its retransmission is due and allowed."""
        self.counts["again"] += 1
        log.warning("commit unconfirmed, sent again", reason=str(error), commands=part.size, nonce=part.nonce)
        self.connection.close()
        self.reports.suspend()
        self.retry_state = RetryState.UNCONFIRMED
        self.backoff.failed(time.monotonic())

    def handle_rejection(self, part: CommitCall, response: Rejected) -> bool:
        """Handle the rejection of a whole part; return True to send it again, False to skip it.

        While the relay is busy, the part is sent again without limit. After ``REJECTION_LIMIT`` other
        rejections, one of the commands must be the cause. It is located by halving the part repeatedly, so
        that only this command is skipped.
        """
        self.counts["busy"] += 1
        self.reports.suspend()
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
            rejected = part.wire_command(accepted)
            log.warning(
                "command rejected",
                position=accepted,
                commands=part.size,
                nonce=part.nonce,
                command=str(rejected),
            )
            self.reports.report_rejected(part, rejected)
