"""Counts the messages of calls that the relay executes in several parts, or of which it rejects a command.

A call is sent in parts if it is too long, and continued behind a command that the relay rejected. A proxy
that several parts reach is sent a message for each of them, all with the nonce of the call.

The events of this module are not in ``rainpick.model``, whose types are all declared in records. Only the
live director uses them, and it keeps no record.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from rainpick.decisions.fleet import Fleet
from rainpick.decisions.publisher import Publisher
from rainpick.model import ALL_TABLES, BindProxy, ClearTable, SetAdmission, SetWeight, SetWithdrawn

TableCommand = SetWeight | ClearTable | BindProxy | SetWithdrawn | SetAdmission


class Recipients(NamedTuple):
    """The proxies that commands reach: those that they bind, and those of the tables that they change."""

    bound: frozenset[int]
    tables: frozenset[int]
    any_proxy: bool  # whether a command reaches proxies regardless of their table, as a withdrawal does

    def may_overlap(self, later: Recipients) -> bool:
        """Return whether a proxy may be reached by these commands and by ``later`` ones of the same call."""
        return bool(self.bound & later.bound) or (
            (self.any_proxy or bool(self.tables))
            and later != NO_RECIPIENTS
            or (later.any_proxy or bool(later.tables))
            and self != NO_RECIPIENTS
        )


NO_RECIPIENTS = Recipients(frozenset(), frozenset(), False)


def recipients(commands: Iterable[TableCommand]) -> Recipients:
    """Return the recipients of commands.

    >>> recipients([BindProxy(2, 0, 7), SetWeight(3, "a", 1.0), SetWithdrawn("a", True)])
    Recipients(bound=frozenset({7}), tables=frozenset({3}), any_proxy=True)
    """
    bound, tables, any_proxy = set(), set(), False
    for command in commands:
        if isinstance(command, BindProxy):
            bound.add(command.proxy)
        elif isinstance(command, SetWithdrawn) or command.table == ALL_TABLES:
            any_proxy = True
        else:
            tables.add(command.table)
    return Recipients(frozenset(bound), frozenset(tables), any_proxy)


class CallSplit(NamedTuple):
    """Event: the relay has executed the ``first`` commands of a call; the ``later`` ones follow in another.

    ``replies`` are the nonces of all replies with commands in the call.
    """

    nonce: int
    replies: tuple[int, ...]
    first: Recipients
    later: Recipients


class BindRejected(NamedTuple):
    """Event: the relay rejected the bind of a proxy, which has left: it got no message of these replies."""

    replies: tuple[int, ...]
    proxy: int


class SplitCalls:
    """Corrects the counts of lines and messages for calls that were not executed as one."""

    def __init__(self, fleet: Fleet, publisher: Publisher):
        self.fleet = fleet
        self.publisher = publisher

    def split(self, event: CallSplit) -> None:
        """Count a second message to each proxy that both parts of a call may reach.

        A second acknowledgement is expected only of proxies that are bound twice. The others may have joined
        their tables after the call, and one that never comes would leave the whole message counted.
        """
        costs = self.publisher.retransmission_costs(event.replies).keys()
        uncertain = self.publisher.uncertain_retransmission_costs(event.replies).keys() - costs
        certain = event.first.bound & event.later.bound
        possible = costs | uncertain
        if not event.first.any_proxy and not event.later.any_proxy:
            possible = self.reached(event.first, event.later.bound) & self.reached(event.later, frozenset())
            possible |= self.former_holders(event.first, event.later.bound)
        self.publisher.count_second_messages(event.nonce, certain & costs, acknowledgements=1)
        self.publisher.count_second_messages(event.nonce, possible & costs - certain, acknowledgements=0)
        self.publisher.count_uncertain_messages(event.nonce, possible & uncertain)

    def reached(self, part: Recipients, bound_later: frozenset[int]) -> set[int]:
        """Return the proxies that a part reaches.

        Proxies that the call binds later are in their tables already, but had no table when the relay
        executed the part.
        """
        reached = set(part.bound)
        for table in self.fleet.tables:
            if table.number in part.tables:
                reached |= table.proxies.keys() - bound_later
        return reached

    def former_holders(self, part: Recipients, bound_later: frozenset[int]) -> set[int]:
        """Return the proxies bound later that may still have been bound to a table that the part changes."""
        proxies = (self.fleet.proxies.get(number) for number in bound_later)
        return {proxy.number for proxy in proxies if proxy and proxy.former_table in part.tables}

    def bind_rejected(self, event: BindRejected) -> None:
        """Stop counting the messages of a call to a proxy that has left."""
        for nonce in event.replies:
            self.publisher.discard_message(event.proxy, nonce)
