"""The simulator adapter: its codec with hand-written records, its process with valid and malformed input."""

import io
import subprocess
import sys

import pytest

from rainpick import model
from rainpick.simhost.commands import ENCODERS, encode_failure
from rainpick.simhost.events import decode_events
from rainpick.simhost.framing import BATCH_HEADER, read_batch

SERVER = bytes.fromhex("0a124a072bc3")


def encode_batch(*records):
    body = bytes.fromhex("".join(records).replace(" ", ""))
    return BATCH_HEADER.pack(16 + len(body), len(records), 8_412_250) + body


def decode(*records):
    return list(decode_events(read_batch(io.BytesIO(encode_batch(*records))), {}))


ENDPOINT_UPDATES = (
    "0474 00000000 00000001 3f800000 00 0000000000000000 0000 0000 0a124a07 2bc3 01",
    "03f2 00000003 02 00000000 0000000000000029",
    "0474 00000000 00000001 3fc00000 01 00000000005d1420 0000 0000 0a9011f2 2bec 02",
    "03f2 00000003 00 00000000 000000000000002a",
)
EVENTS_BY_RECORD = {
    "0442 00000003 00 0a124a07 2bc3 00000001 0000bc7a 000f4240 0000000e 02 3f00000040400000": (
        model.ServerLoadReport(SERVER, 0, 14, 1, 48250, 1_000_000, (0.5, 3.0))
    ),
    "03fc 00000003 000000000000004d": model.TimerFired(77),
    "042e 00000003 0029": model.ProxyLeft(41),
    "0410 00000003 0002 0004 68692037": model.PeerMessageReceived(2, b"hi 7"),
    "0438 00000003 0029 000000000000000c 00064b54": model.Acknowledged(41, 12, 412500),
    "0456 00000003 0075 00 00000017 00000002 000f4240": model.KeyRangeLoadReport(117, 0, 23, 2, 1_000_000),
    "044c 00000003 0029 00 00000009 00000000 001e8480": model.RouteLoadReport(41, 0, 9, 0, 2_000_000),
    "046a 00000003 0075 0a124a07 2bc3 3f800000": model.KeyRangeWeight(117, SERVER, 1.0),
    "0424 00000003 01 40d00000 0029 00": model.ProxyJoined(41, True, 6.5, 0),
    "0460 00000003 01 0075": model.KeyRangeAssigned(117, True),
    "0406 00000003 00000578 0a124a07 2bc3 00 01 3f000000": model.ProbeCompleted(SERVER, 0, 1400, (0.5,)),
    "041a 00000003": None,
    "03e8 00000003 0000000000000009 00000009" + b"az=1\nx=yy".hex(): model.Started(9, {"zone": 1, "x": "yy"}),
}
COMMANDS_BY_RECORD = {
    "041a 00000003 0075 0a124a07 2bc3 3f400000": model.SetWeight(117, SERVER, 0.75),
    "03e8 00000003 0075": model.ClearTable(117),
    "0406 00000003 000000000000000c 00": model.RequestAcknowledgement(12, False),
    "0438 00000003 0a124a07 2bc3": model.ProbeServer(SERVER),
    "03fc 00000003 0a124a07 2bc3 01": model.SetWithdrawn(SERVER, True),
    "0460 00000003 0075 0002 3f400000 01": model.SetAdmission(117, 2, 0.75, model.RetryPolicy.ON_PROOF),
    "042e 00000003": model.FetchEndpoints(),
    "0456 00000003 000000000000004d 0007a120": model.SetTimer(77, 500_000),
    "044c 00000003 ffff 0004 68692037": model.SendPeerMessage(None, b"hi 7"),
    "03f2 00000003 0002 6f6b": model.LogMessage("ok"),
    "0410 00000003 0075 0000 0029": model.BindProxy(117, model.ALL_ROUTES, 41),
    "0424 00000003 01": model.Subscribe(True),
}


def test_events_are_decoded():
    for text, event in EVENTS_BY_RECORD.items():
        assert decode(text) == [(3, event)]


def test_a_list_number_refers_to_the_list_sent_last():
    (_, first), (_, second) = decode(*ENDPOINT_UPDATES)
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


def test_commands_are_encoded():
    for text, command in COMMANDS_BY_RECORD.items():
        assert ENCODERS[type(command)](3, command) == bytes.fromhex(text.replace(" ", ""))
    assert encode_failure(3, "oops") == bytes.fromhex("0442 00000003 0004 6f6f7073".replace(" ", ""))


def run_adapter(data):
    command = [sys.executable, "-m", "rainpick.simhost"]
    return subprocess.run(command, input=data, capture_output=True, timeout=30)


@pytest.mark.parametrize(
    "data",
    [
        encode_batch("03fc 00000003 000000000000004d")[:-3],
        encode_batch("03fc 00000003")[:20],
        encode_batch("0001 00000003"),
        encode_batch("03fc 00000003 000000000000004d 00"),
        encode_batch("03f2 00000003 01 00000005 0000000000000001"),
        b"\0\0\0\3" + bytes(12),
        encode_batch("03fc 00000003 000000000000004d"),
        encode_batch("03e8 00000003 00")[:9],
    ],
    ids=[
        "truncated token",
        "truncated instance number",
        "unknown code",
        "trailing byte",
        "unknown list",
        "length below header",
        "unknown instance",
        "truncated header",
    ],
)
def test_malformed_input_ends_the_process_with_one_line(data):
    process = run_adapter(data)
    assert process.returncode != 0 and process.stderr.startswith(b"rainpick.simhost: ")
    assert process.stderr.count(b"\n") == 1


def test_instances_start_stop_and_fail_independently():
    starts = [f"03e8 0000000{n} 0000000000000009 00000000" for n in (1, 2)]
    process = run_adapter(
        encode_batch()
        + encode_batch(*starts)
        + encode_batch(
            "041a 00000001", starts[0], "0460 00000002 01 0075", "0424 00000002 01 40d00000 0029 00"
        )
    )
    assert (process.returncode, process.stdout[:8].hex()) == (0, "0000000800000000")
    invalid_start = encode_batch("03e8 00000001 0000000000000009 0000000f" + b"routes.count=no".hex())
    assert b"TypeError" in run_adapter(invalid_start + encode_batch()).stdout
