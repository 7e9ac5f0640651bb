"""The endpoint list: its entries, the states of an entry, and updates of the list."""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

Address = Hashable


class EndpointState(IntEnum):
    """What the endpoint list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list holds."""

    DELTA = 0  # only the entries that changed
    FULL = 1
    CACHED = 2  # the whole list as it was last known before the start
    FAILED = 3  # nothing: the list could not be had


class Endpoint(NamedTuple):
    """An entry of the endpoint list: one server.

    ``started_us`` is 0 for a server that started long ago. ``machine_type`` is an index into the settings,
    ``pod`` a number of the group of servers that share their fate.
    """

    weight: float
    zone: int
    started_us: int
    machine_type: int
    pod: int
    address: Address
    state: EndpointState | int


class EndpointUpdate(NamedTuple):
    """An event: the endpoint list or a part of it, at a version that the discovery service counts."""

    kind: UpdateKind | int
    endpoints: tuple[Endpoint, ...]
    version: int
