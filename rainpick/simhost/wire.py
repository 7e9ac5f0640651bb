"""The simulator's wire: frames, records and words, turned into the project's events and orders and back."""

import struct

from rainpick import model
from rainpick.wording import settings

BATCH = struct.Struct(">IIQ")
REPLY = struct.Struct(">II")
ENTRY = struct.Struct(">fBQHH6sB")
CODE = struct.Struct(">H")
COUNT = struct.Struct(">I")
MOST_FRAME = 1 << 30


class MalformedError(Exception):
    """The input is not what the wire allows."""


class Frame:
    """A cursor over the body of one batch."""

    def __init__(self, body, records, now):
        self.body, self.records, self.now, self.at = body, records, now, 0

    def take(self, form):
        try:
            fields = form.unpack_from(self.body, self.at)
        except struct.error:
            raise MalformedError(f"a record runs past the end of its frame at {self.at}") from None
        self.at += form.size
        return fields

    def run(self, length):
        if self.at + length > len(self.body):
            raise MalformedError(f"a field of {length} bytes runs past the end of its frame")
        self.at += length
        return self.body[self.at - length : self.at]

    def load(self):
        (count,) = self.take(BYTE)
        return self.take(FLOATS[count])


BYTE = struct.Struct(">B")
FLOATS = [struct.Struct(f">{count}f") for count in range(256)]


def read_frame(pipe):
    """Read one batch, or None at the end of the input."""
    head = pipe.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise MalformedError(f"the input ends after {len(head)} bytes of a header")
    size, records, now = BATCH.unpack(head)
    if not BATCH.size <= size <= MOST_FRAME:
        raise MalformedError(f"a frame cannot be {size} bytes long")
    body = pipe.read(size - BATCH.size)
    if len(body) < size - BATCH.size:
        raise MalformedError(f"the input ends {size - BATCH.size - len(body)} bytes short of a frame")
    return Frame(body, records, now)


def plain(form, build):
    """A reader for records of fixed fields."""
    form = struct.Struct(form)
    return lambda frame: build(*frame.take(form))


def born(frame):
    instance, seed, length = frame.take(BORN)
    try:
        return instance, model.Started(seed, settings(frame.run(length).decode()))
    except UnicodeDecodeError as flaw:
        raise MalformedError(f"the settings are not UTF-8: {flaw}") from None


def peer_said(frame):
    instance, peer, length = frame.take(PEER)
    return instance, model.PeerMessageReceived(peer, frame.run(length))


def probe_ended(frame):
    instance, took, server, outcome = frame.take(PROBED)
    return instance, model.ProbeCompleted(server, outcome, took, frame.load())


def server_met(frame):
    instance, zone, server, dropped, mean, span, tries = frame.take(HEARD)
    return instance, model.ServerLoadReport(server, zone, tries, dropped, mean, span, frame.load())


BORN, PEER = struct.Struct(">IQI"), struct.Struct(">IHH")
PROBED, HEARD = struct.Struct(">II6sB"), struct.Struct(">IB6sIIII")
REGISTRY, DIRECTORY = struct.Struct(">IBIQ"), struct.Struct(">II")
REGISTRY_CODE, DIRECTORY_CODE = 1010, 1140
READERS = {
    1000: born,
    1020: plain(">IQ", lambda who, label: (who, model.TimerFired(label))),
    1030: probe_ended,
    1040: peer_said,
    1050: plain(">I", lambda who: (who, None)),
    1060: plain(
        ">IBfHB", lambda who, on, rate, proxy, zone: (who, model.ProxyJoined(proxy, on != 0, rate, zone))
    ),
    1070: plain(">IH", lambda who, proxy: (who, model.ProxyLeft(proxy))),
    1080: plain(">IHQI", lambda who, proxy, number, took: (who, model.Acknowledged(proxy, number, took))),
    1090: server_met,
    1100: plain(">IHBIII", lambda who, *fields: (who, model.RouteLoadReport(*fields))),
    1110: plain(">IHBIII", lambda who, *fields: (who, model.KeyRangeLoadReport(*fields))),
    1120: plain(">IBH", lambda who, on, number: (who, model.KeyRangeAssigned(number, on != 0))),
    1130: plain(">IH6sf", lambda who, *fields: (who, model.KeyRangeWeight(*fields))),
}


def entry(fields):
    weight, zone, started, machine, cell, server, state = fields
    if state not in (model.EndpointState.GONE, model.EndpointState.READY, model.EndpointState.DRAINING):
        raise MalformedError(f"a server cannot be in state {state}")
    return model.Endpoint(weight, zone, started, machine, cell, server, state)


def records(frame, lists):
    """Give out (instance, event) in order; None for an event: it is killed. ``lists`` outlives the frame."""
    for _ in range(frame.records):
        (code,) = frame.take(CODE)
        if code == DIRECTORY_CODE:
            number, count = frame.take(DIRECTORY)
            lists[number] = tuple(map(entry, ENTRY.iter_unpack(frame.run(count * ENTRY.size))))
        elif code == REGISTRY_CODE:
            instance, kind, number, version = frame.take(REGISTRY)
            if kind > model.UpdateKind.FAILED or kind != model.UpdateKind.FAILED and number not in lists:
                raise MalformedError(f"a REGISTRY of kind {kind} names list {number}, which was never sent")
            yield (
                instance,
                model.EndpointUpdate(kind, () if kind == model.UpdateKind.FAILED else lists[number], version),
            )
        elif code in READERS:
            yield READERS[code](frame)
        else:
            raise MalformedError(f"no event has the code {code}")
    if frame.at != len(frame.body):
        raise MalformedError(f"{len(frame.body) - frame.at} bytes are left over after the last record")


def writer(code, form, fields=tuple):
    form = struct.Struct(">HI" + form)
    return lambda who, order: form.pack(code, who, *fields(order))


def text(code, content):
    form = struct.Struct(">HIH")

    def write(who, order):
        data = content(order).encode()[:65535]
        return form.pack(code, who, len(data)) + data

    return write


def tell(who, order):
    peer = 65535 if order.peer is None else order.peer
    return struct.pack(">HIHH", 1100, who, peer, len(order.data)) + order.data


WRITERS = {
    model.ClearTable: writer(1000, "H"),
    model.LogMessage: text(1010, lambda order: order.text),
    model.SetWithdrawn: writer(1020, "6sB"),
    model.RequestAcknowledgement: writer(1030, "QB"),
    model.BindProxy: writer(1040, "HHH"),
    model.SetWeight: writer(1050, "H6sf"),
    model.Subscribe: writer(1060, "B"),
    model.FetchEndpoints: writer(1070, ""),
    model.ProbeServer: writer(1080, "6s"),
    model.SendPeerMessage: tell,
    model.SetTimer: writer(1110, "QI", lambda order: (order.token, max(0, min(order.delay_us, 0xFFFFFFFF)))),
    model.SetAdmission: writer(1120, "HHfB"),
}
failure = text(1090, str)


def reply(written):
    """Frame the records of one reply."""
    body = b"".join(written)
    return REPLY.pack(REPLY.size + len(body), len(written)) + body
