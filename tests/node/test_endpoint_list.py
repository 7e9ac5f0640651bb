"""What the director holds of the endpoint list between two answers of discovery."""

from rainpick import model
from rainpick.node import endpoint_list
from rainpick.node.endpoint_discovery import parse_discovery_answer
from rainpick.node.endpoint_list import EndpointList
from tests.node.platform_stubs import VOCABULARY, entry


def answer(full, *entries, version=1):
    return parse_discovery_answer(
        {"generation": version, "reset": full, "instances": list(entries)}, VOCABULARY
    )


def test_an_unreadable_entry_of_a_full_list_does_not_remove_its_endpoint():
    """It was as if the server had been removed: a malformed line would have withdrawn a healthy server."""
    endpoints = EndpointList()
    endpoints.apply(answer(True, entry(1), entry(2)), model.UpdateKind.CACHED)
    update = endpoints.apply(answer(True, entry(1), entry(2, weight="x"), entry(3, weight="x")))
    assert update.kind == model.UpdateKind.FULL
    assert [endpoint.address for endpoint in update.endpoints] == ["s-0001", "s-0002"]
    assert endpoints.knows("s-0002") and not endpoints.knows("s-0003")


def test_changes_and_departed_endpoints():
    endpoints = EndpointList()
    endpoints.apply(answer(True, entry(1), entry(2)))
    update = endpoints.apply(answer(False, entry(1, "Gone"), entry(3), version=2))
    assert update.kind == model.UpdateKind.DELTA and update.version == endpoints.version == 2
    assert sorted(endpoints.entries) == ["s-0002", "s-0003"]
    assert endpoints.knows("s-0001"), "its last reports come late"
    endpoints.apply(answer(True, entry(1)))
    assert sorted(endpoints.entries) == ["s-0001"]


def test_remembered_departed_endpoints_are_bounded(monkeypatch):
    """On a long day servers are replaced by new ones all day."""
    monkeypatch.setattr(endpoint_list, "DEPARTED_LIMIT", 10)
    endpoints = EndpointList()
    for number in range(100):
        endpoints.apply(answer(False, entry(number)))
        endpoints.apply(answer(False, entry(number, "Gone")))
    assert not endpoints.entries and len(endpoints.departed) == 10
    assert endpoints.knows(entry(99)["instanceId"]) and not endpoints.knows(entry(0)["instanceId"])
