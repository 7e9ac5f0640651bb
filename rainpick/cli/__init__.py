"""The command line ``rainpick``. ``application`` is the root; each group of commands is declared in a module.

Modules named ``..._output`` print the results of commands. Commands import these and other slow modules when
they run, so that ``rainpick run`` starts without the dependencies of other commands.
"""

from rainpick.cli.application import main

__all__ = ["main"]
