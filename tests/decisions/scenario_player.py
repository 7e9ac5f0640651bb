"""Plays a scenario: a small text file about one director. ``play(text)`` raises AssertionError if it fails.

A line is ``MS: EVENT; EVENT ...`` (one batch at that millisecond; timers ring on the way there) or a check of
how things stand after it. ``#`` begins a comment. Servers have short names; ``a:new`` is one that starts at
that time, ``a:drain`` and ``a:gone`` say what the list says, ``a:*2`` gives a listed weight, and ``A`` is of
another machine type than ``a``.

    set NAME=VALUE ...        settings, before the start
    MS: start | cached a b | full a b | list a:drain     a director starts; the list as cached, whole, changes
    MS: join P [RATE [ZONE]] | left P | deaf P           a proxy joins or leaves; it answers no mark any more
    MS: back P [RATE [ZONE]]                             one joins that holds what another director laid
    MS: met a TRIES DROPPED [MEAN_MS [SPAN_MS]]          a report of what the proxies met at a server
    MS: again MARK                                       what had this mark may have been written twice
    MS: calls P ROUTE N                                  a report of what came to a proxy in the last second
    MS: probed a OUTCOME                                 a probe's end, by the number of its outcome
    MS: stall MS2                                        no batch before MS2; then all at once
    see ORDER...              this order was given since the last batch line began, ``*``: anything
    not ORDER...              none like this was given
    picks P a b               what proxy P may pick: the lines of its table that are not withdrawn
    lines P N                 how many it may pick
    keeps P                   it may pick what it could at the last such check (the first one only notes it)
    part a 0.25               the weight of a's line over its listed weight
    messages N MS             no proxy was written more than N messages within MS
"""

import fnmatch
from functools import partial
from heapq import heappop, heappush

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.operator_settings import translate_value

# What scenarios call the commands.
COMMAND_NAMES = {
    model.SetWeight: "setline",
    model.ClearTable: "cleartable",
    model.SetWithdrawn: "withdraw",
    model.RequestAcknowledgement: "mark",
    model.BindProxy: "bind",
    model.SetAdmission: "admit",
    model.ProbeServer: "probe",
    model.SendPeerMessage: "tell",
    model.SetTimer: "settimer",
    model.Subscribe: "subscribe",
    model.FetchEndpoints: "fetchlist",
    model.LogMessage: "note",
}
STATES = {
    "": model.EndpointState.READY,
    "new": model.EndpointState.READY,
    "drain": model.EndpointState.DRAINING,
    "gone": model.EndpointState.GONE,
}


