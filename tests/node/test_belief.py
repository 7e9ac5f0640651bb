"""What the director holds between two answers of discovery, and between two streams of news."""

from rainpick import model
from rainpick.node import belief
from rainpick.node.belief import Begun, Listing, Over, Roster, Told
from rainpick.node.codec import Merged, Ping, members
from tests.node.platform import NAMES, entry


def news(full, *entries, version=1):
    return members({"generation": version, "reset": full, "instances": list(entries)}, NAMES)


def test_a_bad_entry_in_a_whole_list_says_nothing_of_its_server():
    """It was as if the server had been removed: a spoilt line would have shut out a sound server."""
    listing = Listing()
    listing.take(news(True, entry(1), entry(2)), model.UpdateKind.CACHED)
    told = listing.take(news(True, entry(1), entry(2, weight="x"), entry(3, weight="x")))
    assert told.kind == model.UpdateKind.FULL and [one.address for one in told.endpoints] == [
        "s-0001",
        "s-0002",
    ]
    assert listing.knows("s-0002") and not listing.knows("s-0003")


def test_changes_and_servers_that_have_left():
    listing = Listing()
    listing.take(news(True, entry(1), entry(2)))
    told = listing.take(news(False, entry(1, "Gone"), entry(3), version=2))
    assert told.kind == model.UpdateKind.DELTA and told.version == listing.version == 2
    assert sorted(listing.entries) == ["s-0002", "s-0003"]
    assert listing.knows("s-0001"), "its last reports come late"
    listing.take(news(True, entry(1)))
    assert sorted(listing.entries) == ["s-0001"]


def test_what_is_kept_of_servers_that_have_left_is_bounded(monkeypatch):
    """On a long day servers are replaced by new ones all day."""
    monkeypatch.setattr(belief, "FORGOTTEN_MOST", 10)
    listing = Listing()
    for number in range(100):
        listing.take(news(False, entry(number)))
        listing.take(news(False, entry(number, "Gone")))
    assert not listing.entries and len(listing.gone) == 10
    assert listing.knows(entry(99)["instanceId"]) and not listing.knows(entry(0)["instanceId"])


def joined(proxy):
    return model.ProxyJoined(proxy, False, 1.0, 0)


def told(roster, *events, stream=1):
    return [found for event in events for found in roster.take(Told(stream, event))]


def with_joined(*proxies):
    roster = Roster()
    roster.take(Begun(1))
    assert told(roster, *map(joined, proxies), Ping()) == [joined(proxy) for proxy in proxies]
    return roster


def test_a_stream_after_a_break_tells_joinings_anew_and_who_has_left():
    roster = with_joined(1, 2, 3)
    roster.take(Over(1))
    roster.take(Begun(2))
    # 1 may have left and come back unseen, its binding gone: the module has to bind it again.
    assert told(roster, joined(1), stream=2) == [joined(1)]
    assert told(roster, joined(3), model.ProxyLeft(3), stream=2) == [joined(3), model.ProxyLeft(3)]
    assert told(roster, Ping(), stream=2) == [model.ProxyLeft(2)] and set(roster.joined) == {1}
    assert told(roster, Ping(), stream=2) == []


def test_at_a_new_address_nobody_is_told_twice():
    """Each new configuration bound all proxies anew: two thousand lines, most of a second of the channel."""
    roster = with_joined(1, 2, 3)
    roster.take(Begun(2))
    assert told(roster, joined(1), joined(4), stream=2) == [joined(4)]
    assert told(roster, Ping()) == [], "the former stream still speaks, and has not listed anything"
    assert told(roster, joined(2), stream=2) == []
    assert told(roster, Ping(), stream=2) == [model.ProxyLeft(3)]
    assert roster.take(Over(1)) == [] and set(roster.joined) == {1, 2, 4}
    assert told(roster, joined(1), stream=2) == [joined(1)], "it came back, and that is news"


def test_a_former_stream_that_was_dead_leaves_all_in_doubt():
    """Cut off before the new configuration came, it had missed whatever happened since."""
    roster = with_joined(1, 2)
    roster.take(Begun(2))
    assert told(roster, joined(1), joined(2), Ping(), stream=2) == []
    assert told(roster, model.ProxyLeft(2), stream=2) == [model.ProxyLeft(2)]
    assert roster.take(Over(1)) == [joined(1)]
    assert roster.take(Over(1)) == []


def test_what_a_former_stream_says_late_is_told_as_a_joining():
    """It left and came back just before the new stream listed it: the word of that comes last."""
    roster = with_joined(1, 2)
    roster.take(Begun(2))
    assert told(roster, joined(1), Ping(), stream=2) == [model.ProxyLeft(2)]
    assert told(roster, model.ProxyLeft(1), joined(1), joined(2), stream=1) == [joined(1), joined(1)]
    assert set(roster.joined) == {1}


def test_news_of_who_is_not_joined_are_dropped():
    roster = with_joined()
    assert told(roster, model.ProxyLeft(1), model.Acknowledged(1, 5, 0)) == []
    told(roster, joined(1))
    assert told(roster, model.Acknowledged(1, 5, 0)) == [model.Acknowledged(1, 5, 0)]


def test_the_mark_of_calls_that_went_as_one_answers_for_all_of_them():
    """A proxy that only the earlier one reached would never have answered, and counts as waiting for good."""
    roster = with_joined(1)
    roster.merged(Merged(7, (5, 6)))
    roster.merged(Merged(9, (7, 8)))  # the merged one had to wait again
    assert [one.nonce for one in told(roster, model.Acknowledged(1, 9, 20))] == [5, 6, 7, 8, 9]
    assert [one.nonce for one in told(roster, model.Acknowledged(1, 4, 20))] == [4]
    for number in range(100, 100 + 2 * belief.MERGED_MOST):
        roster.merged(Merged(number, (1,)))
    assert len(roster.earlier) == belief.MERGED_MOST


def test_of_two_new_addresses_in_a_row_the_last_one_counts_whichever_answers_first():
    """The earlier one answered last and was taken for the newest: no proxy that joined then got a table."""
    roster = with_joined(1)
    roster.take(Begun(3))
    roster.take(Begun(2))
    assert told(roster, joined(1), joined(4), stream=2) == [], "that is not what counts"
    assert told(roster, joined(1), joined(5), Ping(), stream=3) == [joined(5)]
    assert roster.take(Over(2)) == [] and not roster.overtaken
    assert told(roster, joined(6), stream=3) == [joined(6)]
