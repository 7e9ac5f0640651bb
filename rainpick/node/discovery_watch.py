"""Watches discovery: fetches the full endpoint list once, then long-polls for changes."""

from __future__ import annotations

import time
from collections.abc import Callable

from rainpick.http1.client import Client, ClientError
from rainpick.node.configuration import SocketAddress, Vocabulary
from rainpick.node.endpoint_discovery import DiscoveryResponse, parse_discovery_response
from rainpick.node.log import log
from rainpick.node.message_fields import load_json

PATH = "/catalog/members"
HOLD_MS = 1_000  # how long discovery holds a poll open while nothing changes
# A poll times out this long after the end of the hold. The platform counts the changes that a timed-out poll
# missed as delivered 2 s after that poll, so the margin is short to leave time for the next poll before that.
POLL_TIMEOUT_MARGIN_S = 0.4
LIST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.2  # discovery runs on the same machine as the director
# How long discovery must return only full lists of older versions before its version counter is assumed to
# have been reset.
REGRESSION_TIMEOUT_S = 2.0
# Pause after a poll without news that discovery answered in less than half of the hold. Discovery ends a
# watch if the next poll is more than 200 ms late.
EARLY_RESPONSE_PAUSE_S = 0.05
BACKOFF_S = (0.0, 0.05, 0.1, 0.2)  # delay before each retry; the last one also applies to all further retries


class DiscoveryWatch:
    """Passes each response with new information to ``publish``, in order and in the thread of ``run``."""

    def __init__(
        self, address: SocketAddress, vocabulary: Vocabulary, publish: Callable[[DiscoveryResponse], None]
    ):
        self.vocabulary = vocabulary
        self.publish = publish
        self.version: int | None = None  # version of the last accepted response
        self.fetch_full = True  # request the full list next, because the changes alone may be incomplete
        self.client = self.new_client(address)
        self.failures = 0
        self.responses = 0
        # Monotonic time of the first of consecutive outdated responses; None if the last one was up to date.
        self.regressed_since_s: float | None = None

    @staticmethod
    def new_client(address: SocketAddress) -> Client:
        """Create a client for discovery at an address. It connects on its first request."""
        return Client(*address, timeout_s=LIST_TIMEOUT_S, connect_timeout_s=CONNECT_TIMEOUT_S)

    def set_address(self, address: SocketAddress) -> None:
        """Use discovery at this address from now on; abort the current request. Any thread may call this."""
        previous, self.client = self.client, self.new_client(address)
        previous.abort()

    def run(self) -> None:
        """Poll forever; retry a failed poll after a backoff."""
        attempts = 0
        previous: Client | None = None
        while True:
            client = self.client
            if client is not previous:
                # Versions of different addresses may not be comparable.
                attempts, self.fetch_full, previous = 0, True, client
            try:
                is_early = not self.poll(client)
                if attempts:
                    log.info("discovery reachable again", attempts=attempts)
                attempts = 0
                if is_early:
                    time.sleep(EARLY_RESPONSE_PAUSE_S)
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

    def poll(self, client: Client) -> bool:
        """Make one request, and publish its response if it has new information.

        Returns False if discovery neither had a new version nor held the poll. Raises ``ClientError`` if
        there is no response, ``ValueError`` if the response is unusable.
        """
        begin_s = time.monotonic()
        fetched_full = self.fetch_full
        if fetched_full:
            status, _, body = client.request("GET", PATH)
        else:
            path = f"{PATH}?from={self.version}&hold_ms={HOLD_MS}"
            status, _, body = client.request("GET", path, timeout_s=HOLD_MS / 1000 + POLL_TIMEOUT_MARGIN_S)
        if status != 200:
            raise ValueError(f"HTTP status {status} instead of 200")
        response = parse_discovery_response(load_json(body), self.vocabulary)
        self.check_version(response)
        for error in response.errors:
            log.error("endpoint list entry skipped", reason=error)
        self.responses += 1
        is_new = response.version != self.version
        if response.full or response.endpoints or is_new:
            self.publish(response)
        self.version = response.version
        # Discovery does not repeat a change with an invalid entry, but the full list includes it.
        self.fetch_full = bool(response.errors) and not response.full
        was_held = time.monotonic() - begin_s >= HOLD_MS / 2000
        return fetched_full or is_new or was_held

    def check_version(self, response: DiscoveryResponse) -> None:
        """Raise ``ValueError`` if the response is older than the last accepted one.

        Applying an outdated list would undo withdrawals. If discovery returns only older full lists for
        ``REGRESSION_TIMEOUT_S``, its version counter has been reset and the response is accepted.
        """
        if self.version is not None and response.version < self.version:
            now_s = time.monotonic()
            self.fetch_full = True
            self.regressed_since_s = self.regressed_since_s or now_s
            if not response.full or now_s - self.regressed_since_s < REGRESSION_TIMEOUT_S:
                raise ValueError(f"version {response.version} is older than version {self.version}")
        self.regressed_since_s = None
