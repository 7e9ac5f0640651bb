"""Public names of the codec, re-exported from the modules that define them."""

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
