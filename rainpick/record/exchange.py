"""A record as lines of JSON, to hand to others or to other programs, and back. Nothing is lost on the way."""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from rainpick.record.schema import CODES, STORED_NAMES
from rainpick.record.steps import (
    LIFE,
    LOST,
    STEP,
    Life,
    Reader,
    Step,
    StepError,
    read_life,
    write_life,
    write_step,
)
from rainpick.store import Log, Record

FORM = "rainpick-record-1"
LINE_MOST = 16 << 20  # bytes of a line that is read
BYTES = {"PeerSaid": 1, "Tell": 1}  # which field of them is bytes
NUMBERS = {STORED_NAMES[kind]: code for kind, code in CODES.items()}
json = msgspec.json.Encoder()


class ExchangeError(ValueError):
    """The file is no export; the text says in which line, and why."""


def write(found: Iterable[Any]) -> Iterator[bytes]:
    """A record's lines. What is damaged or missing is a line too: ``{"hole": ...}``."""
    yield json.encode({"form": FORM}) + b"\n"
    reader = Reader()
    for one in found:
        if not isinstance(one, Record):
            yield json.encode({"hole": f"{type(one).__name__.lower()} {one._asdict()}"}) + b"\n"
        elif one.kind == LIFE:
            life = read_life(one.payload)
            reader = Reader(life.types)
            yield json.encode({"t": one.time_us, "life": life._replace(types=())._asdict()}) + b"\n"
        elif one.kind == LOST:
            yield json.encode({"t": one.time_us, "lost": int(one.payload)}) + b"\n"
        elif one.kind == STEP:
            step = reader.step(one.payload)
            rows = {
                name: [[STORED_NAMES[type(each)], *each] for each in part]
                for name, part in (("events", step.events), ("orders", step.orders))
            }
            yield json.encode({"t": one.time_us, "now": step.now} | rows) + b"\n"


def row(words: list, reader: Reader) -> Any:
    name, *fields = words
    if name in BYTES:
        fields[BYTES[name]] = base64.b64decode(fields[BYTES[name]])
    return reader.one([NUMBERS[name], *fields])


def read(lines: Iterable[bytes], log: Log) -> int:
    """Put an export into an empty store; how many records. ``ExchangeError`` names the line that is wrong."""
    reader = Reader()
    count, lost = 0, 0
    for number, line in enumerate(lines, 1):
        try:
            if len(line) > LINE_MOST:
                raise ValueError(f"more than {LINE_MOST} bytes")
            words = msgspec.json.decode(line)
            if number == 1:
                if not isinstance(words, dict) or words.get("form") != FORM:
                    raise ValueError(f"an export begins with the form {FORM!r}")
                continue
            if "hole" in words:
                lost += 1
                log.append(0, LOST, b"%d" % lost)
            elif "life" in words:
                fields = dict(words["life"])
                fields.pop("types", None)
                log.append(words["t"], LIFE, write_life(Life(**fields)))
            elif "lost" in words:
                log.append(words["t"], LOST, b"%d" % words["lost"])
            else:
                parts = [[row(each, reader) for each in words[name]] for name in ("events", "orders")]
                log.append(words["t"], STEP, write_step(Step(words["now"], *parts)))
            count += 1
            if count % 500 == 0:
                log.flush()
        except (msgspec.MsgspecError, StepError, ValueError, TypeError, LookupError, RecursionError) as flaw:
            raise ExchangeError(f"line {number}: {type(flaw).__name__}: {flaw}") from None
    log.flush()
    return count


def import_file(path: Path, folder: Path) -> int:
    """A new store from an export. The folder must hold none; nothing is left of it if the file is wrong."""
    if folder.exists() and any(folder.glob("*.seg")):
        raise ExchangeError(f"{folder} holds a record already")
    log = Log(folder, sync=False)
    try:
        with open(path, "rb") as file:
            count = read(iter(lambda: file.readline(LINE_MOST + 1), b""), log)
    except ExchangeError as flaw:
        log.close()
        for segment in folder.glob("*.seg"):
            segment.unlink()
        raise ExchangeError(f"{path}: {flaw}") from None
    log.close()
    return count
