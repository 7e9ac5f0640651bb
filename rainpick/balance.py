"""All decisions of a director: desired state per server, shared tables of listed weight x percentage.

How it is called: make one ``Director`` per instance and hand ``step`` the clock and the events that came; it
returns the orders to carry out. The first event is ``Started``. Events and orders are the types of
``rainpick.interface``; settings are the plain map that ``Started`` brings. docs/design.md says what was kept
of the design, what was changed, and when each exception acts.

Beside the design stand these mechanisms (six at most):
1. Paced channel: lines that wait and messages per proxy are accounted for; what is urgent goes first.
2. Cold guard: the percentage of a server that started lately follows its listed start time.
3. Ejection on evidence: a server that drops beyond chance or falls silent is shut out; back by the ramp.
4. Easing: a machine type or a server that is overrun beside the rest gets a lower percentage.
5. No retries by proxies: 'full' is proof too, and such a try feeds the jam that refused it.
6. Throttling: where levels are obeyed, a jammed fleet gets no more calls than it answers.
"""

from collections import defaultdict, deque
from math import ceil
from statistics import median
from zlib import crc32

from rainpick import interface as api
from rainpick.interface import DRAINING, GONE, READY

TICK_US = 2_000_000  # the design's tick
BEAT_US = TICK_US // 8  # how often what was put off is looked at again
FIRST_STEP, STEP = 0.25, 0.25  # back from a drain or an ejection: the first percentage, the points per tick
RING, RECENT = 4, 2  # buckets of evidence; of how things are now: the time in which every line is reported
MISSING = 3  # the list dropped it, yet it need not be withdrawn

SHARERS = 6  # proxies to a table at least, or there is one for all
LINES = 2.5  # times the lines of a standing table are wanted in each
COPIES = 2  # tables that hold a server, at least
THIN = 0.5  # a table with less of the mean of usable weight gets more servers

ROOM = 0.5  # binds and ramp steps leave this part of the channel's queue to withdrawals
BURST = 0.25  # of the messages that a proxy may be written, this part may go out at once

DEEP_LOAD = 2.7  # cold servers get less from this part of the fall multiple on, as middle time in SLO times
DEEP, CALM = 0.35, 0.7  # a fleet that answers less than this share of its tries is in a jam, deep or not
JAM = 0.6  # so is one whose middle time is this part of the SLO time

EJECT_DROPS, EJECT_SHARE, SURE = 4, 0.3, 3  # drops, share above the others', deviations that eject
CLUMPED = 2.2  # the mean of squared deviations over their median, where they come by chance
QUICK = 2  # what answers the rest within this multiple of the fleet's time is broken, not overrun
SILENT_TRIES, SILENT_PERIODS = 8, 2  # silent: so many tries were due over so many rounds, and none ended
EJECT_MOST, DEAD_MOST = 0.34, 0.6  # parts of the listed weight: ejected at most; and if it answers nothing
HOLD_TICKS = 1  # an ejection lasts this many ticks, twice as many after each relapse
TRIAL_TRIES = 3  # then it climbs by the ramp, and goes again if it drops more than half of so many tries

OVERRUN_TRIES = 10  # fewer tries than this do not show that a server is overrun
OVERRUN_TIME, OVERRUN_SLO = 1.6, 0.6  # its time is so much longer than the fleet's, and this part of the SLO
OVERRUN_SURE, EASE_US = 3, TICK_US // 2  # standard errors beyond chance; the least buckets of that evidence
EASE_MANY = 0.06  # the part of the servers that may be eased at once, one at least
KIND_TRIES, KIND_TIME, KIND_SLO = 40, 1.6, 0.5  # the same for a machine type
EASE_POWER, EASE_MOST, EASE_LEAST = 0.33, 0.5, 0.3  # the root of that ratio is taken; a step at most; in all
SETTLE_TICKS = 2  # after a step, before what is heard counts again
EASE_TICKS, EASE_BACK = 8, 0.125  # then, under the fleet's middle for so long, it climbs by so much

THROTTLE = 0.5  # from this middle time on, as a part of the SLO time, calls are throttled
THROTTLE_PART, THROTTLE_RISE, THROTTLE_LEAST = 0.9, 1.1, 0.6  # what is let in falls and rises so; its least


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

    def sums(self, bucket, last=RING):
        """The sums over the last buckets, that of now included."""
        self.add(bucket)
        cells = [self.cells[number % RING] for number in range(bucket - last + 1, bucket + 1)]
        return [sum(column) for column in zip(*cells, strict=True)]


