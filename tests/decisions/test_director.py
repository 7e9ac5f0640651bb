"""What the module reckons and no scenario can see."""

from rainpick import model
from rainpick.decisions import endpoint_list
from rainpick.decisions.director import Director

SETTINGS = {
    "routes.count": 1,
    "routes.0.slo_time_us": 500_000,
    "proxies.head": 6,
    "proxies.pending_max": 1000,
    "proxies.lines_per_s": 1000,
    "rules.drain_grace_us": 2_000_000,
}
SERVERS = tuple(model.Endpoint(1.0, 0, 0, 0, 0, name, model.EndpointState.READY) for name in "abcd")


def begun():
    director = Director()
    orders = director.step(
        0,
        [
            model.Started(1, SETTINGS),
            model.EndpointUpdate(model.UpdateKind.CACHED, SERVERS, 1),
            model.ProxyJoined(1, True, 5.0, 0),
        ],
    )
    (mark,) = [order.nonce for order in orders if type(order) is model.RequestAcknowledgement]
    return director, mark


def test_lines_of_a_proxy_that_joins_again_unseen_still_wait():
    """After a break in the news a proxy is told as joining anew, though its stream may never have ended: what
    it was written is in the channel yet. Counted as gone, as much again was ordered, over the queue's end."""
    director, _ = begun()
    once = director.publisher.queue.waiting
    assert once > 0
    orders = director.step(100_000, [model.ProxyJoined(1, False, 5.0, 0)])
    assert director.publisher.queue.waiting == 2 * once
    (mark,) = [order.nonce for order in orders if type(order) is model.RequestAcknowledgement]
    director.step(400_000, [model.Acknowledged(1, mark, 0)])
    assert director.publisher.queue.waiting == 0, "the answer to the later message is one to the earlier, too"


def test_lines_of_a_proxy_that_left_wait_no_more():
    director, mark = begun()
    director.step(100_000, [model.ProxyLeft(1)])
    assert director.publisher.queue.waiting == 0
    director.step(200_000, [model.Acknowledged(1, mark, 0)])
    assert director.publisher.queue.waiting == 0


def replaced(director, now, old, new):
    """A server drains, is gone, and another one takes its place; the clock after a tick or so."""

    def listed(name, state, started):
        return model.EndpointUpdate(
            model.UpdateKind.DELTA, (model.Endpoint(1.0, 0, started, 0, 0, name, state),), 2
        )

    found = []
    for change in (
        listed(old, model.EndpointState.DRAINING, 0),
        listed(old, model.EndpointState.GONE, 0),
        listed(new, model.EndpointState.READY, now),
    ):
        orders = director.step(now, [change, model.TimerFired(0)])
        marks = [
            model.Acknowledged(1, order.nonce, 0)
            for order in orders
            if type(order) is model.RequestAcknowledgement
        ]
        found += orders + director.step(now + 300_000, marks)
        now += 1_000_000
    return now, found


def test_servers_long_gone_are_forgotten_but_for_being_shut_out(monkeypatch):
    """Two thousand replaced servers made each step four times as dear; the relay keeps them shut out, so one
    that comes back under its old id has to be readmitted, or nobody would ever use it again."""
    monkeypatch.setattr(endpoint_list, "FORGOTTEN_MAX", 20)
    director, mark = begun()
    now, found = 1_000_000, director.step(500_000, [model.Acknowledged(1, mark, 0)])
    for number in range(100):
        now, found = replaced(director, now, "abcd"[number] if number < 4 else f"s{number - 4}", f"s{number}")
        assert len(director.fleet.servers) <= 4 + 1 + endpoint_list.FORGET_TICKS
    assert len(director.endpoint_list.forgotten) == 20
    last = list(director.endpoint_list.forgotten)[-1]
    now, found = replaced(director, now, "s98", last)
    for _ in range(12):
        now += 1_000_000
        orders = director.step(now, [model.TimerFired(0)])
        found += orders
        director.step(
            now + 300_000,
            [
                model.Acknowledged(1, order.nonce, 0)
                for order in orders
                if type(order) is model.RequestAcknowledgement
            ],
        )
    assert model.SetWithdrawn(last, False) in found and last not in director.endpoint_list.forgotten
