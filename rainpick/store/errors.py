"""What can go wrong with a store."""

from __future__ import annotations


class StoreError(Exception):
    """The folder can't be used as a store; the text names the file and what is wrong."""


class FullError(StoreError):
    """A block could not be written; the store is as it was before it."""


class BlockError(Exception):
    """Bytes that are no block, or no header of a segment."""
