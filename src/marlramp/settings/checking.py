"""Checks TOML against a msgspec type and reports every error found."""

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
"""A document that is accepted without its constraint would let requests run
where they must not."""

_PLACEMENT_KEYS = ("allowed_region", "evacuat")
"""How the keys of placement constraints begin."""


class SettingsError(Exception):
    """One thing wrong in a settings file.

    Attributes:
      source: file name or document key.
      path: dotted path of the key.
      problem: what is wrong and what is expected.
    """

    def __init__(self, source: str, path: str, problem: str) -> None:
        """Records where and what."""
        super().__init__(f"{source}: {path or '(file)'}: {problem}")
        self.source = source
        self.path = path
        self.problem = problem


def parse_toml(text: str, source: str) -> dict[str, object]:
    """Returns the tables of a TOML text.

    Raises:
      ExceptionGroup: with one `SettingsError` if it is not TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = SettingsError(source, "", f"not valid TOML: {error}")
        raise ExceptionGroup("settings refused", [problem]) from error


def convert(
    table: dict[str, object], struct: type[StructT], source: str
) -> StructT:
    """Returns `table` as `struct`.

    Raises:
      ExceptionGroup: of `SettingsError`, one for each thing wrong.
    """
    found = list(check_table(table, struct, source, ""))
    if found:
        raise ExceptionGroup("settings refused", found)
    return msgspec.convert(table, struct)


def check_table(
    table: dict[str, object],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[SettingsError]:
    """Yields what is wrong with a table that should hold `struct`."""
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    for key, value in table.items():
        key_path = _join(path, key)
        field = fields.get(key)
        if field is None:
            problem = _unknown_key(key, list(fields))
            yield SettingsError(source, key_path, problem)
            continue
        yield from _check_value(value, field.type, source, key_path)
    for name, field in fields.items():
        if field.required and name not in table:
            yield SettingsError(
                source,
                _join(path, name),
                f"missing; expected {_expected(field.type)}",
            )


def check_overrides(
    table: dict[str, object],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[SettingsError]:
    """Like `check_table`, for a table that may leave out any field."""
    for error in check_table(table, struct, source, path):
        if not error.problem.startswith("missing"):
            yield error


def describe_type(annotation: object) -> str:
    """Returns a type's expected values in words, such as "a number >= 1"."""
    return _expected(annotation)


def _check_value(
    value: object, annotation: object, source: str, path: str
) -> Iterator[SettingsError]:
    struct = _struct_of(annotation)
    if struct is not None:
        if isinstance(value, dict):
            yield from check_table(value, struct, source, path)
        else:
            yield SettingsError(source, path, "expected a table")
        return
    item = _dict_value_of(annotation)
    if item is not None and isinstance(value, dict):
        key_type = typing.get_args(annotation)[0]
        for key, inner in value.items():
            inner_path = _join(path, key)
            yield from _check_scalar(key, key_type, source, inner_path)
            yield from _check_value(inner, item, source, inner_path)
        return
    yield from _check_scalar(value, annotation, source, path)


def _check_scalar(
    value: object, annotation: object, source: str, path: str
) -> Iterator[SettingsError]:
    try:
        msgspec.convert(value, typing.cast("type[object]", annotation))
    except msgspec.ValidationError:
        yield SettingsError(
            source, path, f"got {value!r}; expected {_expected(annotation)}"
        )


def _struct_of(annotation: object) -> type[msgspec.Struct] | None:
    options = [annotation]
    if isinstance(annotation, types.UnionType):
        options = list(typing.get_args(annotation))
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _dict_value_of(annotation: object) -> object | None:
    if typing.get_origin(annotation) is dict:
        return typing.get_args(annotation)[1]  # type: ignore[no-any-return]
    return None


def _unknown_key(key: str, known: list[str]) -> str:
    if key.startswith(_PLACEMENT_KEYS):
        return PLACEMENT_PROBLEM
    stem = _without_unit(key)
    for name in known:
        if name != key and _without_unit(name) == stem:
            return f"unknown key; the unit is part of the name: use {name!r}"
    close = difflib.get_close_matches(key, known, n=1)
    if close:
        return f"unknown key; did you mean {close[0]!r}?"
    return f"unknown key; expected one of: {', '.join(sorted(known))}"


def _without_unit(name: str) -> str:
    for suffix in sorted(_UNIT_SUFFIXES, key=len, reverse=True):
        if name.endswith("_" + suffix):
            return name.removesuffix("_" + suffix)
    for wrong in ("_seconds", "_sec", "_milliseconds", "_us", "_min"):
        if name.endswith(wrong):
            return name.removesuffix(wrong)
    return name


def _expected(annotation: object) -> str:
    schema = msgspec.json.schema(typing.cast("type[object]", annotation))
    definitions = schema.get("$defs", {})
    options = [
        _resolve(option, definitions)
        for option in schema.get("anyOf", [schema])
    ]
    return " or ".join(_expected_schema(option) for option in options)


def _resolve(
    schema: dict[str, object], definitions: dict[str, dict[str, object]]
) -> dict[str, object]:
    reference = str(schema.get("$ref", ""))
    return definitions.get(reference.rpartition("/")[2], schema)


def _expected_schema(schema: dict[str, object]) -> str:
    if "enum" in schema:
        values = typing.cast("list[object]", schema["enum"])
        return "one of " + ", ".join(repr(value) for value in values)
    names = {
        "integer": "a whole number",
        "number": "a number",
        "string": "a string",
        "boolean": "true or false",
        "object": "a table",
        "array": "a list",
        "null": "nothing",
    }
    text = names.get(str(schema.get("type")), "another value")
    bounds = {
        "minimum": ">=",
        "exclusiveMinimum": ">",
        "maximum": "<=",
        "exclusiveMaximum": "<",
    }
    limits = [
        f"{sign} {schema[key]}" for key, sign in bounds.items() if key in schema
    ]
    if limits:
        text += " " + " and ".join(limits)
    if "description" in schema:
        text += f" ({schema['description']})"
    return text


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
