"""Errors of scripted days."""


class DayError(Exception):
    """A scripted day cannot begin, because directors or peers did not become ready."""
