"""What comes between two lines: each test holds one thread at a chosen place and lets the other pass it."""

import select
import socket
import threading
import time

import pytest

from rainpick import model
from rainpick.http1.client import Client, ClientError
from rainpick.net.streams import Stream
from rainpick.node import commit_client, commit_connection, discovery_watch, relay_subscription
from rainpick.node.collector_listener import CollectorListener
from rainpick.node.commit_calls import UnconfirmedCall, commit_call
from rainpick.node.commit_client import CommitClient
from rainpick.node.discovery_watch import DiscoveryWatch
from rainpick.node.frame_codec import FrameReader
from rainpick.node.mailbox import Mailbox
from rainpick.node.proxy_membership import StreamEvent
from rainpick.node.relay_notifications import Ping
from rainpick.node.relay_subscription import RelaySubscription
from tests.node.platform import VOCABULARY, Discovery, Peer, Relay, cleared, entry, following, states
from tests.waiting import WAIT_S, until

JOINING = {"t": "telemetry", "locality": "a"}


class Held:
    """A socket whose ``recv`` waits at its very beginning, once, until it is let go on."""

    def __init__(self, sock):
        self.sock, self.came, self.on = sock, threading.Event(), threading.Event()

    def recv(self, size):
        self.came.set()
        assert self.on.wait(WAIT_S)
        return self.sock.recv(size)

    def __getattr__(self, name):
        return getattr(self.sock, name)


