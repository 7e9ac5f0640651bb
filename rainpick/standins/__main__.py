"""A fleet or some proxies in a process of their own: ``python -m rainpick.standins fleet|edge WORDS LOG``.

The first line of standard input is the day; each further one is ``[what, numbers, words]``. It ends with it.
"""

import json
import os
import sys
import threading
from pathlib import Path

from rainpick.standins.day import Local


def main() -> None:
    threading.stack_size(256 * 1024)
    what, words, log = sys.argv[1:4]
    part = Local(what, json.loads(sys.stdin.readline()), json.loads(words), Path(log))
    print(json.dumps(part.said), flush=True)
    for line in sys.stdin:
        name, numbers, words = json.loads(line)
        part.do(name, numbers, **words)
    part.close()
    os._exit(0)  # threads that sleep in calls are not waited for


if __name__ == "__main__":
    main()
