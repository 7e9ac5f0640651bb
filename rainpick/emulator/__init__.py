"""Emulates the fleet that a director serves, in virtual time, around the engine that the daemon drives."""
