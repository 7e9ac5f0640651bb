"""What the data file of the bench's adapter is read and written by today."""

import io

from rainpick.simhost.commands import ENCODERS, encode_failure
from rainpick.simhost.events import decode_events
from rainpick.simhost.framing import MalformedError, encode_reply, read_batch
from rainpick.simhost.host import serve


def batch(data):
    """All records of a stream of batches: each batch's time, then instance and event of each record."""
    source, lists, found = io.BytesIO(data), {}, []
    while (frame := read_batch(source)) is not None:
        found.append([frame.now, list(decode_events(frame, lists))])
    return found


def begun(data):
    """A record of a begun instance; of the settings only the values are shown."""
    [[now, [[instance, event]]]] = batch(data)
    seed, settings = event
    return [now, instance, seed, list(settings.values())]


def order(words):
    instance, value = words
    return ENCODERS[type(value)](instance, value)


def failure(words):
    return encode_failure(*words)


def reply(written):
    return encode_reply(list(written))


def conversation(data):
    """All that the adapter answers to all that it is sent."""
    sink = io.BytesIO()
    serve(io.BytesIO(data), sink)
    return sink.getvalue()


OPERATIONS = {
    "batch": batch,
    "begun": begun,
    "order": order,
    "failure": failure,
    "reply": reply,
    "conversation": conversation,
}
ERRORS = {MalformedError: "malformed"}
