"""Each protocol's bytes against data files that were written once: see ``wire/README.md``.

A line of a file: its name, the operation, what goes in and what must come out. The operations are in the
``operations_*`` modules; ``forms`` says how values of our types stand in the files.
"""

import json
from pathlib import Path

import pytest

from tests.compat import (
    operations_command,
    operations_mqtt,
    operations_otlp,
    operations_platform,
    operations_sasp,
    operations_simhost,
    operations_status,
)
from tests.compat.forms import made, shown

WIRE = Path(__file__).parent / "wire"
PROTOCOLS = {
    "platform": operations_platform,
    "simhost": operations_simhost,
    "mqtt": operations_mqtt,
    "sasp": operations_sasp,
    "otlp": operations_otlp,
    "status": operations_status,
    "command": operations_command,
}
CASES = [
    (protocol, json.loads(line))
    for protocol in PROTOCOLS
    for line in (WIRE / f"{protocol}.jsonl").read_text(encoding="ascii").splitlines()
]


def outcome(protocol, case):
    """What an operation gives, in the neutral form; an error as its neutral name, its text and its values."""
    module = PROTOCOLS[protocol]
    operation = module.OPERATIONS[case["operation"]]
    try:
        return shown(operation(made(case["in"])))
    except (*module.ERRORS, ValueError) as error:
        name = next((module.ERRORS[kind] for kind in type(error).__mro__ if kind in module.ERRORS), "value")
        return {"error": name, "says": str(error), "with": shown(list(vars(error).values()))}


@pytest.mark.parametrize("protocol, case", CASES, ids=[f"{name}: {case['name']}" for name, case in CASES])
def test_the_bytes_and_values_are_those_of_the_file(protocol, case):
    """Also their order and kinds: 1, 1.0 and true are three things on a wire."""
    found, wanted = outcome(protocol, case), case["out"]
    assert found == wanted
    assert json.dumps(found) == json.dumps(wanted)


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_every_operation_and_name_is_used(protocol):
    """A file from which lines were lost, or a name twice, is told."""
    cases = [case for name, case in CASES if name == protocol]
    assert {case["operation"] for case in cases} == set(PROTOCOLS[protocol].OPERATIONS)
    assert len({case["name"] for case in cases}) == len(cases)
