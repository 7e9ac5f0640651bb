"""The MQTT operations that the cases in ``wire/mqtt.jsonl`` name: packets, payloads and topics."""

from rainpick.mqtt import codec
from rainpick.publish import payloads, topics

NOT_ON_THE_WIRE = ("title", "description")  # schema keys that hold names and texts of the program's types


def decode_packets(data):
    """Decode all packets of a stream."""
    framer, packets = codec.PacketFramer(1 << 16), []
    framer.feed(data)
    while (packet := framer.next()) is not None:
        packets.append(packet)
    return packets


def encode_one_packet(packet):
    return codec.encode_packet(packet)


def encode_publish_header(arguments):
    return codec.encode_publish_header(*arguments)


def encode_properties(values):
    """Encode properties that are given by their identifiers in the standard."""
    return codec.encode_properties({codec.PROPERTIES[number][0]: value for number, value in values.items()})


def encode_payload(payload):
    return payloads.encode(payload)


def decode_proxy_payload(data):
    return payloads.decode_proxy_message(data)


def decode_director_payload(data):
    return payloads.decode_director_message(data)


def format_address(address):
    return payloads.format_address(address)


def parse_address(text):
    return payloads.parse_address(text)


def topic_names(_):
    """Return the root topic and a topic of each kind: a proxy's assignment, a table, a proxy's messages."""
    return [
        topics.TOPIC_ROOT,
        topics.assignment_topic("edge-1"),
        topics.table_topic(7),
        topics.proxy_topic("edge-1", "presence"),
    ]


def inline_references(part, definitions):
    """Replace the references in a JSON schema by their definitions; drop names and texts of types."""
    if isinstance(part, list):
        return [inline_references(item, definitions) for item in part]
    if not isinstance(part, dict):
        return part
    if "$ref" in part:
        return inline_references(definitions[part["$ref"].removeprefix("#/$defs/")], definitions)
    # A field may itself be named "title" or "description": all keys below "properties" are fields.
    return {
        name: {field: inline_references(item, definitions) for field, item in value.items()}
        if name == "properties"
        else inline_references(value, definitions)
        for name, value in part.items()
        if name not in NOT_ON_THE_WIRE and name != "mapping"
    }


OPERATIONS = {
    "packets": decode_packets,
    "packet": encode_one_packet,
    "publish head": encode_publish_header,
    "properties": encode_properties,
    "payload": encode_payload,
    "payload up": decode_proxy_payload,
    "payload down": decode_director_payload,
    "place": format_address,
    "place read": parse_address,
    "topics": topic_names,
}
ERRORS = {codec.MqttError: "mqtt", payloads.PayloadError: "payload"}
