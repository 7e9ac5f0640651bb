"""Host director instances on the simulator's wire: ``python -m rainpick.simhost``."""

import sys

from rainpick.decisions.director import Director
from rainpick.model import Started
from rainpick.simhost import wire


def step(directors, inbox, now):
    """Hand each instance what came for it; give back the records that it writes."""
    written = []
    for instance, events in inbox.items():
        try:
            if type(events[0]) is Started:
                directors[instance] = Director()
            orders = directors[instance].step(now, events)
            written += [wire.WRITERS[type(order)](instance, order) for order in orders]
        except Exception as flaw:  # whatever the module trips over is told to the simulator
            written.append(wire.failure(instance, f"{type(flaw).__name__}: {flaw}"))
    return written


def serve(source, sink):
    """Answer batches until the input ends."""
    directors, lists = {}, {}
    while (frame := wire.read_frame(source)) is not None:
        inbox = {}
        for instance, event in wire.records(frame, lists):
            if event is None:  # killed: neither what it held nor what it heard in this batch counts any more
                directors.pop(instance, None)
                inbox.pop(instance, None)
            elif type(event) is Started:
                inbox[instance] = [event]
            elif instance in inbox:
                inbox[instance].append(event)
            elif instance in directors:
                inbox[instance] = [event]
            else:
                raise wire.MalformedError(f"an event came for instance {instance}, which was never born")
        sink.write(wire.reply(step(directors, inbox, frame.now)))
        sink.flush()


def main():
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.MalformedError as flaw:
        sys.exit(f"rainpick.simhost: {flaw}")
    except BrokenPipeError:
        sys.exit("rainpick.simhost: the reader of the replies has gone")


if __name__ == "__main__":
    main()
