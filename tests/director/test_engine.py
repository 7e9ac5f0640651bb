"""The engine under a virtual clock: proxies receive their lines, and the channel keeps its limits."""

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.channel import PACE_TOLERANCE_US
from tests.director.engine_driver import Drive, server


def test_joined_proxy_receives_its_whole_table_and_drops_earlier_servers():
    """Guards against a proxy that keeps a server from before it joined which is not in its table."""
    drive = Drive()
    drive.join(1, standing=[("127.0.0.1", 9001), ("127.0.0.1", 7777)])
    drive.run(0.1)
    assert drive.open_lines(1) == dict.fromkeys(range(4), 4096) and drive.is_up_to_date(1)


def test_channel_does_not_exceed_its_pace():
    """Guards against bursts: within any interval the channel sends no more lines than its pace allows."""
    drive = Drive("channel: {lines_per_s: 200, head_lines: 6, pending_lines: 5000}")
    for number in range(30):
        drive.join(number)
    drive.run(20)
    messages = [(now, len(message.delta.lines) + 6) for now, message in drive.messages]
    for index, (first, _) in enumerate(messages):
        for last in range(index + 1, len(messages)):
            lines = sum(lines for _, lines in messages[index:last])
            assert messages[last][0] - first >= lines * 5_000 - 2 * PACE_TOLERANCE_US


def test_blocked_proxy_does_not_delay_other_proxies():
    """Guards against a slow proxy that holds up the others, or is sent outdated lines afterwards."""
    drive = Drive()
    for number in range(3):
        drive.join(number)
    drive.run(1)
    drive.engine.set_blocked(1, True)
    drive.update_endpoints(server(2, model.EndpointState.DRAINING))
    drive.run(1)
    assert 2 not in drive.open_lines(0) and 2 not in drive.open_lines(2) and 2 in drive.open_lines(1)
    drive.update_endpoints(server(3, model.EndpointState.DRAINING))
    drive.run(1)
    drive.engine.set_blocked(1, False)
    start = len(drive.messages)
    drive.run(0.1)
    # The pending changes are sent as one message with the newest state, not one after another.
    assert [len(message.delta.lines) for _, message in drive.messages[start:]] == [2] and drive.is_up_to_date(
        1
    )


def test_merged_messages_are_acknowledged_on_delivery_only():
    """Guards against acknowledging nonces before delivery, or losing those of merged messages."""
    drive = Drive()
    drive.confirms_delivery[1] = False
    drive.join(1)
    drive.run(1)
    director = drive.engine.stepper.director
    assert director.publisher.queue.waiting > 0
    drive.update_endpoints(server(0, model.EndpointState.DRAINING))
    drive.run(1)
    assert director.publisher.queue.waiting > 8
    drive.engine.confirm_delivery(1, drive.messages[-1][1].number)
    drive.run(0.1)
    assert director.publisher.queue.waiting == 0


def test_channel_limits_messages_to_a_proxy_independently_of_the_commands():
    """Guards against a limit on messages to a proxy that only ``Director`` keeps."""

    class ChangingDirector(Director):
        """Changes a weight in every step, so that only the channel can keep the limit."""

        def step(self, now, events):
            commands = super().step(now, events)
            self.step_count = getattr(self, "step_count", 0) + 1
            return [*commands, model.SetWeight(0, ("127.0.0.1", 9000), 1 + self.step_count % 3)]

    drive = Drive('channel: {messages_most: 4, messages_over: "10s"}', director_factory=ChangingDirector)
    drive.join(1)
    for _ in range(400):
        drive.run(0.1)
    send_times = [now for now, _ in drive.messages]
    assert len(send_times) > 8
    assert all(sum(now - 10_000_000 < earlier <= now for earlier in send_times) <= 4 for now in send_times)


def test_server_added_drained_and_removed_in_one_batch_receives_no_weight():
    """Guards against sending a state of a server that is outdated when the step ends."""
    drive = Drive()
    drive.join(1)
    drive.run(1)
    for state in (model.EndpointState.READY, model.EndpointState.DRAINING, model.EndpointState.GONE):
        drive.update_endpoints(server(9, state, started_us=drive.now))
    drive.run(5)
    assert 9 not in drive.open_lines(1) and drive.is_up_to_date(1)


def test_slow_start_raises_the_weight_steadily_to_the_exact_ratio():
    """Guards against steps of a slow start that the conversion to 16 bits rounds away or reverses."""
    drive = Drive('rules: {warm_after: "12s", start_capacity: 0.16}, fleet: {weight_most: 64}')
    drive.join(1)
    drive.run(1)
    drive.update_endpoints(server(9, weight=0.5, started_us=drive.now))
    ratios = []
    for _ in range(16):
        drive.run(1)
        lines = drive.open_lines(1)
        ratios.append(lines.get(9, 0) / lines[0])
    assert ratios == sorted(ratios) and 0 < ratios[0] < 0.15 and ratios[-1] == 0.5


