"""Values of today's types in a form without names of the program, as the data files under ``wire`` hold them.

A value of one of the types below is written as its neutral name and its fields in order, and is made from
these by position: another name for a type is another line here, another name for a field is nothing, and the
data files stay as they are.
"""

from enum import IntEnum

import msgspec

from rainpick import model
from rainpick.director import reports
from rainpick.http1 import messages as http
from rainpick.mqtt import codec as mqtt
from rainpick.net import StreamEnded
from rainpick.node import (
    commit_answers,
    commit_calls,
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
    "platform: taken": commit_answers.Accepted,
    "platform: not taken": commit_answers.Rejected,
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
NEUTRAL = {kind: name for name, kind in TYPES.items()}


def shown_bytes(data):
    """Readable where that is exact: printable ASCII and ends of lines; else hexadecimal digits."""
    if data and all(32 <= byte < 127 or byte in b"\r\n" for byte in data):
        return {"text": data.decode("ascii")}
    return {"hex": data.hex()}


def shown(value):
    """The neutral form, of JSON's kinds only."""
    if isinstance(value, IntEnum):
        value = int(value)
    kind = type(value)
    if value is None or kind in (bool, int, float, str):
        return value
    if kind in (bytes, bytearray):
        return shown_bytes(bytes(value))
    if kind in NEUTRAL:
        fields = msgspec.structs.astuple(value) if isinstance(value, msgspec.Struct) else tuple(value)
        if kind in (mqtt.Connect, mqtt.Connack, mqtt.Publish, mqtt.Disconnect):
            fields = tuple(numbered(field) if type(field) is dict else field for field in fields)
        return {"is": NEUTRAL[kind], "values": [shown(field) for field in fields]}
    if kind in (set, frozenset):
        return sorted(map(shown, value))
    if kind in (list, tuple):
        return [shown(item) for item in value]
    if kind is dict:
        return {"map": [[shown(name), shown(item)] for name, item in value.items()]}
    raise TypeError(f"{kind.__name__} has no neutral name")


def numbered(properties):
    """The properties of a packet by the standard's identifiers, not by our names for them."""
    return {mqtt.IDENTIFIERS[name][0]: value for name, value in properties.items()}


def named(properties):
    """The reverse of ``numbered``."""
    return {mqtt.PROPERTIES[number][0]: value for number, value in properties.items()}


def made(form):
    """The value of a neutral form; lists become tuples."""
    if isinstance(form, list):
        return tuple(made(item) for item in form)
    if not isinstance(form, dict):
        return form
    if "text" in form:
        return form["text"].encode("ascii")
    if "hex" in form:
        return bytes.fromhex(form["hex"])
    if "map" in form:
        return {made(name): made(item) for name, item in form["map"]}
    kind = TYPES[form["is"]]
    fields = [made(field) for field in form["values"]]
    if kind in (mqtt.Connect, mqtt.Connack, mqtt.Publish, mqtt.Disconnect):
        fields = [named(field) if type(field) is dict else field for field in fields]
    return kind(*fields)
