"""Chooses the VMs with which a VM exchanges the chunks of a manifest."""

from __future__ import annotations

from collections.abc import Sequence

from marlramp import ids
from marlramp.core import rendezvous


def choose_neighbours(
    vm_id: ids.VmId,
    manifest: ids.Digest,
    data_centres: dict[ids.VmId, ids.DataCentreId],
    count: int,
) -> list[ids.VmId]:
    """Returns the neighbours that a VM opens links to.

    The VM's successor in a ring keeps the graph of all VMs connected. The other
    neighbours are chosen by rendezvous hashing, most of them in the VM's own
    data centre. Links carry chunks in both directions, so a VM has about twice
    as many neighbours as it opens links.

    Args:
      vm_id: the VM.
      manifest: digest of the manifest that is distributed; different manifests
        give different neighbours.
      data_centres: data centre of each VM that participates.
      count: number of neighbours wanted, counting links opened by either side.
    """
    others = [other for other in data_centres if other != vm_id]
    opened = max(2, count // 2)
    if len(others) <= opened:
        return sorted(others)
    ring = rendezvous.order(f"ring\0{manifest}", [*others, vm_id])
    successor = ring[(ring.index(vm_id) + 1) % len(ring)]
    ranked = rendezvous.order(f"{manifest}\0{vm_id}", others)
    home = data_centres[vm_id]
    near = [other for other in ranked if data_centres[other] == home]
    far = [other for other in ranked if data_centres[other] != home]
    far_count = 1 if far else 0
    chosen = [successor, *far[:far_count], *near, *far[far_count:]]
    return list(dict.fromkeys(chosen))[:opened]


def choose_parent(
    vm_id: ids.VmId, vm_ids: Sequence[ids.VmId], children: int
) -> list[ids.VmId]:
    """Returns the parent of a VM in a tree, as a baseline for comparison.

    Args:
      vm_id: the VM.
      vm_ids: all VMs that participate.
      children: number of children of each VM; 1 makes a chain.

    Returns:
      The parent alone, or an empty list for the root.
    """
    ordered = sorted({*vm_ids, vm_id})
    position = ordered.index(vm_id)
    return [] if position == 0 else [ordered[(position - 1) // children]]