class State:
    """What the director holds of one server."""

    def __init__(self, entry):
        self.entry, self.state = entry, GONE
        self.shut, self.told, self.part = False, {}, 0.0  # as proxies were told: weight by table; percentage
        self.tables = []  # that hold it
        self.fresh()

    def fresh(self):
        """It has just started: what was held against it is void."""
        self.drops, self.times = Ring(3), Ring(3)  # tries, dropped ones, microseconds of the answered ones
        self.back_us = None  # when its ramp began, after a drain or an ejection
        self.eject_until, self.relapses, self.heard_us = 0, 0, 0
        self.health, self.eased_us = 1.0, 0


class Table:
    """A table that many proxies share."""

    def __init__(self, number):
        self.number, self.proxies, self.said = number, {}, {}  # who is bound; levels by route, as told
        self.rate, self.lines = 0.0, 0  # calls that its proxies usually get; lines for each in this step


class Proxy:
    """What the director holds of one joined proxy."""

    def __init__(self, event, now):
        self.number, self.rate, self.table, self.joined_us = event.proxy, event.rate, None, now
        self.calls = {}  # by route: calls that came, and over how many microseconds
        self.unread = deque()  # (mark, lines) of messages not yet answered
        self.tokens, self.filled_us = 1e9, now  # messages that it may be written, and when that was counted


