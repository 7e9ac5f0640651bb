"""One director takes over all proxies during a release: drains are kept and the queue stays short.

Played on the decision module in virtual time, see ``day.py``. Full size is as the operators' fleet, its
settings those of one deployment; the small one is the same shape with a third of the grace.
"""

import pytest

from tests.takeover.day import Day, Shape, Wave

SECOND = 1_000_000
MARGIN = 0.9  # of the grace and of the queue: a tenth is to spare

SMALL = Shape(
    proxies=300,
    servers=60,
    zones=2,
    pace=1250.0,
    pending=7200.0,
    grace_us=6 * SECOND,
    late_us=60_000,
    killed_us=4 * SECOND,
    redial_us=600_000,
    end_us=13 * SECOND,
    list_every_us=200_000,
    waves=tuple(
        Wave(int(at * SECOND), servers, 1_300_000) for at, servers in ((3.0, 9), (3.6, 9), (4.3, 9), (5.1, 3))
    ),
)


@pytest.mark.parametrize("seed", range(1, 7))
def test_drains_are_kept_with_a_tenth_to_spare(seed):
    outcome = Day(SMALL.replace(seed=seed)).play()
    assert outcome.late == outcome.unsent == 0, outcome
    assert outcome.drain_most <= MARGIN and outcome.queue_most <= MARGIN, outcome
    assert outcome.unbound == 0 and outcome.bare_us == 0, outcome


def test_drains_are_kept_in_full_size():
    outcome = Day(Shape()).play()
    assert outcome.late == outcome.unsent == 0, outcome
    assert outcome.drain_most <= MARGIN and outcome.queue_most <= MARGIN, outcome
    assert outcome.unbound == 0 and outcome.bare_us == 0, outcome
