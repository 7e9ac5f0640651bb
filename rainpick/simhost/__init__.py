"""The simulator's adapter."""
