"""A fleet in virtual time around one engine, the very one that the daemon drives: nothing of it is copied.

Members are listed, proxies join and are written to over links with a delay, clients call with Poisson
arrivals and repeat what was not answered, reports come in rounds of so many lines a second, as late as they
would.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from rainpick import model
from rainpick.decisions.director import Director
from rainpick.director.engine import Engine, Write
from rainpick.director.tables import Key
from rainpick.emulator.chance import Chance
from rainpick.emulator.heap import Heap
from rainpick.emulator.proxy import Pick, Proxy
from rainpick.emulator.server import ANSWERED, Kind, Server
from rainpick.settings import Settings

BEGIN_US = 1_000_000


class Shape(NamedTuple):
    """How large, how busy, how far apart. Times in microseconds."""

    servers: int = 12
    proxies: int = 8
    kinds: tuple[Kind, ...] = (Kind(),)  # server n is of kind n modulo how many
    weights: tuple[float, ...] = (1.0,)  # as listed, likewise
    calls_per_s: float = 400.0  # of all proxies together
    work_us: float = 20_000.0
    pick: Pick = "lottery"
    standing: int = 3  # servers that a proxy knows before it is told any
    same_us: int = 300  # one way, within a zone
    cross_us: int = 2_000
    list_delay_us: int = 300_000
    report_delay_us: int = 50_000
    repeats: int = 1  # by the client
    wait_us: int = 50_000  # before a repeat, doubled each time, with chance


class Asked:
    """A call of a client, over all its tries."""

    __slots__ = ("begin", "left", "over", "proxy", "ticket")

    def __init__(self, begin: int, proxy: Proxy, repeats: int):
        self.begin, self.proxy, self.left, self.over, self.ticket = begin, proxy, repeats, False, 0


class World:
    """One run. ``module`` is the decision module's class; ``begin`` starts all, ``run`` lets time pass."""

    def __init__(
        self, settings: Settings, shape: Shape, seed: int, module: Callable[[], Director] = Director
    ):
        self.settings, self.shape, self.heap = settings, shape, Heap(BEGIN_US)
        self.engine = Engine(settings, seed, BEGIN_US, module)
        self.zones = max(1, len(settings.zones))
        self.comes, self.works = Chance(seed, "comes"), Chance(seed, "works")
        self.waits = Chance(seed, "waits")
        self.servers: dict[Key, Server] = {}
        self.entries: dict[Key, model.Endpoint] = {}
        for number in range(shape.servers):
            name = ("10.0.0.1", 1024 + number)
            self.servers[name] = Server(self.heap, name, shape.kinds[number % len(shape.kinds)])
            weight = shape.weights[number % len(shape.weights)]
            self.entries[name] = model.Endpoint(
                weight,
                number % self.zones,
                0,
                number % len(shape.kinds),
                number,
                name,
                model.EndpointState.READY,
            )
        self.proxies: dict[int, Proxy] = {}
        self.seed, self.pumped = seed, (-1, 0)  # when the engine is next looked at, and the ticket of that
        self.reports: deque[model.ServerLoadReport | model.RouteLoadReport] = deque()
        self.outcomes: Counter[str] = Counter()
        self.in_slo, self.offered, self.version = 0, 0, 1
        self.slo_us, self.limit_us = settings.routes[0].slo_time, settings.routes[0].time_limit
        self.listeners: list[Callable[[int, str, Key, int], None]] = []  # now, what, server, proxy

    def begin(self) -> None:
        self.engine.list_changed(
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(self.entries.values()), self.version)
        )
        for number in range(self.shape.proxies):
            self.join(number)
        self.heap.after(int(self.settings.proxies.report_every), self.collect)
        self.heap.after(100_000, self.report)
        self.pump()

    def run(self, seconds: float) -> None:
        self.heap.run(self.heap.now + int(seconds * 1e6))

    # The director's side

    def pump(self) -> None:
        """Let the engine take what waits, carry what it writes, and come back when it wants to be."""
        for write in self.engine.advance(self.heap.now):
            self.heap.after(self.shape.same_us, self.deliver, write)
        due = self.engine.due_us()
        if due is not None:
            due = max(due, self.heap.now + 1)
            if self.heap.now < self.pumped[0] <= due:
                return
            if self.pumped[0] > self.heap.now:
                self.heap.cancel(self.pumped[1])
            self.pumped = due, self.heap.at(due, self.pump)

    def deliver(self, write: Write) -> None:
        proxy = self.proxies.get(write.proxy)
        if proxy is not None:
            proxy.read(write.way.lines)
            self.engine.delivered(write.proxy, write.number)
            self.pump()

    def join(self, number: int) -> None:
        names = sorted(self.servers)
        standing = [names[(number * 7 + one) % len(names)] for one in range(self.shape.standing)]
        chance = Chance(self.seed, f"proxy {number}")
        proxy = self.proxies[number] = Proxy(number, number % self.zones, self.shape.pick, chance, standing)
        rate = self.shape.calls_per_s / self.shape.proxies
        self.engine.joined(number, True, rate, proxy.zone, standing)
        self.heap.after(round(self.comes.exponential(1e6 / rate)), self.come, proxy)

    # The list

    def say(self, name: Key, state: int) -> None:
        """The list tells of a server, as late as it is."""
        entry = self.entries[name] = self.entries[name]._replace(state=state)
        self.heap.after(self.shape.list_delay_us, self.tell, entry)

    def tell(self, entry: model.Endpoint) -> None:
        self.version += 1
        self.engine.list_changed(model.EndpointUpdate(model.UpdateKind.DELTA, (entry,), self.version))
        self.pump()

    def drain(self, name: Key) -> None:
        self.say(name, model.EndpointState.DRAINING)

    def stop(self, name: Key) -> None:
        self.servers[name].stop()
        self.say(name, model.EndpointState.GONE)

    def start(self, name: Key) -> None:
        self.servers[name].start()
        self.entries[name] = self.entries[name]._replace(started_us=self.heap.now)
        self.say(name, model.EndpointState.READY)

    # Calls

    def come(self, proxy: Proxy) -> None:
        rate = self.shape.calls_per_s / self.shape.proxies
        self.heap.after(max(1, round(self.comes.exponential(1e6 / rate))), self.come, proxy)
        self.offered += 1
        self.attempt(Asked(self.heap.now, proxy, self.shape.repeats))

    def attempt(self, asked: Asked) -> None:
        proxy = asked.proxy
        proxy.calls += 1
        name = proxy.pick()
        if name is None:
            return self.ended(asked, "no line")
        for listener in self.listeners:
            listener(self.heap.now, "sent", name, proxy.number)
        proxy.busy[name] += 1
        sent = self.heap.now
        far = self.entries[name].zone != proxy.zone
        link_us = self.shape.cross_us if far else self.shape.same_us
        state = [False]  # whether this try has ended for the proxy

        def over(how: str) -> None:
            if state[0]:
                return
            state[0] = True
            proxy.busy[name] -= 1
            if how != "late":
                self.heap.cancel(ticket)
            proxy.note(name, how != ANSWERED, self.heap.now - sent)
            self.ended(asked, how)

        ticket = self.heap.after(self.limit_us, over, "late")
        work = self.works.exponential(self.shape.work_us)
        self.heap.after(
            link_us, self.servers[name].take, work, lambda how: self.heap.after(link_us, over, how)
        )
        return None

    def ended(self, asked: Asked, how: str) -> None:
        took_us = self.heap.now - asked.begin
        if how != ANSWERED and asked.left and took_us < self.limit_us:
            wait_us = self.shape.wait_us * 2 ** (self.shape.repeats - asked.left)
            asked.left -= 1
            self.heap.after(round(wait_us * (0.5 + self.waits.uniform())), self.attempt, asked)
            return
        self.outcomes[how] += 1
        self.in_slo += how == ANSWERED and took_us <= self.slo_us

    # Reports

    def collect(self) -> None:
        """What proxies met since the last time becomes lines; a round that is not through is gone on with."""
        span_us = int(self.settings.proxies.report_every)
        sums: dict[tuple[Key, int], list[int]] = {}
        for proxy in self.proxies.values():
            for name, row in proxy.met.items():
                total = sums.setdefault((name, proxy.zone), [0, 0, 0])
                for column, value in enumerate(row):
                    total[column] += value
            self.reports.append(model.RouteLoadReport(proxy.number, 0, proxy.calls, 0, span_us))
            proxy.met, proxy.calls = {}, 0
        for (name, zone), (tries, dropped, took_us) in sums.items():
            mean_us = took_us // max(1, tries - dropped)
            self.reports.append(model.ServerLoadReport(name, zone, tries, dropped, mean_us, span_us, ()))
        while len(self.reports) > 4 * (self.shape.servers * self.zones + self.shape.proxies):
            self.reports.popleft()  # a report that is far too late tells nothing
        self.heap.after(span_us, self.collect)

    def report(self) -> None:
        """So many lines a second reach the director."""
        many = max(1, round(self.settings.proxies.hears_per_s / 10))
        lines = [self.reports.popleft() for _ in range(min(many, len(self.reports)))]
        if lines:
            self.heap.after(self.shape.report_delay_us, self.hear, lines)
        self.heap.after(100_000, self.report)

    def hear(self, lines: list) -> None:
        self.engine.met(lines)
        self.pump()

    def service(self) -> float:
        """Of the calls that ended, the part answered within the SLO time."""
        return self.in_slo / max(1, sum(self.outcomes.values()))
