"""Reports to the decisions how calls were executed: in parts, without a bind, or not at all for now."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from rainpick import model
from rainpick.decisions.channel_progress import TransmissionResumed, TransmissionSuspended
from rainpick.decisions.split_calls import recipients
from rainpick.node.command_rendering import TableCommand
from rainpick.node.commit_calls import CommitCall, MergedNonces, RejectedBind, SplitCall, UnconfirmedCall

ClientNotification: TypeAlias = (
    MergedNonces | RejectedBind | SplitCall | TransmissionResumed | TransmissionSuspended | UnconfirmedCall
)


class ExecutionReports:
    """Passes reports to ``notify``; whether calls reach the channel is reported when it changes."""

    def __init__(self, notify: Callable[[ClientNotification], None]):
        self.notify = notify
        self.suspended = False  # whether the last attempt to send a call failed

    def suspend(self) -> None:
        """Report that calls do not reach the channel."""
        if not self.suspended:
            self.suspended = True
            self.notify(TransmissionSuspended())

    def resume(self) -> None:
        """Report that calls reach the channel again."""
        if self.suspended:
            self.suspended = False
            self.notify(TransmissionResumed())

    def report_split(self, part: CommitCall, accepted: int, remaining: CommitCall) -> None:
        """Report the recipients of both parts: proxies that are among both are sent another message."""
        if part.nonce is None:
            return
        first = recipients(part.commands[: max(0, accepted - 1)])
        later = recipients(remaining.commands)
        if first.may_overlap(later):
            self.notify(SplitCall(part.nonce, first, later))

    def report_rejected(self, part: CommitCall, command: TableCommand | model.RequestAcknowledgement) -> None:
        """Report a rejected command if it is the bind of a proxy, which has left."""
        if isinstance(command, model.BindProxy) and part.nonce is not None:
            self.notify(RejectedBind(part.nonce, command.proxy))
