"""Parsing of discovery's responses: the full endpoint list or its changes. Free of I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from rainpick import model
from rainpick.node.configuration import Vocabulary
from rainpick.node.message_fields import (
    MalformedMessageError,
    index_field,
    integer_field,
    name_field,
    number_field,
)

VERSION_LIMIT = 1 << 63
WEIGHT_LIMIT = 1e6
START_LIMIT_MS = 1e14
CELL_LIMIT = 1 << 31
STATES = {
    "Ready": model.EndpointState.READY,
    "Terminating": model.EndpointState.DRAINING,
    "Gone": model.EndpointState.GONE,
}


class DiscoveryResponse(NamedTuple):
    """The complete endpoint list (``full``) or the changed entries, with the version of the list."""

    version: int
    full: bool
    endpoints: tuple[model.Endpoint, ...]
    errors: tuple[str, ...]  # one error message for each skipped entry
    unreadable: frozenset[str]  # addresses of the skipped entries, where the address itself is valid


def parse_discovery_response(tree: object, vocabulary: Vocabulary) -> DiscoveryResponse:
    """Parse a response; skip its invalid entries. Raise ``ValueError`` if the response itself is invalid."""
    if not isinstance(tree, dict):
        raise ValueError("not a list of servers")
    entries, full = tree.get("instances"), tree.get("reset")
    if not isinstance(entries, list) or not isinstance(full, bool):
        raise ValueError("not a list of servers")
    try:
        version = integer_field(tree, "generation", 0, VERSION_LIMIT)
    except MalformedMessageError as error:
        raise ValueError(str(error)) from None
    endpoints, errors, unreadable = [], [], set()
    for entry in entries:
        try:
            endpoints.append(parse_endpoint(entry, vocabulary))
        except MalformedMessageError as error:
            errors.append(str(error))
            if isinstance(entry, dict) and isinstance(entry.get("instanceId"), str):
                unreadable.add(entry["instanceId"])
    return DiscoveryResponse(version, full, tuple(endpoints), tuple(errors), frozenset(unreadable))


def parse_endpoint(entry: Any, vocabulary: Vocabulary) -> model.Endpoint:
    """Parse one entry of the list; raise ``MalformedMessageError`` if it is invalid.

    ``started_us`` of the result is in Unix time, not on the director's clock.
    """
    if not isinstance(entry, dict):
        raise MalformedMessageError("an entry that is no object")
    return model.Endpoint(
        float(number_field(entry, "weight", 0, WEIGHT_LIMIT)),
        index_field(entry, "zone", vocabulary.zones),
        round(number_field(entry, "startedAtMs", 0, START_LIMIT_MS) * 1000),
        index_field(entry, "machineType", vocabulary.machine_types),
        integer_field(entry, "cell", 0, CELL_LIMIT),
        name_field(entry, "instanceId"),
        index_field(entry, "lifecycle", STATES),
    )
