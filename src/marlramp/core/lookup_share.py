"""Which entries a caller is told of.

Load pattern: callers of several data centres, each with its own share of the
load, before more entries than one answer holds. Callers keep their connections
only to entries that the next answer names too, so each data centre is always
told of the same part; the parts overlap evenly, so that every entry is named
to as many data centres as any other, give or take one.
"""

from __future__ import annotations

from collections.abc import Sequence

from marlramp.core import members
from marlramp.core import rendezvous

ADDRESSES_MAX = 64
"""Entries in one answer: callers take no more notice."""


def share_of(
    data_centre: str,
    data_centres: Sequence[str],
    entries: Sequence[members.Member],
) -> list[members.Member]:
    """Returns the entries that callers of a data centre are told of.

    Args:
      data_centre: where the caller is; an unknown one has a part too.
      data_centres: all data centres.
      entries: entries that take callers.
    """
    if len(entries) <= ADDRESSES_MAX:
        return list(entries)
    by_name = {entry.vm_id: entry for entry in entries}
    ring = rendezvous.order("lookup", by_name)
    ordered = sorted(data_centres)
    part = rendezvous.fraction(data_centre)
    if data_centre in ordered:
        part = ordered.index(data_centre) / len(ordered)
    first = int(part * len(ring))
    chosen = (ring + ring)[first : first + ADDRESSES_MAX]
    return [by_name[name] for name in chosen]
