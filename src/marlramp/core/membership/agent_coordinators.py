"""Selects the entries that coordinate an agent.

An agent's coordinators send it what it needs to know of the fleet: weights,
engine, origin and neighbours.
"""

from __future__ import annotations

from marlramp.core import rendezvous
from marlramp.core.membership import cells

NEAR_COORDINATORS = 2
"""Coordinators of an agent in its own cell. One would be enough; the second one
keeps the failure of the other from delaying anything. If all entries
coordinated all agents, each change would cost as many messages as the number of
entries times the number of agents."""

FAR_COORDINATORS = 1
"""Further coordinators of an agent, in another region, or in its own cell if
there is no other region."""


def coordinators_of(vm_id: str, known: cells.Cells) -> list[str]:
    """Returns the entries that coordinate an agent.

    Two of them are in the agent's cell. One is in another region, in case the
    agent's region is cut off from the store. Entries that know the same members
    compute the same coordinators.

    Args:
      vm_id: VM of the agent.
      known: the cells of the known members.

    Returns:
      The VMs of the coordinators, none if the agent has no cell.
    """
    cell = known.of_agent(vm_id)
    if cell is None:
        return []
    key = f"guide\0{vm_id}"
    near = rendezvous.subset(key, cell.entries, NEAR_COORDINATORS)
    elsewhere = {
        other.name: other for other in known.all if other.region != cell.region
    }
    if not elsewhere:
        return rendezvous.subset(
            key, cell.entries, NEAR_COORDINATORS + FAR_COORDINATORS
        )
    (far_cell,) = rendezvous.subset(key, elsewhere, 1)
    far_count = FAR_COORDINATORS + NEAR_COORDINATORS - len(near)
    return near + rendezvous.subset(key, elsewhere[far_cell].entries, far_count)