def test_a_descriptor_is_not_free_for_the_next_peer_while_its_reader_may_use_it():
    """A reader that was about to read would have taken the bytes of the peer that got the same number."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname(), WAIT_S)
        near, _ = listener.accept()
    held, found = Held(near), []
    stream = Stream(1, held, "peer", FrameReader(VOCABULARY), lambda _, what: found.append(what))
    stream.start()
    assert held.came.wait(WAIT_S)
    stream.close()
    assert near.fileno() >= 0, "it is still the reader's"
    held.on.set()
    until(lambda: near.fileno() < 0, "its end")
    assert len(found) == 1 and not stream.reading
    far.close()


class Opening:
    """A lock; once ``then`` is set it runs as soon as the lock is next let go of."""

    def __init__(self):
        self.lock, self.then = threading.Lock(), None

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()
        then, self.then = self.then, None
        if then:
            then()


def stranger(listener, peers):
    """A peer that has dialled in and said nothing, as the listener sees it."""
    peers.append(Peer(listener.address))
    name = "%s:%d" % peers[-1].sock.getsockname()
    return until(lambda: [one for one in list(listener.pending) if one.peer == name], "its place")[0]


def opened(sockets=256):
    listener = CollectorListener(("127.0.0.1", 0), VOCABULARY, sockets, Mailbox())
    listener.lock = Opening()
    listener.start()
    return listener


def joins(listener, stream, taken):
    """The stream joins, in another thread as its reader would; whether it was taken up goes to ``taken``."""
    thread = threading.Thread(target=listener.join, args=(stream, 0))
    thread.start()
    thread.join(WAIT_S)
    taken.append(stream in listener.collectors)


def test_who_joins_while_late_strangers_are_closed_is_let_in_or_closed_never_both():
    """It was taken up as a collector and closed: its zone went without reports until it dialled again."""
    listener, peers, taken = opened(), [], []
    late = stranger(listener, peers)
    listener.pending[late] = 0.0
    listener.lock.then = lambda: joins(listener, late, taken)
    listener.close_overdue()
    assert len(taken) == 1 and late.closed != taken[0]
    assert peers[0].read() == b""
    listener.listener.close()


def test_who_joins_while_it_makes_room_for_the_newest_is_let_in_or_closed_never_both():
    listener, peers, taken = opened(sockets=4), [], []  # room for one stranger
    first = stranger(listener, peers)
    listener.lock.then = lambda: joins(listener, first, taken)
    stranger(listener, peers)
    until(lambda: taken and (first.closed or first in listener.collectors), "an end to it")
    assert first.closed != taken[0]
    listener.listener.close()


# Calls to the relay


def step(*tables):
    return commit_call([model.ClearTable(table) for table in tables])


def calling(relay):
    return CommitClient(relay.address, list(VOCABULARY.routes), lambda told: None)


def begun(calls):
    threading.Thread(target=calls.run, daemon=True).start()
    return calls


def test_a_relay_that_closes_after_it_was_looked_at_and_before_the_call_is_sent(relay):
    """The call goes into a connection that has ended: it is in doubt and said again, before the next one."""
    calls = begun(calling(relay))
    calls.send(step(1))
    until(lambda: calls.counts["calls"] == 1, "the first call")
    looked = calls.connection.has_unexpected_input

    def ends_then():
        calls.connection.has_unexpected_input = looked
        assert not looked()
        relay.drop()
        until(lambda: not relay.open, "the end")
        return False

    calls.connection.has_unexpected_input = ends_then
    calls.send(step(2))
    calls.send(step(3))
    until(lambda: cleared(relay) == [1, 2, 3], "the calls")
    assert calls.counts["again"] == 1


def test_an_answer_that_came_while_the_thread_got_no_turn_is_read(relay, monkeypatch):
    """A busy core was taken for a dead relay: the call went out again, and the core had more to do."""
    calls = begun(calling(relay))
    calls.send(step(1))
    until(lambda: calls.counts["calls"] == 1, "a connection")
    monkeypatch.setattr(commit_connection, "ANSWER_TIMEOUT_S", 0.0)  # the time is up when the call has left

    class Late:
        """The socket of a thread that gets its next turn when the answer has come."""

        def __init__(self, sock):
            self.sock = sock

        def recv(self, size, *flags):
            if not flags:
                select.select([self.sock], [], [], WAIT_S)
            return self.sock.recv(size, *flags)

        def __getattr__(self, name):
            return getattr(self.sock, name)

    calls.connection.sock = Late(calls.connection.sock)
    calls.send(step(2))
    until(lambda: calls.counts["calls"] == 2, "the second call")
    assert cleared(relay) == [1, 2] and calls.counts["again"] == 0


def test_calls_that_keep_the_connection_and_are_refused_count_against_no_order(relay, monkeypatch):
    """Their refusals were added to those of the next call, which was left out at its first."""
    monkeypatch.setattr(commit_client, "KEEP_ALIVE_S", 0.02)
    calls = begun(calling(relay))
    calls.send(step(1))
    until(lambda: calls.counts["calls"] == 1, "a connection")
    relay.usual = lambda orders: "well" if orders else "syntax"
    until(lambda: [way for way, _ in relay.lines].count("syntax") > commit_client.REJECTION_LIMIT, "refusals")
    relay.ways = ["syntax"]
    until(lambda: not relay.ways, "one more")
    relay.ways = ["syntax"] * (commit_client.REJECTION_LIMIT - 1)
    calls.send(step(2))
    until(lambda: cleared(relay) == [1, 2], "the second call")


def test_an_order_for_which_a_whole_call_is_refused_is_left_out_alone(relay):
    """The withdrawals in the same call were lost for good, though the module believed them said."""
    relay.usual = lambda orders: "syntax" if any(order["cluster"] == 5 for order in orders) else "well"
    calls = begun(calling(relay))
    calls.send(step(*range(1, 9)))
    calls.send(step(9))
    until(lambda: cleared(relay)[-1:] == [9], "the next call")
    assert cleared(relay) == [1, 2, 3, 4, 6, 7, 8, 9]


def test_a_call_that_is_said_again_is_told_by_its_mark(relay):
    """Carried out and not answered, it waits twice in the channel: the module must know."""
    told, relay.ways = [], ["unheard", "busy"]
    calls = begun(CommitClient(relay.address, list(VOCABULARY.routes), told.append))
    calls.send(commit_call([model.ClearTable(1), model.RequestAcknowledgement(8, False)]))
    until(lambda: cleared(relay) == [1, 1] and calls.counts["calls"] == 1, "the call, twice")
    assert told == [UnconfirmedCall(8)], "what was refused was not carried out"


def test_what_is_ordered_while_the_relay_is_away_does_not_pile_up(relay):
    place = relay.address
    relay.close()
    calls = begun(CommitClient(place, list(VOCABULARY.routes), lambda told: None))
    for turn in range(500):
        calls.send(
            commit_call([model.SetWeight(1, "s-1", float(turn)), model.SetWithdrawn("s-2", bool(turn % 2))])
        )
    until(
        lambda: calls.queue.empty() and sum(len(one.commands) for one in calls.waiting) == 2, "what is left"
    )
    other = Relay()
    calls.set_address(other.address)
    until(lambda: other.carried and other.orders("share"), "what holds")
    assert [order["w"] for order in other.orders("share")] == [499.0] and len(other.orders("withdraw")) == 1
    other.close()


def test_what_was_ordered_before_the_end_is_said_first(relay):
    """SIGTERM in the middle of a call: it and the withdrawals behind it are said, if that is soon done."""
    relay.ways = ["lost"]
    calls = begun(calling(relay))
    calls.send(step(1))
    until(lambda: relay.lines, "a call that gets no answer")
    calls.send(step(2))
    calls.flush(WAIT_S)
    assert cleared(relay) == [1, 2]


def test_the_end_is_not_put_off_by_a_relay_that_is_away(relay):
    relay.close()
    calls = begun(calling(relay))
    calls.send(step(1))
    begin = time.monotonic()
    calls.flush(0.05)
    assert time.monotonic() - begin < 0.7


# News


def news_threads():
    return [thread for thread in threading.enumerate() if thread.name == relay_subscription.THREAD_NAME]


def test_a_stream_of_news_that_ends_while_the_next_is_dialled_is_followed_by_one_only(relay, monkeypatch):
    """Its reader took itself for the newest: a third stream was begun, and all proxies were told again."""
    until(lambda: not news_threads(), "the ends of earlier ones")
    other, found, dial = Relay(), [], relay_subscription.connect_relay
    other.attach(2)

    def dials(place, timeout_s):
        if place == other.address and relay.open:
            relay.drop()
            until(lambda: not news_threads(), "the end of the former stream")
        return dial(place, timeout_s)

    monkeypatch.setattr(relay_subscription, "connect_relay", dials)
    news = RelaySubscription(relay.address, VOCABULARY, found.extend)
    threading.Thread(target=news.run, daemon=True).start()
    until(lambda: StreamEvent(1, Ping()) in found, "a heartbeat")
    news.set_address(other.address)
    until(lambda: found.count(StreamEvent(2, Ping())) > 2, "the stream at the new address")
    assert news.newest_stream == 2 and len(news_threads()) == 1
    other.close()


# Discovery


def test_a_move_while_the_old_address_is_dialled_asks_nothing_there(discovery, monkeypatch):
    """There was no socket to interrupt yet: the old address was asked, for a whole time limit."""
    other, connect = Discovery(entry(3)), socket.create_connection
    dialling, on = threading.Event(), threading.Event()

    def dials(place, timeout_s):
        if place == discovery.address:
            dialling.set()
            assert on.wait(WAIT_S)
        return connect(place, timeout_s)

    monkeypatch.setattr("rainpick.http1.client.socket.create_connection", dials)
    watch, found = following(discovery)
    assert dialling.wait(WAIT_S)
    watch.set_address(other.address)
    on.set()
    until(lambda: found, "the list")
    assert not discovery.asked and states(found) == [{"s-0003": model.EndpointState.READY}]
    other.close()


def test_a_new_address_that_counts_from_a_lower_version_is_followed(discovery, monkeypatch):
    """It was asked for what is newer than the old one's version, and had nothing to tell for a long time."""
    monkeypatch.setattr(discovery_watch, "REGRESSION_S", 0.2)
    discovery.versions += [[]] * 50
    other = Discovery(entry(3))
    watch, found = following(discovery)
    until(lambda: found, "the list")
    watch.set_address(other.address)
    until(lambda: len(found) == 2, "the list there")
    other.change(entry(3, "Terminating"))
    until(lambda: len(found) == 3, "a change there")
    assert states(found)[1:] == [
        {"s-0003": model.EndpointState.READY},
        {"s-0003": model.EndpointState.DRAINING},
    ]
    other.close()


