"""The configuration file; and that nested settings are the same map as dotted lines."""

import json

import pytest

from rainpick.node.configuration import ConfigurationError, read_configuration
from rainpick.wording import nested, settings
from tests.node.platform import SETTINGS, VOCABULARY, configuration

PLACES = ("127.0.0.1", 8080), ("127.0.0.1", 8500), ("127.0.0.1", 6400)


def written(tmp_path, tree):
    path = tmp_path / "config.json"
    path.write_text(tree if isinstance(tree, str) else json.dumps(tree))
    return {"PROXY_CONFIG": str(path)}


def test_what_a_director_is_told(tmp_path):
    told = read_configuration(written(tmp_path, configuration(*PLACES)))
    assert (told.listen, told.discovery, told.relay) == PLACES
    assert told.seed == 0x8C1F30D27A5BE964 and told.sockets == 256 and told.vocabulary == VOCABULARY
    assert told.settings["rules.drain_grace_us"] == 2_900_000 and told.settings["routes.1.importance"] == 5.0


def lines(tree, path=""):
    """The dotted lines of the simulator's wire."""
    for name, item in tree.items():
        place = f"{path}{name}"
        if isinstance(item, list) and isinstance(item[0], dict):
            yield f"{place}.count={len(item)}"
            item = {str(number): one for number, one in enumerate(item)}
        if isinstance(item, dict):
            yield from lines(item, f"{place}.")
        else:
            words = item if isinstance(item, list) else [item]
            yield f"{place}=" + ",".join(json.dumps(word).strip('"') for word in words)


def test_nested_settings_and_dotted_lines_give_the_same_map():
    tree = SETTINGS | {"one": ["alone"], "classOwnZone": [False, True], "name": "12"}
    assert nested(tree) == settings("\n".join(lines(tree)))


@pytest.mark.parametrize(
    "change,why",
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
def test_an_error_names_file_place_value_and_what_is_allowed(tmp_path, change, why):
    environment = written(tmp_path, configuration(*PLACES) | change)
    with pytest.raises(ConfigurationError) as error:
        read_configuration(environment)
    assert str(error.value).startswith(environment["PROXY_CONFIG"]) and why in str(error.value)


def test_a_file_that_is_absent_or_no_json(tmp_path):
    for environment in (
        {},
        {"PROXY_CONFIG": str(tmp_path / "none")},
        written(tmp_path, "{nope"),
        written(tmp_path, "[" * 100_000),
        written(tmp_path, "[]"),
    ):
        with pytest.raises(ConfigurationError):
            read_configuration(environment)
