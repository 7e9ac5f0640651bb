"""Runs a live director as a process, started as the platform starts it."""

import contextlib
import json
import os
import subprocess
import sys

from rainpick.node.frame_codec import HEARTBEAT_REPLY
from rainpick.simulated_peers.ports import free_ports
from tests.node.platform_stubs import Peer, StubDiscovery, configuration_tree, entry
from tests.node.stub_relay import StubRelay
from tests.waiting import wait_until


class DirectorUnderTest:
    """A director process with stubs of the platform around it, and its log."""

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
        """Start the process. ``command`` replaces the usual command line."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command or [sys.executable, "-m", "rainpick.node"],
                stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(self.path)},
            )
        wait_until(self.responds_to_heartbeat, "a heartbeat")

    def write_configuration(self, text=None):
        """Write ``text`` as the configuration file; by default a valid one with the stubs' addresses."""
        known = {"generation": 0, "reset": True, "instances": [entry(0), entry(1)]}
        tree = configuration_tree(self.listen, self.discovery.address, self.relay.address, known=known)
        self.path.write_text(text or json.dumps(tree))

    def responds_to_heartbeat(self):
        """Return whether the director replies to a heartbeat."""
        with contextlib.suppress(OSError):
            peer = Peer(self.listen)
            reply = peer.send({"t": "hb"}).read(len(HEARTBEAT_REPLY))
            peer.close()
            return reply == HEARTBEAT_REPLY

    def log_lines(self):
        """Return the complete lines of the log."""
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines(keepends=True)
            if line.startswith("{") and line.endswith("}\n")
        ]

    def has_logged(self, event):
        """Return whether the log has an event with this name."""
        return any(line["event"] == event for line in self.log_lines())

    def differing_settings(self, event):
        """Return the ``differing`` field of each event with this name in the log."""
        return [line["differing"] for line in self.log_lines() if line["event"] == event]

    def withdrawn_servers(self):
        """Return the servers in the withdraw commands that the relay accepted."""
        return {command["endpoint"] for command in self.relay.commands("withdraw")}


def bound_proxies(relay):
    """Return the proxies of all accepted bind commands, sorted by number."""
    return sorted(command["node"] for command in relay.commands("bind"))
