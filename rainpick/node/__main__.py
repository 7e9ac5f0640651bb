"""Entry point of the live director: ``python -m rainpick.node``, configured by ``PROXY_CONFIG``.

Signal handlers are installed before the other modules are imported, because the platform may stop a director
that is still starting.
"""

import os
import signal
from queue import SimpleQueue


def main() -> None:
    """Run a director until a signal ends the process."""
    # SimpleQueue.put is reentrant, so a signal handler may call it at any time.
    signals: SimpleQueue[int] = SimpleQueue()
    signal.signal(signal.SIGHUP, lambda signal_number, _: signals.put(signal_number))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: os._exit(0))  # no command has been issued yet
    from rainpick.node.process import start

    start(signals)


if __name__ == "__main__":
    main()
