"""The endpoint list from registrations, a list file and a cached list."""

import pytest

from rainpick import model
from rainpick.director.member_labels import RejectedMemberError
from rainpick.director.membership import FileEntry, Membership
from rainpick.sasp.constants import ReturnCode
from rainpick.sasp.messages import Group, Member, MemberState
from tests.director.engine_driver import settings

FLEET = Group("rainpick", "servers")
S = 1_000_000


def member(port, label=""):
    return Member.at("127.0.0.1", port, label)


def file_entry(port, **attributes):
    defaults = {"weight": 1.0, "zone": 0, "machine": 0, "pod": 0, "started_us": 0, "draining": False}
    return FileEntry(("127.0.0.1", port), **(defaults | attributes))


@pytest.fixture
def membership():
    membership = Membership(
        settings('fleet: {servers: [{match: "127.0.0.1:9000-9009", weight: 4, zone: "b"}]}'), 0
    )
    membership.settled_us = 0
    return membership


def changes(membership, now=None):
    if now is not None:
        membership.expire(now)
    update = membership.next_update()
    return {entry.address[1]: entry.state for entry in update.endpoints} if update else {}


def test_rules_by_address_take_precedence_over_the_label(membership):
    """Guards against a member whose label overrides the operators' rules."""
    membership.register(
        1, FLEET, (member(9001, "weight=9;zone=a;machine=y;pod=3"), member(8000, "weight=9")), 5
    )
    first, second = sorted(membership.next_update().endpoints, key=lambda entry: -entry.address[1])
    assert (first.weight, first.zone, first.machine_type, first.pod) == (4.0, 1, 1, 3)
    assert (second.weight, second.zone) == (9.0, 0)


@pytest.mark.parametrize(
    "label, code",
    [
        ("weight=17", ReturnCode.NOT_ACCEPTED),
        ("weight=0", ReturnCode.NOT_ACCEPTED),
        ("weight=nan", ReturnCode.NOT_ACCEPTED),
        ("zone=q", ReturnCode.NOT_ACCEPTED),
        ("pod=70000", ReturnCode.NOT_ACCEPTED),
        ("age=-1", ReturnCode.NOT_ACCEPTED),
        ("age=1e400", ReturnCode.NOT_ACCEPTED),
        ("colour=red", ReturnCode.NOT_UNDERSTOOD),
        ("pod=1;pod=2", ReturnCode.NOT_UNDERSTOOD),
    ],
)
def test_invalid_label_rejects_the_whole_registration(membership, label, code):
    """Guards against a registration of which only some members are accepted."""
    with pytest.raises(RejectedMemberError) as error:
        membership.register(1, FLEET, (member(8000), member(8001, label)), 5)
    assert error.value.code == code and not membership.servers


def test_wrong_group_or_uid_is_rejected(membership):
    """Guards against members of another fleet, and a wrong return code for them."""
    wrong = (Group("x", "servers"), ReturnCode.UNKNOWN_LB), (Group("rainpick", "x"), ReturnCode.INVALID_GROUP)
    for group, code in wrong:
        with pytest.raises(RejectedMemberError) as error:
            membership.register(1, group, (member(9001),), 5)
        assert error.value.code == code


def test_second_registration_is_rejected_on_one_stream_and_takes_over_on_another(membership):
    """Guards against a dead stream that removes a server which has registered on a newer stream."""
    membership.register(1, FLEET, (member(9001, "boot=1"),), S)
    with pytest.raises(RejectedMemberError) as error:
        membership.register(1, FLEET, (member(9001, "boot=1"),), S)
    assert error.value.code == ReturnCode.ALREADY_REGISTERED
    assert changes(membership) == {9001: model.EndpointState.READY}
    membership.register(2, FLEET, (member(9001, "boot=1"),), 9 * S)
    assert changes(membership) == {}, "the same start of the same server must not be a change"
    membership.stream_ended(1, 10 * S)
    assert changes(membership, 60 * S) == {}, "the older stream must not affect the server any more"
    with pytest.raises(RejectedMemberError):
        membership.deregister(1, FLEET, (member(9001),))


def test_ended_stream_removes_its_server_after_the_grace_period(membership):
    """Guards against removing a server too early, before it could register again."""
    membership.register(1, FLEET, (member(9001),), S)
    changes(membership)
    membership.stream_ended(1, 10 * S)
    assert membership.due_us() == int(11.5 * S)
    assert changes(membership, 11 * S) == {} and changes(membership, 12 * S) == {
        9001: model.EndpointState.GONE
    }


def test_server_that_registers_again_within_the_grace_period_stays_draining(membership):
    """Guards against a drain that is undone by a reconnect of the same process."""
    membership.register(1, FLEET, (member(9001, "boot=1"),), S)
    membership.set_state(1, FLEET, (MemberState(member(9001), 5, True),))
    assert changes(membership) == {9001: model.EndpointState.DRAINING}
    membership.stream_ended(1, 10 * S)
    membership.register(2, FLEET, (member(9001, "boot=1"),), 11 * S)
    assert changes(membership, 60 * S) == {}


