"""Follows discovery: the full endpoint list once, then long polls for changes, one after the other."""

from __future__ import annotations

import time
from collections.abc import Callable

from rainpick.http1.client import Client, ClientError
from rainpick.node.configuration import SocketAddress, Vocabulary
from rainpick.node.endpoint_discovery import DiscoveryAnswer, parse_discovery_answer
from rainpick.node.log import log
from rainpick.node.message_fields import load_json

PATH = "/catalog/members"
HOLD_MS = 1_000  # how long discovery holds a poll while nothing changes
# A poll that gets no answer fails that long after the hold. The platform counts what such a poll missed as
# told 2 s after it.
SLACK_S = 0.4
LIST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.2  # discovery is on the director's own machine
# Full lists of an older version must come for so long before discovery is believed to count from anew.
REGRESSION_S = 2.0
BACKOFF_S = (0.0, 0.05, 0.1, 0.2)  # before each next attempt; the last one for all further attempts


class DiscoveryWatch:
    """Hands on each answer that says something, in order, in the one thread of ``run``."""

    def __init__(
        self, address: SocketAddress, vocabulary: Vocabulary, publish: Callable[[DiscoveryAnswer], None]
    ):
        self.vocabulary = vocabulary
        self.publish = publish
        self.version: int | None = None  # of the newest answer
        self.fetch_full = True  # ask for the full list next: the changes alone may be incomplete
        self.client = self.new_client(address)
        self.failures = 0
        self.answers = 0
        self.regressed_since_s: float | None = None  # since when full lists have an older version

    @staticmethod
    def new_client(address: SocketAddress) -> Client:
        """A client of discovery at an address; it connects with its first call."""
        return Client(*address, timeout_s=LIST_TIMEOUT_S, connect_timeout_s=CONNECT_TIMEOUT_S)

    def set_address(self, address: SocketAddress) -> None:
        """For another thread: follow discovery at this address from now on."""
        former, self.client = self.client, self.new_client(address)
        former.abort()

    def run(self) -> None:
        """Poll forever; a failed poll is repeated after a backoff."""
        attempts = 0
        former: Client | None = None
        while True:
            client = self.client
            if client is not former:
                # Versions at a new address may not be comparable.
                attempts, self.fetch_full, former = 0, True, client
            try:
                self.poll(client)
                if attempts:
                    log.info("discovery reachable again", attempts=attempts)
                attempts = 0
            except (ClientError, ValueError) as error:
                client.close()
                self.failures += 1
                if client is self.client:
                    if not attempts:
                        log.warning("discovery failed", reason=str(error))
                    time.sleep(BACKOFF_S[min(attempts, len(BACKOFF_S) - 1)])
                    attempts += 1
            if client is not self.client:
                client.close()

    def poll(self, client: Client) -> None:
        """Make one call and apply its answer; ``ClientError`` or ``ValueError`` if there is no usable one."""
        if self.fetch_full:
            status, _, body = client.call("GET", PATH)
        else:
            path = f"{PATH}?from={self.version}&hold_ms={HOLD_MS}"
            status, _, body = client.call("GET", path, timeout_s=HOLD_MS / 1000 + SLACK_S)
        if status != 200:
            raise ValueError(f"status {status}")
        answer = parse_discovery_answer(load_json(body), self.vocabulary)
        self.check_version(answer)
        for error in answer.errors:
            log.error("endpoint list entry skipped", reason=error)
        self.answers += 1
        if answer.full or answer.endpoints or answer.version != self.version:
            self.publish(answer)
        self.version = answer.version
        # A change that could not be read is not given again, but the full list has it.
        self.fetch_full = bool(answer.errors) and not answer.full

    def check_version(self, answer: DiscoveryAnswer) -> None:
        """Raise ``ValueError`` for an answer that is older than the newest one.

        An old list that comes late would undo withdrawals. But if only older full lists come for a while,
        discovery has begun to count anew.
        """
        if self.version is not None and answer.version < self.version:
            now_s = time.monotonic()
            self.fetch_full = True
            self.regressed_since_s = self.regressed_since_s or now_s
            if not answer.full or now_s - self.regressed_since_s < REGRESSION_S:
                raise ValueError(f"version {answer.version} after {self.version}")
        self.regressed_since_s = None
