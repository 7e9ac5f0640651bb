"""All decisions of a director: desired state per server, shared tables of listed weight x percentage.

How it is called: make one ``Director`` per instance and hand ``step`` the clock and the events that came; it
returns the orders to carry out. The first event is ``Started``. Events and orders are the types of
``rainpick.model``; settings are the plain map that ``Started`` brings. docs/design.md says what was kept
of the design, what was changed, and when each exception acts.

Beside the design stand these mechanisms (six at most):
1. Paced channel: lines that wait and messages per proxy are counted; what the rules ask for goes first.
2. Cold guard: the percentage of a server that started lately follows its listed start time; its tables count.
3. Ejection on evidence: what drops beyond chance or falls silent is shut out; a list may be doubted.
4. Easing: a machine type or a server that is overrun beside the rest gets a lower percentage.
5. Zones: where crossing is dear a table has servers of one zone, and of others only what the zone cannot do.
6. Throttling: where levels are obeyed, a jammed fleet gets no more calls than it answers.
"""

from collections import Counter, defaultdict, deque
from statistics import median
from zlib import crc32

from rainpick import model
from rainpick.decisions.send_queue import ChannelState, Claim, Claims, SendQueue
from rainpick.model import EndpointState

GONE, READY, DRAINING = EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING

TICK_US = 2_000_000  # the design's tick
BEAT_US = TICK_US // 8  # how often what was put off is looked at again
FIRST_STEP, STEP = 0.25, 0.25  # back from a drain or an ejection: the first percentage, the points per tick
RING, RECENT = 4, 2  # buckets of evidence; of how things are now: the time in which every line is reported
FORGET_TICKS, PAST = 30, 4096  # a server gone so long is forgotten, but for that it is shut: of so many
MISSING = 3  # the list dropped it, yet it need not be withdrawn

SHARERS, LINES = 7, 2.5  # proxies to a table, or there is one for all; its lines, in standing tables
FAR_PRICE, FAR_STEP = 0.03, 0.25  # tables are of one zone from this price on; steps in which it uses others
COPIES, THIN = 2, 0.5  # tables that hold a server, at least; a table under this part of the mean gets more

ROOM = 0.5  # ramp steps leave this part of the channel's queue to withdrawals, binds half of that
QUEUE = 0.5  # what binds and ramp steps fill lasts for this part of the grace at most
AHEAD_BEATS, AHEAD_TRANSITS = 1.5, 2  # the channel's pace over these is written ahead: a step may be late
WAIT_PART = 0.8  # of the grace a withdrawal leaves proxies to their binds, if many wait for theirs
DEADLINES = 8  # parts of the grace in which deadlines count as the same: the busiest proxies go first
BURST = 0.4  # of the messages that a proxy may be written, this part may go out at once

DEEP_LOAD = 2.7  # cold servers get less from this part of the fall multiple on, as middle time in SLO times
DEEP, CALM = 0.35, 0.7  # a fleet that answers less than this share of its tries is in a jam, deep or not
JAM = 0.6  # so is one whose middle time is this part of the SLO time
FEW_WARM = 0.75  # cold servers get less, too, once usable warm weight is under this part of the most it was

EJECT_DROPS, EJECT_SHARE, SURE = 4, 0.3, 3  # drops, share above the others', deviations that eject
QUICK, LOST = 2, 0.85  # broken, not overrun: answers the rest in such times the fleet's, or drops so
SILENT_TRIES, SILENT_PERIODS = 8, 2  # silent: so many tries were due over so many rounds, and none ended
EJECT_MOST, DEAD_MOST = 0.34, 0.6  # parts of the listed weight: ejected at most; and if it answers nothing
CUT_SERVERS = 3  # so many servers of a zone, and most of those heard of: all of it is cut off
TRIAL_TRIES = 3  # back on the ramp it goes again if it drops more than half of so many tries

OVERRUN_TRIES, OVERRUN_TIME, OVERRUN_SLO = 4, 1.6, 0.6  # tries, times the fleet's time, part of the SLO time
OVERRUN_SURE, EASE_US = 2, TICK_US // 2  # standard errors beyond chance; the least buckets of that evidence
EASE_MANY = 0.25  # the part of the servers that may be eased at once, one at least
KIND_TRIES, KIND_TIME, KIND_SLO = 40, 1.6, 0.5  # the same for a machine type
KIND_HEARD = 0.75  # and of more than so many of its servers: the first heard of are those that drop most
EASE_POWER, EASE_MOST, EASE_LEAST = 0.33, 0.5, 0.3  # the root of that ratio is taken; a step at most; in all
SETTLE_TICKS, EASE_TICKS, EASE_BACK = 2, 8, 0.125  # before it is judged again; before it climbs, and by what

THROTTLE, THROTTLE_LEAST = 0.5, 0.6  # calls are throttled from this part of the SLO time; the least let in
THROTTLE_PART, THROTTLE_RISE, THROTTLE_NEAR = 0.9, 1.1, 1.02  # it falls and rises so; past what was too much


def step_down(part, ratio):
    return max(EASE_LEAST, part * max(EASE_MOST, ratio**EASE_POWER))


def even(wants, limit):
    """The level at which those who want more are cut so that all get the limit: 4 for [1, 2, 9] and 7."""
    for done, want in enumerate(sorted(wants)):
        if want * (len(wants) - done) >= limit:
            return limit / (len(wants) - done)
        limit -= want
    return limit


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
        self.tables, self.part, self.warm = [], 0.0, True  # that hold it; its percentage; if it is not cold
        self.shut, self.told = False, {}  # as proxies were told: if withdrawn; its weight by table
        self.gone_ticks = 0  # how long it has been gone
        self.drained_us = 0  # when the list first told that it drains or is gone
        self.doubted = False  # gone by a list that may be wrong, never seen to drain
        self.late = False  # its withdrawal did not go out at once
        self.fresh()

    def fresh(self):
        """It has just started: what was held against it is void."""
        self.drops, self.times = Ring(3), Ring(3)  # tries, dropped ones, microseconds of the answered ones
        self.eject_until, self.relapses, self.back_us = 0, 0, None  # since when it is back on the ramp
        self.health, self.eased_us, self.heard_us = 1.0, 0, 0
        self.crowd = 1.0  # cold, it gets this part where its tables' proxies are busier than usual

    def laid(self):
        return self.entry.weight * self.part


