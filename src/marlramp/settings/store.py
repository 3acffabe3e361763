"""Stores the accepted settings documents of one process.

The revision of a stored document never decreases.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum

import msgspec

from marlramp.protocol import messages
from marlramp.settings import checking
from marlramp.settings import schema
from marlramp.settings import tree


class Verdict(enum.Enum):
    """Outcome of offering a document to the store.

    Attributes:
      ACCEPTED: it is newer than the one in force, valid, and now in force.
      KNOWN: it has the revision of the one in force.
      OLDER: it is older than the one in force.
      FOREIGN: its key does not apply to this process.
      REFUSED: it is newer than the one in force, but invalid, or not newer than
        a refused document.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    FOREIGN = "foreign"
    REFUSED = "refused"


class Refusal(msgspec.Struct, frozen=True):
    """A refused document and the problems found in it."""

    key: str
    revision: int
    problems: list[str]


class SettingsStore:
    """Keeps the newest accepted document of each level of the hierarchy.

    The levels of the settings hierarchy are those of `schema.Level`.

    A document is adopted only if its revision is higher than the one in force,
    whatever its source, so that a stale source cannot revert settings.
    """

    def __init__(self, keys: Iterable[str]) -> None:
        """Creates an empty store for the documents that apply to this process.

        Args:
          keys: one key per level, in the same order in every process.
        """
        self._keys = tuple(keys)
        self._documents: dict[str, messages.Document] = {}
        self._trees: dict[str, schema.Tree] = {}
        self._refusals: dict[str, Refusal] = {}
        self._tree = tree.SettingsTree({})

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys of the documents that this store accepts."""
        return self._keys

    @property
    def tree(self) -> tree.SettingsTree:
        """The settings in force."""
        return self._tree

    @property
    def complete(self) -> bool:
        """Whether a document of every level has been accepted."""
        return len(self._keys) == len(self._documents)

    @property
    def refusals(self) -> list[Refusal]:
        """Newest refused document of each key, if none newer was accepted."""
        return [self._refusals[key] for key in sorted(self._refusals)]

    def revisions(self) -> list[int]:
        """Returns the revisions in force by order of the keys, -1 for none."""
        return [self._revision(key) for key in self._keys]

    def offer(self, document: messages.Document) -> Verdict:
        """Adopts a document if it is newer than the current one and valid.

        A document that is not newer than the refused one of its key is refused
        without being parsed.
        """
        if document.key not in self._keys:
            return Verdict.FOREIGN
        current = self._documents.get(document.key)
        if current is not None and document.revision <= current.revision:
            is_current = document.revision == current.revision
            return Verdict.KNOWN if is_current else Verdict.OLDER
        refusal = self._refusals.get(document.key)
        if refusal is not None and document.revision <= refusal.revision:
            return Verdict.REFUSED
        try:
            parsed = tree.parse_document(document.text, document.key)
        except ExceptionGroup as group:
            self._refuse(document, group)
            return Verdict.REFUSED
        self._adopt(document, parsed)
        return Verdict.ACCEPTED

    def behind(self, revisions: list[int]) -> bool:
        """Returns whether a peer at `revisions` has newer settings.

        A document that this process refused does not count as missing.
        """
        return any(
            peer_revision
            > max(self._revision(key), self._refused_revision(key))
            for key, peer_revision in zip(self._keys, revisions, strict=False)
        )

    def newer_than(self, revisions: list[int]) -> list[messages.Document]:
        """Returns the documents that a peer at `revisions` lacks."""
        return [
            self._documents[key]
            for key, peer_revision in zip(self._keys, revisions, strict=False)
            if self._revision(key) > peer_revision
        ]

    def _refused_revision(self, key: str) -> int:
        refusal = self._refusals.get(key)
        return -1 if refusal is None else refusal.revision

    def _revision(self, key: str) -> int:
        document = self._documents.get(key)
        return -1 if document is None else document.revision

    def _refuse(
        self, document: messages.Document, group: ExceptionGroup[Exception]
    ) -> None:
        problems = [str(error) for error in group.exceptions]
        self._refusals[document.key] = Refusal(
            document.key, document.revision, problems
        )

    def _adopt(self, document: messages.Document, parsed: schema.Tree) -> None:
        self._documents[document.key] = document
        self._trees[document.key] = parsed
        self._refusals.pop(document.key, None)
        levels = {}
        for key, level_tree in self._trees.items():
            # None for a key without a name or with an unknown prefix.
            level = schema.level_of_key(key)
            if level is not None:
                levels[level] = level_tree
        self._tree = tree.SettingsTree(levels)


def problems_of(group: ExceptionGroup[Exception]) -> list[str]:
    """Returns the message of each `SettingsError` in a group."""
    return [
        str(error)
        for error in group.exceptions
        if isinstance(error, checking.SettingsError)
    ]
