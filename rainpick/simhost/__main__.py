"""Run directors for the simulator over standard input and output: ``python -m rainpick.simhost``."""

import sys

from rainpick.simhost.framing import MalformedError
from rainpick.simhost.host import serve


def main() -> None:
    """Serve until the input ends; after an error, exit with one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedError as error:
        sys.exit(f"rainpick.simhost: {error}")
    except BrokenPipeError:
        sys.exit("rainpick.simhost: standard output was closed by its reader")


if __name__ == "__main__":
    main()
