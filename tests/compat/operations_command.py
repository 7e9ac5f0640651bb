"""What the command line prints today, from fixed input: help, a fixed status, a record, files."""

import contextlib
import json
import re
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from click.testing import CliRunner
from rich.console import Console

from rainpick.cli import main, terminal
from rainpick.http1.messages import Response
from rainpick.http1.server import Server
from tests.compat.operations_mqtt import inline_references
from tests.compat.operations_status import as_listed, kinds

SAMPLE = Path(__file__).parents[1] / "record" / "samples" / "without-types"
WIDTH = 160


def printed(words, **places):
    """Exit code and text. Places of this run are named ``{name}`` in the words and in what is printed."""
    words = [word.format(**places) for word in words]
    plain = Console(highlight=False, width=WIDTH, force_terminal=False, _environ={})
    with patch.object(terminal, "console", plain):
        found = CliRunner().invoke(main, words, prog_name="rainpick")
    text = found.output
    for name, place in places.items():
        text = text.replace(place, "{" + name + "}")
    return [found.exit_code, text]


def on_record(words):
    return printed(words, sample=str(SAMPLE))


def on_record_keys(words):
    """Only the keys of printed JSON: values depend on the decisions."""
    code, text = on_record(words)
    return [code, as_listed(kinds(json.loads(text)))]


def on_record_steps(words):
    """What is printed of steps, with neutral words for the names of types and fields."""
    code, text = on_record(words)
    return [code, re.sub(r"\b\w+=", "FIELD=", re.sub(r"\b[A-Z]\w+\(", "TYPE(", text))]


def with_file(words):
    """A command that reads one file, which lies in the folder where it runs."""
    text, words = words
    with TemporaryDirectory() as folder, contextlib.chdir(folder):
        Path("file.json5").write_bytes(text)
        return printed(words)


def schema(words):
    """A printed JSON Schema without the names and texts of types."""
    _, text = printed(words)
    found = json.loads(text)
    return inline_references({name: part for name, part in found.items() if name != "$defs"}, found["$defs"])


@contextlib.contextmanager
def front(answers):
    """A status front that gives fixed answers and keeps what it was asked."""
    asked = []

    def handle(one):
        asked.append([one.method, one.path, one.body])
        return Response(*answers[one.path])

    server = Server("status", ("127.0.0.1", 0), handle)
    try:
        yield "%s:%d" % server.address, asked
    finally:
        server.close()


def on_front(words):
    """What a command prints and asks of a front that answers so: path, status, body."""
    words, answers = words
    with front({path: (status, body) for path, status, body in answers}) as (at, asked):
        return [*printed([*words, "--at", "{at}"], at=at), asked]


OPERATIONS = {
    "printed": printed,
    "on record": on_record,
    "on record, keys": on_record_keys,
    "on record, steps": on_record_steps,
    "with file": with_file,
    "schema": schema,
    "on front": on_front,
}
ERRORS = {}
