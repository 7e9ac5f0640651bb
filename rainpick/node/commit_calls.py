"""Commit calls, which carry commands to the relay: building, splitting, merging, encoding. Free of I/O."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from typing import Any, NamedTuple

from rainpick import model
from rainpick.decisions.split_calls import Recipients
from rainpick.node.command_rendering import TableCommand, render_command

PART_SIZE_LIMIT = 58_000  # bytes of a call's encoded commands; the relay accepts 60,000 for the whole call


class CommitCall(NamedTuple):
    """The commands of one step of the decisions, in order, and the step's request for acknowledgement.

    The request is the first command on the wire. The relay does not execute the commands after a rejected
    one. If the request were the last command, it could be lost in this way, and proxies that received the
    commands before the rejected one would never acknowledge them.
    """

    acknowledgement: model.RequestAcknowledgement | None
    commands: tuple[TableCommand, ...]

    @property
    def nonce(self) -> int | None:
        """The nonce of the request for acknowledgement; None if there is no request."""
        return None if self.acknowledgement is None else self.acknowledgement.nonce

    @property
    def size(self) -> int:
        """The number of commands on the wire, including the request for acknowledgement."""
        return len(self.commands) + (self.acknowledgement is not None)

    def with_nonce(self, nonce: int) -> CommitCall:
        """Return the call with another nonce; unchanged if it has no request for acknowledgement."""
        if self.acknowledgement is None:
            return self
        return CommitCall(self.acknowledgement._replace(nonce=nonce), self.commands)

    def wire_command(self, position: int) -> TableCommand | model.RequestAcknowledgement:
        """Return the command at a position of the encoded call; the request for acknowledgement is first."""
        if self.acknowledgement is None:
            return self.commands[position]
        return self.commands[position - 1] if position else self.acknowledgement

    def first_part(self, routes: Sequence[str], command_limit: int | None = None) -> CommitCall:
        """Return the longest leading part of the call within the size limit, usually the whole call.

        Each part includes the call's request for acknowledgement. ``command_limit``: the maximum number of
        other commands in the part.
        """
        size = 0
        for position, command in enumerate(self.commands):
            size += len(render_command(command, routes)) + 1
            if position and (size > PART_SIZE_LIMIT or position == command_limit):
                return CommitCall(self.acknowledgement, self.commands[:position])
        return self

    def remaining(self, accepted: int, part: CommitCall) -> CommitCall | None:
        """Return the rest of the call after the relay accepted the first ``accepted`` commands of ``part``.

        If a command follows these in ``part``, the relay rejected it. It is skipped, because its proxy may
        have left meanwhile. None if nothing remains to be sent.
        """
        if self.acknowledgement is not None and not accepted:
            # The relay rejected the request for acknowledgement.
            return CommitCall(None, self.commands) if self.commands else None
        rejected = accepted < part.size
        sent = accepted - (self.acknowledgement is not None) + rejected
        commands = self.commands[sent:]
        return CommitCall(self.acknowledgement, commands) if commands else None

    def encode(self, number: int, routes: Sequence[str]) -> bytes:
        """Encode the call as a JSON-RPC line with ``number`` as its id."""
        commands = self.commands if self.acknowledgement is None else (self.acknowledgement, *self.commands)
        body = b",".join(render_command(command, routes) for command in commands)
        return b'{"jsonrpc":"2.0","id":%d,"method":"commit","params":{"orders":[%s]}}\n' % (number, body)


class MergedNonces(NamedTuple):
    """An acknowledgement of ``nonce`` also acknowledges the ``earlier`` nonces.

    The calls with the earlier nonces were merged into the call with ``nonce`` before they were sent.
    """

    nonce: int
    earlier: tuple[int, ...]


class UnconfirmedCall(NamedTuple):
    """The call with this nonce got no valid response and may have been executed.

    The call is due to be sent again, and waits for a ``Retransmission``.
    """

    nonce: int


class SplitCall(NamedTuple):
    """The ``first`` commands of the call with this nonce were executed; the ``later`` ones are sent again."""

    nonce: int
    first: Recipients
    later: Recipients


class RejectedBind(NamedTuple):
    """The relay rejected the bind of a proxy in the call with this nonce, as the proxy has left."""

    nonce: int
    proxy: int


class Retransmission(NamedTuple):
    """The unconfirmed call with ``previous_nonce`` may be sent again, with ``nonce``."""

    previous_nonce: int
    nonce: int


def commit_call(commands: Iterable[Any]) -> CommitCall | None:
    """Build the call for one step's commands; None if there are no commands."""
    acknowledgement = None
    others = []
    for command in commands:
        if not isinstance(command, model.RequestAcknowledgement):
            others.append(command)
        elif acknowledgement is None:
            acknowledgement = command
    return CommitCall(acknowledgement, tuple(others)) if others or acknowledgement is not None else None


def merge_calls(calls: Sequence[CommitCall]) -> tuple[list[CommitCall], MergedNonces | None]:
    """Merge unsent calls into one call, or into two, the first of which has only withdrawals.

    Sent separately, each call would cost a message to every proxy that it concerns. The withdrawals of the
    last call would then wait in the paced channel behind weights that later commands have already superseded.
    """
    commands = without_superseded([command for call in calls for command in call.commands])
    withdrawals = tuple(command for command in commands if is_withdrawal(command))
    others = tuple(command for command in commands if not is_withdrawal(command))
    requests = [call.acknowledgement for call in calls if call.acknowledgement is not None]
    merged: MergedNonces | None = None
    request: model.RequestAcknowledgement | None = None
    if requests:
        nonce = requests[-1].nonce
        merged = MergedNonces(nonce, tuple(earlier.nonce for earlier in requests[:-1]))
        request = model.RequestAcknowledgement(nonce, any(earlier.all_proxies for earlier in requests))
    if withdrawals and others and len(requests) != 1:
        # The first call needs a nonce of its own: when a proxy acknowledges the withdrawals, the other
        # commands are still queued in the channel. With a single nonce the commands stay in one call.
        return [
            CommitCall(requests[0] if requests else None, withdrawals),
            CommitCall(request, others),
        ], merged
    return [CommitCall(request, withdrawals + others)], merged


def is_withdrawal(command: TableCommand) -> bool:
    """Return whether the command withdraws a server. Readmitting a server does not count."""
    return isinstance(command, model.SetWithdrawn) and command.withdrawn


def without_superseded(commands: list[TableCommand]) -> list[TableCommand]:
    """Drop each command that a later one supersedes; drop nothing if any command clears a table."""
    keys = [setting_key(command) for command in commands]
    if None in keys:
        return commands
    newest = {key: position for position, key in enumerate(keys)}
    return [command for position, command in enumerate(commands) if newest[keys[position]] == position]


def setting_key(command: TableCommand) -> Hashable | None:
    """Return the key of the value that the command sets; None if no later command can supersede it.

    A command supersedes every earlier command with the same key.
    """
    match command:
        case model.SetWeight(table, server, _):
            return "weight", table, server
        case model.SetWithdrawn(server, _):
            return "withdrawn", server
        case model.BindProxy(_, route_set, proxy):
            return "binding", route_set, proxy
        case model.SetAdmission(table, route_set, _, _):
            return "admission", table, route_set
    return None
