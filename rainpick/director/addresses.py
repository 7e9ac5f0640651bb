"""Addresses of servers. ``Director`` treats them as opaque values; in this package they are ``Key``."""

from __future__ import annotations

Key = tuple[str, int]  # host (text without brackets) and port


def format_address(server: Key) -> str:
    """Format an address as ``HOST:PORT``."""
    return f"{server[0]}:{server[1]}"
