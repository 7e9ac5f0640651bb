"""All decisions of a director: desired state per server, shared tables of listed weight x percentage.

How it is called: make one ``Director`` per instance and hand ``step`` the clock and the events that came; it
returns the orders to carry out. The first event is ``Started``. Events and orders are the types of
``rainpick.interface``; settings are the plain map that ``Started`` brings. docs/design.md says what was kept
of the design, what was changed, and when each exception acts.

Beside the design stand these mechanisms (six at most):
1. Paced channel: lines that wait and messages per proxy are accounted for; what is urgent goes first.
2. Cold guard: the percentage of a server that started lately follows its listed start time.
3. Ejection on evidence: a server far worse than the fleet is shut out, and comes back by the ramp.
4. Retries by route: what a proxy may try again follows from the route's effect.
"""

from collections import deque
from statistics import median
from zlib import crc32

from rainpick import interface as api
from rainpick.interface import DRAINING, GONE, READY

TICK_US = 2_000_000  # the design's tick
BEAT_US = TICK_US // 8  # how often what was put off is looked at again
FIRST_STEP, STEP = 0.25, 0.25  # back from a drain or an ejection: the first percentage, the points per tick
RING = 4  # buckets of evidence, each as long as the reports' period
EJECT_DROPS = 4  # fewer dropped calls than this prove nothing
EJECT_SHARE = 0.3  # nor does a dropped share less than this above the fleet's
SURE = 3.0  # nor does an excess under so many standard deviations
EJECT_MOST = 0.34  # of the listed weight that is ready and warm: no more is shut out on evidence
CALM = 0.7  # cold servers are used while the fleet answers at least this share of its tries
QUICK = 2  # what answers the rest within this multiple of the fleet's time is broken, not overrun
OVERRUN_TRIES = 10  # fewer tries than this do not show that a server is overrun
OVERRUN_TIME, OVERRUN_SLO = 1.6, 0.5  # its time is so much longer than the fleet's, and this part of the SLO
JAM, EASY = 0.75, 0.5  # the fleet's middle time as a part of the SLO: retries stop, or follow any failure
THROTTLE = 0.5  # from this load on, calls are throttled
THROTTLE_PART, THROTTLE_RISE, THROTTLE_LEAST = 0.9, 1.1, 0.6  # what is let in falls and rises so; its least
EASE = 0.125  # then it gets so much less
OVERRUN_TICKS = 4  # for this many ticks at least
LEAST_HEALTH = 0.3
HOLD_TICKS = 2  # an ejection lasts this many ticks, twice as many after each relapse
ROOM = 0.5  # binds and ramp steps leave this part of the channel's queue to withdrawals
BURST = 0.25  # of the messages that a proxy may be written, this part may go out at once
TABLE = 0


class Ring:
    """Sums over the last few buckets of time, which are used again in a ring."""

    def __init__(self, columns):
        self.cells, self.newest = [[0] * columns for _ in range(RING)], 0

    def add(self, bucket, *values):
        for number in range(max(self.newest + 1, bucket - RING + 1), bucket + 1):
            self.cells[number % RING][:] = [0] * len(self.cells[0])
        self.newest = max(bucket, self.newest)
        cell = self.cells[bucket % RING]
        for column, value in enumerate(values):
            cell[column] += value

    def sums(self, bucket):
        self.add(bucket)
        return [sum(column) for column in zip(*self.cells, strict=True)]


class State:
    """What the director holds of one server."""

    def __init__(self, entry):
        self.entry, self.state, self.shut, self.laid = entry, GONE, False, 0.0
        self.back_us = None  # when it came back from a drain or an ejection
        self.eject_until, self.relapses = 0, 0
        self.health, self.healthy_us, self.deaf_us = 1.0, 0, 0  # its part on evidence; when to look again
        self.ring = Ring(3)  # tries, dropped ones, microseconds of the answered ones


class Proxy:
    """What the director holds of one joined proxy."""

    def __init__(self, event):
        self.zone, self.rate, self.bound = event.zone, event.rate, False
        self.calls = {}  # by route: calls that came, and over how many microseconds
        self.unread = deque()  # (mark, lines) of messages not yet answered
        self.tokens, self.filled_us = None, 0  # messages that it may be written, and when that was counted


