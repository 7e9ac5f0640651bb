"""Delivery to proxies: what becomes of a stalled stream."""

from types import SimpleNamespace

from rainpick.director.delivery import Delivery


def test_a_stalled_stream_whose_proxy_said_that_it_is_gone_is_not_retried():
    """Over MQTT a proxy may end its session and keep its stream: the next turn failed on the session."""
    sessions = SimpleNamespace(streams={7: object()}, by_stream={}, closing_listeners=[])
    delivery = Delivery(SimpleNamespace(), sessions)
    delivery.stalled.add(7)
    delivery.poll(0)
    assert not delivery.stalled
