"""Recording of a director's steps in a separate thread, so that the core never waits for the disk."""

from __future__ import annotations

import queue
import threading
import time
from pathlib import Path
from typing import Any

import structlog

from rainpick.record.steps import Incarnation, RecordKind, Step, encode_incarnation, encode_step
from rainpick.store import FullError, Log

MAX_QUEUED_STEPS = 4_096
FLUSH_INTERVAL_S = 0.5


class Recorder:
    """Writes the record of one director.

    If the queue or the disk is full, steps are lost and counted; those lost on a full disk are also logged.
    ``max_segment_bytes``, ``max_total_bytes`` and ``max_age_us`` are those of ``store.Log``.
    """

    def __init__(
        self,
        folder: Path,
        incarnation: Incarnation,
        max_segment_bytes: int,
        max_total_bytes: int,
        max_age_us: int,
        sync: bool,
    ):
        self.log = structlog.get_logger(front="record")
        self.store = Log(folder, max_segment_bytes, max_total_bytes, max_age_us, sync)
        if self.store.torn is not None:
            self.log.warning("incomplete block at the end of the record cut off", **self.store.torn._asdict())
        # Wall clock minus the director's clock.
        self.wall_offset_us = incarnation.wall_us - incarnation.now
        self.queue: queue.Queue[Step | None] = queue.Queue(MAX_QUEUED_STEPS)  # None ends the thread
        self.steps = 0  # number of steps appended to the store
        self.lost = 0  # number of lost steps
        self.lost_recorded = 0  # value of ``lost`` in the latest record of kind LOST
        self.store.append(incarnation.wall_us, RecordKind.INCARNATION, encode_incarnation(incarnation))
        self.thread = threading.Thread(target=self.run, name="recorder", daemon=True)
        self.thread.start()

    def step(self, now: int, events: list[Any], commands: list[Any]) -> None:
        """Queue a step without waiting; if the queue is full, the step is lost. Called by the core."""
        try:
            self.queue.put_nowait(Step(now, events, commands))
        except queue.Full:
            self.lost += 1

    def run(self) -> None:
        """Write queued steps and flush twice a second until ``close``. Runs in the recorder's thread."""
        due = time.monotonic() + FLUSH_INTERVAL_S
        while True:
            try:
                step = self.queue.get(timeout=max(0.0, due - time.monotonic()))
                if step is None:
                    break
                self.write(step)
            except queue.Empty:
                pass
            if time.monotonic() >= due:
                due = time.monotonic() + FLUSH_INTERVAL_S
                self.flush()
        self.flush()
        self.store.close()

    def write(self, step: Step) -> None:
        """Append a step to the store, preceded by the number of lost steps if it has grown.

        A replay ends where steps are missing, so the record must show the position.
        """
        time_us = step.now + self.wall_offset_us
        if self.lost > self.lost_recorded:
            self.lost_recorded = self.lost
            self.store.append(time_us, RecordKind.LOST, b"%d" % self.lost)
        self.store.append(time_us, RecordKind.STEP, encode_step(step))
        self.steps += 1

    def flush(self) -> None:
        """Flush the store. If the disk is full, the buffered records are lost, counted and logged."""
        unwritten = len(self.store.unwritten)
        try:
            self.store.flush()
        except FullError as error:
            self.lost += unwritten
            self.log.error("steps of the record are lost", error=str(error), lost=self.lost)

    def close(self) -> None:
        """End the thread after it has written the queued steps; waits 7 seconds at most."""
        try:
            self.queue.put(None, timeout=2)
            self.thread.join(5)
        except queue.Full:
            self.log.error("the record could not be closed: its queue stays full", lost=self.lost)
