"""A director's settings: JSON5 files, checked against a schema, turned into the flat map of the decisions."""

from rainpick.settings.decision_settings import decision_settings
from rainpick.settings.load import SettingsError, json_schema, load, parse
from rainpick.settings.model import Settings

__all__ = ["Settings", "SettingsError", "json_schema", "load", "parse", "decision_settings"]
