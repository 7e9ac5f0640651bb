"""IP addresses in the encoding of SASP: 16 bytes, IPv4 as an IPv4-mapped IPv6 address."""

from __future__ import annotations

import ipaddress

MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"
COMPATIBLE_PREFIX = b"\0" * 12
UNSPECIFIED_AND_LOOPBACK = (b"\0\0\0\0", b"\0\0\0\1")  # the last four bytes of ``::`` and ``::1``

IPAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def pack_address(host: str) -> bytes:
    """Encode a textual IP address in 16 bytes; raise ``ValueError`` if it is malformed.

    >>> pack_address("127.0.0.1").hex()
    '00000000000000000000ffff7f000001'
    """
    address = ipaddress.ip_address(host)
    return address.packed if address.version == 6 else MAPPED_PREFIX + address.packed


def unpack_address(data: bytes) -> IPAddress:
    """Decode an address from 16 bytes.

    An IPv4 address is IPv4-mapped or, from older members, IPv4-compatible (preceded by zeros).

    >>> unpack_address(bytes(12) + bytes([127, 0, 0, 2]))
    IPv4Address('127.0.0.2')
    """
    address = ipaddress.IPv6Address(data)
    if address.ipv4_mapped is not None:
        return address.ipv4_mapped
    if data[:12] == COMPATIBLE_PREFIX and data[12:] not in UNSPECIFIED_AND_LOOPBACK:
        return ipaddress.IPv4Address(data[12:])
    return address