def test_polling_proxy_receives_the_same_lines_as_a_pushed_one():
    """Guards against a poll that misses changes or leaves nonces without acknowledgement."""
    drive = Drive()
    drive.join(1)
    drive.join(2)
    drive.engine.set_blocked(2, True)  # it polls
    drive.run(1)
    drive.update_endpoints(server(1, model.EndpointState.DRAINING))
    drive.run(1)
    number, delta = drive.engine.poll(2)
    assert {line.server: (line.weight, line.flags) for line in delta.lines} == drive.held_lines[1]
    drive.engine.confirm_delivery(2, number)
    drive.run(0.1)
    assert drive.engine.stepper.director.publisher.queue.waiting == 0


ACTIONS = st.sampled_from(
    ["drain", "ready", "gone", "new", "join", "left", "block", "unblock", "deaf", "poll"]
)


@given(st.lists(st.tuples(ACTIONS, st.integers(0, 5), st.integers(0, 1500)), max_size=60))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_every_proxy_converges_to_its_table_after_any_sequence_of_actions(actions):
    """Guards against lines or acknowledgements that are lost when actions overlap.

    Servers and proxies come and go, sockets block, and deliveries are not confirmed for a while.
    """
    drive = Drive("channel: {lines_per_s: 400, head_lines: 3, pending_lines: 300}", servers=6)
    random_source, blocked = random.Random(5), set()
    for number in range(3):
        drive.join(number, standing=[("127.0.0.1", 9000 + number)])
    for action, target, wait_ms in actions:
        joined = target in drive.held_lines
        if action in ("drain", "ready", "gone", "new"):
            state = {"drain": model.EndpointState.DRAINING, "gone": model.EndpointState.GONE}.get(
                action, model.EndpointState.READY
            )
            drive.update_endpoints(server(target, state, started_us=drive.now if action == "new" else 0))
        elif action == "join":
            drive.join(target, standing=[("127.0.0.1", 9000 + random_source.randrange(6))])
            blocked.discard(target)
        elif joined and action == "left":
            drive.leave(target)
            blocked.discard(target)
        elif joined and action in ("block", "unblock"):
            drive.engine.set_blocked(target, action == "block")
            (blocked.add if action == "block" else blocked.discard)(target)
        elif joined and action == "deaf":
            drive.confirms_delivery[target] = not drive.confirms_delivery[target]
        elif joined and action == "poll":
            _, delta = drive.engine.poll(target)
            for line in delta.lines:
                drive.held_lines[target].pop(line.server, None)
                if line.weight or line.flags & 0x80:
                    drive.held_lines[target][line.server] = line.weight, line.flags
        drive.run_until(drive.now + wait_ms * 1000)
    for number in drive.held_lines:
        drive.engine.set_blocked(number, False)
        drive.confirms_delivery[number] = True
        drive.engine.confirm_delivery(number, 1 << 40)
    drive.run(30)
    assert all(drive.is_up_to_date(number) for number in drive.held_lines)
    assert drive.engine.channel.lines == 0 and not drive.engine.channel.waiting
    assert drive.engine.stepper.director.publisher.queue.waiting == 0


class ScriptedDirector:
    """Returns the commands in ``commands`` in its next step, and collects the events it receives."""

    def __init__(self):
        self.commands, self.received_events = [], []

    def step(self, now, events):
        self.received_events += events
        commands, self.commands = self.commands, []
        return commands


