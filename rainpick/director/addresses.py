"""Addresses of servers. The decision module treats them as opaque values; here they are always ``Key``."""

from __future__ import annotations

Key = tuple[str, int]  # host (text without brackets) and port


def format_address(server: Key) -> str:
    """Format an address as ``HOST:PORT``."""
    return f"{server[0]}:{server[1]}"
