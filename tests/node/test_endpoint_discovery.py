"""Parsing of discovery's responses."""

import pytest

from rainpick import model
from rainpick.node.endpoint_discovery import parse_discovery_response
from tests.node.platform_stubs import VOCABULARY, entry


def test_invalid_entries_are_skipped_and_invalid_responses_rejected():
    unreadable = [
        entry(2, zone="nowhere"),
        entry(3, weight=-1),
        entry(4, state="Broken"),
        entry(5, startedAtMs=None),
        7,
    ]
    readable = entry(1, started_ms=1_700_000_000_000)
    response = parse_discovery_response(
        {"generation": 41, "reset": True, "instances": [readable, *unreadable]}, VOCABULARY
    )
    assert response.endpoints == (
        model.Endpoint(1.0, 1, 1_700_000_000_000_000, 0, 0, "s-0001", model.EndpointState.READY),
    )
    assert len(response.errors) == 5 and response.unreadable == {"s-0002", "s-0003", "s-0004", "s-0005"}
    for unusable in (
        [],
        {},
        {"generation": -1, "reset": True, "instances": []},
        {"generation": 1, "instances": []},
        {"generation": 1, "reset": True, "instances": {}},
    ):
        with pytest.raises(ValueError):
            parse_discovery_response(unusable, VOCABULARY)
