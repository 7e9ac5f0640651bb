"""Counters of the engine, and which commands are urgent."""

from __future__ import annotations

from rainpick import model
from rainpick.director.stepper import Command


class Counts:
    """Counters of the engine; the status document shows them under the names of the attributes."""

    def __init__(self) -> None:
        self.messages = 0  # messages sent to proxies
        self.lines = 0  # lines in messages sent to proxies, head lines excluded
        self.notes = 0  # log messages of ``Director``
        self.withdrawn = 0  # withdrawals of servers
        self.readmitted = 0  # readmissions of servers
        self.bound = 0  # bindings of proxies

    def add_command(self, command: Command) -> None:
        """Count a withdrawal, a readmission or a binding."""
        if isinstance(command, model.SetWithdrawn):
            if command.withdrawn:
                self.withdrawn += 1
            else:
                self.readmitted += 1
        elif isinstance(command, model.BindProxy):
            self.bound += 1


def is_withdrawal(command: Command) -> bool:
    """Return whether a command stops proxies from using a server, so that its message is urgent."""
    if isinstance(command, model.SetWeight):
        return command.weight <= 0
    return isinstance(command, model.SetWithdrawn) and command.withdrawn
