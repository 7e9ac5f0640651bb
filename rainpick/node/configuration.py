"""The director's configuration: a JSON file named by ``PROXY_CONFIG``, read at the start and on SIGHUP."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias, TypeVar

from rainpick.node.message_fields import printed
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
        """Return the number at a dotted key, which is within the range of floats."""
        value = self.find(key)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self.error(key, value, "of the kind int or float")
        if not is_finite(value):
            raise self.error(key, value, "finite")
        return float(value)

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

    def load_metrics(self) -> tuple[str, ...]:
        """Return the names of the load metrics, as in load reports; none if the settings name none."""
        section = self.find("settings.stats")
        if section is None:
            return ()
        if not isinstance(section, dict):
            raise self.error("settings.stats", section, "an object")
        names = section.get("names")
        if names is None:
            return ()
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise self.error("settings.stats.names", names, "a list of names")
        metrics: list[str] = names
        return tuple(METRIC_NAMES.get(name, name) for name in metrics)

    def translated_settings(self) -> dict[str, Any]:
        """Return the settings as a flat map."""
        settings = self.value("settings", dict)
        try:
            return translate_nested(settings)
        except RecursionError:
            raise self.error("settings", settings, "nested less deeply") from None

    def seed(self) -> int:
        """Return the seed, which the file gives in hexadecimal digits."""
        text = self.value("seed", str)
        try:
            return int(text, 16)
        except ValueError:
            raise self.error("seed", text, "a number in hexadecimal digits") from None

    def error(self, key: str, value: object, expected: str) -> ConfigurationError:
        """Build the error for an invalid value at a dotted key."""
        return ConfigurationError(f"{self.path}: {key}: {printed(value)} is not {expected}")


def is_finite(value: float) -> bool:
    """Return whether a number is within the range of floats; exact for integers of any size."""
    return -sys.float_info.max <= value <= sys.float_info.max


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Read the file named by ``PROXY_CONFIG``; ``ConfigurationError`` if it is missing or unusable."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set; it names the configuration file")
    file = ConfigurationFile(path)
    settings = file.translated_settings()
    vocabulary = read_vocabulary(file, settings)
    seed = file.seed()
    return Configuration(
        file.value("name", str),
        file.address("listen", file.find("listen")),
        file.address("discovery", file.find("discovery")),
        file.address("registry.address", file.value("registry.address", str)),
        seed,
        file.number("limits.cores"),
        int(file.number("limits.sockets")),
        file.value("known", dict),
        settings,
        vocabulary,
    )


def read_vocabulary(file: ConfigurationFile, settings: Mapping[str, Any]) -> Vocabulary:
    """Build the vocabulary of messages. ``settings``: the settings of ``file`` as a flat map."""
    routes = file.route_names()
    return Vocabulary(
        file.indices("settings.failureDomains"),
        {name: index for index, name in enumerate(routes)},
        file.indices("settings.machineTypes"),
        file.load_metrics(),
        int(file.number("settings.domain.proxyCount")),
        2 * max(time_limit_us(file, settings, index) for index in range(len(routes))) / 1000,
    )


def time_limit_us(file: ConfigurationFile, settings: Mapping[str, Any], route: int) -> float:
    """Return the time limit of a route in microseconds."""
    key = f"routes.{route}.time_limit_us"
    limit_us = settings.get(key, DEFAULT_TIME_LIMIT_US)
    if not isinstance(limit_us, int | float) or not is_finite(limit_us):
        raise file.error(key, limit_us, "a finite number")
    return limit_us
