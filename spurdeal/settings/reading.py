"""Reads and validates the settings file. Each error is reported in one line: file, line, key, reason."""

from __future__ import annotations

import warnings
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails, PydanticUndefined
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from .installation import Installation

MAX_FILE_BYTES = 1_048_576  # bytes


class SettingsError(Exception):
    """An invalid settings file; the message has one line for each error."""


def read(path: str) -> Installation:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file cannot be read, is longer than MAX_FILE_BYTES or is invalid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    return read_text(path, data)


def read_text(path: str, data: bytes) -> Installation:
    """Validate the contents of a settings file; `path` is used in error messages only.

    Raises:
        SettingsError: The contents are invalid.
    """
    yaml = YAML(typ="rt", pure=True)
    yaml.allow_duplicate_keys = False
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("error")
            document = yaml.load(data.decode("utf-8"))
    except MarkedYAMLError as error:
        position = error.problem_mark or error.context_mark
        line = position.line + 1 if position is not None else 1
        raise SettingsError(f"{path}:{line}: {str(error.problem).splitlines()[0]}") from None
    except (YAMLError, UnicodeDecodeError, RecursionError, ValueError, Warning) as error:
        raise SettingsError(f"{path}:1: {str(error).splitlines()[0]}") from None
    if not isinstance(document, CommentedMap):
        raise SettingsError(f"{path}:1: the file is not a mapping of keys")
    try:
        return Installation.model_validate(to_builtins(document))
    except ValidationError as errors:
        raise SettingsError(
            "\n".join(format_error(path, document, error) for error in errors.errors())
        ) from None


def to_builtins(node: object) -> object:
    """Convert ruamel.yaml's nodes to dicts and lists without line numbers."""
    if isinstance(node, CommentedMap):
        return {str(key): to_builtins(value) for key, value in node.items()}
    if isinstance(node, CommentedSeq):
        return [to_builtins(value) for value in node]
    return node


def format_error(path: str, document: CommentedMap, error: ErrorDetails) -> str:
    """Format a validation error as `file:line: key: reason`."""
    key, line = locate(document, error["loc"])
    reason = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        reason = "this key is not known"
    elif error["type"] == "missing":
        reason = "this key is missing"
    return f"{path}:{line}: {key or 'the file'}: {reason}"


def locate(document: CommentedMap, location: tuple[int | str, ...]) -> tuple[str, int]:
    """Return the dotted key of a pydantic location, and the line of its nearest ancestor in the file."""
    node: Any = document
    line, dotted_path = document.lc.line + 1, ""
    for part in location:
        child = None
        if isinstance(node, CommentedMap) and part in node:
            line, child = node.lc.key(part)[0] + 1, node[part]
        elif isinstance(node, CommentedSeq) and isinstance(part, int) and part < len(node):
            line, child = node.lc.item(part)[0] + 1, node[part]
        elif isinstance(node, CommentedMap) and part == node.get("kind"):
            continue  # the discriminator's value, which pydantic adds to the location
        elif not isinstance(node, (CommentedMap, CommentedSeq)):
            continue  # the member of a union that pydantic tried
        dotted_path += f"[{part}]" if isinstance(part, int) else f".{part}" if dotted_path else str(part)
        node = child
    return dotted_path, line


def keys(model: type[BaseModel] = Installation, prefix: str = "") -> Iterator[tuple[str, str, str]]:
    """Yield every key with its default and description, from the models that validate the file."""
    for name, field in model.model_fields.items():
        path = f"{prefix}{name}"
        default = (
            "required"
            if field.is_required()
            else ""
            if field.default is PydanticUndefined
            else str(field.default)
        )
        yield path, default, field.description or ""
        for child in nested_models(field.annotation):
            suffix = "[]" if "list" in str(field.annotation) else ""
            yield from keys(child, f"{path}{suffix}.")


def nested_models(annotation: object) -> Iterator[type[BaseModel]]:
    """Yield the models that a key of this type contains."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for child in getattr(annotation, "__args__", ()):
        yield from nested_models(child)
