"""A live director on the platform's protocol: ``python -m rainpick.node``, told by ``PROXY_CONFIG``.

Signals are taken from the first lines on: a platform may stop a director that is still reading its program.
"""

import os
import signal
from queue import SimpleQueue


def main() -> None:
    signals: SimpleQueue[int] = SimpleQueue()  # may be put to by a handler at any moment, as no lock is held
    signal.signal(signal.SIGHUP, lambda number, _: signals.put(number))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))  # nothing is owed to anybody yet
    from rainpick.node.process import start

    start(signals)


if __name__ == "__main__":
    main()
