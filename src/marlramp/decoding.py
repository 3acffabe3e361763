"""What decoding of received data may raise, and lists with odd entries."""

from __future__ import annotations

from collections.abc import Iterator

MALFORMED = (ValueError, RecursionError)
"""Exceptions of decoders. Errors of msgspec and of text decoding are subclasses
of `ValueError`; values that are nested too deeply raise `RecursionError`."""

_OPENING = b"[{"
_CLOSING = b"]}"
_QUOTE = ord('"')
_BACKSLASH = ord("\\")
_COMMA = ord(",")


def json_entries(data: bytes) -> Iterator[bytes]:
    """Splits a JSON array into its entries, which are not decoded.

    An entry that is malformed or nested too deeply hides no other entry.

    Args:
      data: the encoded array.

    Yields:
      The encoding of each entry.

    Raises:
      ValueError: if `data` is no array.
    """
    text = data.strip()
    if text[:1] != b"[" or text[-1:] != b"]":
        raise ValueError("no JSON array")
    depth = 0
    start = 1
    is_text = is_escaped = False
    for index, char in enumerate(text):
        if is_text:
            is_text = is_escaped or char != _QUOTE
            is_escaped = not is_escaped and char == _BACKSLASH
        elif char == _QUOTE:
            is_text = True
        elif char in _OPENING:
            depth += 1
        elif char in _CLOSING:
            depth -= 1
        elif char == _COMMA and depth == 1:
            yield text[start:index].strip()
            start = index + 1
    if depth != 0 or is_text:
        raise ValueError("unbalanced JSON array")
    if last := text[start:-1].strip():
        yield last
