"""Settings of a director: loading and validation of JSON5 files, conversion for the decision modules."""

from rainpick.settings.decision_settings import decision_settings
from rainpick.settings.load import SettingsError, json_schema, load, parse
from rainpick.settings.model import Settings

__all__ = ["Settings", "SettingsError", "json_schema", "load", "parse", "decision_settings"]
