"""Free ports on loopback."""

import contextlib
import secrets
import socket

# Below the ephemeral ports, which the system could assign to another socket while their director restarts.
PORTS = range(20_000, 32_768)


def free_ports(count: int) -> list[int]:
    """Find ``count`` different ports that no socket listens on."""
    ports: list[int] = []
    while len(ports) < count:
        port = secrets.choice(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in ports:
                ports.append(port)
    return ports
