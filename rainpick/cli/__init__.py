"""The command line ``rainpick``: ``application`` holds the commands together, a module declares each group.

What a command prints is in a module named ``..._output``. The commands import these, and whatever else is
slow to import, when they run: ``rainpick run`` is to start without what only other commands need.
"""

from rainpick.cli.application import main

__all__ = ["main"]
