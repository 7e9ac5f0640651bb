"""A live director on the operators' platform: ``python -m rainpick.node``, configured by ``PROXY_CONFIG``.

Signals are handled before the rest is imported: a platform may stop a director that is still starting.
"""

import os
import signal
from queue import SimpleQueue


def main() -> None:
    """Run a director until a signal ends it."""
    # A handler may put at any moment, as it takes no lock.
    signals: SimpleQueue[int] = SimpleQueue()
    signal.signal(signal.SIGHUP, lambda number, _: signals.put(number))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))  # nothing has been ordered yet
    from rainpick.node.process import start

    start(signals)


if __name__ == "__main__":
    main()
