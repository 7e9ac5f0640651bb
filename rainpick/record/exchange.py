"""Export of a record as lines of JSON, to hand to others or to other programs, and import of such a file.

Nothing is lost on the way. The keys of the lines, and the names of types and fields in them, are stored
names: they never change.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from rainpick.record.incarnations import StoreEntry
from rainpick.record.schema import CODES, STORED_NAMES
from rainpick.record.steps import (
    Incarnation,
    RecordKind,
    Step,
    StepError,
    StepReader,
    read_incarnation,
    write_incarnation,
    write_step,
)
from rainpick.store import Log, Record

FORMAT = "rainpick-record-1"
LINE_MOST = 16 << 20  # bytes of a line that is read
FLUSH_RECORDS = 500  # records that go into one block of an imported record
BYTES_FIELDS = {"PeerSaid": 1, "Tell": 1}  # by stored name: the index of the field that holds bytes
CODES_BY_NAME = {STORED_NAMES[kind]: code for kind, code in CODES.items()}
encoder = msgspec.json.Encoder()


class ExchangeError(ValueError):
    """The file is no export, or the folder can't take one; the text says in which line, and why."""


def export_lines(entries: Iterable[StoreEntry]) -> Iterator[bytes]:
    """A record's lines. What is damaged or missing is a line too: ``{"hole": ...}``."""
    yield encoder.encode({"form": FORMAT}) + b"\n"
    reader = StepReader()
    for entry in entries:
        if not isinstance(entry, Record):
            yield encoder.encode({"hole": f"{type(entry).__name__.lower()} {entry._asdict()}"}) + b"\n"
        elif entry.kind == RecordKind.INCARNATION:
            incarnation = read_incarnation(entry.payload)
            reader = StepReader(incarnation.types)
            yield encoder.encode({"t": entry.time_us, "life": incarnation_fields(incarnation)}) + b"\n"
        elif entry.kind == RecordKind.LOST:
            yield encoder.encode({"t": entry.time_us, "lost": int(entry.payload)}) + b"\n"
        elif entry.kind == RecordKind.STEP:
            step = reader.read_step(entry.payload)
            line = {
                "t": entry.time_us,
                "now": step.now,
                "events": named_rows(step.events),
                "orders": named_rows(step.orders),
            }
            yield encoder.encode(line) + b"\n"


def incarnation_fields(incarnation: Incarnation) -> dict[str, Any]:
    """An incarnation by its stored names. An export names the types of its values, so it declares none."""
    return {
        "director": incarnation.director,
        "epoch": incarnation.epoch,
        "module": incarnation.module,
        "wall_us": incarnation.wall_us,
        "now": incarnation.now,
        "settings": incarnation.settings,
        "types": (),
    }


def named_rows(values: list[Any]) -> list[list[Any]]:
    """Events or orders as rows: stored name of the type, then the fields."""
    return [[STORED_NAMES[type(value)], *value] for value in values]


def read_row(row: list[Any], reader: StepReader) -> Any:
    """An event or order from its row; ``LookupError`` for a name that is not known."""
    name, *fields = row
    if name in BYTES_FIELDS:
        index = BYTES_FIELDS[name]
        fields[index] = base64.b64decode(fields[index])
    return reader.read_value([CODES_BY_NAME[name], *fields])


class _Import:
    """Puts the lines of an export into a store, one after the other."""

    def __init__(self, log: Log):
        self.log = log
        self.reader = StepReader()
        self.gaps = 0  # lines that tell of damage

    def add(self, line: dict[str, Any]) -> None:
        """Add a decoded line; errors of any kind if it is none of an export."""
        if "hole" in line:
            self.gaps += 1
            self.log.append(0, RecordKind.LOST, b"%d" % self.gaps)
        elif "life" in line:
            fields = {name: value for name, value in dict(line["life"]).items() if name != "types"}
            self.log.append(line["t"], RecordKind.INCARNATION, write_incarnation(Incarnation(**fields)))
        elif "lost" in line:
            self.log.append(line["t"], RecordKind.LOST, b"%d" % line["lost"])
        else:
            events, orders = (
                [read_row(row, self.reader) for row in line[part]] for part in ("events", "orders")
            )
            self.log.append(line["t"], RecordKind.STEP, write_step(Step(line["now"], events, orders)))


def import_lines(lines: Iterable[bytes], log: Log) -> int:
    """Put an export into an empty store and return the number of records.

    ``ExchangeError`` names the line that is wrong.
    """
    importer = _Import(log)
    count = 0
    for number, line in enumerate(lines, 1):
        try:
            if len(line) > LINE_MOST:
                raise ValueError(f"more than {LINE_MOST} bytes")
            decoded = msgspec.json.decode(line)
            if number == 1:
                if not isinstance(decoded, dict) or decoded.get("form") != FORMAT:
                    raise ValueError(f"an export begins with the form {FORMAT!r}")
                continue
            importer.add(decoded)
            count += 1
            if count % FLUSH_RECORDS == 0:
                log.flush()
        except (msgspec.MsgspecError, StepError, ValueError, TypeError, LookupError, RecursionError) as error:
            raise ExchangeError(f"line {number}: {type(error).__name__}: {error}") from None
    log.flush()
    return count


def import_file(path: Path, folder: Path) -> int:
    """Make a new store from an export and return the number of records.

    The folder must hold no store, and nothing is left in it if the file is wrong: ``ExchangeError``.
    """
    if folder.exists() and any(folder.glob("*.seg")):
        raise ExchangeError(f"{folder} holds a record already")
    log = Log(folder, sync=False)
    try:
        with open(path, "rb") as file:
            count = import_lines(iter(lambda: file.readline(LINE_MOST + 1), b""), log)
    except ExchangeError as error:
        log.close()
        for segment in folder.glob("*.seg"):
            segment.unlink()
        raise ExchangeError(f"{path}: {error}") from None
    log.close()
    return count
