"""Compatibility of stored data, bytes on the wire and decisions, independent of names in the code."""
