"""A director's settings: JSON5 files, checked against a schema, turned into the flat map of the decisions."""

from rainpick.settings.load import SettingsError, json_schema, load, parse
from rainpick.settings.model import Settings
from rainpick.settings.plain import plain_map

__all__ = ["Settings", "SettingsError", "json_schema", "load", "parse", "plain_map"]
