"""What of a request may be the cause of a crash."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from marlramp import ids


class PossibleCauses(msgspec.Struct, frozen=True):
    """A request as a suspect.

    Attributes:
      content: the whole request.
      parts: the parts of its prompt but the last, which is its own.
    """

    content: ids.Fingerprint
    parts: tuple[ids.PartFingerprint, ...] = ()

    def __iter__(self) -> Iterator[ids.Fingerprint]:
        """Yields each cause."""
        yield self.content
        yield from self.parts


def part_fingerprint(scope: str, part: str) -> ids.PartFingerprint:
    """Returns the fingerprint of a part of prompts.

    Args:
      scope: the model that reads the prompts, else the service.
      part: id of the part, as callers name it.
    """
    return ids.PartFingerprint(ids.Fingerprint(f"{scope}/{part}"))
