"""Reads the logs of the simulated peers: one JSON object per line, from files ``*.jsonl``.

Every event has a kind ``k`` and a time ``t``, in microseconds of the machine's monotonic clock. Further
keys are ``s`` (a server), ``p`` (a proxy), ``d`` (the number of a director), ``r`` (a route) and ``id`` (a
request). The kinds, by the peer that logs them:

* a server: ``start`` and ``stop``, ``said`` (it sent its state to a director), ``lost`` (its stream to a
  director broke), ``call`` (it received an attempt), ``repeat`` (it dropped a duplicate request), ``effect``
  (a request took effect at it);
* a proxy: ``standing`` (entries ``m`` of its default table), ``weights`` (entries ``m`` that it has read),
  ``joined`` and ``left``, ``try`` and ``end`` (an attempt), ``again`` (a retry), ``report``;
* a client: ``asked`` (a request has ended, including its retries; ``t`` is the time at which it was due);
* the runner: ``mark`` (the day begins or ends), ``event`` (a step of the schedule), ``status`` (of a
  director), ``killed`` and ``revived`` (a director).
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, TypeAlias

LogEvent: TypeAlias = dict[str, Any]


def read_logs(folder: Path) -> list[LogEvent]:
    """Read the events of all files ``*.jsonl`` in a folder, sorted by time.

    Lines that are not JSON are skipped: a process killed while writing leaves its last line incomplete.
    """
    events: list[LogEvent] = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
    events.sort(key=lambda event: event["t"])
    return events
