"""Puts the parts of an answer in order and checks that it is complete."""

from __future__ import annotations

import msgspec

from marlramp import errors
from marlramp import ids

PENDING_PARTS_MAX = 256
"""Maximum number of parts buffered while an earlier part is missing."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of an answer.

    Attributes:
      seq: position of the part in the answer, from 0.
      data: bytes that are sent to the caller unchanged.
      version: model version that produced the part, empty for a service that
        has no model.
      last: whether this part ends the answer, which then has `seq + 1` parts.
    """

    seq: int
    data: bytes
    version: ids.VersionId
    last: bool = False


class Assembly:
    """Parts of the answer to one request that have arrived so far."""

    def __init__(self) -> None:
        """Starts without parts."""
        self._next_seq = 0
        self._pending: dict[int, Part] = {}
        self._version: ids.VersionId | None = None
        self._complete = False

    @property
    def next_seq(self) -> int:
        """Sequence number of the first part that has not been delivered."""
        return self._next_seq

    @property
    def version(self) -> ids.VersionId | None:
        """Version of the parts delivered so far, None before the first."""
        return self._version

    @property
    def complete(self) -> bool:
        """Whether every part up to the last has been delivered."""
        return self._complete

    @property
    def has_gap(self) -> bool:
        """Whether parts are buffered because an earlier one is missing."""
        return bool(self._pending)

    def restart(self) -> None:
        """Discards the parts that were not delivered, before a resumption."""
        self._pending.clear()

    def add(self, part: Part) -> list[Part]:
        """Adds a part, in any order, and returns the parts to deliver now.

        A part that was delivered before is ignored.

        Raises:
          errors.CallError: if a part to deliver comes from another version than
            the parts before it, or if more than `PENDING_PARTS_MAX` parts wait
            for an earlier one.
        """
        if self._complete or part.seq < self._next_seq:
            return []
        self._pending[part.seq] = part
        if len(self._pending) > PENDING_PARTS_MAX:
            raise errors.CallError(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                f"part {self._next_seq} is missing",
            )
        ready = []
        while self._next_seq in self._pending:
            following = self._pending.pop(self._next_seq)
            self._check_version(following)
            ready.append(following)
            self._next_seq += 1
            if following.last:
                self._complete = True
                self._pending.clear()
        return ready

    def _check_version(self, part: Part) -> None:
        if self._version is None:
            self._version = part.version
        if part.version != self._version:
            raise errors.CallError(
                errors.ErrorKind.VERSION_CHANGED,
                f"part {part.seq} is from {part.version}, "
                f"earlier parts are from {self._version}",
            )
