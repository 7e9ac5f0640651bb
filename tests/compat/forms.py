"""Conversion of values to and from the neutral form of the data files under ``wire``.

The neutral form contains no names of the program: a value of one of the types below consists of a neutral
type name and the fields by position. When a type is renamed, its line in ``TYPES`` changes; when a field is
renamed, nothing changes. The data files do not change in either case.
"""

from enum import IntEnum

import msgspec

from rainpick import model
from rainpick.decisions import retransmission
from rainpick.director import reports
from rainpick.http1 import messages as http
from rainpick.mqtt import codec as mqtt
from rainpick.net import StreamEnded
from rainpick.node import (
    commit_calls,
    commit_responses,
    configuration,
    endpoint_discovery,
    frame_codec,
    proxy_membership,
    relay_notifications,
)
from rainpick.publish import payloads
from rainpick.sasp import messages as sasp

TYPES = {
    "event: begun": model.Started,
    "event: list": model.EndpointUpdate,
    "event: timer": model.TimerFired,
    "event: probe ended": model.ProbeCompleted,
    "event: peer": model.PeerMessageReceived,
    "event: proxy joined": model.ProxyJoined,
    "event: proxy left": model.ProxyLeft,
    "event: applied": model.Acknowledged,
    "event: repeated": model.Retransmitted,
    "event: repeat asked": retransmission.RetransmissionRequested,
    "event: server report": model.ServerLoadReport,
    "event: proxy report": model.RouteLoadReport,
    "event: slice report": model.KeyRangeLoadReport,
    "event: slice given": model.KeyRangeAssigned,
    "event: slice line": model.KeyRangeWeight,
    "list entry": model.Endpoint,
    "order: line": model.SetWeight,
    "order: clear": model.ClearTable,
    "order: withdraw": model.SetWithdrawn,
    "order: mark": model.RequestAcknowledgement,
    "order: repeat": retransmission.Retransmit,
    "order: bind": model.BindProxy,
    "order: admit": model.SetAdmission,
    "order: probe": model.ProbeServer,
    "order: tell": model.SendPeerMessage,
    "order: timer": model.SetTimer,
    "order: subscribe": model.Subscribe,
    "order: fetch": model.FetchEndpoints,
    "order: note": model.LogMessage,
    "platform: heartbeat": frame_codec.Heartbeat,
    "platform: collector": frame_codec.CollectorJoined,
    "platform: dropped": frame_codec.MalformedReport,
    "platform: ping": relay_notifications.Ping,
    "platform: call": commit_calls.CommitCall,
    "platform: merged": commit_calls.MergedNonces,
    "platform: doubt": commit_calls.UnconfirmedCall,
    "platform: taken": commit_responses.Accepted,
    "platform: not taken": commit_responses.Rejected,
    "platform: discovery": endpoint_discovery.DiscoveryResponse,
    "platform: names": configuration.Vocabulary,
    "platform: configuration": configuration.Configuration,
    "platform: stream begun": proxy_membership.StreamOpened,
    "platform: stream told": proxy_membership.StreamEvent,
    "stream ended": StreamEnded,
    "mqtt: will": mqtt.Will,
    "mqtt: connect": mqtt.Connect,
    "mqtt: connack": mqtt.Connack,
    "mqtt: publish": mqtt.Publish,
    "mqtt: puback": mqtt.Puback,
    "mqtt: subscribe": mqtt.Subscribe,
    "mqtt: suback": mqtt.Suback,
    "mqtt: unsubscribe": mqtt.Unsubscribe,
    "mqtt: unsuback": mqtt.Unsuback,
    "mqtt: ping": mqtt.Ping,
    "mqtt: disconnect": mqtt.Disconnect,
    "payload: line": payloads.ServerWeight,
    "payload: whole": payloads.TableSnapshot,
    "payload: change": payloads.TableDelta,
    "payload: level": payloads.RouteAdmission,
    "payload: orders": payloads.ProxyAssignment,
    "payload: presence": payloads.Presence,
    "payload: trouble": payloads.SyncFault,
    "payload: tries": payloads.ServerAttempts,
    "payload: calls": payloads.RouteRequests,
    "payload: met": payloads.LoadReport,
    "sasp: member": sasp.Member,
    "sasp: group": sasp.Group,
    "sasp: weight": sasp.WeightEntry,
    "sasp: member state": sasp.MemberState,
    "sasp: members": sasp.MemberGroup,
    "sasp: weights": sasp.WeightGroup,
    "sasp: states": sasp.StateGroup,
    "sasp: registration": sasp.Registration,
    "sasp: deregistration": sasp.Deregistration,
    "sasp: get weights": sasp.GetWeights,
    "sasp: send weights": sasp.SendWeights,
    "sasp: set lb state": sasp.SetLbState,
    "sasp: set member state": sasp.SetMemberState,
    "sasp: reply": sasp.Reply,
    "sasp: get weights reply": sasp.GetWeightsReply,
    "otlp: point": reports.Point,
    "http: asked": http.Request,
    "http: answer": http.Response,
}
NEUTRAL_NAMES = {value_type: name for name, value_type in TYPES.items()}


def neutral_bytes(data):
    """Convert bytes to text if they are printable ASCII and line ends, otherwise to hexadecimal digits."""
    if data and all(32 <= byte < 127 or byte in b"\r\n" for byte in data):
        return {"text": data.decode("ascii")}
    return {"hex": data.hex()}


def to_neutral(value):
    """Convert a value to its neutral form, which consists of JSON types only."""
    if isinstance(value, IntEnum):
        value = int(value)
    value_type = type(value)
    if value is None or value_type in (bool, int, float, str):
        return value
    if value_type in (bytes, bytearray):
        return neutral_bytes(bytes(value))
    if value_type in NEUTRAL_NAMES:
        fields = msgspec.structs.astuple(value) if isinstance(value, msgspec.Struct) else tuple(value)
        if value_type in (mqtt.Connect, mqtt.Connack, mqtt.Publish, mqtt.Disconnect):
            fields = tuple(
                properties_by_identifier(field) if type(field) is dict else field for field in fields
            )
        return {"is": NEUTRAL_NAMES[value_type], "values": [to_neutral(field) for field in fields]}
    if value_type in (set, frozenset):
        return sorted(map(to_neutral, value))
    if value_type in (list, tuple):
        return [to_neutral(item) for item in value]
    if value_type is dict:
        return {"map": [[to_neutral(name), to_neutral(item)] for name, item in value.items()]}
    raise TypeError(f"{value_type.__name__} has no neutral name")


def properties_by_identifier(properties):
    """Convert MQTT properties from names in the program to identifiers of the standard."""
    return {mqtt.IDENTIFIERS[name][0]: value for name, value in properties.items()}


def properties_by_name(properties):
    """Convert MQTT properties from identifiers of the standard to names in the program."""
    return {mqtt.PROPERTIES[number][0]: value for number, value in properties.items()}


def from_neutral(form):
    """Convert a neutral form to a value; lists become tuples."""
    if isinstance(form, list):
        return tuple(from_neutral(item) for item in form)
    if not isinstance(form, dict):
        return form
    if "text" in form:
        return form["text"].encode("ascii")
    if "hex" in form:
        return bytes.fromhex(form["hex"])
    if "map" in form:
        return {from_neutral(name): from_neutral(item) for name, item in form["map"]}
    value_type = TYPES[form["is"]]
    fields = [from_neutral(field) for field in form["values"]]
    if value_type in (mqtt.Connect, mqtt.Connack, mqtt.Publish, mqtt.Disconnect):
        fields = [properties_by_name(field) if type(field) is dict else field for field in fields]
    return value_type(*fields)
