"""One director takes over the proxies of all others during a release.

Guards against binds of these proxies that delay withdrawals past the drain grace or fill the queue. The day
is played on the decisions in virtual time, see ``day.py``. The full-size day has the size of the operators'
fleet and the settings of one deployment; the small one has the same structure, but a third of the drain
grace.
"""

import pytest

from tests.takeover.day import Day, DayConfig, Failure, Wave

SECOND = 1_000_000
FAILURE_SEEDS = range(1, 13)
RULE_SLACK_US = 300_000  # the protocol page adds it to the limit on drains
MARGIN = 0.9  # fraction of the drain grace and of the queue limit that may be used: a tenth is in reserve

SMALL = DayConfig(
    proxies=300,
    servers=60,
    zones=2,
    lines_per_s=1250.0,
    pending_lines_max=7200.0,
    drain_grace_us=6 * SECOND,
    delivery_delay_us=60_000,
    killed_us=4 * SECOND,
    reconnect_us=600_000,
    end_us=13 * SECOND,
    list_interval_us=200_000,
    waves=tuple(
        Wave(int(at * SECOND), servers, 1_300_000) for at, servers in ((3.0, 9), (3.6, 9), (4.3, 9), (5.1, 3))
    ),
)


@pytest.mark.parametrize("seed", range(1, 7))
def test_drains_keep_their_grace_with_a_tenth_in_reserve(seed):
    outcome = Day(SMALL.replace(seed=seed)).play()
    assert outcome.late_drains == outcome.unapplied_drains == 0, outcome
    assert outcome.longest_drain <= MARGIN and outcome.peak_queue <= MARGIN, outcome
    assert outcome.unbound == 0 and outcome.longest_empty_us == 0, outcome


def test_drains_keep_their_grace_at_full_size():
    outcome = Day(DayConfig()).play()
    assert outcome.late_drains == outcome.unapplied_drains == 0, outcome
    assert outcome.longest_drain <= MARGIN and outcome.peak_queue <= MARGIN, outcome
    assert outcome.unbound == 0 and outcome.longest_empty_us == 0, outcome


# The proportions of report 9421bd: the binds of all proxies take half of the drain grace.
SHORT_GRACE = DayConfig(
    proxies=320,
    servers=48,
    lines_per_s=3413.0,
    pending_lines_max=10_240.0,
    drain_grace_us=2_700_000,
    killed_us=4 * SECOND,
    reconnect_us=300_000,
    end_us=14 * SECOND,
    list_interval_us=200_000,
    warm_after_us=8 * SECOND,
)


def waves(*times_s):
    """Return waves of five servers, each gone soon after its drain."""
    return tuple(Wave(int(at_s * SECOND), 5, 1_300_000) for at_s in times_s)


EIGHTH = SHORT_GRACE.replace(
    waves=waves(3.0, 3.8, 4.3), failures=(Failure(int(3.5 * SECOND), 14 * SECOND, 0.125),)
)
QUARTER = SHORT_GRACE.replace(
    waves=waves(3.8, 4.3), failures=(Failure(int(3.9 * SECOND), 14 * SECOND, 0.25),)
)
ZONE = SHORT_GRACE.replace(waves=waves(3.0, 4.3), failures=(Failure(int(4.1 * SECOND), 9 * SECOND, zone=2),))


@pytest.mark.parametrize("config", [EIGHTH, QUARTER, ZONE], ids=["an eighth", "a quarter", "a zone"])
def test_servers_that_fail_during_a_takeover_do_not_delay_the_binds(config):
    """Guards against ejections and readmissions that take the channel before the proxies are bound."""
    for seed in FAILURE_SEEDS:
        outcome = Day(config.replace(seed=seed)).play()
        assert outcome.late_drains == outcome.unapplied_drains == 0, (seed, outcome)
        assert outcome.peak_queue <= MARGIN and outcome.unbound == 0, (seed, outcome)


HALF_EJECTED = SHORT_GRACE.replace(
    servers=64,
    zones=2,
    directors=3,
    lines_per_s=3250.0,
    delivery_delay_us=220_000,
    reconnect_us=500_000,
    keeps_tables=False,
    list_interval_us=500_000,
    warm_after_us=4_800_000,
    waves=(Wave(2_360_000, 3, 2_640_000), Wave(3_200_000, 8, 3_300_000), Wave(5_500_000, 8, 2_500_000)),
    failures=(
        Failure(3_700_000, 5_200_000, zone=1),
        Failure(2_140_000, 10_140_000, 0.08),
    ),
)


def test_binds_of_a_takeover_do_not_carry_ejected_servers():
    """Guards against binds that take two lines for each server that their proxies may not use."""
    for seed in FAILURE_SEEDS:
        outcome = Day(HALF_EJECTED.replace(seed=seed)).play()
        longest_us = outcome.longest_drain * HALF_EJECTED.drain_grace_us
        assert longest_us <= HALF_EJECTED.drain_grace_us + RULE_SLACK_US, (seed, outcome)
