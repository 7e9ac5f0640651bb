"""What the platform tells a director: the environment and a JSON file, at the start and on SIGHUP."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from rainpick.wording import nested

# The platform's words for the values of a load report, and the settings' words for the same.
LOAD_WORDS = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


class ConfigurationError(Exception):
    """A configuration that can't be used; it says where, what stood there and what is allowed."""


class Names(NamedTuple):
    """What may be named in messages, by its index in the settings."""

    zones: dict[str, int]
    routes: dict[str, int]
    machines: dict[str, int]
    loads: tuple[str, ...]  # of a load report, in the settings' order, in the messages' words
    proxies: int
    time_most_ms: float  # no answered try takes longer


class Configuration(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    relay: tuple[str, int]
    seed: int
    cores: float
    sockets: int
    known: dict
    settings: dict  # the module's map
    names: Names


def place(path: str, where: str, text: object) -> tuple[str, int]:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigurationError(f"{path}: {where}: {text!r} is not HOST:PORT")
    return host, int(port)


def within(path: str, tree: object, where: str, kind: type | tuple) -> object:
    """The value at a dotted place; only of this kind."""
    value = tree
    for name in where.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if not isinstance(value, kind) or isinstance(value, bool):
        wanted = " or ".join(one.__name__ for one in (kind if isinstance(kind, tuple) else (kind,)))
        raise ConfigurationError(f"{path}: {where}: {value!r} is not of the kind {wanted}")
    return value


def named(path: str, tree: dict, where: str) -> dict[str, int]:
    found = within(path, tree, where, list)
    if not found or not all(isinstance(name, str) for name in found):
        raise ConfigurationError(f"{path}: {where}: {found!r} is not a list of names")
    return {name: number for number, name in enumerate(found)}


def read(environment: Mapping[str, str]) -> Configuration:
    """The file that ``PROXY_CONFIG`` names; ``ConfigurationError`` if it is missing or can't be used."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set; it names the configuration file")
    try:
        with open(path, "rb") as file:
            tree = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    if not isinstance(tree, dict):
        raise ConfigurationError(f"{path}: a JSON object is wanted")
    settings = nested(within(path, tree, "settings", dict))
    routes = within(path, tree, "settings.grades", list)
    if not routes or not all(isinstance(one, dict) and isinstance(one.get("name"), str) for one in routes):
        raise ConfigurationError(f"{path}: settings.grades: {routes!r} is not a list of objects with a name")
    loads = {ours: word for word, ours in LOAD_WORDS.items()}
    wanted = (tree["settings"].get("stats") or {}).get("names") or []
    limits = [settings.get(f"routes.{number}.time_limit_us", 60_000_000) for number in range(len(routes))]
    names = Names(
        named(path, tree, "settings.failureDomains"),
        {route["name"]: at for at, route in enumerate(routes)},
        named(path, tree, "settings.machineTypes"),
        tuple(loads.get(word, word) for word in wanted),
        int(within(path, tree, "settings.domain.proxyCount", (int, float))),
        2 * max(limits) / 1000,
    )
    seed = within(path, tree, "seed", str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"{path}: seed: {seed!r} is not a number in hexadecimal digits") from None
    return Configuration(
        within(path, tree, "name", str),
        place(path, "listen", tree.get("listen")),
        place(path, "discovery", tree.get("discovery")),
        place(path, "registry.address", within(path, tree, "registry.address", str)),
        seed,
        float(within(path, tree, "limits.cores", (int, float))),
        int(within(path, tree, "limits.sockets", (int, float))),
        within(path, tree, "known", dict),
        settings,
        names,
    )
