"""Errors of scripted days."""


class DayError(Exception):
    """A scripted day could not be run."""
