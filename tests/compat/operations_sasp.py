"""What the data file of SASP is read and written by today."""

from rainpick.sasp import codec


def read(data):
    """All messages of a stream with their ids."""
    framer, found = codec.Framer(1 << 16), []
    framer.feed(data)
    while (one := framer.next()) is not None:
        found.append(one)
    return found


def write(words):
    message, number = words
    return codec.write(message, number)


def push(words):
    """Send Weights out of pieces that are written already."""
    number, group, entries = words
    rows = b"".join(codec.write_entry(entry) for entry in entries)
    return codec.send_weights_frame(number, codec.write_group(group), len(entries), rows)


def group_of_weights(words):
    group, entries = words
    rows = b"".join(codec.write_entry(entry) for entry in entries)
    return codec.group_of_weights(codec.write_group(group), len(entries), rows)


def address(host):
    return codec.packed(host)


def address_read(data):
    return str(codec.unpacked(data))


OPERATIONS = {
    "read": read,
    "write": write,
    "push": push,
    "group of weights": group_of_weights,
    "address": address,
    "address read": address_read,
}
ERRORS = {codec.FramingError: "framing", codec.SaspError: "sasp"}