def test_different_boot_is_a_restart_even_within_the_grace_period(membership):
    """Guards against a restarted server that stays draining or keeps the earlier start time."""
    membership.register(1, FLEET, (member(9001, "boot=1;age=100"),), 200 * S)
    assert membership.next_update().endpoints[0].started_us == 100 * S
    membership.stream_ended(1, 201 * S)
    membership.register(2, FLEET, (member(9001, "boot=2"),), 202 * S)
    (entry,) = membership.next_update().endpoints
    assert (entry.started_us, entry.state) == (202 * S, model.EndpointState.READY)


def test_changes_of_a_server_in_one_batch_are_merged(membership):
    """Guards against several changes of one server in a single update."""
    membership.register(1, FLEET, (member(9001),), S)
    membership.set_state(1, FLEET, (MemberState(member(9001), 0, True),))
    membership.deregister(1, FLEET, ())
    assert changes(membership) == {} and not membership.servers
    membership.register(1, FLEET, (member(9001),), S)
    changes(membership)
    membership.deregister(1, FLEET, (member(9001),))
    membership.register(1, FLEET, (member(9001),), 7 * S)
    (entry,) = membership.next_update().endpoints
    assert (entry.state, entry.started_us) == (model.EndpointState.READY, 7 * S)


def test_member_without_an_age_is_old_right_after_a_directors_restart():
    """Guards against a slow start of all servers after each restart of a director.

    While the director starts, a member without an age counts as started long ago; later it counts as new.
    """
    membership = Membership(settings('fleet: {member_grace: "2s"}'), 100 * S)
    membership.register(1, FLEET, (member(9001), member(9002, "age=3")), 101 * S)
    membership.register(2, FLEET, (member(9003),), 103 * S)
    started = {entry.address[1]: entry.started_us for entry in membership.next_update().endpoints}
    assert started == {9001: 0, 9002: 98 * S, 9003: 103 * S}


def test_list_file_and_registrations_are_merged_and_either_can_drain(membership):
    """Guards against one source that hides a server or a drain of the other source."""
    membership.apply_list_file([file_entry(9001), file_entry(9500, weight=2.0)])
    membership.register(1, FLEET, (member(9001), member(9002)), S)
    assert changes(membership) == dict.fromkeys((9001, 9002, 9500), model.EndpointState.READY)
    membership.apply_list_file([file_entry(9001, draining=True)])
    assert changes(membership) == {9001: model.EndpointState.DRAINING, 9500: model.EndpointState.GONE}
    membership.apply_list_file([])
    assert changes(membership) == {9001: model.EndpointState.READY}, (
        "it is still registered, and the drain in the file has ended"
    )
    membership.deregister(1, FLEET, ())
    assert changes(membership) == {9001: model.EndpointState.GONE, 9002: model.EndpointState.GONE}


def test_cached_servers_are_removed_after_the_grace_period():
    """Guards against servers that stay listed from the cache without registering again."""
    membership = Membership(settings('director: {settle: "1s"}, fleet: {member_grace: "2s"}'), 0)
    membership.apply_cached_list([file_entry(9001, started_us=50), file_entry(9002, draining=True)], 10 * S)
    initial = membership.initial_update()
    assert {entry.address[1]: entry.state for entry in initial.endpoints} == {
        9001: model.EndpointState.READY,
        9002: model.EndpointState.DRAINING,
    }
    membership.register(1, FLEET, (member(9001, "boot=3;age=9.99995"),), 10 * S)
    assert changes(membership, 12 * S) == {} and changes(membership, 14 * S) == {
        9002: model.EndpointState.GONE
    }


def test_director_starts_once_registrations_have_settled():
    """Guards against starting ``Director`` with an empty or partial list.

    ``Director`` would use a single table for all proxies until it ends, if it started with an empty list. It
    starts once no new member has registered for the settle time, or after ten settle times.
    """
    membership = Membership(settings('director: {settle: "1s"}'), 0)
    assert membership.start_due_us() is None
    membership.register(1, FLEET, (member(9001),), 5 * S)
    assert membership.start_due_us() == 6 * S
    membership.register(2, FLEET, (member(9002),), 6 * S)
    assert membership.start_due_us() == 7 * S
    membership.register(3, FLEET, (member(9003),), 12 * S)
    assert membership.start_due_us() == 10 * S
    cached = Membership(settings(), 3)
    cached.apply_cached_list([file_entry(9001)], 3)
    assert cached.start_due_us() == 3


def test_number_of_members_is_limited():
    """Guards against an endpoint list that grows without limit."""
    membership = Membership(settings("fleet: {members_most: 2}"), 0)
    membership.register(1, FLEET, (member(9001), member(9002)), S)
    with pytest.raises(RejectedMemberError):
        membership.register(2, FLEET, (member(9003),), S)
    membership.register(3, FLEET, (member(9001, "boot=2"),), S)
