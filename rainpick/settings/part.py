"""Base class of the parts of a settings file.

The printed JSON Schema contains the ``description`` of each field and the ``schema_description`` of each
part. Docstrings are not part of the schema.
"""

from __future__ import annotations

from typing import Any, ClassVar

from pydantic import BaseModel, ConfigDict, Field


def text_field(default: str, description: str | None = None) -> Any:
    """Declare a field whose default is text in the notation of the file, such as ``"1.5s"``.

    The default is parsed and validated like a value of the file. The return type is ``Any``, as for
    pydantic's own ``Field``, because the loaded value has another type than the text.
    """
    return Field(default, description=description)


def _replace_description(schema: dict[str, Any], part: type[Part]) -> None:
    """Replace the docstring, which pydantic puts into the schema, with ``schema_description``."""
    schema.pop("description", None)
    if part.schema_description:
        schema["description"] = part.schema_description


class Part(BaseModel):
    """A part of a settings file. Unknown keys are errors; misspelt keys would otherwise be ignored."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, validate_default=True, json_schema_extra=_replace_description
    )
    schema_description: ClassVar[str] = ""
