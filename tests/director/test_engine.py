"""The engine under a virtual clock: what is ordered is what proxies hold, at the pace that is allowed."""

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.channel import PACE_TOLERANCE_US
from tests.director.drive import Drive, server


def test_a_joined_proxy_gets_the_whole_table_and_loses_what_it_had():
    drive = Drive()
    drive.join(1, standing=[("127.0.0.1", 9001), ("127.0.0.1", 7777)])
    drive.run(0.1)
    assert drive.open_lines(1) == dict.fromkeys(range(4), 4096) and drive.exact(1)


def test_the_channel_keeps_its_pace():
    drive = Drive("channel: {lines_per_s: 200, head_lines: 6, pending_lines: 5000}")
    for number in range(30):
        drive.join(number)
    drive.run(20)
    moments = [(now, len(write.delta.lines) + 6) for now, write in drive.writes]
    for place, (first, _) in enumerate(moments):
        for last in range(place + 1, len(moments)):
            lines = sum(lines for _, lines in moments[place:last])
            assert moments[last][0] - first >= lines * 5_000 - 2 * PACE_TOLERANCE_US


def test_a_blocked_proxy_delays_nobody_else():
    drive = Drive()
    for number in range(3):
        drive.join(number)
    drive.run(1)
    drive.engine.set_blocked(1, True)
    drive.listed(server(2, model.EndpointState.DRAINING))
    drive.run(1)
    assert 2 not in drive.open_lines(0) and 2 not in drive.open_lines(2) and 2 in drive.open_lines(1)
    drive.listed(server(3, model.EndpointState.DRAINING))
    drive.run(1)
    drive.engine.set_blocked(1, False)
    begin = len(drive.writes)
    drive.run(0.1)
    # What waited is one message with the newest state, not the story of it.
    assert [len(write.delta.lines) for _, write in drive.writes[begin:]] == [2] and drive.exact(1)


def test_acknowledgements_come_on_delivery_and_cover_merged_messages():
    drive = Drive()
    drive.reads[1] = False
    drive.join(1)
    drive.run(1)
    module = drive.engine.stepper.director
    assert module.publisher.queue.waiting > 0
    drive.listed(server(0, model.EndpointState.DRAINING))
    drive.run(1)
    assert module.publisher.queue.waiting > 8
    drive.engine.confirm_delivery(1, drive.writes[-1][1].number)
    drive.run(0.1)
    assert module.publisher.queue.waiting == 0


def test_messages_to_a_proxy_stay_within_the_limit_whatever_is_ordered():
    class Talkative(Director):
        """Changes a weight in every step: the channel must keep the limit by itself."""

        def step(self, now, events):
            orders = super().step(now, events)
            self.turns = getattr(self, "turns", 0) + 1
            return [*orders, model.SetWeight(0, ("127.0.0.1", 9000), 1 + self.turns % 3)]

    drive = Drive('channel: {messages_most: 4, messages_over: "10s"}', module=Talkative)
    drive.join(1)
    for _ in range(400):
        drive.run(0.1)
    moments = [now for now, _ in drive.writes]
    assert len(moments) > 8
    assert all(sum(now - 10_000_000 < early <= now for early in moments) <= 4 for now in moments)


def test_a_server_that_comes_drains_and_goes_within_one_batch_is_never_picked():
    drive = Drive()
    drive.join(1)
    drive.run(1)
    for state in (model.EndpointState.READY, model.EndpointState.DRAINING, model.EndpointState.GONE):
        drive.listed(server(9, state, started_us=drive.now))
    drive.run(5)
    assert 9 not in drive.open_lines(1) and drive.exact(1)


def test_a_warming_up_server_gains_weight_and_its_ratio_survives_sixteen_bits():
    drive = Drive('rules: {warm_after: "12s", start_capacity: 0.16}, fleet: {weight_most: 64}')
    drive.join(1)
    drive.run(1)
    drive.listed(server(9, weight=0.5, started_us=drive.now))
    seen = []
    for _ in range(16):
        drive.run(1)
        lines = drive.open_lines(1)
        seen.append(lines.get(9, 0) / lines[0])
    assert seen == sorted(seen) and 0 < seen[0] < 0.15 and seen[-1] == 0.5


def test_a_polling_proxy_holds_the_same_as_one_that_is_pushed_to():
    drive = Drive()
    drive.join(1)
    drive.join(2)
    drive.engine.set_blocked(2, True)  # it asks by itself
    drive.run(1)
    drive.listed(server(1, model.EndpointState.DRAINING))
    drive.run(1)
    number, news = drive.engine.poll(2)
    assert {line.server: (line.weight, line.flags) for line in news.lines} == drive.held[1]
    drive.engine.confirm_delivery(2, number)
    drive.run(0.1)
    assert drive.engine.stepper.director.publisher.queue.waiting == 0


