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

LARGEST = 1_048_576  # bytes


class SettingsError(Exception):
    """A file that cannot be used; the text says why, a line for each fault."""


def read(path: str) -> Installation:
    """The file's contents, checked; SettingsError tells file, line and key of each fault."""
    try:
        data = Path(path).read_bytes()
    except OSError as fault:
        raise SettingsError(f"{path}: {fault.strerror}") from None
    if len(data) > LARGEST:
        raise SettingsError(f"{path}: larger than {LARGEST} bytes")
    return read_text(path, data)


def read_text(path: str, data: bytes) -> Installation:
    """As `read`, for contents that are already there; the path is for messages."""
    yaml = YAML(typ="rt", pure=True)
    yaml.allow_duplicate_keys = False
    try:
        with warnings.catch_warnings():
            warnings.simplefilter("error")
            given = yaml.load(data.decode("utf-8"))
    except MarkedYAMLError as fault:
        mark = fault.problem_mark or fault.context_mark
        line = mark.line + 1 if mark is not None else 1
        raise SettingsError(f"{path}:{line}: {str(fault.problem).splitlines()[0]}") from None
    except (YAMLError, UnicodeDecodeError, RecursionError, ValueError, Warning) as fault:
        raise SettingsError(f"{path}:1: {str(fault).splitlines()[0]}") from None
    if not isinstance(given, CommentedMap):
        raise SettingsError(f"{path}:1: it is not a mapping of keys")
    try:
        return Installation.model_validate(plain(given))
    except ValidationError as faults:
        raise SettingsError("\n".join(told(path, given, fault) for fault in faults.errors())) from None


def plain(node: object) -> object:
    """The same values without the marks of where they stood."""
    if isinstance(node, CommentedMap):
        return {str(key): plain(value) for key, value in node.items()}
    if isinstance(node, CommentedSeq):
        return [plain(value) for value in node]
    return node


def told(path: str, given: CommentedMap, fault: ErrorDetails) -> str:
    """One fault in one line."""
    where, line = place(given, fault["loc"])
    why = fault["msg"].removeprefix("Value error, ")
    if fault["type"] == "extra_forbidden":
        why = "this key is not known"
    elif fault["type"] == "missing":
        why = "this key is missing"
    return f"{path}:{line}: {where or 'the file'}: {why}"


def place(given: CommentedMap, location: tuple[int | str, ...]) -> tuple[str, int]:
    """The key as people write it, and its line: that of the nearest part which stands in the file."""
    node: Any = given
    line, words = given.lc.line + 1, ""
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
        words += f"[{step}]" if isinstance(step, int) else f".{step}" if words else str(step)
        node = inner
    return words, line


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
        for inner in parts_of(field.annotation):
            many = "[]" if "list" in str(field.annotation) else ""
            yield from keys(inner, f"{path}{many}.")


def parts_of(annotation: object) -> Iterator[type[BaseModel]]:
    """The parts that a key of this type holds."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for inner in getattr(annotation, "__args__", ()):
        yield from parts_of(inner)
