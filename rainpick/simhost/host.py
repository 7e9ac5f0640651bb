"""Runs one director for each simulated instance."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, BinaryIO, Protocol, TypeAlias

from rainpick.decisions.director import Director
from rainpick.model import Started
from rainpick.simhost.commands import ENCODERS, encode_failure
from rainpick.simhost.events import EndpointLists, Event, InstanceEvent, decode_events
from rainpick.simhost.framing import MalformedError, encode_reply, read_batch

Inbox: TypeAlias = dict[int, list[Event]]  # by instance, in the order in which it was first heard of


class DecisionModule(Protocol):
    """What the host needs of a director."""

    def step(self, now: int, events: list[Event]) -> Iterable[Any]:
        """Handle the events of a batch, and give the commands."""


class InstanceHost:
    """The running instances, each with a director of its own."""

    def __init__(self) -> None:
        self.directors: dict[int, DecisionModule] = {}

    def sort(self, events: Iterable[InstanceEvent]) -> Inbox:
        """Sort a batch's events by instance, and drop the directors of killed ones."""
        inbox: Inbox = {}
        for instance, event in events:
            if event is None:  # killed: its state and its events of this batch are void
                self.directors.pop(instance, None)
                inbox.pop(instance, None)
            elif type(event) is Started:
                inbox[instance] = [event]
            elif instance in inbox:
                inbox[instance].append(event)
            elif instance in self.directors:
                inbox[instance] = [event]
            else:
                raise MalformedError(f"an event came for instance {instance}, which was never born")
        return inbox

    def step(self, inbox: Inbox, now: int) -> list[bytes]:
        """Step each instance that has events; give the records of their commands."""
        records: list[bytes] = []
        for instance, events in inbox.items():
            try:
                if type(events[0]) is Started:
                    self.directors[instance] = Director()
                commands = self.directors[instance].step(now, events)
                records += [ENCODERS[type(command)](instance, command) for command in commands]
            except Exception as error:  # noqa: BLE001 - the reply reports it; the other instances go on
                records.append(encode_failure(instance, f"{type(error).__name__}: {error}"))
        return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise ``MalformedError`` if it is not what it may be."""
    host = InstanceHost()
    endpoint_lists: EndpointLists = {}
    while (batch := read_batch(source)) is not None:
        inbox = host.sort(decode_events(batch, endpoint_lists))
        sink.write(encode_reply(host.step(inbox, batch.now)))
        sink.flush()
