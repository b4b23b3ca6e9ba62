"""Checks JSON documents against data classes.

Used for settings and for the operators' configuration. The JSON schema is
derived from the data class, and every error is reported with its path, not
only the first one.
"""

from typing import Any
from typing import TypeVar

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from msgspec import convert
from msgspec import ValidationError as ConvertError
from msgspec.json import decode
from msgspec.json import schema
from result import Err
from result import Ok
from result import Result

from wasabiwing.decoding import UNDECODABLE

T = TypeVar("T")


def parse_document(document: bytes, kind: type[T]) -> Result[T, list[str]]:
    """Parses a JSON document into a frozen data class.

    The error is a list of lines ``path: message``, sorted by path.
    """
    try:
        value = decode(document)
    except UNDECODABLE as error:
        return Err([f"$: not valid JSON: {error}"])
    return validate_value(value, kind)


def validate_value(value: object, kind: type[T]) -> Result[T, list[str]]:
    """Checks plain JSON values and converts them to a data class."""
    validator = Draft202012Validator(strict_schema(kind))
    errors = [
        f"{error.json_path}: {_error_message(error)}"
        for error in validator.iter_errors(value)
    ]
    if errors:
        return Err(sorted(errors))
    try:
        return Ok(convert(value, kind))
    except ConvertError as error:
        return Err([f"$: {error}"])


def strict_schema(kind: type[Any]) -> dict[str, Any]:
    """Returns the JSON schema of a data class; unknown fields are errors."""
    document = schema(kind)
    for definition in document.get("$defs", {}).values():
        if definition.get("type") == "object":
            if "properties" in definition:
                definition["additionalProperties"] = False
    return document


def _error_message(error: ValidationError) -> str:
    """Returns an error's message, without long parts of the document."""
    if error.validator == "type":
        found = type(error.instance).__name__
        return f"expected {error.validator_value}, got {found}"
    if error.validator == "anyOf":
        found = type(error.instance).__name__
        return f"{found} matches no allowed type"
    return str(error.message)
