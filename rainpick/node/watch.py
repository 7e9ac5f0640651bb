"""Follows discovery: the whole list once, then a watch that is armed again as soon as it has answered."""

from __future__ import annotations

import time
from collections.abc import Callable

from rainpick.http1.client import Client, ClientError
from rainpick.node.configuration import Vocabulary
from rainpick.node.endpoint_discovery import DiscoveryAnswer, parse_discovery_answer
from rainpick.node.log import log
from rainpick.node.message_fields import load_json

PATH = "/catalog/members"
# A watch that fell silent shows when its hold has passed; what it missed counts as told 2 s after that.
HOLD_MS = 1_000
SLACK_S = 0.4  # over the hold
LIST_S = 1.0
DIAL_S = 0.2  # the address is one of the director's own machine
OLDER_S = 2.0  # whole lists of an older version come for so long before discovery is believed to count anew
PAUSES_S = (0.0, 0.05, 0.1, 0.2)  # before the next try; the last for all further ones


class Watch:
    """``give`` is handed each answer, in order, in this one thread."""

    def __init__(self, place: tuple[str, int], names: Vocabulary, give: Callable[[DiscoveryAnswer], None]):
        self.names, self.give, self.version = names, give, None
        self.whole = True  # ask for the whole list next: the changes alone may not tell all
        self.client = self.dialling(place)
        self.failed = self.answers = 0
        self.older_s: float | None = None  # since when the lists that come are of an older version

    @staticmethod
    def dialling(place: tuple[str, int]) -> Client:
        return Client(*place, timeout_s=LIST_S, dial_s=DIAL_S)

    def move(self, place: tuple[str, int]) -> None:
        """For another thread: discovery is somewhere else from now on."""
        old, self.client = self.client, self.dialling(place)
        old.abort()

    def run(self) -> None:
        tries, former = 0, None
        while True:
            client = self.client
            if client is not former:
                tries, self.whole, former = 0, True, client  # versions may not be the same there
            try:
                self.turn(client)
                if tries:
                    log.info("discovery reached again", tries=tries)
                tries = 0
            except (ClientError, ValueError) as error:
                client.close()
                self.failed += 1
                if client is self.client:
                    if not tries:
                        log.warning("discovery failed", why=str(error))
                    time.sleep(PAUSES_S[min(tries, len(PAUSES_S) - 1)])
                    tries += 1
            if client is not self.client:
                client.close()

    def turn(self, client: Client) -> None:
        """One call and its answer."""
        if self.whole:
            status, _, body = client.call("GET", PATH)
        else:
            path = f"{PATH}?from={self.version}&hold_ms={HOLD_MS}"
            status, _, body = client.call("GET", path, timeout_s=HOLD_MS / 1000 + SLACK_S)
        if status != 200:
            raise ValueError(f"status {status}")
        news = parse_discovery_answer(load_json(body), self.names)
        if self.version is not None and news.version < self.version:
            # An old list that comes late would undo withdrawals; if no other comes, discovery has begun anew.
            self.whole, now = True, time.monotonic()
            self.older_s = self.older_s or now
            if not news.full or now - self.older_s < OLDER_S:
                raise ValueError(f"version {news.version} after {self.version}")
        self.older_s = None
        for error in news.errors:
            log.error("entry of the list left out", why=error)
        self.answers += 1
        if news.full or news.endpoints or news.version != self.version:
            self.give(news)
        self.version = news.version
        # A change that could not be read is not told again: the whole list has it.
        self.whole = bool(news.errors) and not news.full
