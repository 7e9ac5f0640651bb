"""Plays scenarios: small text files about one director. ``play(text)`` raises AssertionError if one fails.

A line is either ``MS: EVENT; EVENT ...``, a batch of events at that time in milliseconds, or a check of the
state after the batches so far. Timers that are due before a batch fire first. ``#`` begins a comment. Servers
have short names. In an endpoint list, ``a:new`` is a server that starts at the time of the batch, ``a:drain``
and ``a:gone`` are servers in these states, ``a:*2`` is a server with the listed weight 2, and a name in upper
case is a server of another machine type.

    set NAME=VALUE ...        settings, before the start
    MS: start                                            a director starts without state
    MS: cached a b | full a b | list a:drain             a cached or complete list, or changed entries
    MS: join P [RATE [ZONE]] | left P                    a proxy joins or leaves
    MS: rejoin P [RATE [ZONE]]                           a proxy joins that another director has bound
    MS: unresponsive P                                   a proxy acknowledges nothing from now on
    MS: report a ATTEMPTS FAILURES [MEAN_MS [INTERVAL_MS]]   a load report on a server
    MS: retransmitted NONCE                              the reply with this nonce is sent again
    MS: unconfirmed NONCE REPLY...                       a call with commands of these replies got no answer
    MS: requests P ROUTE N                               a load report: requests to a proxy in the last second
    MS: probed a OUTCOME                                 a health check ends, with the number of its outcome
    MS: stall MS2                                        no step before MS2; delayed events are then delivered
    expect COMMAND...         this command was returned since the last batch line; ``*`` matches anything
    forbid COMMAND...         no such command was returned since the last batch line
    usable P a b              proxy P may use these servers: those of its table that are not withdrawn
    usable_count P N          proxy P may use N servers
    unchanged P               proxy P may use the same servers as at the first ``unchanged`` check of P
    weight a 0.25             the published weight of server a divided by its listed weight
    messages N MS             no proxy was sent more than N messages within MS
"""

import fnmatch
from functools import partial
from heapq import heappop, heappush

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.decisions.retransmission import RetransmissionRequested, Retransmit
from rainpick.operator_settings import translate_value

# The names of the commands in ``expect`` and ``forbid``.
COMMAND_NAMES = {
    model.SetWeight: "set_weight",
    model.ClearTable: "clear_table",
    model.SetWithdrawn: "set_withdrawn",
    model.RequestAcknowledgement: "request_acknowledgement",
    Retransmit: "retransmit",
    model.BindProxy: "bind",
    model.SetAdmission: "set_admission",
    model.ProbeServer: "probe",
    model.SendPeerMessage: "send_peer_message",
    model.SetTimer: "set_timer",
    model.Subscribe: "subscribe",
    model.FetchEndpoints: "fetch_endpoints",
    model.LogMessage: "log_message",
}
STATES = {
    "": model.EndpointState.READY,
    "new": model.EndpointState.READY,
    "drain": model.EndpointState.DRAINING,
    "gone": model.EndpointState.GONE,
}


