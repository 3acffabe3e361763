"""Assigns limiters, the entries that enforce a replica's rate limit."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from marlramp.core import rendezvous
from marlramp.core.membership import members

LIMITERS = 2
"""Entries that are limiters of one replica. The first reserves send times. The
second learns of the reservations and takes over while the first is silent."""


def limiters_of(
    replica_id: str,
    data_centre: str,
    entries: Sequence[members.Member],
    regions: Mapping[str, str],
    data_centres_lost: int = 0,
) -> list[str]:
    """Returns the VMs of a replica's limiters, the primary before the standby.

    Limiters are in the replica's region if any entry is, so that an entry that
    is cut off from that region makes no reservations for its replicas. Where
    the loss of a data centre is to be tolerated, the standby is in another data
    centre than the primary: in that region if it has another one with entries,
    otherwise in another region. If all entries are in one data centre, both
    limiters are.

    Args:
      replica_id: the replica.
      data_centre: the replica's data centre.
      entries: the entries that are not leaving, including this one.
      regions: region of each data centre.
      data_centres_lost: number of data centres that may be lost at once.
    """
    region = regions.get(data_centre, data_centre)
    near = [
        entry
        for entry in entries
        if regions.get(entry.data_centre, entry.data_centre) == region
    ]
    ordered = _ordered(replica_id, near or entries)
    if data_centres_lost > 0 and ordered:
        primary = ordered[0]
        candidates = ordered[1:]
        if near:
            others = [entry for entry in entries if entry not in near]
            candidates += _ordered(replica_id, others)
        elsewhere = [
            entry
            for entry in candidates
            if entry.data_centre != primary.data_centre
        ]
        ordered = [primary, *(elsewhere or candidates)]
    return [entry.vm_id for entry in ordered[:LIMITERS]]


def _ordered(
    replica_id: str, entries: Sequence[members.Member]
) -> list[members.Member]:
    by_vm = {entry.vm_id: entry for entry in entries}
    return [by_vm[vm_id] for vm_id in rendezvous.order(replica_id, by_vm)]
