"""Settings: JSON5 files, checked by a schema, turned into the module's plain map."""

from rainpick.settings.load import SettingsError, load, parse, schema
from rainpick.settings.model import Settings
from rainpick.settings.plain import plain_map

__all__ = ["Settings", "SettingsError", "load", "parse", "plain_map", "schema"]
