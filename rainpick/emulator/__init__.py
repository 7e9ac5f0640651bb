"""Emulation of a director's fleet in virtual time, around the same engine that the daemon drives."""
