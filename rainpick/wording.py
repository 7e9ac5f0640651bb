"""The old names of ``rainpick.operator_settings``, until all who import them name the new module."""

from rainpick.operator_settings import SettingValue, translate_value
from rainpick.operator_settings import translate_lines as settings
from rainpick.operator_settings import translate_nested as nested

__all__ = ["nested", "settings", "value"]


def value(_key: str, text: str) -> SettingValue:
    """Read one value; the key is not needed any more."""
    return translate_value(text)
