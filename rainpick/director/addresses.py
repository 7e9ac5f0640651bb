"""Addresses of servers. The decisions take them for opaque values; here they are always ``Key``."""

from __future__ import annotations

Key = tuple[str, int]  # host, as text without brackets, and port


def format_address(server: Key) -> str:
    """``HOST:PORT``."""
    return f"{server[0]}:{server[1]}"
