"""An export is imported byte for byte; a file that is no export leaves nothing behind."""

import pytest
from click.testing import CliRunner

from rainpick import model
from rainpick.cli import main
from rainpick.record.exchange import ExchangeError, export_lines, import_file
from rainpick.record.steps import (
    RecordKind,
    Step,
    write_step,
)
from rainpick.store import Log, Record, read
from tests.record.recorded_day import record_day


def records(folder):
    return [entry for entry in read(folder) if isinstance(entry, Record)]


def test_an_export_is_imported_byte_for_byte(tmp_path):
    record_day(tmp_path / "day")
    log = Log(tmp_path / "day", sync=False)
    log.append(5, RecordKind.LOST, b"3")
    rest = [model.SendPeerMessage(None, b"x"), model.FetchEndpoints()]
    log.append(6, RecordKind.STEP, write_step(Step(7, [model.PeerMessageReceived(1, b"\x00\xff")], rest)))
    log.close()
    out = tmp_path / "day.jsonl"
    assert CliRunner().invoke(main, ["record", "export", str(tmp_path / "day"), str(out)]).exit_code == 0
    found = CliRunner().invoke(main, ["record", "import", str(out), str(tmp_path / "back")])
    assert found.exit_code == 0, found.output
    assert records(tmp_path / "back") == records(tmp_path / "day")


@pytest.mark.parametrize(
    "spoil, why",
    [
        (lambda rows: rows[1:], "line 1: .*begins with the form"),
        (lambda rows: [rows[0], rows[1], b'{"t": 1}\n'], "line 3: KeyError"),
        (lambda rows: [*rows[:3], b"{\n"], "line 4"),
        (lambda rows: [rows[0], b'{"t":1,"now":2,"events":[["Moon",1]],"orders":[]}\n'], "line 2: .*'Moon'"),
        (lambda rows: [rows[0], b"[" * 9000 + b"\n"], "line 2"),
    ],
)
def test_a_file_that_is_no_export_is_rejected_by_its_line_and_leaves_nothing(tmp_path, spoil, why):
    record_day(tmp_path / "day")
    rows = list(export_lines(read(tmp_path / "day")))
    (tmp_path / "bad").write_bytes(b"".join(spoil(rows)))
    with pytest.raises(ExchangeError, match=why):
        import_file(tmp_path / "bad", tmp_path / "back")
    assert not list((tmp_path / "back").glob("*.seg"))


def test_an_import_into_an_existing_record_is_rejected(tmp_path):
    record_day(tmp_path / "day")
    (tmp_path / "out").write_bytes(b"".join(export_lines(read(tmp_path / "day"))))
    before = records(tmp_path / "day")
    with pytest.raises(ExchangeError, match="holds a record already"):
        import_file(tmp_path / "out", tmp_path / "day")
    assert records(tmp_path / "day") == before
