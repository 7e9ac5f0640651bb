"""The codec's public names, gathered from the modules that define them."""

from rainpick.mqtt.decoder import PacketFramer
from rainpick.mqtt.encoder import encode_packet, encode_publish_header
from rainpick.mqtt.errors import MqttError, ReasonCode
from rainpick.mqtt.packets import (
    Connack,
    Connect,
    Disconnect,
    Packet,
    Ping,
    Puback,
    Publish,
    Suback,
    Subscribe,
    Unsuback,
    Unsubscribe,
    Will,
)
from rainpick.mqtt.properties import IDENTIFIERS, PROPERTIES, encode_properties

__all__ = [
    "IDENTIFIERS",
    "PROPERTIES",
    "Connack",
    "Connect",
    "Disconnect",
    "MqttError",
    "Packet",
    "PacketFramer",
    "Ping",
    "Puback",
    "Publish",
    "ReasonCode",
    "Suback",
    "Subscribe",
    "Unsuback",
    "Unsubscribe",
    "Will",
    "encode_packet",
    "encode_properties",
    "encode_publish_header",
]

# Former names, for callers that have not been renamed
Framer = PacketFramer
write = encode_packet
write_properties = encode_properties
publish_head = encode_publish_header
SUCCESS = ReasonCode.SUCCESS
PROTOCOL_ERROR = ReasonCode.PROTOCOL_ERROR
BAD_CLIENT_ID = ReasonCode.CLIENT_IDENTIFIER_NOT_VALID
NOT_AUTHORIZED = ReasonCode.NOT_AUTHORIZED
KEEP_ALIVE = ReasonCode.KEEP_ALIVE_TIMEOUT
TAKEN_OVER = ReasonCode.SESSION_TAKEN_OVER
QUOTA = ReasonCode.QUOTA_EXCEEDED
BAD_PAYLOAD = ReasonCode.PAYLOAD_FORMAT_INVALID
