"""What the data file of SASP is read and written by today."""

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


def read(data):
    """All messages of a stream with their ids."""
    framer, found = FrameReader(1 << 16), []
    framer.feed(data)
    while (frame := framer.next()) is not None:
        found.append((frame.message_id, frame.message))
    return found


def write(words):
    message, number = words
    return encode_message(message, number)


def push(words):
    """Send Weights out of pieces that are written already."""
    number, group, entries = words
    rows = b"".join(encode_weight_entry(entry) for entry in entries)
    return encode_send_weights(number, encode_group(group), len(entries), rows)


def group_of_weights(words):
    group, entries = words
    rows = b"".join(encode_weight_entry(entry) for entry in entries)
    return encode_weight_group(encode_group(group), len(entries), rows)


def address(host):
    return pack_address(host)


def address_read(data):
    return str(unpack_address(data))


OPERATIONS = {
    "read": read,
    "write": write,
    "push": push,
    "group of weights": group_of_weights,
    "address": address,
    "address read": address_read,
}
ERRORS = {FramingError: "framing", SaspError: "sasp"}
