"""The operations on the simulator adapter that the cases in ``wire/simhost.jsonl`` name."""

import io

from rainpick.simhost.commands import ENCODERS, encode_failure
from rainpick.simhost.events import decode_events
from rainpick.simhost.framing import MalformedError, encode_reply, read_batch
from rainpick.simhost.host import serve


def decode_batches(data):
    """Decode a stream of batches: the time of each batch, and instance and event of each record."""
    source, endpoint_lists, batches = io.BytesIO(data), {}, []
    while (batch := read_batch(source)) is not None:
        batches.append([batch.now, list(decode_events(batch, endpoint_lists))])
    return batches


def decode_started(data):
    """Decode the start of an instance; of its settings only the values are returned."""
    [[now, [[instance, event]]]] = decode_batches(data)
    seed, settings = event
    return [now, instance, seed, list(settings.values())]


def encode_command(arguments):
    instance, command = arguments
    return ENCODERS[type(command)](instance, command)


def encode_failure_report(arguments):
    return encode_failure(*arguments)


def encode_reply_to_batch(records):
    return encode_reply(list(records))


def serve_input(data):
    """Return all replies of the adapter to its whole input."""
    sink = io.BytesIO()
    serve(io.BytesIO(data), sink)
    return sink.getvalue()


OPERATIONS = {
    "batch": decode_batches,
    "begun": decode_started,
    "order": encode_command,
    "failure": encode_failure_report,
    "reply": encode_reply_to_batch,
    "conversation": serve_input,
}
ERRORS = {MalformedError: "malformed"}