def test_a_move_between_two_turns_asks_the_new_address_for_the_whole_list(discovery):
    """The turn had looked whether it was the same address still: the new one was asked for changes since the
    old one's version."""
    other, found = Discovery(entry(3)), []

    class Moving(DiscoveryWatch):
        """``client`` is looked at, and then another thread moves."""

        armed = False

        @property
        def client(self):
            now = self.held
            if self.armed:
                self.armed = False
                self.set_address(other.address)
            return now

        @client.setter
        def client(self, client):
            self.held = client

    def give(news):
        found.append(news)
        watch.armed = len(found) == 1

    watch = Moving(discovery.address, VOCABULARY, give)
    threading.Thread(target=watch.run, daemon=True).start()
    until(lambda: other.asked, "the new address")
    assert other.asked[0] == "/catalog/members"
    other.close()


def test_an_old_list_that_comes_late_undoes_nothing(discovery):
    """A server that drains stood as ready again."""
    watch, found = following(discovery)
    until(lambda: found, "the list")
    old = discovery.told(True, discovery.versions[0])
    with discovery.changed:
        discovery.odd = [old, old]
    discovery.change(entry(1, "Terminating"))
    until(
        lambda: not discovery.odd and states(found)[-1]["s-0001"] == model.EndpointState.DRAINING, "the drain"
    )
    discovery.change(entry(2, "Terminating"))
    until(lambda: states(found)[-1].get("s-0002") == model.EndpointState.DRAINING, "the next")
    seen = [told["s-0001"] for told in states(found) if "s-0001" in told]
    assert (
        seen.index(model.EndpointState.DRAINING)
        and model.EndpointState.READY not in seen[seen.index(model.EndpointState.DRAINING) :]
    )


def test_a_change_that_cannot_be_read_is_told_by_the_whole_list(discovery):
    """It is said once; what was dropped with it was a drain."""
    watch, found = following(discovery)
    until(lambda: found and len(discovery.asked) > 1, "a watch")
    told = discovery.told

    def spoils(full, entries):
        if full:
            return told(full, entries)
        discovery.told = told
        return told(full, [one | {"weight": "heavy"} for one in entries])

    discovery.told = spoils
    discovery.change(entry(1, "Terminating"))
    until(lambda: states(found)[-1].get("s-0001") == model.EndpointState.DRAINING, "the drain")


def test_a_client_that_is_aborted_makes_no_call_any_more(discovery):
    client = Client(*discovery.address)
    assert client.call("GET", "/catalog/members")[0] == 200
    client.abort()
    for _ in range(2):
        with pytest.raises(ClientError):
            client.call("GET", "/catalog/members")
    assert len(discovery.asked) == 1