class ScenarioPlayer:
    """One director, what it ordered, and what its proxies hold.

    ``checks`` and ``events`` map the words of a scenario to the methods that play them.
    """

    def __init__(self):
        self.settings = {"routes.count": 1, "routes.0.slo_time_us": 500_000}
        self.director = Director()
        self.now = 0
        self.stalled_until = 0  # no step before that time
        self.entries = {}  # the endpoint list, by name
        self.commands = []  # what was ordered since the last line of events
        self.first_seen = {}  # by proxy, what "keeps" noted
        self.sent = {}  # by proxy, when messages were written to it
        self.deaf = set()  # proxies that acknowledge nothing
        self.forget_director()
        self.checks = {
            "set": self.set,
            "see": self.see,
            "not": self.see_not,
            "picks": self.picks,
            "lines": self.count_lines,
            "keeps": self.keeps,
            "part": self.part,
            "messages": self.messages,
        }
        self.events = {
            "start": self.start,
            "cached": partial(self.update, model.UpdateKind.CACHED),
            "full": partial(self.update, model.UpdateKind.FULL),
            "list": partial(self.update, model.UpdateKind.DELTA),
            "join": partial(self.join, True),
            "back": partial(self.join, False),
            "left": self.left,
            "met": self.met,
            "again": self.again,
            "calls": self.calls,
            "probed": self.probed,
        }

    def forget_director(self):
        """Whatever the director set up is gone with it."""
        self.timers = []
        self.bound = {}  # by joined proxy, its table
        self.tables = {}  # by table, the weights in it
        self.withdrawn = set()

    # Events

    def start(self):
        self.forget_director()
        self.director = Director()
        return model.Started(7, dict(self.settings))

    def entry(self, word):
        """An entry of the list as a scenario names it: ``a``, ``a:new``, ``a:drain*2``."""
        name, _, rest = word.partition(":")
        state, _, weight = rest.partition("*")
        old = self.entries.get(name)
        started = self.now if state == "new" else old.started_us if old else 0
        zone = old.zone if old else len(self.entries) % 2
        fields = float(weight or 1), zone, started, name.isupper(), 0, name, STATES[state]
        self.entries[name] = model.Endpoint(*fields)
        return self.entries[name]

    def update(self, kind, *words):
        return model.EndpointUpdate(kind, tuple(self.entry(word) for word in words), 1)

    def join(self, newly_started, proxy, rate="1", zone="0"):
        self.bound[int(proxy)], self.sent[int(proxy)] = None, []
        return model.ProxyJoined(int(proxy), newly_started, float(rate), int(zone))

    def left(self, proxy):
        del self.bound[int(proxy)]
        return model.ProxyLeft(int(proxy))

    def met(self, server, attempts, failures, mean_ms="50", interval_ms="1000"):
        latency_us, interval_us = int(mean_ms) * 1000, int(interval_ms) * 1000
        return model.ServerLoadReport(server, 0, int(attempts), int(failures), latency_us, interval_us, ())

    def again(self, nonce):
        return model.Retransmitted(int(nonce))

    def calls(self, proxy, route, requests):
        return model.RouteLoadReport(int(proxy), int(route), int(requests), 0, 1_000_000)

    def probed(self, server, outcome):
        return model.ProbeCompleted(server, int(outcome), 1000, ())

    # Steps

    def step(self, events):
        """Step the director, and carry out what it orders."""
        reached = set()
        for command in self.director.step(self.now, events):
            reached |= self.carry_out(command, frozenset(reached))
            fields = (str(field) for field in command)
            self.commands.append(" ".join([COMMAND_NAMES[type(command)], *fields]))
        for proxy in reached:
            self.sent[proxy].append(self.now)

    def carry_out(self, command, reached):
        """Do what a command says; the proxies that it reaches. ``reached``: those of the commands before."""
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
            answers = [model.Acknowledged(proxy, command.nonce, 0) for proxy in reached - self.deaf]
            heappush(self.timers, (self.now + 300_000, -1, command.nonce, answers))
        return set()

    def until(self, moment):
        """Let timers and acknowledgements come that are due by a time."""
        while self.timers and max(self.timers[0][0], self.stalled_until) <= moment:
            due, token, *answers = heappop(self.timers)
            self.now = max(due, self.stalled_until, self.now)
            answers = [event for event in answers[-1] if event.proxy in self.bound] if answers else []
            self.step(answers if token == -1 else [model.TimerFired(token)])
        self.now = moment

    def batch(self, moment_ms, text):
        """A line of events at a time."""
        self.commands.clear()
        self.until(moment_ms * 1000)
        events = []
        for verb, *words in (part.split() for part in text.split(";") if part.strip()):
            if verb == "stall":
                self.stalled_until = int(words[0]) * 1000
            elif verb == "deaf":
                self.deaf.add(int(words[0]))
            else:
                assert verb in self.events, f"no event is called {verb}"
                events.append((self.events[verb], words))
        if events:
            self.step([event(*words) for event, words in events])

    # Checks

    def set(self, *words):
        for word in words:
            name, _, value = word.partition("=")
            self.settings[name] = translate_value(value)

    def see(self, *words):
        assert fnmatch.filter(self.commands, " ".join(words)), self.commands

    def see_not(self, *words):
        assert not fnmatch.filter(self.commands, " ".join(words)), self.commands

    def usable(self, proxy):
        return set(self.tables.get(self.bound[int(proxy)], {})) - self.withdrawn

    def picks(self, proxy, *servers):
        table = self.tables.get(self.bound[int(proxy)], {})
        assert self.usable(proxy) == set(servers), (table, self.withdrawn, set(servers))

    def count_lines(self, proxy, count):
        assert len(self.usable(proxy)) == int(count), self.usable(proxy)

    def keeps(self, proxy):
        expected = self.first_seen.setdefault(proxy, self.usable(proxy))
        assert self.usable(proxy) == expected, (self.usable(proxy), expected)

    def part(self, server, fraction):
        weights = [table[server] for table in self.tables.values() if server in table]
        expected = float(fraction) * self.entries[server].weight
        assert weights and all(abs(weight - expected) < 0.01 for weight in weights), weights

    def messages(self, count, window_ms):
        for moments in self.sent.values():
            for last, moment in enumerate(moments):
                recent = [early for early in moments[: last + 1] if moment - early < int(window_ms) * 1000]
                assert len(recent) <= int(count), moments

    def line(self, text):
        """Play a line: events at a time, or a check."""
        verb, *words = text.split()
        if verb.endswith(":"):
            self.batch(int(verb[:-1]), text.partition(":")[2])
        else:
            assert verb in self.checks, f"no check is called {verb}"
            self.checks[verb](*words)


def play(text):
    """Play a scenario.

    >>> play("0: start; cached a b; join 1")
    >>> play("0: start; cached a b; join 1 \\n picks 1 a b \\n not withdraw *")
    >>> play("0: start; cached a b; join 1 \\n picks 1 a")
    Traceback (most recent call last):
    AssertionError: line 2 (picks 1 a): ({'a': 1.0, 'b': 1.0}, set(), {'a'})
    """
    player = ScenarioPlayer()
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.partition("#")[0].strip()
        try:
            if line:
                player.line(line)
        except AssertionError as error:
            raise AssertionError(f"line {number} ({line}): {error}") from None
