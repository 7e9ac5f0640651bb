"""Encoding and decoding of events and commands, including records of other versions."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.record.schema import CODES, TYPE_DECLARATIONS
from rainpick.record.steps import Step, StepDecoder, StepError, decode_step, encode_step
from tests.record.recorded_day import replay_all

SAMPLES = Path(__file__).parent / "samples"
values = st.one_of(
    st.integers(-(2**63), 2**63 - 1), st.floats(allow_nan=False), st.text(max_size=5), st.booleans()
)
addresses = st.tuples(st.text(max_size=9), st.integers(0, 65535))


@given(
    st.dictionaries(st.text(max_size=9), values | st.lists(values, max_size=3).map(tuple)),
    addresses,
    st.floats(allow_nan=False),
    st.integers(0, 2**62),
)
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_decoding_restores_the_encoded_values(settings, address, number, now):
    entry = model.Endpoint(number, 1, now, 2, 3, address, model.EndpointState.READY)
    messages = [
        model.Started(now, settings),
        model.EndpointUpdate(model.UpdateKind.FULL, (entry, entry), 7),
        model.ServerLoadReport(address, 1, 2, 3, 4, 5, (number,)),
        model.SetWeight(3, address, number),
        model.PeerMessageReceived(1, b"x\xff"),
        model.SendPeerMessage(None, b""),
        model.FetchEndpoints(),
    ]
    step = Step(now, messages, messages[::-1])
    assert decode_step(encode_step(step)) == step


def test_every_event_and_command_can_be_recorded():
    types = {kind for kind in vars(model).values() if isinstance(kind, type) and hasattr(kind, "_fields")}
    assert types - {model.Endpoint} == CODES.keys()


@pytest.mark.parametrize("data", [b"", b"\x93\x01\x90", b"\x93\x01\x91\x91\xcc\xff\x90", b"\xc1"])
def test_malformed_bytes_raise_an_error(data):
    with pytest.raises(StepError):
        decode_step(data)


def test_a_record_of_another_version_is_decoded_by_field_names():
    """Stored fields may have another order or be unknown to this program; a missing field is an error."""
    declarations = [list(row) for row in TYPE_DECLARATIONS]
    withdraw = next(index for index, row in enumerate(declarations) if row[0] == "Withdraw")
    declarations[withdraw] = ["Withdraw", "why", "on", "server"]
    decoder = StepDecoder(declarations)
    assert decoder.decode_value([withdraw, "x", True, ["h", 1]]) == model.SetWithdrawn(("h", 1), True)
    declarations[withdraw] = ["Withdraw", "server"]
    with pytest.raises(StepError, match="Withdraw"):
        StepDecoder(declarations).decode_value([withdraw, ["h", 1]])
    listed = next(index for index, row in enumerate(declarations) if row[0] == "Listed")
    declarations[listed] = ["Listed", "version", "servers", "kind"]
    declarations[-1] = ["Server", "address", "state", "weight", "zone", "started_us", "machine", "cell"]
    found = StepDecoder(declarations).decode_value([listed, 4, [[["h", 1], 1, 2.0, 0, 0, 0, 0]], 1])
    assert found == model.EndpointUpdate(1, (model.Endpoint(2.0, 0, 0, 0, 0, ("h", 1), 1),), 4)


def test_a_record_that_declares_no_types_is_replayed():
    (result,) = replay_all(SAMPLES / "without-types")
    assert result.steps == 78 and result.differing == 0 and result.missing is None
