"""Patterns over server addresses: they select the servers that a rule of the settings describes."""

import ipaddress

ANY_PORT = range(65_536)


class AddressPattern:
    """A pattern over addresses and ports.

    It is ``HOST``, ``HOST:PORT``, ``HOST:FIRST-LAST`` or ``NETWORK/BITS``, the last with or without ports. An
    IPv6 host with ports stands in brackets. ``ValueError`` if the pattern is none of these.

    >>> AddressPattern("127.0.0.1:9000-9011").matches(ipaddress.ip_address("127.0.0.1"), 9004)
    True
    >>> AddressPattern("10.1.0.0/16").matches(ipaddress.ip_address("10.2.0.1"), 80)
    False
    >>> AddressPattern("10.1.0.0/16:80-70")
    Traceback (most recent call last):
    ValueError: fleet.servers: '10.1.0.0/16:80-70' has a port range that ends before it begins
    """

    def __init__(self, pattern: str):
        host, separator, ports = pattern, "", ""
        # More than one colon without brackets: an IPv6 address, whose last group is no port.
        if pattern.count(":") == 1 or pattern.startswith("["):
            host, separator, ports = pattern.rpartition(":")
        try:
            self.network = ipaddress.ip_network(host.strip("[]"), strict=False)
            self.ports = _port_range(ports) if separator else ANY_PORT
        except ValueError:
            raise ValueError(
                f"fleet.servers: {pattern!r} is not HOST, HOST:PORT, HOST:FIRST-LAST or NETWORK/BITS"
            ) from None
        if not self.ports:
            raise ValueError(f"fleet.servers: {pattern!r} has a port range that ends before it begins")

    def matches(self, host: ipaddress.IPv4Address | ipaddress.IPv6Address, port: int) -> bool:
        """Whether the pattern matches this address and port."""
        return host in self.network and port in self.ports


def _port_range(text: str) -> range:
    """The ports of ``PORT`` or ``FIRST-LAST``, the last one included."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)
