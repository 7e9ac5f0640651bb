"""Writes what the core lived through, in a thread of its own: the core never waits for a disk."""

from __future__ import annotations

import queue
import threading
import time
from pathlib import Path

import structlog
from xxhash import xxh3_128

from rainpick import decisions
from rainpick.record.steps import LIFE, LOST, STEP, Life, Step, write_life, write_step
from rainpick.store import FullError, Log

QUEUE_MOST = 4_096
FLUSH_S = 0.5


def module_digest(folder: Path = Path(decisions.__file__).parent) -> str:
    """XXH3 (128 bits, in hexadecimal) of the text of all decision modules: their names and contents."""
    digest = xxh3_128()
    for path in sorted(folder.rglob("*.py")):
        text = path.read_bytes()
        # Lengths keep apart what is a name and what a text.
        digest.update(b"%s\0%d\0%s" % (path.relative_to(folder).as_posix().encode(), len(text), text))
    return digest.hexdigest()


class Recorder:
    """A record of one director. When its queue or the disk is full, steps are lost, counted, and said."""

    def __init__(self, folder: Path, life: Life, segment_most: int, keep_most: int, keep_us: int, sync: bool):
        self.log = structlog.get_logger(front="record")
        self.store = Log(folder, segment_most, keep_most, keep_us, sync)
        if self.store.torn is not None:
            self.log.warning("torn end of the record cut off", **self.store.torn._asdict())
        self.offset_us = life.wall_us - life.now
        self.queue: queue.Queue[Step | None] = queue.Queue(QUEUE_MOST)
        self.lost = self.steps = 0
        self.told = 0  # of the lost ones, how many the record says
        self.store.append(life.wall_us, LIFE, write_life(life))
        self.thread = threading.Thread(target=self.run, name="recorder", daemon=True)
        self.thread.start()

    def step(self, now: int, events: list, orders: list) -> None:
        """For the core: hand a step over, or lose it; never wait."""
        try:
            self.queue.put_nowait(Step(now, events, orders))
        except queue.Full:
            self.lost += 1

    def run(self) -> None:
        due = time.monotonic() + FLUSH_S
        while True:
            try:
                step = self.queue.get(timeout=max(0.0, due - time.monotonic()))
                if step is None:
                    break
                self.take(step)
            except queue.Empty:
                pass
            if time.monotonic() >= due:
                due = time.monotonic() + FLUSH_S
                self.flush()
        self.flush()
        self.store.file.close()

    def take(self, step: Step) -> None:
        if self.lost > self.told:  # what comes after a hole can't be played as if there were none
            self.told = self.lost
            self.store.append(step.now + self.offset_us, LOST, b"%d" % self.lost)
        self.store.append(step.now + self.offset_us, STEP, write_step(step))
        self.steps += 1

    def flush(self) -> None:
        waiting = len(self.store.waiting)
        try:
            self.store.flush()
        except FullError as flaw:
            self.lost += waiting
            self.log.error("steps of the record are lost", why=str(flaw), lost=self.lost)

    def close(self) -> None:
        """Write what waits."""
        try:
            self.queue.put(None, timeout=2)
            self.thread.join(5)
        except queue.Full:
            self.log.error("the record could not be ended", lost=self.lost)
