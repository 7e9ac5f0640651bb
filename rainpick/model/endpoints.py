"""The endpoint list: its entries, the states of an entry, and list updates."""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

Address = Hashable


class EndpointState(IntEnum):
    """The state of a server in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """The content of an endpoint list update."""

    DELTA = 0  # only the entries that changed
    FULL = 1
    CACHED = 2  # the last complete list from before the director started
    FAILED = 3  # no entries: the list could not be fetched


class Endpoint(NamedTuple):
    """An entry of the endpoint list: one server.

    ``started_us`` is 0 for a server that started long ago. ``machine_type`` is the index of the machine type
    in the settings. ``pod`` is the number of the failure domain that the server belongs to.
    """

    weight: float
    zone: int
    started_us: int
    machine_type: int
    pod: int
    address: Address
    state: EndpointState | int


class EndpointUpdate(NamedTuple):
    """An event: the endpoint list or a part of it, with the version assigned by the discovery service."""

    kind: UpdateKind | int
    endpoints: tuple[Endpoint, ...]
    version: int
