"""Answers of discovery: what is read, and what is left out."""

import pytest

from rainpick import model
from rainpick.node.endpoint_discovery import parse_discovery_answer
from tests.node.platform_stubs import VOCABULARY, entry


def test_unreadable_entries_are_left_out():
    unreadable = [
        entry(2, zone="nowhere"),
        entry(3, weight=-1),
        entry(4, state="Broken"),
        entry(5, startedAtMs=None),
        7,
    ]
    readable = entry(1, started_ms=1_700_000_000_000)
    answer = parse_discovery_answer(
        {"generation": 41, "reset": True, "instances": [readable, *unreadable]}, VOCABULARY
    )
    assert answer.endpoints == (
        model.Endpoint(1.0, 1, 1_700_000_000_000_000, 0, 0, "s-0001", model.EndpointState.READY),
    )
    assert len(answer.errors) == 5 and answer.unreadable == {"s-0002", "s-0003", "s-0004", "s-0005"}
    for unusable in (
        [],
        {},
        {"generation": -1, "reset": True, "instances": []},
        {"generation": 1, "instances": []},
        {"generation": 1, "reset": True, "instances": {}},
    ):
        with pytest.raises(ValueError):
            parse_discovery_answer(unusable, VOCABULARY)
