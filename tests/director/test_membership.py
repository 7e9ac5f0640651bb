"""The server list from registrations, a list file and a cached list."""

import pytest

from rainpick import model
from rainpick.director.membership import Filed, Membership, RefusedMemberError
from rainpick.sasp import codec
from rainpick.sasp.codec import Group, Member, MemberState
from tests.director.drive import settings

FLEET = Group("rainpick", "servers")
S = 1_000_000


def member(port, label=""):
    return Member.at("127.0.0.1", port, label)


def filed(port, **words):
    usual = {"weight": 1.0, "zone": 0, "machine": 0, "pod": 0, "started_us": 0, "draining": False}
    return Filed(("127.0.0.1", port), **(usual | words))


@pytest.fixture
def list_():
    made = Membership(settings('fleet: {servers: [{match: "127.0.0.1:9000-9009", weight: 4, zone: "b"}]}'), 0)
    made.settled_us = 0
    return made


def told(list_, now=None):
    if now is not None:
        list_.expire(now)
    update = list_.changes()
    return {entry.address[1]: entry.state for entry in update.endpoints} if update else {}


def test_rules_by_address_come_before_what_a_label_says(list_):
    list_.register(1, FLEET, (member(9001, "weight=9;zone=a;machine=y;pod=3"), member(8000, "weight=9")), 5)
    first, second = sorted(list_.changes().endpoints, key=lambda entry: -entry.address[1])
    assert (first.weight, first.zone, first.machine_type, first.pod) == (4.0, 1, 1, 3)
    assert (second.weight, second.zone) == (9.0, 0)


@pytest.mark.parametrize(
    "label, code",
    [
        ("weight=17", codec.NOT_ACCEPTED),
        ("weight=0", codec.NOT_ACCEPTED),
        ("weight=nan", codec.NOT_ACCEPTED),
        ("zone=q", codec.NOT_ACCEPTED),
        ("pod=70000", codec.NOT_ACCEPTED),
        ("age=-1", codec.NOT_ACCEPTED),
        ("age=1e400", codec.NOT_ACCEPTED),
        ("colour=red", codec.NOT_UNDERSTOOD),
        ("pod=1;pod=2", codec.NOT_UNDERSTOOD),
    ],
)
def test_a_label_that_makes_no_sense_is_refused_and_nothing_of_it_taken(list_, label, code):
    with pytest.raises(RefusedMemberError) as flaw:
        list_.register(1, FLEET, (member(8000), member(8001, label)), 5)
    assert flaw.value.code == code and not list_.held


def test_the_wrong_group_or_uid_is_refused(list_):
    wrong = (Group("x", "servers"), codec.UNKNOWN_LB), (Group("rainpick", "x"), codec.INVALID_GROUP)
    for group, code in wrong:
        with pytest.raises(RefusedMemberError) as flaw:
            list_.register(1, group, (member(9001),), 5)
        assert flaw.value.code == code


def test_registering_twice_on_a_stream_is_told_on_another_it_takes_over(list_):
    list_.register(1, FLEET, (member(9001, "boot=1"),), S)
    with pytest.raises(RefusedMemberError) as flaw:
        list_.register(1, FLEET, (member(9001, "boot=1"),), S)
    assert flaw.value.code == codec.ALREADY_REGISTERED
    assert told(list_) == {9001: model.EndpointState.READY}
    list_.register(2, FLEET, (member(9001, "boot=1"),), 9 * S)
    assert told(list_) == {}, "the same start of the same server: nothing changed"
    list_.stream_broke(1, 10 * S)
    assert told(list_, 60 * S) == {}, "the older stream speaks for it no more"
    with pytest.raises(RefusedMemberError):
        list_.deregister(1, FLEET, (member(9001),), S)


def test_a_broken_stream_means_gone_only_after_the_grace(list_):
    list_.register(1, FLEET, (member(9001),), S)
    told(list_)
    list_.stream_broke(1, 10 * S)
    assert list_.due_us() == int(11.5 * S)
    assert told(list_, 11 * S) == {} and told(list_, 12 * S) == {9001: model.EndpointState.GONE}


def test_back_within_the_grace_it_is_the_same_and_still_draining(list_):
    list_.register(1, FLEET, (member(9001, "boot=1"),), S)
    list_.set_state(1, FLEET, (MemberState(member(9001), 5, True),))
    assert told(list_) == {9001: model.EndpointState.DRAINING}
    list_.stream_broke(1, 10 * S)
    list_.register(2, FLEET, (member(9001, "boot=1"),), 11 * S)
    assert told(list_, 60 * S) == {}


