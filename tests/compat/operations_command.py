"""The operations that the cases in ``wire/command.jsonl`` name: output of commands for fixed input."""

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
from tests.compat.operations_status import json_structure, maps_as_pairs

SAMPLE_RECORD = Path(__file__).parents[1] / "record" / "samples" / "without-types"
TERMINAL_WIDTH = 160


def run_command(arguments, **replacements):
    """Run a command and return its exit code and output.

    Paths and addresses of this run are written as ``{name}`` in the arguments and in the output.
    """
    arguments = [argument.format(**replacements) for argument in arguments]
    plain = Console(highlight=False, width=TERMINAL_WIDTH, force_terminal=False, _environ={})
    with patch.object(terminal, "console", plain):
        result = CliRunner().invoke(main, arguments, prog_name="rainpick")
    text = result.output
    for name, value in replacements.items():
        text = text.replace(value, "{" + name + "}")
    return [result.exit_code, text]


def run_on_record(arguments):
    return run_command(arguments, sample=str(SAMPLE_RECORD))


def run_on_record_keys(arguments):
    """Return only the keys of printed JSON, since the values depend on the decisions."""
    code, text = run_on_record(arguments)
    return [code, maps_as_pairs(json_structure(json.loads(text)))]


def run_on_record_steps(arguments):
    """Return printed steps with the names of types and fields masked."""
    code, text = run_on_record(arguments)
    return [code, re.sub(r"\b\w+=", "FIELD=", re.sub(r"\b[A-Z]\w+\(", "TYPE(", text))]


def run_with_file(case):
    """Run a command that reads a file in its working directory."""
    text, arguments = case
    with TemporaryDirectory() as folder, contextlib.chdir(folder):
        Path("file.json5").write_bytes(text)
        return run_command(arguments)


def printed_schema(arguments):
    """Return a printed JSON Schema without the names and texts of types."""
    _, text = run_command(arguments)
    schema = json.loads(text)
    return inline_references(
        {name: part for name, part in schema.items() if name != "$defs"}, schema["$defs"]
    )


@contextlib.contextmanager
def status_front(responses):
    """Run a status frontend that sends fixed responses and records the requests."""
    requests = []

    def handle(request):
        requests.append([request.method, request.path, request.body])
        return Response(*responses[request.path])

    server = Server("status", ("127.0.0.1", 0), handle)
    try:
        yield "%s:%d" % server.address, requests
    finally:
        server.close()


def run_on_status_front(case):
    """Run a command against a status frontend with fixed responses; return its output and its requests.

    A response is given by path, status code and body.
    """
    arguments, responses = case
    with status_front({path: (status, body) for path, status, body in responses}) as (at, requests):
        return [*run_command([*arguments, "--at", "{at}"], at=at), requests]


OPERATIONS = {
    "printed": run_command,
    "on record": run_on_record,
    "on record, keys": run_on_record_keys,
    "on record, steps": run_on_record_steps,
    "with file": run_with_file,
    "schema": printed_schema,
    "on front": run_on_status_front,
}
ERRORS = {}
