"""The director's copy of the endpoint list."""

from rainpick import model
from rainpick.node import endpoint_list
from rainpick.node.endpoint_discovery import parse_discovery_response
from rainpick.node.endpoint_list import EndpointList
from tests.node.platform_stubs import VOCABULARY, entry


def response(full, *entries, version=1):
    return parse_discovery_response(
        {"generation": version, "reset": full, "instances": list(entries)}, VOCABULARY
    )


def test_an_invalid_entry_of_a_full_list_does_not_remove_its_endpoint():
    """Guards against withdrawing a healthy server because its entry is malformed."""
    endpoints = EndpointList()
    endpoints.apply(response(True, entry(1), entry(2)), model.UpdateKind.CACHED)
    update = endpoints.apply(response(True, entry(1), entry(2, weight="x"), entry(3, weight="x")))
    assert update.kind == model.UpdateKind.FULL
    assert [endpoint.address for endpoint in update.endpoints] == ["s-0001", "s-0002"]
    assert endpoints.is_known("s-0002") and not endpoints.is_known("s-0003")


def test_changes_are_applied_and_departed_endpoints_stay_known():
    endpoints = EndpointList()
    endpoints.apply(response(True, entry(1), entry(2)))
    update = endpoints.apply(response(False, entry(1, "Gone"), entry(3), version=2))
    assert update.kind == model.UpdateKind.DELTA and update.version == endpoints.version == 2
    assert sorted(endpoints.entries) == ["s-0002", "s-0003"]
    assert endpoints.is_known("s-0001"), "its last load reports arrive late"
    endpoints.apply(response(True, entry(1)))
    assert sorted(endpoints.entries) == ["s-0001"]


def test_remembered_departed_endpoints_are_bounded(monkeypatch):
    """Guards against unlimited growth when servers are replaced throughout a long day."""
    monkeypatch.setattr(endpoint_list, "DEPARTED_LIMIT", 10)
    endpoints = EndpointList()
    for number in range(100):
        endpoints.apply(response(False, entry(number)))
        endpoints.apply(response(False, entry(number, "Gone")))
    assert not endpoints.entries and len(endpoints.departed) == 10
    assert endpoints.is_known(entry(99)["instanceId"]) and not endpoints.is_known(entry(0)["instanceId"])
