"""Chooses the entries to which an agent connects.

All processes that know the entries compute equal choices.
"""

from __future__ import annotations

from collections.abc import Mapping

from marlramp import ids
from marlramp.core import rendezvous


def choose_entries(
    vm_id: ids.VmId,
    data_centre: str,
    entries: Mapping[ids.VmId, str],
    count: int,
) -> list[ids.VmId]:
    """Returns the entries of one agent, those of its data centre first.

    Args:
      vm_id: the agent's VM.
      data_centre: the agent's data centre.
      entries: data centre of each entry.
      count: most entries to return.
    """
    ranked = rendezvous.order(vm_id, entries)
    near = [entry for entry in ranked if entries[entry] == data_centre]
    far = [entry for entry in ranked if entries[entry] != data_centre]
    return (near + far)[:count]
