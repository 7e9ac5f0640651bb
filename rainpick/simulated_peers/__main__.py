"""Runs a group of peers in its own process: ``python -m rainpick.simulated_peers fleet|edge LOG``.

The first line of standard input is a ``PeerStart``, each further line an action, all in JSON. Once the peers
run, the process prints one line: the list of the group's servers, empty for a group of proxies. The process
ends at the end of the input.
"""

import os
import sys
import threading
from pathlib import Path

import msgspec

from rainpick.simulated_peers.actions import Action
from rainpick.simulated_peers.peer_groups import LocalPeers, PeerRole
from rainpick.simulated_peers.peer_settings import PeerStart

THREAD_STACK_BYTES = 256 * 1024  # small, since a group runs many threads


def main() -> None:
    """Start the peers, and apply actions until the input ends."""
    threading.stack_size(THREAD_STACK_BYTES)
    role, log_path = sys.argv[1:3]
    start = msgspec.json.decode(sys.stdin.readline(), type=PeerStart)
    peers = LocalPeers(PeerRole(role), start, Path(log_path))
    print(msgspec.json.encode(peers.servers).decode(), flush=True)
    for line in sys.stdin:
        peers.apply(msgspec.json.decode(line, type=Action))
    peers.close()
    os._exit(0)  # without waiting for threads that are blocked in requests


if __name__ == "__main__":
    main()
