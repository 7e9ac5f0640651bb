"""What the data file of the bench's adapter is read and written by today."""

import io

from rainpick.simhost import wire
from rainpick.simhost.__main__ import serve


def batch(data):
    """All records of a stream of batches: each batch's time, then instance and event of each record."""
    source, lists, found = io.BytesIO(data), {}, []
    while (frame := wire.read_frame(source)) is not None:
        found.append([frame.now, list(wire.records(frame, lists))])
    return found


def begun(data):
    """A record of a begun instance; of the settings only the values are shown."""
    [[now, [[instance, event]]]] = batch(data)
    seed, settings = event
    return [now, instance, seed, list(settings.values())]


def order(words):
    instance, value = words
    return wire.WRITERS[type(value)](instance, value)


def failure(words):
    return wire.failure(*words)


def reply(written):
    return wire.reply(list(written))


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
ERRORS = {wire.MalformedError: "malformed"}
