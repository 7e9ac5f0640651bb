"""Payloads of the MQTT frontend: rejection of malformed payloads, and type names of the published schema."""

import pytest

from rainpick.publish import payloads


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b'{"kind": "whole"}',
        b'{"kind": "other"}',
        b"\xff" * 9,
        b'{"kind":"whole","epoch":"e","table":70000,"version":1,"digest":"","lines":[]}',
        b'{"kind":"whole","epoch":"e","table":1,"version":1,"digest":"","lines":[["a:1",-1]]}',
        b"[" * 100_000,
    ],
)
def test_payloads_that_do_not_match_the_schema_are_errors(data):
    for decode in (payloads.decode_director_message, payloads.decode_proxy_message):
        with pytest.raises(payloads.PayloadError):
            decode(data)


def test_the_schema_keeps_its_published_type_names():
    assert {"Whole", "Change", "Orders", "Presence", "Trouble", "Met"} <= payloads.schema()["$defs"].keys()


def references(node):
    """Return all references to definitions at any depth of a schema."""
    if isinstance(node, dict):
        return set().union(*map(references, node.values()))
    if isinstance(node, list):
        return set().union(*map(references, node))
    return {node} if isinstance(node, str) and node.startswith("#/") else set()


def test_references_and_titles_of_the_schema_agree_with_its_definitions():
    schema = payloads.schema()
    assert references(schema) == {f"#/$defs/{name}" for name in schema["$defs"]}
    assert all(definition["title"] == name for name, definition in schema["$defs"].items())
