"""Which entries tell an agent what it needs to know."""

from __future__ import annotations

from marlramp.core import cells
from marlramp.core import rendezvous

NEAR_GUIDES = 2
"""Entries of its own cell that guide an agent: one more than is needed, so
that the death of one delays nothing. If all entries guided all agents, a
change would cost their product in messages."""

FAR_GUIDES = 1
"""Entries elsewhere that guide an agent too, or of its cell if there is no
elsewhere."""


def guides_of(vm_id: str, known: cells.Cells) -> list[str]:
    """Returns the entries that guide an agent.

    Two are of its cell, and one is elsewhere, in case its region is cut off
    from the store. Entries that know the same members come to the same answer.

    Args:
      vm_id: VM of the agent.
      known: the cells.
    """
    cell = known.of_agent(vm_id)
    if cell is None:
        return []
    key = f"guide\0{vm_id}"
    near = rendezvous.subset(key, cell.entries, NEAR_GUIDES)
    elsewhere = {
        other.name: other for other in known.all if other.region != cell.region
    }
    if not elsewhere:
        return rendezvous.subset(key, cell.entries, NEAR_GUIDES + FAR_GUIDES)
    (far_cell,) = rendezvous.subset(key, elsewhere, 1)
    far_count = FAR_GUIDES + NEAR_GUIDES - len(near)
    return near + rendezvous.subset(key, elsewhere[far_cell].entries, far_count)
