"""Which incomplete messages are given up when they take too much memory together."""

from rainpick.net.buffer_budget import BufferBudget


class Connection:
    """A connection that notes whether it was evicted."""

    def __init__(self):
        self.evicted = False

    def evict(self):
        self.evicted = True


def test_a_peer_whose_messages_are_completed_is_not_the_oldest():
    """Guards against giving up a busy sound peer, which always has the begin of its next message."""
    budget, busy, stalled, newest = BufferBudget(100), Connection(), Connection(), Connection()
    budget.update(busy, 45)
    budget.update(stalled, 45)
    budget.update(busy, 45, is_next=True)
    budget.update(newest, 45)
    assert stalled.evicted and not busy.evicted and not newest.evicted


def test_a_small_message_is_not_given_up_for_large_ones():
    """Guards against giving up a slow sound peer that holds a few bytes only."""
    budget, small, large, newest = BufferBudget(100), Connection(), Connection(), Connection()
    budget.update(small, 1)
    budget.update(large, 70)
    budget.update(newest, 70)
    assert large.evicted and not small.evicted and not newest.evicted
    budget.remove(newest)
    assert budget.total == 1
