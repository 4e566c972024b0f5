"""Reads an operator's file. What cannot be used is told in one line: file, line, key, why."""

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
    """A file that cannot be used; the text says why, a line for each fault."""


def read(path: str) -> Installation:
    """The file's contents, checked; SettingsError tells file, line and key of each fault."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    return read_text(path, data)


def read_text(path: str, data: bytes) -> Installation:
    """As `read`, for contents that are already there; the path is for messages."""
    yaml = YAML(typ="rt", pure=True)
    yaml.allow_duplicate_keys = False
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("error")
            given = yaml.load(data.decode("utf-8"))
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark is not None else 1
        raise SettingsError(f"{path}:{line}: {str(error.problem).splitlines()[0]}") from None
    except (YAMLError, UnicodeDecodeError, RecursionError, ValueError, Warning) as error:
        raise SettingsError(f"{path}:1: {str(error).splitlines()[0]}") from None
    if not isinstance(given, CommentedMap):
        raise SettingsError(f"{path}:1: it is not a mapping of keys")
    try:
        return Installation.model_validate(to_builtins(given))
    except ValidationError as errors:
        raise SettingsError(
            "\n".join(format_error(path, given, error) for error in errors.errors())
        ) from None


def to_builtins(node: object) -> object:
    """The same values without the marks of where they stood."""
    if isinstance(node, CommentedMap):
        return {str(key): to_builtins(value) for key, value in node.items()}
    if isinstance(node, CommentedSeq):
        return [to_builtins(value) for value in node]
    return node


def format_error(path: str, given: CommentedMap, error: ErrorDetails) -> str:
    """One fault in one line."""
    where, line = locate(given, error["loc"])
    why = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        why = "this key is not known"
    elif error["type"] == "missing":
        why = "this key is missing"
    return f"{path}:{line}: {where or 'the file'}: {why}"


def locate(given: CommentedMap, location: tuple[int | str, ...]) -> tuple[str, int]:
    """The key as people write it, and its line: that of the nearest part which stands in the file."""
    node: Any = given
    line, dotted_path = given.lc.line + 1, ""
    for step in location:
        inner = None
        if isinstance(node, CommentedMap) and step in node:
            line, inner = node.lc.key(step)[0] + 1, node[step]
        elif isinstance(node, CommentedSeq) and isinstance(step, int) and step < len(node):
            line, inner = node.lc.item(step)[0] + 1, node[step]
        elif isinstance(node, CommentedMap) and step == node.get("kind"):
            continue  # the name of a kind, which pydantic puts in between
        elif not isinstance(node, (CommentedMap, CommentedSeq)):
            continue  # which of several types was tried
        dotted_path += f"[{step}]" if isinstance(step, int) else f".{step}" if dotted_path else str(step)
        node = inner
    return dotted_path, line


def keys(part: type[BaseModel] = Installation, before: str = "") -> Iterator[tuple[str, str, str]]:
    """Every key with its default and meaning, from the types that check the file."""
    for name, field in part.model_fields.items():
        path = f"{before}{name}"
        default = (
            "must be told"
            if field.is_required()
            else ""
            if field.default is PydanticUndefined
            else str(field.default)
        )
        yield path, default, field.description or ""
        for inner in nested_models(field.annotation):
            suffix = "[]" if "list" in str(field.annotation) else ""
            yield from keys(inner, f"{path}{suffix}.")


def nested_models(annotation: object) -> Iterator[type[BaseModel]]:
    """The parts that a key of this type holds."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for inner in getattr(annotation, "__args__", ()):
        yield from nested_models(inner)
