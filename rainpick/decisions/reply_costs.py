"""The cost of recent replies, which sending one of them again takes once more."""

from __future__ import annotations

from collections.abc import Container, Iterable

from rainpick.decisions.send_queue import REPLIES_MAX


class ReplyCosts:
    """The number of lines that each reply sent to each proxy, for all replies that may be unconfirmed.

    Calls are sent in order. If a reply is unconfirmed, no newer one has been acknowledged, so all of them
    together have at most as many lines as may wait in the channel.
    """

    def __init__(self, lines_max: float):
        self.lines_max = lines_max
        self.lines = 0  # number of lines of all replies below
        self.by_nonce: dict[int, dict[int, int]] = {}  # lines by proxy number, the newest reply last

    def add(self, nonce: int, messages: Iterable[tuple[int, int]]) -> None:
        """Add a reply with its messages, each a proxy number and lines; forget replies that are confirmed.

        >>> costs = ReplyCosts(lines_max=10)
        >>> for nonce in range(4):
        ...     costs.add(nonce, [(1, 2), (2, 3)])
        >>> list(costs.by_nonce)
        [2, 3]
        """
        costs: dict[int, int] = {}
        for number, lines in messages:
            costs[number] = costs.get(number, 0) + lines
        self.discard(nonce)
        self.by_nonce[nonce] = costs
        self.lines += sum(costs.values())
        while self.is_oldest_confirmed():
            self.discard(next(iter(self.by_nonce)))

    def is_oldest_confirmed(self) -> bool:
        """Return whether the newer replies alone have as many lines as may wait in the channel."""
        oldest = next(iter(self.by_nonce.values()))
        return self.lines - sum(oldest.values()) >= self.lines_max or len(self.by_nonce) > REPLIES_MAX

    def discard(self, nonce: int) -> None:
        """Forget a reply, if it is known."""
        self.lines -= sum(self.by_nonce.pop(nonce, {}).values())

    def total(self, nonces: Iterable[int], proxies: Container[int]) -> dict[int, int]:
        """Return the number of lines of these replies, by proxy, for those of ``proxies``."""
        costs: dict[int, int] = {}
        for nonce in nonces:
            for number, lines in self.by_nonce.get(nonce, {}).items():
                if number in proxies:
                    costs[number] = costs.get(number, 0) + lines
        return costs
