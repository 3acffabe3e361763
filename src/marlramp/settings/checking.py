"""Validates TOML against msgspec types and reports all errors at once."""

from __future__ import annotations

from collections.abc import Iterator
import difflib
import tomllib
import types
import typing
from typing import TypeVar

import msgspec

StructT = TypeVar("StructT", bound=msgspec.Struct)

_UNIT_SUFFIXES = {
    "ms": "milliseconds",
    "s": "seconds",
    "bytes": "bytes",
    "per_s": "per second",
}

PLACEMENT_PROBLEM = (
    "allowed regions and evacuations are supported on the direct path only, "
    "in op/config and op/evacuate/; the grants path would not enforce them"
)
"""Problem reported for a placement constraint.

If a document were accepted without its constraint, requests could run where
they are not allowed to.
"""

_PLACEMENT_KEY_PREFIXES = ("allowed_region", "evacuat")
"""Prefixes that identify keys of placement constraints."""


class SettingsError(Exception):
    """One problem in a settings file or document.

    Attributes:
      source: name of the file or key of the document.
      path: dotted path of the key, empty for the whole file.
      problem: description of the problem and of the expected value.
    """

    def __init__(self, source: str, path: str, problem: str) -> None:
        """Creates an error for the key at `path` in `source`."""
        super().__init__(f"{source}: {path or '(file)'}: {problem}")
        self.source = source
        self.path = path
        self.problem = problem


def parse_toml(text: str, source: str) -> dict[str, object]:
    """Parses a TOML text.

    Raises:
      ExceptionGroup: with one `SettingsError` if the text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = SettingsError(source, "", f"not valid TOML: {error}")
        raise ExceptionGroup("settings refused", [problem]) from error


def convert(
    table: dict[str, object], struct: type[StructT], source: str
) -> StructT:
    """Converts `table` to an instance of `struct`.

    Raises:
      ExceptionGroup: of `SettingsError`, one for each problem.
    """
    errors = list(check_table(table, struct, source, ""))
    if errors:
        raise ExceptionGroup("settings refused", errors)
    return msgspec.convert(table, struct)


def check_table(
    table: dict[str, object],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[SettingsError]:
    """Yields an error for each problem in a table that represents `struct`."""
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    for key, value in table.items():
        key_path = _join_path(path, key)
        field = fields.get(key)
        if field is None:
            problem = _unknown_key_problem(key, list(fields))
            yield SettingsError(source, key_path, problem)
            continue
        yield from _check_value(value, field.type, source, key_path)
    for name, field in fields.items():
        if field.required and name not in table:
            yield SettingsError(
                source,
                _join_path(path, name),
                f"missing; expected {_describe_expected(field.type)}",
            )


def check_overrides(
    table: dict[str, object],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[SettingsError]:
    """Like `check_table`, for a table in which every field is optional."""
    for error in check_table(table, struct, source, path):
        if not error.problem.startswith("missing"):
            yield error


def describe_type(annotation: object) -> str:
    """Describes the accepted values of a type, such as "a number >= 1"."""
    return _describe_expected(annotation)


def _check_value(
    value: object, annotation: object, source: str, path: str
) -> Iterator[SettingsError]:
    struct = _struct_type(annotation)
    if struct is not None:
        if isinstance(value, dict):
            yield from check_table(value, struct, source, path)
        else:
            yield SettingsError(source, path, "expected a table")
        return
    value_type = _dict_value_type(annotation)
    if value_type is not None and isinstance(value, dict):
        key_type = typing.get_args(annotation)[0]
        for key, item in value.items():
            item_path = _join_path(path, key)
            yield from _check_scalar(key, key_type, source, item_path)
            yield from _check_value(item, value_type, source, item_path)
        return
    yield from _check_scalar(value, annotation, source, path)


def _check_scalar(
    value: object, annotation: object, source: str, path: str
) -> Iterator[SettingsError]:
    try:
        msgspec.convert(value, typing.cast("type[object]", annotation))
    except msgspec.ValidationError:
        yield SettingsError(
            source,
            path,
            f"got {value!r}; expected {_describe_expected(annotation)}",
        )


def _struct_type(annotation: object) -> type[msgspec.Struct] | None:
    options = [annotation]
    if isinstance(annotation, types.UnionType):
        options = list(typing.get_args(annotation))
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _dict_value_type(annotation: object) -> object | None:
    if typing.get_origin(annotation) is dict:
        return typing.get_args(annotation)[1]  # type: ignore[no-any-return]
    return None


def _unknown_key_problem(key: str, known: list[str]) -> str:
    if key.startswith(_PLACEMENT_KEY_PREFIXES):
        return PLACEMENT_PROBLEM
    stem = _without_unit(key)
    for name in known:
        if name != key and _without_unit(name) == stem:
            return f"unknown key; the unit is part of the name: use {name!r}"
    similar = difflib.get_close_matches(key, known, n=1)
    if similar:
        return f"unknown key; did you mean {similar[0]!r}?"
    return f"unknown key; expected one of: {', '.join(sorted(known))}"


def _without_unit(name: str) -> str:
    for suffix in sorted(_UNIT_SUFFIXES, key=len, reverse=True):
        if name.endswith("_" + suffix):
            return name.removesuffix("_" + suffix)
    for unsupported in ("_seconds", "_sec", "_milliseconds", "_us", "_min"):
        if name.endswith(unsupported):
            return name.removesuffix(unsupported)
    return name


def _describe_expected(annotation: object) -> str:
    schema = msgspec.json.schema(typing.cast("type[object]", annotation))
    definitions = schema.get("$defs", {})
    options = [
        _resolve_reference(option, definitions)
        for option in schema.get("anyOf", [schema])
    ]
    return " or ".join(_describe_schema(option) for option in options)


def _resolve_reference(
    schema: dict[str, object], definitions: dict[str, dict[str, object]]
) -> dict[str, object]:
    reference = str(schema.get("$ref", ""))
    return definitions.get(reference.rpartition("/")[2], schema)


def _describe_schema(schema: dict[str, object]) -> str:
    if "enum" in schema:
        values = typing.cast("list[object]", schema["enum"])
        return "one of " + ", ".join(repr(value) for value in values)
    type_names = {
        "integer": "a whole number",
        "number": "a number",
        "string": "a string",
        "boolean": "true or false",
        "object": "a table",
        "array": "a list",
        "null": "nothing",
    }
    text = type_names.get(str(schema.get("type")), "another value")
    bounds = {
        "minimum": ">=",
        "exclusiveMinimum": ">",
        "maximum": "<=",
        "exclusiveMaximum": "<",
    }
    limits = [
        f"{operator} {schema[key]}"
        for key, operator in bounds.items()
        if key in schema
    ]
    if limits:
        text += " " + " and ".join(limits)
    if "description" in schema:
        text += f" ({schema['description']})"
    return text


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