class Director:
    """One instance. Nothing is shared with others."""

    def step(self, now, events):
        """Take what happened, return what to do."""
        self.now, self.orders = now, []
        if events and type(events[0]) is api.Started:
            self.start(events[0])
        self.bucket = now // self.bucket_us
        for event in events:
            hear = self.HEAR.get(type(event))
            if hear:
                hear(self, event)
        if now >= self.next_beat:
            self.next_beat, self.urgent = now + BEAT_US, True
            self.orders.append(api.SetTimer(0, BEAT_US))
        if self.reported:
            self.judge()
        if self.urgent:
            self.urgent = False
            (self.keep_slices if self.get("proxies.slices", 0) else self.lay)()
        return self.orders

    def get(self, name, default):
        return self.settings.get(name, default)

    def start(self, event):
        self.settings, self.seed = event.settings, event.seed
        self.servers, self.proxies, self.slices = {}, {}, {}
        self.tables, self.loose, self.due = [], Table(None), []
        self.copies, self.ease_us = 1, EASE_US  # tables that hold a server; buckets of what eases
        self.mark, self.next_tick, self.next_beat, self.waiting = 0, self.now, self.now, 0
        self.period_us = self.bucket_us = self.get("proxies.report_every_us", TICK_US)
        self.routes = range(self.get("routes.count", 0))
        self.slo_us = min((self.get(f"routes.{route}.slo_time_us", 1) for route in self.routes), default=1)
        self.ended, self.reported = Ring(4), False  # anywhere: tries, dropped ones; reports' spans, how many
        self.load, self.answering = 0.0, 1.0  # middle time over SLO time; share answered
        self.kinds, self.settled_us = {}, 0  # the part of machine types that are eased
        self.limit, self.limit_us = None, 0  # calls let in, for each call that proxies usually get
        if self.get("discovery", "pushed") == "on_request":
            self.orders.append(api.Subscribe(True))

    # What is heard

    def listed(self, event):
        self.urgent = True
        if event.kind == api.FAILED:
            return self.orders.append(api.SetTimer(1, TICK_US))
        for entry in event.servers:
            held = self.servers.get(entry.address)
            if held is None:
                held = self.servers[entry.address] = State(entry)
            if entry.state == GONE:
                self.drop(held)
                continue
            if entry.started_us != held.entry.started_us:
                held.fresh()
            elif entry.state == READY and held.state == DRAINING:
                held.back_us = self.now
            held.entry, held.state = entry, entry.state
        present = {entry.address for entry in event.servers}
        for address in self.servers.keys() - present if event.kind != api.DELTA else ():
            self.drop(self.servers[address])
        if event.kind == api.CACHED:
            # Reports come so many lines a second: with many servers and proxies each is told of every few
            # seconds, and a window of fewer would hold nothing of most of them.
            directors = self.get("directors", 1)
            proxies = self.get("proxies.proxy_count", 0) / directors
            zones = max(1, len({entry.zone for entry in event.servers}) / directors)
            lines = (proxies * len(self.routes) + len(present) * zones) / RECENT
            self.bucket_us = max(self.period_us, int(lines / self.get("proxies.hears_per_s", 1e9) * 1e6))
            self.bucket, self.ease_us = self.now // self.bucket_us, max(EASE_US, self.bucket_us)

    def drop(self, held):
        """The list no longer has it. Where that alone does not bind, what still answers is kept."""
        if held.state == READY and self.get("rules.gone_does_not_bind", False):
            held.state, held.drops = MISSING, Ring(3)
        elif held.state != MISSING:
            held.state = GONE

    def timer(self, event):
        if event.token == 1:
            self.orders.append(api.Subscribe(True))

    def joined(self, event):
        self.left(event)
        self.proxies[event.proxy] = self.loose.proxies[event.proxy] = Proxy(event, self.now)
        self.urgent = True

    def left(self, event):
        proxy = self.proxies.pop(event.proxy, None)
        if proxy:
            self.waiting -= sum(lines for _, lines in proxy.unread)
            (proxy.table or self.loose).proxies.pop(event.proxy)
            if proxy.table:
                proxy.table.rate -= proxy.rate

    def applied(self, event):
        proxy = self.proxies.get(event.proxy)
        while proxy and any(mark == event.number for mark, _ in proxy.unread):
            self.waiting -= proxy.unread.popleft()[1]

    def met(self, event):
        held = self.servers.get(event.server)
        self.ended.add(self.bucket, event.tries, event.dropped, event.span_us, 1)
        if held and not held.eject_until:
            took = (event.tries - event.dropped) * event.mean_us
            held.drops.add(self.bucket, event.tries, event.dropped, took)
            if self.now >= max(held.eased_us, self.settled_us):
                held.times.add(self.now // self.ease_us, event.tries, event.dropped, took)
            held.heard_us, self.reported = self.now, True

    def called(self, event):
        if event.proxy in self.proxies:
            ring = self.proxies[event.proxy].calls.setdefault(event.route, Ring(2))
            ring.add(self.bucket, event.calls, event.span_us)

    def slice_given(self, event):
        self.urgent = True
        self.slices.pop(event.slice, None)
        if event.on:
            self.slices[event.slice] = {}

    def slice_line(self, event):
        if event.slice in self.slices:
            self.slices[event.slice][event.server] = event.weight

    HEAR = {
        api.Listed: listed, api.TimerDue: timer, api.ProxyJoined: joined, api.ProxyLeft: left,
        api.Applied: applied, api.ServerMet: met, api.ProxyMet: called,
        api.SliceGiven: slice_given, api.SliceLine: slice_line,
    }

    # Desired state

    def warm(self, held):
        started = held.entry.started_us
        old = not started or self.now - started >= self.get("rules.warm_after_us", 0)
        return held.state in (READY, MISSING) and old

    def percentage(self, held):
        """The design's ramp; and the cold guard: never more than a server just started surely can do."""
        if held.state not in (READY, MISSING) or held.eject_until:
            return 0.0
        part = full = held.health * self.kinds.get(held.entry.machine, 1.0)
        if held.back_us is not None:
            # What was ejected waits with its second step until it is heard of.
            trial_us = max(TICK_US, 2 * self.bucket_us) if held.relapses else 0
            part = min(part, FIRST_STEP + STEP * max(0, (self.now - held.back_us - trial_us) // TICK_US))
            if part >= full:
                held.back_us = None
        if not self.warm(held):
            # Where the fleet drops much, a proxy that shuns failing servers itself sends the rest of its
            # calls to the few it has left, whatever their weight: then a cold server gets none.
            if self.answering < CALM and self.get("proxies.ejects_after", 0):
                return 0.0
            least, age_us = self.get("rules.start_capacity", FIRST_STEP), self.now - held.entry.started_us
            # In a deep jam, with several times more calls than can be answered, it gets a part of its part.
            sure = least + (1 - least) * max(0, age_us) / self.get("rules.warm_after_us", 1)
            most = self.get("rules.fall_multiple", DEEP_LOAD) / DEEP_LOAD
            part = min(part, full * sure * min(1.0, self.answering / DEEP, most / max(self.load, most)))
        return part

    # Health

    def judge(self):
        """Eject what drops beyond chance, or falls silent, beside the rest; a shared trouble ejects nobody.

        It guards against servers that fail fast, hang or vanish long before the list says so, whatever the
        cause. In a jam a full server and a dead one look alike, and each one less deepens it: nobody goes.
        """
        self.reported, self.urgent = False, True
        self.search()
        ready = [held for held in self.servers.values() if self.warm(held)]
        seen = {held: held.drops.sums(self.bucket) for held in ready if not held.eject_until}
        all_tries = sum(tries for tries, _, _ in seen.values())
        all_dropped = sum(dropped for _, dropped, _ in seen.values())
        lately, lost_lately, span_us, lines = self.ended.sums(self.bucket, RECENT)
        self.answering = 1 - lost_lately / max(lately, EJECT_DROPS)
        means = {held: took / (tries - lost) for held, (tries, lost, took) in seen.items() if tries > lost}
        middle = median(means.values() or [0])
        recent = [held.drops.sums(self.bucket, RECENT) for held in seen]
        times = [took / (tries - lost) for tries, lost, took in recent if tries > lost]
        self.load = median(times or [0]) / self.slo_us
        age_us = median([self.now - held.heard_us for held in seen] or [0])
        round_us = max(age_us + self.period_us, span_us / max(1, lines))
        # Where drops come in clumps at most servers, as when new connections fail, chance spreads wider.
        usual = min(0.99, all_dropped / max(1, all_tries) + 1e-9)
        odd = [(lost - usual * tries) ** 2 / tries for tries, lost, _ in seen.values() if tries]
        spread = max(1.0, CLUMPED * median(odd or [0]) / usual / (1 - usual))
        weight, share = sum(held.entry.weight for held in ready), self.shares()
        calm = self.load <= JAM and self.answering >= CALM
        out = weight - sum(held.entry.weight for held in seen)
        for held in sorted(seen, key=lambda held: -seen[held][1]):
            tries, dropped, _ = seen[held]
            usual = max(0, all_dropped - dropped) / max(1, all_tries - tries)
            excess = dropped - usual * tries
            dead = dropped == tries > 0
            sure = excess > SURE * ((1 if dead else spread) * tries * usual * (1 - usual) + 1) ** 0.5
            quick = means.get(held, 0) < min(QUICK * middle, self.slo_us)
            failing = sure and dropped >= EJECT_DROPS and excess > EJECT_SHARE * tries and (quick or dead)
            if held.relapses and held.back_us is not None and tries >= TRIAL_TRIES:
                failing = dropped > tries / 2
            quiet_us = self.now - held.heard_us if held.heard_us else 0
            due = share[held] * all_tries * quiet_us / (RING * self.bucket_us)
            if quiet_us > SILENT_PERIODS * round_us and due > SILENT_TRIES and calm:
                failing = dead = True
            most = 0 if self.load > JAM else DEAD_MOST if dead else EJECT_MOST
            if failing and out + held.entry.weight <= weight * most:
                out += held.entry.weight
                held.eject_until = self.now + HOLD_TICKS * TICK_US * 2 ** min(held.relapses, 3)
                held.relapses, held.back_us = held.relapses + 1, None

    def search(self):
        """What the list dropped stays while it answers, where the rules allow it; else it is gone.

        It guards against a list that is wrong, and is the slower to let go of what is truly lost: so what is
        met at one of them counts for all of them.
        """
        missing = [(held, *held.drops.sums(self.bucket))
                   for held in self.servers.values() if held.state == MISSING]
        tries, dropped = sum(row[1] for row in missing), sum(row[2] for row in missing)
        lost = tries >= TRIAL_TRIES and dropped > tries * max(0.5, EJECT_SHARE + 1 - self.answering)
        for held, tries, dropped, _ in missing:
            if lost and dropped >= tries or tries >= TRIAL_TRIES and dropped > tries / 2:
                held.state = GONE

    def shares(self):
        """By server, the part of all calls that is due to it."""
        weights, share = defaultdict(float), defaultdict(float)
        total = sum(table.rate for table in self.tables) or 1.0
        lines = [(held, table, held.told.get(table.number, 0.0))
                 for held in self.servers.values() if not held.shut for table in held.tables]
        for _, table, weight in lines:
            weights[table] += weight
        for held, table, weight in lines:
            share[held] += weight / (weights[table] or 1.0) * table.rate / total
        return share

    def ease(self):
        """Once a tick the machine type, or else the one server, that is overrun most gets a step less.

        It guards against listed weights that are wrong, for a type or for one server, and against anything
        that slows some servers. One at a time: easing all slow ones at once only moves the load to the next.
        """
        cost, chance, kinds = {}, {}, {}
        for held in self.servers.values():
            tries, dropped, took = held.times.sums(self.now // self.ease_us)
            steady = not held.eject_until and held.back_us is None
            if self.warm(held) and steady:
                took += dropped * self.slo_us * 2
                if tries >= TRIAL_TRIES:
                    kinds.setdefault(held.entry.machine, []).append((took / tries, tries))
                if tries >= OVERRUN_TRIES:
                    cost[held], chance[held] = took / tries, 1 + OVERRUN_SURE * tries ** -0.5
        kinds = {kind: median(took for took, _ in rows) for kind, rows in kinds.items()
                 if len(rows) > 1 and sum(tries for _, tries in rows) >= KIND_TRIES}
        bad, settle_us = OVERRUN_SLO * self.slo_us, max(SETTLE_TICKS * TICK_US, 2 * self.bucket_us)
        worst, best = max(kinds, key=kinds.get, default=None), min(kinds, key=kinds.get, default=None)
        if worst is not None and kinds[worst] > max(KIND_TIME * kinds[best], KIND_SLO * self.slo_us):
            if self.kinds.get(best, 1.0) < 1:
                self.kinds[best] = min(1.0, self.kinds[best] + EASE_BACK)
            else:
                self.kinds[worst] = self.step_down(self.kinds.get(worst, 1.0), kinds[best] / kinds[worst])
            self.settled_us = self.now + settle_us
            for held in self.servers.values():
                held.times = Ring(3)
            return
        middle, most = median(cost.values() or [0]), max(1, int(EASE_MANY * len(cost)))
        for held in sorted(cost, key=lambda held: -cost[held] / chance[held])[:most]:
            if cost[held] > max(middle * max(OVERRUN_TIME, chance[held]), bad):
                held.health = self.step_down(held.health, middle / cost[held])
                held.eased_us, held.times = self.now + settle_us, Ring(3)
        for held in cost:
            if held.health < 1 and cost[held] < middle and self.now >= held.eased_us + EASE_TICKS * TICK_US:
                held.health = min(1.0, held.health + EASE_BACK)
                held.eased_us = self.now

    @staticmethod
    def step_down(part, ratio):
        return max(EASE_LEAST, part * max(EASE_MOST, ratio ** EASE_POWER))

    # Levels

    def levels(self):
        """By route, what is let in: in a jam no more than gets answered, the most important routes first.

        It guards against jams that clients' repeats keep alive, whatever began them. What is let in never
        goes under a part of what was answered at the start, as fewer calls also mean fewer answers. It is a
        ratio to the usual calls of the joined proxies, as those of a dead director may join.
        """
        kind = self.get("proxies.admit", "silent")
        full = 1.0 if kind == "ratio" else 1e6
        demand = {route: [] for route in self.routes}
        for proxy in self.proxies.values():
            for route, ring in proxy.calls.items():
                calls, span_us = ring.sums(self.bucket)
                demand[route].append(calls / max(1, span_us))
        total = sum(map(sum, demand.values()))
        usual = sum(proxy.rate for proxy in self.proxies.values()) or 1.0
        pressed = self.load > (THROTTLE if self.answering > CALM else THROTTLE / 2)
        # What joined lately has hardly been reported on: a limit from that would shut out nearly all.
        since_us = self.now - (RING + RECENT) * self.bucket_us
        known = sum(proxy.rate for proxy in self.proxies.values() if proxy.joined_us <= since_us)
        if kind == "silent" or self.limit is None and not (pressed and known):
            return dict.fromkeys(self.routes, full)
        if self.limit is None:
            tries, dropped = self.ended.sums(self.bucket)[:2]
            self.limit = self.least = (tries - dropped) / (RING * self.bucket_us) / known
            self.limit_us = self.now + 2 * TICK_US
        elif pressed and self.now >= self.limit_us:
            self.limit = max(THROTTLE_LEAST * self.least, THROTTLE_PART * self.limit)
            self.limit_us = self.now + 2 * TICK_US
        elif not pressed:
            self.limit *= THROTTLE_RISE if self.load > THROTTLE / 2 else THROTTLE_RISE ** 3
        levels, left = {}, self.limit * usual
        for route in sorted(self.routes, key=lambda route: -self.get(f"routes.{route}.importance", 1)):
            wanted = sum(demand[route])
            if wanted <= left:
                levels[route] = full
            elif kind == "ratio":
                levels[route] = round(left / wanted, 2)
            else:
                levels[route] = round(self.even(demand[route], left) * 1e6, 1)
            left = max(0.0, left - wanted)
        if self.limit * usual > THROTTLE_RISE * total:
            self.limit = None
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

    # The channel

    def tokens(self, proxy):
        """Messages that may go to a proxy now: a small burst, then evenly, the cap in any span at most."""
        most = self.get("proxies.pushes_allowed", 0) - 1
        if most <= 0:
            return 2.0
        burst = max(1.0, BURST * most)
        rate = (most - burst) / self.get("proxies.counted_over_us", TICK_US)
        proxy.tokens = min(burst, proxy.tokens + (self.now - proxy.filled_us) * rate)
        proxy.filled_us = self.now
        return proxy.tokens

    def make_tables(self):
        """One for all; or several of fewer servers, where calls are too few to keep all connections open."""
        count = int(self.get("proxies.proxy_count", 0) / self.get("directors", 1) / SHARERS)
        lines, servers = LINES * self.get("proxies.default_size", 1e9), max(1, len(self.servers))
        self.copies = max(COPIES, ceil(count * lines / servers))
        if self.copies >= count:
            count = self.copies = 1
        self.tables = [Table(number) for number in range(count)]

    def deal(self):
        """Put each server on its tables, those with the least of its type; fill up a table that got thin."""
        weights, fresh = defaultdict(float), []  # by table and type; None: what is usable
        for held in self.servers.values():
            if held.state == GONE and held.shut and not any(held.told.values()):
                held.tables, held.told = [], {}
            elif held.state == READY and not held.tables:
                fresh.append(held)
            for table in held.tables:
                weights[table, held.entry.machine] += held.entry.weight * (held.state != GONE)
                weights[table, None] += held.entry.weight * held.part
        for held in sorted(fresh, key=lambda held: (held.entry.machine, self.draw(held, 0))):
            kind, weight = held.entry.machine, held.entry.weight
            held.tables = sorted(self.tables, key=lambda table: (
                weights[table, kind], self.draw(held, table.number)))[:self.copies]
            for table in held.tables:
                weights[table, kind] += weight
                weights[table, None] += weight * held.part
        usable = [held for held in self.servers.values() if held.part > 0]
        mean = sum(weights[table, None] for table in self.tables) / max(1, len(self.tables))
        for table in self.tables if self.copies < len(self.tables) else ():
            others = [held for held in usable if table not in held.tables]
            others.sort(key=lambda held: (held.part, -len(held.tables), self.draw(held, table.number)))
            while others and weights[table, None] < THIN * mean:
                held = others.pop()
                held.tables = [*held.tables, table]
                weights[table, None] += held.entry.weight * held.part

    def draw(self, held, number):
        return crc32(b"%d %s" % (number, repr(held.entry.address).encode()))

    def put(self, orders, tables, lines, least, keep):
        """Give orders of so many lines for some tables if the queue and the proxies' allowance have room."""
        head = self.get("proxies.head", 0) + 1
        cost = sum(len(table.proxies) * (lines + (0 if table.lines else head)) for table in tables)
        fresh = [proxy for table in tables if not table.lines for proxy in table.proxies.values()]
        if cost > self.spare - keep or any(self.tokens(proxy) < least for proxy in fresh):
            return False
        self.spare -= cost
        self.orders += orders
        for table in tables:
            table.lines += lines
        return True

    def lay(self):
        """Write what changed: withdrawals at once, ramp steps by the tick, binds as the queue allows."""
        pending = self.get("proxies.pending_max", 1e9)
        keep, self.spare = (1 - ROOM) * pending, pending - self.waiting
        warm = [held for held in self.servers.values() if self.warm(held)]
        for held in warm if all(held.eject_until for held in warm) else ():
            held.eject_until = 0  # the rest has left the list since: any line beats none
        if not self.tables and self.proxies:
            self.make_tables()
        if self.now >= self.next_tick:
            self.tick()
            self.due = list(self.servers.values())
        for held in self.servers.values():
            held.part = self.percentage(held)
        self.deal()
        closing = [held for held in self.servers.values() if held.part <= 0 and not held.shut]
        for held in sorted(closing, key=lambda held: held.state == READY):
            gone, orders = held.state == GONE, [api.Withdraw(held.entry.address, True)]
            orders += [api.SetLine(number, held.entry.address, 0.0) for number in held.told if gone]
            if self.put(orders, [*held.tables, self.loose], 1 + gone, 1, 0):
                held.shut, held.told = True, {} if gone else held.told
        served = {number for held in self.servers.values() if not held.shut for number in held.told}
        for held in self.servers.values():
            if any(table.number not in served for table in held.tables):
                self.change(held, 1, 0)
        self.due = [held for held in self.due if not self.change(held, 2, keep)]
        self.bind(keep)

    def change(self, held, least, keep):
        """Tell the tables of a server its weight, if that is news and there is room."""
        address, weight = held.entry.address, held.entry.weight * held.part
        stale = [table for table in held.tables if held.told.get(table.number) != weight]
        if not held.part or not stale and not held.shut:
            return True
        orders = [api.SetLine(table.number, address, weight) for table in stale]
        if held.shut:
            orders.append(api.Withdraw(address, False))
        concerned = [*held.tables, self.loose] if held.shut else stale
        if not self.put(orders, concerned, 1 + held.shut, least, keep):
            return False
        held.shut, held.told = False, dict.fromkeys((table.number for table in held.tables), weight)
        return True

    def bind(self, keep):
        """Put loose proxies on their tables, the busiest first; then mark what was written."""
        head, sizes, reached = self.get("proxies.head", 0) + 1, defaultdict(int), []
        for held in self.servers.values():
            for number in held.told:
                sizes[number] += 1 + held.shut
        for number, proxy in sorted(self.loose.proxies.items(), key=lambda item: (-item[1].rate, item[0])):
            table = self.tables[number % len(self.tables)]
            lines = head + 1 + len(table.said) + sizes[table.number]
            if self.spare - keep >= lines and self.tokens(proxy) >= 1:
                self.orders.append(api.Bind(table.number, api.ALL_ROUTES, number))
                self.spare -= lines
                proxy.table = table
                table.rate += proxy.rate
                reached.append((proxy, lines + self.loose.lines))
                del self.loose.proxies[number]
        for table in (*self.tables, self.loose):
            if table.lines:
                reached += [(proxy, table.lines + head) for proxy in table.proxies.values()]
                table.lines = 0
        self.mark = (self.mark + bool(reached)) % 65536
        self.orders += [api.Mark(self.mark, False)] if reached else []
        for proxy, lines in reached:
            proxy.unread.append((self.mark, lines))
            self.waiting += lines
            proxy.tokens -= 1
            if proxy.table:
                proxy.table.proxies[proxy.number] = proxy

    def tick(self):
        """What is looked at once a tick."""
        self.next_tick = self.now + TICK_US
        for held in self.servers.values():
            if held.eject_until and self.now >= held.eject_until:
                held.eject_until, held.back_us, held.heard_us, held.drops = 0, self.now, 0, Ring(3)
        self.ease()
        levels = self.levels()
        for table in self.tables:
            news = [route for route in self.routes if table.said.get(route) != levels[route]]
            orders = [api.Admit(table.number, 1 << route, levels[route], api.NO_RETRY) for route in news]
            if news and self.put(orders, [table], len(news), 2, 0):
                table.said.update((route, levels[route]) for route in news)

    def keep_slices(self):
        """Slices stay where they are; one that has lost its server goes to another, by weight and chance."""
        usable = [held for held in self.servers.values() if self.percentage(held) > 0]
        for address, held in self.servers.items():
            if held.shut != (held.state != READY):
                held.shut = not held.shut
                self.orders.append(api.Withdraw(address, held.shut))
        for number, lines in self.slices.items():
            lost = [address for address in lines if address not in self.servers or self.servers[address].shut]
            if usable and len(lost) == len(lines):
                heir = max(usable, key=lambda held: held.entry.weight * self.draw(held, number)).entry.address
                self.orders.append(api.SetLine(number, heir, 1.0))
                if not self.get("proxies.one_owner", False):
                    self.orders += [api.SetLine(number, address, 0.0) for address in lost]
                self.slices[number] = {heir: 1.0}
