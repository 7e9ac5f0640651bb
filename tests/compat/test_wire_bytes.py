"""Bytes and values of each protocol against data files that are never regenerated; see ``wire/README.md``.

A line of a file is a case: its name, the operation, the input and the expected output. The operations are in
the ``operations_*`` modules; ``forms`` defines the form of values in the files.
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
from tests.compat.forms import from_neutral, to_neutral

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
    """Return the result of a case in the neutral form; an error as its neutral name, text and values."""
    module = PROTOCOLS[protocol]
    operation = module.OPERATIONS[case["operation"]]
    try:
        return to_neutral(operation(from_neutral(case["in"])))
    except (*module.ERRORS, ValueError) as error:
        name = next(
            (module.ERRORS[error_type] for error_type in type(error).__mro__ if error_type in module.ERRORS),
            "value",
        )
        return {"error": name, "says": str(error), "with": to_neutral(list(vars(error).values()))}


@pytest.mark.parametrize("protocol, case", CASES, ids=[f"{name}: {case['name']}" for name, case in CASES])
def test_bytes_and_values_are_equal_to_the_data_file(protocol, case):
    """The order and the types are compared, too: 1, 1.0 and true differ on the wire."""
    actual, expected = outcome(protocol, case), case["out"]
    assert actual == expected
    assert json.dumps(actual) == json.dumps(expected)


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_every_operation_is_used_and_names_are_unique(protocol):
    """Detects lines that were lost from a file, and duplicate names."""
    cases = [case for name, case in CASES if name == protocol]
    assert {case["operation"] for case in cases} == set(PROTOCOLS[protocol].OPERATIONS)
    assert len({case["name"] for case in cases}) == len(cases)
