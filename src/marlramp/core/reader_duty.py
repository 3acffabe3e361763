"""Which entries watch the store."""

from __future__ import annotations

from collections.abc import Sequence

from marlramp import clock
from marlramp.core import members
from marlramp.core import rendezvous

READERS = 2
"""Entries that watch the store: one more than is needed, so that the death of
one delays nothing."""

READER_HEARD_MS = 1_100.0
READER_STORE_AGE_MS = 2_200.0
"""A reader counts as working if it was heard this lately and the store
answered it this lately: two waits of a watch."""


def is_reader(
    own: members.Member,
    alive: Sequence[members.KnownMember],
    now_ms: clock.Millis,
) -> bool:
    """Returns whether an entry is to watch the store.

    The first entries in rendezvous order do, and any that hears of no entry
    that does and is answered.

    Args:
      own: the entry.
      alive: the other entries that it hears.
      now_ms: the time.
    """
    staying = [
        known
        for known in alive
        if known.pulse is None
        or known.pulse.state is not members.MemberState.LEAVING
    ]
    names = [known.member.vm_id for known in staying]
    names.append(own.vm_id)
    if own.vm_id in rendezvous.subset("store", names, READERS):
        return True
    return not any(_reads_well(known, now_ms) for known in staying)


def store_serves_none(
    alive: Sequence[members.KnownMember], *, own_fails: bool
) -> bool:
    """Returns whether the store seems to be down for every entry.

    An entry that hears no other can't tell the store's failure from its own.

    Args:
      alive: the other entries that are heard.
      own_fails: whether the own last call failed.
    """
    return (
        own_fails
        and bool(alive)
        and not any(_was_answered(known) for known in alive)
    )


def _was_answered(known: members.KnownMember) -> bool:
    pulse = known.pulse
    return (
        pulse is not None
        and pulse.store_age_ms is not None
        and pulse.store_age_ms < READER_STORE_AGE_MS
    )


def _reads_well(known: members.KnownMember, now_ms: clock.Millis) -> bool:
    pulse = known.pulse
    return (
        pulse is not None
        and pulse.reads_store
        and _was_answered(known)
        and now_ms - known.heard_ms < READER_HEARD_MS
    )
