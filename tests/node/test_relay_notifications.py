"""Parsing of the relay's lines and notifications."""

import json

import pytest

from rainpick import model
from rainpick.node.line_reader import LINE_LIMIT, LineReader
from rainpick.node.message_fields import MalformedMessageError
from rainpick.node.relay_notifications import Ping, parse_notification
from tests.node.platform_stubs import VOCABULARY


def test_a_line_over_the_limit_is_an_error():
    lines = LineReader()
    assert lines.receive(b"a\n\nb") == [b"a"] and lines.receive(b"c\n") == [b"bc"]
    with pytest.raises(ValueError, match="line exceeds"):
        lines.receive(b"x" * (LINE_LIMIT + 1))


def parse(method, **params):
    return parse_notification(
        json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode(), VOCABULARY
    )


def test_notifications_become_events():
    assert parse("attach", node=3, locality="b", w=21.5, cold=True) == model.ProxyJoined(3, True, 21.5, 1)
    assert parse("detach", node=3) == model.ProxyLeft(3)
    assert parse("done", node=3, nonce=905, latency=310.4) == model.Acknowledged(3, 905, 310_400)
    assert parse_notification(b'{"jsonrpc":"2.0","method":"ping"}', VOCABULARY) == Ping()


@pytest.mark.parametrize(
    "method,params",
    [
        ("attach", {"node": 6, "locality": "a", "w": 1.0, "cold": True}),
        ("attach", {"node": 1, "locality": "c", "w": 1.0, "cold": True}),
        ("attach", {"node": 1, "locality": "a", "w": -1.0, "cold": True}),
        ("attach", {"node": 1, "locality": "a", "w": 1.0}),
        ("done", {"node": 1, "nonce": 65536, "latency": 1.0}),
        ("done", {"node": 1, "nonce": 5}),
        ("detach", {}),
        ("owner", {"node": 1}),
    ],
)
def test_malformed_notifications_are_rejected(method, params):
    with pytest.raises(MalformedMessageError):
        parse(method, **params)
