"""Tests of the director's internal state, which scenarios cannot observe."""

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


def started_director():
    director = Director()
    commands = director.step(
        0,
        [
            model.Started(1, SETTINGS),
            model.EndpointUpdate(model.UpdateKind.CACHED, SERVERS, 1),
            model.ProxyJoined(1, True, 5.0, 0),
        ],
    )
    (nonce,) = [command.nonce for command in commands if type(command) is model.RequestAcknowledgement]
    return director, nonce


def test_lines_of_a_proxy_that_rejoins_without_having_left_still_count_as_waiting():
    """Guards against exceeding the queue limit after a proxy rejoins without a notice that it had left.

    After a gap in the events, a proxy is reported as joining again although its stream may never have ended.
    Its earlier lines are still in the channel; when they were not counted, the same number was sent again.
    """
    director, _ = started_director()
    lines = director.publisher.queue.waiting
    assert lines > 0
    commands = director.step(100_000, [model.ProxyJoined(1, False, 5.0, 0)])
    assert director.publisher.queue.waiting == 2 * lines
    (nonce,) = [command.nonce for command in commands if type(command) is model.RequestAcknowledgement]
    director.step(400_000, [model.Acknowledged(1, nonce, 0)])
    assert director.publisher.queue.waiting == 0, (
        "acknowledging the later message acknowledges the earlier one, too"
    )


def test_lines_of_a_proxy_that_left_no_longer_count_as_waiting():
    director, nonce = started_director()
    director.step(100_000, [model.ProxyLeft(1)])
    assert director.publisher.queue.waiting == 0
    director.step(200_000, [model.Acknowledged(1, nonce, 0)])
    assert director.publisher.queue.waiting == 0


def replace_server(director, now, old, new):
    """Drain and remove a server, and add another; returns the time afterwards and the director's commands."""

    def endpoint_update(name, state, started):
        return model.EndpointUpdate(
            model.UpdateKind.DELTA, (model.Endpoint(1.0, 0, started, 0, 0, name, state),), 2
        )

    given = []
    for update in (
        endpoint_update(old, model.EndpointState.DRAINING, 0),
        endpoint_update(old, model.EndpointState.GONE, 0),
        endpoint_update(new, model.EndpointState.READY, now),
    ):
        commands = director.step(now, [update, model.TimerFired(0)])
        acknowledgements = [
            model.Acknowledged(1, command.nonce, 0)
            for command in commands
            if type(command) is model.RequestAcknowledgement
        ]
        given += commands + director.step(now + 300_000, acknowledgements)
        now += 1_000_000
    return now, given


def test_gone_servers_are_forgotten_but_remembered_as_withdrawn(monkeypatch):
    """Guards against steps that take longer with each replaced server.

    Two thousand replaced servers made each step four times as slow, so the state of gone servers is deleted.
    The relay keeps these servers withdrawn; one that returns under its old id has to be readmitted, or no
    proxy would use it again.
    """
    monkeypatch.setattr(endpoint_list, "FORGOTTEN_MAX", 20)
    director, nonce = started_director()
    now, given = 1_000_000, director.step(500_000, [model.Acknowledged(1, nonce, 0)])
    for number in range(100):
        now, given = replace_server(
            director, now, "abcd"[number] if number < 4 else f"s{number - 4}", f"s{number}"
        )
        assert len(director.fleet.servers) <= 4 + 1 + endpoint_list.FORGET_TICKS
    assert len(director.endpoint_list.forgotten) == 20
    last = list(director.endpoint_list.forgotten)[-1]
    now, given = replace_server(director, now, "s98", last)
    for _ in range(12):
        now += 1_000_000
        commands = director.step(now, [model.TimerFired(0)])
        given += commands
        director.step(
            now + 300_000,
            [
                model.Acknowledged(1, command.nonce, 0)
                for command in commands
                if type(command) is model.RequestAcknowledgement
            ],
        )
    assert model.SetWithdrawn(last, False) in given and last not in director.endpoint_list.forgotten
