"""What the module reckons and no scenario can see."""

from rainpick import interface as api
from rainpick.balance import Director

SETTINGS = {"routes.count": 1, "routes.0.slo_time_us": 500_000, "proxies.head": 6,
            "proxies.pending_max": 1000, "proxies.lines_per_s": 1000, "rules.drain_grace_us": 2_000_000}
SERVERS = tuple(api.Server(1.0, 0, 0, 0, 0, name, api.READY) for name in "abcd")


def begun():
    director = Director()
    orders = director.step(0, [api.Started(1, SETTINGS), api.Listed(api.CACHED, SERVERS, 1),
                               api.ProxyJoined(1, True, 5.0, 0)])
    mark, = [order.number for order in orders if type(order) is api.Mark]
    return director, mark


def test_lines_of_a_proxy_that_joins_again_unseen_still_wait():
    """After a break in the news a proxy is told as joining anew, though its stream may never have ended: what
    it was written is in the channel yet. Counted as gone, as much again was ordered, over the queue's end."""
    director, _ = begun()
    once = director.waiting
    assert once > 0
    orders = director.step(100_000, [api.ProxyJoined(1, False, 5.0, 0)])
    assert director.waiting == 2 * once
    mark, = [order.number for order in orders if type(order) is api.Mark]
    director.step(400_000, [api.Applied(1, mark, 0)])
    assert director.waiting == 0, "the answer to the later message is one to the earlier, too"


def test_lines_of_a_proxy_that_left_wait_no_more():
    director, mark = begun()
    director.step(100_000, [api.ProxyLeft(1)])
    assert director.waiting == 0
    director.step(200_000, [api.Applied(1, mark, 0)])
    assert director.waiting == 0
