"""Delivery to proxies: handling of stalled streams."""

from types import SimpleNamespace

from rainpick.director.delivery import Delivery


def test_stalled_stream_is_not_retried_after_its_proxy_announced_its_end():
    """Guards against a failure of ``poll`` on a stalled stream without a session.

    Over MQTT a proxy can end its session and keep its stream open.
    """
    sessions = SimpleNamespace(streams={7: object()}, by_stream={}, closing_listeners=[])
    delivery = Delivery(SimpleNamespace(), sessions)
    delivery.stalled.add(7)
    delivery.poll(0)
    assert not delivery.stalled
