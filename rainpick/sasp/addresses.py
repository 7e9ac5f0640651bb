"""IP addresses as SASP carries them: 16 bytes, IPv4 mapped into IPv6."""

from __future__ import annotations

import ipaddress

MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"
COMPATIBLE_PREFIX = b"\0" * 12
UNSPECIFIED_AND_LOOPBACK = (b"\0\0\0\0", b"\0\0\0\1")  # the ends of ``::`` and ``::1``

IPAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def pack_address(host: str) -> bytes:
    """The 16 bytes of an address; ``ValueError`` if it is none.

    >>> pack_address("127.0.0.1").hex()
    '00000000000000000000ffff7f000001'
    """
    address = ipaddress.ip_address(host)
    return address.packed if address.version == 6 else MAPPED_PREFIX + address.packed


def unpack_address(data: bytes) -> IPAddress:
    """The address of 16 bytes.

    IPv4 comes mapped or, from older members, with zeros before it (IPv4-compatible).

    >>> unpack_address(bytes(12) + bytes([127, 0, 0, 2]))
    IPv4Address('127.0.0.2')
    """
    address = ipaddress.IPv6Address(data)
    if address.ipv4_mapped is not None:
        return address.ipv4_mapped
    if data[:12] == COMPATIBLE_PREFIX and data[12:] not in UNSPECIFIED_AND_LOOPBACK:
        return ipaddress.IPv4Address(data[12:])
    return address
