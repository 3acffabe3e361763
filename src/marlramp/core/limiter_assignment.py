"""Assigns limiters, the entries that enforce a replica's rate limit."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from marlramp.core import members
from marlramp.core import rendezvous

LIMITERS = 2
"""Entries that are limiters of one replica. The first reserves send times. The
second learns of the reservations and takes over while the first is silent."""


def limiters_of(
    replica_id: str,
    data_centre: str,
    entries: Sequence[members.Member],
    regions: Mapping[str, str],
) -> list[str]:
    """Returns the VMs of a replica's limiters, the primary before the standby.

    Limiters are in the replica's region if any entry is, so that an entry that
    is cut off from that region makes no reservations for its replicas.

    Args:
      replica_id: the replica.
      data_centre: the replica's data centre.
      entries: the entries that are not leaving, including this one.
      regions: region of each data centre.
    """
    region = regions.get(data_centre, data_centre)
    near = [
        entry.vm_id
        for entry in entries
        if regions.get(entry.data_centre, entry.data_centre) == region
    ]
    names = near or [entry.vm_id for entry in entries]
    return rendezvous.subset(replica_id, names, LIMITERS)
