"""Append-only storage that survives crashes: segments of checksummed, compressed blocks."""

from rainpick.store.log import Damage, FullError, Gap, Log, Record, StoreError, Torn, read, segments

__all__ = ["Damage", "FullError", "Gap", "Log", "Record", "StoreError", "Torn", "read", "segments"]
