"""Crashes and their suspects in the form that processes send to each other."""

from __future__ import annotations

from typing import Annotated

import msgspec

from marlramp import ids

SUSPECTS_PER_UNIT = 8.0
"""Requests among the suspects of a crash of one unit of size, some 250 B."""

CARRIER_DIGITS = 4
"""Digits that tell the requests with a part from each other."""

PART_SIZE = 1.5
"""Size of a part of a prompt among the suspects, in requests."""

_KEY = msgspec.Meta(max_length=ids.KEY_LENGTH_MAX)


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A possible cause of a crash: a request, or a part of its prompt.

    Attributes:
      fingerprint: the request's content, or the part.
      begun: whether the request had returned part of its answer, which gives it
        only `crash_ledger.PARTIAL_ANSWER_STRIKE`. False for a part.
      cleared: whether a successful run or an operator cleared the suspect of
        this crash.
      carrier: for a part, the last `CARRIER_DIGITS` digits of a request in
        flight at the crash that had it in its prompt; the least ones if there
        were several. "" for a request.
      condemned: for a part, whether an entry found it to be the cause of its
        crashes; one of them bears the mark.
      position: for a part, its greatest position in a prompt, from 0.
      trials: for a condemned part, how many requests with it were sent after
        the verdict to find out whether it is sound.
    """

    fingerprint: Annotated[ids.Fingerprint, _KEY]
    begun: bool
    cleared: bool = False
    carrier: Annotated[str, _KEY] = ""
    condemned: bool = False
    position: int = 0
    trials: int = 0

    @property
    def is_part(self) -> bool:
        """Whether the suspect is a part of a prompt."""
        return bool(self.carrier)

    def merged(self, other: Suspect) -> Suspect:
        """Returns the suspect with the knowledge of two processes combined.

        A request counts as begun only if both processes report so, so that
        it gets the full strike if they differ.
        """
        return Suspect(
            self.fingerprint,
            self.begun and other.begun,
            self.cleared or other.cleared,
            min(self.carrier, other.carrier),
            self.condemned or other.condemned,
            max(self.position, other.position),
            max(self.trials, other.trials),
        )


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a replica.

    Attributes:
      crash_id: the replica and the start of the run that the crash ended.
      age_ms: time since the crash was first noticed.
      suspects: the requests that were in flight at the replica, and parts of
        their prompts.
    """

    crash_id: Annotated[ids.CrashId, _KEY]
    age_ms: float
    suspects: list[Suspect]

    @property
    def size(self) -> float:
        """Size of the crash in a message, in units of some 250 B."""
        suspects = sum(
            PART_SIZE if suspect.is_part else 1.0 for suspect in self.suspects
        )
        return max(1.0, suspects / SUSPECTS_PER_UNIT)


def crash_id(replica_id: str, born_ms: int | None) -> ids.CrashId:
    """Returns the id of the crash that ends one run of a replica.

    Args:
      replica_id: the replica.
      born_ms: Unix time in ms at which the run started, None if unknown.
    """
    return ids.CrashId(f"{replica_id}@{born_ms or 0}")
