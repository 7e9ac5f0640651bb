"""Calls that carry commands to the relay: made from a step's commands, split, merged. Free of I/O."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from typing import Any, NamedTuple

from rainpick import model
from rainpick.node.command_rendering import TableCommand, render_command

PART_SIZE_LIMIT = 58_000  # bytes of a call's commands; the relay takes 60,000 for the whole call


class CommitCall(NamedTuple):
    """The commands of one step in their order, and the step's request for acknowledgement, if it has one.

    The request goes first on the wire: the relay stops at a command that it rejects, and the proxies that the
    commands before it reached would never acknowledge.
    """

    acknowledgement: model.RequestAcknowledgement | None
    commands: tuple[TableCommand, ...]

    @property
    def nonce(self) -> int | None:
        """The nonce of the request for acknowledgement."""
        return None if self.acknowledgement is None else self.acknowledgement.nonce

    @property
    def size(self) -> int:
        """The number of commands on the wire, the request for acknowledgement included."""
        return len(self.commands) + (self.acknowledgement is not None)

    def wire_command(self, position: int) -> TableCommand | model.RequestAcknowledgement:
        """The command at a position on the wire."""
        if self.acknowledgement is None:
            return self.commands[position]
        return self.commands[position - 1] if position else self.acknowledgement

    def first_part(self, routes: Sequence[str], command_limit: int | None = None) -> CommitCall:
        """As much of the call as the relay takes at once, nearly always all of it.

        Each part has the request for acknowledgement. ``command_limit``: no more commands than that.
        """
        size = 0
        for position, command in enumerate(self.commands):
            size += len(render_command(command, routes)) + 1
            if position and (size > PART_SIZE_LIMIT or position == command_limit):
                return CommitCall(self.acknowledgement, self.commands[:position])
        return self

    def remaining(self, accepted: int, part: CommitCall) -> CommitCall | None:
        """What is still to be sent after the relay accepted so many commands of the call's first part.

        The command that it rejected, if any, is left out: its proxy may have left meanwhile. None if nothing
        is left to send.
        """
        if self.acknowledgement is not None and not accepted:
            return CommitCall(None, self.commands) if self.commands else None  # that request was rejected
        rejected = accepted < part.size
        sent = accepted - (self.acknowledgement is not None) + rejected
        commands = self.commands[sent:]
        return CommitCall(self.acknowledgement, commands) if commands else None

    def encode(self, number: int, routes: Sequence[str]) -> bytes:
        """The JSON-RPC line of the call with this number."""
        commands = self.commands if self.acknowledgement is None else (self.acknowledgement, *self.commands)
        body = b",".join(render_command(command, routes) for command in commands)
        return b'{"jsonrpc":"2.0","id":%d,"method":"commit","params":{"orders":[%s]}}\n' % (number, body)


class MergedNonces(NamedTuple):
    """The acknowledgement of ``nonce`` stands also for earlier ones, whose own calls were never sent."""

    nonce: int
    earlier: tuple[int, ...]


class UnconfirmedCall(NamedTuple):
    """The call with this nonce may have been carried out unanswered, and is sent again."""

    nonce: int


def commit_call(commands: Iterable[Any]) -> CommitCall | None:
    """The call for one step's commands; None if there are none."""
    acknowledgement = None
    others = []
    for command in commands:
        if not isinstance(command, model.RequestAcknowledgement):
            others.append(command)
        elif acknowledgement is None:
            acknowledgement = command
    return CommitCall(acknowledgement, tuple(others)) if others or acknowledgement is not None else None


def merge_calls(calls: Sequence[CommitCall]) -> tuple[list[CommitCall], MergedNonces | None]:
    """Merge calls that had to wait for the relay into one or two, of which the first one only withdraws.

    Sent one by one, each of them would be a message, with its cost, to every proxy that it concerns, and the
    withdrawals of the last one would wait in the paced channel behind weights that are void already.
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
        # The first nonce confirms the withdrawals only: the other commands still wait in the channel.
        return [
            CommitCall(requests[0] if requests else None, withdrawals),
            CommitCall(request, others),
        ], merged
    return [CommitCall(request, withdrawals + others)], merged


def is_withdrawal(command: TableCommand) -> bool:
    """Whether the command withdraws a server, rather than readmits it or does something else."""
    return isinstance(command, model.SetWithdrawn) and command.withdrawn


def without_superseded(commands: list[TableCommand]) -> list[TableCommand]:
    """The commands without those that a later one makes void; all of them if a table is cleared."""
    keys = [setting_key(command) for command in commands]
    if None in keys:
        return commands
    newest = {key: position for position, key in enumerate(keys)}
    return [command for position, command in enumerate(commands) if newest[keys[position]] == position]


def setting_key(command: TableCommand) -> Hashable | None:
    """What the command sets: a later command with the same key makes it void. None if none can."""
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
