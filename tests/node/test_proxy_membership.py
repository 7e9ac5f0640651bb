"""Tracking of joined proxies across two streams of the relay's notifications."""

from rainpick import model
from rainpick.node import proxy_membership
from rainpick.node.commit_calls import MergedNonces
from rainpick.node.proxy_membership import ProxyMembership, StreamClosed, StreamEvent, StreamOpened
from rainpick.node.relay_notifications import Ping


def joined(proxy):
    return model.ProxyJoined(proxy, False, 1.0, 0)


def handle_all(membership, *notifications, stream=1):
    """Return the events for these notifications on one stream."""
    return [
        event
        for notification in notifications
        for event in membership.handle(StreamEvent(stream, notification))
    ]


def with_joined(*proxies):
    membership = ProxyMembership()
    membership.handle(StreamOpened(1))
    assert handle_all(membership, *map(joined, proxies), Ping()) == [joined(proxy) for proxy in proxies]
    return membership


def test_a_stream_after_a_break_reports_all_joins_again_and_missed_leaves():
    membership = with_joined(1, 2, 3)
    membership.handle(StreamClosed(1))
    membership.handle(StreamOpened(2))
    # Proxy 1 may have left, lost its binding and rejoined during the break: it must be bound again.
    assert handle_all(membership, joined(1), stream=2) == [joined(1)]
    assert handle_all(membership, joined(3), model.ProxyLeft(3), stream=2) == [joined(3), model.ProxyLeft(3)]
    assert handle_all(membership, Ping(), stream=2) == [model.ProxyLeft(2)] and set(membership.joined) == {1}
    assert handle_all(membership, Ping(), stream=2) == []


def test_no_join_is_reported_twice_after_a_change_of_address():
    """Guards against binding all proxies again after each new configuration.

    These bindings were two thousand lines, which took the channel most of a second.
    """
    membership = with_joined(1, 2, 3)
    membership.handle(StreamOpened(2))
    assert handle_all(membership, joined(1), joined(4), stream=2) == [joined(4)]
    assert handle_all(membership, Ping()) == [], "the former stream is alive, and its ping ends no listing"
    assert handle_all(membership, joined(2), stream=2) == []
    assert handle_all(membership, Ping(), stream=2) == [model.ProxyLeft(3)]
    assert membership.handle(StreamClosed(1)) == [] and set(membership.joined) == {1, 2, 4}
    assert handle_all(membership, joined(1), stream=2) == [joined(1)], "the proxy rejoined after the listing"


def test_unconfirmed_proxies_are_reported_if_the_former_stream_was_dead():
    """A former stream that broke before the change of address has missed all changes since the break."""
    membership = with_joined(1, 2)
    membership.handle(StreamOpened(2))
    assert handle_all(membership, joined(1), joined(2), Ping(), stream=2) == []
    assert handle_all(membership, model.ProxyLeft(2), stream=2) == [model.ProxyLeft(2)]
    assert membership.handle(StreamClosed(1)) == [joined(1)]
    assert membership.handle(StreamClosed(1)) == []


def test_late_joins_and_leaves_on_a_former_stream_are_reported_as_joins():
    """A proxy may leave and rejoin just before its listing; the former stream may report this afterwards."""
    membership = with_joined(1, 2)
    membership.handle(StreamOpened(2))
    assert handle_all(membership, joined(1), Ping(), stream=2) == [model.ProxyLeft(2)]
    late = handle_all(membership, model.ProxyLeft(1), joined(1), joined(2), stream=1)
    assert late == [joined(1), joined(1)]
    assert set(membership.joined) == {1}


def test_notifications_of_a_proxy_that_is_not_joined_are_dropped():
    membership = with_joined()
    assert handle_all(membership, model.ProxyLeft(1), model.Acknowledged(1, 5, 0)) == []
    handle_all(membership, joined(1))
    assert handle_all(membership, model.Acknowledged(1, 5, 0)) == [model.Acknowledged(1, 5, 0)]


def test_the_nonce_of_merged_calls_acknowledges_all_of_them():
    """Guards against a proxy that only an earlier call concerns counting as unacknowledged forever."""
    membership = with_joined(1)
    membership.merge_nonces(MergedNonces(7, (5, 6)))
    membership.merge_nonces(MergedNonces(9, (7, 8)))  # the merged call was merged again
    nonces = [event.nonce for event in handle_all(membership, model.Acknowledged(1, 9, 20))]
    assert nonces == [5, 6, 7, 8, 9]
    assert [event.nonce for event in handle_all(membership, model.Acknowledged(1, 4, 20))] == [4]
    for nonce in range(100, 100 + 2 * proxy_membership.MERGED_NONCE_LIMIT):
        membership.merge_nonces(MergedNonces(nonce, (1,)))
    assert len(membership.merged_nonces) == proxy_membership.MERGED_NONCE_LIMIT


def test_after_two_changes_of_address_the_last_stream_is_current_whichever_opens_first():
    """Guards against an earlier stream that opens last being treated as the newest.

    Proxies that joined afterwards then got no table.
    """
    membership = with_joined(1)
    membership.handle(StreamOpened(3))
    membership.handle(StreamOpened(2))
    assert handle_all(membership, joined(1), joined(4), stream=2) == [], "stream 2 is not the current stream"
    assert handle_all(membership, joined(1), joined(5), Ping(), stream=3) == [joined(5)]
    assert membership.handle(StreamClosed(2)) == [] and not membership.superseded
    assert handle_all(membership, joined(6), stream=3) == [joined(6)]


def test_the_first_of_two_merged_calls_may_have_commands_of_all_replies():
    """Guards against counting only the oldest reply if the merged withdrawals are sent again."""
    membership = ProxyMembership()
    membership.merge_nonces(MergedNonces(9, (7, 8)))
    assert membership.replies(7) == membership.replies(9) == (7, 8, 9)
    assert membership.nonces(7) == (7,), "its acknowledgement does not cover the second call"
    membership.replace_nonce(7, 20)
    assert membership.nonces(20) == (7, 20)
    assert membership.replies(20) == (7, 8, 9)


def test_a_merged_call_is_merged_again_behind_an_older_call():
    """Guards against forgetting the nonces of the calls that were merged while an older one was held back."""
    membership = ProxyMembership()
    membership.merge_nonces(MergedNonces(10, (9,)))
    membership.replace_nonce(8, 108)
    membership.merge_nonces(MergedNonces(10, (108,)))
    assert membership.nonces(10) == (8, 108, 9, 10)