def test_another_boot_is_another_start_even_within_the_grace(list_):
    list_.register(1, FLEET, (member(9001, "boot=1;age=100"),), 200 * S)
    assert list_.changes().endpoints[0].started_us == 100 * S
    list_.stream_broke(1, 201 * S)
    list_.register(2, FLEET, (member(9001, "boot=2"),), 202 * S)
    (entry,) = list_.changes().endpoints
    assert (entry.started_us, entry.state) == (202 * S, model.EndpointState.READY)


def test_registered_drained_and_gone_within_one_batch_is_one_change_or_none(list_):
    list_.register(1, FLEET, (member(9001),), S)
    list_.set_state(1, FLEET, (MemberState(member(9001), 0, True),))
    list_.deregister(1, FLEET, (), S)
    assert told(list_) == {} and not list_.held
    list_.register(1, FLEET, (member(9001),), S)
    told(list_)
    list_.deregister(1, FLEET, (member(9001),), S)
    list_.register(1, FLEET, (member(9001),), 7 * S)
    (entry,) = list_.changes().endpoints
    assert (entry.state, entry.started_us) == (model.EndpointState.READY, 7 * S)


def test_after_a_restart_who_tells_no_age_is_taken_for_old_and_later_for_new():
    list_ = Membership(settings('fleet: {member_grace: "2s"}'), 100 * S)
    list_.register(1, FLEET, (member(9001), member(9002, "age=3")), 101 * S)
    list_.register(2, FLEET, (member(9003),), 103 * S)
    started = {entry.address[1]: entry.started_us for entry in list_.changes().endpoints}
    assert started == {9001: 0, 9002: 98 * S, 9003: 103 * S}


def test_file_and_registration_are_one_list_and_a_drain_in_either_counts(list_):
    list_.file([filed(9001), filed(9500, weight=2.0)])
    list_.register(1, FLEET, (member(9001), member(9002)), S)
    assert told(list_) == dict.fromkeys((9001, 9002, 9500), model.EndpointState.READY)
    list_.file([filed(9001, draining=True)])
    assert told(list_) == {9001: model.EndpointState.DRAINING, 9500: model.EndpointState.GONE}
    list_.file([])
    assert told(list_) == {9001: model.EndpointState.READY}, "it is registered, and no longer drained"
    list_.deregister(1, FLEET, (), S)
    assert told(list_) == {9001: model.EndpointState.GONE, 9002: model.EndpointState.GONE}


def test_a_cached_list_is_believed_for_the_grace_only():
    list_ = Membership(settings('director: {settle: "1s"}, fleet: {member_grace: "2s"}'), 0)
    list_.remember([filed(9001, started_us=50), filed(9002, draining=True)], 10 * S)
    start = list_.start()
    assert {entry.address[1]: entry.state for entry in start.endpoints} == {
        9001: model.EndpointState.READY,
        9002: model.EndpointState.DRAINING,
    }
    list_.register(1, FLEET, (member(9001, "boot=3;age=9.99995"),), 10 * S)
    assert told(list_, 12 * S) == {} and told(list_, 14 * S) == {9002: model.EndpointState.GONE}


def test_a_director_begins_when_no_new_member_came_for_a_while_or_the_wait_is_over():
    """Begun with an empty list the module would lay one table for all, for as long as it lives."""
    list_ = Membership(settings('director: {settle: "1s"}'), 0)
    assert list_.begin_us() is None
    list_.register(1, FLEET, (member(9001),), 5 * S)
    assert list_.begin_us() == 6 * S
    list_.register(2, FLEET, (member(9002),), 6 * S)
    assert list_.begin_us() == 7 * S
    list_.register(3, FLEET, (member(9003),), 12 * S)
    assert list_.begin_us() == 10 * S
    cached = Membership(settings(), 3)
    cached.remember([filed(9001)], 3)
    assert cached.begin_us() == 3


def test_the_number_of_members_is_bounded():
    list_ = Membership(settings("fleet: {members_most: 2}"), 0)
    list_.register(1, FLEET, (member(9001), member(9002)), S)
    with pytest.raises(RefusedMemberError):
        list_.register(2, FLEET, (member(9003),), S)
    list_.register(3, FLEET, (member(9001, "boot=2"),), S)
