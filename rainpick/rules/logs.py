"""Reads the logs of the simulated peers: one JSON object a line, from files ``*.jsonl``.

Every event has its kind ``k`` and its time ``t``, in microseconds of the machine's monotonic clock. Further
keys are ``s`` (a server), ``p`` (a proxy), ``d`` (the number of a director), ``r`` (a route) and ``id`` (a
request). The kinds, by who writes them:

* a server: ``start`` and ``stop``, ``said`` (it told a director its state), ``lost`` (its stream to a
  director broke), ``call`` (an attempt arrived), ``repeat`` (it dropped a duplicate), ``effect`` (a request
  took effect);
* a proxy: ``standing`` and ``weights`` (the entries ``m`` that it starts with or has read), ``joined`` and
  ``left``, ``try`` and ``end`` (an attempt), ``again`` (a retry), ``report``;
* a client: ``asked`` (a request has ended, over all its attempts);
* the runner: ``mark`` (the day begins or ends), ``event``, ``status``, ``killed`` and ``revived``.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, TypeAlias

LogEvent: TypeAlias = dict[str, Any]


def read_logs(folder: Path) -> list[LogEvent]:
    """Read the events of all logs of a folder in order of time.

    A line that is not JSON is left out: it is the last one of a process that was killed while it wrote.
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
