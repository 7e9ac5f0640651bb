"""The director's configuration: a JSON file named by ``PROXY_CONFIG``, read at the start and on SIGHUP."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias, TypeVar

from rainpick.operator_settings import translate_nested

Kind = TypeVar("Kind")
SocketAddress: TypeAlias = tuple[str, int]  # host and port

DEFAULT_TIME_LIMIT_US = 60_000_000  # time limit of a route without one in the settings
# Maps the names of load metrics in the settings to their names in load reports.
METRIC_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


class ConfigurationError(Exception):
    """The configuration is unusable. The message names the file, the key, the value and what is allowed."""


class Vocabulary(NamedTuple):
    """The names that messages may use, with their indices in the settings, and limits for numeric fields."""

    zones: dict[str, int]
    routes: dict[str, int]
    machine_types: dict[str, int]
    load_metrics: tuple[str, ...]  # names of the metrics in load reports, in the order of the settings
    proxies: int  # number of proxies, which are numbered from 0
    attempt_limit_ms: float  # upper limit for the duration of an answered attempt


class Configuration(NamedTuple):
    """The validated contents of the configuration file."""

    name: str  # the director's name
    listen: SocketAddress
    discovery: SocketAddress
    relay: SocketAddress
    seed: int
    cores: float
    sockets: int  # maximum open sockets of the process
    cached_list: dict[str, Any]  # an earlier response of discovery, used until the first response arrives
    settings: dict[str, Any]  # settings of the decisions, by dotted path
    vocabulary: Vocabulary


class ConfigurationFile:
    """A file with a JSON object. Methods raise ``ConfigurationError`` for a missing or invalid value."""

    def __init__(self, path: str):
        self.path = path
        try:
            with open(path, "rb") as file:
                tree = json.load(file)
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigurationError(f"{path}: {error}") from None
        if not isinstance(tree, dict):
            raise ConfigurationError(f"{path}: a JSON object is wanted")
        self.tree: dict[str, Any] = tree

    def find(self, key: str) -> Any:
        """Return the value at a dotted key; None if the key does not exist."""
        value: Any = self.tree
        for name in key.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def value(self, key: str, kind: type[Kind]) -> Kind:
        """Return the value at a dotted key, which must be of type ``kind``."""
        value = self.find(key)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise self.error(key, value, f"of the kind {kind.__name__}")
        return value

    def number(self, key: str) -> float:
        """Return the number at a dotted key."""
        value = self.find(key)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self.error(key, value, "of the kind int or float")
        return value

    def indices(self, key: str) -> dict[str, int]:
        """Return the index of each name in the list of names at a dotted key."""
        names: list[Any] = self.value(key, list)
        if not names or not all(isinstance(name, str) for name in names):
            raise self.error(key, names, "a list of names")
        return {name: index for index, name in enumerate(names)}

    def route_names(self) -> list[str]:
        """Return the names of the routes."""
        routes: list[Any] = self.value("settings.grades", list)
        if not routes or not all(
            isinstance(route, dict) and isinstance(route.get("name"), str) for route in routes
        ):
            raise self.error("settings.grades", routes, "a list of objects with a name")
        return [route["name"] for route in routes]

    def address(self, key: str, text: object) -> SocketAddress:
        """Parse ``text``, the value at a dotted key, as an address."""
        host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
            raise self.error(key, text, "HOST:PORT")
        return host, int(port)

    def seed(self) -> int:
        """Return the seed, which the file gives in hexadecimal digits."""
        text = self.value("seed", str)
        try:
            return int(text, 16)
        except ValueError:
            raise self.error("seed", text, "a number in hexadecimal digits") from None

    def error(self, key: str, value: object, expected: str) -> ConfigurationError:
        """Build the error for an invalid value at a dotted key."""
        return ConfigurationError(f"{self.path}: {key}: {value!r} is not {expected}")


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Read the file named by ``PROXY_CONFIG``; ``ConfigurationError`` if it is missing or unusable."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set; it names the configuration file")
    file = ConfigurationFile(path)
    settings: dict[str, Any] = translate_nested(file.value("settings", dict))
    vocabulary = read_vocabulary(file, settings)
    seed = file.seed()
    return Configuration(
        file.value("name", str),
        file.address("listen", file.find("listen")),
        file.address("discovery", file.find("discovery")),
        file.address("registry.address", file.value("registry.address", str)),
        seed,
        float(file.number("limits.cores")),
        int(file.number("limits.sockets")),
        file.value("known", dict),
        settings,
        vocabulary,
    )


def read_vocabulary(file: ConfigurationFile, settings: Mapping[str, Any]) -> Vocabulary:
    """Build the vocabulary of messages. ``settings``: the settings of ``file`` as a flat map."""
    routes = file.route_names()
    metrics = (file.tree["settings"].get("stats") or {}).get("names") or []
    time_limits_us = [
        settings.get(f"routes.{index}.time_limit_us", DEFAULT_TIME_LIMIT_US) for index in range(len(routes))
    ]
    return Vocabulary(
        file.indices("settings.failureDomains"),
        {name: index for index, name in enumerate(routes)},
        file.indices("settings.machineTypes"),
        tuple(METRIC_NAMES.get(metric, metric) for metric in metrics),
        int(file.number("settings.domain.proxyCount")),
        2 * max(time_limits_us) / 1000,
    )
