"""Errors of scripted days."""


class DayError(Exception):
    """The day could not be played."""
