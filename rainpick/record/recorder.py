"""Writes the steps of a director's decisions in a thread of its own: the core never waits for a disk."""

from __future__ import annotations

import queue
import threading
import time
from pathlib import Path
from typing import Any

import structlog

from rainpick.record.steps import Incarnation, RecordKind, Step, write_incarnation, write_step
from rainpick.store import FullError, Log

QUEUE_MOST = 4_096  # steps
FLUSH_S = 0.5


class Recorder:
    """A record of one director. When its queue or the disk is full, steps are lost, counted and logged.

    ``segment_most`` and ``keep_most`` are in bytes, ``keep_us`` in microseconds; see ``store.Log``.
    """

    def __init__(
        self,
        folder: Path,
        incarnation: Incarnation,
        segment_most: int,
        keep_most: int,
        keep_us: int,
        sync: bool,
    ):
        self.log = structlog.get_logger(front="record")
        self.store = Log(folder, segment_most, keep_most, keep_us, sync)
        if self.store.torn is not None:
            self.log.warning("incomplete block at the end of the record cut off", **self.store.torn._asdict())
        self.offset_us = incarnation.wall_us - incarnation.now  # from the director's clock to the wall clock
        self.queue: queue.Queue[Step | None] = queue.Queue(QUEUE_MOST)  # None: close
        self.steps = 0  # steps handed to the store
        self.lost = 0  # steps lost
        self.lost_recorded = 0  # of the lost ones, how many the record tells of
        self.store.append(incarnation.wall_us, RecordKind.INCARNATION, write_incarnation(incarnation))
        self.thread = threading.Thread(target=self.run, name="recorder", daemon=True)
        self.thread.start()

    def step(self, now: int, events: list[Any], orders: list[Any]) -> None:
        """For the core: hand a step over, or lose it; never wait."""
        try:
            self.queue.put_nowait(Step(now, events, orders))
        except queue.Full:
            self.lost += 1

    def run(self) -> None:
        """The recorder's thread: write steps as they come, flush twice a second, until ``close``."""
        due = time.monotonic() + FLUSH_S
        while True:
            try:
                step = self.queue.get(timeout=max(0.0, due - time.monotonic()))
                if step is None:
                    break
                self.write(step)
            except queue.Empty:
                pass
            if time.monotonic() >= due:
                due = time.monotonic() + FLUSH_S
                self.flush()
        self.flush()
        self.store.close()

    def write(self, step: Step) -> None:
        """Add a step to the store, and before it how many were lost: a replay can't pass over a gap."""
        time_us = step.now + self.offset_us
        if self.lost > self.lost_recorded:
            self.lost_recorded = self.lost
            self.store.append(time_us, RecordKind.LOST, b"%d" % self.lost)
        self.store.append(time_us, RecordKind.STEP, write_step(step))
        self.steps += 1

    def flush(self) -> None:
        """Write what the store holds in memory; on a full disk it is lost, counted and logged."""
        waiting = len(self.store.waiting)
        try:
            self.store.flush()
        except FullError as error:
            self.lost += waiting
            self.log.error("steps of the record are lost", error=str(error), lost=self.lost)

    def close(self) -> None:
        """Write what is queued and end the thread; wait for some seconds at most."""
        try:
            self.queue.put(None, timeout=2)
            self.thread.join(5)
        except queue.Full:
            self.log.error("the record could not be closed: its queue stays full", lost=self.lost)
