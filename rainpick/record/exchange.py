"""Export of a record as JSON lines for use by other programs, and import of such a file.

An import restores every incarnation and step of the export. Damaged or missing parts of the original become
records of kind LOST. The keys of the lines, and the names of types and fields in them, are part of the file
format and never change.
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
    StepDecoder,
    StepError,
    decode_incarnation,
    encode_incarnation,
    encode_step,
)
from rainpick.store import Log, Record

FORMAT = "rainpick-record-1"
MAX_LINE_BYTES = 16 << 20
RECORDS_PER_BLOCK = 500  # size of the store blocks that an import writes
BYTES_FIELDS = {"PeerSaid": 1, "Tell": 1}  # by stored name: index of the bytes field, base64 in exports
CODES_BY_NAME = {STORED_NAMES[kind]: code for kind, code in CODES.items()}
encoder = msgspec.json.Encoder()


class ExchangeError(ValueError):
    """The file is not a valid export, or the folder already has a store; the message states the reason."""


def export_lines(entries: Iterable[StoreEntry]) -> Iterator[bytes]:
    """Yield the lines of an export; a damaged or missing part is exported as a line ``{"hole": ...}``."""
    yield encoder.encode({"form": FORMAT}) + b"\n"
    decoder = StepDecoder()
    for entry in entries:
        if not isinstance(entry, Record):
            yield encoder.encode({"hole": f"{type(entry).__name__.lower()} {entry._asdict()}"}) + b"\n"
        elif entry.kind == RecordKind.INCARNATION:
            incarnation = decode_incarnation(entry.payload)
            decoder = StepDecoder(incarnation.types)
            yield encoder.encode({"t": entry.time_us, "life": incarnation_fields(incarnation)}) + b"\n"
        elif entry.kind == RecordKind.LOST:
            yield encoder.encode({"t": entry.time_us, "lost": int(entry.payload)}) + b"\n"
        elif entry.kind == RecordKind.STEP:
            step = decoder.decode_step(entry.payload)
            line = {
                "t": entry.time_us,
                "now": step.now,
                "events": named_rows(step.events),
                "orders": named_rows(step.commands),
            }
            yield encoder.encode(line) + b"\n"


def incarnation_fields(incarnation: Incarnation) -> dict[str, Any]:
    """Return the fields of an incarnation by their keys in exports.

    ``types`` declares the types behind the numeric codes in stored steps. It is empty here, since a row of an
    export starts with the stored name of its type in place of a code.
    """
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
    """Convert events or commands to rows: the stored name of the type, then the fields."""
    return [[STORED_NAMES[type(value)], *value] for value in values]


def decode_row(row: list[Any], decoder: StepDecoder) -> Any:
    """Decode an event or command from its row; ``LookupError`` if the name of the type is unknown."""
    name, *fields = row
    if name in BYTES_FIELDS:
        index = BYTES_FIELDS[name]
        fields[index] = base64.b64decode(fields[index])
    return decoder.decode_value([CODES_BY_NAME[name], *fields])


class _Importer:
    """Appends the lines of an export to a store."""

    def __init__(self, log: Log):
        self.log = log
        self.decoder = StepDecoder()
        self.gaps = 0  # number of lines that report damaged or missing parts

    def add(self, line: dict[str, Any]) -> None:
        """Append the record in a decoded line; a malformed line may raise several types of exceptions."""
        if "hole" in line:
            self.gaps += 1  # stands in for the number of lost steps, which is unknown
            self.log.append(0, RecordKind.LOST, b"%d" % self.gaps)
        elif "life" in line:
            fields = {name: value for name, value in dict(line["life"]).items() if name != "types"}
            self.log.append(line["t"], RecordKind.INCARNATION, encode_incarnation(Incarnation(**fields)))
        elif "lost" in line:
            self.log.append(line["t"], RecordKind.LOST, b"%d" % line["lost"])
        else:
            events, commands = (
                [decode_row(row, self.decoder) for row in line[part]] for part in ("events", "orders")
            )
            self.log.append(line["t"], RecordKind.STEP, encode_step(Step(line["now"], events, commands)))


def import_lines(lines: Iterable[bytes], log: Log) -> int:
    """Append the records of an export to an empty store and return their number.

    A malformed line raises ``ExchangeError`` with the number of the line.
    """
    importer = _Importer(log)
    count = 0
    for number, line in enumerate(lines, 1):
        try:
            if len(line) > MAX_LINE_BYTES:
                raise ValueError(f"the line is longer than {MAX_LINE_BYTES} bytes")
            decoded = msgspec.json.decode(line)
            if number == 1:
                if not isinstance(decoded, dict) or decoded.get("form") != FORMAT:
                    raise ValueError(f"the first line of an export must have the form {FORMAT!r}")
                continue
            importer.add(decoded)
            count += 1
            if count % RECORDS_PER_BLOCK == 0:
                log.flush()
        except (msgspec.MsgspecError, StepError, ValueError, TypeError, LookupError, RecursionError) as error:
            raise ExchangeError(f"line {number}: {type(error).__name__}: {error}") from None
    log.flush()
    return count


def import_file(path: Path, folder: Path) -> int:
    """Create a store from an export file and return the number of records.

    ``ExchangeError`` if the folder already contains a store, or if the file is malformed; in this case all
    segments that the import wrote are deleted.
    """
    if folder.exists() and any(folder.glob("*.seg")):
        raise ExchangeError(f"{folder} already contains a record")
    log = Log(folder, sync=False)
    try:
        with open(path, "rb") as file:
            count = import_lines(iter(lambda: file.readline(MAX_LINE_BYTES + 1), b""), log)
    except ExchangeError as error:
        log.close()
        for segment in folder.glob("*.seg"):
            segment.unlink()
        raise ExchangeError(f"{path}: {error}") from None
    log.close()
    return count
