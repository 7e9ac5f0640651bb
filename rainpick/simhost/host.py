"""Runs one director for each simulated instance."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, BinaryIO, Protocol, TypeAlias

from rainpick.decisions.director import Director
from rainpick.model import Started
from rainpick.simhost.commands import ENCODERS, encode_failure
from rainpick.simhost.events import EndpointLists, Event, InstanceEvent, decode_events
from rainpick.simhost.framing import MalformedError, encode_reply, read_batch

# Events of a batch by instance number, in the order in which the instances first occur in the batch.
EventsByInstance: TypeAlias = dict[int, list[Event]]


class DecisionModule(Protocol):
    """The interface of a director that the host uses."""

    def step(self, now: int, events: list[Event]) -> Iterable[Any]:
        """Process the events of a batch and return the commands."""


class InstanceHost:
    """The running instances and the director of each."""

    def __init__(self) -> None:
        self.directors: dict[int, DecisionModule] = {}

    def group_events(self, events: Iterable[InstanceEvent]) -> EventsByInstance:
        """Group a batch's events by instance and remove the directors of killed instances."""
        events_by_instance: EventsByInstance = {}
        for instance, event in events:
            if event is None:  # killed instance: its state and its events so far in the batch are discarded
                self.directors.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif type(event) is Started:
                events_by_instance[instance] = [event]
            elif instance in events_by_instance:
                events_by_instance[instance].append(event)
            elif instance in self.directors:
                events_by_instance[instance] = [event]
            else:
                raise MalformedError(f"an event came for instance {instance}, which was never born")
        return events_by_instance

    def step(self, events_by_instance: EventsByInstance, now: int) -> list[bytes]:
        """Run one step of each instance that has events; return the encoded commands.

        An exception in the step of an instance is encoded as a failure record of that instance.
        """
        records: list[bytes] = []
        for instance, events in events_by_instance.items():
            try:
                if type(events[0]) is Started:
                    self.directors[instance] = Director()
                commands = self.directors[instance].step(now, events)
                records += [ENCODERS[type(command)](instance, command) for command in commands]
            except Exception as error:  # noqa: BLE001 - sent in the reply; other instances continue
                records.append(encode_failure(instance, f"{type(error).__name__}: {error}"))
        return records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise ``MalformedError`` if it violates the protocol."""
    host = InstanceHost()
    endpoint_lists: EndpointLists = {}
    while (batch := read_batch(source)) is not None:
        events_by_instance = host.group_events(decode_events(batch, endpoint_lists))
        sink.write(encode_reply(host.step(events_by_instance, batch.now)))
        sink.flush()
