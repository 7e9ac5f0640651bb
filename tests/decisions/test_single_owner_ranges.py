"""Key ranges with a single owner: handovers in virtual time, with draining, lost and returning servers."""

import pytest

from rainpick.model import EndpointState
from tests.decisions.key_range_world import KeyRangeWorld

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def started_world(seed, **settings):
    world = KeyRangeWorld(seed, **settings)
    world.start()
    for proxy in world.proxies:
        world.join(proxy)
    world.write_steadily()
    world.run(3)
    assert world.taken > 50 and not world.breaches
    return world


def after(world, delay_s, act, *arguments):
    """Do something after a number of seconds."""
    world.at(world.now + delay_s * 1e6, lambda: act(*arguments))


def replace(world, server, number):
    """Let a server go 3 s after its drain, and a successor start a second later."""
    world.run(3)
    world.tell((server, GONE))
    world.run(1)
    world.tell((f"new{number}", READY))


def assert_all_served(world):
    """Assert that no rule was broken, and that each proxy can write to each key range in the end."""
    assert not world.breaches, world.breaches[:5]
    for proxy in world.proxies:
        assert all(proxy.server(key_range) for key_range in range(world.settings["proxies.slices"]))


@pytest.mark.parametrize("seed", range(6))
def test_a_rolling_deploy_gives_no_write_to_two_owners(seed):
    """Guards against a new owner that is published together with the withdrawal of the previous one."""
    counts = {"proxies.proxy_count": (2, 6, 40)[seed % 3], "proxies.slices": (1, 6, 24)[seed // 2]}
    world = started_world(seed, servers=(3, 6, 12)[seed % 3], **counts)
    for number in range(4):
        drained = world.owner_of_most()
        world.tell((drained, DRAINING))
        replace(world, drained, number)
        world.run(2)
    assert_all_served(world)


@pytest.mark.parametrize("seed", range(4))
def test_a_server_that_vanishes_keeps_its_ranges_until_its_writes_have_ended(seed):
    """Guards against the shortcut for a server that is gone: it may still have writes in hand."""
    world = started_world(seed)
    world.tell((world.owner_of_most(), GONE))
    world.run(6)
    assert_all_served(world)


@pytest.mark.parametrize("seed", range(4))
def test_two_servers_that_drain_together_hand_over_to_the_others(seed):
    """Guards against a new owner that drains as well before it is published."""
    world = started_world(seed)
    first = world.owner_of_most()
    world.tell((first, DRAINING))
    world.run((0.04, 0.4, 1.3, 1.6)[seed])
    world.tell((world.owner_of_most(), DRAINING))
    world.run(6)
    assert_all_served(world)


@pytest.mark.parametrize("return_s", [0.0, 0.1, 0.5, 1.2, 1.55, 2.0, 5.0])
def test_a_server_that_returns_from_a_drain_keeps_its_ranges_or_starts_without_any(return_s):
    """Guards against a readmission that lets proxies write to a former owner again."""
    world = started_world(int(return_s * 100))
    drained = world.owner_of_most()
    world.tell((drained, DRAINING))
    world.run(return_s)
    world.tell((drained, READY))
    world.run(6)
    assert_all_served(world)


@pytest.mark.parametrize("away_s", [0.1, 0.8, 2.4, 6.0])
@pytest.mark.parametrize("left_s", [-2.0, -0.3, -0.01, 0.05, 0.3])
def test_proxies_that_lost_their_stream_write_to_no_other_owner_than_the_rest(left_s, away_s):
    """Guards against a handover while a proxy that the withdrawal did not reach still has a lease."""
    world = started_world(int(left_s * 100 + away_s * 10) + 500)
    leaving = world.proxies[:3]
    drained = world.owner_of_most()

    def leave():
        for proxy in leaving:
            world.leave(proxy)

    def rejoin():
        for proxy in leaving:
            world.join(proxy)

    after(world, 2.5, world.tell, (drained, DRAINING))
    after(world, 2.5 + left_s, leave)
    after(world, 2.5 + left_s + away_s, rejoin)
    world.run(15)
    assert_all_served(world)


@pytest.mark.parametrize("killed_s", [0.1, 0.7, 1.2, 1.7, 2.5])
def test_a_restarted_director_takes_the_stored_owners_and_completes_the_handover(killed_s):
    """Guards against a restart that forgets which server still has writes."""
    world = started_world(int(killed_s * 10))
    drained = world.owner_of_most()
    world.tell((drained, DRAINING))
    world.run(killed_s)
    world.kill()
    world.run(0.3)
    world.start()
    for proxy in world.proxies:
        after(world, world.draw.uniform(0.05, 1.5), world.join, proxy)
    world.run(12)
    owner_breaches = [text for text in world.breaches if "owner" in text]
    assert not owner_breaches, owner_breaches[:5]
    assert all(proxy.server(0) for proxy in world.proxies)


@pytest.mark.parametrize("seed", range(10))
def test_drawn_disruptions_break_no_rule(seed):
    """Drains, losses and returns of servers while single proxies lose their streams and restart."""
    world = started_world(seed, servers=8)
    for number in range(5):
        server = world.owner_of_most()
        state = world.draw.choice([DRAINING, GONE])
        after(world, world.draw.uniform(0, 1), world.tell, (server, state))
        if state == DRAINING and world.draw.random() < 0.4:
            after(world, world.draw.uniform(1, 4), world.tell, (server, READY))
        proxy = world.draw.choice(world.proxies)
        world.leave(proxy)
        after(world, world.draw.uniform(0.05, 2), world.join, proxy, world.draw.random() < 0.5)
        world.run(9)
        if server not in world.servers:
            world.tell((f"new{number}", READY))
        world.run(1)
    assert_all_served(world)
