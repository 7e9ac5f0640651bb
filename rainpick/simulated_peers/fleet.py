"""The simulated servers of a day."""

from __future__ import annotations

import threading
import time

from rainpick.simulated_peers import actions
from rainpick.simulated_peers.event_log import EventLog
from rainpick.simulated_peers.peer_settings import ListedServer, PeerSettings
from rainpick.simulated_peers.servers import Pod, SimulatedServer, pod_number


class Fleet:
    """Starts all servers of a day, already warm, and applies actions to them."""

    def __init__(self, settings: PeerSettings, log: EventLog):
        self.servers: list[SimulatedServer] = []
        pods: dict[int, Pod] = {}
        for number in range(settings.servers):
            pod = pods.setdefault(pod_number(number, len(settings.zones)), Pod())
            self.servers.append(SimulatedServer(number, settings, pod, log))
        for server in self.servers:
            server.start(cold=False)

    def listed(self) -> list[ListedServer]:
        """List the servers with the attributes that proxies use."""
        return [ListedServer(*server.address, server.pod_number) for server in self.servers]

    def apply(self, action: actions.ServerAction) -> None:
        """Apply an action to each server that it names, one after the other."""
        for number in action.servers:
            self.apply_to(self.servers[number], action)

    def apply_to(self, server: SimulatedServer, action: actions.ServerAction) -> None:
        """Apply an action to one server."""
        match action:
            case actions.SlowDown():
                server.slowdown = action.factor
            case actions.FailRequests():
                server.failure_share = action.share
            case actions.Hang():
                server.hung = action.enabled
            case actions.StopServers():
                server.stop("died")
            case actions.StartServers():
                if not server.running.is_set():
                    server.start(cold=True)
            case actions.BreakMemberStreams():
                server.membership.break_streams()
            case actions.DrainServers():
                server.drain()
            case actions.ReplaceServers():
                threading.Thread(target=self.replace, args=(server, action), daemon=True).start()

    @staticmethod
    def replace(server: SimulatedServer, action: actions.ReplaceServers) -> None:
        """Drain a server, stop it after the notice, and start it cold after the downtime."""
        server.drain()
        time.sleep(action.notice_s)
        server.leave()
        time.sleep(action.down_s)
        server.start(cold=True)

    def close(self) -> None:
        """Stop all servers."""
        for server in self.servers:
            server.stop("end")
