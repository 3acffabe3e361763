"""Which entries reserve the requests to a replica that names a limit."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from marlramp.core import members
from marlramp.core import rendezvous

METERS = 2
"""Entries that may reserve for one replica: the first does, the second knows of
it and stands in while the first is silent."""


def meters_of(
    replica_id: str,
    data_centre: str,
    entries: Sequence[members.Member],
    regions: Mapping[str, str],
) -> list[str]:
    """Returns the VMs of the entries that reserve for a replica, first first.

    They are in the replica's region if any entry is: whoever is cut off from
    that region reserves nothing for its replicas.

    Args:
      replica_id: the replica.
      data_centre: its data centre.
      entries: the entries that stay, the own one too.
      regions: region of each data centre.
    """
    region = regions.get(data_centre, data_centre)
    near = [
        entry.vm_id
        for entry in entries
        if regions.get(entry.data_centre, entry.data_centre) == region
    ]
    names = near or [entry.vm_id for entry in entries]
    return rendezvous.subset(replica_id, names, METERS)
