"""The codec against frames written out by hand, and the adapter as a process."""

import io
import subprocess
import sys

import pytest

from rainpick import model
from rainpick.simhost import wire

HOST = bytes.fromhex("0a124a072bc3")


def frame(*records):
    body = bytes.fromhex("".join(records).replace(" ", ""))
    return wire.BATCH.pack(16 + len(body), len(records), 8_412_250) + body


def read(*records):
    return list(wire.records(wire.read_frame(io.BytesIO(frame(*records))), {}))


LISTS = (
    "0474 00000000 00000001 3f800000 00 0000000000000000 0000 0000 0a124a07 2bc3 01",
    "03f2 00000003 02 00000000 0000000000000029",
    "0474 00000000 00000001 3fc00000 01 00000000005d1420 0000 0000 0a9011f2 2bec 02",
    "03f2 00000003 00 00000000 000000000000002a",
)
EVENTS = {
    "0442 00000003 00 0a124a07 2bc3 00000001 0000bc7a 000f4240 0000000e 02 3f00000040400000": (
        model.ServerLoadReport(HOST, 0, 14, 1, 48250, 1_000_000, (0.5, 3.0))
    ),
    "03fc 00000003 000000000000004d": model.TimerFired(77),
    "042e 00000003 0029": model.ProxyLeft(41),
    "0410 00000003 0002 0004 68692037": model.PeerMessageReceived(2, b"hi 7"),
    "0438 00000003 0029 000000000000000c 00064b54": model.Acknowledged(41, 12, 412500),
    "0456 00000003 0075 00 00000017 00000002 000f4240": model.KeyRangeLoadReport(117, 0, 23, 2, 1_000_000),
    "044c 00000003 0029 00 00000009 00000000 001e8480": model.RouteLoadReport(41, 0, 9, 0, 2_000_000),
    "046a 00000003 0075 0a124a07 2bc3 3f800000": model.KeyRangeWeight(117, HOST, 1.0),
    "0424 00000003 01 40d00000 0029 00": model.ProxyJoined(41, True, 6.5, 0),
    "0460 00000003 01 0075": model.KeyRangeAssigned(117, True),
    "0406 00000003 00000578 0a124a07 2bc3 00 01 3f000000": model.ProbeCompleted(HOST, 0, 1400, (0.5,)),
    "041a 00000003": None,
    "03e8 00000003 0000000000000009 00000009" + b"az=1\nx=yy".hex(): model.Started(9, {"zone": 1, "x": "yy"}),
}
ORDERS = {
    "041a 00000003 0075 0a124a07 2bc3 3f400000": model.SetWeight(117, HOST, 0.75),
    "03e8 00000003 0075": model.ClearTable(117),
    "0406 00000003 000000000000000c 00": model.RequestAcknowledgement(12, False),
    "0438 00000003 0a124a07 2bc3": model.ProbeServer(HOST),
    "03fc 00000003 0a124a07 2bc3 01": model.SetWithdrawn(HOST, True),
    "0460 00000003 0075 0002 3f400000 01": model.SetAdmission(117, 2, 0.75, model.RetryPolicy.ON_PROOF),
    "042e 00000003": model.FetchEndpoints(),
    "0456 00000003 000000000000004d 0007a120": model.SetTimer(77, 500_000),
    "044c 00000003 ffff 0004 68692037": model.SendPeerMessage(None, b"hi 7"),
    "03f2 00000003 0002 6f6b": model.LogMessage("ok"),
    "0410 00000003 0075 0000 0029": model.BindProxy(117, model.ALL_ROUTES, 41),
    "0424 00000003 01": model.Subscribe(True),
}


def test_events_are_read():
    for text, event in EVENTS.items():
        assert read(text) == [(3, event)]


def test_a_list_number_means_the_list_sent_last():
    (_, first), (_, second) = read(*LISTS)
    assert (first.kind, [server.state for server in first.endpoints]) == (
        model.UpdateKind.CACHED,
        [model.EndpointState.READY],
    )
    (server,) = second.endpoints
    assert (second.kind, server.started_us, server.state) == (
        model.UpdateKind.DELTA,
        6100000,
        model.EndpointState.DRAINING,
    )


def test_orders_are_written():
    for text, order in ORDERS.items():
        assert wire.WRITERS[type(order)](3, order) == bytes.fromhex(text.replace(" ", ""))
    assert wire.failure(3, "oops") == bytes.fromhex("0442 00000003 0004 6f6f7073".replace(" ", ""))


def host(data):
    command = [sys.executable, "-m", "rainpick.simhost"]
    return subprocess.run(command, input=data, capture_output=True, timeout=30)


@pytest.mark.parametrize(
    "data",
    [
        frame("03fc 00000003 000000000000004d")[:-3],
        frame("03fc 00000003")[:20],
        frame("0001 00000003"),
        frame("03fc 00000003 000000000000004d 00"),
        frame("03f2 00000003 01 00000005 0000000000000001"),
        b"\0\0\0\3" + bytes(12),
        frame("03fc 00000003 000000000000004d"),
        frame("03e8 00000003 00")[:9],
    ],
    ids=["cut", "short", "code", "long", "list", "tiny", "unborn", "header"],
)
def test_what_is_malformed_ends_it_plainly(data):
    ended = host(data)
    assert ended.returncode != 0 and ended.stderr.startswith(b"rainpick.simhost: ")
    assert ended.stderr.count(b"\n") == 1


def test_instances_live_die_and_fail_on_their_own():
    born = [f"03e8 0000000{n} 0000000000000009 00000000" for n in (1, 2)]
    ended = host(
        frame()
        + frame(*born)
        + frame("041a 00000001", born[0], "0460 00000002 01 0075", "0424 00000002 01 40d00000 0029 00")
    )
    assert (ended.returncode, ended.stdout[:8].hex()) == (0, "0000000800000000")
    broken = frame("03e8 00000001 0000000000000009 0000000f" + b"routes.count=no".hex())
    assert b"TypeError" in host(broken + frame()).stdout