class Director:
    """One instance. Nothing is shared with others."""

    def step(self, now, events):
        """Take what happened, return what to do."""
        self.now, self.orders = now, []
        if type(events[0]) is api.Started:
            self.started(events[0])
        self.bucket = now // self.period_us
        for event in events:
            self.HEAR[type(event)](self, event)
        self.decide()
        return self.orders

    # What is heard

    def started(self, event):
        self.settings, self.seed, self.drawn = event.settings, event.seed, 0
        self.servers, self.proxies, self.lines = {}, {}, {}
        self.mark, self.next_tick, self.next_beat, self.judge_due = 0, self.now, self.now, False
        self.kinds = {}  # the part of machine types that were overrun
        self.limit = self.goodput = None  # calls a microsecond that are let in; that are answered
        self.limit_us, self.answered = 0, Ring(1)
        self.answering = 1.0  # the share of tries that the fleet answers
        self.period_us = self.get("proxies.report_every_us", TICK_US)
        self.routes = range(self.get("routes.count", 0))
        self.slo_us = min((self.get(f"routes.{route}.slo_time_us", 0) for route in self.routes), default=0)
        if self.get("discovery", "pushed") == "on_request":
            self.orders.append(api.Subscribe(True))
        self.load, self.broken, self.said = 0.0, False, {}  # the fleet's middle time as a part of the SLO time

    def get(self, name, default):
        return self.settings.get(name, default)

    def listed(self, event):
        if event.kind == api.FAILED:
            self.orders.append(api.SetTimer(1, TICK_US))
            return
        for entry in event.servers:
            held = self.servers.setdefault(entry.address, None)
            if held is None:
                held = self.servers[entry.address] = State(entry)
            if entry.state == READY and held.state == DRAINING and entry.started_us == held.entry.started_us:
                held.back_us = self.now
            if entry.started_us != held.entry.started_us:
                held.eject_until = held.relapses = 0
                held.health = 1.0
            held.entry, held.state = entry, entry.state
        if event.kind != api.DELTA:
            present = {entry.address for entry in event.servers}
            for address, held in self.servers.items():
                if address not in present:
                    held.state = GONE

    def timer(self, event):
        if event.token == 1:
            self.orders.append(api.Subscribe(True))

    def joined(self, event):
        self.proxies[event.proxy] = Proxy(event)

    def left(self, event):
        self.proxies.pop(event.proxy, None)

    def applied(self, event):
        proxy = self.proxies.get(event.proxy)
        if proxy and any(mark == event.number for mark, _ in proxy.unread):
            while proxy.unread.popleft()[0] != event.number:
                pass

    def met(self, event):
        held = self.servers.get(event.server)
        self.answered.add(self.bucket, event.tries - event.dropped)
        if held and not held.eject_until and self.now >= held.deaf_us:
            took = (event.tries - event.dropped) * event.mean_us
            held.ring.add(self.bucket, event.tries, event.dropped, took)
            self.judge_due = True

    def called(self, event):
        if event.proxy in self.proxies:
            ring = self.proxies[event.proxy].calls.setdefault(event.route, Ring(2))
            ring.add(self.bucket, event.calls, event.span_us)

    def slice_given(self, event):
        if event.on:
            self.lines[event.slice] = {}
        else:
            self.lines.pop(event.slice, None)

    def slice_line(self, event):
        if event.slice in self.lines:
            self.lines[event.slice][event.server] = event.weight

    def nothing(self, event):
        pass

    HEAR = {
        api.Started: nothing, api.Listed: listed, api.TimerDue: timer, api.ProxyJoined: joined,
        api.ProxyLeft: left, api.Applied: applied, api.ServerMet: met, api.ProxyMet: called,
        api.SliceMet: nothing, api.ProbeEnded: nothing, api.PeerSaid: nothing, api.SliceGiven: slice_given,
        api.SliceLine: slice_line,
    }

    # What is decided

    def decide(self):
        if self.judge_due:
            self.judge()
        if self.now >= self.next_beat:
            self.next_beat = self.now + BEAT_US
            self.orders.append(api.SetTimer(0, BEAT_US))
        if self.get("proxies.slices", 0):
            self.keep_slices()
        else:
            self.lay()

    def warm(self, held):
        return held.state == READY and self.now - held.entry.started_us >= self.get("rules.warm_after_us", 0)

    def percentage(self, held):
        """The design's ramp, and the cold guard: never more than a server just started surely can do."""
        if held.state != READY or held.eject_until:
            return 0.0
        part = held.health * self.kinds.get(held.entry.machine, 1.0)
        if held.back_us is not None:
            part = min(part, FIRST_STEP + STEP * ((self.now - held.back_us) // TICK_US))
        started, warm_us = held.entry.started_us, self.get("rules.warm_after_us", 0)
        if started and self.now - started < warm_us:
            least = self.get("rules.start_capacity", FIRST_STEP)
            part = min(part, least + (1 - least) * max(0, self.now - started) / warm_us)
            # Where the fleet drops much, a proxy that shuns failing servers itself sends the rest of its calls
            # to the few it has left, whatever their weight: then a cold server gets none.
            if self.answering < CALM and self.get("proxies.ejects_after", 0):
                return 0.0
        return part

    def judge(self):
        """Shut out what is far worse than the fleet: a shared trouble moves the median and shuts out none."""
        self.judge_due = False
        ready = [held for held in self.servers.values() if self.warm(held)]
        seen = {held: held.ring.sums(self.bucket) for held in ready if not held.eject_until}
        all_tries = sum(tries for tries, _, _ in seen.values())
        all_dropped = sum(dropped for _, dropped, _ in seen.values())
        self.answering = 1 - all_dropped / max(all_tries, EJECT_DROPS)
        limit = EJECT_MOST * sum(held.entry.weight for held in ready)
        limit -= sum(held.entry.weight for held in ready if held.eject_until)
        means = {held: took / (tries - lost) for held, (tries, lost, took) in seen.items() if tries > lost}
        middle = median(means.values() or [0])
        self.goodput = self.answered.sums(self.bucket)[0] / (RING * self.period_us)
        self.load = middle / max(1, self.slo_us)
        self.broken = any(held.relapses and held.back_us for held in ready)
        for held in sorted(seen, key=lambda held: -seen[held][1]):
            tries, dropped, _ = seen[held]
            usual = (all_dropped - dropped) / max(1, all_tries - tries)
            excess = dropped - usual * tries
            sure = excess > SURE * (tries * usual * (1 - usual) + 1) ** 0.5 and excess > EJECT_SHARE * tries
            self.broken |= excess > SURE * (tries * usual * (1 - usual) + 1) ** 0.5 and excess > 0.1 * tries
            quick = means.get(held, 0) < min(QUICK * middle, self.slo_us) or dropped == tries
            if dropped >= EJECT_DROPS and sure and quick and held.entry.weight <= limit:
                limit -= held.entry.weight
                held.eject_until = self.now + HOLD_TICKS * TICK_US * 2 ** min(held.relapses, 3)
                held.relapses += 1

    def retry(self, route):
        """When a proxy tries again: never into a jam; after any failure only what no server does twice."""
        effect, name = self.get(f"routes.{route}.effect", "mutating"), f"routes.{route}."
        once = effect == "repeatable" or (
            effect == "keyed" and self.get(name + "repeat_group", "") == "all"
            and self.get(name + "repeat_window_us", 0) > self.get(name + "time_limit_us", 1e18)
        )
        whole = self.get("proxies.try_slo_times", 0) >= 1  # else first tries are cut that would be in time
        if self.load > JAM:
            return api.NO_RETRY
        return api.ANY_FAILURE if once and whole and self.broken and self.load < EASY else api.ON_PROOF

    def admit(self):
        """Levels by route: in a jam no more is let in than gets answered, the most important routes first."""
        kind = self.get("proxies.admit", "silent")
        full = 1.0 if kind == "ratio" else 1e6
        demand = {route: [] for route in self.routes}
        for proxy in self.proxies.values():
            for route, ring in proxy.calls.items():
                calls, span_us = ring.sums(self.bucket)
                demand[route].append(calls / max(1, span_us))
        total = sum(map(sum, demand.values()))
        if kind == "silent" or self.goodput is None:
            return dict.fromkeys(self.routes, full)
        jam = self.load > THROTTLE or self.answering < CALM
        if self.limit is None:
            self.limit = self.floor = self.goodput if jam else None
        elif jam and self.now >= self.limit_us:
            self.limit = max(THROTTLE_LEAST * self.floor, THROTTLE_PART * self.limit)
        elif not jam:
            self.limit *= THROTTLE_RISE
            if self.limit > THROTTLE_RISE * total:
                self.limit = None
        if jam and self.now >= self.limit_us:
            self.limit_us = self.now + 2 * TICK_US
        levels, left = {}, self.limit
        for route in sorted(self.routes, key=lambda route: -self.get(f"routes.{route}.importance", 1)):
            wanted = sum(demand[route])
            if left is None or wanted <= left:
                levels[route] = full
            elif kind == "ratio":
                levels[route] = round(left / wanted, 2)
            else:
                levels[route] = round(self.even(demand[route], left) * 1e6, 1)
            left = left and max(0.0, left - wanted)
        return levels

    @staticmethod
    def even(wants, limit):
        """The level at which those who want more are cut so that all together get no more than the limit.

        >>> Director.even([1, 2, 9], 7)
        4.0
        """
        for done, want in enumerate(sorted(wants)):
            if want * (len(wants) - done) >= limit:
                return limit / (len(wants) - done)
            limit -= want
        return max(wants)

    def ease(self):
        """Once a tick the machine type, or else the one server, that is overrun most gets a step less."""
        cost, kinds = {}, {}
        for held in self.servers.values():
            tries, dropped, took = held.ring.sums(self.bucket)
            if self.warm(held) and not held.eject_until and held.back_us is None and tries >= OVERRUN_TRIES:
                cost[held] = (took + dropped * self.slo_us * 2) / tries
                kinds.setdefault(held.entry.machine, []).append(cost[held])
        kinds = {kind: sum(costs) / len(costs) for kind, costs in kinds.items() if len(costs) > 1}
        if len(kinds) > 1:
            worst, best = max(kinds, key=kinds.get), min(kinds, key=kinds.get)
            if kinds[worst] > max(OVERRUN_TIME * kinds[best], OVERRUN_SLO * self.slo_us):
                part = self.kinds.get(worst, 1.0)
                self.kinds[worst] = max(LEAST_HEALTH, part - EASE)
                for held in cost:
                    held.deaf_us = self.now + 2 * self.period_us
                    held.ring = Ring(3)
                return
        middle = median(cost.values()) if cost else 0
        worst = max(cost, key=cost.get, default=None)
        bound = max(OVERRUN_TIME * middle, OVERRUN_SLO * self.slo_us)
        if worst and cost[worst] > bound and worst.health > LEAST_HEALTH:
            worst.health -= EASE
            worst.healthy_us = self.now + OVERRUN_TICKS * TICK_US
            worst.deaf_us = self.now + 2 * self.period_us
            worst.ring = Ring(3)
        for held in cost:
            if held.health < 1 and self.now >= held.healthy_us and cost[held] < middle:
                held.health += EASE
                held.healthy_us = self.now + OVERRUN_TICKS * TICK_US

    def waiting(self):
        """Lines that may still wait in the channel: those of every message that no proxy has answered."""
        return sum(lines for proxy in self.proxies.values() for _, lines in proxy.unread)

    def tokens(self, proxy):
        """Messages that may go to a proxy now: a small burst, then evenly, the cap in any span at most."""
        most = self.get("proxies.pushes_allowed", 0) - 1
        if most <= 0:
            return 2.0
        burst = max(1.0, BURST * most)
        if proxy.tokens is None:
            proxy.tokens = burst
        rate = (most - burst) / self.get("proxies.counted_over_us", TICK_US)
        proxy.tokens = min(burst, proxy.tokens + (self.now - proxy.filled_us) * rate)
        proxy.filled_us = self.now
        return proxy.tokens

    def lay(self):
        """Write what changed: withdrawals at once, ramp steps by the tick, binds as the queue allows."""
        room = self.get("proxies.pending_max", 1e9) - self.waiting()
        spare = room - (1 - ROOM) * self.get("proxies.pending_max", 1e9)
        head = self.get("proxies.head", 0) + 1
        most = min((self.tokens(proxy) for proxy in self.proxies.values()), default=2.0)
        calm = spare > 0 and most >= 2
        tick = calm and self.now >= self.next_tick
        if tick:
            self.next_tick = self.now + TICK_US
            self.ease()
        changes = []
        if tick or not self.said:
            levels = self.admit()
            for route in self.routes:
                said = levels[route], self.retry(route)
                if self.said.get(route) != said:
                    self.said[route] = said
                    changes.append(api.Admit(TABLE, 1 << route, *said))
        for address, held in self.servers.items():
            if tick and held.eject_until and self.now >= held.eject_until:
                held.eject_until, held.back_us = 0, self.now
                held.ring = Ring(3)
            part = self.percentage(held)
            if held.back_us is not None and part >= held.health * self.kinds.get(held.entry.machine, 1.0):
                held.back_us = None
            if part <= 0:
                if not held.shut and most >= 1:
                    changes.append(api.Withdraw(address, True))
                    held.shut = True
                if held.state == GONE and held.laid and most >= 1:
                    changes.append(api.SetLine(TABLE, address, 0.0))
                    held.laid = 0.0
            elif tick:
                weight = held.entry.weight * part
                if weight != held.laid:
                    changes.append(api.SetLine(TABLE, address, weight))
                    held.laid = weight
                if held.shut:
                    changes.append(api.Withdraw(address, False))
                    held.shut = False
        self.orders += changes
        shutting = sum(1 for order in changes if type(order) is api.Withdraw)
        cost = {number: (len(changes) if proxy.bound else shutting) + head
                for number, proxy in self.proxies.items() if (changes if proxy.bound else shutting)}
        spare -= sum(cost.values())
        table = sum(1 for held in self.servers.values() if held.laid)
        shut = sum(1 for held in self.servers.values() if held.shut)
        for number, proxy in sorted(self.proxies.items(), key=lambda item: (-item[1].rate, item[0])):
            lines = head + 1 + table + shut + len(self.routes)
            if not proxy.bound and table and spare >= lines and self.tokens(proxy) >= 1:
                self.orders.append(api.Bind(TABLE, api.ALL_ROUTES, number))
                proxy.bound = True
                cost[number] = cost.get(number, 0) + lines
                spare -= lines
        if cost:
            self.mark = (self.mark + 1) % 65536
            self.orders.append(api.Mark(self.mark, False))
            for number, lines in cost.items():
                proxy = self.proxies[number]
                proxy.unread.append((self.mark, lines))
                if proxy.tokens is not None:
                    proxy.tokens -= 1

    def keep_slices(self):
        """Slices stay where they are; one that has lost its server goes to another, by weight and chance."""
        usable = [(address, held) for address, held in self.servers.items() if self.percentage(held) > 0]
        for address, held in self.servers.items():
            shut = held.state != READY
            if shut != held.shut:
                self.orders.append(api.Withdraw(address, shut))
                held.shut = shut
        for number, lines in self.lines.items():
            lost = [a for a in lines if a not in self.servers or self.servers[a].state != READY]
            if usable and len(lost) == len(lines):
                heir = max(usable, key=lambda item: self.score(number, item))[0]
                self.orders.append(api.SetLine(number, heir, 1.0))
                lines[heir] = 1.0
                for address in lost:
                    if not self.get("proxies.one_owner", False):
                        self.orders.append(api.SetLine(number, address, 0.0))
                    del lines[address]

    def score(self, number, item):
        address, held = item
        draw = crc32(b"%d %d %s" % (self.seed, number, repr(address).encode())) + 1
        return held.entry.weight * self.percentage(held) * draw
