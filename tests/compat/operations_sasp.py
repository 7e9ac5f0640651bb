"""The SASP operations that the cases in ``wire/sasp.jsonl`` name."""

from rainpick.sasp.addresses import pack_address, unpack_address
from rainpick.sasp.encoding import (
    encode_group,
    encode_message,
    encode_send_weights,
    encode_weight_entry,
    encode_weight_group,
)
from rainpick.sasp.errors import FramingError, SaspError
from rainpick.sasp.framing import FrameReader


def decode_stream(data):
    """Decode all messages of a stream with their ids."""
    reader, messages = FrameReader(1 << 16), []
    reader.feed(data)
    while (frame := reader.next()) is not None:
        messages.append((frame.message_id, frame.message))
    return messages


def encode_one_message(arguments):
    message, message_id = arguments
    return encode_message(message, message_id)


def encode_push(arguments):
    """Encode Send Weights from parts that are already encoded."""
    message_id, group, entries = arguments
    encoded_entries = b"".join(encode_weight_entry(entry) for entry in entries)
    return encode_send_weights(message_id, encode_group(group), len(entries), encoded_entries)


def encode_group_of_weights(arguments):
    group, entries = arguments
    encoded_entries = b"".join(encode_weight_entry(entry) for entry in entries)
    return encode_weight_group(encode_group(group), len(entries), encoded_entries)


def encode_address(host):
    return pack_address(host)


def decode_address(data):
    return str(unpack_address(data))


OPERATIONS = {
    "read": decode_stream,
    "write": encode_one_message,
    "push": encode_push,
    "group of weights": encode_group_of_weights,
    "address": encode_address,
    "address read": decode_address,
}
ERRORS = {FramingError: "framing", SaspError: "sasp"}
