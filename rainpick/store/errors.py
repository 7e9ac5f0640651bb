"""Exceptions for an unusable store, a failed write and malformed blocks."""

from __future__ import annotations


class StoreError(Exception):
    """The store can't be used; the message states the file or segment and the reason."""


class FullError(StoreError):
    """A block could not be written. The store still ends with the previous block."""


class BlockError(Exception):
    """The bytes are not a valid block or segment header."""