ACTIONS = st.sampled_from(
    ["drain", "ready", "gone", "new", "join", "left", "block", "unblock", "deaf", "poll"]
)


@given(st.lists(st.tuples(ACTIONS, st.integers(0, 5), st.integers(0, 1500)), max_size=60))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_whatever_happens_every_proxy_ends_with_exactly_its_table(story):
    drive = Drive("channel: {lines_per_s: 400, head_lines: 3, pending_lines: 300}", servers=6)
    chance, blocked = random.Random(5), set()
    for number in range(3):
        drive.join(number, standing=[("127.0.0.1", 9000 + number)])
    for action, which, wait_ms in story:
        joined = which in drive.held
        if action in ("drain", "ready", "gone", "new"):
            state = {"drain": model.EndpointState.DRAINING, "gone": model.EndpointState.GONE}.get(
                action, model.EndpointState.READY
            )
            drive.listed(server(which, state, started_us=drive.now if action == "new" else 0))
        elif action == "join":
            drive.join(which, standing=[("127.0.0.1", 9000 + chance.randrange(6))])
            blocked.discard(which)
        elif joined and action == "left":
            drive.left(which)
            blocked.discard(which)
        elif joined and action in ("block", "unblock"):
            drive.engine.set_blocked(which, action == "block")
            (blocked.add if action == "block" else blocked.discard)(which)
        elif joined and action == "deaf":
            drive.reads[which] = not drive.reads[which]
        elif joined and action == "poll":
            _, news = drive.engine.poll(which)
            for line in news.lines:
                drive.held[which].pop(line.server, None)
                if line.weight or line.flags & 0x80:
                    drive.held[which][line.server] = line.weight, line.flags
        drive.until(drive.now + wait_ms * 1000)
    for number in drive.held:
        drive.engine.set_blocked(number, False)
        drive.reads[number] = True
        drive.engine.confirm_delivery(number, 1 << 40)
    drive.run(30)
    assert all(drive.exact(number) for number in drive.held)
    assert drive.engine.channel.lines == 0 and not drive.engine.channel.waiting
    assert drive.engine.stepper.director.publisher.queue.waiting == 0


class Scripted:
    """Gives what it is told to, and keeps what it hears."""

    def __init__(self):
        self.orders, self.heard = [], []

    def step(self, now, events):
        self.heard += events
        orders, self.orders = self.orders, []
        return orders


def test_a_drain_overtakes_everything_else_that_waits():
    """Table 1 is given many lines; then a server of table 0 drains, whose proxies have nothing waiting."""
    drive = Drive("channel: {lines_per_s: 100, head_lines: 6, pending_lines: 5000}", module=Scripted)
    module = drive.engine.stepper.director
    for number in range(8):
        drive.join(number)
    places = [("127.0.0.1", 9000 + port) for port in range(40)]
    module.orders = [model.SetWeight(0, place, 1.0) for place in places[:2]]
    module.orders += [model.BindProxy(number // 4, 0, number) for number in range(8)]
    drive.run(5)
    begin = len(drive.writes)
    drive.listed(server(5))
    module.orders = [model.SetWeight(1, place, 1.0) for place in places[2:]]
    drive.turn()
    drive.listed(server(0, model.EndpointState.DRAINING))
    module.orders = [model.SetWithdrawn(places[0], True)]
    drive.run(10)
    order = [write.proxy for _, write in drive.writes[begin:]]
    assert order[0] == 4, "it was written before"
    assert order[1:5] == [0, 1, 2, 3] and sorted(order[5:]) == [5, 6, 7]


def test_an_acknowledgement_whose_lines_an_earlier_message_carried_comes_with_that_one():
    drive = Drive(module=Scripted)
    module, server_ = drive.engine.stepper.director, ("127.0.0.1", 9000)
    drive.join(1)
    drive.reads[1] = False
    module.orders = [
        model.SetWeight(0, server_, 1.0),
        model.BindProxy(0, 0, 1),
        model.RequestAcknowledgement(1, False),
    ]
    drive.run(0.1)
    module.orders = [
        model.SetWeight(0, server_, 1.0 + 1e-9),
        model.RequestAcknowledgement(2, False),
    ]  # the same in sixteen bits
    drive.listed(server(0))
    drive.run(0.1)
    answered = [event.nonce for event in module.heard if type(event) is model.Acknowledged]
    assert answered == [] and len(drive.writes) == 1
    drive.engine.confirm_delivery(1, 1)
    drive.run(0.1)
    assert [event.nonce for event in module.heard if type(event) is model.Acknowledged] == [1, 2]