class ScenarioPlayer:
    """One director, the commands that it returned, and the state of its proxies.

    ``checks`` maps the first word of a check line, and ``events`` the first word of an event, to the method
    that plays it.
    """

    def __init__(self):
        self.settings = {"routes.count": 1, "routes.0.slo_time_us": 500_000}
        self.director = Director()
        self.now = 0
        self.stalled_until = 0  # time in microseconds before which no step is made
        self.endpoints = {}  # entries of the endpoint list by name
        self.commands = []  # commands since the last line of events
        self.first_usable = {}  # by proxy, the usable servers at its first "unchanged" check
        self.sent = {}  # by proxy, the times in microseconds at which messages were sent to it
        self.unresponsive = set()  # proxies that acknowledge nothing
        self.reset_director_state()
        self.checks = {
            "set": self.set,
            "expect": self.expect_command,
            "forbid": self.forbid_command,
            "usable": self.expect_usable,
            "usable_count": self.expect_usable_count,
            "unchanged": self.expect_unchanged,
            "weight": self.expect_weight,
            "messages": self.expect_message_limit,
        }
        self.events = {
            "start": self.start,
            "cached": partial(self.update, model.UpdateKind.CACHED),
            "full": partial(self.update, model.UpdateKind.FULL),
            "list": partial(self.update, model.UpdateKind.DELTA),
            "join": partial(self.join, True),
            "rejoin": partial(self.join, False),
            "left": self.left,
            "report": self.server_report,
            "retransmitted": self.retransmitted,
            "unconfirmed": self.unconfirmed,
            "requests": self.route_report,
            "probed": self.probe_completed,
        }

    def reset_director_state(self):
        """Discard all state that the commands of a director created."""
        self.timers = []
        self.bound = {}  # by joined proxy, the number of its table or None
        self.tables = {}  # by table number, the weights of its servers
        self.withdrawn = set()

    # Events

    def start(self):
        self.reset_director_state()
        self.director = Director()
        return model.Started(7, dict(self.settings))

    def endpoint(self, word):
        """Parse an entry of the endpoint list, for example ``a``, ``a:new`` or ``a:drain*2``."""
        name, _, rest = word.partition(":")
        state, _, weight = rest.partition("*")
        old = self.endpoints.get(name)
        started = self.now if state == "new" else old.started_us if old else 0
        zone = old.zone if old else len(self.endpoints) % 2
        fields = float(weight or 1), zone, started, name.isupper(), 0, name, STATES[state]
        self.endpoints[name] = model.Endpoint(*fields)
        return self.endpoints[name]

    def update(self, kind, *words):
        return model.EndpointUpdate(kind, tuple(self.endpoint(word) for word in words), 1)

    def join(self, newly_started, proxy, rate="1", zone="0"):
        self.bound[int(proxy)], self.sent[int(proxy)] = None, []
        return model.ProxyJoined(int(proxy), newly_started, float(rate), int(zone))

    def left(self, proxy):
        del self.bound[int(proxy)]
        return model.ProxyLeft(int(proxy))

    def server_report(self, server, attempts, failures, mean_ms="50", interval_ms="1000"):
        latency_us, interval_us = int(mean_ms) * 1000, int(interval_ms) * 1000
        return model.ServerLoadReport(server, 0, int(attempts), int(failures), latency_us, interval_us, ())

    def retransmitted(self, nonce):
        return model.Retransmitted(int(nonce))

    def unconfirmed(self, nonce, *replies):
        return RetransmissionRequested(int(nonce), tuple(map(int, replies)))

    def route_report(self, proxy, route, requests):
        return model.RouteLoadReport(int(proxy), int(route), int(requests), 0, 1_000_000)

    def probe_completed(self, server, outcome):
        return model.ProbeCompleted(server, int(outcome), 1000, ())

    # Steps

    def step(self, events):
        """Step the director, apply its commands, and record them and the messages sent."""
        reached = set()
        for command in self.director.step(self.now, events):
            reached |= self.apply_command(command, frozenset(reached))
            fields = (str(field) for field in command)
            self.commands.append(" ".join([COMMAND_NAMES[type(command)], *fields]))
        for proxy in reached:
            self.sent[proxy].append(self.now)

    def apply_command(self, command, reached):
        """Apply a command; returns the proxies that it reaches.

        ``reached`` are the proxies that earlier commands of the same reply reach.
        """
        kind = type(command)
        if kind is model.SetTimer:
            heappush(self.timers, (self.now + command.delay_us, command.token))
        elif kind is model.BindProxy:
            self.bound[command.proxy] = command.table
            return {command.proxy}
        elif kind is model.SetWeight:
            weights = self.tables.setdefault(command.table, {})
            weights[command.server] = command.weight
            if not command.weight:
                del weights[command.server]
            return {proxy for proxy, table in self.bound.items() if table == command.table}
        elif kind is model.SetWithdrawn:
            (self.withdrawn.add if command.withdrawn else self.withdrawn.discard)(command.server)
            return set(self.bound)
        elif kind is model.RequestAcknowledgement:
            acknowledgements = [
                model.Acknowledged(proxy, command.nonce, 0) for proxy in reached - self.unresponsive
            ]
            heappush(self.timers, (self.now + 300_000, -1, command.nonce, acknowledgements))
        return set()

    def advance_to(self, time_us):
        """Fire the timers and deliver the acknowledgements that are due by a time in microseconds."""
        while self.timers and max(self.timers[0][0], self.stalled_until) <= time_us:
            due, token, *rest = heappop(self.timers)
            self.now = max(due, self.stalled_until, self.now)
            acknowledgements = [event for event in rest[-1] if event.proxy in self.bound] if rest else []
            self.step(acknowledgements if token == -1 else [model.TimerFired(token)])
        self.now = time_us

    def play_events(self, time_ms, text):
        """Play a line of events at a time in milliseconds."""
        self.commands.clear()
        self.advance_to(time_ms * 1000)
        events = []
        for verb, *words in (part.split() for part in text.split(";") if part.strip()):
            if verb == "stall":
                self.stalled_until = int(words[0]) * 1000
            elif verb == "unresponsive":
                self.unresponsive.add(int(words[0]))
            else:
                assert verb in self.events, f"unknown event {verb}"
                events.append((self.events[verb], words))
        if events:
            self.step([event(*words) for event, words in events])

    # Checks

    def set(self, *words):
        for word in words:
            name, _, value = word.partition("=")
            self.settings[name] = translate_value(value)

    def expect_command(self, *words):
        assert fnmatch.filter(self.commands, " ".join(words)), self.commands

    def forbid_command(self, *words):
        assert not fnmatch.filter(self.commands, " ".join(words)), self.commands

    def usable(self, proxy):
        return set(self.tables.get(self.bound[int(proxy)], {})) - self.withdrawn

    def expect_usable(self, proxy, *servers):
        table = self.tables.get(self.bound[int(proxy)], {})
        assert self.usable(proxy) == set(servers), (table, self.withdrawn, set(servers))

    def expect_usable_count(self, proxy, count):
        assert len(self.usable(proxy)) == int(count), self.usable(proxy)

    def expect_unchanged(self, proxy):
        expected = self.first_usable.setdefault(proxy, self.usable(proxy))
        assert self.usable(proxy) == expected, (self.usable(proxy), expected)

    def expect_weight(self, server, fraction):
        weights = [table[server] for table in self.tables.values() if server in table]
        expected = float(fraction) * self.endpoints[server].weight
        assert weights and all(abs(weight - expected) < 0.01 for weight in weights), weights

    def expect_message_limit(self, count, window_ms):
        for times_us in self.sent.values():
            for last, time_us in enumerate(times_us):
                recent = [early for early in times_us[: last + 1] if time_us - early < int(window_ms) * 1000]
                assert len(recent) <= int(count), times_us

    def play_line(self, text):
        """Play a line of a scenario, which is a batch of events or a check."""
        verb, *words = text.split()
        if verb.endswith(":"):
            self.play_events(int(verb[:-1]), text.partition(":")[2])
        else:
            assert verb in self.checks, f"unknown check {verb}"
            self.checks[verb](*words)


def play(text):
    """Play a scenario.

    >>> play("0: start; cached a b; join 1")
    >>> play("0: start; cached a b; join 1 \\n usable 1 a b \\n forbid set_withdrawn *")
    >>> play("0: start; cached a b; join 1 \\n usable 1 a")
    Traceback (most recent call last):
    AssertionError: line 2 (usable 1 a): ({'a': 1.0, 'b': 1.0}, set(), {'a'})
    """
    player = ScenarioPlayer()
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.partition("#")[0].strip()
        try:
            if line:
                player.play_line(line)
        except AssertionError as error:
            raise AssertionError(f"line {number} ({line}): {error}") from None
