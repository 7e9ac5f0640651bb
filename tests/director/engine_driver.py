"""Drives the engine under a virtual clock, with proxies that apply each message immediately."""

from rainpick import model
from rainpick.director.engine import Engine
from rainpick.settings import parse

BASE = """{
  zones: ["a", "b"], machines: ["x", "y"],
  routes: [{name: "lookup", slo_time: "500ms", time_limit: "2s"}],
  %s
}"""


def settings(settings_text=""):
    return parse(BASE % settings_text)


def server(number, state=model.EndpointState.READY, weight=1.0, started_us=0, zone=0):
    return model.Endpoint(weight, zone, started_us, 0, number, ("127.0.0.1", 9000 + number), state)


class Drive:
    """One engine and its proxies.

    ``confirms_delivery`` has, by proxy number, whether the delivery of its messages is confirmed.
    """

    def __init__(self, settings_text="", servers=4, **options):
        self.settings, self.now = settings(settings_text), 1_000_000
        self.engine = Engine(self.settings, 7, self.now, **options)
        self.engine.update_endpoints(
            model.EndpointUpdate(model.UpdateKind.CACHED, tuple(map(server, range(servers))), 1)
        )
        self.held_lines, self.confirms_delivery, self.messages = {}, {}, []

    def join(self, number, rate=5.0, standing=()):
        self.held_lines[number] = dict.fromkeys(standing, (1, 0))
        self.confirms_delivery.setdefault(number, True)
        self.engine.join(number, True, rate, 0, standing)

    def leave(self, number):
        self.engine.leave(number)
        del self.held_lines[number]

    def update_endpoints(self, *servers):
        self.engine.update_endpoints(model.EndpointUpdate(model.UpdateKind.DELTA, servers, 2))

    def run_engine(self):
        for message in self.engine.advance(self.now):
            self.messages.append((self.now, message))
            for line in message.delta.lines:
                if line.weight or line.flags & 0x80:
                    self.held_lines[message.proxy][line.server] = line.weight, line.flags
                else:
                    self.held_lines[message.proxy].pop(line.server, None)
            if self.confirms_delivery[message.proxy]:
                self.engine.confirm_delivery(message.proxy, message.number)

    def run_until(self, end_us):
        """Run the engine at each due time up to ``end_us``."""
        self.run_engine()
        while (due := self.engine.due_us()) is not None and due <= end_us:
            self.now = max(self.now, due)
            self.run_engine()
        self.now = end_us
        self.run_engine()

    def run(self, seconds):
        self.run_until(self.now + int(seconds * 1e6))

    def is_up_to_date(self, number):
        """Return whether a proxy holds exactly the lines of its target."""
        tables = self.engine.tables
        return self.held_lines[number] == tables.target(tables.proxies[number]).lines

    def open_lines(self, number):
        return {
            address[1] - 9000: weight for address, (weight, _) in self.held_lines[number].items() if weight
        }
