"""Events and commands of a director, and the values in them, as typed values.

Events are passed to ``Director.step``, which returns commands. This package makes no decisions. Times are
whole microseconds. A server is identified by its address, an opaque hashable value: commands contain the
addresses as they are in events.

The names under which records store these types and their fields are in ``rainpick.record.schema``.
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
