"""Selects the entries that a caller's lookup returns.

Load pattern: callers of several data centres, each with its own share of the
load, and more entries than one answer holds. Callers keep only the connections
to entries that the next answer contains too, so each data centre always gets a
stable subset of the entries. The subsets overlap evenly: the numbers of data
centres that get any two entries differ by at most one.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from marlramp.core import rendezvous
from marlramp.core.membership import members

ADDRESSES_MAX = 64
"""Most entries in one answer; callers ignore further ones."""


def in_permitted_regions(
    entries: Sequence[members.Member],
    permitted: Collection[str],
    regions: Mapping[str, str],
) -> list[members.Member]:
    """Returns the entries in permitted regions, or all if there are none.

    A caller that reaches no entry is not served at all; its request still runs
    only where its route allows.

    Args:
      entries: entries that accept callers.
      permitted: the regions.
      regions: region of each data centre.
    """
    found = [
        entry
        for entry in entries
        if regions.get(entry.data_centre) in permitted
    ]
    return found or list(entries)


def entries_for(
    data_centre: str,
    data_centres: Sequence[str],
    entries: Sequence[members.Member],
) -> list[members.Member]:
    """Returns the entries for callers of a data centre.

    Args:
      data_centre: the caller's data centre; an unknown one has a stable subset
        too.
      data_centres: all data centres.
      entries: entries that accept callers.
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
