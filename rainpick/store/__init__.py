"""Crash-safe append-only storage in segments of checksummed, compressed blocks.

``Log`` writes a store, ``read`` reads it; ``docs/store-format.md`` specifies the format.
"""

from rainpick.store.errors import FullError, StoreError
from rainpick.store.log import Log
from rainpick.store.reader import Damage, Gap, Record, Torn, read, segment_numbers

__all__ = ["Damage", "FullError", "Gap", "Log", "Record", "StoreError", "Torn", "read", "segment_numbers"]
