"""A live director as a process, with a relay whose channel is paced in real time."""

import contextlib
import json
import os
import subprocess
import sys

from rainpick.node.frame_codec import HEARTBEAT_REPLY
from rainpick.simulated_peers.ports import free_ports
from tests.node.paced_relay import Fleet, PacedRelay
from tests.node.platform_stubs import Peer, StubDiscovery, configuration_tree, entry


class PacedDirector:
    """A director process with its relay and its address; ``settings`` are those of the configuration."""

    def __init__(self, folder, name, fleet, discovery, settings):
        self.relay = PacedRelay(fleet, settings["domain"])
        listen = "127.0.0.1", free_ports(1)[0]
        self.path, self.log = folder / f"{name}.json", folder / f"{name}.log"
        known = {"generation": 0, "reset": True, "instances": discovery.versions[0]}
        tree = configuration_tree(
            listen, discovery.address, self.relay.address, known=known, settings=settings
        )
        self.path.write_text(json.dumps(tree | {"name": name}))
        self.listen = listen
        self.process = self.start()

    def start(self):
        """Start the process."""
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "rainpick.node"],
                stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(self.path)},
            )

    def kill(self):
        """End the process with SIGKILL; what it ordered is lost."""
        self.process.kill()
        self.process.wait()
        self.relay.restart()

    def responds_to_heartbeat(self):
        try:
            peer = Peer(self.listen)
        except OSError:
            return False
        reply = peer.send({"t": "hb"}).read(len(HEARTBEAT_REPLY))
        peer.close()
        return reply == HEARTBEAT_REPLY

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.relay.close()


@contextlib.contextmanager
def paced_platform(folder, settings, proxies, servers):
    """Yield a director with its fleet of proxies and discovery; stop them in the end."""
    fleet, discovery = Fleet(proxies, servers), StubDiscovery(*map(entry, range(servers)))
    director = PacedDirector(folder, "n0", fleet, discovery, settings)
    try:
        yield director, fleet, discovery
    finally:
        director.stop()
        discovery.close()


def start_drains(fleet, discovery, *numbers):
    """Let discovery report that these servers drain."""
    fleet.start_drain(f"s-{number:04x}" for number in numbers)
    discovery.change(*(entry(number, "Terminating") for number in numbers))