def test_drain_overtakes_other_pending_messages():
    """Guards against a withdrawal that waits behind ordinary messages.

    Table 1 is given many lines. Then a server of table 0 drains, whose proxies have no pending messages.
    """
    drive = Drive(
        "channel: {lines_per_s: 100, head_lines: 6, pending_lines: 5000}", director_factory=ScriptedDirector
    )
    director = drive.engine.stepper.director
    for number in range(8):
        drive.join(number)
    addresses = [("127.0.0.1", 9000 + port) for port in range(40)]
    director.commands = [model.SetWeight(0, address, 1.0) for address in addresses[:2]]
    director.commands += [model.BindProxy(number // 4, 0, number) for number in range(8)]
    drive.run(5)
    start = len(drive.messages)
    drive.update_endpoints(server(5))
    director.commands = [model.SetWeight(1, address, 1.0) for address in addresses[2:]]
    drive.run_engine()
    drive.update_endpoints(server(0, model.EndpointState.DRAINING))
    director.commands = [model.SetWithdrawn(addresses[0], True)]
    drive.run(10)
    proxies = [message.proxy for _, message in drive.messages[start:]]
    assert proxies[0] == 4, "its message was sent before the drain"
    assert proxies[1:5] == [0, 1, 2, 3] and sorted(proxies[5:]) == [5, 6, 7]


def test_nonce_without_new_lines_is_acknowledged_with_the_earlier_message():
    """Guards against acknowledging a nonce before the earlier message with the same lines is delivered."""
    drive = Drive(director_factory=ScriptedDirector)
    director, address = drive.engine.stepper.director, ("127.0.0.1", 9000)
    drive.join(1)
    drive.confirms_delivery[1] = False
    director.commands = [
        model.SetWeight(0, address, 1.0),
        model.BindProxy(0, 0, 1),
        model.RequestAcknowledgement(1, False),
    ]
    drive.run(0.1)
    director.commands = [
        model.SetWeight(0, address, 1.0 + 1e-9),
        model.RequestAcknowledgement(2, False),
    ]  # the same weight in 16 bits
    drive.update_endpoints(server(0))
    drive.run(0.1)
    acknowledged = [event.nonce for event in director.received_events if type(event) is model.Acknowledged]
    assert acknowledged == [] and len(drive.messages) == 1
    drive.engine.confirm_delivery(1, 1)
    drive.run(0.1)
    assert [event.nonce for event in director.received_events if type(event) is model.Acknowledged] == [1, 2]


def test_a_proxy_that_applies_no_table_does_not_take_the_channel_from_the_others():
    """Guards against sending whole tables as fast as a proxy reports faults: the others' lines then wait."""
    drive = Drive("channel: {lines_per_s: 200, head_lines: 6, pending_lines: 5000}")
    for number in range(10):
        drive.join(number)
    drive.run(20)
    start, begin_us = len(drive.messages), drive.now
    while drive.now < begin_us + 10_000_000:
        drive.engine.invalidate_snapshot(0)
        drive.run(0.05)
    lines = [len(message.delta.lines) + 6 for _, message in drive.messages[start:] if message.proxy == 0]
    assert lines and sum(lines) <= 10 * 200 / 10 + max(lines), "its share of the channel"
    assert drive.is_up_to_date(0)


def test_faults_that_are_reported_again_and_again_count_the_whole_table_once():
    """Guards against a length of the queue that grows with each fault while the proxy takes no message."""
    drive = Drive()
    drive.join(0)
    drive.run(1)
    drive.engine.set_blocked(0, True)
    for _ in range(50):
        drive.engine.invalidate_snapshot(0)
        drive.run(0.2)
    assert drive.engine.channel.lines <= 1 + len(drive.held_lines[0]) + drive.engine.channel.head_lines
    drive.engine.set_blocked(0, False)
    start = len(drive.messages)
    drive.run(1)
    assert [len(message.delta.lines) for _, message in drive.messages[start:]] == [4]
    assert drive.engine.channel.lines == 0


SLOW_CHANNEL = "channel: {lines_per_s: 100, head_lines: 6, pending_lines: 400}"


def test_proxies_that_poll_do_not_keep_the_channel_from_the_others():
    """Guards against lines of proxies that have not polled yet: they were counted as a full channel."""
    drive = Drive(SLOW_CHANNEL, servers=12)
    for number in range(20):
        drive.join(number)
        drive.engine.set_blocked(number, True)
    drive.join(20)
    drive.run(6)  # an update interval for each proxy
    assert set(drive.open_lines(20)) == set(range(12))
    drive.update_endpoints(server(0, model.EndpointState.DRAINING))
    drive.run(1)
    assert 0 not in drive.open_lines(20)


def test_proxies_that_can_receive_nothing_do_not_keep_the_channel_from_the_others():
    """Guards against lines that were queued before the proxy's socket stalled."""
    drive = Drive(SLOW_CHANNEL, servers=12)
    for number in range(20):
        drive.join(number)
    drive.run_engine()
    for number in range(20):
        drive.engine.set_blocked(number, True)
    drive.run(6)
    channel = drive.engine.stepper.director.channel()
    assert channel.unbound == 0 == channel.waiting


def test_proxies_whose_hosts_have_vanished_do_not_keep_the_channel_from_the_others():
    """Guards against messages that stay counted until TCP gives up, many minutes later."""
    drive = Drive(SLOW_CHANNEL, servers=12)
    for number in range(20):
        drive.confirms_delivery[number] = False
        drive.join(number)
    drive.run(drive.settings.sasp.write_stall / 1e6)
    drive.join(20, rate=100.0)
    drive.run(2 * drive.settings.sasp.write_stall / 1e6)
    assert set(drive.open_lines(20)) == set(range(12))
