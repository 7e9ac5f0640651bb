"""Drives the engine by a virtual clock: proxies that read at once, and hold what they read."""

from rainpick import model
from rainpick.director.engine import Engine
from rainpick.settings import parse

BASE = """{
  zones: ["a", "b"], machines: ["x", "y"],
  routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}],
  %s
}"""


def settings(text=""):
    return parse(BASE % text)


def server(number, state=model.EndpointState.READY, weight=1.0, started_us=0, zone=0):
    return model.Endpoint(weight, zone, started_us, 0, number, ("127.0.0.1", 9000 + number), state)


class Drive:
    """One engine and its proxies. ``reads`` False: what it is written is not delivered."""

    def __init__(self, text="", servers=4, **words):
        self.settings, self.now = settings(text), 1_000_000
        self.engine = Engine(self.settings, 7, self.now, **words)
        self.engine.update_endpoints(
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(map(server, range(servers))), 1)
        )
        self.held, self.reads, self.writes = {}, {}, []

    def join(self, number, rate=5.0, standing=()):
        self.held[number] = dict.fromkeys(standing, (1, 0))
        self.reads.setdefault(number, True)
        self.engine.join(number, True, rate, 0, standing)

    def left(self, number):
        self.engine.leave(number)
        del self.held[number]

    def listed(self, *servers):
        self.engine.update_endpoints(model.EndpointUpdate(model.UpdateKind.DELTA, servers, 2))

    def turn(self):
        for write in self.engine.advance(self.now):
            self.writes.append((self.now, write))
            for line in write.delta.lines:
                if line.weight or line.flags & 0x80:
                    self.held[write.proxy][line.server] = line.weight, line.flags
                else:
                    self.held[write.proxy].pop(line.server, None)
            if self.reads[write.proxy]:
                self.engine.confirm_delivery(write.proxy, write.number)

    def until(self, moment):
        """Let the clock run; every due time is kept."""
        self.turn()
        while (due := self.engine.due_us()) is not None and due <= moment:
            self.now = max(self.now, due)
            self.turn()
        self.now = moment
        self.turn()

    def run(self, seconds):
        self.until(self.now + int(seconds * 1e6))

    def exact(self, number):
        """Whether a proxy holds just what it must."""
        tables = self.engine.tables
        return self.held[number] == tables.target(tables.proxies[number]).lines

    def open_lines(self, number):
        return {place[1] - 9000: weight for place, (weight, _) in self.held[number].items() if weight}
