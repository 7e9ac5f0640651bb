"""Which servers a rule of the fleet's description speaks of."""

import ipaddress


class Match:
    """A pattern over addresses and ports.

    >>> Match("127.0.0.1:9000-9011").covers(ipaddress.ip_address("127.0.0.1"), 9004)
    True
    >>> Match("10.1.0.0/16").covers(ipaddress.ip_address("10.2.0.1"), 80)
    False
    >>> Match("10.1.0.0/16:80-70")
    Traceback (most recent call last):
    ValueError: fleet.servers: '10.1.0.0/16:80-70' has a port range that ends before it begins
    """

    def __init__(self, pattern: str):
        host, colon, ports = pattern, "", ""
        if pattern.count(":") == 1 or pattern.startswith("["):
            host, colon, ports = pattern.rpartition(":")
        try:
            self.network = ipaddress.ip_network(host.strip("[]"), strict=False)
            first, _, last = ports.partition("-")
            self.ports = range(int(first), int(last or first) + 1) if colon else range(65536)
        except ValueError:
            raise ValueError(
                f"fleet.servers: {pattern!r} is not HOST, HOST:PORT, HOST:FIRST-LAST or NETWORK/BITS"
            ) from None
        if not self.ports:
            raise ValueError(f"fleet.servers: {pattern!r} has a port range that ends before it begins")

    def covers(self, host: ipaddress.IPv4Address | ipaddress.IPv6Address, port: int) -> bool:
        return host in self.network and port in self.ports
