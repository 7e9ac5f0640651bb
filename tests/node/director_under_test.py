"""A live director as a process, as the platform starts it."""

import contextlib
import json
import os
import subprocess
import sys

from rainpick.node.frame_codec import HEARTBEAT_ANSWER
from rainpick.simulated_peers.ports import free_ports
from tests.node.platform_stubs import Peer, StubDiscovery, configuration_tree, entry
from tests.node.stub_relay import StubRelay
from tests.waiting import until


class DirectorUnderTest:
    """A process, its stubs of the platform, and its log."""

    def __init__(self, folder, *command):
        self.discovery, self.relay = StubDiscovery(*map(entry, range(6))), StubRelay()
        self.listen = "127.0.0.1", free_ports(1)[0]
        self.path, self.log = folder / "config.json", folder / "log"
        self.write_configuration()
        self.start(*command)

    def stop(self):
        """Kill the process and close the stubs."""
        self.process.kill()
        self.process.wait()
        self.discovery.close()
        self.relay.close()

    def start(self, *command):
        """Start the process; ``command``: in another way than usual."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command or [sys.executable, "-m", "rainpick.node"],
                stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(self.path)},
            )
        until(self.answers_heartbeat, "a heartbeat")

    def write_configuration(self, text=None):
        """Write the configuration file, with the stubs' addresses or as the text given."""
        known = {"generation": 0, "reset": True, "instances": [entry(0), entry(1)]}
        tree = configuration_tree(self.listen, self.discovery.address, self.relay.address, known=known)
        self.path.write_text(text or json.dumps(tree))

    def answers_heartbeat(self):
        """Whether the director's address answers."""
        with contextlib.suppress(OSError):
            peer = Peer(self.listen)
            answer = peer.send({"t": "hb"}).read(len(HEARTBEAT_ANSWER))
            peer.close()
            return answer == HEARTBEAT_ANSWER

    def log_lines(self):
        """The complete lines of the log."""
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines(keepends=True)
            if line.startswith("{") and line.endswith("}\n")
        ]

    def has_logged(self, event):
        """Whether the log has such an event."""
        return any(line["event"] == event for line in self.log_lines())

    def differing_settings(self, event):
        """The settings that such events in the log name."""
        return [line["differing"] for line in self.log_lines() if line["event"] == event]

    def withdrawn_servers(self):
        """The servers that the relay has been told to withdraw."""
        return {command["endpoint"] for command in self.relay.commands("withdraw")}


def bound_proxies(relay):
    """The proxies of all bindings, in order of their numbers."""
    return sorted(command["node"] for command in relay.commands("bind"))
