"""What all parts of a settings file have in common.

The texts that the printed JSON Schema shows are ``description`` of a field and ``schema_description`` of a
part; docstrings are for readers of the code and are not printed.
"""

from __future__ import annotations

from typing import Any, ClassVar

from pydantic import BaseModel, ConfigDict, Field


def text_field(default: str, description: str | None = None) -> Any:
    """A field whose default is written as in the file, such as ``"1.5s"``, and validated like a value there.

    ``Any``, as pydantic's own ``Field`` for a field without a default: the loaded type is another one.
    """
    return Field(default, description=description)


def _publish_description(schema: dict[str, Any], part: type[Part]) -> None:
    """Put the description for users in place of the docstring that pydantic has put there."""
    schema.pop("description", None)
    if part.schema_description:
        schema["description"] = part.schema_description


class Part(BaseModel):
    """A part of a settings file. An unknown key is an error: a misspelt one would silently be ignored."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, validate_default=True, json_schema_extra=_publish_description
    )
    schema_description: ClassVar[str] = ""
