"""Parsing of the relay's JSON-RPC notifications about proxies. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from rainpick import model
from rainpick.node.configuration import Vocabulary
from rainpick.node.load_report_parsing import INTERVAL_LIMIT_MS
from rainpick.node.message_fields import (
    MalformedMessageError,
    Message,
    excerpt,
    index_field,
    integer_field,
    load_json,
    number_field,
    printed,
)

NONCE_LIMIT = 65_535
REQUEST_RATE_LIMIT = 1e9


class Ping(NamedTuple):
    """A sign that the relay is alive. The first ping on a stream ends its listing of joined proxies."""


ProxyEvent: TypeAlias = model.ProxyJoined | model.ProxyLeft | model.Acknowledged


def parse_notification(line: bytes, vocabulary: Vocabulary) -> Ping | ProxyEvent:
    """Parse one notification.

    Raises ``ValueError`` if the line is not JSON, ``MalformedMessageError`` if it is no valid notification.
    """
    message = load_json(line)
    parameters = message.get("params", {}) if isinstance(message, dict) else None
    if not isinstance(parameters, dict):
        raise MalformedMessageError("not a notification")
    method = message.get("method")
    if method == "ping":
        return Ping()
    proxy = integer_field(parameters, "node", 0, vocabulary.proxies - 1)
    if method == "attach":
        return parse_join(proxy, parameters, vocabulary)
    if method == "detach":
        return model.ProxyLeft(proxy)
    if method == "done":
        return model.Acknowledged(
            proxy,
            integer_field(parameters, "nonce", 0, NONCE_LIMIT),
            round(number_field(parameters, "latency", 0, INTERVAL_LIMIT_MS) * 1000),
        )
    raise MalformedMessageError(f"method: {excerpt(method)} is not known")


def parse_join(proxy: int, parameters: Message, vocabulary: Vocabulary) -> model.ProxyJoined:
    """Parse the parameters of ``attach``."""
    newly_started = parameters.get("cold")
    if not isinstance(newly_started, bool):
        raise MalformedMessageError(f"cold: {printed(newly_started)} is not true or false")
    return model.ProxyJoined(
        proxy,
        newly_started,
        float(number_field(parameters, "w", 0, REQUEST_RATE_LIMIT)),
        index_field(parameters, "locality", vocabulary.zones),
    )
