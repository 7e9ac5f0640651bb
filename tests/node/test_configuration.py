"""Reading of the configuration file, and equality of nested settings and dotted lines."""

import json

import pytest

from rainpick.node.configuration import ConfigurationError, read_configuration
from rainpick.operator_settings import translate_lines, translate_nested
from tests.node.platform_stubs import SETTINGS, VOCABULARY, configuration_tree

ADDRESSES = ("127.0.0.1", 8080), ("127.0.0.1", 8500), ("127.0.0.1", 6400)


def write(tmp_path, tree):
    path = tmp_path / "config.json"
    path.write_text(tree if isinstance(tree, str) else json.dumps(tree))
    return {"PROXY_CONFIG": str(path)}


def test_a_configuration_is_read(tmp_path):
    configuration = read_configuration(write(tmp_path, configuration_tree(*ADDRESSES)))
    assert (configuration.listen, configuration.discovery, configuration.relay) == ADDRESSES
    assert (
        configuration.seed == 0x8C1F30D27A5BE964
        and configuration.sockets == 256
        and configuration.vocabulary == VOCABULARY
    )
    assert (
        configuration.settings["rules.drain_grace_us"] == 2_900_000
        and configuration.settings["routes.1.importance"] == 5.0
    )


def dotted_lines(tree, path=""):
    """Yield the settings as dotted lines, the format of the simulator's protocol."""
    for name, item in tree.items():
        dotted = f"{path}{name}"
        if isinstance(item, list) and isinstance(item[0], dict):
            yield f"{dotted}.count={len(item)}"
            item = {str(number): element for number, element in enumerate(item)}
        if isinstance(item, dict):
            yield from dotted_lines(item, f"{dotted}.")
        else:
            values = item if isinstance(item, list) else [item]
            yield f"{dotted}=" + ",".join(json.dumps(value).strip('"') for value in values)


def test_nested_settings_and_dotted_lines_give_the_same_map():
    tree = SETTINGS | {"one": ["alone"], "classOwnZone": [False, True], "name": "12"}
    assert translate_nested(tree) == translate_lines("\n".join(dotted_lines(tree)))


@pytest.mark.parametrize(
    "change,message",
    [
        ({"listen": "127.0.0.1"}, "listen: '127.0.0.1' is not HOST:PORT"),
        ({"discovery": None}, "discovery: None is not HOST:PORT"),
        ({"registry": {"address": "a:99999"}}, "registry.address: 'a:99999' is not HOST:PORT"),
        ({"registry": 5}, "registry.address: None is not of the kind str"),
        ({"seed": "xyz"}, "seed: 'xyz' is not a number in hexadecimal digits"),
        ({"limits": {"cores": 1, "sockets": True}}, "limits.sockets: True is not of the kind"),
        ({"limits": {}}, "limits.cores: None is not of the kind"),
        ({"known": []}, "known: [] is not of the kind dict"),
        ({"settings": SETTINGS | {"grades": []}}, "settings.grades: [] is not a list of objects with a name"),
        (
            {"settings": SETTINGS | {"failureDomains": [1]}},
            "settings.failureDomains: [1] is not a list of names",
        ),
    ],
)
def test_an_error_names_the_file_key_value_and_what_is_allowed(tmp_path, change, message):
    environment = write(tmp_path, configuration_tree(*ADDRESSES) | change)
    with pytest.raises(ConfigurationError) as error:
        read_configuration(environment)
    assert str(error.value).startswith(environment["PROXY_CONFIG"]) and message in str(error.value)


def test_a_missing_file_and_invalid_json_are_errors(tmp_path):
    for environment in (
        {},
        {"PROXY_CONFIG": str(tmp_path / "none")},
        write(tmp_path, "{nope"),
        write(tmp_path, "[" * 100_000),
        write(tmp_path, "[]"),
    ):
        with pytest.raises(ConfigurationError):
            read_configuration(environment)
