"""Export of records and import of exports."""

import pytest
from click.testing import CliRunner

from rainpick import model
from rainpick.cli import main
from rainpick.record.exchange import ExchangeError, export_lines, import_file
from rainpick.record.steps import (
    RecordKind,
    Step,
    encode_step,
)
from rainpick.store import Log, Record, read
from tests.record.recorded_day import record_day


def records(folder):
    return [entry for entry in read(folder) if isinstance(entry, Record)]


def test_import_of_an_export_restores_every_record_byte_for_byte(tmp_path):
    record_day(tmp_path / "day")
    log = Log(tmp_path / "day", sync=False)
    log.append(5, RecordKind.LOST, b"3")
    commands = [model.SendPeerMessage(None, b"x"), model.FetchEndpoints()]
    log.append(
        6, RecordKind.STEP, encode_step(Step(7, [model.PeerMessageReceived(1, b"\x00\xff")], commands))
    )
    log.close()
    out = tmp_path / "day.jsonl"
    assert CliRunner().invoke(main, ["record", "export", str(tmp_path / "day"), str(out)]).exit_code == 0
    found = CliRunner().invoke(main, ["record", "import", str(out), str(tmp_path / "back")])
    assert found.exit_code == 0, found.output
    assert records(tmp_path / "back") == records(tmp_path / "day")


@pytest.mark.parametrize(
    "damage, reason",
    [
        (lambda rows: rows[1:], "line 1: .*must have the form"),
        (lambda rows: [rows[0], rows[1], b'{"t": 1}\n'], "line 3: KeyError"),
        (lambda rows: [*rows[:3], b"{\n"], "line 4"),
        (lambda rows: [rows[0], b'{"t":1,"now":2,"events":[["Moon",1]],"orders":[]}\n'], "line 2: .*'Moon'"),
        (lambda rows: [rows[0], b"[" * 9000 + b"\n"], "line 2"),
    ],
)
def test_a_malformed_export_is_rejected_with_its_line_and_leaves_no_segments(tmp_path, damage, reason):
    record_day(tmp_path / "day")
    rows = list(export_lines(read(tmp_path / "day")))
    (tmp_path / "bad").write_bytes(b"".join(damage(rows)))
    with pytest.raises(ExchangeError, match=reason):
        import_file(tmp_path / "bad", tmp_path / "back")
    assert not list((tmp_path / "back").glob("*.seg"))


def test_an_import_into_an_existing_record_is_rejected(tmp_path):
    record_day(tmp_path / "day")
    (tmp_path / "out").write_bytes(b"".join(export_lines(read(tmp_path / "day"))))
    before = records(tmp_path / "day")
    with pytest.raises(ExchangeError, match="already contains a record"):
        import_file(tmp_path / "out", tmp_path / "day")
    assert records(tmp_path / "day") == before
