"""Patterns that select servers by address, for the server rules in the settings."""

import ipaddress

ANY_PORT = range(65_536)


class AddressPattern:
    """A pattern of IP addresses and ports.

    The forms are ``HOST``, ``HOST:PORT``, ``HOST:FIRST-LAST`` and ``NETWORK/BITS``, the last with or without
    ports. An IPv6 host with ports is in brackets. ``ValueError`` if the pattern has none of these forms.

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
        # Several colons without brackets are an IPv6 address, whose last group is not a port.
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
        """Return whether the pattern matches an address and port."""
        return host in self.network and port in self.ports


def _port_range(text: str) -> range:
    """Return the range of ``PORT`` or ``FIRST-LAST``, including the last port; empty if reversed."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)
