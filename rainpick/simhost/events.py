"""Decodes the event records of a batch into the model's events.

A record consists of its code, the number of the receiving instance, and the code's fields. The record of an
endpoint list has a list number in place of the instance number; the update records of all instances refer to
the list by this number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from struct import Struct
from typing import Any, TypeAlias

from rainpick import model
from rainpick.operator_settings import translate_lines
from rainpick.simhost.framing import Batch, MalformedError

Event: TypeAlias = (
    model.Started
    | model.TimerFired
    | model.ProbeCompleted
    | model.PeerMessageReceived
    | model.ProxyJoined
    | model.ProxyLeft
    | model.Acknowledged
    | model.ServerLoadReport
    | model.RouteLoadReport
    | model.KeyRangeLoadReport
    | model.KeyRangeAssigned
    | model.KeyRangeWeight
    | model.EndpointUpdate
)
# Instance number and event; the event is None if the instance was killed.
InstanceEvent: TypeAlias = tuple[int, Event | None]
EndpointLists: TypeAlias = dict[int, tuple[model.Endpoint, ...]]
RecordDecoder: TypeAlias = Callable[[Batch], InstanceEvent]

RECORD_CODE = Struct(">H")
ENDPOINT_LIST_CODE = 1140
ENDPOINT_UPDATE_CODE = 1010

# Each layout begins with the instance number, except ``ENDPOINT_LIST``: all instances share the lists.
STARTED = Struct(">IQI")  # seed, length of the settings
PEER_MESSAGE = Struct(">IHH")  # peer, length of the data
PROBE_COMPLETED = Struct(">II6sB")  # duration, server, outcome; the load values follow
SERVER_LOAD = Struct(">IB6sIIII")  # zone, server, failures, latency, interval, attempts; load values follow
ENDPOINT_UPDATE = Struct(">IBIQ")  # kind, list number, version
ENDPOINT_LIST = Struct(">II")  # list number, number of entries
ENDPOINT = Struct(">fBQHH6sB")  # the fields of ``model.Endpoint``, in the order of that class

ENDPOINT_STATES = (model.EndpointState.GONE, model.EndpointState.READY, model.EndpointState.DRAINING)


def fixed_layout(fields: str, build: Callable[..., InstanceEvent]) -> RecordDecoder:
    """Return a decoder for a fixed layout; ``build`` receives the instance number and the fields."""
    layout = Struct(">I" + fields)
    return lambda batch: build(*batch.unpack(layout))


def decode_started(batch: Batch) -> InstanceEvent:
    """Decode the start of an instance; its settings are ``path=value`` lines in UTF-8."""
    instance, seed, length = batch.unpack(STARTED)
    try:
        text = batch.read_bytes(length).decode()
    except UnicodeDecodeError as error:
        raise MalformedError(f"the settings are not UTF-8: {error}") from None
    return instance, model.Started(seed, translate_lines(text))


def decode_peer_message(batch: Batch) -> InstanceEvent:
    """Decode a message from another director."""
    instance, peer, length = batch.unpack(PEER_MESSAGE)
    return instance, model.PeerMessageReceived(peer, batch.read_bytes(length))


def decode_probe(batch: Batch) -> InstanceEvent:
    """Decode the result of a health check."""
    instance, duration_us, server, outcome = batch.unpack(PROBE_COMPLETED)
    return instance, model.ProbeCompleted(server, outcome, duration_us, batch.read_floats())


def decode_server_load(batch: Batch) -> InstanceEvent:
    """Decode a load report about a server."""
    instance, zone, server, failures, mean_latency_us, interval_us, attempts = batch.unpack(SERVER_LOAD)
    return instance, model.ServerLoadReport(
        server, zone, attempts, failures, mean_latency_us, interval_us, batch.read_floats()
    )


def build_proxy_joined(instance: int, new: int, rate: float, proxy: int, zone: int) -> InstanceEvent:
    """Build the event of a joining proxy; the record has its fields in another order than the event."""
    return instance, model.ProxyJoined(proxy, new != 0, rate, zone)


DECODERS: dict[int, RecordDecoder] = {
    1000: decode_started,
    1020: fixed_layout("Q", lambda instance, token: (instance, model.TimerFired(token))),
    1030: decode_probe,
    1040: decode_peer_message,
    1050: fixed_layout("", lambda instance: (instance, None)),
    1060: fixed_layout("BfHB", build_proxy_joined),
    1070: fixed_layout("H", lambda instance, proxy: (instance, model.ProxyLeft(proxy))),
    1080: fixed_layout("HQI", lambda instance, *fields: (instance, model.Acknowledged(*fields))),
    1090: decode_server_load,
    1100: fixed_layout("HBIII", lambda instance, *fields: (instance, model.RouteLoadReport(*fields))),
    1110: fixed_layout("HBIII", lambda instance, *fields: (instance, model.KeyRangeLoadReport(*fields))),
    1120: fixed_layout(
        "BH",
        lambda instance, assigned, key_range: (instance, model.KeyRangeAssigned(key_range, assigned != 0)),
    ),
    1130: fixed_layout("H6sf", lambda instance, *fields: (instance, model.KeyRangeWeight(*fields))),
}


def build_endpoint(fields: tuple[Any, ...]) -> model.Endpoint:
    """Build an endpoint from its fields; raise ``MalformedError`` if its state is unknown."""
    endpoint = model.Endpoint(*fields)
    if endpoint.state not in ENDPOINT_STATES:
        raise MalformedError(f"a server cannot be in state {endpoint.state}")
    return endpoint


def decode_endpoint_list(batch: Batch, endpoint_lists: EndpointLists) -> None:
    """Store an endpoint list under its number, replacing an earlier list with the same number."""
    list_number, count = batch.unpack(ENDPOINT_LIST)
    entries = ENDPOINT.iter_unpack(batch.read_bytes(count * ENDPOINT.size))
    endpoint_lists[list_number] = tuple(map(build_endpoint, entries))


def decode_endpoint_update(batch: Batch, endpoint_lists: EndpointLists) -> InstanceEvent:
    """Decode an endpoint update, which refers to a list by its number; a failed update has no list."""
    instance, kind, list_number, version = batch.unpack(ENDPOINT_UPDATE)
    if kind == model.UpdateKind.FAILED:
        return instance, model.EndpointUpdate(kind, (), version)
    if kind > model.UpdateKind.FAILED or list_number not in endpoint_lists:
        raise MalformedError(f"a REGISTRY of kind {kind} names list {list_number}, which was never sent")
    return instance, model.EndpointUpdate(kind, endpoint_lists[list_number], version)


def decode_events(batch: Batch, endpoint_lists: EndpointLists) -> Iterator[InstanceEvent]:
    """Decode a batch's events in order; store its lists in ``endpoint_lists``, kept between batches."""
    for _ in range(batch.record_count):
        (code,) = batch.unpack(RECORD_CODE)
        if code == ENDPOINT_LIST_CODE:
            decode_endpoint_list(batch, endpoint_lists)
        elif code == ENDPOINT_UPDATE_CODE:
            yield decode_endpoint_update(batch, endpoint_lists)
        elif code in DECODERS:
            yield DECODERS[code](batch)
        else:
            raise MalformedError(f"no event has the code {code}")
    batch.require_end()
