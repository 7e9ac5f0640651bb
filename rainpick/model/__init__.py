"""What a director hears and what it orders: events, commands and the values in them, as typed values.

Events go into ``Director.step``, commands come out of it. Nothing here decides. Times are whole microseconds.
A server is named by its address, an opaque hashable value that is handed back as it came.

The names and fields under which records store these types are in ``rainpick.record.schema``.
"""

from rainpick.model.commands import (
    ALL_ROUTES,
    ALL_TABLES,
    BindProxy,
    ClearTable,
    FetchEndpoints,
    LogMessage,
    ProbeServer,
    RequestAcknowledgement,
    RetryPolicy,
    SendPeerMessage,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    Subscribe,
)
from rainpick.model.endpoints import Address, Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rainpick.model.events import (
    Acknowledged,
    KeyRangeAssigned,
    KeyRangeLoadReport,
    KeyRangeWeight,
    PeerMessageReceived,
    ProbeCompleted,
    ProbeOutcome,
    ProxyJoined,
    ProxyLeft,
    Retransmitted,
    RouteLoadReport,
    ServerLoadReport,
    Started,
    TimerFired,
)

__all__ = [
    "ALL_ROUTES",
    "ALL_TABLES",
    "Acknowledged",
    "Address",
    "BindProxy",
    "ClearTable",
    "Endpoint",
    "EndpointState",
    "EndpointUpdate",
    "FetchEndpoints",
    "KeyRangeAssigned",
    "KeyRangeLoadReport",
    "KeyRangeWeight",
    "LogMessage",
    "PeerMessageReceived",
    "ProbeCompleted",
    "ProbeOutcome",
    "ProbeServer",
    "ProxyJoined",
    "ProxyLeft",
    "RequestAcknowledgement",
    "Retransmitted",
    "RetryPolicy",
    "RouteLoadReport",
    "SendPeerMessage",
    "ServerLoadReport",
    "SetAdmission",
    "SetTimer",
    "SetWeight",
    "SetWithdrawn",
    "Started",
    "Subscribe",
    "TimerFired",
    "UpdateKind",
]
