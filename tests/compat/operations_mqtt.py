"""What the publish-subscribe front reads and writes today: packets, payloads, topics."""

from rainpick.mqtt import codec
from rainpick.publish import payloads, topics

NOT_ON_THE_WIRE = ("title", "description")  # of a schema: names and texts of the program's types


def packets(data):
    """All packets of a stream."""
    framer, found = codec.PacketFramer(1 << 16), []
    framer.feed(data)
    while (packet := framer.next()) is not None:
        found.append(packet)
    return found


def packet(value):
    return codec.encode_packet(value)


def publish_head(words):
    return codec.encode_publish_header(*words)


def properties(numbers):
    """All properties of the standard, by number, as they are written."""
    return codec.encode_properties({codec.PROPERTIES[number][0]: value for number, value in numbers.items()})


def payload(value):
    return payloads.encode(value)


def payload_up(data):
    return payloads.decode_proxy_message(data)


def payload_down(data):
    return payloads.decode_director_message(data)


def place(words):
    return payloads.format_address(words)


def place_read(text):
    return payloads.parse_address(text)


def topic_names(_):
    """Each topic: a proxy's orders, a table, what a proxy says."""
    return [
        topics.TOPIC_ROOT,
        topics.assignment_topic("edge-1"),
        topics.table_topic(7),
        topics.proxy_topic("edge-1", "presence"),
    ]


def unfolded(part, parts):
    """A schema with what it refers to in place, without the names and texts of types."""
    if isinstance(part, list):
        return [unfolded(item, parts) for item in part]
    if not isinstance(part, dict):
        return part
    if "$ref" in part:
        return unfolded(parts[part["$ref"].removeprefix("#/$defs/")], parts)
    # A field may itself be called as one of these: below "properties" all names are fields.
    return {
        name: {field: unfolded(item, parts) for field, item in value.items()}
        if name == "properties"
        else unfolded(value, parts)
        for name, value in part.items()
        if name not in NOT_ON_THE_WIRE and name != "mapping"
    }


OPERATIONS = {
    "packets": packets,
    "packet": packet,
    "publish head": publish_head,
    "properties": properties,
    "payload": payload,
    "payload up": payload_up,
    "payload down": payload_down,
    "place": place,
    "place read": place_read,
    "topics": topic_names,
}
ERRORS = {codec.MqttError: "mqtt", payloads.PayloadError: "payload"}
