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
from heapq import heappop, heappush

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.wording import value as read

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


class Play:
    def __init__(self):
        self.settings = {"routes.count": 1, "routes.0.slo_time_us": 500_000}
        self.director, self.now, self.blocked = Director(), 0, 0
        self.bells, self.listed, self.seen, self.kept = [], {}, [], {}
        self.joined, self.table, self.shut, self.writes, self.deaf = {}, {}, set(), {}, set()

    def server(self, word):
        name, _, rest = word.partition(":")
        state, _, weight = rest.partition("*")
        old = self.listed.get(name)
        started = self.now if state == "new" else old.started_us if old else 0
        zone = old.zone if old else len(self.listed) % 2
        fields = float(weight or 1), zone, started, name.isupper(), 0, name, STATES[state]
        self.listed[name] = model.Endpoint(*fields)
        return self.listed[name]

    def event(self, verb, *words):
        if verb == "start":
            self.joined, self.table, self.shut, self.bells, self.director = {}, {}, set(), [], Director()
            return model.Started(7, dict(self.settings))
        if verb in ("cached", "full", "list"):
            kind = {
                "cached": model.UpdateKind.CACHED,
                "full": model.UpdateKind.FULL,
                "list": model.UpdateKind.DELTA,
            }[verb]
            return model.EndpointUpdate(kind, tuple(self.server(word) for word in words), 1)
        if verb in ("join", "back"):
            number, rate, zone = (*map(int, words), *(1, 0)[len(words) - 1 :])
            self.joined[number], self.writes[number] = None, []
            return model.ProxyJoined(number, verb == "join", float(rate), zone)
        if verb == "left":
            del self.joined[int(words[0])]
            return model.ProxyLeft(int(words[0]))
        if verb == "met":
            tries, dropped, mean, span = (*map(int, words[1:]), *(50, 1000)[len(words) - 3 :])
            return model.ServerLoadReport(words[0], 0, tries, dropped, mean * 1000, span * 1000, ())
        if verb == "again":
            return model.Retransmitted(int(words[0]))
        if verb == "calls":
            return model.RouteLoadReport(*map(int, words), 0, 1_000_000)
        assert verb == "probed", f"no event is called {verb}"
        return model.ProbeCompleted(words[0], int(words[1]), 1000, ())

    def step(self, events):
        reached = set()
        for order in self.director.step(self.now, events):
            name = COMMAND_NAMES[type(order)]
            if type(order) is model.SetTimer:
                heappush(self.bells, (self.now + order.delay_us, order.token))
            elif type(order) is model.BindProxy:
                self.joined[order.proxy] = order.table
                reached.add(order.proxy)
            elif type(order) is model.SetWeight:
                lines = self.table.setdefault(order.table, {})
                lines[order.server] = order.weight
                if not order.weight:
                    del lines[order.server]
                reached.update(number for number, table in self.joined.items() if table == order.table)
            elif type(order) is model.SetWithdrawn:
                (self.shut.add if order.withdrawn else self.shut.discard)(order.server)
                reached.update(self.joined)
            elif type(order) is model.RequestAcknowledgement:
                answers = [model.Acknowledged(number, order.nonce, 0) for number in reached - self.deaf]
                heappush(self.bells, (self.now + 300_000, -1, order.nonce, answers))
            self.seen.append(" ".join([name, *(str(field) for field in order)]))
        for number in reached:
            self.writes[number].append(self.now)

    def until(self, moment):
        while self.bells and max(self.bells[0][0], self.blocked) <= moment:
            due, token, *answers = heappop(self.bells)
            self.now = max(due, self.blocked, self.now)
            answers = [event for event in answers[-1] if event.proxy in self.joined] if answers else []
            self.step(answers if token == -1 else [model.TimerFired(token)])
        self.now = moment

    def line(self, text):
        verb, *words = text.split()
        if verb.endswith(":"):
            self.seen.clear()
            self.until(int(verb[:-1]) * 1000)
            parts = [part.split() for part in text.partition(":")[2].split(";") if part.strip()]
            for part in [part for part in parts if part[0] in ("stall", "deaf")]:
                parts.remove(part)
                if part[0] == "stall":
                    self.blocked = int(part[1]) * 1000
                else:
                    self.deaf.add(int(part[1]))
            if parts:
                self.step([self.event(*part) for part in parts])
        elif verb == "set":
            for word in words:
                name, _, value = word.partition("=")
                self.settings[name] = read(name, value)
        elif verb == "see":
            assert fnmatch.filter(self.seen, " ".join(words)), self.seen
        elif verb == "not":
            assert not fnmatch.filter(self.seen, " ".join(words)), self.seen
        elif verb in ("picks", "lines", "keeps"):
            lines = self.table.get(self.joined[int(words[0])], {})
            open_now = set(lines) - self.shut
            if verb == "lines":
                assert len(open_now) == int(words[1]), open_now
            else:
                wanted = set(words[1:]) if verb == "picks" else self.kept.setdefault(words[0], open_now)
                assert open_now == wanted, (lines, self.shut, wanted)
        elif verb == "part":
            found = [lines[words[0]] for lines in self.table.values() if words[0] in lines]
            wanted = float(words[1]) * self.listed[words[0]].weight
            assert found and all(abs(weight - wanted) < 0.01 for weight in found), found
        else:
            assert verb == "messages", f"no check is called {verb}"
            for moments in self.writes.values():
                for last, moment in enumerate(moments):
                    recent = [early for early in moments[: last + 1] if moment - early < int(words[1]) * 1000]
                    assert len(recent) <= int(words[0]), moments


def play(text):
    """Play a scenario.

    >>> play("0: start; cached a b; join 1")
    >>> play("0: start; cached a b; join 1 \\n picks 1 a b \\n not withdraw *")
    >>> play("0: start; cached a b; join 1 \\n picks 1 a")
    Traceback (most recent call last):
    AssertionError: line 2 (picks 1 a): ({'a': 1.0, 'b': 1.0}, set(), {'a'})
    """
    scene = Play()
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.partition("#")[0].strip()
        try:
            if line:
                scene.line(line)
        except AssertionError as flaw:
            raise AssertionError(f"line {number} ({line}): {flaw}") from None