class Table:
    """A table that many proxies share."""

    def __init__(self, number, zone=None):
        self.number, self.zone, self.used = number, zone, False
        self.proxies, self.said, self.lines = {}, {}, 0  # who is bound; levels as told; lines in this step
        self.warm, self.most, self.cold_part = 0.0, 1e-9, 1.0  # warm weight; its most; what cold lines get
        self.loose = None if number is None else Table(None)  # who will be bound to it and may hold it yet


class Proxy:
    """What the director holds of one joined proxy."""

    def __init__(self, event, now):
        self.number, self.zone, self.rate = event.proxy, event.zone, event.request_rate
        self.place, self.joined_us = None, now  # the table, or those not bound yet, that it is among
        self.calls = {}  # by route: calls that came, and over how many microseconds
        self.unread = deque()  # (mark, lines) of messages not yet answered
        self.tokens, self.filled_us = 1e9, now  # messages that it may be written, and when that was counted


class Director:
    """One instance. Nothing is shared with others."""

    def step(self, now, events):
        """Take what happened, return what to do."""
        self.now, self.orders = now, []
        if events and type(events[0]) is model.Started:
            self.start(events[0])
        self.bucket = now // self.bucket_us
        for event in events:
            if hear := self.HEAR.get(type(event)):
                hear(self, event)
        if now >= self.next_beat:
            self.next_beat, self.urgent = now + BEAT_US, True
            self.orders.append(model.SetTimer(0, BEAT_US))
        if self.reported:
            self.judge()
        if self.urgent:
            self.urgent = False
            (self.keep_slices if self.get("proxies.slices", 0) else self.update_tables)()
        return self.orders

    def get(self, name, default):
        return self.settings.get(name, default)

    def start(self, event):
        self.settings = event.settings
        self.servers, self.proxies, self.slices, self.far = {}, {}, {}, {}
        self.past = {}  # servers forgotten that proxies were told to shut out, the newest last
        self.tables, self.loose, self.due = [], Table(None), []
        self.takeover = False  # more proxies wait to be bound than can be at once
        self.ramping, self.ramp_due = [], False  # tables that are to be told new weights in this tick
        self.mark, self.next_tick, self.next_beat = 0, self.now, self.now
        self.burst = max(1.0, BURST * (self.get("proxies.pushes_allowed", 0) - 1))
        self.written = []  # what is written in this step: proxies and lines
        # Withdrawals wait behind all that was written before: the queue may last for a part of the grace.
        self.pending, pace = self.get("proxies.pending_max", 1e9), self.get("proxies.lines_per_s", 1e9)
        self.grace_us = self.get("rules.drain_grace_us", 1e9)
        self.grace_lines = pace * self.grace_us / 1e6
        # Written ahead: what leaves the channel until the next step, and what is on its way or not answered.
        span_us = AHEAD_BEATS * BEAT_US + AHEAD_TRANSITS * self.get("proxies.late_us", 0)
        self.queue = SendQueue(self.pending, span_us * pace / 1e6)
        self.head = self.get("proxies.head", 0) + 1  # lines of a message beside its own, its mark too
        self.period_us = self.bucket_us = self.ease_us = self.get("proxies.report_every_us", TICK_US)
        self.expected, self.directors = self.get("proxies.proxy_count", 0), self.get("directors", 1)
        self.routes = range(self.get("routes.count", 0))
        self.slo_us = min((self.get(f"routes.{route}.slo_time_us", 1) for route in self.routes), default=1)
        self.ended, self.reported = Ring(4), False  # anywhere: tries, dropped ones; reports' spans, how many
        self.warm_now = self.warm_most = 0.0  # listed weight of the warm servers in use; the most it was
        self.load, self.answering = 0.0, 1.0  # middle time over SLO time; share answered
        self.typical = self.cold_part = 1.0  # the same at the typical server; what is left to the cold
        self.kinds, self.settled_us = {}, 0  # the part of machine types that are eased
        self.limit, self.limit_us, self.high = None, 0, 1.0  # calls let in for each usual one; too many
        self.orders += [model.Subscribe(True)] if self.get("discovery", "pushed") == "on_request" else []

    # What is heard

    def listed(self, event):
        self.urgent = True
        if event.kind == model.UpdateKind.FAILED:
            return self.orders.append(model.SetTimer(1, TICK_US))
        for entry in event.endpoints:
            if entry.state == GONE and entry.address in self.past:
                continue
            held = self.servers.setdefault(entry.address, State(entry))
            held.shut = held.shut or self.past.pop(entry.address, False)
            if entry.state == GONE:
                self.drop(held)
                continue
            if entry.started_us != held.entry.started_us:
                held.fresh()
            elif entry.state == READY and held.state == DRAINING:
                held.back_us = self.now
            if entry.state == DRAINING and held.state != DRAINING:
                held.drained_us = self.now
            held.entry, held.state, held.doubted = entry, entry.state, False
        present = {entry.address for entry in event.endpoints}
        for address in self.servers.keys() - present if event.kind != model.UpdateKind.DELTA else ():
            self.drop(self.servers[address])
        if event.kind == model.UpdateKind.CACHED:
            # Reports come so many lines a second: a window of less than a round has nothing of most.
            zones = max(self.directors, len({entry.zone for entry in event.endpoints}))
            lines = (self.expected * len(self.routes) + len(present) * zones) / self.directors
            round_us = lines / self.get("proxies.hears_per_s", 1e9) * 1e6
            self.bucket_us = max(self.period_us, int(round_us / RECENT))
            self.bucket, self.ease_us = self.now // self.bucket_us, max(EASE_US, self.bucket_us)

    def drop(self, held):
        """The list no longer has it. Where that alone does not bind, what still answers is kept."""
        if held.state == READY and self.get("rules.gone_does_not_bind", False):
            held.state, held.drops = MISSING, Ring(3)
        elif held.state != MISSING:
            held.drained_us = held.drained_us if held.state == DRAINING else self.now
            held.state = GONE

    def timer(self, event):
        self.orders += [model.Subscribe(True)] if event.token == 1 else []

    def joined(self, event):
        before, proxy = self.proxies.get(event.proxy), Proxy(event, self.now)
        self.left(event)
        if before:  # nobody saw it leave, if it did: what it was written may wait in the channel yet
            proxy.unread, proxy.tokens, proxy.filled_us = before.unread, before.tokens, before.filled_us
            self.queue.restore(sum(lines for _, lines in proxy.unread))
        proxy.place = self.loose if event.newly_started or not self.tables else self.home(proxy).loose
        self.proxies[event.proxy] = proxy.place.proxies[event.proxy] = proxy
        self.urgent = True

    def left(self, event):
        proxy = self.proxies.pop(event.proxy, None)
        if proxy:
            self.queue.forget(sum(lines for _, lines in proxy.unread))
            proxy.place.proxies.pop(event.proxy)

    def unbound(self):
        return [
            proxy
            for place in (self.loose, *(table.loose for table in self.tables))
            for proxy in place.proxies.values()
        ]

    def reach(self, held):
        """Who is not bound yet and may hold the server: what a former director laid, or anything."""
        return [self.loose, *(table.loose for table in held.tables or self.tables)]

    def applied(self, event):
        proxy = self.proxies.get(event.proxy)
        while proxy and any(mark == event.nonce for mark, _ in proxy.unread):
            self.queue.answer(*proxy.unread.popleft())

    def repeated(self, event):
        """If it was carried out its lines wait twice, and each proxy it reached has one message less left."""
        for proxy in self.proxies.values():
            lines = next((lines for mark, lines in proxy.unread if mark == event.nonce), 0)
            if lines:
                proxy.unread.appendleft((event.nonce, lines))
                self.queue.repeat(lines)
                proxy.tokens -= 1

    def met(self, event):
        held = self.servers.get(event.server)
        self.ended.add(self.bucket, event.attempts, event.failures, event.interval_us, 1)
        if held and not held.eject_until:
            met = event.attempts, event.failures, (event.attempts - event.failures) * event.mean_latency_us
            held.drops.add(self.bucket, *met)
            if self.now >= max(held.eased_us, self.settled_us):
                held.times.add(self.now // self.ease_us, *met)
            held.heard_us, self.reported = self.now, True

    def called(self, event):
        if event.proxy in self.proxies:
            ring = self.proxies[event.proxy].calls.setdefault(event.route, Ring(2))
            ring.add(self.bucket, event.requests, event.interval_us)

    def slice_given(self, event):
        self.urgent = True
        self.slices.pop(event.key_range, None)
        if event.assigned:
            self.slices[event.key_range] = {}

    def slice_line(self, event):
        if event.key_range in self.slices:
            self.slices[event.key_range][event.server] = event.weight

    HEAR = {
        model.EndpointUpdate: listed,
        model.TimerFired: timer,
        model.ProxyJoined: joined,
        model.ProxyLeft: left,
        model.Acknowledged: applied,
        model.Retransmitted: repeated,
        model.ServerLoadReport: met,
        model.RouteLoadReport: called,
        model.KeyRangeAssigned: slice_given,
        model.KeyRangeWeight: slice_line,
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
        part = full = held.health * self.kinds.get(held.entry.machine_type, 1.0)
        if held.back_us is not None:
            # What was ejected waits with its second step until it is heard of.
            trial_us = max(TICK_US, 2 * self.bucket_us) if held.relapses else 0
            part = min(part, FIRST_STEP + STEP * max(0, (self.now - held.back_us - trial_us) // TICK_US))
            held.back_us = held.back_us if part < full else None
        if not self.warm(held):
            # Proxies that shun failing servers themselves send all to those left, whatever their weight.
            if self.answering < CALM and self.get("proxies.ejects_after", 0):
                return 0.0
            least, age_us = self.get("rules.start_capacity", FIRST_STEP), self.now - held.entry.started_us
            sure = least + (1 - least) * max(0, age_us) / self.get("rules.warm_after_us", 1)
            # In a deep jam it gets a part of that, and where the cold would have all calls among themselves.
            most = self.get("rules.fall_multiple", DEEP_LOAD) / DEEP_LOAD
            deep = min(1.0, self.answering / DEEP, most / max(self.load, most))
            part = min(part, full * sure * deep * self.cold_part)
        return part

    # Health

    def judge(self):
        """Eject what drops beyond chance, or falls silent, beside the rest; a shared trouble ejects nobody.

        It guards against servers that fail, hang or vanish long before the list says so. In a jam a full
        server and a dead one look alike, and each one less deepens it: nobody goes.
        """
        self.reported, self.urgent = False, True
        lately, lost_lately, span_us, lines = self.ended.sums(self.bucket, RECENT)
        self.answering = 1 - lost_lately / max(lately, EJECT_DROPS)
        self.search()
        ready = [held for held in self.servers.values() if self.warm(held)]
        seen = {held: held.drops.sums(self.bucket) for held in ready if not held.eject_until}
        all_tries, all_dropped = (sum(row[column] for row in seen.values()) for column in (0, 1))
        means = {held: took / (tries - lost) for held, (tries, lost, took) in seen.items() if tries > lost}
        middle = median(means.values() or [0])
        recent = {held: held.drops.sums(self.bucket, RECENT) for held in seen}
        times = [took / (tries - lost) for tries, lost, took in recent.values() if tries > lost]
        self.load = median(times or [0]) / self.slo_us
        self.typical = 1 - median([lost / tries for tries, lost, _ in recent.values() if tries] or [0])
        ages = [self.now - held.heard_us for held in seen] or [0]
        round_us = max(median(ages) + self.period_us, span_us / max(1, lines))
        weight, laid = sum(held.entry.weight for held in ready), sum(held.laid() for held in seen) or 1.0
        calm = self.load <= JAM and self.answering >= CALM
        out = weight - sum(held.entry.weight for held in seen)
        cut = self.cut(seen)
        for held in sorted(seen, key=lambda held: -seen[held][1]):
            tries, dropped, _ = seen[held]
            usual = max(0, all_dropped - dropped) / max(1, all_tries - tries)
            excess = dropped - usual * tries
            dead = dropped == tries > 0
            sure = excess > SURE * (tries * usual * (1 - usual) + 1) ** 0.5
            quick = means.get(held, 0) < min(QUICK * middle, self.slo_us)
            late_tries, late, _ = recent[held]  # what it answered before it hung must not speak for it
            gone = dropped > LOST * tries or late >= EJECT_DROPS and late > LOST * late_tries
            lost = quick or dead or calm and gone  # to all who ask, not just overrun
            failing = sure and dropped >= EJECT_DROPS and excess > EJECT_SHARE * tries and lost
            if held.relapses and held.back_us is not None and tries >= TRIAL_TRIES:
                failing = dropped > tries / 2
            quiet_us = self.now - held.heard_us if held.heard_us else 0
            due = held.laid() / laid * all_tries * quiet_us / (RING * self.bucket_us)
            if quiet_us > SILENT_PERIODS * round_us and due > SILENT_TRIES and calm:
                failing = dead = True
            if held.entry.zone == cut and held.back_us is None:
                failing = dead = True
            most = 0 if self.load > JAM else DEAD_MOST if dead else EJECT_MOST
            if failing and out + held.entry.weight <= weight * most:
                out += held.entry.weight
                held.eject_until = self.now + TICK_US * 2 ** min(held.relapses, 3)
                held.relapses, held.back_us = held.relapses + 1, None

    def cut(self, seen):
        """The zone most of whose servers drop lately while the rest answers, or None.

        It guards against a zone that is cut off: reports tell of the time before, too, so that for seconds no
        server has dropped enough for itself. What came in this very bucket shows it when put together.
        """
        rows = defaultdict(list)
        for held in seen:
            tries, lost, _ = held.drops.sums(self.bucket, 1)
            if tries:
                rows[held.entry.zone].append((tries, lost))
        sums = {zone: [sum(column) for column in zip(*rows[zone], strict=True)] for zone in rows}
        for zone, (tries, lost) in sums.items():
            others, theirs = (
                sum(column) - own
                for column, own in zip(zip(*sums.values(), strict=True), (tries, lost), strict=True)
            )
            usual = theirs / max(1, others)
            failing = sum(lost > EJECT_SHARE * tries for tries, lost in rows[zone])
            sure = lost - usual * tries > SURE * (tries * usual * (1 - usual) + 1) ** 0.5
            if (
                sure
                and lost >= 2 * EJECT_DROPS
                and lost - usual * tries > EJECT_SHARE * tries
                and 2 * failing > len(rows[zone])
                and failing >= CUT_SERVERS
                and others > tries
                and usual < 1 - CALM
            ):
                return zone
        return None

    def search(self):
        """A list may be wrong: what it dropped stays while it answers, where the rules allow it.

        That is the slower to let go of what is truly lost, so what is met at one of them counts for all.
        """
        missing = {
            held: held.drops.sums(self.bucket)[:2] for held in self.servers.values() if held.state == MISSING
        }
        worse = max(0.5, 1 - self.answering + EJECT_SHARE)  # in a jam those that answer drop, too
        tries, dropped = (sum(column) for column in zip((TRIAL_TRIES, 0), *missing.values(), strict=True))
        lost = dropped > tries * worse
        for held, (tries, dropped) in missing.items():
            if lost and dropped == tries or tries >= TRIAL_TRIES and dropped > tries * worse:
                held.state, held.doubted = GONE, True

    def ease(self):
        """Once a tick the machine type that is overrun most gets a step less, or else the servers that are.

        It guards against listed weights that are wrong, and against anything that slows some servers. A type
        is judged once most of its servers have been heard of: the first reports come from those most used.
        """
        cost, chance, kinds = {}, {}, {}
        able = [
            held
            for held in self.servers.values()
            if self.warm(held) and not held.eject_until and held.back_us is None
        ]
        for held in able:
            tries, dropped, took = held.times.sums(self.now // self.ease_us)
            if tries >= OVERRUN_TRIES:
                cost[held] = (took + dropped * self.slo_us * 2) / tries
                chance[held] = 1 + OVERRUN_SURE * tries**-0.5
                kinds.setdefault(held.entry.machine_type, []).append((cost[held], tries))
        many = Counter(held.entry.machine_type for held in able)
        kinds = {
            kind: median(took for took, _ in rows)
            for kind, rows in kinds.items()
            if len(rows) > max(1, KIND_HEARD * many[kind]) and sum(tries for _, tries in rows) >= KIND_TRIES
        }
        settle_us = max(SETTLE_TICKS * TICK_US, 2 * self.bucket_us)
        worst, best = max(kinds, key=kinds.get, default=None), min(kinds, key=kinds.get, default=None)
        if worst is not None and kinds[worst] > max(KIND_TIME * kinds[best], KIND_SLO * self.slo_us):
            if self.kinds.get(best, 1.0) < 1:
                self.kinds[best] = min(1.0, self.kinds[best] + EASE_BACK)
            else:
                self.kinds[worst] = step_down(self.kinds.get(worst, 1.0), kinds[best] / kinds[worst])
            self.settled_us = self.now + settle_us
            for held in self.servers.values():
                held.times = Ring(3)
            return
        middle, most = median(cost.values() or [0]), max(1, int(EASE_MANY * len(cost)))
        for held in sorted(cost, key=lambda held: -cost[held] / chance[held])[:most]:
            if cost[held] > max(middle * max(OVERRUN_TIME, chance[held]), OVERRUN_SLO * self.slo_us):
                held.health = step_down(held.health, middle / cost[held])
                held.eased_us, held.times = self.now + settle_us, Ring(3)
        for held in cost:
            if held.health < 1 and cost[held] < middle and self.now >= held.eased_us + EASE_TICKS * TICK_US:
                held.health = min(1.0, held.health + EASE_BACK)
                held.eased_us = self.now

    # Levels

    def levels(self):
        """By route, what is let in: in a jam no more than gets answered, the most important routes first.

        It guards against jams that clients' repeats keep alive, whatever began them. It never goes under a
        part of what was answered at first, and is a ratio to the joined proxies' usual calls: more may join.
        """
        kind, demand = self.get("proxies.admit", "silent"), {route: [] for route in self.routes}
        full = 1.0 if kind == "ratio" else 1e6
        for proxy in self.proxies.values():
            for route, ring in proxy.calls.items():
                calls, span_us = ring.sums(self.bucket)
                demand[route].append(calls / max(1, span_us))
        usual = sum(proxy.rate for proxy in self.proxies.values()) or 1.0
        pressed = self.load > THROTTLE * max(0.5, self.answering + self.typical - 1)
        # What joined lately has hardly been reported on: a limit from that would shut out nearly all.
        since_us = self.now - (RING + RECENT) * self.bucket_us
        known = sum(proxy.rate for proxy in self.proxies.values() if proxy.joined_us <= since_us)
        if kind == "silent" and self.get("proxies.default_retry", None) == model.RetryPolicy.NO_RETRY:
            return {}  # nothing to say: levels are not obeyed, and no proxy tries again by itself
        if kind == "silent" or self.limit is None and not (pressed and known):
            return dict.fromkeys(self.routes, full)
        if self.limit is None:
            tries, dropped = self.ended.sums(self.bucket)[:2]
            self.limit = self.least = (tries - dropped) / (RING * self.bucket_us) / known
            self.limit_us = self.now + 2 * TICK_US
        elif pressed and self.now >= self.limit_us:
            self.high, self.limit_us = self.limit / max(self.warm_now, 1e-9), self.now + 2 * TICK_US
            self.limit = max(THROTTLE_LEAST * self.least, THROTTLE_PART * self.limit)
        elif not pressed:
            rise = THROTTLE_RISE if self.load > THROTTLE / 2 else THROTTLE_RISE**3
            self.limit *= rise if self.limit < self.high * self.warm_now else THROTTLE_NEAR
        levels, left = {}, self.limit * usual
        for route in sorted(self.routes, key=lambda route: -self.get(f"routes.{route}.importance", 1)):
            wanted = sum(demand[route])
            level = left / wanted if kind == "ratio" and wanted else even(demand[route], left) * 1e6
            levels[route] = full if wanted <= left else round(level, 2 if kind == "ratio" else 1)
            left = max(0.0, left - wanted)
        if self.limit * usual > THROTTLE_RISE * sum(map(sum, demand.values())):
            self.limit = None
        return levels

    # The channel

    def tokens(self, proxy):
        """Messages that may go to a proxy now: a small burst, then evenly, the cap in any span at most."""
        most, burst = self.get("proxies.pushes_allowed", 0) - 1, self.burst
        if most <= 0:
            return burst
        rate = (most - burst) / self.get("proxies.counted_over_us", TICK_US)
        filled = proxy.tokens + (self.now - proxy.filled_us) * rate
        proxy.tokens, proxy.filled_us = min(burst, filled), self.now
        return proxy.tokens

    def make_tables(self):
        """One for all, or several; by settings and list alone, so that the next director has the same."""
        self.groups = {held.entry.zone: [] for held in self.servers.values()} or {None: []}
        lines, count = LINES * self.get("proxies.default_size", 1e9), self.expected / SHARERS
        enough = min(len(self.servers) / lines, count) >= len(self.groups)
        if not enough or self.get("penalties.cross_zone", 0) < FAR_PRICE:
            self.groups, count = {None: []}, count / self.directors
        count = int(count / len(self.groups))
        self.copies = max(COPIES, round(count * lines * len(self.groups) / max(1, len(self.servers))))
        if self.copies >= count:
            count = self.copies = 1
        for zone, group in sorted(self.groups.items()):
            group += [Table(len(self.tables) + number, zone) for number in range(count)]
            self.tables += group

    def spill(self):
        """By zone, at what part of their weight its tables use servers of other zones: none, if it can do."""
        usable, wanted = defaultdict(float), defaultdict(float)
        for held in self.servers.values():
            usable[held.entry.zone] += held.laid() * (not held.shut)
        for proxy in self.proxies.values():
            wanted[proxy.zone] += proxy.rate
        per_proxy = sum(wanted.values()) / max(1, len(self.proxies)) or 1.0
        for zone in self.groups:
            own = self.get("proxies.by_zone", False) and zone == self.get("zone", 0)
            part = wanted[zone] * (1 if own else self.directors) / per_proxy
            part *= sum(usable.values()) / max(1, self.expected) / max(usable[zone], 1e-9)
            far = min(1.0, max(0.0, part - 1))
            if abs(far - self.far.setdefault(zone, 0.0)) > FAR_STEP:
                self.far[zone] = round(far / FAR_STEP) * FAR_STEP

    def home(self, proxy):
        group = self.groups.get(proxy.zone) or self.tables
        return group[proxy.number % len(group)]

    def is_far(self, held, table):
        return table.zone not in (None, held.entry.zone)

    def weight(self, held, table):
        part = self.far[table.zone] if self.is_far(held, table) else 1
        return held.laid() * part * (1 if held.warm else table.cold_part * held.crowd)

    def uncrowd(self):
        """A cold server gets no more from the proxies here than its part of all the calls of the fleet.

        It guards against few proxies, some far busier than the rest: the tables of such sent a server that
        had just started four times its part, and each director knows of its own proxies alone.
        """
        rates = {table: sum(proxy.rate for proxy in table.proxies.values()) for table in self.tables}
        laid, rate = defaultdict(float), sum(proxy.rate for proxy in self.proxies.values())
        for held in self.servers.values():
            held.crowd = 1.0
            for table in held.tables:
                laid[table] += 0 if held.shut else self.weight(held, table)
        usable = sum(held.laid() for held in self.servers.values() if not held.shut) or 1.0
        usual = rate * max(1, self.expected / max(1, len(self.proxies))) / usable
        for held in self.servers.values():
            if held.part and not held.warm:
                brought = sum(
                    rates[table] * self.weight(held, table) / (laid[table] or 1.0) for table in held.tables
                )
                fair = usual * held.laid()
                held.crowd = fair / brought if brought > fair else 1.0

    def assign_servers(self):
        """Put each server on its tables, those with the least of its type; fill up a table that got thin."""
        for proxy in self.unbound():
            self.home(proxy).used = True
        weights, fresh = defaultdict(float), []  # by table, type and if far; by table alone: what is usable
        for held in self.servers.values():
            if held.state == GONE and held.shut and not held.told:
                held.tables = []
            elif held.state == READY and not held.tables:
                fresh.append(held)
            for table in held.tables:
                kind = held.entry.machine_type, self.is_far(held, table)
                weights[table, kind] += held.entry.weight * (held.state != GONE)
                weights[table] += self.weight(held, table)
        for held in sorted(fresh, key=lambda held: (held.entry.machine_type, self.draw(held, 0))):
            for kind in ((held.entry.machine_type, False), (held.entry.machine_type, True)):
                group = [table for table in self.tables if self.is_far(held, table) == kind[1]]
                group.sort(key=lambda table: (weights[table, kind], self.draw(held, table.number)))
                for table in group[: self.copies]:
                    held.tables.append(table)
                    weights[table, kind] += held.entry.weight
                    weights[table] += self.weight(held, table)
        mean = sum(weights[table] for table in self.tables) / max(1, len(self.tables))
        for table in [table for table in self.tables if weights[table] < THIN * mean]:
            others = [held for held in self.servers.values() if held.part > 0 and table not in held.tables]
            others.sort(key=lambda held: (held.part, -len(held.tables), self.draw(held, table.number)))
            while others and weights[table] < THIN * mean:
                held = others.pop()
                held.tables.append(table)
                weights[table] += self.weight(held, table) or mean  # or it would use them already

    def draw(self, held, number):
        return crc32(b"%d %s" % (number, repr(held.entry.address).encode()))

    def cost(self, tables, lines):
        """Lines that so many for each proxy of some tables take, heads included."""
        return sum(len(table.proxies) * (lines + (0 if table.lines else self.head)) for table in tables)

    def allowed(self, tables, claim):
        """Whether the proxies of these tables may be written a message more."""
        fresh = [proxy for table in tables if not table.lines for proxy in table.proxies.values()]
        return all(self.tokens(proxy) >= min(claim.messages, self.burst) for proxy in fresh)

    def write_if_room(self, orders, tables, lines, claim):
        """Give orders of so many lines for some tables if the queue and the proxies' allowance have room."""
        cost = self.cost(tables, lines)
        if not self.queue.fits(cost, claim) or not self.allowed(tables, claim):
            return False
        self.queue.plan(cost)
        self.orders += orders
        for table in tables:
            table.lines += lines if table.proxies else 0
        return True

    def claims(self):
        """What each kind of order may fill of the queue."""
        room = min(self.pending, QUEUE * self.grace_lines)
        bind = Claim(1, self.pending - (1 + ROOM) / 2 * room, 1.0)
        return Claims(
            rule=Claim(1, 0, None),
            drain=Claim(1, 0, 1.0),
            bind=bind,
            ejection=bind._replace(messages=2),
            ramp=Claim(3, self.pending - ROOM * room, ROOM),
        )

    def update_tables(self):
        """Write what changed: first what the rules need, then what has a deadline, then ramp steps."""
        claims = self.claims()
        self.queue.begin()
        warm = self.warm_servers()
        if not self.tables:
            self.make_tables()
        if self.now >= self.next_tick:
            self.tick()
        self.weigh(warm)
        self.spill()
        self.assign_servers()
        self.uncrowd()
        late = self.withdraw(claims)
        served, heated = (
            {number for held in group if not held.shut for number in held.told}
            for group in (self.servers.values(), warm)
        )
        self.fill_bare_tables(served, claims.rule)
        self.tell_levels(claims.rule._replace(messages=2))
        self.bind_waiting(claims)  # before the rest, as what an unbound proxy holds may have drained
        self.protect_cold_servers(warm, served, heated, late, claims)
        # Ramp steps leave a message more: a zone that is back costs several before all its starts are known.
        if not self.unbound():
            self.ramp(claims.ramp)
        self.finish_reply()

    def warm_servers(self):
        """The servers that are warm, in the list's order; if all of them are ejected they are let back."""
        warm = {held: None for held in self.servers.values() if self.warm(held)}
        for held in warm if all(held.eject_until for held in warm) else ():
            held.eject_until = 0  # the rest has left the list since: any line beats none
        return warm

    def weigh(self, warm):
        """Each server's percentage, and how much warm weight the fleet and each table have left."""
        # What is back but not yet told to proxies takes no calls: it neither spares the cold nor a zone.
        self.warm_now = sum(held.entry.weight for held in warm if not (held.eject_until or held.shut))
        self.warm_most = max(self.warm_now, self.warm_most, 1e-9)
        self.cold_part = min(1.0, (self.warm_now or self.warm_most) / self.warm_most / FEW_WARM)
        for table in self.tables:
            table.warm = 0.0
        for held in self.servers.values():
            held.part, held.warm = self.percentage(held), held in warm
            for table in held.tables if held.warm and held.part else ():
                table.warm += held.entry.weight
        for table in self.tables:
            # Who is on a table that lost most of its warm lines would send all that to the cold ones.
            table.most = max(table.most, table.warm)
            mine = (table.warm or table.most) / table.most / FEW_WARM
            table.cold_part = min(1.0, mine / self.cold_part)  # the fleet's is in their percentage already

    def fill_bare_tables(self, served, claim):
        """Lay what a table that has no line should have."""
        for held in self.servers.values():
            bare = [table for table in held.tables if table.used and table.number not in served]
            if bare:
                self.change(held, claim, bare)

    def tell_levels(self, claim):
        """Tell tables of new levels."""
        for table in [table for table in self.tables if table.used]:
            news = [route for route in self.let_in if table.said.get(route) != self.let_in[route]]
            orders = [
                model.SetAdmission(table.number, 1 << route, self.let_in[route], model.RetryPolicy.NO_RETRY)
                for route in news
            ]
            if news and self.write_if_room(orders, [table], len(news), claim):
                table.said.update(self.let_in)

    def protect_cold_servers(self, warm, served, heated, late, claims):
        """Cold servers must not wait for the tick to get much less, nor, on a table alone, for warm ones."""
        for held in [held for held in self.servers.values() if held.part]:
            # A table that nobody uses has nothing to be told of a server that is not to be readmitted.
            cool = (
                [table for table in held.tables if table.number not in heated and (table.used or held.shut)]
                if held in warm
                else ()
            )
            sinks = [
                table
                for table in held.tables
                if not held.shut and held.told.get(table.number, 0.0) > 1.5 * self.weight(held, table)
            ]
            # They may use what is kept for drains, all in one message, and each table as it can: half a zone
            # was back in a second, told in six pieces, and waited for all of its tables' proxies at once. So
            # may warm lines for a table of cold ones: it waited 3 s, and then the other zone was lost.
            for table in dict.fromkeys((*sinks, *cool)):
                alone = table in cool and table.number in served  # with cold lines
                spare = table in late or held in warm and not alone
                self.change(held, claims.ejection if spare else claims.rule, [table])

    def change(self, held, claim, needy=None):
        """Tell the tables of a server its weight, if that is news and there is room; the needy ones alone?

        Laying a table for proxies that just joined must not bring ramp steps forward in all others: those
        waited in the channel before the binds of a dead director's proxies.

        The lines of one that drained and is gone go, too: a deploy would fill tables with them, and each is
        two lines of a bind, so that binding the proxies of a dead director took longer than the grace.
        """
        address, told, gone = held.entry.address, {}, held.state == GONE
        for table in held.tables:
            if table.used and (weight := self.weight(held, table)):
                told[table.number] = weight
        if needy is not None and not held.shut:
            mine = {table.number for table in needy}
            told = {number: weight for number, weight in told.items() if number in mine}
            told |= {number: weight for number, weight in held.told.items() if number not in mine}
        stale = [table for table in held.tables if told.get(table.number) != held.told.get(table.number)]
        if not held.part and not (gone and held.shut) or not stale and (gone or not held.shut):
            return True
        orders = [model.SetWeight(table.number, address, told.get(table.number, 0.0)) for table in stale]
        if held.shut and not gone:
            orders.append(model.SetWithdrawn(address, False))
            stale = [table for table in held.tables if table.number in told or table in stale]
            stale += self.reach(held)
        if not self.write_if_room(orders, stale, 1 + (held.shut and not gone), claim):
            return False
        held.shut, held.told = held.shut and gone, told
        return True

    def ramp(self, claim):
        """Tell tables of new weights, all of a table in one message; what is let back goes to all at once.

        The tables take turns: where the queue has no room for all of them each gets its message in time.
        """
        self.due = [held for held in self.due if held.shut and held.part and not self.change(held, claim)]
        stale = defaultdict(dict)
        for held in self.servers.values():
            gone = held.shut and held.state == GONE
            for table in held.tables if gone or held.part and not held.shut else ():
                weight = self.weight(held, table) if table.used and not gone else 0.0
                if weight != held.told.get(table.number, 0.0):
                    stale[table][held] = weight
        if self.ramp_due:
            self.ramp_due = False
            self.ramping += [table for table in self.tables if table not in self.ramping]
        waiting = []
        for table in self.ramping:
            news = stale.get(table, {})
            orders = [
                model.SetWeight(table.number, held.entry.address, weight) for held, weight in news.items()
            ]
            if not orders:
                continue
            if self.write_if_room(orders, [table], len(orders), claim):
                for held, weight in news.items():
                    held.told[table.number] = weight
                    if not weight:
                        del held.told[table.number]
            else:
                waiting.append(table)
        self.ramping = waiting

    def channel(self):
        """How full the send queue is, and how near what is still due comes to its deadline."""
        unbound, drained = self.unbound(), self.drained_lines()
        since_us = [proxy.joined_us for proxy in unbound]
        since_us += [held.drained_us for group in drained.values() for held in group]
        used = (self.now - min(since_us, default=self.now)) / self.grace_us
        queue = self.queue
        return ChannelState(
            queue.waiting,
            queue.backlog(),
            queue.limit,
            queue.span,
            len(unbound),
            len(drained),
            used,
            self.takeover,
        )

    def withdraw(self, claims):
        """Withdraw what drains or is ejected; returns the tables that still use one that drains.

        Withdrawals go out at once while the span has room for all that they reach. Otherwise each table lets
        go of its drained servers as its deadline comes, all in one message: who is to be bound soon need not
        be told, and a message less is a head less for each of its proxies.
        """
        closing = [held for held in self.servers.values() if held.part <= 0 and not held.shut]
        drains = [held for held in closing if held.state != READY and not held.doubted]
        crowded = self.takeover = self.crowded()
        behind = any(held.late and held.told for held in drains)
        for held in drains:
            old = self.now - held.drained_us > WAIT_PART * self.grace_us
            waits = crowded and not old or behind and held.told
            held.late = bool(waits) or not self.withdraw_all(held, claims.drain)
            behind = behind or held.late
        self.clean_tables(claims.drain)
        # Ejections, and what only a list that may be wrong calls gone, leave room and a message to drains:
        # a queue that they had filled let drains in one by one, each with the heads of its messages.
        for held in sorted(
            (held for held in closing if held.state == READY or held.doubted), key=lambda held: held.doubted
        ):
            self.withdraw_all(held, claims.ejection)
        return set(self.drained_lines())

    def crowded(self):
        """Whether binding those who wait takes more than half of what is written ahead."""
        lines = self.head + 1 + len(self.routes) + LINES * self.get("proxies.default_size", 0)
        return len(self.unbound()) * lines > ROOM * self.queue.span

    def withdraw_all(self, held, claim):
        """Withdraw a server from all who may use it, if there is room; whether it was done.

        Where nobody is known to use it no order is given: it would be a message to each proxy that has joined
        but is not known yet, and those are bound without it.
        """
        address, gone = held.entry.address, held.state == GONE
        own = [table for table in held.tables if table.number in held.told]
        orders = [model.SetWithdrawn(address, True)]
        orders += [model.SetWeight(table.number, address, 0.0) for table in own if gone]
        if held.late and not own and not any(place.proxies for place in self.reach(held)):
            orders = []
        if not self.write_if_room(orders, own + self.reach(held), 1 + gone, claim):
            return False
        held.shut, held.told = True, {} if gone else held.told
        return True

    def drained_lines(self):
        """By table, the servers that drain and that its proxies still use."""
        found = defaultdict(list)
        for held in self.servers.values():
            if held.part <= 0 and not held.shut and held.state != READY and not held.doubted:
                for table in held.tables:
                    if table.number in held.told:
                        found[table].append(held)
        return found

    def deadline(self, drained, waiting):
        """In which part of the grace a table is due: for what it uses, and for those who wait for it."""
        since_us = [held.drained_us for held in drained] + [proxy.joined_us for proxy in waiting]
        return int(min(since_us) // (self.grace_us / DEADLINES))

    def clean_tables(self, claim):
        """Without anybody who waits for a table: take drained servers off tables, the earliest first."""
        if self.unbound():
            return
        drained = self.drained_lines()

        def order(table):
            return self.deadline(drained[table], ()), table.number

        for table in sorted(drained, key=order):
            self.clean(table, drained[table], claim)

    def clean(self, table, drained, claim):
        """Take servers off a table, all in one message for each proxy, if there is room."""
        orders = [model.SetWeight(table.number, held.entry.address, 0.0) for held in drained]
        if not self.write_if_room(orders, [table], len(orders), claim):
            return False
        for held in drained:
            held.told.pop(table.number)
        return True

    def bind_waiting(self, claims):
        """Put proxies on their tables, the earliest deadline first, then the busiest.

        A table goes as a whole: what it uses that drains is taken off before proxies are bound to it.
        """
        waiting, drained = defaultdict(list), self.drained_lines()
        for proxy in self.unbound():
            waiting[self.home(proxy)].append(proxy)
        if not waiting:
            return
        dead = self.dead_lines()
        sizes = Counter(number for held in self.servers.values() for number in held.told)
        sizes.update(number for held in self.servers.values() if held.shut for number in held.told)

        def order(table):
            busy = max((proxy.rate for proxy in waiting[table]), default=0.0)
            return self.deadline(drained[table], waiting[table]), -busy, table.number

        for table in sorted(waiting.keys() | drained.keys(), key=order):
            if drained[table] and self.clean(table, drained[table], claims.drain):
                sizes[table.number] -= len(drained[table])
            saves = dead[table] and self.saves(table, waiting[table])
            if saves and self.clean(table, dead[table], claims.bind):
                sizes[table.number] -= 2 * len(dead[table])
            lines = self.head + 1 + len(table.said) + sizes[table.number]
            for proxy in sorted(waiting[table], key=lambda proxy: (-proxy.rate, proxy.number)):
                if self.queue.fits(lines, claims.bind) and self.tokens(proxy) >= 1:
                    self.bind(proxy, table, lines)

    def dead_lines(self):
        """By table, the withdrawn servers that are gone or drain: a bind carries two lines for each."""
        found = defaultdict(list)
        for held in self.servers.values():
            if held.shut and held.state in (GONE, DRAINING):
                for table in held.tables:
                    if table.number in held.told:
                        found[table].append(held)
        return found

    def saves(self, table, waiting):
        """Whether telling who is on a table of its dead lines costs less than binding others with them."""
        # In a takeover more come than have joined so far.
        return self.takeover or len(table.proxies) * (1 if table.lines else 1 + self.head) < 2 * len(waiting)

    def bind(self, proxy, table, lines):
        self.orders.append(model.BindProxy(table.number, model.ALL_ROUTES, proxy.number))
        self.written.append((proxy, lines + proxy.place.lines))
        table.proxies[proxy.number] = proxy.place.proxies.pop(proxy.number)
        proxy.place = table
        self.queue.plan(lines)

    def finish_reply(self):
        """Mark what was written in this step; it waits in the channel until a proxy has answered."""
        for table in (*self.tables, self.loose, *(table.loose for table in self.tables)):
            lines, table.lines = table.lines and table.lines + self.head, 0
            self.written += [(proxy, lines) for proxy in table.proxies.values() if lines]
        self.mark = (self.mark + 1) % 65536
        self.orders += [model.RequestAcknowledgement(self.mark, False)] if self.written else []
        for proxy, lines in self.written:
            proxy.unread.append((self.mark, lines))
            proxy.tokens -= 1
        if self.written:
            self.queue.write(self.mark, sum(lines for _, lines in self.written))
        self.written = []

    def tick(self):
        """What is looked at once a tick."""
        for address, held in list(self.servers.items()):
            # Servers are replaced all day: what is held of those that left must not grow, nor a step with it.
            held.gone_ticks = held.gone_ticks + 1 if held.state == GONE and not held.tables else 0
            if held.gone_ticks > FORGET_TICKS:
                del self.servers[address]
                self.past[address] = True
        while len(self.past) > PAST:
            del self.past[next(iter(self.past))]
        self.next_tick, self.due, self.ramp_due = self.now + TICK_US, list(self.servers.values()), True
        for held in self.servers.values():
            if held.eject_until and self.now >= held.eject_until:
                held.eject_until, held.back_us, held.heard_us, held.drops = 0, self.now, 0, Ring(3)
        self.ease()
        self.let_in = self.levels()

    def keep_slices(self):
        """Slices stay where they are; one that has lost its server goes to another, by weight and chance."""
        usable = [held for held in self.servers.values() if self.percentage(held) > 0]
        for address, held in self.servers.items():
            if held.shut != (held.state != READY):
                held.shut = not held.shut
                self.orders.append(model.SetWithdrawn(address, held.shut))
        for number, lines in self.slices.items():
            lost = [address for address in lines if address not in self.servers or self.servers[address].shut]
            if usable and len(lost) == len(lines):
                heir = max(usable, key=lambda held: held.entry.weight * self.draw(held, number)).entry.address
                self.orders.append(model.SetWeight(number, heir, 1.0))
                if not self.get("proxies.one_owner", False):
                    self.orders += [model.SetWeight(number, address, 0.0) for address in lost]
                self.slices[number] = {heir: 1.0}
