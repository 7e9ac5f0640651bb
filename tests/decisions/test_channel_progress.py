"""Lost acknowledgements, in virtual time: every count is right again in the end; the queue limit holds."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rainpick import model
from rainpick.decisions.channel_progress import (
    AcknowledgementsMayBeLost,
    ChannelProgress,
    TransmissionResumed,
    TransmissionSuspended,
)
from tests.decisions.test_retransmission import LINES_PER_S, NAMES, Fleet

SLOWEST = 8  # the bench's channels are up to this many times slower than their ordinary pace
GRACE_US = 2_700_000


class LossyFleet(Fleet):
    """Loses the acknowledgements of some spans of time; after each, the proxies may be listed anew."""

    def __init__(self, proxies: int, slowness: float = 1.0, losses: tuple[tuple[int, int, bool], ...] = ()):
        super().__init__(proxies, 0, [])
        self.channel.lines_per_s = LINES_PER_S / slowness
        self.losses = losses
        self.scheduled.insert(0, (0, -1, lambda: None))
        self.receive(AcknowledgementsMayBeLost())
        for _, end_us, is_listed_anew in losses:
            if is_listed_anew:
                self.schedule(end_us, self.list_anew)

    def list_anew(self) -> None:
        joins = (model.ProxyJoined(proxy, False, 10.0, proxy % 2) for proxy in self.channel.joined)
        self.receive(*joins)

    def apply(self, message) -> None:
        is_lost = any(begin_us <= self.now < end_us for begin_us, end_us, _ in self.losses)
        if not is_lost:
            super().apply(message)
            return
        for change in message.changes:
            change(self.channel.joined[message.proxy])

    def unbound(self) -> int:
        return self.stepper.director.channel().unbound


def drawn_losses(draw: random.Random) -> tuple[tuple[int, int, bool], ...]:
    losses, begin_us = [], 0
    for _ in range(draw.randrange(1, 4)):
        begin_us += draw.randrange(3_000_000)
        end_us = begin_us + draw.choice((50_000, 500_000, 2_000_000, 6_000_000))
        losses.append((begin_us, end_us, draw.random() < 0.6))
        begin_us = end_us
    return tuple(losses)


@given(st.integers(0, 2**32), st.sampled_from((8, 60, 150)), st.sampled_from((1.0, 2.0, SLOWEST)))
@hypothesis_settings(max_examples=40, deadline=None, derandomize=True)
def test_counts_are_right_again_after_any_acknowledgements_were_lost(seed, proxies, slowness):
    """Guards against a channel that counts as full for good; ``execute`` checks the queue limit."""
    draw = random.Random(seed)
    losses = drawn_losses(draw)
    fleet = LossyFleet(proxies, slowness, losses)
    drained = draw.sample(NAMES, 4)
    for name in drained:
        fleet.schedule(draw.randrange(10_000_000), lambda name=name: fleet.drain(name))
    fleet.run(losses[-1][1] + 60_000_000)
    assert [fleet.users(name) for name in drained] == [0] * len(drained)
    assert fleet.unbound() == 0 and fleet.unacknowledged_lines() == 0


def test_a_drain_is_published_although_no_acknowledgement_ever_arrives():
    """Guards against a full send window that only an acknowledgement can open."""
    fleet = LossyFleet(150, losses=((0, 100_000_000, False),))
    fleet.run(4_000_000)
    fleet.drain(NAMES[0])
    fleet.run(30_000_000)
    assert fleet.users(NAMES[0]) == 0 and fleet.unbound() == 0


def test_drains_keep_the_grace_after_a_silent_stream_of_two_seconds():
    """The limit on drains waits for 4 s if the notifications break off."""
    silence = 300_000, 2_400_000, True
    fleet = LossyFleet(60, losses=(silence,))
    fleet.schedule(400_000, lambda: fleet.drain(NAMES[0]))
    fleet.run(400_000 + GRACE_US + 4_000_000)
    assert fleet.users(NAMES[0]) == 0 and fleet.unbound() == 0


def test_acknowledgements_are_waited_for_unless_they_may_be_lost():
    """Guards against lines that expire where each acknowledgement arrives, however late."""
    fleet = Fleet(8, 0, [])
    fleet.apply = lambda message: None
    fleet.run(1_000_000)
    waiting = fleet.unacknowledged_lines()
    fleet.stepper.director.publisher.queue.replies.clear()  # as after very many newer replies
    fleet.run(60_000_000)
    assert fleet.unacknowledged_lines() == waiting > 0


def test_no_progress_is_assumed_while_calls_do_not_reach_the_channel():
    """Guards against writing more lines than the queue may hold, sent together when the relay is back."""
    fleet = LossyFleet(150)
    fleet.run(5_000_000)
    fleet.receive(TransmissionSuspended())
    fleet.execute = lambda nonce, commands: None
    fleet.list_anew()
    fleet.run(6_000_000)
    waiting = fleet.unacknowledged_lines()
    fleet.run(60_000_000)
    assert fleet.unacknowledged_lines() == waiting > 0 and fleet.unbound() > 0
    fleet.receive(TransmissionResumed())
    fleet.run(90_000_000)
    assert fleet.unacknowledged_lines() == 0 == fleet.unbound()


def test_progress_is_assumed_ever_more_slowly_and_never_beyond_what_was_written():
    progress = ChannelProgress(lines_per_us=0.001, timeout_us=1_000_000, first_lines=1_000)
    progress.assume_losses()
    progress.start(100)
    positions = []
    for now in range(0, 10_000_001, 1_000_000):
        progress.advance(now, total=1_900)
        positions.append(progress.position)
    assert positions == [100, 100, 1_100, 1_225, 1_350, 1_475, 1_600, 1_725, 1_850, 1_900, 1_900]
    assert progress.overdue_position() == 1_900
