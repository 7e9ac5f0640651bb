"""Append-only storage that survives crashes: segments of checksummed, compressed blocks.

``Log`` writes a store, ``read`` reads it; ``docs/store-format.md`` describes its bytes.
"""

from rainpick.store.errors import FullError, StoreError
from rainpick.store.log import Log
from rainpick.store.reader import Damage, Gap, Record, Torn, read, segment_numbers

__all__ = ["Damage", "FullError", "Gap", "Log", "Record", "StoreError", "Torn", "read", "segment_numbers"]
