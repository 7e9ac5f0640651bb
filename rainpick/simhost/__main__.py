"""Host directors for the simulator on standard input and output: ``python -m rainpick.simhost``."""

import sys

from rainpick.simhost.framing import MalformedError
from rainpick.simhost.host import serve


def main() -> None:
    """Serve until the input ends; one line on standard error says why if it ends in another way."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedError as error:
        sys.exit(f"rainpick.simhost: {error}")
    except BrokenPipeError:
        sys.exit("rainpick.simhost: the reader of the replies has gone")


if __name__ == "__main__":
    main()
